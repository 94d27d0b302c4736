"""Races at the end of a request, window or connection, each forced to the exact moment by stand-ins."""

from __future__ import annotations

import asyncio
import itertools
import json
import resource
import socket
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import pytest

from madderwind.transport import lingering_close, listening
from madderwind.transport.unread import has_unread
from tests import examples
from tests.standalone.program.harness import Running
from tests.standins import Agent, Caller, Message, Upstream, Writer, answer, reset, run, says, within

KEY = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"
YES, NEVER_RAN = answer(200, b"yes"), answer(503, X_Never_Ran="1")


def run_before_first_byte(
    patch: pytest.MonkeyPatch, running: Running, number: int, cross: Callable[[], Awaitable[None]]
) -> None:
    """Run `cross` when the attempt with this number has its connection, before its first byte is written."""
    connector = running.service._upstreams._connector
    connect = connector.connect
    numbers = itertools.count()

    async def connect_then_cross(*args: Any, **more: Any) -> Any:
        mine = next(numbers)  # taken before connecting, since another attempt may begin meanwhile
        connection = await connect(*args, **more)
        if mine == number:
            await cross()
        return connection

    patch.setattr(connector, "connect", connect_then_cross)


@pytest.mark.parametrize("leaves", ["closes", "closes behind unread bytes", "resets", "ends its sending"])
@pytest.mark.parametrize("number", [0, 1])
def test_no_attempt_is_written_for_a_disconnected_caller(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, number: int, leaves: str
) -> None:
    """For first attempts and retries: the caller disconnects while the upstream connection is established."""

    async def test() -> None:
        upstream = Upstream(says(NEVER_RAN))
        async with Running(tmp_path, upstream) as running:
            caller = connected(running.port)
            crossed = asyncio.Event()

            async def leave() -> None:
                if "unread" in leaves:
                    (callers,) = running.service._listener._web.connections
                    assert callers.transport is not None
                    callers.transport.pause_reading()
                    caller.send(b"GET / HTTP/1.1\r\n")
                if leaves == "resets":
                    caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
                if leaves == "ends its sending":
                    caller.shutdown(socket.SHUT_WR)
                else:
                    caller.close()
                crossed.set()

            run_before_first_byte(monkeypatch, running, number, leave)
            caller.sendall(lookup("X-Trace-Id: 1"))
            await within(crossed.wait())
            await within(running.settled())
            assert len(upstream.asked) == number
            assert running.log.named("client_left")
            assert not running.broken
            caller.close()

    run(test())


def test_no_second_copy_is_written_for_a_disconnected_caller(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The first attempt hangs; the caller disconnects while the second copy's connection is established."""

    async def test() -> None:
        upstreams = Upstream(says(YES)), Upstream(says(YES))
        async with Running(tmp_path, *upstreams) as running:
            usual = await Caller.connect(running.port)
            for _ in range(12):  # the module learns the usual response time
                assert (await usual.ask()).status == 200
            for upstream in upstreams:
                upstream.behave = send_nothing
            before = sum(len(upstream.asked) for upstream in upstreams)
            caller, crossed = connected(running.port), asyncio.Event()

            async def leave() -> None:
                caller.close()
                crossed.set()

            run_before_first_byte(monkeypatch, running, 1, leave)
            caller.sendall(lookup("X-Trace-Id: 1"))
            await within(crossed.wait())
            await within(running.settled())
            assert sum(len(upstream.asked) for upstream in upstreams) == before + 1
            assert not running.broken

    run(test())


@pytest.mark.parametrize("late", [False, True])
def test_a_repeat_is_not_written_after_its_window(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, late: bool
) -> None:
    """Decided on within the window, the repeat gets its connection before the window's end or just after."""

    async def test() -> None:
        async def lost(_: Message, writer: Writer) -> None:
            reset(writer)

        upstreams = Upstream(lost), Upstream(lost)
        async with Running(tmp_path, *upstreams) as running:
            path = tmp_path / "config.json"
            tree = json.loads(path.read_text())
            tree["settings"]["Profiles"][2]["WindowMs"] = 600.0
            path.write_text(json.dumps(tree))
            running.service.reload()

            async def wait() -> None:
                (exchange,) = running.service.copy.open.values()
                first_ms = exchange.written_ms[0]  # type: ignore[attr-defined]
                if late:
                    await asyncio.sleep(first_ms / 1000 + 0.601 - running.service.copy.clock.now_ms() / 1000)
                else:
                    assert running.service.copy.clock.now_ms() < first_ms + 600

            run_before_first_byte(monkeypatch, running, 1, wait)
            caller = await Caller.connect(running.port)
            got = await caller.ask("POST /checkout", b"1", Idempotency_Key=KEY, wait_ms=3000)
            assert got.status in (502, 503)
            asked = sum(len(upstream.asked) for upstream in upstreams)
            assert asked == 1 if late else asked >= 2
            assert not running.broken

    run(test())


def connected(port: int, receives: int | None = None) -> socket.socket:
    """A blocking socket of a caller: its operations complete before the test continues."""
    caller = socket.socket()
    if receives is not None:
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receives)
    caller.connect((examples.HOST, port))
    return caller


def lookup(*more: str) -> bytes:
    lines = ["GET /lookup HTTP/1.1", "Host: x", "X-Customer: acme", "X-Expires-In-Ms: 30000", *more]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


async def read_to_end(caller: socket.socket) -> bytes:
    """Read until the other side closes; a reset raises an error."""
    loop, received = asyncio.get_running_loop(), b""
    caller.setblocking(False)
    while part := await within(loop.sock_recv(caller, 65536)):
        received += part
    return received


def test_a_close_with_unread_input_does_not_truncate_the_last_answer(tmp_path: Path) -> None:
    """A close with unread input would reset the connection and discard the rest of the answer.

    The caller reads slowly, so that most of the answer is still in the kernel's buffers at the close, and it
    has sent another request, which is unread.
    """

    async def test() -> None:
        body = b"x" * 60_000

        async def answer_with_more_input(_: Message, writer: Writer) -> None:
            (connection,) = running.service._listener._web.connections
            assert connection.transport is not None
            connection.transport.pause_reading()  # as if its buffers were full
            caller.sendall(lookup("X-Trace-Id: 2"))
            writer.write(answer(200, body))

        upstream = Upstream(answer_with_more_input)
        async with Running(tmp_path, upstream) as running:
            caller = connected(running.port, receives=4096)
            caller.sendall(lookup("X-Trace-Id: 1", "Connection: close"))
            while not running.log.named("answered"):
                await asyncio.sleep(0)
            received = await read_to_end(caller)
            assert received.endswith(b"\r\n\r\n" + body)
            assert len(upstream.asked) == 1  # the second followed one with "Connection: close"
            caller.close()
            while running.service._listener._web.connections:
                await asyncio.sleep(0)

    run(test())


@pytest.mark.parametrize("sends", [lookup("X-Trace-Id: 2"), b"GET /loo"])
def test_input_during_the_close_of_an_idle_connection_is_neither_reset_nor_forwarded(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, sends: bytes
) -> None:
    """Bytes that arrive between the check for input and the close: the caller reads the end, and can retry
    elsewhere."""

    async def test() -> None:
        upstream = Upstream(says(YES))
        async with Running(tmp_path, upstream) as running:
            caller = connected(running.port)
            caller.sendall(lookup("X-Trace-Id: 1"))
            while not running.log.named("answered"):
                await asyncio.sleep(0)

            def send_after_check(transport: asyncio.BaseTransport) -> bool:
                found = has_unread(transport)
                monkeypatch.setattr(listening, "has_unread", has_unread)
                caller.sendall(sends)
                return found

            await asyncio.sleep(0)  # lets the answer's task end
            monkeypatch.setattr(listening, "has_unread", send_after_check)
            running.service._listener.close_idle()
            received = await read_to_end(caller)
            assert received.count(b"HTTP/1.1 200") == 1
            assert len(upstream.asked) == 1
            caller.close()
            while running.service._listener._web.connections:
                await asyncio.sleep(0)

    run(test())


def test_a_caller_that_never_closes_is_dropped_in_time(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The connection is closed after the linger time, and at once when descriptors run out."""

    async def test() -> None:
        async with Running(tmp_path, Upstream(says(YES))) as running:
            web = running.service._listener._web
            for linger_s, short in ((0.05, False), (1000.0, True)):
                monkeypatch.setattr(lingering_close, "LINGER_S", linger_s)
                caller = connected(running.port)
                caller.sendall(b"nonsense\r\n\r\n")
                assert b" 400 " in await read_to_end(caller)
                if short:
                    assert web.connections
                    web.free_descriptors(1)
                while web.connections:
                    await asyncio.sleep(0)
                caller.close()

    run(test())


def test_idle_callers_leave_descriptors_for_the_watch_upstreams_and_new_requests(
    tmp_path: Path,
) -> None:
    """Idle callers must not use up the descriptors of a process that has few.

    Discovery does not answer at first. The callers send nothing, reconnect as soon as they are closed, and
    would hold far more descriptors than there are.
    """

    async def test() -> None:
        max_descriptors = 160
        idle_callers: set[asyncio.Task[None]] = set()
        closed: list[int] = []

        async def reconnect_idly(port: int) -> None:
            while True:
                caller = await Caller.connect(port)
                await caller.at_end()
                caller.close()
                closed.append(port)

        agent, upstream = Agent(), Upstream(says(YES))
        async with agent, upstream:
            normal, agent.behave = agent.behave, send_nothing
            async with Upstream(says(YES)) as free:
                port = free.port
            path = tmp_path / "config.json"
            known = examples.listing(*(examples.member(f"s-{n}", upstream.port) for n in range(4)))
            raw = examples.configuration(known, agent.port, sockets=max_descriptors)
            path.write_bytes(
                raw.replace(f"{examples.HOST}:0".encode(), f"{examples.HOST}:{port}".encode(), 1)
            )
            process = await asyncio.create_subprocess_exec(
                *(sys.executable, "-m", "madderwind", "serve", "--config", str(path)),
                stdout=asyncio.subprocess.PIPE,
                preexec_fn=lambda: resource.setrlimit(
                    resource.RLIMIT_NOFILE, (max_descriptors, max_descriptors)
                ),
            )
            assert process.stdout is not None
            lines: list[str] = []

            async def read_log() -> None:
                while line := await process.stdout.readline():  # type: ignore[union-attr]
                    lines.append(json.loads(line)["event"])

            log_reader = asyncio.create_task(read_log())
            try:
                while "ready" not in lines:
                    await asyncio.sleep(0.01)
                idle_callers |= {
                    asyncio.create_task(reconnect_idly(port)) for _ in range(2 * max_descriptors)
                }
                for turn in range(3):  # by then they hold every descriptor that they can get
                    while len(closed) < max_descriptors * (turn + 1) // 2:
                        await asyncio.sleep(0.01)
                    caller = await within(Caller.connect(port))
                    assert (await caller.ask(wait_ms=8000)).status == 200
                    caller.close()
                agent.behave = normal
                await within(agent.watches.get())
                assert "no_descriptor_to_accept_with" not in lines
            finally:
                for task in (*idle_callers, log_reader):
                    task.cancel()
                process.kill()
                await process.wait()

    run(test())


async def send_nothing(_: Message, __: Writer) -> None:
    """Send nothing, like discovery's agent while discovery is down."""
