"""The state after all entries that the primary appended, committed or not.

New commands are validated against it.
"""

from __future__ import annotations

from madderwind.messages.replication import LogEntry
from madderwind.replication.commands import Command, CommandResult, ReplicatedState
from madderwind.replication.store import ReplicaStore, command_of


class AppendedState:
    """The state ahead of the committed one; retains the state after each entry until its commit."""

    def __init__(self, store: ReplicaStore) -> None:
        self._preparer = store.preparer
        self._newest = store.committed.copy()
        self._state_after: dict[int, ReplicatedState] = {}
        for index in range(store.committed_index + 1, store.log.last_index + 1):
            self.apply(store.log.entry(index))

    @property
    def version(self) -> int:
        """The version after all entries."""
        return self._newest.version

    def is_ready(self, command: Command) -> bool:
        """Whether `validate` and `apply` of a command are fast now; if not, it is prepared first."""
        return self._preparer.is_ready(self._newest, command)

    def validate(self, command: Command) -> CommandResult | None:
        """Validate a command against the state after all entries; see `ReplicatedState.validate`."""
        return self._newest.validate(command)

    def apply(self, entry: LogEntry) -> None:
        """Apply the next entry."""
        self._newest.apply(command_of(entry))
        self._state_after[entry.index] = self._newest.copy()

    def pop_state_after(self, index: int) -> ReplicatedState | None:
        """Return the state after a newly committed entry; drop the states up to and including it."""
        state = self._state_after.get(index)
        self._state_after = {later: after for later, after in self._state_after.items() if later > index}
        return state
