"""The state after all entries that the primary appended, committed or not.

Commands are validated on top of it.
"""

from __future__ import annotations

from madderwind.messages.replication import LogEntry
from madderwind.replication.commands import Command, CommandResult, ReplicatedState
from madderwind.replication.store import ReplicaStore, command_of


class AppendedState:
    """Runs ahead of the committed state, and keeps the state after each entry for its commit."""

    def __init__(self, store: ReplicaStore) -> None:
        self._preparer = store.preparer
        self._newest = store.committed.copy()
        self._after: dict[int, ReplicatedState] = {}
        for index in range(store.committed_index + 1, store.log.last_index + 1):
            self.apply(store.log.entry(index))

    @property
    def version(self) -> int:
        """The version after all entries."""
        return self._newest.version

    def is_ready(self, command: Command) -> bool:
        """Whether `validate` and `apply` of a command are short now; if not, it is being prepared."""
        return self._preparer.is_ready(self._newest, command)

    def validate(self, command: Command) -> CommandResult | None:
        """What `ReplicatedState.validate` says on top of all entries."""
        return self._newest.validate(command)

    def apply(self, entry: LogEntry) -> None:
        """Add the next entry."""
        self._newest.apply(command_of(entry))
        self._after[entry.index] = self._newest.copy()

    def take_after(self, index: int) -> ReplicatedState | None:
        """The state after an entry, which is committed now; it and all earlier ones are let go."""
        state = self._after.get(index)
        self._after = {later: after for later, after in self._after.items() if later > index}
        return state
