"""What became of each request of a load, as the client saw it: a JSON line each."""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum
from pathlib import Path

import msgspec

OUTCOMES_FILE = "requests.jsonl"


class OutcomeCategory(Enum):
    """`IN_TIME`: whole, its first event within the objective and no pause too long."""

    IN_TIME = "in time"
    LATE = "late"
    REFUSED = "refused"
    FAILED = "failed"


class AttemptOutcome(msgspec.Struct):
    """One try. `status` is 0 where no answer came; `how` tells how it ended. Times on the steady clock."""

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
    """One request. `first_ms` counts from when it was meant to be sent; `gaps_ms` are between its events."""

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
        """Whether the whole answer came."""
        return self.fate in (OutcomeCategory.IN_TIME, OutcomeCategory.LATE)


def write_outcomes(path: Path, outcomes: Iterable[Outcome]) -> None:
    """All outcomes of a load, one a line."""
    path.write_bytes(b"".join(msgspec.json.encode(outcome) + b"\n" for outcome in outcomes))


def read_outcomes(path: Path) -> list[Outcome]:
    """The outcomes in a file."""
    decoder = msgspec.json.Decoder(Outcome)
    return [decoder.decode(line) for line in path.read_bytes().splitlines()]
