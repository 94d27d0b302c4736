"""How attempts end: what both programs' decisions on retries rest on."""

from __future__ import annotations

from enum import Enum


class Outcome(Enum):
    """How an attempt ended."""

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
        """True where the outcome proves that the upstream did no part of the request."""
        return self in (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)
