"""Operator commands at the admin address of a service with stand-ins."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import resource
import socket
from collections import Counter
from pathlib import Path

import pytest

from madderwind.standalone.admin.listener import MOST_CALLS
from madderwind.standalone.program.cli import main
from madderwind.standalone.routing.exchange import Exchange
from tests import examples
from tests.standalone.program.harness import Running, call
from tests.standins import (
    Caller,
    Message,
    Upstream,
    Writer,
    answer,
    resets,
    run,
    says,
    silent,
    tell,
    within,
)


def test_status_and_invalid_commands(tmp_path: Path) -> None:
    async def test() -> None:
        async with Running(tmp_path, Upstream(says(answer()))) as running:
            port = running.service.admin_port
            assert await call(port, b"STATUS\n") == "ACK ready\n"
            assert await call(port, b"STATUS\r\nand more\n") == "ACK ready\n"
            for invalid in (
                b"status\n",
                b"\n",
                b"\xff\xfe\n",
                b"STATUS" + b" x" * 10_000,
                b"SUSPEND nobody\n",
            ):
                assert (await call(port, invalid)).startswith("NAK ")
            reader, writer = await asyncio.open_connection(examples.HOST, port)
            writer.write(b"STAT")
            writer.write_eof()  # closes in the middle of a command
            assert await within(reader.read()) == b""
            running.service.end()
            assert await call(port, b"STATUS\n") == "NAK not ready\n"

    run(test())


def test_the_command_line_sends_operator_commands(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    async def test() -> None:
        async with Running(tmp_path, Upstream(says(answer()))) as running:
            address = f"{examples.HOST}:{running.service.admin_port}"
            for words, code, expected in (
                (["STATUS"], 0, "ACK ready"),
                (["METRICS"], 0, "svc_in_progress 0"),
                (["SUSPEND", "s-0"], 0, "ACK s-0"),
                (["RESTORE", "nobody"], 1, "NAK nobody was never listed"),
            ):
                assert await asyncio.to_thread(main, ["call", address, *words]) == code
                assert expected in capsys.readouterr().out
        assert await asyncio.to_thread(main, ["call", address, "STATUS"]) == 1
        assert len(capsys.readouterr().err.splitlines()) == 1

    run(test())


def test_metrics_follow_requests(tmp_path: Path) -> None:
    """Served, failed, refused and open requests; attempts count once written, with or without a body."""

    async def test() -> None:
        upstream = Upstream(says(answer(200, b"yes")))
        async with Running(tmp_path, upstream, MaxAttempts=1) as running:
            caller = await Caller.connect(running.port)
            assert (await caller.ask()).status == 200
            assert (await caller.ask("POST /charge", b"x" * 5000)).status == 200
            upstream.behave = resets
            assert (await caller.ask("POST /charge", b"x")).status == 502
            upstream.behave = says(answer(503, X_Never_Ran="1"))
            assert (await caller.ask()).status == 503
            upstream.behave = silent
            caller.write()
            for _ in range(5):
                await within(upstream.arrivals.get())
            metrics = (await running.call("METRICS")).splitlines()
            assert 'svc_handled_total{category="lookup",outcome="passed"} 1' in metrics
            assert 'svc_handled_total{category="lookup",outcome="dropped"} 1' in metrics
            assert 'svc_handled_total{category="charge",outcome="passed"} 1' in metrics
            assert 'svc_handled_total{category="charge",outcome="bad_gateway"} 1' in metrics
            assert metrics[-1] == "--"
            assert await running.figure("in_progress") == 1
            assert await running.figure("upstream_tries_total") == 5
            caller.close()
            await within(running.settled())
            assert await running.figure("in_progress") == 0

    run(test())


def test_metrics_agree_with_the_log_and_the_open_requests(tmp_path: Path) -> None:
    """taken = ended + in progress at any time, while requests end in every way, each with one log line."""

    async def test() -> None:
        answers = [
            answer(200, b"yes"),
            answer(500),
            answer(503, X_Never_Ran="1"),
            answer(400),
            b"\x00\r\n\r\n",
            b"",
        ]
        next_answers = itertools.cycle(answers)

        async def behave(_: Message, writer: Writer) -> None:
            writer.write(response := next(next_answers))
            if not response:
                writer.transport.abort()

        async with Running(tmp_path, Upstream(behave), Upstream(behave)) as running:
            copy = running.service.copy

            async def ask_repeatedly(number: int) -> None:
                caller = await Caller.connect(running.port)
                for at in range(25):
                    caller.write("POST /charge" if at % 2 else "GET /lookup", b"x" * (at % 2), wait_ms=900)
                    if at % 7 == number % 7:
                        caller.close()
                    elif (await caller.read()).header("Connection") != "close":
                        continue
                    caller = await Caller.connect(running.port)

            callers = [asyncio.create_task(ask_repeatedly(number)) for number in range(12)]
            checks = 0
            while not all(task.done() for task in callers):
                taken_count = sum(
                    e.taken_ms is not None for e in copy.open.values() if isinstance(e, Exchange)
                )
                assert copy.tally.in_progress == taken_count
                checks += 1
                await asyncio.sleep(0)
            await within(asyncio.gather(*callers))
            await within(running.settled())
            metrics = (await running.call("METRICS")).splitlines()
            logged: Counter[str] = Counter()
            for line in running.log.named("answered"):
                outcome = {200: "passed", 503: "dropped"}.get(line["status"], "bad_gateway")
                logged[f'{("lookup", "charge", "checkout")[line["class_index"]]}",outcome="{outcome}'] += 1
            for key, count in logged.items():
                assert f'svc_handled_total{{category="{key}"}} {count}' in metrics
            assert len(logged) > 4 and checks > 100
            departed = len(running.log.named("client_left"))
            assert copy.tally.taken == logged.total() + departed == copy.tally.ended
            assert not running.broken

    run(test())


def test_idle_admin_connections_do_not_block_others(tmp_path: Path) -> None:
    """Guards against clients that hold hundreds of admin connections open without sending a command."""

    async def test() -> None:
        async with Running(tmp_path, Upstream(says(answer()))) as running:
            port = running.service.admin_port
            with contextlib.ExitStack() as open_connections:
                for _ in range(3 * MOST_CALLS):
                    open_connections.enter_context(
                        contextlib.closing(socket.create_connection((examples.HOST, port)))
                    )
                assert await call(port, b"STATUS\n") == "ACK ready\n"
                caller = await Caller.connect(running.port)
                assert (await caller.ask()).status == 200

    run(test())


def test_the_admin_address_answers_without_free_descriptors(tmp_path: Path) -> None:
    async def test() -> None:
        async with Running(tmp_path, Upstream(says(answer()))) as running:
            connection = socket.socket()
            before = resource.getrlimit(resource.RLIMIT_NOFILE)
            highest = connection.fileno()
            resource.setrlimit(resource.RLIMIT_NOFILE, (highest + 1, before[1]))
            try:
                connection.setblocking(False)
                with pytest.raises(OSError, match="Too many open files"):
                    socket.socket()
                loop = asyncio.get_running_loop()
                await within(loop.sock_connect(connection, (examples.HOST, running.service.admin_port)))
                await within(loop.sock_sendall(connection, b"STATUS\n"))
                assert await within(loop.sock_recv(connection, 100)) == b"ACK ready\n"
            finally:
                resource.setrlimit(resource.RLIMIT_NOFILE, before)
                connection.close()

    run(test())


def test_the_admin_address_answers_under_load(tmp_path: Path) -> None:
    """Answers are due within 1 s under any load; here forty callers send requests back to back."""

    async def test() -> None:
        async with Running(tmp_path, Upstream(says(answer()))) as running:

            async def ask_repeatedly() -> None:
                caller = await Caller.connect(running.port)
                while True:
                    await caller.ask(wait_ms=30_000)

            callers = [asyncio.create_task(ask_repeatedly()) for _ in range(40)]
            loop = asyncio.get_running_loop()
            try:
                for line in (b"STATUS\n", b"METRICS\n", b"SUSPEND s-0\n", b"RESTORE s-0\n"):
                    began_s = loop.time()
                    assert not (await call(running.service.admin_port, line)).startswith("NAK")
                    assert loop.time() - began_s < 1.0
            finally:
                for task in callers:
                    task.cancel()
                await asyncio.gather(*callers, return_exceptions=True)
            assert not running.broken

    run(test())


def test_a_suspended_upstream_gets_no_requests_until_it_is_restored(tmp_path: Path) -> None:
    """A suspension survives listings, removal and return of the upstream, and repeats; RESTORE ends it."""

    async def test() -> None:
        first, second = Upstream(says(answer(200, b"first"))), Upstream(says(answer(200, b"second")))
        async with Running(tmp_path, first, second) as running:
            watch = await within(running.agent.watches.get())
            caller = await Caller.connect(running.port)
            assert (await running.call("SUSPEND s-0")).startswith("ACK")
            assert (await running.call("SUSPEND s-0")).startswith("ACK")
            assert await running.figure("skipped_upstreams") == 1
            assert await running.figure("known_upstreams") == 2
            directory = running.service.copy.directory
            for revision, phase in ((50, "Ready"), (51, "Gone"), (52, "Ready")):
                tell(
                    watch,
                    examples.listing(
                        examples.member("s-0", first.port, phase), revision=revision, complete=False
                    ),
                )
                while directory.revision != revision:
                    await asyncio.sleep(0.001)
                for _ in range(5):
                    assert (await caller.ask()).body == b"second"
            assert (await running.call("SUSPEND s-1")).startswith("ACK")
            refused = await caller.ask()
            assert refused.status == 503 and refused.header("Retry-After")
            assert not first.asked
            assert (await running.call("RESTORE s-0")).startswith("ACK")
            assert (await caller.ask()).body == b"first"
            assert directory.suspended == {"s-1"}

    run(test())


def test_a_suspension_applies_to_an_attempt_that_is_connecting(tmp_path: Path) -> None:
    """The suspension arrives while the attempt connects, so the attempt is not written."""

    async def test() -> None:
        upstream = Upstream(says(answer(200, b"late")))
        async with Running(tmp_path, upstream, MaxAttempts=1) as running:
            caller = await Caller.connect(running.port)
            caller.write()
            while not running.service.copy.open:
                await asyncio.sleep(0)
            running.service.copy.suspend("s-0")
            assert (await caller.read()).status == 503
            assert not upstream.asked

    run(test())
