"""Compares an event stream with what an emulated upstream sends.

Detects missing, repeated, foreign, cut and joined events. Performs no I/O.
"""

from __future__ import annotations

import re

_END = b"\n\n"
# All that an emulated upstream sends for one event: its number, the stream's subject, the number, the total.
_EVENT = re.compile(rb"id: (\d{1,9})\ndata: ([^\s]+) (\d{1,9})/(\d{1,9})")


class EventCheck:
    """Checks the events of one generation over all attempts that resume it.

    `fault` describes the first error found.
    """

    def __init__(self, subject: str) -> None:
        self._subject = subject
        self._buffer = b""
        self._total = 0
        self.last = 0
        self.fault = ""

    def resume(self) -> None:
        """Discard a partial event: a new attempt resumes after the last complete event."""
        self._buffer = b""

    def feed(self, data: bytes) -> int:
        """Parse received bytes and return the number of events that they completed."""
        *events, self._buffer = (self._buffer + data).split(_END)
        for event in events:
            self._check_event(event)
        return len(events)

    @property
    def is_complete(self) -> bool:
        """Whether the last event was received and nothing after it."""
        return bool(self._total) and self.last == self._total and not self._buffer

    def check_end(self) -> None:
        """Check that all events were received, at the regular end of the response."""
        if not self.is_complete:
            self._record_fault(f"ended as complete after event {self.last} of {self._total or 'none'}")

    def _check_event(self, event: bytes) -> None:
        match = _EVENT.fullmatch(event)
        if match is None:
            self._record_fault(f"an event that no upstream sent after event {self.last}")
            return
        number, total = int(match[1]), int(match[4])
        self._total = self._total or total
        if match[2] != self._subject.encode() or int(match[3]) != number or total != self._total:
            self._record_fault(f"an event of another stream after event {self.last}")
        elif number != self.last + 1:
            error_kind = "a gap" if number > self.last else "a repeat"
            self._record_fault(f"{error_kind}: event {number} after event {self.last}")
        self.last = max(self.last, number)

    def _record_fault(self, fault: str) -> None:
        self.fault = self.fault or fault
