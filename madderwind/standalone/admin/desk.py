"""Answers admin commands: reads the metrics, and passes maintenance commands to the copy."""

from __future__ import annotations

from collections.abc import Callable

from madderwind.standalone.admin.commands import (
    Command,
    InvalidCommandError,
    acknowledge,
    parse_command,
    reject,
)
from madderwind.standalone.admin.figures import AreaMetrics, FleetMetrics, metrics_text
from madderwind.standalone.routing.copy import Copy
from madderwind.standalone.routing.gossip_peers import GossipPeers


class Desk:
    """Answers each command line at once, without blocking."""

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
            command = parse_command(line)
        except InvalidCommandError as error:
            self._copy.log_sparingly("bad_call", reason=str(error), line=line[:80].decode("latin-1"))
            return reject(str(error))
        match command.word:
            case "STATUS":
                return acknowledge("ready") if self._is_ready() else reject("not ready")
            case "METRICS":
                fleet = FleetMetrics(self._copy.directory.listed_count(), self._copy.skipped())
                peers = self._copy.peers
                gossip_counts = peers.counts() if isinstance(peers, GossipPeers) else None
                return metrics_text(self._copy.tally, fleet, gossip_counts, self._area_metrics())
            case "LEAVE" | "RETURN":
                return self._evacuate_or_return(command)
            case "SUSPEND" if self._suspend(command.name):
                return acknowledge(f"{command.name} gets nothing more")
            case "RESTORE" if self._restore(command.name):
                return acknowledge(f"{command.name} is used again")
        return reject(f"{command.name} was never listed")

    def _area_metrics(self) -> AreaMetrics | None:
        withdrawal = self._copy.withdrawal
        return None if withdrawal is None else AreaMetrics(withdrawal.left(), withdrawal.counts())

    def _evacuate_or_return(self, command: Command) -> bytes:
        """Evacuate a zone or region fleet-wide, or return to it."""
        withdrawal, back = self._copy.withdrawal, command.word == "RETURN"
        if withdrawal is None:
            return reject("this balancer's file has no fleet.leaving")
        if why_not := withdrawal.evacuate_or_return(command.name, back):
            return reject(why_not)
        return acknowledge(
            f"{command.name} is returned to in steps" if back else f"{command.name} is left by all copies"
        )
