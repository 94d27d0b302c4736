"""What stand-in upstreams note down, a JSON line each, so that a checker can tell afterwards what ran where.

Times are in milliseconds of the machine's steady clock, which all processes of one machine share.
"""

from __future__ import annotations

import os
from collections.abc import Iterator
from pathlib import Path

import msgspec


class Record(msgspec.Struct, frozen=True, tag=True):
    """The base of all records; the tag is the class's name."""


class Started(Record, frozen=True):
    """An incarnation began to listen."""

    at_ms: float
    instance: str
    service: str


class Ran(Record, frozen=True):
    """Work on a request began. `resumed_after`: events of an earlier run that this one goes on after."""

    at_ms: float
    instance: str
    request: str
    tenant: str
    path: str
    resumed_after: int = 0


class TurnedAway(Record, frozen=True):
    """A request was answered without having run, and never will."""

    at_ms: float
    instance: str
    request: str
    status: int


class Ended(Record, frozen=True):
    """A request that ran is over: `whole`, or why not."""

    at_ms: float
    instance: str
    request: str
    events: int
    how: str


class PrefilledPart(Record, frozen=True):
    """A prompt part was prefilled whole. `shared`: other prompts may have it too."""

    at_ms: float
    instance: str
    part: str
    tokens: int
    shared: bool


AnyRecord = Started | Ran | TurnedAway | Ended | PrefilledPart
_decoder = msgspec.json.Decoder(AnyRecord)


class RecordWriter:
    """Appends records to a file, each with one write: what is noted outlives a kill of the process."""

    def __init__(self, path: Path) -> None:
        self._descriptor = os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o644)

    def __call__(self, record: Record) -> None:
        """Note a record."""
        os.write(self._descriptor, msgspec.json.encode(record) + b"\n")

    def close(self) -> None:
        """Write no more."""
        os.close(self._descriptor)


def read_records(path: Path) -> Iterator[AnyRecord]:
    """The records in a file; a last line that was cut short is passed over."""
    with path.open("rb") as file:
        for line in file:
            if line.endswith(b"\n"):
                yield _decoder.decode(line)
