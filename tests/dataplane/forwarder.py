"""A listener and a forwarder on loopback without a control plane, for tests with scripted upstreams."""

from __future__ import annotations

import asyncio
import json
import random
import socket
from collections import Counter
from collections.abc import Awaitable, Callable, Coroutine, Sequence
from typing import Any
from unittest.mock import patch

from madderwind.balancing.retry_quota import RetryQuota
from madderwind.configuration.reading import read_document
from madderwind.dataplane.admission import Admission
from madderwind.dataplane.attempt_log import AttemptLog
from madderwind.dataplane.body_memory import body_memory_bytes
from madderwind.dataplane.choosing import UpstreamChooser
from madderwind.dataplane.forwarder import Forwarder
from madderwind.dataplane.request_parts import RequestParts
from madderwind.dataplane.retrying import Retries
from madderwind.dataplane.shutdown_deadline import ShutdownDeadline
from madderwind.dataplane.upstream_pool import UpstreamPool
from madderwind.limits.budget import FleetRetryBudget
from madderwind.messages.distribution import UpstreamRecord
from madderwind.placement.placement import Placement
from madderwind.registry.known_upstreams import KnownUpstreams
from madderwind.transport.budget import Budget
from madderwind.transport.listening import CallerTimes, Listener
from tests.dataplane.fleet import document
from tests.examples import HOST

MS_PER_S = 1000.0
MEMORY_MB = 256.0
MAX_CONNECTIONS = 100
# Small enough that most of a long body stays in the sender's buffers until the receiver reads it.
RECEIVE_BUFFER_BYTES = 4096
MAX_BODY_BYTES = 8_000_000
# Bytes in transit between two sockets of this machine arrive within this time.
LOOPBACK_DELIVERY_S = 0.001

ConnectionHandler = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class ShortestBackoff(random.Random):
    """Random source that makes each retry backoff the shortest possible."""

    def random(self) -> float:
        return 0.0


class UnlimitedQuota:
    """Admits every request."""

    def admit(self, now_ms: float, tenant_name: str, amount: float, *, is_late: bool = False) -> bool:
        return True

    def refund(self, now_ms: float, tenant_name: str, amount: float, *, is_late: bool = False) -> None:
        """Do nothing: `admit` takes nothing from a quota."""

    def retry_after_ms(self, now_ms: float, tenant_name: str) -> float:
        return 0.0


class JumpingLoop(asyncio.SelectorEventLoop):
    """Event loop whose clock skips to the next timer once no socket event is pending, instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self._skipped_s = 0.0
        select = self._selector.select  # type: ignore[attr-defined]

        def select_or_skip(timeout_s: float | None) -> Any:
            if timeout_s is None or timeout_s <= LOOPBACK_DELIVERY_S:
                return select(timeout_s)
            if events := select(LOOPBACK_DELIVERY_S):
                return events
            self._skipped_s += timeout_s - LOOPBACK_DELIVERY_S
            return []

        self._selector.select = select_or_skip  # type: ignore[attr-defined]

    def time(self) -> float:
        return super().time() + self._skipped_s


class VirtualClockLoop(asyncio.SelectorEventLoop):
    """Event loop whose clock stops while code runs and skips to the next timer once the loop is idle.

    Delays that a busy machine adds between two events are not measured: only timers advance the clock.
    """

    def __init__(self) -> None:
        super().__init__()
        self._virtual_s = 0.0
        select = self._selector.select  # type: ignore[attr-defined]

        def select_or_skip(timeout_s: float | None) -> Any:
            if timeout_s is None or timeout_s <= 0.0:
                return select(timeout_s)
            if events := select(LOOPBACK_DELIVERY_S):
                return events
            self._virtual_s += timeout_s
            return []

        self._selector.select = select_or_skip  # type: ignore[attr-defined]

    def time(self) -> float:
        return self._virtual_s


def run_on_virtual_clock(scenario: Coroutine[Any, Any, None]) -> None:
    """Run a test scenario on a new event loop whose clock is advanced only by timers."""
    with asyncio.Runner(loop_factory=VirtualClockLoop) as runner:
        runner.run(scenario)


def run_jumping(scenario: Coroutine[Any, Any, None]) -> None:
    """Run a test scenario on a new event loop whose clock skips idle time."""
    with asyncio.Runner(loop_factory=JumpingLoop) as runner:
        runner.run(scenario)


class ByteUpstream:
    """Upstream on a free port; `handle_connection` decides what each connection reads and writes."""

    def __init__(self, handle_connection: ConnectionHandler) -> None:
        self._handle_connection = handle_connection
        self.writers: list[asyncio.StreamWriter] = []
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Start listening, with small receive buffers."""
        # asyncio sets TCP_NODELAY on accepted connections only if the listening socket names IPPROTO_TCP.
        listening = socket.socket(socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP)
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        listening.bind((HOST, 0))
        self._server = await asyncio.start_server(
            self._accept_connection, sock=listening, limit=RECEIVE_BUFFER_BYTES
        )
        self.port = int(listening.getsockname()[1])

    async def close(self) -> None:
        """Stop listening and close all connections."""
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for writer in self.writers:
            writer.transport.abort()

    async def _accept_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            await self._handle_connection(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()
        except asyncio.CancelledError:
            writer.transport.abort()  # `close` cancelled the task
        finally:
            self._tasks.discard(task)


class ScriptedFleet:
    """A listener, a forwarder and several upstreams, as an async context manager."""

    def __init__(
        self, *upstreams: ByteUpstream, max_attempts: int = 2, pool_size: int = MAX_CONNECTIONS
    ) -> None:
        """`pool_size`: how many connections to upstreams there may be."""
        self.upstreams = upstreams
        self._max_attempts, self._pool_size = max_attempts, pool_size
        self.counters: Counter[str] = Counter()

    async def __aenter__(self) -> ScriptedFleet:
        loop = asyncio.get_running_loop()
        # aiohttp's connector times its kept-alive connections by its own `monotonic`, not by the loop.
        self._clock_patch = patch("aiohttp.connector.monotonic", loop.time)
        self._clock_patch.start()
        for upstream in self.upstreams:
            await upstream.start()
        rng = random.Random(1)
        known = KnownUpstreams(heartbeat_ms=1000.0)
        known.merge(loop.time() * MS_PER_S, self._records())
        self.pool = UpstreamPool(self._pool_size)
        self.shutdown = ShutdownDeadline()
        admission = Admission(UnlimitedQuota(), lambda: True, rng)
        limits = {"max_body_bytes": MAX_BODY_BYTES, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
        routes = [{**route, "max_attempts": self._max_attempts} for route in document()["routes"]]
        raw = document(limits={"max_header_bytes": 16384, **limits}, routes=routes)
        admission.configure(read_document(json.dumps(raw).encode()))
        budget = FleetRetryBudget(ratio=1.0, slack=1000.0, window_ms=10_000.0)
        shared = RequestParts(
            attempt_log=AttemptLog(None),
            admission=admission,
            upstreams=known,
            chooser=UpstreamChooser(
                rng, known, Placement(rng, "z1"), "z1", lambda instance, service: True, self.pool.keeps
            ),
            pool=self.pool,
            retries=Retries(RetryQuota(ShortestBackoff(), refund_on_success=False), budget),
            budget=budget,
            log=lambda event, /, **fields: None,
            shutdown=self.shutdown,
            body_memory=Budget(body_memory_bytes(MEMORY_MB)),
            counters=self.counters,
        )
        self.listener = Listener(Forwarder(shared).serve, MAX_CONNECTIONS, lambda event, /, **fields: None)
        self.listener.tune(CallerTimes())
        self.port = await self.listener.start(HOST, 0)
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.listener.finish(0.0)
        await self.pool.close()
        for upstream in self.upstreams:
            await upstream.close()
        self._clock_patch.stop()

    def _records(self) -> Sequence[UpstreamRecord]:
        return [
            UpstreamRecord(f"i-{n}", "app", f"{HOST}:{u.port}", "z1", "v1", 8, "ready", 1, 0.0, 0.0)
            for n, u in enumerate(self.upstreams)
        ]
