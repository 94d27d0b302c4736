"""The body of a caller's request: short ones are buffered whole, long ones are streamed after their start."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

from aiohttp import web
from aiohttp.http_exceptions import BadHttpMessage

from madderwind.transport.budget import Budget

# Messages hold at most 32 MB; the margin admits slightly longer ones and rejects those that are far longer.
LONGEST_BODY = 40 * 1024 * 1024
# A body up to this length is short: it is always buffered, whatever the budget.
SHORT_BODY_BYTES = 64 * 1024
# A body up to this length is buffered whole if the budget allows it, so that it can be resent.
HELD_BODY = 1024 * 1024
# The memory that streaming a message takes: its buffers between two sockets.
PASSING = 256 * 1024
# Wait for the first bytes of a body, and the lowest rate after them. Callers are promised time for 64 kB a
# second; a caller that sends less than it announced is owed an error within 3 s of connecting.
READ_S, SLOWEST_BYTES_PER_S = 2.0, 48_000
# How long to read the rest of a body after an early response, so that no reset overtakes the response.
LINGER_S = 2.0


class BadBody(ValueError):
    """A body that is too long, malformed or incomplete, with the status to answer it with."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


def discard_rest(request: web.BaseRequest) -> None:
    """Read and discard the rest of a request's body for a while after its response.

    Guards against a reset that overtakes the response at a caller that is still writing.
    """
    request.protocol._lingering_time = LINGER_S


class Body:
    """The part of a body received so far, and the rest on demand."""

    def __init__(self, request: web.BaseRequest, budget: Budget, read_s: float) -> None:
        self._request, self._budget, self._read_s = request, budget, read_s
        self.length = request.content_length  # None for a chunked body
        self.held = b""
        self.whole = False
        self._reserved_bytes, self._received_bytes, self._waited_s = 0, 0, 0.0
        self.broken: BadBody | None = None  # why the rest never arrived

    async def begin(self) -> None:
        """Read the body whole, or as much of it as may be buffered; send 100 Continue first if expected.

        Guards against reading a body whose stated length is too long, which takes time from all requests.
        """
        request = self._request
        if (self.length or 0) > LONGEST_BODY:
            raise BadBody(413, "the body is too long")
        if request.headers.get("Expect", "").lower() == "100-continue":
            await request.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
            request.writer.output_size = 0  # otherwise aiohttp counts the response's own headers as sent
        if not request.body_exists:
            self.whole = True
            return
        parts = []
        while self._may_buffer_more():
            part = await self._read_chunk()
            if not part:
                self.whole = True
                break
            parts.append(part)
        self.held = b"".join(parts)

    @property
    def is_long(self) -> bool:
        return self._received_bytes > SHORT_BODY_BYTES

    def _may_buffer_more(self) -> bool:
        if self._received_bytes < self._reserved_bytes:
            return True
        if self._received_bytes >= HELD_BODY:
            return False
        remaining_bytes = (
            SHORT_BODY_BYTES if self.length is None else max(1, self.length - self._received_bytes)
        )
        wanted_bytes = min(remaining_bytes, SHORT_BODY_BYTES)
        if self._received_bytes < SHORT_BODY_BYTES:
            self._budget.reserve(wanted_bytes)
        elif not self._budget.try_reserve(wanted_bytes):
            return False
        self._reserved_bytes += wanted_bytes
        return True

    async def rest(self) -> AsyncIterator[bytes]:
        """Yield the buffered beginning, which is released, and then the rest as it arrives."""
        held = self.held
        self.end()
        for at in range(0, len(held), SHORT_BODY_BYTES):
            yield held[at : at + SHORT_BODY_BYTES]
        del held
        while not self.whole:
            part = await self._read_chunk()
            self.whole = not part
            yield part

    async def _read_chunk(self) -> bytes:
        """Return more bytes, or none at the end.

        Only the time spent waiting for the caller counts towards the timeout.
        """
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        timeout_s = self._read_s + self._received_bytes / SLOWEST_BYTES_PER_S - self._waited_s
        try:
            async with asyncio.timeout(timeout_s):
                part = await self._request.content.readany()
        except TimeoutError:
            self.broken = BadBody(408, "the body never came whole")
        except (web.RequestPayloadError, BadHttpMessage, ConnectionError, RuntimeError) as error:
            self.broken = BadBody(400, f"the body cannot be read: {type(error).__name__}")
        else:
            self._waited_s += loop.time() - began_s
            self._received_bytes += len(part)
            if self._received_bytes <= LONGEST_BODY:
                return part
            self.broken = BadBody(413, "the body is too long")
        raise self.broken

    def linger(self) -> None:
        """Read and discard the rest for a while after the response."""
        discard_rest(self._request)

    def end(self) -> None:
        """Release all buffered bytes."""
        self.held, reserved_bytes, self._reserved_bytes = b"", self._reserved_bytes, 0
        self._budget.give_back(reserved_bytes)
