"""Watches the upstream list of discovery, and restarts the watch when it ends."""

from __future__ import annotations

import asyncio
import random
from contextlib import aclosing, suppress

from madderwind.standalone.policy import api
from madderwind.standalone.protocol.framing import ListFraming
from madderwind.standalone.protocol.listing import Listing, ListingError
from madderwind.standalone.routing.copy import Copy
from madderwind.transport.stream import StreamEnded, parts

# Limits on the time from a change at a reachable discovery until it is known here, whatever became of a call:
# in general, and after SIGHUP with a new address. All other times below follow from these two.
TOLD_S, TOLD_ANEW_S = 6.0, 4.0
# The agent answers at once, and is silent while discovery is down. Waiting longer for the answer to a call
# made during an outage would delay noticing that discovery is back.
ANSWER_S = 1.5
# Allowance for a late event loop and for the duration of an answer.
MARGIN_S = 0.5
# An empty line arrives every 2 s while nothing changes. The watch counts as dead early enough for the next
# call to begin in time, which is due `TOLD_S - ANSWER_S - MARGIN_S` after the last sign of life.
SILENCE_S = 3.5
# Delay between tries where changes are pushed to the agent, for which a try is cheap.
RETRY_S = 0.25
# Where copies must poll, each call is work for discovery, which rejects some: the module says when to ask.
# Its waits double up to 20 s, so the host asks by itself after a random fraction, between these two, of the
# time that is left.
LEAST_UNASKED, MOST_UNASKED = 0.3, 1.0


class Follower:
    """Keeps a watch open and passes listings to the module, and watch failures where copies must poll."""

    def __init__(self, copy: Copy, address: tuple[str, int], random_source: random.Random) -> None:
        self._copy, self._address, self._random = copy, address, random_source
        self.heard = asyncio.Event()
        self._listed_since_start, self._last_reason = False, ""
        self._update_limit_s = TOLD_S
        # The time up to which discovery's state is known here, or would be by the answer to the last call.
        self._known_until_s = 0.0
        self._dead_at_s = 0.0  # when the watch counts as dead if nothing arrives before

    async def run(self, anew: bool = False) -> None:
        """Watch until cancelled. `anew`: a new address, called at once even where copies must poll."""
        copy, loop = self._copy, asyncio.get_running_loop()
        self._update_limit_s, self._known_until_s = TOLD_ANEW_S if anew else TOLD_S, loop.time()
        if copy.settings.must_ask and not anew:
            await self._wait_until_asked()
        while True:
            self._known_until_s = loop.time()
            self._dead_at_s = self._known_until_s + ANSWER_S
            try:
                await self._watch()
            except StreamEnded as error:
                if (
                    self._listed_since_start or str(error) != self._last_reason
                ):  # else the same outage continues
                    copy.log("watch_ended", reason=str(error))
                self._listed_since_start, self._last_reason = False, str(error)
            except Exception as error:  # the watch restarts after any error
                copy.log("watch_broke", error=repr(error))
            if copy.settings.must_ask:
                copy.watch_asked_for.clear()  # requests made before the watch failed
                copy.happened(api.ListFailed())
                await self._wait_until_asked()
            else:
                await asyncio.sleep(RETRY_S * (1 + self._random.random()))

    async def _wait_until_asked(self) -> None:
        """Wait until the module asks for a call, or until the host has to make one by itself."""
        due_s = self._known_until_s + self._update_limit_s - ANSWER_S - MARGIN_S
        left_s = max(0.0, due_s - asyncio.get_running_loop().time())
        with suppress(TimeoutError):
            async with asyncio.timeout(left_s * self._random.uniform(LEAST_UNASKED, MOST_UNASKED)):
                await self._copy.watch_asked_for.wait()

    async def _watch(self) -> None:
        target = f"/v1/servers?watch=1&from={self._copy.directory.revision}"
        framing = ListFraming()
        async with aclosing(parts(self._address, target, lambda: self._dead_at_s)) as chunks:
            async for part in chunks:
                for received in framing.feed(part):
                    self._handle(received)

    def _handle(self, received: Listing | ListingError | str) -> None:
        if isinstance(received, ListingError):
            self._copy.log("odd_list_line", error=str(received))
            return
        if isinstance(received, Listing):
            self._copy.log(
                "listed",
                revision=received.revision,
                whole=received.complete,
                members=[[member.id, member.phase] for member in received.members],
            )
            self._copy.listed(received)
            self.heard.set()
            self._listed_since_start = True
        # Only a whole list or an empty line is a sign of life: not a partial list, nor an unreadable line.
        self._known_until_s = asyncio.get_running_loop().time()
        self._dead_at_s, self._update_limit_s = self._known_until_s + SILENCE_S, TOLD_S
