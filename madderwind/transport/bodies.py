"""A caller's body: whole where it is short, its beginning and the rest in pieces where it is long."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

from aiohttp import web
from aiohttp.http_exceptions import BadHttpMessage

from madderwind.transport.budget import Budget

# Messages hold at most 32 MB; this leaves some room, and keeps out those that are longer by far.
LONGEST_BODY = 40 * 1024 * 1024
# Up to here a body is short: its bytes are there whatever else is held.
SHORT_BODY = 64 * 1024
# Up to here it is held whole if the budget allows it, so that it can be sent again.
HELD_BODY = 1024 * 1024
# What passing a message on holds: its buffers between two sockets.
PASSING = 256 * 1024
# Waiting for a caller's bytes: so long for the first, and no slower than this after. A caller with a body is
# owed its time at 64 kB a second, one that sends less than it said an error within 3 s of connecting.
READ_S, SLOWEST_BYTES_PER_S = 2.0, 48_000
# An answer before the last byte came is not overtaken by a reset, if the rest comes within this time.
LINGER_S = 2.0


class BadBody(ValueError):
    """A body that is too long, broken, or never whole, with the status that says so."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


class Body:
    """What came of a body so far, and the rest when it is asked for."""

    def __init__(self, request: web.BaseRequest, budget: Budget, read_s: float) -> None:
        self._request, self._budget, self._read_s = request, budget, read_s
        self.length = request.content_length  # None where only its end tells
        self.held = b""
        self.whole = False
        self._spent, self._came, self._waited_s = 0, 0, 0.0
        self.broken: BadBody | None = None  # why the rest never came

    async def begin(self) -> None:
        """Read it whole, or as much of it as may be held. Callers that ask first are told to go on.

        Guards against reading what is too long by its own header: that takes time from all other requests.
        """
        request = self._request
        if (self.length or 0) > LONGEST_BODY:
            raise BadBody(413, "the body is too long")
        if request.headers.get("Expect", "").lower() == "100-continue":
            await request.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
            request.writer.output_size = 0  # or the answer's own headers would count as sent
        if not request.body_exists:
            self.whole = True
            return
        parts = []
        while self._may_hold_more():
            part = await self._piece()
            if not part:
                self.whole = True
                break
            parts.append(part)
        self.held = b"".join(parts)

    @property
    def is_long(self) -> bool:
        return self._came > SHORT_BODY

    def _may_hold_more(self) -> bool:
        if self._came < self._spent:
            return True
        if self._came >= HELD_BODY:
            return False
        left = SHORT_BODY if self.length is None else max(1, self.length - self._came)
        wanted = min(left, SHORT_BODY)
        if self._came < SHORT_BODY:
            self._budget.spend(wanted)
        elif not self._budget.try_spend(wanted):
            return False
        self._spent += wanted
        return True

    async def rest(self) -> AsyncIterator[bytes]:
        """The held beginning, which is let go, and what comes after it, a piece at a time."""
        held = self.held
        self.end()
        for at in range(0, len(held), SHORT_BODY):
            yield held[at : at + SHORT_BODY]
        del held
        while not self.whole:
            part = await self._piece()
            self.whole = not part
            yield part

    async def _piece(self) -> bytes:
        """Some more bytes; none at the end. Only time in which the caller is waited for counts."""
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        may_wait_s = self._read_s + self._came / SLOWEST_BYTES_PER_S - self._waited_s
        try:
            async with asyncio.timeout(may_wait_s):
                part = await self._request.content.readany()
        except TimeoutError:
            self.broken = BadBody(408, "the body never came whole")
        except (web.RequestPayloadError, BadHttpMessage, ConnectionError, RuntimeError) as error:
            self.broken = BadBody(400, f"the body cannot be read: {type(error).__name__}")
        else:
            self._waited_s += loop.time() - began_s
            self._came += len(part)
            if self._came <= LONGEST_BODY:
                return part
            self.broken = BadBody(413, "the body is too long")
        raise self.broken

    def linger(self) -> None:
        """The rest is read and dropped for a while after the answer.

        Guards against a reset that overtakes the answer at a caller who still writes.
        """
        self._request.protocol._lingering_time = LINGER_S

    def end(self) -> None:
        """Nothing of it is held any more."""
        self.held, spent, self._spent = b"", self._spent, 0
        self._budget.give_back(spent)
