"""Chaos test of a data plane: failing upstreams, disconnecting clients and planned work at the same time.

Run it by hand with `python -m tests.dataplane.chaos --seeds 200 --first 1`. The loopback sockets are real and
the clock is virtual: delays that a busy machine adds between two events are not the data plane's and are not
measured, so the bounds can be tight. With `--real-clock` the monotonic clock is real too, and the bounds
leave room for a busy machine.
"""

from __future__ import annotations

import argparse
import asyncio
import random
import sys
from collections import defaultdict
from collections.abc import Iterable
from typing import Any

import msgspec

from madderwind.testing.fault_tests.wire import Message, answer, chunk
from tests.dataplane.fleet import SIGNATURE, Client, Fleet, Writer, document, event, record, stream_head
from tests.dataplane.forwarder import VirtualClockLoop

MS_PER_S = 1000.0
TIMEOUT_MS = 700
REQUEST_COUNT, CLIENT_COUNT, UPSTREAM_COUNT = 48, 8, 4
DURATION_S = 1.2
ROUTES = ("safe", "unsafe", "stream", "resumable")
IDEMPOTENT = ("safe", "resumable")
DISCONNECT_PROBABILITY, PLANNED_CHANGES, SHUTDOWN_PROBABILITY = 0.4, 6, 0.5
STILL_ACCEPTING_S = 0.2
# Shorter than the requests' time limit, and longer.
GRACE_PERIODS_S = (0.3, 0.6, 8.0)
DATA_PLANE_STATUSES = frozenset((404, 408, 429, 502, 503, 504))
LONG_BODY_BYTES = 150_000


class Bounds(msgspec.Struct, frozen=True):
    """The allowed delays between an event and its effect.

    Attributes:
        completion_ms: How long after the route's timeout a request may end.
        arrival_ms: How late an upstream may record a request that was sent to it, and the deadline that it
            received may expire.
        disconnect_ms: How long it may take to detect that a client has disconnected.
        forwarding_ms: How long it may take until the client has what an upstream has sent.
    """

    completion_ms: float
    arrival_ms: float
    disconnect_ms: float
    forwarding_ms: float


# The bounds of the rules themselves, plus the delay that a busy machine may add.
REAL_CLOCK = Bounds(completion_ms=500.0, arrival_ms=400.0, disconnect_ms=400.0, forwarding_ms=150.0)
# Timers fire early or late by at most their clock's resolution; the deadline header holds whole milliseconds.
VIRTUAL_CLOCK = Bounds(completion_ms=20.0, arrival_ms=5.0, disconnect_ms=5.0, forwarding_ms=5.0)


class Arrival(msgspec.Struct):
    """A request as an upstream received it."""

    request_id: str
    instance: str
    arrived_ms: float
    remaining_ms: float | None
    is_executed: bool
    completed_ms: float | None = None  # when the upstream had sent the last byte of a complete response


class ClientRequest(msgspec.Struct):
    """A request and its response as the client saw them."""

    request_id: str
    route: str
    sent_ms: float
    deadline_ms: float | None
    disconnected_ms: float | None = None
    ended_ms: float | None = None
    status: int = 0
    is_complete: bool = False
    is_signed: bool = False
    closes_connection: bool = False
    body: bytes = b""


class RuleViolation(Exception):
    """A rule is violated; the message names the rule and the request."""


class ChaosRun:
    """The run of one seed."""

    def __init__(self, seed: int, bounds: Bounds = VIRTUAL_CLOCK) -> None:
        self._rng = random.Random(seed)
        self._bounds = bounds
        self._seed = seed
        self._grace_s = random.Random(f"grace {seed}").choice(GRACE_PERIODS_S)
        self.arrivals: list[Arrival] = []
        self.requests: dict[str, ClientRequest] = {}
        # When the data plane knew that an instance takes no new requests.
        self.drained_ms: dict[str, float] = {}
        self.loop_errors: list[str] = []
        self._fleet: Fleet
        self._instance_count = UPSTREAM_COUNT
        self._version = 1
        self._shutdown: asyncio.Task[None] | None = None  # the planned shutdown

    async def run(self) -> None:
        """Run the scenario and check the rules.

        Raises:
            RuleViolation: A rule is violated.
        """
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: self.loop_errors.append(str(context)))
        behaviours = [self._handle_request] * UPSTREAM_COUNT
        bounds = {"grace_s": self._grace_s, "retry_slack": 50, "quota_slack": 0}
        async with Fleet(*behaviours, document=self._document(), bounds=bounds) as self._fleet:
            self._fleet.plane._still_accepting_s = STILL_ACCEPTING_S
            clients = [self._run_client() for _ in range(CLIENT_COUNT)]
            async with asyncio.timeout(30):
                await asyncio.gather(self._do_planned_work(), *clients)
                if self._shutdown is not None:
                    await self._shutdown
                    self._check_end_of_process()
                while self._fleet.plane._listener.open_requests:
                    await asyncio.sleep(0.005)
                in_use = sum(
                    self._fleet.plane.pool.in_use(instance) for instance in self._fleet.ready_instances()
                )
                if in_use:
                    raise RuleViolation(f"{in_use} connections in use after the run")
        self._check()

    def _document(self) -> dict[str, Any]:
        changed = document(self._version)
        max_attempts = self._rng.randint(1, 3)
        changed["routes"] = [
            {**route, "timeout_ms": TIMEOUT_MS, "max_attempts": max_attempts} for route in changed["routes"]
        ]
        return changed

    async def _do_planned_work(self) -> None:
        """Change the configuration or the upstreams at random times, and perhaps shut the data plane down."""
        for _ in range(PLANNED_CHANGES):
            await asyncio.sleep(self._rng.uniform(0, 2 * DURATION_S / PLANNED_CHANGES))
            await self._rng.choice((self._configure, self._replace_upstream, self._send_late_heartbeats))()
            if self._shutdown is None and self._rng.random() < SHUTDOWN_PROBABILITY / PLANNED_CHANGES:
                self._shutdown = asyncio.create_task(self._fleet.plane.drain())

    def _is_shut_down(self) -> bool:
        return self._shutdown is not None and self._shutdown.done()

    async def _configure(self) -> None:
        self._version += 1
        await self._fleet.control.publish(self._document())

    async def _replace_upstream(self) -> None:
        """Drain or deregister an instance, then register a new one at the same address or at another one."""
        instances = self._fleet.ready_instances()
        if len(instances) > 1:
            leaving = self._rng.choice(instances)
            upstream = self._rng.choice(self._fleet.upstreams)
            state = self._rng.choice(("draining", "gone"))
            await self._fleet.control.register(record(upstream, leaving, state, 5))
            while self._fleet.plane.upstreams.takes_new(leaving):
                await asyncio.sleep(0.001)
                if self._is_shut_down():
                    return
            self.drained_ms.setdefault(leaving, self._now_ms())
        self._instance_count += 1
        upstream = self._rng.choice(self._fleet.upstreams)
        await self._fleet.control.register(record(upstream, f"i-{self._instance_count}"))

    async def _send_late_heartbeats(self) -> None:
        """Register late heartbeats of instances that drain or have deregistered."""
        for instance in list(self.drained_ms):
            upstream = self._rng.choice(self._fleet.upstreams)
            await self._fleet.control.register(record(upstream, instance, "ready", self._rng.choice((1, 9))))

    async def _handle_request(self, message: Message, writer: Writer) -> None:
        rng = self._rng
        request_id = message.header("X-Request-Id") or ""
        deadline = message.header("X-Deadline-Ms")
        is_refused = rng.random() < 0.25
        remaining_ms = None if deadline is None else float(deadline)
        instance = message.header("X-Expect-Instance") or ""
        arrival = Arrival(request_id, instance, self._now_ms(), remaining_ms, not is_refused)
        self.arrivals.append(arrival)
        await asyncio.sleep(rng.choice((0, 0, 0.01, 0.05)))
        if is_refused:
            status = rng.choice((503, 429, 421))
            refusal = answer(
                status, X_Request_Id=request_id, X_Not_Executed="1", X_Upstream_Instance=instance
            )
            writer.write(refusal)
        elif "/stream/" in message.start or "/resumable/" in message.start:
            await self._respond_with_stream(message, writer, arrival)
        else:
            await self._respond(arrival, writer)

    async def _respond(self, arrival: Arrival, writer: Writer) -> None:
        request_id = arrival.request_id
        rng = self._rng
        body = request_id.encode() * (1 if rng.random() < 0.7 else LONG_BODY_BYTES // len(request_id))
        response = answer(200, body, X_Request_Id=request_id, X_Upstream_Signature=SIGNATURE)
        match rng.choice(("whole", "whole", "whole", "silent", "reset", "short", "another", "500")):
            case "whole":
                writer.write(response)
                arrival.completed_ms = self._now_ms()
            case "reset":
                writer.transport.abort()
            case "short":
                writer.write(response[: -len(body) // 2])
                await writer.drain()
                writer.transport.abort()
            case "another":
                writer.write(answer(200, b"x", X_Request_Id="another", X_Upstream_Signature=SIGNATURE))
            case "500":
                writer.write(answer(500, b"oops", X_Request_Id=request_id, X_Upstream_Signature=SIGNATURE))

    async def _respond_with_stream(self, message: Message, writer: Writer, arrival: Arrival) -> None:
        rng = self._rng
        writer.write(stream_head(message))
        last_event_id = int(message.header("Last-Event-Id") or 0)
        first = max(1, last_event_id + 1 - rng.choice((0, 0, 2)))  # some repeat events that were already sent
        for number in range(first, 9):
            event_chunk = chunk(event(number))
            if rng.random() < 0.1:
                writer.write(event_chunk[: rng.randint(0, len(event_chunk) - 1)])
                await writer.drain()
                writer.transport.abort()
                return
            writer.write(event_chunk)
            await asyncio.sleep(rng.choice((0, 0, 0.005, 0.02)))
        writer.write(b"0\r\n\r\n")
        arrival.completed_ms = self._now_ms()

    async def _run_client(self) -> None:
        client: Client | None = None
        for _ in range(REQUEST_COUNT // CLIENT_COUNT):
            await asyncio.sleep(self._rng.uniform(0, DURATION_S * CLIENT_COUNT / REQUEST_COUNT))
            try:
                client = await self._send_request(client)
            except ConnectionRefusedError:
                if self._shutdown is None:
                    raise
                return
        if client is not None:
            client.caller.close()

    async def _send_request(self, reusable: Client | None) -> Client | None:
        """Send a request on the reusable connection or on a new one; return the client if reusable."""
        rng = self._rng
        client = reusable or await self._fleet.client()
        route = rng.choice(ROUTES)
        deadline_ms = rng.choice((None, 250.0, 900.0))
        deadline = None if deadline_ms is None else str(int(deadline_ms))
        sent_ms = self._now_ms()
        request_id = client.write(
            f"/{route}/x", body=b"b" * rng.choice((0, 5, 60_000)), X_Deadline_Ms=deadline
        )
        request = self.requests[request_id] = ClientRequest(request_id, route, sent_ms, deadline_ms)
        try:
            if rng.random() < DISCONNECT_PROBABILITY:
                async with asyncio.timeout(rng.uniform(0, 0.1)):
                    await self._read_response(client.caller.reader, request)
            else:
                await self._read_response(client.caller.reader, request)
        except TimeoutError:
            request.disconnected_ms = self._now_ms()
        if request.is_complete and not request.closes_connection:
            return client
        client.caller.close()
        return None

    async def _read_response(self, reader: asyncio.StreamReader, request: ClientRequest) -> None:
        """Read the response, or what comes before the connection ends."""
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            request.status = int(head.split(" ")[1])
            request.closes_connection = "connection: close" in head.lower()
            request.is_signed = "x-upstream-signature" in head.lower()
            if "chunked" in head.lower():
                request.body = await reader.readuntil(b"0\r\n\r\n")
            else:
                length = int(head.lower().partition("content-length:")[2].partition("\r\n")[0] or 0)
                request.body = await reader.readexactly(length)
            request.is_complete = True
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        except asyncio.LimitOverrunError:
            raise RuleViolation(f"{request.request_id}: the response has no end") from None
        request.ended_ms = self._now_ms()

    def _now_ms(self) -> float:
        return asyncio.get_running_loop().time() * MS_PER_S

    def _check_end_of_process(self) -> None:
        """Check that every request was answered before the process may exit."""
        left_open = [fields["left_open"] for name, fields in self._fleet.log if name == "ended"]
        if left_open != [0]:
            raise RuleViolation(f"LOST: {left_open} requests are open as the process ends")

    def _check(self) -> None:
        if self.loop_errors:
            raise RuleViolation(f"unhandled: {self.loop_errors[:3]}")
        arrivals: dict[str, list[Arrival]] = defaultdict(list)
        for arrival in self.arrivals:
            arrivals[arrival.request_id].append(arrival)
        for request_id, request_arrivals in arrivals.items():
            self._check_arrivals(self.requests[request_id], request_arrivals)
        for request in self.requests.values():
            self._check_response(request, arrivals[request.request_id])

    def _check_arrivals(self, request: ClientRequest, arrivals: list[Arrival]) -> None:
        name = f"{request.request_id} on {request.route}"
        if len(arrivals) > 3:
            raise RuleViolation(f"BUDGET: {name} was sent {len(arrivals)} times")
        executions = sum(arrival.is_executed for arrival in arrivals)
        if executions > 1 and request.route not in IDEMPOTENT:
            raise RuleViolation(f"TWICE: {name} was executed {executions} times")
        allowed_ms = min(request.deadline_ms or TIMEOUT_MS, TIMEOUT_MS)
        for arrival in arrivals:
            end_ms = request.sent_ms + allowed_ms + self._bounds.arrival_ms
            if arrival.remaining_ms is None or arrival.arrived_ms + arrival.remaining_ms > end_ms:
                raise RuleViolation(
                    f"BUDGET: {name} had {arrival.remaining_ms} ms left at {arrival.instance}"
                )
            if (
                request.disconnected_ms is not None
                and arrival.arrived_ms > request.disconnected_ms + self._bounds.disconnect_ms
            ):
                raise RuleViolation(
                    f"GONE: {name} arrived {arrival.arrived_ms - request.disconnected_ms:.0f} ms "
                    "after its client disconnected"
                )
            drained_ms = self.drained_ms.get(arrival.instance)
            if drained_ms is not None and arrival.arrived_ms > drained_ms + self._bounds.arrival_ms:
                raise RuleViolation(
                    f"DRAIN: {name} arrived at {arrival.instance} after it stopped taking requests"
                )

    def _check_response(self, request: ClientRequest, arrivals: list[Arrival]) -> None:
        name = f"{request.request_id} on {request.route}, status {request.status}"
        if request.disconnected_ms is not None:
            return
        assert request.ended_ms is not None
        if not request.status and (arrivals or self._shutdown is None):
            raise RuleViolation(f"LOST: {name} was accepted and got no response")
        self._check_complete_response(name, request, arrivals)
        if request.ended_ms - request.sent_ms > TIMEOUT_MS + self._bounds.completion_ms:
            raise RuleViolation(f"CONFIG: {name} took {request.ended_ms - request.sent_ms:.0f} ms")
        is_executed = any(arrival.is_executed for arrival in arrivals)
        if request.status in (408, 421, 429, 503) and is_executed and request.route not in IDEMPOTENT:
            raise RuleViolation(f"REFUSED: {name} was executed")
        if request.is_complete and not request.is_signed and request.status not in DATA_PLANE_STATUSES:
            raise RuleViolation(f"MIXED: {name} has no signature")
        if request.is_complete and request.status == 200:
            self._check_successful_response(name, request)

    def _check_complete_response(self, name: str, request: ClientRequest, arrivals: list[Arrival]) -> None:
        """Check that a response that an upstream completed well before the deadline reached the client."""
        limit_ms = request.sent_ms + min(request.deadline_ms or TIMEOUT_MS, TIMEOUT_MS)
        until_ms = min(limit_ms, self._fleet.plane._shutdown.at_ms) - self._bounds.forwarding_ms
        in_time = [
            arrival for arrival in arrivals if arrival.completed_ms and arrival.completed_ms < until_ms
        ]
        if in_time and not (request.is_complete and request.status == 200):
            raise RuleViolation(f"LOST: {name} got a complete response from {in_time[0].instance}")

    def _check_successful_response(self, name: str, request: ClientRequest) -> None:
        if request.route in ("stream", "resumable"):
            expected = [event(number) for number in range(1, 9)]
            if [request.body.count(expected_event) for expected_event in expected] != [1] * 8:
                raise RuleViolation(f"ORDER: {name}: {request.body!r}")
        elif request.body.replace(request.request_id.encode(), b""):
            raise RuleViolation(f"MIXED: {name} has the body of another response")


def run_seeds(seeds: Iterable[int], has_real_clock: bool = False) -> None:
    """Run all seeds at the same time, each with its own fleet.

    Raises:
        RuleViolation: A rule is violated.
    """
    bounds = REAL_CLOCK if has_real_clock else VIRTUAL_CLOCK

    async def run_all() -> None:
        await asyncio.gather(*(ChaosRun(seed, bounds).run() for seed in seeds))

    loop_factory = None if has_real_clock else VirtualClockLoop
    with asyncio.Runner(loop_factory=loop_factory) as runner:
        runner.run(run_all())


def main() -> None:
    """Run the seeds one after the other; the exit status is 1 if a rule was violated."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=50)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--real-clock", action="store_true")
    arguments = parser.parse_args()
    violations = 0
    for seed in range(arguments.first, arguments.first + arguments.seeds):
        try:
            run_seeds([seed], arguments.real_clock)
        except RuleViolation as error:
            violations += 1
            print(f"seed {seed}: {error}", flush=True)
    print(f"{arguments.seeds} seeds from {arguments.first}: {violations} with a violation")
    sys.exit(1 if violations else 0)


if __name__ == "__main__":
    main()
