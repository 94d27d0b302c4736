"""Following discovery: the watch, and starting it anew."""

from __future__ import annotations

import asyncio
import random
from contextlib import aclosing, suppress

from madderwind.policy import api
from madderwind.protocol.listing import ListingError, read_listing
from madderwind.routing.copy import Copy
from madderwind.transport.stream import StreamEnded, lines

# An empty line comes every 2 s while nothing changes: once two of those are missing the watch is dead. The
# next must be up within the 6 s after which what it would have told counts as told.
SILENCE_S = 4.5
# The agent is silent while discovery is down: whoever goes on waiting for an answer to what was asked then
# hears late that it is back.
FIRST_S = 1.5
# Between tries where changes are pushed to the agent, which a try costs nothing.
RETRY_S = 0.25
# Where copies must ask, each call is work for discovery, which turns some away: the module says when to ask.
# Its waits double to 20 s, so the host asks after this time, by chance, if the module has not: what discovery
# has to tell counts as told after 6 s.
LEAST_UNASKED_S, MOST_UNASKED_S = 2.5, 5.0


class Follower:
    """Keeps a watch open, tells the module what comes, and where copies must ask, that it broke."""

    def __init__(self, copy: Copy, address: tuple[str, int], chance: random.Random) -> None:
        self._copy, self._address, self._chance = copy, address, chance
        self.heard = asyncio.Event()
        self._told, self._last_reason = False, ""

    async def run(self, at_once: bool = False) -> None:
        """Follow for good. `at_once`: also where copies must ask, as at an address that is new."""
        copy = self._copy
        if copy.settings.must_ask and not at_once:
            await self._asked()
        while True:
            try:
                await self._watch()
            except StreamEnded as error:
                if self._told or str(error) != self._last_reason:  # else it is as down as it was
                    copy.log("watch_ended", reason=str(error))
                self._told, self._last_reason = False, str(error)
            except Exception as error:  # the watch starts anew whatever broke
                copy.log("watch_broke", error=repr(error))
            if copy.settings.must_ask:
                copy.watch_asked_for.clear()  # what was asked before it broke
                copy.happened(api.ListFailed())
                await self._asked()
            else:
                await asyncio.sleep(RETRY_S * (1 + self._chance.random()))

    async def _asked(self) -> None:
        """Until the module asks, or for as long as it may be left to it."""
        with suppress(TimeoutError):
            async with asyncio.timeout(self._chance.uniform(LEAST_UNASKED_S, MOST_UNASKED_S)):
                await self._copy.watch_asked_for.wait()

    async def _watch(self) -> None:
        target = f"/v1/servers?watch=1&from={self._copy.directory.revision}"
        async with aclosing(lines(self._address, target, FIRST_S, SILENCE_S)) as told:
            async for line in told:
                if line:
                    self._line(line)

    def _line(self, line: bytes) -> None:
        try:
            listing = read_listing(line)
        except ListingError as error:
            self._copy.log("odd_list_line", error=str(error), line=line[:120].decode("latin-1"))
            return
        self._copy.log(
            "listed",
            revision=listing.revision,
            whole=listing.complete,
            members=[[member.id, member.phase] for member in listing.members],
        )
        self._copy.listed(listing)
        self.heard.set()
        self._told = True
