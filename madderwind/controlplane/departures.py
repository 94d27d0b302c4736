"""Acknowledgements of upstreams that drain or end, held until other control planes have told data planes.

Such an acknowledgement binds all data planes, also when the machine that gave it dies in the next moment.
"""

from __future__ import annotations

import attrs

from madderwind.controlplane.effects import UpstreamAnswered
from madderwind.messages.distribution import UpstreamRecord
from madderwind.messages.peering import FinalStateNotice

# The upstream turns to another control plane after a second.
CONFIRM_WITHIN_MS = 500.0
# Peers are told again after so long.
REPEAT_AFTER_MS = 150.0


@attrs.define
class _Departure:
    """The calls of one instance that wait for their acknowledgement of a state."""

    record: UpstreamRecord
    repeat_ms: float
    deadlines_ms: dict[int, float] = attrs.field(factory=dict)  # by call
    confirmed_by: set[str] = attrs.field(factory=set)


class Departures:
    """Instances whose state has still to be confirmed; `needed`: by how many other control planes."""

    def __init__(self, needed: int) -> None:
        self._needed = needed
        self._waiting: dict[str, _Departure] = {}

    def __len__(self) -> int:
        return len(self._waiting)

    def begin(self, now_ms: float, call: int, record: UpstreamRecord) -> FinalStateNotice:
        """An upstream's call waits; what to tell the peers."""
        departure = self._waiting.get(record.instance)
        if departure is None:
            departure = self._waiting[record.instance] = _Departure(record, now_ms + REPEAT_AFTER_MS)
        elif departure.record.state != record.state:
            departure.record, departure.confirmed_by = record, set()
        departure.deadlines_ms[call] = now_ms + CONFIRM_WITHIN_MS
        return FinalStateNotice(record)

    def confirm(self, sender: str, instance: str, state: str) -> list[UpstreamAnswered]:
        """A peer has told its data planes of the instance's state."""
        departure = self._waiting.get(instance)
        if departure is None or departure.record.state != state:
            return []
        departure.confirmed_by.add(sender)
        if len(departure.confirmed_by) < self._needed:
            return []
        del self._waiting[instance]
        return [UpstreamAnswered(call, is_accepted=True) for call in departure.deadlines_ms]

    def refuse_late(self, now_ms: float) -> list[UpstreamAnswered]:
        """Refuse what waited long enough: the upstream tells another control plane."""
        answers: list[UpstreamAnswered] = []
        for instance, departure in list(self._waiting.items()):
            late = [call for call, deadline_ms in departure.deadlines_ms.items() if now_ms >= deadline_ms]
            answers += [UpstreamAnswered(call, is_accepted=False) for call in late]
            for call in late:
                del departure.deadlines_ms[call]
            if not departure.deadlines_ms:
                del self._waiting[instance]
        return answers

    def to_repeat(self, now_ms: float) -> list[FinalStateNotice]:
        """What the peers are to be told again."""
        due = [departure for departure in self._waiting.values() if now_ms >= departure.repeat_ms]
        for departure in due:
            departure.repeat_ms = now_ms + REPEAT_AFTER_MS
        return [FinalStateNotice(departure.record) for departure in due]
