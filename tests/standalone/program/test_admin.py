"""The second address, and what operators do by it, on a service among stand-ins."""

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


def test_status_and_what_is_no_call(tmp_path: Path) -> None:
    async def test() -> None:
        async with Running(tmp_path, Upstream(says(answer()))) as running:
            port = running.service.admin_port
            assert await call(port, b"STATUS\n") == "ACK ready\n"
            assert await call(port, b"STATUS\r\nand more\n") == "ACK ready\n"
            for odd in (b"status\n", b"\n", b"\xff\xfe\n", b"STATUS" + b" x" * 10_000, b"SUSPEND nobody\n"):
                assert (await call(port, odd)).startswith("NAK ")
            reader, writer = await asyncio.open_connection(examples.HOST, port)
            writer.write(b"STAT")
            writer.write_eof()  # a close in the middle
            assert await within(reader.read()) == b""
            running.service.end()
            assert await call(port, b"STATUS\n") == "NAK not ready\n"

    run(test())


def test_the_command_line_asks_too(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    async def test() -> None:
        async with Running(tmp_path, Upstream(says(answer()))) as running:
            address = f"{examples.HOST}:{running.service.admin_port}"
            for words, code, says_so in (
                (["STATUS"], 0, "ACK ready"),
                (["METRICS"], 0, "svc_in_progress 0"),
                (["SUSPEND", "s-0"], 0, "ACK s-0"),
                (["RESTORE", "nobody"], 1, "NAK nobody was never listed"),
            ):
                assert await asyncio.to_thread(main, ["call", address, *words]) == code
                assert says_so in capsys.readouterr().out
        assert await asyncio.to_thread(main, ["call", address, "STATUS"]) == 1
        assert len(capsys.readouterr().err.splitlines()) == 1

    run(test())


def test_figures_follow_requests(tmp_path: Path) -> None:
    """Served, failed, refused, and open; attempts count when they are written, with a body or without."""

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
            said = (await running.call("METRICS")).splitlines()
            assert 'svc_handled_total{category="lookup",outcome="passed"} 1' in said
            assert 'svc_handled_total{category="lookup",outcome="dropped"} 1' in said
            assert 'svc_handled_total{category="charge",outcome="passed"} 1' in said
            assert 'svc_handled_total{category="charge",outcome="bad_gateway"} 1' in said
            assert said[-1] == "--"
            assert await running.figure("in_progress") == 1
            assert await running.figure("upstream_tries_total") == 5
            caller.close()
            await within(running.settled())
            assert await running.figure("in_progress") == 0

    run(test())


def test_the_figures_agree_with_the_log_and_with_what_is_open(tmp_path: Path) -> None:
    """taken = ended + in progress at every moment, while requests end in every way, each with one line."""

    async def test() -> None:
        ends = [
            answer(200, b"yes"),
            answer(500),
            answer(503, X_Never_Ran="1"),
            answer(400),
            b"\x00\r\n\r\n",
            b"",
        ]
        turn = itertools.cycle(ends)

        async def behave(_: Message, writer: Writer) -> None:
            writer.write(said := next(turn))
            if not said:
                writer.transport.abort()

        async with Running(tmp_path, Upstream(behave), Upstream(behave)) as running:
            copy = running.service.copy

            async def asks(number: int) -> None:
                caller = await Caller.connect(running.port)
                for at in range(25):
                    caller.write("POST /charge" if at % 2 else "GET /lookup", b"x" * (at % 2), wait_ms=900)
                    if at % 7 == number % 7:
                        caller.close()
                    elif (await caller.read()).header("Connection") != "close":
                        continue
                    caller = await Caller.connect(running.port)

            crowd = [asyncio.create_task(asks(number)) for number in range(12)]
            looks = 0
            while not all(task.done() for task in crowd):
                taken = sum(e.taken_ms is not None for e in copy.open.values() if isinstance(e, Exchange))
                assert copy.tally.in_progress == taken
                looks += 1
                await asyncio.sleep(0)
            await within(asyncio.gather(*crowd))
            await within(running.settled())
            said = (await running.call("METRICS")).splitlines()
            logged: Counter[str] = Counter()
            for line in running.log.named("answered"):
                outcome = {200: "passed", 503: "dropped"}.get(line["status"], "bad_gateway")
                logged[f'{("lookup", "charge", "checkout")[line["class_index"]]}",outcome="{outcome}'] += 1
            for key, count in logged.items():
                assert f'svc_handled_total{{category="{key}"}} {count}' in said
            assert len(logged) > 4 and looks > 100
            gone = len(running.log.named("client_left"))
            assert copy.tally.taken == logged.total() + gone == copy.tally.ended
            assert not running.broken

    run(test())


def test_silent_callers_keep_nobody_away(tmp_path: Path) -> None:
    """Guards against callers that hold connections by hundreds and say nothing."""

    async def test() -> None:
        async with Running(tmp_path, Upstream(says(answer()))) as running:
            port = running.service.admin_port
            with contextlib.ExitStack() as held:
                for _ in range(3 * MOST_CALLS):
                    held.enter_context(contextlib.closing(socket.create_connection((examples.HOST, port))))
                assert await call(port, b"STATUS\n") == "ACK ready\n"
                caller = await Caller.connect(running.port)
                assert (await caller.ask()).status == 200

    run(test())


def test_it_answers_when_no_descriptor_is_left(tmp_path: Path) -> None:
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


def test_it_answers_while_the_loop_is_full(tmp_path: Path) -> None:
    """Answers are owed in 1 s under any load; here forty callers ask again as soon as they are answered."""

    async def test() -> None:
        async with Running(tmp_path, Upstream(says(answer()))) as running:

            async def asks() -> None:
                caller = await Caller.connect(running.port)
                while True:
                    await caller.ask(wait_ms=30_000)

            crowd = [asyncio.create_task(asks()) for _ in range(40)]
            loop = asyncio.get_running_loop()
            try:
                for line in (b"STATUS\n", b"METRICS\n", b"SUSPEND s-0\n", b"RESTORE s-0\n"):
                    began_s = loop.time()
                    assert not (await call(running.service.admin_port, line)).startswith("NAK")
                    assert loop.time() - began_s < 1.0
            finally:
                for task in crowd:
                    task.cancel()
                await asyncio.gather(*crowd, return_exceptions=True)
            assert not running.broken

    run(test())


def test_a_suspended_upstream_gets_nothing_until_it_is_called_back(tmp_path: Path) -> None:
    """A ban holds through listings, a going and coming back, and repeats; one call back ends it."""

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


def test_a_suspension_reaches_what_is_on_its_way(tmp_path: Path) -> None:
    """The ban comes while the attempt's connection comes up: the attempt is not written."""

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
