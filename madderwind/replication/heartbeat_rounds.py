"""Rounds of heartbeats, and what a primary may conclude from their acknowledgements.

If a majority acknowledges a round and none of these members has accepted a later view, no other replica was
primary when the round began. Every command acknowledged before that moment is in this primary's log.
"""

from __future__ import annotations

import msgspec

# Limit of tracked rounds; acknowledging an older round proves nothing that a newer one doesn't prove.
MAX_OPEN_ROUNDS = 64


class _Round(msgspec.Struct):
    sent_ms: float
    acknowledged_by: set[str]


class HeartbeatRounds:
    """Counts the acknowledgements of the rounds in one epoch by the members.

    Attributes:
        last_started: Number of the newest round; 0 before the first.
        last_started_ms: When that round began, ms of monotonic time.
        last_confirmed: Number of the newest round that a majority acknowledged.
        confirmed_ms: When that round began; None before the first.
    """

    def __init__(self, now_ms: float) -> None:
        self.last_started = 0
        self.last_started_ms = now_ms
        self.last_confirmed = 0
        self.confirmed_ms: float | None = None
        self._open: dict[int, _Round] = {}

    def start(self, now_ms: float) -> int:
        """Start a round and return its number."""
        self.last_started += 1
        self.last_started_ms = now_ms
        self._open[self.last_started] = _Round(now_ms, set())
        if len(self._open) > MAX_OPEN_ROUNDS:
            del self._open[next(iter(self._open))]
        return self.last_started

    def handle_ack(self, number: int, member: str, majority: int) -> bool:
        """Count a member's acknowledgement; return whether it confirms the round."""
        acknowledged_round = self._open.get(number)
        if acknowledged_round is None:
            return False
        acknowledged_round.acknowledged_by.add(member)
        if len(acknowledged_round.acknowledged_by) < majority:
            return False
        self.last_confirmed, self.confirmed_ms = number, acknowledged_round.sent_ms
        self._open = {later: data for later, data in self._open.items() if later > number}
        return True

    def discard_open(self) -> None:
        """Discard the open rounds, as acknowledgements of one epoch prove nothing about a later one."""
        self._open.clear()
