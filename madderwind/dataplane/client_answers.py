"""Writes an upstream's response to the client."""

from __future__ import annotations

from aiohttp import web
from aiohttp.client_reqrep import ClientResponse

from madderwind.dataplane.headers import client_response_headers
from madderwind.errors import MadderwindError
from madderwind.messages.header_text import without_control_characters
from madderwind.transport.streamed_response import confirm_complete, declare_body

# Status of the response object given to the server when there is no client to respond to. Unlike 503 it does
# not promise that the request was not executed.
NO_ANSWER = 502


class ClientDisconnected(MadderwindError):
    """The client closed its connection; further work on its request is useless."""


class ClientAnswer:
    """The response to one client request; the head is sent with the first bytes of the body or at its end."""

    def __init__(self, request: web.BaseRequest) -> None:
        self._request = request
        self._response: web.StreamResponse | None = None
        self._length: int | None = None
        self.begun = False

    def set_head(self, upstream: ClientResponse, length: int | None) -> None:
        """Set the status and headers for the client; `length` is the size of the body, if known."""
        self._response = web.StreamResponse(
            status=upstream.status,
            reason=_reason(upstream),
            headers=client_response_headers(upstream.headers),
        )
        self._length = length

    def complete(self, upstream: ClientResponse, body: bytes) -> web.StreamResponse:
        """A buffered response, which the server sends at once."""
        headers = client_response_headers(upstream.headers)
        return web.Response(status=upstream.status, reason=_reason(upstream), headers=headers, body=body)

    async def write(self, data: bytes) -> None:
        """Send part of the body; ClientDisconnected if the connection is closed."""
        try:
            response = await self._begin()
            await response.write(data)
        except (ConnectionError, RuntimeError) as error:
            raise ClientDisconnected(str(error)) from None

    async def end(self) -> web.StreamResponse:
        """Finish the body; ClientDisconnected if the connection is closed."""
        try:
            response = await self._begin()
            confirm_complete(self._request)
            await response.write_eof()
        except (ConnectionError, RuntimeError) as error:
            raise ClientDisconnected(str(error)) from None
        return response

    def abort(self) -> web.StreamResponse:
        """Abort the connection, so that the client can tell that the response is incomplete."""
        if self._request.transport is not None:
            self._request.transport.abort()
        if self._response is None:
            return web.Response(status=NO_ANSWER)  # never sent: the connection is closed
        return self._response

    async def _begin(self) -> web.StreamResponse:
        response = self._response
        assert response is not None
        if not self.begun:
            self.begun = True
            declare_body(self._request, response, self._length)
            await response.prepare(self._request)
        return response


def _reason(upstream: ClientResponse) -> str | None:
    """The reason phrase for the client."""
    return None if upstream.reason is None else without_control_characters(upstream.reason)
