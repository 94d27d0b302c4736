"""Records of emulated upstreams, one JSON line each, from which a checker later determines what ran where.

Times are in milliseconds of the machine's monotonic clock, which all processes of one machine share.
"""

from __future__ import annotations

import os
from collections.abc import Iterator
from pathlib import Path

import msgspec


class Record(msgspec.Struct, frozen=True, tag=True):
    """Base of all records; the tag is the class name."""


class Started(Record, frozen=True):
    """An incarnation started listening."""

    at_ms: float
    instance: str
    service: str


class Ran(Record, frozen=True):
    """Execution of a request began. `resumed_after`: number of events of an earlier run that it continues."""

    at_ms: float
    instance: str
    request: str
    tenant: str
    path: str
    resumed_after: int = 0


class TurnedAway(Record, frozen=True):
    """A request was rejected without being executed, and will not be executed."""

    at_ms: float
    instance: str
    request: str
    status: int


class Ended(Record, frozen=True):
    """An executed request ended. `how` is `whole`, or the reason why it is incomplete."""

    at_ms: float
    instance: str
    request: str
    events: int
    how: str


class PrefilledPart(Record, frozen=True):
    """A prompt part was prefilled completely. `shared`: other prompts may contain it too."""

    at_ms: float
    instance: str
    part: str
    tokens: int
    shared: bool


AnyRecord = Started | Ran | TurnedAway | Ended | PrefilledPart
_decoder = msgspec.json.Decoder(AnyRecord)


class RecordWriter:
    """Appends each record to a file with one write, so that it survives a kill of the process."""

    def __init__(self, path: Path) -> None:
        self._descriptor = os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o644)

    def __call__(self, record: Record) -> None:
        """Append a record."""
        os.write(self._descriptor, msgspec.json.encode(record) + b"\n")

    def close(self) -> None:
        """Close the file."""
        os.close(self._descriptor)


def read_records(path: Path) -> Iterator[AnyRecord]:
    """Read the records in a file; a truncated last line is skipped."""
    with path.open("rb") as file:
        for line in file:
            if line.endswith(b"\n"):
                yield _decoder.decode(line)
