"""Upgrades under load: two processes of one balancer, with stand-ins."""

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

OK_ANSWER = answer(200, b"yes")


def socket_path(folder: Path) -> Path:
    return folder / "madderwind-n3.sock"


class Load:
    """Callers that send requests one by one on persistent connections and reconnect when closed."""

    def __init__(self, port: int, callers: int = 5) -> None:
        self.statuses: Counter[int] = Counter()
        self.broken = 0
        self._port = port
        self._stopped = asyncio.Event()
        self._tasks = [asyncio.create_task(self._ask()) for _ in range(callers)]

    async def _ask(self) -> None:
        caller = await Caller.connect(self._port)
        while not self._stopped.is_set():
            closed = True
            try:
                response = await caller.ask("POST /charge", b"x" * 200, wait_ms=30_000)
                self.statuses[response.status] += 1
                closed = response.header("Connection") == "close"
            except (ConnectionError, asyncio.IncompleteReadError):
                self.broken += 1
            if closed:
                caller.close()
                caller = await Caller.connect(self._port)
        caller.close()

    async def wait_for_answers(self, count: int) -> None:
        target = self.statuses.total() + count
        while self.statuses.total() < target:
            await asyncio.sleep(0.001)

    async def end(self) -> None:
        self._stopped.set()
        await within(asyncio.gather(*self._tasks))


def test_ten_upgrades_under_load_lose_and_repeat_no_request(tmp_path: Path) -> None:
    async def test() -> None:
        executions: Counter[str | None] = Counter()

        async def count_executions(message: Message, writer: Writer) -> None:
            executions[message.header("X-Trace-Id")] += 1
            await asyncio.sleep(0.002)
            writer.write(OK_ANSWER)

        async with Running(tmp_path, Upstream(count_executions), Upstream(count_executions)) as running:
            load = Load(running.port)
            for _ in range(10):
                await within(load.wait_for_answers(20))
                task = running.task
                old_service = await running.upgrade()
                assert (await running.call("STATUS")) == "ACK ready\n"
                old_service.end()
                await within(task)
            await within(load.wait_for_answers(20))
            await load.end()
            assert set(load.statuses) == {200} and not load.broken
            assert set(executions.values()) == {1} and len(executions) == load.statuses.total()
            assert not running.broken

    run(test())


def test_a_successor_that_dies_at_any_step_has_no_effect(tmp_path: Path) -> None:
    """After connecting, within the message, before it serves, and after it has started to serve."""

    async def test() -> None:
        async with Running(tmp_path, Upstream(says(OK_ANSWER))) as running:
            loop = asyncio.get_running_loop()
            load = Load(running.port)
            for step in range(4):
                with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as successor:
                    successor.setblocking(False)
                    await within(loop.sock_connect(successor, str(socket_path(tmp_path))))
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
                await within(load.wait_for_answers(20))
                new_caller = await Caller.connect(running.port)  # the old process accepts connections again
                assert (await new_caller.ask()).status == 200
                new_caller.close()
            await load.end()
            assert set(load.statuses) == {200} and not load.broken
            old_service = await running.upgrade()  # a further successor can take over
            assert running.log.named("taken_over")
            old_service.end()
            assert (await (await Caller.connect(running.port)).ask()).status == 200

    run(test())


@pytest.mark.parametrize("raw", [b"", b"noise", b"\x81\xa7version\x63"])
def test_an_unreadable_handover_message_is_ignored(tmp_path: Path, raw: bytes) -> None:
    """The new process starts from its configuration, on the socket that it received."""

    async def test() -> None:
        with socket.create_server((examples.HOST, 0)) as listening:
            offer = Offer(socket_path(tmp_path), lambda: (listening, raw), lambda _: None)
            assert offer.open() == ""
            async with Running(tmp_path, Upstream(says(OK_ANSWER))) as running:
                assert len(running.log.named("handover_unreadable")) == 1
                assert running.port == listening.getsockname()[1]
                assert (await (await Caller.connect(running.port)).ask()).status == 200
            offer.close()

    run(test())


def test_a_stale_socket_path_and_a_silent_process(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("madderwind.standalone.handover.link.ANSWER_S", 0.1)

    async def test() -> None:
        for listens in (False, True):
            with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as leftover:
                socket_path(tmp_path).unlink(missing_ok=True)
                leftover.bind(str(socket_path(tmp_path)))
                if listens:
                    leftover.listen()
                async with Running(tmp_path, Upstream(says(OK_ANSWER))) as running:
                    assert (await (await Caller.connect(running.port)).ask()).status == 200

    run(test())


def test_a_third_process_starts_without_a_handover(tmp_path: Path) -> None:
    """While one process takes over, another gets no handover; what it then lacks is its own failure."""

    async def test() -> None:
        async with Running(tmp_path, Upstream(says(OK_ANSWER))) as running:
            loop = asyncio.get_running_loop()
            with (
                socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as first,
                socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as second,
            ):
                for successor in (first, second):
                    successor.setblocking(False)
                    await within(loop.sock_connect(successor, str(socket_path(tmp_path))))
                assert await within(loop.sock_recv(first, HEAD.size))
                assert await within(loop.sock_recv(second, HEAD.size)) == b""
                assert (await (await Caller.connect(running.port)).ask()).status == 200

    run(test())


def test_suspensions_and_drains_apply_in_both_processes_and_after(tmp_path: Path) -> None:
    async def test() -> None:
        upstreams = [Upstream(says(answer(200, b"%d" % n))) for n in range(4)]
        async with Running(tmp_path, *upstreams) as running:
            watch = await within(running.agent.watches.get())
            drains = examples.member("s-3", upstreams[3].port, "Terminating")
            tell(watch, examples.listing(drains, revision=50, complete=False))
            while running.service.copy.directory.revision != 50:
                await asyncio.sleep(0.001)
            assert (await running.call("SUSPEND s-0")).startswith("ACK")
            old_service = await running.upgrade()
            # commands to either process during the overlap apply in both
            assert (await running.call("SUSPEND s-1")).startswith("ACK")
            assert (await call(old_service.admin_port, b"RESTORE s-0\n")).startswith("ACK")
            for process in (old_service, running.service):
                while process.copy.directory.suspended != {"s-1"}:
                    await asyncio.sleep(0.001)
            assert (await running.call("SUSPEND s-2")).startswith("ACK")
            caller = await Caller.connect(running.port)
            for _ in range(10):
                assert (await caller.ask()).body == b"0"
            assert not upstreams[1].asked and not upstreams[3].asked
            old_service.end()
            running.service.end()
            await within(running.task)  # without a successor
            await running.upgrade()  # starts from the saved file
            assert running.service.copy.directory.suspended == {"s-1", "s-2"}

    run(test())


def test_limits_are_divided_and_the_quota_is_not_doubled(tmp_path: Path) -> None:
    async def test() -> None:
        async with Running(tmp_path, Upstream(says(OK_ANSWER)), sockets=400) as running:
            connections_alone, old_task = running.service._upstreams._connector.most, running.task
            old_service = await running.upgrade()
            new_service = running.service
            assert [s._upstreams._connector.most for s in (old_service, new_service)] == [
                connections_alone // 2
            ] * 2
            assert [s._listener._web.most for s in (old_service, new_service)] == [connections_alone // 2] * 2
            assert [s.copy._balancer._quota.tokens for s in (old_service, new_service)] == [250.0, 250.0]
            old_service.end()
            await within(old_task)
            while new_service._upstreams._connector.most != connections_alone:
                await asyncio.sleep(0.001)

    run(test())


@pytest.mark.parametrize("kill_first", [False, True])
def test_upgrade_of_real_processes(tmp_path: Path, kill_first: bool) -> None:
    """Real processes: a successor that is killed, one that serves, and SIGTERM to the old process."""

    async def test() -> None:
        async with (
            Upstream(says(OK_ANSWER)) as upstream,
            Agent() as agent,
            contextlib.AsyncExitStack() as cleanup,
        ):
            listen, *admin_ports = await free_ports(4)
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
                cleanup.callback(kill_if_running, process)
                while True:
                    with contextlib.suppress(ConnectionError):
                        if await call(admin_port, b"STATUS\n") == "ACK ready\n":
                            return process
                    await asyncio.sleep(0.02)

            old_process = await within(start(admin_ports[0]))
            load = Load(listen, callers=2)
            await within(load.wait_for_answers(5))
            if kill_first:
                killed = await within(start(admin_ports[1]))
                killed.kill()
                await within(killed.wait())
                await within(load.wait_for_answers(5))
                load.broken = 0  # callers retry requests of the killed process
            new_process = await within(start(admin_ports[2]))
            old_process.send_signal(signal.SIGTERM)
            assert await within(old_process.wait()) == 0
            await within(load.wait_for_answers(5))
            await load.end()
            assert set(load.statuses) == {200} and not load.broken
            new_process.terminate()
            assert await within(new_process.wait()) == 0

    run(test())


def kill_if_running(process: asyncio.subprocess.Process) -> None:
    if process.returncode is None:
        process.kill()


async def free_ports(count: int) -> list[int]:
    with contextlib.ExitStack() as open_sockets:
        sockets = [open_sockets.enter_context(socket.create_server((examples.HOST, 0))) for _ in range(count)]
        return [int(s.getsockname()[1]) for s in sockets]


def test_shutdown_without_a_successor_is_unchanged(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(service, "TAKE_ON_S", 0.0)

    async def test() -> None:
        async with Running(tmp_path, Upstream(says(OK_ANSWER))) as running:
            caller = await Caller.connect(running.port)
            running.service.end()
            assert (await caller.ask()).status == 200
            await within(running.task)

    run(test())
