"""Startup and shutdown: readiness, SIGTERM, and the command line."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
import sys
from pathlib import Path

import pytest

from madderwind import __version__
from madderwind.standalone.program import service
from tests import examples
from tests.standalone.program.harness import Running
from tests.standins import Agent, Caller, Message, Upstream, Writer, answer, run, says, silent, within

HEALTH = b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"


def test_sigterm_answers_accepted_requests_and_closes_connections(tmp_path: Path) -> None:
    """A planned restart must not lose requests, on open or on new connections."""

    async def test() -> None:
        go = asyncio.Event()

        async def waits(_: Message, writer: Writer) -> None:
            await go.wait()
            writer.write(answer(200, b"late"))

        upstream = Upstream(waits)
        async with Running(tmp_path, upstream) as running:
            idle, busy = await Caller.connect(running.port), await Caller.connect(running.port)
            idle.writer.write(HEALTH)
            assert (await idle.read()).status == 200
            busy.write()
            await within(upstream.arrivals.get())
            running.service.end()
            idle.writer.write(HEALTH)
            assert (await idle.read()).status == 500  # not ready, so that no new callers come
            new = await Caller.connect(running.port)
            new.write()
            await within(upstream.arrivals.get())
            go.set()
            for caller in (busy, new):
                got = await caller.read()
                assert (got.status, got.body) == (200, b"late")
                assert await caller.at_end()
            await within(running.task)
            assert not running.broken

    run(test())


def test_idle_connections_are_closed_at_shutdown(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """The HTTP server's own close would leave an idle connection open that is no longer read."""
    monkeypatch.setattr(service, "TAKE_ON_S", 0.0)

    async def test() -> None:
        async with Running(tmp_path, Upstream(silent)) as running:
            fresh, used = await Caller.connect(running.port), await Caller.connect(running.port)
            used.writer.write(HEALTH)
            assert (await used.read()).status == 200
            running.service.end()
            assert await fresh.at_end()
            assert await used.at_end()
            await within(running.task)

    run(test())


def test_open_connections_are_served_after_the_listener_closes(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """In a rolling restart the previous balancer may not be back yet, so callers must still be served."""
    monkeypatch.setattr(service, "TAKE_ON_S", 0.0)
    monkeypatch.setattr(service, "MOST_DEADLINE_S", 60.0)

    async def test() -> None:
        async with Running(tmp_path, Upstream(says(answer(200, b"on")))) as running:
            caller = await Caller.connect(running.port)
            assert (await caller.ask()).status == 200
            running.service.end()
            while running.service._listener.listening is not None:
                await asyncio.sleep(0)
            with pytest.raises(ConnectionRefusedError):
                await Caller.connect(running.port)
            for _ in range(3):
                got = await caller.ask()
                assert (got.status, got.header("Connection")) == (200, None)
            caller.close()
            await within(running.task)  # without connections it ends at once

    run(test())


def test_callers_lose_no_request_through_a_restart(tmp_path: Path) -> None:
    """No request is lost between SIGTERM and the end of the process.

    Callers open new connections for 0.4 s after SIGTERM, and use their connections while these stay open.
    """

    async def caller(port: int, loop: asyncio.AbstractEventLoop, signalled: asyncio.Event) -> int:
        served, last_s, connection, fresh = 0, float("inf"), await Caller.connect(port), True
        while True:
            if signalled.is_set():
                last_s = min(last_s, loop.time() + 0.4)
            try:
                got = await connection.ask("POST /charge", b"1")
            except (asyncio.IncompleteReadError, ConnectionError):
                assert not fresh, "a request on a new connection was lost"  # else it raced with a close
                got = None
            if got is not None:
                assert got.status == 200
                served, fresh = served + 1, False
            if got is None or got.header("Connection") == "close":
                connection.close()
                if loop.time() >= last_s:
                    return served
                connection, fresh = await Caller.connect(port), True

    async def test() -> None:
        async def soon(_: Message, writer: Writer) -> None:
            await asyncio.sleep(0.02)
            writer.write(answer(200, b"done"))

        loop, signalled = asyncio.get_running_loop(), asyncio.Event()
        async with Running(tmp_path, Upstream(soon), Upstream(soon)) as running:
            callers = [asyncio.create_task(caller(running.port, loop, signalled)) for _ in range(12)]
            while len(running.log.named("answered")) < 24:
                await asyncio.sleep(0)
            running.service.end()
            signalled.set()
            assert min(await asyncio.gather(*callers)) > 2
            await within(running.task)
            assert not running.broken

    run(test())


def test_long_requests_are_answered_before_sigkill(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Requests must be answered before SIGKILL, which does not wait for deadlines over three seconds."""
    for name, value in (
        ("TAKE_ON_S", 0.0),
        ("MOST_DEADLINE_S", 0.0),
        ("LAST_WORD_S", 0.05),
        ("LAST_WRITE_S", 5),
    ):
        monkeypatch.setattr(service, name, value)

    async def test() -> None:
        upstream = Upstream(silent)
        async with Running(tmp_path, upstream) as running:
            caller = await Caller.connect(running.port)
            caller.write("POST /charge", b"1", wait_ms=60_000)
            await within(upstream.arrivals.get())
            running.service.end()
            assert (await caller.read()).status == 504
            await within(running.task)
            assert running.log.named("answered_at_the_end") == [{"count": 1}]
            assert not running.broken

    run(test())


def run_program(*arguments: str, **extra_env: str) -> subprocess.CompletedProcess[str]:
    env = {name: value for name, value in os.environ.items() if name != "PROXY_CONFIG"}
    command = [sys.executable, "-m", "madderwind", *arguments]
    return subprocess.run(command, capture_output=True, text=True, env={**env, **extra_env}, timeout=60)


def test_sigterm_before_ready_and_repeated_with_sighup(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """SIGTERM before the service listens: it serves the requests at its start, and ends.

    A second SIGTERM and a SIGHUP during shutdown: it answers the open requests and ends once.
    """
    monkeypatch.setattr(service, "TAKE_ON_S", 0.05)

    async def test() -> None:
        go = asyncio.Event()

        async def waits(_: Message, writer: Writer) -> None:
            await go.wait()
            writer.write(answer(200, b"done"))

        upstream = Upstream(waits)
        async with Running(tmp_path, upstream) as running:
            early, task = running.new()
            early.end()
            early.reload()
            await within(task)

            caller = await Caller.connect(running.port)
            caller.write("POST /charge", b"1")
            await within(upstream.arrivals.get())
            running.service.end()
            while running.service._listener._acceptor.listening is not None:
                await asyncio.sleep(0)
            running.service.end()
            running.service.reload()
            go.set()
            assert (await caller.read()).body == b"done"
            caller.close()
            await within(running.task)
            assert len(running.log.named("ended")) == 2
            assert not running.broken

    run(test())


def test_the_version_command() -> None:
    done = run_program("version")
    assert (done.returncode, done.stdout) == (0, f"{__version__}\n")


def test_check_config_accepts_a_valid_configuration(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_bytes(examples.configuration(examples.listing(examples.member("s-1", 5000)), 8500))
    for arguments, env in ((["--config", str(path)], {}), ([], {"PROXY_CONFIG": str(path)})):
        done = run_program("check-config", *arguments, **env)
        assert (done.returncode, done.stderr) == (0, "")
        assert "1 upstreams known" in done.stdout


def test_the_readme_example_is_valid() -> None:
    done = run_program("check-config", "--config", str(examples.EXAMPLE))
    assert (done.returncode, done.stderr) == (0, "")
    assert "2 upstreams known" in done.stdout


@pytest.mark.parametrize("command", ["serve", "check-config"])
@pytest.mark.parametrize(
    "raw",
    [
        None,
        b"",
        b"{",
        b"[]",
        b"\xff",
        examples.configuration({}, 8500),
        examples.configuration(examples.listing(), 8500).replace(f"{examples.HOST}:0".encode(), b"nowhere"),
        examples.configuration(examples.listing(), 8500).replace(b"8c1f30d27a5be964", b"dice"),
        examples.configuration(examples.listing(), 8500).replace(b'"NInstances"', b'"Few"'),
        examples.configuration(examples.listing(), 8500, MaxAttempts="many"),
    ],
)
def test_an_invalid_configuration_is_reported_in_one_line(
    tmp_path: Path, command: str, raw: bytes | None
) -> None:
    path = tmp_path / "config.json"
    if raw is not None:
        path.write_bytes(raw)
    done = run_program(command, "--config", str(path))
    assert done.returncode == 1
    assert done.stdout == ""
    assert len(done.stderr.splitlines()) == 1
    assert done.stderr.startswith("madderwind: ")


def test_a_missing_configuration_is_reported_in_one_line() -> None:
    done = run_program("serve")
    assert (done.returncode, len(done.stderr.splitlines())) == (1, 1)


@pytest.mark.parametrize("optimised", [[], ["-O"]])
def test_the_program_serves_logs_json_and_ends_on_sigterm(tmp_path: Path, optimised: list[str]) -> None:
    async def test() -> None:
        async with Agent() as agent, Upstream(says(answer(200, b"served"))) as upstream:
            with_port = Upstream(silent)
            async with with_port:
                port = with_port.port  # free again once this stand-in is closed
            raw = examples.configuration(examples.listing(examples.member("s-1", upstream.port)), agent.port)
            path = tmp_path / "config.json"
            path.write_bytes(
                raw.replace(f"{examples.HOST}:0".encode(), f"{examples.HOST}:{port}".encode(), 1)
            )
            process = await asyncio.create_subprocess_exec(
                *(sys.executable, *optimised, "-m", "madderwind", "serve", "--config", str(path)),
                stdout=asyncio.subprocess.PIPE,
            )
            assert process.stdout is not None
            events = []
            try:
                while "ready" not in events:
                    events.append(json.loads(await within(process.stdout.readline()))["event"])
                caller = await Caller.connect(port)
                assert (await caller.ask()).body == b"served"
                process.send_signal(signal.SIGTERM)
                rest = (await within(process.stdout.read())).splitlines()
                assert await within(process.wait()) == 0
            finally:
                if process.returncode is None:
                    process.kill()
            events += [json.loads(line)["event"] for line in rest]
            assert events[-1] == "ended"
            assert {"answered", "ending"} <= set(events)

    run(test())
