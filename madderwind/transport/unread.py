"""Whether bytes, or an end, wait on a socket unread."""

from __future__ import annotations

import asyncio
import select


def has_unread(transport: asyncio.BaseTransport) -> bool:
    waiting = select.poll()
    waiting.register(transport.get_extra_info("socket"), select.POLLIN)
    return bool(waiting.poll(0))
