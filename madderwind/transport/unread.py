"""What waits on a socket unread: bytes, or the other side's end behind them."""

from __future__ import annotations

import asyncio
import select

# The other side's end is told also where bytes before it are unread, on systems that tell the two apart.
LEFT = getattr(select, "POLLRDHUP", 0) | select.POLLHUP | select.POLLERR


def has_unread(transport: asyncio.BaseTransport) -> bool:
    return bool(_polled(transport, select.POLLIN))


def has_left(transport: asyncio.BaseTransport | None) -> bool:
    """Whether the other side has ended the connection, or its sending on it, whether that was read or not."""
    if transport is None or transport.is_closing():
        return True
    return bool(_polled(transport, LEFT) & LEFT)


def _polled(transport: asyncio.BaseTransport, events: int) -> int:
    waiting = select.poll()
    waiting.register(transport.get_extra_info("socket"), events)
    return next((said for _, said in waiting.poll(0)), 0)
