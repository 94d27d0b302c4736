"""An upstream's answer on its way to the client."""

from __future__ import annotations

from aiohttp import HttpVersion11, web
from aiohttp.client_reqrep import ClientResponse

from madderwind.dataplane.headers import headers_back
from madderwind.errors import MadderwindError
from madderwind.transport.listening import CallersRequest

# What the server is given where there is nobody to answer: no promise.
NO_ANSWER = 502


class ClientDisconnected(MadderwindError):
    """The client has left: what is still done for its request helps nobody."""


class ClientAnswer:
    """The one answer to a client; its head goes out with its first bytes, or with its end."""

    def __init__(self, request: web.BaseRequest) -> None:
        self._request = request
        self._response: web.StreamResponse | None = None
        self._length: int | None = None
        self.begun = False

    def set_head(self, upstream: ClientResponse, length: int | None) -> None:
        """The status and headers that the client will have; `length`: of the body, where that is known."""
        self._response = web.StreamResponse(
            status=upstream.status, reason=upstream.reason, headers=headers_back(upstream.headers)
        )
        self._length = length

    def complete(self, upstream: ClientResponse, body: bytes) -> web.StreamResponse:
        """An answer that is sent in one piece."""
        headers = headers_back(upstream.headers)
        return web.Response(status=upstream.status, reason=upstream.reason, headers=headers, body=body)

    async def write(self, data: bytes) -> None:
        """Send some of the body; ClientDisconnected where there is nobody to take it."""
        try:
            response = await self._begin()
            await response.write(data)
        except (ConnectionError, RuntimeError) as error:
            raise ClientDisconnected(str(error)) from None

    async def end(self) -> web.StreamResponse:
        """The body is whole."""
        try:
            response = await self._begin()
            await response.write_eof()
        except (ConnectionError, RuntimeError) as error:
            raise ClientDisconnected(str(error)) from None
        return response

    def abort(self) -> web.StreamResponse:
        """End the connection so that the client can tell that the answer is not whole."""
        if self._request.transport is not None:
            self._request.transport.abort()
        if self._response is None:
            return web.Response(status=NO_ANSWER)  # it goes nowhere
        return self._response

    async def _begin(self) -> web.StreamResponse:
        response = self._response
        assert response is not None
        if not self.begun:
            self.begun = True
            if self._length is not None:
                response.content_length = self._length
            elif self._request.version >= HttpVersion11:
                response.enable_chunked_encoding()
            if isinstance(self._request, CallersRequest) and self._request.is_last():
                response.force_close()
            await response.prepare(self._request)
        return response
