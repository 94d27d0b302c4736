"""The client's request with a gate between the connection's coming up and the first byte."""

from __future__ import annotations

from typing import NamedTuple

from aiohttp.abc import AbstractStreamWriter
from aiohttp.client_reqrep import ClientRequest, ClientResponse, ConnectionKey
from aiohttp.connector import Connection

from madderwind.transport.answering import OneAnswer
from madderwind.transport.encoded_request import current_request


class NotWrittenError(Exception):
    """The connection came up too late for this attempt."""


class _Target(NamedTuple):
    """Stands where the client looks for a URL's path and query: the target as it came, to the letter."""

    raw_path_qs: str


class GatedRequest(ClientRequest):
    """Asks the encoded request between the connection's coming up and the first byte.

    Guards against a drain notice, a deadline or an answer that came while the connection came up, against an
    answer that lies on the connection before anything is asked, and against targets that a URL cannot hold
    unchanged, such as one that ends in a bare question mark.
    """

    @property
    def connection_key(self) -> ConnectionKey:
        """Connections belong to an upstream, not to its address.

        Guards against a new upstream at the address of one that is gone, served by connections to the old.
        The client tells pools apart by a proxy's headers too; there is no proxy: the number stands there.
        """
        return super().connection_key._replace(proxy_headers_hash=current_request.get().upstream)

    async def send(self, conn: Connection) -> ClientResponse:
        encoded, connection = current_request.get(), conn.protocol
        assert isinstance(connection, OneAnswer)
        if not encoded.may_write() or not connection.clean():
            raise NotWrittenError
        encoded.connection, connection.addresses = connection, encoded.addresses
        encoded.written = True
        self.headers.update(encoded.headers_at_write())
        encoded.begun = not self._body  # a head that a body follows leaves with it, in `write_bytes`
        self.url = _Target(encoded.target)  # type: ignore[assignment]
        response = await super().send(conn)
        if self._writer is None and not self._body:
            encoded.was_written()
        return response

    async def write_bytes(
        self, writer: AbstractStreamWriter, conn: Connection, content_length: int | None = None
    ) -> None:
        """The first byte of a request with a body leaves here, a turn of the loop after `send` looked.

        Guards against an end of the connection, or an answer on it, that came in this turn.
        """
        encoded, connection = current_request.get(), conn.protocol
        if not encoded.begun and isinstance(connection, OneAnswer):
            if connection.heard or not connection.clean():
                conn.close()  # its reader is told that the connection is lost
                return
            encoded.begun = True
        await super().write_bytes(writer, conn, content_length)
        if conn.protocol is not None and conn.protocol.exception() is None:
            current_request.get().was_written()
