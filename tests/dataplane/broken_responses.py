"""Responses that break at any byte, over several attempts of one request: scripts, their player and a check.

By hand: `python -m tests.dataplane.broken_responses [EXAMPLES [SEED]]`.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from enum import Enum

import attrs
from hypothesis import given, seed
from hypothesis import strategies as st

from madderwind.testing.fault_tests.wire import chunk
from tests.dataplane.answer_scripts import Route
from tests.dataplane.drawn_scripts import run_command_line, script_settings
from tests.dataplane.fleet import CLIENT_HOST
from tests.dataplane.forwarder import ByteUpstream, JumpingLoop, ScriptedFleet
from tests.examples import HOST
from tests.standins import Message, read_message, reset

MAX_ATTEMPTS = 3
REQUEST_ID = "r-1"
LAST_CHUNK = b"0\r\n\r\n"
# Longer than what the data plane buffers of a response that is no stream.
LONG_BODY_BYTES = 70_000
THOUSAND = 1000
# From here on a short response contains its last event or its end.
LAST_EVENT_THOUSANDTHS = 900


class Framing(Enum):
    """How the end of a response is declared."""

    LENGTH = "length"
    CHUNK_PER_EVENT = "a chunk for each event"
    ONE_CHUNK = "one chunk"
    CLOSE = "the connection's end"


class Ending(Enum):
    """What an upstream does once it has sent a part of its response."""

    CLOSE = "close"
    RESET = "reset"
    IN_ORDER = "as a complete response, whose body is the part that was sent"


class Ids(Enum):
    """The ids that the events of a stream have."""

    NUMBERS = "numbers"
    TEXTS = "texts"
    NONE = "none"
    SOME = "numbers, on every second event"


@attrs.frozen
class Break:
    """Where a response ends early: after so many thousandths of its bytes, head included.

    A response that ends in order has a whole head, and so many thousandths of its body.
    """

    thousandths: int
    ending: Ending


@attrs.frozen
class Run:
    """What an upstream does with one attempt.

    `repeated`: how many events before the position at which the data plane resumes the stream are sent again.
    `is_terminated`: whether a blank line follows the last event.
    """

    is_stream: bool = True
    framing: Framing = Framing.CHUNK_PER_EVENT
    broken: Break | None = None
    repeated: int = 0
    is_terminated: bool = True
    write_bytes: int = 1 << 16


@attrs.frozen
class Script:
    """One request and the runs of its attempts; those after the last run are complete streams.

    `sizes`: the length of each event's text. `known`: how many events the client has from an earlier request.
    """

    route: Route
    runs: tuple[Run, ...]
    sizes: tuple[int, ...]
    ids: Ids = Ids.NUMBERS
    line_end: str = "\n"
    known: int = 0

    @property
    def known_id(self) -> str | None:
        """The `Last-Event-Id` of the client's request; None if it has none."""
        return self.event_id(self.known) if self.known else None

    def event_id(self, number: int) -> str | None:
        """The id of an event, counted from 1."""
        if self.ids is Ids.NONE or (self.ids is Ids.SOME and number % 2 == 0):
            return None
        return f"e{number}" if self.ids is Ids.TEXTS else str(number)

    def run(self, number: int) -> Run:
        """The run of an attempt, counted from 0; a complete stream if the script names none."""
        return self.runs[number] if number < len(self.runs) else Run()

    def event(self, run: int, number: int) -> bytes:
        """An event as one run sends it."""
        event_id = self.event_id(number)
        lines = [] if event_id is None else [f"id: {event_id}"]
        lines.append(f"data: run {run} event {number} " + "x" * self.sizes[number - 1])
        is_ended = number < len(self.sizes) or self.run(run).is_terminated
        return (self.line_end.join(lines) + self.line_end * (2 if is_ended else 1)).encode()

    def whole_event(self, run: int, number: int) -> bytes:
        """An event as a client has to receive it, with the blank line behind it."""
        event = self.event(run, number)
        is_ended = event.endswith((self.line_end * 2).encode())
        return event if is_ended else event + self.line_end.encode()

    def events_after(self, event_id: str | None) -> range:
        """The numbers of the events that follow the one with this id."""
        numbers = range(1, len(self.sizes) + 1)
        known = [number for number in numbers if event_id is not None and self.event_id(number) == event_id]
        return numbers[known[0] :] if known else numbers


class Broken(AssertionError):
    """The client received what no rule allows."""


class _Player:
    """Plays one script around the real listener, forwarder and pool."""

    def __init__(self, script: Script) -> None:
        self._script = script
        self._bodies: list[bytes] = []  # the whole body of each run
        self._runs: list[Run] = []
        self._was_reset = False  # whether the last run ended with a reset

    async def play(self) -> None:
        """Send the request and check its response; raises Broken."""
        upstreams = [ByteUpstream(self._serve) for _ in range(MAX_ATTEMPTS)]
        async with ScriptedFleet(*upstreams, max_attempts=MAX_ATTEMPTS) as fleet:
            reader, writer = await asyncio.open_connection(HOST, fleet.port)
            writer.write(self._request())
            try:
                response = await read_message(reader)
            except (asyncio.IncompleteReadError, ConnectionError):
                response = None
            writer.transport.abort()
        if len(self._runs) > 1 and not self._script.route.is_idempotent:
            raise Broken(f"a request that may run once ran {len(self._runs)} times")
        if response is not None and response.status == 200:
            self._check_success(response)

    def _request(self) -> bytes:
        script = self._script
        lines = [f"POST /{script.route.value}/x HTTP/1.1", f"Host: {CLIENT_HOST}", "X-Key: k-acme"]
        lines += [f"X-Request-Id: {REQUEST_ID}", "X-Deadline-Ms: 4000", "Content-Length: 0"]
        if script.known_id is not None:
            lines.append(f"Last-Event-Id: {script.known_id}")
        return "\r\n".join((*lines, "", "")).encode()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            message = await read_message(reader)
            number = len(self._runs)
            run = self._script.run(number)
            raw = self._response(number, run, message.header("Last-Event-Id"))
            is_cut = run.broken is not None and run.broken.ending is not Ending.IN_ORDER
            sent = raw[: _part(raw, run)] if is_cut else raw
            for at in range(0, len(sent), run.write_bytes):
                writer.write(sent[at : at + run.write_bytes])
                await writer.drain()
                await asyncio.sleep(0)
            ending = None if run.broken is None else run.broken.ending
            self._was_reset = ending is Ending.RESET
            if self._was_reset:
                reset(writer)
                return
            if ending is Ending.CLOSE or run.framing is Framing.CLOSE:
                writer.close()
                return

    def _response(self, number: int, run: Run, last_event_id: str | None) -> bytes:
        """The whole response of a run, which is recorded."""
        if run.is_stream:
            wanted = self._script.events_after(last_event_id)
            is_resumption = last_event_id != self._script.known_id
            first = max(1, wanted.start - run.repeated) if is_resumption else wanted.start
            pieces = [self._script.event(number, event) for event in range(first, wanted.stop)]
        else:
            pieces = [f"plain {number};".encode() * (LONG_BODY_BYTES // 8 if run.repeated else 4)]
        body = b"".join(pieces)
        if run.broken is not None and run.broken.ending is Ending.IN_ORDER:
            body = body[: _part(body, run)]
            pieces = [body]
        self._runs.append(run)
        self._bodies.append(body)
        kind = "text/event-stream" if run.is_stream else "text/plain"
        head = [f"HTTP/1.1 200 OK\r\nContent-Type: {kind}\r\nX-Request-Id: {REQUEST_ID}"]
        head.append(f"X-Upstream-Signature: run {number}")
        if run.framing is Framing.LENGTH:
            head.append(f"Content-Length: {len(self._bodies[-1])}")
        elif run.framing is not Framing.CLOSE:
            head.append("Transfer-Encoding: chunked")
        return "\r\n".join((*head, "", "")).encode() + _framed(run.framing, pieces)

    def _check_success(self, response: Message) -> None:
        signature = response.header("X-Upstream-Signature") or ""
        first_run = int(signature.removeprefix("run ") or -1)
        if not 0 <= first_run < len(self._runs):
            raise Broken(f"a success with the signature {signature!r}")
        last_run = len(self._runs) - 1
        last = self._runs[last_run]
        ends_in_order = last.broken is not None and last.broken.ending is Ending.IN_ORDER
        ends_with_connection = last.framing is Framing.CLOSE and not self._was_reset
        if not self._runs[first_run].is_stream:
            body = self._bodies[first_run]
            is_whole = response.body == body or (ends_with_connection and body.startswith(response.body))
            if first_run != last_run or not is_whole:
                raise Broken(f"{response.body[:80]!r} in place of run {first_run}'s body")
            return
        self._check_events(response.body, first_run, ends_with_connection or ends_in_order)

    def _check_events(self, body: bytes, first_run: int, may_end_early: bool) -> None:
        """Check that the body is whole events, in order, each once, of runs that follow one another.

        `may_end_early`: nothing but a part of an event would tell that the last response was truncated.
        """
        script = self._script
        run, number = first_run, script.events_after(script.known_id).start
        rest = body
        while number <= len(script.sizes):
            runs = [known for known in range(run, len(self._runs)) if self._runs[known].is_stream]
            matching = [known for known in runs if rest.startswith(script.whole_event(known, number))]
            if not matching:
                break
            run = matching[0]
            rest = rest[len(script.whole_event(run, number)) :]
            number += 1
        if rest:
            raise Broken(f"event {number} is {rest[:80]!r}")
        if number <= len(script.sizes) and not may_end_early:
            raise Broken(f"the stream ended as complete before event {number}")
        if run != first_run and script.route is not Route.RESUMABLE:
            raise Broken(f"runs {first_run} and {run} were joined on {script.route.value}")


def _part(data: bytes, run: Run) -> int:
    """The number of bytes that a run which breaks off sends of these."""
    assert run.broken is not None
    return len(data) * run.broken.thousandths // THOUSAND


def _framed(framing: Framing, pieces: Sequence[bytes]) -> bytes:
    if framing in (Framing.LENGTH, Framing.CLOSE):
        return b"".join(pieces)
    if framing is Framing.ONE_CHUNK:
        pieces = [b"".join(pieces)]
    return b"".join(chunk(piece) for piece in pieces if piece) + LAST_CHUNK


def play(script: Script) -> None:
    """Play one script; raises Broken."""
    with asyncio.Runner(loop_factory=JumpingLoop) as runner:
        runner.run(_Player(script).play())


_positions = st.integers(0, THOUSAND - 1) | st.integers(LAST_EVENT_THOUSANDTHS, THOUSAND - 1)
_runs = st.builds(
    Run,
    is_stream=st.sampled_from([True, True, True, True, False]),
    framing=st.sampled_from(Framing),
    broken=st.none() | st.builds(Break, _positions, st.sampled_from(Ending)),
    is_terminated=st.sampled_from([True, True, False]),
    write_bytes=st.sampled_from([1 << 16, 1 << 16, 7]),
)


@st.composite
def scripts(draw: st.DrawFn) -> Script:
    """All scripts; events are sent again only where each has a number, by which they are known."""
    ids = draw(st.sampled_from([Ids.NUMBERS, Ids.NUMBERS, Ids.SOME, *Ids]))
    runs = draw(st.lists(_runs, min_size=1, max_size=MAX_ATTEMPTS))
    if ids is Ids.NUMBERS:
        runs = [attrs.evolve(run, repeated=draw(st.integers(0, 3))) for run in runs]
    sizes = draw(st.lists(st.integers(0, 40), min_size=1, max_size=5))
    return Script(
        route=draw(st.sampled_from([Route.RESUMABLE, Route.RESUMABLE, *Route])),
        runs=tuple(runs),
        sizes=tuple(sizes),
        ids=ids,
        line_end=draw(st.sampled_from(["\n", "\r\n"])),
        known=draw(st.integers(0, len(sizes) - 1)),
    )


def checker(examples: int, seed_value: int, is_shrinking: bool = True) -> Callable[[], None]:
    """A function that plays this many scripts and raises for one that breaks a rule.

    `is_shrinking`: look for the shortest failing script.
    """
    bounds = script_settings(examples, is_shrinking)
    return seed(seed_value)(bounds(given(scripts())(play)))


if __name__ == "__main__":
    run_command_line(checker)
