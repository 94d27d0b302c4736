"""What answers operators' calls: reads the figures, and hands maintenance to the copy."""

from __future__ import annotations

from collections.abc import Callable

from madderwind.standalone.admin.commands import BadCall, Call, no, read_call, yes
from madderwind.standalone.admin.figures import Areas, Fleet, figures
from madderwind.standalone.routing.copy import Copy
from madderwind.standalone.routing.gossip_peers import GossipPeers


class Desk:
    """Answers one line with one answer, at once; nothing here waits."""

    def __init__(
        self,
        copy: Copy,
        is_ready: Callable[[], bool],
        suspend: Callable[[str], bool],
        restore: Callable[[str], bool],
    ) -> None:
        self._copy, self._is_ready = copy, is_ready
        self._suspend, self._restore = suspend, restore

    def answer(self, line: bytes) -> bytes:
        try:
            call = read_call(line)
        except BadCall as error:
            self._copy.log_sparingly("bad_call", reason=str(error), line=line[:80].decode("latin-1"))
            return no(str(error))
        match call.word:
            case "STATUS":
                return yes("ready") if self._is_ready() else no("not ready")
            case "METRICS":
                fleet = Fleet(self._copy.directory.listed_count(), self._copy.skipped())
                peers = self._copy.peers
                words = peers.counts() if isinstance(peers, GossipPeers) else None
                return figures(self._copy.tally, fleet, words, self._areas())
            case "LEAVE" | "RETURN":
                return self._area(call)
            case "SUSPEND" if self._suspend(call.name):
                return yes(f"{call.name} gets nothing more")
            case "RESTORE" if self._restore(call.name):
                return yes(f"{call.name} is used again")
        return no(f"{call.name} was never listed")

    def _areas(self) -> Areas | None:
        withdrawal = self._copy.withdrawal
        return None if withdrawal is None else Areas(withdrawal.left(), withdrawal.counts())

    def _area(self, call: Call) -> bytes:
        """A zone or region, for the whole fleet."""
        withdrawal, back = self._copy.withdrawal, call.word == "RETURN"
        if withdrawal is None:
            return no("this balancer's file has no fleet.leaving")
        if why_not := withdrawal.by_hand(call.name, back):
            return no(why_not)
        return yes(f"{call.name} is returned to in steps" if back else f"{call.name} is left by all copies")
