"""The address where the platform asks whether this data plane takes new connections."""

from __future__ import annotations

from collections.abc import Callable

from aiohttp import web

READY_PATH = "/ready"
# How long an answer that is under way may take at the end.
SHUTDOWN_TIMEOUT_S = 0.1


class ReadyListener:
    """Answers GET /ready with 200 or 503, as `is_ready` says at that moment."""

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        self._is_ready = is_ready
        self._server = web.Server(self._answer, access_log=None)
        self._runner = web.ServerRunner(self._server, shutdown_timeout=SHUTDOWN_TIMEOUT_S)

    async def start(self, host: str, port: int) -> int:
        """The port that is listened on: the one asked for, or a free one for 0."""
        await self._runner.setup()
        site = web.TCPSite(self._runner, host, port, reuse_address=True)
        await site.start()
        return int(self._runner.addresses[0][1])

    async def close(self) -> None:
        """Listen no more."""
        await self._runner.cleanup()

    async def _answer(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.path != READY_PATH:
            return web.Response(status=404)
        return web.Response(status=200 if self._is_ready() else 503)
