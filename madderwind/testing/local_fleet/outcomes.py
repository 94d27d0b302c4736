"""Outcomes of the requests of a load as seen by the client, stored as JSON lines."""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum
from pathlib import Path

import msgspec

OUTCOMES_FILE = "requests.jsonl"


class OutcomeCategory(Enum):
    """Category of a finished request.

    IN_TIME: complete, with the first event and the longest gap between events within their objectives.
    LATE: complete, but not within the objectives. REFUSED: answered with a status that guarantees that the
    request has not run. FAILED: anything else.
    """

    IN_TIME = "in time"
    LATE = "late"
    REFUSED = "refused"
    FAILED = "failed"


class AttemptOutcome(msgspec.Struct):
    """One attempt, with times on the monotonic clock.

    `status` is 0 if there was no response; `how` tells how the attempt ended.
    """

    request_id: str
    front: str
    sent_ms: float
    ended_ms: float = 0.0
    status: int = 0
    how: str = ""
    signature: str = ""
    events: int = 0
    resumed_after: int = 0


class Outcome(msgspec.Struct):
    """One request.

    `first_ms` is the time from the scheduled send time to the first event; `gaps_ms` are the times between
    consecutive events.
    """

    number: int
    kind: str
    tenant: str
    at_ms: float
    shared_tokens: int
    fate: OutcomeCategory = OutcomeCategory.FAILED
    first_ms: float | None = None
    ended_ms: float = 0.0
    gaps_ms: list[float] = []
    tries: list[AttemptOutcome] = []
    fault: str = ""

    @property
    def is_served(self) -> bool:
        """Whether the complete response was received."""
        return self.fate in (OutcomeCategory.IN_TIME, OutcomeCategory.LATE)


def write_outcomes(path: Path, outcomes: Iterable[Outcome]) -> None:
    """Write all outcomes of a load, one per line."""
    path.write_bytes(b"".join(msgspec.json.encode(outcome) + b"\n" for outcome in outcomes))


def read_outcomes(path: Path) -> list[Outcome]:
    """Read the outcomes from a file."""
    decoder = msgspec.json.Decoder(Outcome)
    return [decoder.decode(line) for line in path.read_bytes().splitlines()]
