"""Reads a client's complete request within the limits of the configuration."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import msgspec
from aiohttp import web
from aiohttp.http_exceptions import BadHttpMessage

from madderwind.configuration.documents import ClientLimits
from madderwind.dataplane.body_memory import BodyReservation
from madderwind.dataplane.shutdown_deadline import ShutdownDeadline
from madderwind.errors import MadderwindError

MS_PER_S = 1000.0
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"
# Statuses of requests that exceed a limit of the configuration.
LIMIT_STATUSES = frozenset((413, 431))
# The bytes of a header line besides its name and value: colon, space, CR and LF.
LINE_OVERHEAD = 4


class UnusableRequest(MadderwindError):
    """A request that cannot be read completely or exceeds a limit; `status` is the response's."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status

    @property
    def exceeds_limit(self) -> bool:
        """Whether a configuration with higher limits may allow the request."""
        return self.status in LIMIT_STATUSES


class CutShortByShutdown(MadderwindError):
    """A request that is not complete as the process ends; it was sent to no upstream."""


class ClientRequest(msgspec.Struct):
    """A completely read request; its target and body are unmodified."""

    request: web.BaseRequest
    target: str
    body: bytes


async def read_request(
    request: web.BaseRequest,
    limits: ClientLimits,
    until_s: Callable[[], float],
    shutdown: ShutdownDeadline,
    reservation: BodyReservation,
) -> ClientRequest:
    """Read the body.

    Args:
        request: The request, its head already read.
        limits: What clients may send.
        until_s: Returns the end of the request's time limit on the loop's clock; called if there is a body.
        shutdown: Ends the wait for the body before the process ends.
        reservation: Reserves memory for the body, of a stated length before any of it is read.

    Raises:
        BodyMemoryFull: There is no memory for the body.
        UnusableRequest: A limit is exceeded, or the body is not received completely.
        CutShortByShutdown: The body is not complete as the process ends.
    """
    head_bytes = len(request._message.path) + sum(
        len(name) + len(value) + LINE_OVERHEAD for name, value in request.raw_headers
    )
    if head_bytes > limits.max_header_bytes:
        raise UnusableRequest(431, "the head is too long")
    if request.method == "CONNECT" or not _is_supported_coding(request.headers.get("Transfer-Encoding")):
        raise UnusableRequest(400, "neither tunnels nor coded bodies are served")
    if (request.content_length or 0) > limits.max_body_bytes:
        raise UnusableRequest(413, "the body is too long")
    reservation.extend_to(request.content_length or 0)
    if request.headers.get("Expect", "").lower() == "100-continue":
        await request.writer.write(CONTINUE_RESPONSE)
        request.writer.output_size = 0  # otherwise the response's headers would count as sent
    body = b""
    if request.body_exists:
        body = await _read_body(request, limits, until_s(), shutdown, reservation)
    return ClientRequest(request, request._message.path, body)


def _is_supported_coding(transfer_encoding: str | None) -> bool:
    """Whether the body uses no transfer coding other than chunked."""
    return transfer_encoding is None or transfer_encoding.strip().lower() == "chunked"


async def _read_body(
    request: web.BaseRequest,
    limits: ClientLimits,
    until_s: float,
    shutdown: ShutdownDeadline,
    reservation: BodyReservation,
) -> bytes:
    """Read the body; fails if it stalls for the idle timeout or is not complete in time."""
    loop = asyncio.get_running_loop()
    idle_s = limits.idle_timeout_ms / MS_PER_S
    parts: list[bytes] = []
    size = 0
    try:
        while True:
            limit_s = min(loop.time() + idle_s, until_s)
            async with shutdown.timeout_at(limit_s):
                part = await request.content.readany()
            if not part:
                return parts[0] if len(parts) == 1 else b"".join(parts)
            size += len(part)
            if size > limits.max_body_bytes:
                raise UnusableRequest(413, "the body is too long")
            reservation.extend_to(size)
            parts.append(part)
    except TimeoutError:
        if shutdown.comes_before(limit_s):
            raise CutShortByShutdown("the process ended before the body was complete") from None
        raise UnusableRequest(408, "the body never came whole") from None
    except (web.RequestPayloadError, BadHttpMessage) as error:
        raise UnusableRequest(400, f"the body cannot be read: {type(error).__name__}") from None
