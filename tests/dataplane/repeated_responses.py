"""Upstreams that repeat a response late, at any later exchange on its connection: scripts and check.

By hand: `python -m tests.dataplane.repeated_responses [EXAMPLES [SEED]]`.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from enum import Enum

import attrs
from hypothesis import given, seed
from hypothesis import strategies as st

from madderwind.testing.fault_tests.wire import answer, chunk
from madderwind.testing.local_fleet.checker import NOT_EXECUTED_STATUSES
from tests.dataplane.drawn_scripts import run_command_line, script_settings
from tests.dataplane.fleet import CLIENT_HOST, SIGNATURE
from tests.dataplane.forwarder import ByteUpstream, JumpingLoop, ScriptedFleet
from tests.examples import HOST
from tests.standins import Message, read_message

MAX_ATTEMPTS, MAX_UPSTREAMS, MAX_REQUESTS, MAX_IDS = 4, 3, 6, 2
MAX_CLIENTS, MAX_POOL_SIZE = 3, 4


class Kind(Enum):
    """What an upstream does with a request."""

    RUN = "run"
    FAIL = "run, and answer with 500"
    STREAM = "run, and answer with a stream"
    REFUSE = "refuse"
    MISDIRECTED = "answer 421"
    CONTINUE = "send an interim response, and run"

    @property
    def runs(self) -> bool:
        """Whether the request is run."""
        return self not in (Kind.REFUSE, Kind.MISDIRECTED)


@attrs.frozen
class Arrival:
    """What happens to one arriving request.

    `repeats`: how many exchanges ago, on this connection, the response was given that is repeated before this
    one's own; None for none.
    """

    kind: Kind
    repeats: int | None = None


@attrs.frozen
class Script:
    """Requests of clients, each with a route and an id, which clients may use again; and what arrivals meet.

    Arrivals beyond the last one are run. The clients send at the same time, and take turns with the requests;
    `pool_size` is how many connections to upstreams there may be.
    """

    upstreams: int
    max_attempts: int
    requests: tuple[tuple[str, int], ...]
    arrivals: tuple[Arrival, ...]
    clients: int = 1
    pool_size: int = MAX_POOL_SIZE


class Broken(AssertionError):
    """A request ran twice, or a client received another exchange's response."""


class _Player:
    """Plays one script around the real listener, forwarder and pool."""

    def __init__(self, script: Script) -> None:
        self._script = script
        self._arrivals = 0
        self._runs: Counter[str] = Counter()  # by the path, which names the client's request
        self._has_repeated = False

    async def play(self) -> None:
        """Send the requests and check each response; raises Broken."""
        script = self._script
        upstreams = [ByteUpstream(self._serve) for _ in range(script.upstreams)]
        fleet = ScriptedFleet(*upstreams, max_attempts=script.max_attempts, pool_size=script.pool_size)
        async with fleet:
            await asyncio.gather(*(self._send(fleet.port, client) for client in range(script.clients)))
        for path, count in self._runs.items():
            if count > 1 and path.startswith(("/unsafe/", "/stream/")):
                raise Broken(f"{path} ran {count} times")

    async def _send(self, port: int, client: int) -> None:
        """Send the requests of one client, one after the other."""
        reader, writer = await asyncio.open_connection(HOST, port)
        requests = list(enumerate(self._script.requests))
        for number, (route, request_id) in requests[client :: self._script.clients]:
            path = f"/{route}/{number}"
            writer.write(_request(path, request_id))
            try:
                response = await read_message(reader)
            except (asyncio.IncompleteReadError, ConnectionError):
                writer.close()
                reader, writer = await asyncio.open_connection(HOST, port)
            else:
                self._check(path, response)
        writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        responses: list[bytes] = []
        while True:
            message = await read_message(reader)
            arrivals = self._script.arrivals
            arrival = arrivals[self._arrivals] if self._arrivals < len(arrivals) else Arrival(Kind.RUN)
            self._arrivals += 1
            if arrival.repeats is not None and arrival.repeats < len(responses) and not self._has_repeated:
                self._has_repeated = True
                writer.write(responses[-1 - arrival.repeats])
            responses.append(self._response(message, arrival.kind))
            writer.write(responses[-1])
            await writer.drain()

    def _response(self, message: Message, kind: Kind) -> bytes:
        path, request_id = message.start.split(" ")[1], message.header("X-Request-Id") or ""
        echo = {"X_Request_Id": request_id, "X_Upstream_Signature": SIGNATURE}
        if kind is Kind.REFUSE:
            return answer(503, b"full", X_Request_Id=request_id, X_Not_Executed="full")
        if kind is Kind.MISDIRECTED:
            instance = message.header("X-Expect-Instance") or ""
            return answer(421, X_Request_Id=request_id, X_Not_Executed="1", X_Upstream_Instance=instance)
        self._runs[path] += 1
        body = f"{path} run {self._runs[path]}".encode()
        if kind is Kind.STREAM:
            head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
            head += f"X-Request-Id: {request_id}\r\nX-Upstream-Signature: {SIGNATURE}\r\n\r\n"
            return head.encode() + chunk(b"id: 1\ndata: " + body + b"\n\n") + b"0\r\n\r\n"
        interim = b"HTTP/1.1 103 Early Hints\r\nX-Hint: h\r\n\r\n" if kind is Kind.CONTINUE else b""
        return interim + answer(500 if kind is Kind.FAIL else 200, body, **echo)

    def _check(self, path: str, response: Message) -> None:
        if response.status in NOT_EXECUTED_STATUSES:
            if self._runs[path] and path.startswith(("/unsafe/", "/stream/")):
                raise Broken(f"{path} got {response.status} and ran")
        elif response.header("X-Upstream-Signature") and f"{path} run ".encode() not in response.body:
            raise Broken(f"{path} got {response.body!r}")


def _request(path: str, request_id: int) -> bytes:
    lines = [
        f"POST {path} HTTP/1.1",
        f"Host: {CLIENT_HOST}",
        "X-Key: k-acme",
        f"X-Request-Id: r-{request_id}",
    ]
    return "\r\n".join((*lines, "X-Deadline-Ms: 4000", "Content-Length: 0", "", "")).encode()


def play(script: Script) -> None:
    """Play one script; raises Broken."""
    with asyncio.Runner(loop_factory=JumpingLoop) as runner:
        runner.run(_Player(script).play())


_kinds = st.sampled_from([Kind.REFUSE, Kind.REFUSE, Kind.REFUSE, Kind.RUN, *Kind])
_arrivals = st.builds(Arrival, _kinds, st.none() | st.integers(0, 2))
_requests = st.tuples(
    st.sampled_from(["unsafe", "unsafe", "safe", "stream", "resumable"]), st.integers(1, MAX_IDS)
)
scripts = st.builds(
    Script,
    upstreams=st.integers(1, MAX_UPSTREAMS),
    max_attempts=st.integers(1, MAX_ATTEMPTS),
    requests=st.lists(_requests, min_size=1, max_size=MAX_REQUESTS).map(tuple),
    arrivals=st.lists(_arrivals, min_size=2, max_size=10).map(tuple),
    clients=st.integers(1, MAX_CLIENTS),
    pool_size=st.integers(1, MAX_POOL_SIZE),
)


def checker(examples: int, seed_value: int, is_shrinking: bool = True) -> Callable[[], None]:
    """A function that plays this many scripts and raises for one that breaks a rule.

    `is_shrinking`: look for the shortest failing script.
    """
    bounds = script_settings(examples, is_shrinking)
    return seed(seed_value)(bounds(given(scripts)(play)))


if __name__ == "__main__":
    run_command_line(checker)
