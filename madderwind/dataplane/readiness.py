"""Readiness endpoint: tells the platform whether this data plane accepts new connections."""

from __future__ import annotations

from collections.abc import Callable

from aiohttp import web

READY_PATH = "/ready"
# How long a response in progress may take at shutdown.
SHUTDOWN_TIMEOUT_S = 0.1


class ReadyListener:
    """Responds to GET /ready with 200 or 503, depending on `is_ready` at that moment."""

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        self._is_ready = is_ready
        self._server = web.Server(self._answer, access_log=None)
        self._runner = web.ServerRunner(self._server, shutdown_timeout=SHUTDOWN_TIMEOUT_S)

    async def start(self, host: str, port: int) -> int:
        """Start listening; the port: the given one, or a free one if 0 is given."""
        await self._runner.setup()
        site = web.TCPSite(self._runner, host, port, reuse_address=True)
        await site.start()
        return int(self._runner.addresses[0][1])

    async def close(self) -> None:
        """Stop listening."""
        await self._runner.cleanup()

    async def _answer(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.path != READY_PATH:
            return web.Response(status=404)
        return web.Response(status=200 if self._is_ready() else 503)
