"""Preparation of long commands outside the event loop, as parsing one takes several heartbeat intervals.

A replica that parses a configuration of several MiB while it handles an event answers no messages meanwhile,
and the other replicas consider it lost. A command that takes long to validate and apply is therefore prepared
first: the host runs the preparation outside its event loop and reports its completion. Preparation affects
timing only, not results. An entry is acknowledged once it is on disk, before it is prepared. What waits for
the preparation is the decision on a new command, at the primary, and the application of a committed one, at
the other replicas.
"""

from __future__ import annotations

from madderwind.replication.actions import Prepare
from madderwind.replication.commands import Command, ReplicatedState
from madderwind.replication.outbox import Outbox


class CommandPreparer:
    """Requests the preparation of commands, one at a time."""

    def __init__(self, outbox: Outbox) -> None:
        self._outbox = outbox
        self._token = 0
        self._in_progress: Command | None = None
        self._last_prepared: Command | None = None

    def is_ready(self, state: ReplicatedState, command: Command) -> bool:
        """Whether a state may validate and apply a command now.

        If not, the preparation of the command is requested as soon as no other is in progress. The command
        prepared last counts as ready even if its preparation had no effect, so that it is not prepared again.
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
        """Record that the host has run the preparation with this token."""
        if token == self._token:
            self._last_prepared, self._in_progress = self._in_progress, None
