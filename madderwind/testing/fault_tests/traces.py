"""What clients, upstreams, agents and relays saw: the only evidence that a verdict rests on.

All times are milliseconds after the drill's begin, on the one monotonic clock of the machine.
"""

from __future__ import annotations

from pathlib import Path

import msgspec

ENDLESS_MS = 1e12  # JSON has no infinity


class RequestTrace(msgspec.Struct):
    """A client's request. `written_ms`: when its last byte went out on a connection that a copy's machine
    took. `how` it ended: answered; closed (the connection ended first); none (the client stopped waiting);
    untaken (no copy took a connection); crossed (a kept connection ended with no word: asked once more, under
    another number)."""

    number: int
    copy: int
    class_index: int
    intended_ms: float
    written_ms: float = -ENDLESS_MS
    deadline_ms: float = 0.0
    ended_ms: float = ENDLESS_MS
    how: str = "none"
    status: int = 0
    served_by: int = -1  # the upstream that the answer's body names
    told: int = -1  # the request that it names
    extra: int = 0  # bytes that came on after the final answer


class AttemptTrace(msgspec.Struct):
    """An attempt as a relay saw it come from a copy. `ended_ms`: its answer passed, or its connection
    ended."""

    copy: int
    upstream: int
    number: int
    at_ms: float
    ended_ms: float = ENDLESS_MS
    turned_away: bool = False  # its answer was the proof that it never ran


class UpstreamTrace(msgspec.Struct):
    """A request at an upstream, and how it ended there."""

    upstream: int
    number: int
    copy: int
    at_ms: float
    outcome: str = ""


class OverloadTrace(msgspec.Struct):
    upstream: int
    at_ms: float
    number: int
    got: int
    can: float


class ListUpdateTrace(msgspec.Struct):
    """A line that discovery's agent wrote to a copy: an upstream's phase."""

    copy: int
    at_ms: float
    upstream: int
    phase: str


class MessageCounts(msgspec.Struct):
    """Datagrams of one copy in one second, as the relay saw them."""

    copy: int
    second: int
    sent: int = 0
    size_bytes: int = 0
    passed: int = 0


class EventTrace(msgspec.Struct):
    """An urgent word of a fleet that passes words on: when it first left its teller, and each copy's first
    datagram with it."""

    origin: int
    version: int
    at_ms: float
    heard_ms: dict[int, float] = {}


class ProcessEvent(msgspec.Struct):
    """What became of a copy's process, as its parent saw it."""

    copy: int
    at_ms: float
    what: str  # start, up, kill, term, pause, continue, ended
    code: int = 0


class Sample(msgspec.Struct):
    """A process's figures: what it has used since its start, and what it holds."""

    who: str
    at_ms: float
    cpu_ms: float
    memory_mb: float


class Traces(msgspec.Struct):
    asked: list[RequestTrace] = []
    sent: list[AttemptTrace] = []
    ran: list[UpstreamTrace] = []
    fell: list[OverloadTrace] = []
    told: list[ListUpdateTrace] = []
    words: list[MessageCounts] = []
    news: list[EventTrace] = []
    lives: list[ProcessEvent] = []
    samples: list[Sample] = []
    foreign: int = 0  # datagrams that came to a relay from nobody of the rig

    def add(self, other: Traces) -> None:
        for name in self.__struct_fields__:
            mine, theirs = getattr(self, name), getattr(other, name)
            setattr(self, name, mine + theirs)


def write(path: Path, traces: Traces) -> None:
    path.write_bytes(msgspec.json.encode(traces))


def read(path: Path) -> Traces:
    return msgspec.json.decode(path.read_bytes(), type=Traces)
