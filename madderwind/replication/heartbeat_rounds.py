"""Rounds of heartbeats: what a primary may conclude from their answers.

A majority that answers a round, none of them having accepted a later view, proves that no other replica was
primary when the round began: whatever was acknowledged before that moment is in this primary's log.
"""

from __future__ import annotations

import msgspec

# Rounds that may still be answered; older ones prove nothing that a newer one doesn't.
MAX_OPEN_ROUNDS = 64


class _Round(msgspec.Struct):
    sent_ms: float
    answered_by: set[str]


class HeartbeatRounds:
    """Counts the answers of members to rounds in one epoch.

    Attributes:
        last_started: Number of the newest round; 0 before the first.
        last_started_ms: When it began, ms on the steady clock.
        last_confirmed: Number of the newest round that a majority answered.
        confirmed_ms: When that round began; None before the first.
    """

    def __init__(self, now_ms: float) -> None:
        self.last_started = 0
        self.last_started_ms = now_ms
        self.last_confirmed = 0
        self.confirmed_ms: float | None = None
        self._open: dict[int, _Round] = {}

    def start(self, now_ms: float) -> int:
        """Begin a round; its number."""
        self.last_started += 1
        self.last_started_ms = now_ms
        self._open[self.last_started] = _Round(now_ms, set())
        if len(self._open) > MAX_OPEN_ROUNDS:
            del self._open[next(iter(self._open))]
        return self.last_started

    def handle_ack(self, number: int, member: str, majority: int) -> bool:
        """Count a member's answer; whether the round is confirmed by it."""
        answered = self._open.get(number)
        if answered is None:
            return False
        answered.answered_by.add(member)
        if len(answered.answered_by) < majority:
            return False
        self.last_confirmed, self.confirmed_ms = number, answered.sent_ms
        self._open = {later: data for later, data in self._open.items() if later > number}
        return True

    def discard_open(self) -> None:
        """Answers of an earlier epoch prove nothing about a later one."""
        self._open.clear()
