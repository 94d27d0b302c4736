"""What upstreams ran and what clients received, and the rules that compare the two. No I/O."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator

import msgspec

from madderwind.testing.fault_tests.wire import chunk
from madderwind.testing.local_fleet.checker import NOT_EXECUTED_STATUSES

OK = 200


class RequestKind(msgspec.Struct, frozen=True):
    """A kind of request: its route, how often clients send it, and the mean number of its events.

    `mean_events` is 0 for a plain request.
    """

    name: str
    route_type: str
    service: str
    weight: float
    mean_events: int = 0
    is_resumable: bool = False
    max_attempts: int = 1

    @property
    def is_idempotent(self) -> bool:
        """Whether one request may run more than once."""
        return self.is_resumable or self.route_type == "safe"


class Run(msgspec.Struct):
    """One upstream's run of a request: a stream of the events `after` + 1 to `total`, or a plain body.

    `ending` tells how its response ended, for reports.
    """

    number: int
    request_id: str
    instance: str
    after: int
    total: int
    tokens: int = 3
    ending: str = "whole"

    @property
    def signature(self) -> str:
        """The upstream's signature on this run's response."""
        return f"{self.instance}.{self.number}"

    def event(self, number: int) -> bytes:
        """An event of this run."""
        text = f"{self.request_id} run {self.number} event {number}/{self.total}" + " token" * self.tokens
        return f"id: {number}\ndata: {text}\n\n".encode()

    def events(self) -> list[bytes]:
        """All events of this run."""
        return [self.event(number) for number in range(self.after + 1, self.total + 1)]

    def body(self) -> bytes:
        """The whole body of this run's response."""
        if self.total:
            return b"".join(self.events())
        return f"{self.request_id} run {self.number}\n".encode()


class Received(msgspec.Struct):
    """What a client received for one request.

    `events_wanted` and `after`: the number of events that the request asked for, and the last one that the
    client had already. `is_complete` tells whether the framing ended the response.
    """

    kind: RequestKind
    request_id: str
    node: str
    events_wanted: int = 0
    after: int = 0
    status: int = 0
    signature: str = ""
    body: bytes = b""
    is_complete: bool = False

    @property
    def last_complete_event(self) -> int:
        """The number of the last whole event, at least `after`."""
        return self.after + self.body.count(b"\n\n")


class RunLog:
    """All runs by the request that they belong to."""

    def __init__(self) -> None:
        self._by_request: dict[str, list[Run]] = defaultdict(list)
        self.count = 0

    def add(self, request_id: str, instance: str, after: int, total: int, tokens: int) -> Run:
        """Record the begin of a run."""
        self.count += 1
        run = Run(self.count, request_id, instance, after, total, tokens)
        self._by_request[request_id].append(run)
        return run

    def of(self, request_id: str) -> list[Run]:
        """The runs of one request, in the order in which they began."""
        return self._by_request.get(request_id, [])


def violations(received: Received, log: RunLog) -> Iterator[str]:
    """Each rule that the response to one request breaks, with what was seen."""
    kind, runs = received.kind, log.of(received.request_id)
    if len(runs) > 1 and not kind.is_idempotent:
        yield f"TWICE ran {len(runs)} times"
    if len({run.instance for run in runs}) > kind.max_attempts:
        yield f"BUDGET ran on {len(runs)} upstreams, {kind.max_attempts} are allowed"
    is_promise = received.status in NOT_EXECUTED_STATUSES and received.is_complete
    if is_promise and runs and not kind.is_idempotent:
        yield f"REFUSED with {received.status}, and ran"
    if received.status == OK and received.is_complete:
        yield from _violations_of_success(received, runs)


def _violations_of_success(received: Received, runs: list[Run]) -> Iterator[str]:
    signed = [run for run in runs if run.signature == received.signature]
    if not signed:
        yield f"MIXED the signature {received.signature!r} is of no run of this request"
    elif received.events_wanted:
        yield from _violations_of_stream(received, runs[runs.index(signed[0]) :])
    elif received.body != signed[0].body():
        yield f"MIXED {received.body[:80]!r} in place of the upstream's body"


def _violations_of_stream(received: Received, runs: list[Run]) -> Iterator[str]:
    """Compare a stream byte for byte with the events of its first run and of those that resumed it."""
    rest, number, total = received.body, received.after, received.events_wanted
    while number < total:
        matching = [run for run in runs if run.after <= number and rest.startswith(run.event(number + 1))]
        if not matching:
            break
        runs = runs[runs.index(matching[0]) :]
        number += 1
        rest = rest[len(matching[0].event(number)) :]
    if rest:
        yield (
            f"ORDER ends as complete after piece {number} of {total}, then a piece that no run made whole:"
            f" {len(rest)} bytes, begins {rest[:120]!r}"
        )
    elif number < total:
        yield f"ORDER ends as complete after piece {number} of {total}"


def stream_frames(run: Run, events_per_chunk: int) -> list[bytes]:
    """The body of a stream in chunks of so many events, the last chunk included."""
    events = run.events()
    pieces = [b"".join(events[at : at + events_per_chunk]) for at in range(0, len(events), events_per_chunk)]
    return [chunk(piece) for piece in pieces] + [b"0\r\n\r\n"]
