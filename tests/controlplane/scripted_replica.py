"""A replica whose role the test sets; it applies commands to a real ConfigurationHistory at once."""

from __future__ import annotations

from madderwind.configuration.history import ConfigurationHistory
from madderwind.replication.actions import Action, CommandResolved, Committed, ReadResolved
from madderwind.replication.commands import Command, CommandOutcome, CommandResult
from madderwind.replication.events import CommandSubmitted, Event, ReadSubmitted
from madderwind.replication.status import ReplicaStatus


class ScriptedReplica:
    """A replica without peers.

    `primary` is the address that it reports as the primary. While it is `unresponsive`, it resolves neither
    commands nor reads.
    """

    def __init__(self, address: str, members: tuple[str, ...], history: ConfigurationHistory) -> None:
        self.address, self.members = address, members
        self.primary = ""
        self.epoch = 1
        self.unresponsive = False
        self.is_needed = False
        self.fresh_age_ms: float | None = 10.0
        self.history = history
        self.events: list[Event] = []

    @property
    def committed(self) -> ConfigurationHistory:
        """The committed configuration."""
        return self.history

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        """Record the event; resolve commands and reads at once."""
        self.events.append(event)
        if isinstance(event, CommandSubmitted) and not self.unresponsive:
            return self._command(event.token, event.command)
        if isinstance(event, ReadSubmitted) and not self.unresponsive:
            return [ReadResolved(event.token, self._is_primary())]
        return []

    def status(self, now_ms: float) -> ReplicaStatus:
        """The status that results from the role set by the test."""
        return ReplicaStatus(
            is_primary=self._is_primary(),
            primary=self.primary,
            epoch=self.epoch,
            committed_version=self.history.version,
            fresh_age_ms=self.fresh_age_ms,
            members=self.members,
            is_needed=self.is_needed,
        )

    def _is_primary(self) -> bool:
        return self.primary == self.address

    def _command(self, token: int, command: Command) -> list[Action]:
        if not self._is_primary():
            return [CommandResolved(token, CommandResult(CommandOutcome.UNKNOWN))]
        result = self.history.validate(command)
        if result is not None:
            return [CommandResolved(token, result)]
        self.history.apply(command)
        version = self.history.version
        committed_result = CommandResult(CommandOutcome.COMMITTED, version)
        return [Committed(version), CommandResolved(token, committed_result)]
