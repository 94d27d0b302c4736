"""Results of one event: actions for the host, in order, and messages of this replica to itself."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

from madderwind.log_events.event import LogLine
from madderwind.messages.replication import ReplicationMessage
from madderwind.replication.actions import Action, Send


class Outbox:
    """Collects actions and local messages while an event is handled."""

    def __init__(self, own_address: str) -> None:
        self._own_address = own_address
        self._actions: list[Action] = []
        self._local_messages: deque[ReplicationMessage] = deque()

    def send(self, address: str, message: ReplicationMessage) -> None:
        """Send a message; a message to this replica itself is handled within the same event."""
        if address == self._own_address:
            self._local_messages.append(message)
        else:
            self._actions.append(Send(address, message))

    def add(self, action: Action) -> None:
        """Add an action for the host."""
        self._actions.append(action)

    def extend(self, actions: Iterable[Action]) -> None:
        """Add several actions for the host, in order."""
        self._actions.extend(actions)

    def log(self, line: LogLine) -> None:
        """Add a log line for the host to write."""
        self._actions.append(line)

    def pop_local_message(self) -> ReplicationMessage | None:
        """Remove and return the oldest message to this replica itself, or None."""
        return self._local_messages.popleft() if self._local_messages else None

    def drain(self) -> list[Action]:
        """Remove and return all collected actions."""
        actions, self._actions = self._actions, []
        return actions
