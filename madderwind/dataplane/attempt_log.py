"""Logs one line per attempt for evaluating upstream selection; off in production because of its volume."""

from __future__ import annotations

import msgspec

from madderwind.dataplane.attempts import Attempt
from madderwind.eventlog import EventLog
from madderwind.placement.attempt_record import AttemptRecord


class AttemptLog:
    """Writes attempts to the debug log, if there is one."""

    def __init__(self, debug: EventLog | None) -> None:
        """`debug` receives the lines; None turns them off."""
        self._log = debug

    @property
    def is_on(self) -> bool:
        """Whether attempts are logged."""
        return self._log is not None

    def write(self, request_id: str | None, route: str, attempt: Attempt, record: AttemptRecord) -> None:
        """Log an attempt that has ended."""
        if self._log is None:
            return
        fields = msgspec.to_builtins(record)
        result = None if attempt.result is None else attempt.result.value
        self._log("attempt", request=request_id, route=route, result=result, **fields)
