"""Outcomes of attempts, on which both programs base their retry decisions."""

from __future__ import annotations

from enum import Enum


class Outcome(Enum):
    """The outcome of an attempt."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "not_sent"

    @property
    def never_ran(self) -> bool:
        """Whether the outcome proves that the upstream didn't process any part of the request."""
        return self in (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)
