"""What one event leads to: actions for the host, in order, and messages of this replica to itself."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

from madderwind.log_events.event import LogLine
from madderwind.messages.replication import ReplicationMessage
from madderwind.replication.actions import Action, Send


class Outbox:
    """Collects actions while an event is handled."""

    def __init__(self, own_address: str) -> None:
        self._own_address = own_address
        self._actions: list[Action] = []
        self._to_self: deque[ReplicationMessage] = deque()

    def send(self, address: str, message: ReplicationMessage) -> None:
        """Send at once; a message to this replica itself is handled within the same event."""
        if address == self._own_address:
            self._to_self.append(message)
        else:
            self._actions.append(Send(address, message))

    def add(self, action: Action) -> None:
        """Have the host do something."""
        self._actions.append(action)

    def extend(self, actions: Iterable[Action]) -> None:
        """Have the host do several things, in order."""
        self._actions.extend(actions)

    def log(self, line: LogLine) -> None:
        """Have a line logged."""
        self._actions.append(line)

    def next_to_self(self) -> ReplicationMessage | None:
        """Remove and return the oldest message to this replica itself; None where there is none."""
        return self._to_self.popleft() if self._to_self else None

    def drain(self) -> list[Action]:
        """Remove and return all actions so far."""
        actions, self._actions = self._actions, []
        return actions
