"""The observations of clients, upstreams, agents and relays, the only evidence for a verdict.

All times are milliseconds after the drill's begin, on the machine's monotonic clock.
"""

from __future__ import annotations

from pathlib import Path

import msgspec

ENDLESS_MS = 1e12  # JSON has no infinity


class RequestTrace(msgspec.Struct):
    """A client's request.

    `write_began_ms`: just before its first byte was written to an established connection; `written_ms`: after
    its last byte was, which a busy machine may note late. `how` it ended: answered; closed (the connection
    ended first); none (the client stopped waiting); untaken (no copy accepted a connection); crossed (a
    reused connection ended before an answer, and the request was retried under another number).
    """

    number: int
    copy: int
    class_index: int
    intended_ms: float
    write_began_ms: float = ENDLESS_MS
    written_ms: float = -ENDLESS_MS
    deadline_ms: float = 0.0
    ended_ms: float = ENDLESS_MS
    how: str = "none"
    status: int = 0
    served_by: int = -1  # the upstream named in the answer's body
    told: int = -1  # the request number in the answer's body
    extra: int = 0  # bytes received after the final answer


class AttemptTrace(msgspec.Struct):
    """An attempt of a copy as seen by a relay. `ended_ms`: when its answer was forwarded, or its connection
    ended."""

    copy: int
    upstream: int
    number: int
    at_ms: float
    ended_ms: float = ENDLESS_MS
    turned_away: bool = False  # the answer has the header that proves that the request never ran


class UpstreamTrace(msgspec.Struct):
    """A request received by an upstream, and its outcome there."""

    upstream: int
    number: int
    copy: int
    at_ms: float
    outcome: str = ""


class OverloadTrace(msgspec.Struct):
    """A crash of an upstream from overload: `got` requests came in a window with a capacity of `can`."""

    upstream: int
    at_ms: float
    number: int
    got: int
    can: float


class ListUpdateTrace(msgspec.Struct):
    """An upstream's phase that a discovery agent sent to a copy."""

    copy: int
    at_ms: float
    upstream: int
    phase: str


class MessageCounts(msgspec.Struct):
    """Datagrams sent by one copy in one second, as counted by the relay."""

    copy: int
    second: int
    sent: int = 0
    size_bytes: int = 0
    passed: int = 0


class EventTrace(msgspec.Struct):
    """A gossiped event: when its origin first sent it, and when each copy was first sent a datagram with
    it."""

    origin: int
    version: int
    at_ms: float
    heard_ms: dict[int, float] = {}


class ProcessEvent(msgspec.Struct):
    """A change of a copy's process (start, exit, signal), as recorded by its parent."""

    copy: int
    at_ms: float
    what: str  # start, up, kill, term, pause, continue, ended
    code: int = 0


class Sample(msgspec.Struct):
    """The resource usage of a process: CPU time since its start, and resident memory."""

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
    foreign: int = 0  # datagrams that a relay received from outside the rig

    def add(self, other: Traces) -> None:
        for name in self.__struct_fields__:
            mine, theirs = getattr(self, name), getattr(other, name)
            setattr(self, name, mine + theirs)


def write(path: Path, traces: Traces) -> None:
    path.write_bytes(msgspec.json.encode(traces))


def read(path: Path) -> Traces:
    return msgspec.json.decode(path.read_bytes(), type=Traces)
