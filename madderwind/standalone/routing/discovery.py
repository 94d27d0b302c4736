"""Following discovery: the watch, and starting it anew."""

from __future__ import annotations

import asyncio
import random
from contextlib import aclosing, suppress

from madderwind.standalone.policy import api
from madderwind.standalone.protocol.framing import ListFraming
from madderwind.standalone.protocol.listing import Listing, ListingError
from madderwind.standalone.routing.copy import Copy
from madderwind.transport.stream import StreamEnded, parts

# Whatever became of a call, a change counts as told so long after discovery had it and could be reached; and
# so long after SIGHUP, at a new address. All other times here follow from these two.
TOLD_S, TOLD_ANEW_S = 6.0, 4.0
# The agent answers at once, and is silent while discovery is down: whoever goes on waiting for an answer to
# what was asked then hears late that it is back.
ANSWER_S = 1.5
# For a loop that is late, and for what an answer takes.
MARGIN_S = 0.5
# An empty line comes every 2 s while nothing changes. The watch counts as dead while there is still time for
# the next call to begin: that is owed `TOLD_S - ANSWER_S - MARGIN_S` after the last sign of life.
SILENCE_S = 3.5
# Between tries where changes are pushed to the agent, which a try costs nothing.
RETRY_S = 0.25
# Where copies must ask, each call is work for discovery, which turns some away: the module says when to ask.
# Its waits double to 20 s, so the host asks by itself after this part, by chance, of the time that is left.
LEAST_UNASKED, MOST_UNASKED = 0.3, 1.0


class Follower:
    """Keeps a watch open, tells the module what comes, and where copies must ask, that it broke."""

    def __init__(self, copy: Copy, address: tuple[str, int], chance: random.Random) -> None:
        self._copy, self._address, self._chance = copy, address, chance
        self.heard = asyncio.Event()
        self._told, self._last_reason = False, ""
        self._told_s = TOLD_S
        # Until when all that discovery had is known here, or would be by the answer to the last call.
        self._known_s = 0.0
        self._dead_s = 0.0  # when the watch counts as dead, if nothing comes till then

    async def run(self, anew: bool = False) -> None:
        """Follow for good. `anew`: at a new address, which is called at once also where copies must ask."""
        copy, loop = self._copy, asyncio.get_running_loop()
        self._told_s, self._known_s = TOLD_ANEW_S if anew else TOLD_S, loop.time()
        if copy.settings.must_ask and not anew:
            await self._asked()
        while True:
            self._known_s = loop.time()
            self._dead_s = self._known_s + ANSWER_S
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
        owed_s = self._known_s + self._told_s - ANSWER_S - MARGIN_S
        left_s = max(0.0, owed_s - asyncio.get_running_loop().time())
        with suppress(TimeoutError):
            async with asyncio.timeout(left_s * self._chance.uniform(LEAST_UNASKED, MOST_UNASKED)):
                await self._copy.watch_asked_for.wait()

    async def _watch(self) -> None:
        target = f"/v1/servers?watch=1&from={self._copy.directory.revision}"
        framing = ListFraming()
        async with aclosing(parts(self._address, target, lambda: self._dead_s)) as told:
            async for part in told:
                for said in framing.feed(part):
                    self._take(said)

    def _take(self, said: Listing | ListingError | str) -> None:
        if isinstance(said, ListingError):
            self._copy.log("odd_list_line", error=str(said))
            return
        if isinstance(said, Listing):
            self._copy.log(
                "listed",
                revision=said.revision,
                whole=said.complete,
                members=[[member.id, member.phase] for member in said.members],
            )
            self._copy.listed(said)
            self.heard.set()
            self._told = True
        # Only a whole list or an empty line is a sign of life: not half a list, nor what can't be read.
        self._known_s = asyncio.get_running_loop().time()
        self._dead_s, self._told_s = self._known_s + SILENCE_S, TOLD_S
