"""Long commands are prepared apart from the events: reading one takes as long as several heartbeats.

A replica that reads a configuration of several MiB while it handles an event answers nobody meanwhile, and is
taken for lost. So a command that takes long to validate and apply is prepared first: the host runs the
preparation beside its event loop and reports its end. Nothing but time depends on it. An entry is
acknowledged from the disk before it is prepared; what waits is the decision on a new command, at the primary,
and the application of a committed one, at the others.
"""

from __future__ import annotations

from madderwind.replication.actions import Prepare
from madderwind.replication.commands import Command, ReplicatedState
from madderwind.replication.outbox import Outbox


class CommandPreparer:
    """Has commands prepared one at a time."""

    def __init__(self, outbox: Outbox) -> None:
        self._outbox = outbox
        self._token = 0
        self._in_progress: Command | None = None
        self._last_prepared: Command | None = None

    def is_ready(self, state: ReplicatedState, command: Command) -> bool:
        """Whether a state may validate and apply a command now.

        Where it may not, its preparation begins as soon as no other is in progress. A command that was
        prepared is ready whatever became of the result, so that each is prepared once at most.
        """
        preparation = state.preparation(command)
        if preparation is None or self._last_prepared == command:
            return True
        if self._in_progress is None:
            self._token += 1
            self._in_progress = command
            self._outbox.add(Prepare(self._token, preparation))
        return False

    def handle_completed(self, token: int) -> None:
        """The host ran the preparation with this token."""
        if token == self._token:
            self._last_prepared, self._in_progress = self._in_progress, None
