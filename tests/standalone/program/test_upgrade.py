"""A new version under load: two processes of one balancer, among stand-ins."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import socket
import sys
from collections import Counter
from pathlib import Path

import pytest

from madderwind.standalone.handover.link import HEAD, Offer
from madderwind.standalone.program import service
from tests import examples
from tests.standalone.program.harness import Running, call
from tests.standins import Agent, Caller, Message, Upstream, Writer, answer, run, says, tell, within

YES = answer(200, b"yes")


def sock(folder: Path) -> Path:
    return folder / "madderwind-n3.sock"


class Load:
    """Callers that ask one after another on kept connections, and open a new one when theirs was closed."""

    def __init__(self, port: int, callers: int = 5) -> None:
        self.statuses: Counter[int] = Counter()
        self.broken = 0
        self._port = port
        self._over = asyncio.Event()
        self._tasks = [asyncio.create_task(self._ask()) for _ in range(callers)]

    async def _ask(self) -> None:
        caller = await Caller.connect(self._port)
        while not self._over.is_set():
            closed = True
            try:
                got = await caller.ask("POST /charge", b"x" * 200, wait_ms=30_000)
                self.statuses[got.status] += 1
                closed = got.header("Connection") == "close"
            except (ConnectionError, asyncio.IncompleteReadError):
                self.broken += 1
            if closed:
                caller.close()
                caller = await Caller.connect(self._port)
        caller.close()

    async def goes_on(self, count: int) -> None:
        until = self.statuses.total() + count
        while self.statuses.total() < until:
            await asyncio.sleep(0.001)

    async def end(self) -> None:
        self._over.set()
        await within(asyncio.gather(*self._tasks))


def test_ten_upgrades_under_load_lose_nothing_and_run_nothing_twice(tmp_path: Path) -> None:
    async def test() -> None:
        ran: Counter[str | None] = Counter()

        async def counts(message: Message, writer: Writer) -> None:
            ran[message.header("X-Trace-Id")] += 1
            await asyncio.sleep(0.002)
            writer.write(YES)

        async with Running(tmp_path, Upstream(counts), Upstream(counts)) as running:
            load = Load(running.port)
            for _ in range(10):
                await within(load.goes_on(20))
                task = running.task
                old = await running.upgrade()
                assert (await running.call("STATUS")) == "ACK ready\n"
                old.end()
                await within(task)
            await within(load.goes_on(20))
            await load.end()
            assert set(load.statuses) == {200} and not load.broken
            assert set(ran.values()) == {1} and len(ran) == load.statuses.total()
            assert not running.broken

    run(test())


def test_a_successor_that_dies_at_any_step_changes_nothing(tmp_path: Path) -> None:
    """At the door, halfway through the message, before it serves, and after it began to."""

    async def test() -> None:
        async with Running(tmp_path, Upstream(says(YES))) as running:
            loop = asyncio.get_running_loop()
            load = Load(running.port)
            for step in range(4):
                with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as successor:
                    successor.setblocking(False)
                    await within(loop.sock_connect(successor, str(sock(tmp_path))))
                    if step:
                        assert len(await within(loop.sock_recv(successor, HEAD.size))) == HEAD.size
                    if step > 1:
                        assert await within(loop.sock_recv(successor, 65536))
                    if step > 2:
                        await loop.sock_sendall(successor, b'{"serving":true}\n')
                        while not running.log.named("successor_serves"):
                            await asyncio.sleep(0.001)
                while len(running.log.named("successor_lost")) <= step:
                    await asyncio.sleep(0.001)
                await within(load.goes_on(20))
                new = await Caller.connect(running.port)  # it accepts again
                assert (await new.ask()).status == 200
                new.close()
            await load.end()
            assert set(load.statuses) == {200} and not load.broken
            old = await running.upgrade()  # and the next one is welcome
            assert running.log.named("taken_over")
            old.end()
            assert (await (await Caller.connect(running.port)).ask()).status == 200

    run(test())


@pytest.mark.parametrize("raw", [b"", b"noise", b"\x81\xa7version\x63"])
def test_a_message_that_cannot_be_read_is_passed_over(tmp_path: Path, raw: bytes) -> None:
    """The new process starts from its configuration, on the socket that it was handed."""

    async def test() -> None:
        with socket.create_server((examples.HOST, 0)) as listening:
            offer = Offer(sock(tmp_path), lambda: (listening, raw), lambda _: None)
            assert offer.open() == ""
            async with Running(tmp_path, Upstream(says(YES))) as running:
                assert len(running.log.named("handover_unreadable")) == 1
                assert running.port == listening.getsockname()[1]
                assert (await (await Caller.connect(running.port)).ask()).status == 200
            offer.close()

    run(test())


def test_a_leftover_path_and_one_that_says_nothing(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("madderwind.standalone.handover.link.ANSWER_S", 0.1)

    async def test() -> None:
        for waits in (False, True):
            with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as leftover:
                sock(tmp_path).unlink(missing_ok=True)
                leftover.bind(str(sock(tmp_path)))
                if waits:
                    leftover.listen()
                async with Running(tmp_path, Upstream(says(YES))) as running:
                    assert (await (await Caller.connect(running.port)).ask()).status == 200

    run(test())


def test_a_third_process_starts_by_itself(tmp_path: Path) -> None:
    """While one takes over, another is told nothing; what it then can't have is its own fault."""

    async def test() -> None:
        async with Running(tmp_path, Upstream(says(YES))) as running:
            loop = asyncio.get_running_loop()
            with (
                socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as first,
                socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as second,
            ):
                for successor in (first, second):
                    successor.setblocking(False)
                    await within(loop.sock_connect(successor, str(sock(tmp_path))))
                assert await within(loop.sock_recv(first, HEAD.size))
                assert await within(loop.sock_recv(second, HEAD.size)) == b""
                assert (await (await Caller.connect(running.port)).ask()).status == 200

    run(test())


def test_bans_and_drains_hold_in_both_processes_and_after(tmp_path: Path) -> None:
    async def test() -> None:
        upstreams = [Upstream(says(answer(200, b"%d" % n))) for n in range(4)]
        async with Running(tmp_path, *upstreams) as running:
            watch = await within(running.agent.watches.get())
            drains = examples.member("s-3", upstreams[3].port, "Terminating")
            tell(watch, examples.listing(drains, revision=50, complete=False))
            while running.service.copy.directory.revision != 50:
                await asyncio.sleep(0.001)
            assert (await running.call("SUSPEND s-0")).startswith("ACK")
            old = await running.upgrade()
            # what either hears in the overlap holds in both
            assert (await running.call("SUSPEND s-1")).startswith("ACK")
            assert (await call(old.admin_port, b"RESTORE s-0\n")).startswith("ACK")
            for process in (old, running.service):
                while process.copy.directory.suspended != {"s-1"}:
                    await asyncio.sleep(0.001)
            assert (await running.call("SUSPEND s-2")).startswith("ACK")
            caller = await Caller.connect(running.port)
            for _ in range(10):
                assert (await caller.ask()).body == b"0"
            assert not upstreams[1].asked and not upstreams[3].asked
            old.end()
            running.service.end()
            await within(running.task)  # with nobody to hand over to
            await running.upgrade()  # from the file
            assert running.service.copy.directory.suspended == {"s-1", "s-2"}

    run(test())


def test_limits_are_shared_and_the_quota_is_not_doubled(tmp_path: Path) -> None:
    async def test() -> None:
        async with Running(tmp_path, Upstream(says(YES)), sockets=400) as running:
            alone, old_task = running.service._upstreams._connector.most, running.task
            old = await running.upgrade()
            new = running.service
            assert [s._upstreams._connector.most for s in (old, new)] == [alone // 2] * 2
            assert [s._listener._web.most for s in (old, new)] == [alone // 2] * 2
            assert [s.copy._balancer._quota.tokens for s in (old, new)] == [250.0, 250.0]
            old.end()
            await within(old_task)
            while new._upstreams._connector.most != alone:
                await asyncio.sleep(0.001)

    run(test())


@pytest.mark.parametrize("kill_first", [False, True])
def test_processes(tmp_path: Path, kill_first: bool) -> None:
    """The program itself: a successor that is killed, one that serves, and SIGTERM to the old."""

    async def test() -> None:
        async with Upstream(says(YES)) as upstream, Agent() as agent, contextlib.AsyncExitStack() as ends:
            listen, *admin = await free_ports(4)
            raw = examples.configuration(examples.listing(examples.member("s-1", upstream.port)), agent.port)
            path = tmp_path / "config.json"
            addresses = f"{examples.HOST}:0".encode(), f"{examples.HOST}:{listen}".encode()
            path.write_bytes(raw.replace(*addresses, 1))

            async def start(admin_port: int) -> asyncio.subprocess.Process:
                process = await asyncio.create_subprocess_exec(
                    *(sys.executable, "-O", "-m", "madderwind", "serve", "--config", str(path)),
                    stdout=asyncio.subprocess.DEVNULL,
                    env={
                        **os.environ,
                        "TMPDIR": str(tmp_path),
                        "PROXY_ADMIN_ADDR": f"{examples.HOST}:{admin_port}",
                    },
                )
                ends.callback(kill, process)
                while True:
                    with contextlib.suppress(ConnectionError):
                        if await call(admin_port, b"STATUS\n") == "ACK ready\n":
                            return process
                    await asyncio.sleep(0.02)

            old = await within(start(admin[0]))
            load = Load(listen, callers=2)
            await within(load.goes_on(5))
            if kill_first:
                killed = await within(start(admin[1]))
                killed.kill()
                await within(killed.wait())
                await within(load.goes_on(5))
                load.broken = 0  # what the killed one held is the callers' to ask again
            new = await within(start(admin[2]))
            old.send_signal(signal.SIGTERM)
            assert await within(old.wait()) == 0
            await within(load.goes_on(5))
            await load.end()
            assert set(load.statuses) == {200} and not load.broken
            new.terminate()
            assert await within(new.wait()) == 0

    run(test())


def kill(process: asyncio.subprocess.Process) -> None:
    if process.returncode is None:
        process.kill()


async def free_ports(count: int) -> list[int]:
    with contextlib.ExitStack() as held:
        sockets = [held.enter_context(socket.create_server((examples.HOST, 0))) for _ in range(count)]
        return [int(s.getsockname()[1]) for s in sockets]


def test_without_a_successor_the_end_is_as_ever(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(service, "TAKE_ON_S", 0.0)

    async def test() -> None:
        async with Running(tmp_path, Upstream(says(YES))) as running:
            caller = await Caller.connect(running.port)
            running.service.end()
            assert (await caller.ask()).status == 200
            await within(running.task)

    run(test())
