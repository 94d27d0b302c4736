"""How a client learns where a streamed response ends, and that one is incomplete."""

from __future__ import annotations

import socket
import struct

from aiohttp import HttpVersion11, web

from madderwind.transport.listening import CallersRequest

_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
_REGULAR_CLOSE = struct.pack("ii", 0, 0)


def declare_body(request: web.BaseRequest, response: web.StreamResponse, length: int | None) -> None:
    """Set how the end of the body is marked; called before the head is sent.

    A client of HTTP/1.0 takes a regular close for the end of a body without a length. So until
    `confirm_complete` its connection is reset however it is closed, even if this process is killed.
    """
    if length is not None:
        response.content_length = length
    elif request.version >= HttpVersion11:
        response.enable_chunked_encoding()
    else:
        _set_linger(request, _RESET_ON_CLOSE)
    if isinstance(request, CallersRequest) and request.is_last():
        response.force_close()


def confirm_complete(request: web.BaseRequest) -> None:
    """Let the connection's regular close mark the end of the body, all of which has been written."""
    if request.version < HttpVersion11:
        _set_linger(request, _REGULAR_CLOSE)


def _set_linger(request: web.BaseRequest, value: bytes) -> None:
    if request.transport is None or request.transport.is_closing():
        return
    request.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, value)
