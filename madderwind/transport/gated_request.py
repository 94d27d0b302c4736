"""The aiohttp client request, with a last check between the connect and the first byte."""

from __future__ import annotations

from typing import NamedTuple

from aiohttp.abc import AbstractStreamWriter
from aiohttp.client_reqrep import ClientRequest, ClientResponse, ConnectionKey
from aiohttp.connector import Connection

from madderwind.transport.answering import SingleResponseHandler
from madderwind.transport.encoded_request import current_request


class NotWrittenError(Exception):
    """The attempt was no longer wanted, or its connection no longer usable, before anything was sent."""


class _Target(NamedTuple):
    """Replaces the URL where aiohttp reads the path and query: the request target, byte for byte."""

    raw_path_qs: str


class GatedRequest(ClientRequest):
    """Consults the encoded request between the connect and the first byte.

    Guards against sending after a drain notice, a deadline or a response that came during the connect;
    against a response that is already on the connection before the request; and against changing targets that
    a URL cannot represent exactly, such as one that ends in a bare question mark.
    """

    @property
    def connection_key(self) -> ConnectionKey:
        """Pool connections by upstream, not by address.

        Guards against reusing connections to a removed upstream for a new one at the same address. aiohttp
        also keys its pools by the hash of a proxy's headers; as there is no proxy, that field holds the
        upstream's number.
        """
        return super().connection_key._replace(proxy_headers_hash=current_request.get().upstream)

    async def send(self, conn: Connection) -> ClientResponse:
        encoded, connection = current_request.get(), conn.protocol
        assert isinstance(connection, SingleResponseHandler)
        if not encoded.may_write() or not connection.is_reusable():
            raise NotWrittenError
        encoded.connection, connection.addresses = connection, encoded.addresses
        encoded.write_approved = True
        if encoded.exchange_id is not None:
            connection.exchange_ids.add(encoded.exchange_id)
        self.headers.update(encoded.headers_at_write())
        encoded.write_started = (
            not self._body
        )  # with a body, the head is sent together with it, in `write_bytes`
        self.url = _Target(encoded.target)  # type: ignore[assignment]
        response = await super().send(conn)
        if self._writer is None and not self._body:
            encoded.mark_written()
        return response

    async def write_bytes(
        self, writer: AbstractStreamWriter, conn: Connection, content_length: int | None = None
    ) -> None:
        """Send the first byte of a request with a body, one iteration of the event loop after the check in
        `send`.

        Guards against a close of the connection, or a response on it, during that iteration.
        """
        encoded, connection = current_request.get(), conn.protocol
        if not encoded.write_started and isinstance(connection, SingleResponseHandler):
            if connection.response_started or not connection.is_reusable():
                conn.close()  # the reader of the response sees a lost connection
                return
            encoded.write_started = True
        await super().write_bytes(writer, conn, content_length)
        if conn.protocol is not None and conn.protocol.exception() is None:
            current_request.get().mark_written()
