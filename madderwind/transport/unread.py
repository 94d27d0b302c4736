"""What is pending on a socket: unread bytes, or the peer's close behind them."""

from __future__ import annotations

import asyncio
import select

# POLLRDHUP reports the peer's close even behind unread bytes, on the systems that have it.
DISCONNECT_EVENTS = getattr(select, "POLLRDHUP", 0) | select.POLLHUP | select.POLLERR


def has_unread(transport: asyncio.BaseTransport) -> bool:
    return bool(_poll(transport, select.POLLIN))


def has_left(transport: asyncio.BaseTransport | None) -> bool:
    """Whether the peer has closed the connection, or its sending side, whether or not that was read."""
    if transport is None or transport.is_closing():
        return True
    return bool(_poll(transport, DISCONNECT_EVENTS) & DISCONNECT_EVENTS)


def _poll(transport: asyncio.BaseTransport, events: int) -> int:
    poller = select.poll()
    poller.register(transport.get_extra_info("socket"), events)
    return next((revents for _, revents in poller.poll(0)), 0)
