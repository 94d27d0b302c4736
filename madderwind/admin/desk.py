"""What answers operators' calls: reads the figures, and hands maintenance to the copy."""

from __future__ import annotations

from collections.abc import Callable

from madderwind.admin.commands import BadCall, no, read_call, yes
from madderwind.admin.figures import Fleet, figures
from madderwind.routing.copy import Copy
from madderwind.routing.fellows import Fellows


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
                return figures(
                    self._copy.tally, fleet, peers.counts() if isinstance(peers, Fellows) else None
                )
            case "SUSPEND" if self._suspend(call.upstream):
                return yes(f"{call.upstream} gets nothing more")
            case "RESTORE" if self._restore(call.upstream):
                return yes(f"{call.upstream} is used again")
        return no(f"{call.upstream} was never listed")
