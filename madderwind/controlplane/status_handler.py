"""GET /status at the internal address: the read-only status of this control plane, for operators."""

from __future__ import annotations

import msgspec
from aiohttp import web

from madderwind.controlplane.host import ControlPlaneHost

STATUS_PATH = "/status"


def add_status(application: web.Application, host: ControlPlaneHost, node: str, zone: str) -> None:
    """Add the handler that serves this node's status."""

    async def answer(_: web.Request) -> web.Response:
        content = msgspec.json.encode(host.status(node, zone))
        return web.Response(body=content, content_type="application/json")

    application.router.add_get(STATUS_PATH, answer)
