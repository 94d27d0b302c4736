"""The discovery watch over real sockets."""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
from collections.abc import AsyncGenerator, Callable, Coroutine
from pathlib import Path
from types import SimpleNamespace
from typing import Any, cast

import pytest

from madderwind.standalone.policy.api import UpstreamState
from madderwind.standalone.policy.balancer import Balancer
from madderwind.standalone.program.configuration import read_configuration
from madderwind.standalone.program.service import Service
from madderwind.standalone.routing import discovery
from madderwind.transport.stream import StreamEnded
from tests import examples
from tests.standalone.program.harness import Running
from tests.standins import (
    Agent,
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
    tell_bytes,
    within,
)

LISTING_LINE = json.dumps(examples.listing(revision=7)).encode() + b"\n"


class JumpingLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock jumps to the next timer, so tests neither wait nor depend on timing."""

    def __init__(self) -> None:
        super().__init__()
        self._now_s = 1000.0
        select = self._selector.select  # type: ignore[attr-defined]

        def jump(timeout: float | None) -> object:
            if timeout and self._scheduled:  # type: ignore[attr-defined]
                self._now_s = max(self._now_s, self._scheduled[0].when())  # type: ignore[attr-defined]
            return select(0)

        self._selector.select = jump  # type: ignore[attr-defined]

    def time(self) -> float:
        return self._now_s

    def run(self, test: Coroutine[Any, Any, None]) -> None:
        try:
            self.run_until_complete(test)
        finally:
            self.close()


class FakeCopy:
    """The parts of a copy that a follower uses."""

    def __init__(self, must_ask: bool) -> None:
        self.settings = SimpleNamespace(must_ask=must_ask)
        self.directory = SimpleNamespace(revision=0)
        self.watch_asked_for = asyncio.Event()

    def log(self, *_: object, **__: object) -> None: ...

    def happened(self, _: object) -> None: ...

    def listed(self, _: object) -> None: ...


async def wait_until(holds: Callable[[], bool]) -> None:
    """Wait until a condition holds."""
    async with asyncio.timeout(10):
        while not holds():
            await asyncio.sleep(0)


def test_a_moved_upstream_gets_requests_at_its_new_address(tmp_path: Path) -> None:
    async def test() -> None:
        old = Upstream(says(answer(200, b"old")))
        async with Running(tmp_path, old) as running, Upstream(says(answer(200, b"new"))) as new:
            watch = await within(running.agent.watches.get())
            caller = await Caller.connect(running.port)
            assert (await caller.ask()).body == b"old"
            tell(watch, examples.listing(examples.member("s-0", new.port), revision=42, complete=False))
            await wait_until(lambda: running.service.copy.directory.revision == 42)
            assert (await caller.ask()).body == b"new"

    run(test())


@pytest.mark.parametrize("removal", ["Terminating", "Gone", None])
def test_a_draining_or_removed_upstream_gets_no_new_requests(tmp_path: Path, removal: str | None) -> None:
    """Guards against sends after the drain grace period. None: a complete list lacks the upstream."""

    async def test() -> None:
        upstreams = [Upstream(says(answer(200))) for _ in range(2)]
        async with Running(tmp_path, *upstreams) as running:
            watch = await within(running.agent.watches.get())
            kept = examples.member("s-1", upstreams[1].port)
            if removal is None:
                tell(watch, examples.listing(kept, revision=42))
            else:
                removed = examples.member("s-0", upstreams[0].port, phase=removal)
                tell(watch, examples.listing(removed, revision=42, complete=False))
            await wait_until(lambda: running.service.copy.directory.revision == 42)
            assert not running.service.copy.directory.takes_new(0)
            caller = await Caller.connect(running.port)
            for _ in range(8):
                assert (await caller.ask()).status == 200
            assert not upstreams[0].asked
            assert len(upstreams[1].asked) == 8

    run(test())


def test_a_drain_notice_during_connect_prevents_the_send(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a request sent to an upstream that was reported as draining while it connected."""

    async def test() -> None:
        upstream = Upstream(says(answer(200)))
        async with Running(tmp_path, upstream) as running:
            watch = await within(running.agent.watches.get())
            connector = running.service._upstreams._connector
            connect = connector.connect

            async def delayed_connect(*args: object, **kwargs: object) -> object:
                connection = await connect(*args, **kwargs)  # type: ignore[arg-type]
                draining = examples.member("s-0", upstream.port, phase="Terminating")
                tell(watch, examples.listing(draining, revision=42, complete=False))
                await wait_until(lambda: running.service.copy.directory.revision == 42)
                return connection

            monkeypatch.setattr(connector, "connect", delayed_connect)
            response = await (await Caller.connect(running.port)).ask("POST /charge", b"1", wait_ms=300)
            assert response.status == 503
            assert not upstream.asked
            assert running.log.named("answered")[0]["attempts"][0][1] == "not_sent"

    run(test())


def test_a_broken_watch_resumes_from_the_known_revision(tmp_path: Path) -> None:
    async def test() -> None:
        async with Running(tmp_path, Upstream(silent)) as running:
            watch = await within(running.agent.watches.get())
            tell(watch, examples.listing(revision=77, complete=False))
            await wait_until(lambda: running.service.copy.directory.revision == 77)
            watch.transport.abort()
            await within(running.agent.watches.get())
            assert [m.start for m in running.agent.asked][1:] == ["GET /v1/servers?watch=1&from=77 HTTP/1.1"]

    run(test())


def test_a_broken_watch_reopens_at_once_where_changes_are_pushed(tmp_path: Path) -> None:
    async def test() -> None:
        upstream = Upstream(silent)
        async with Running(tmp_path, upstream) as running:
            for revision in range(50, 54):
                watch = await within(running.agent.watches.get())
                draining = examples.member("s-0", upstream.port, phase="Terminating")
                tell(watch, examples.listing(draining, revision=revision, complete=False))
                await wait_until(lambda: running.service.copy.directory.revision >= revision)  # noqa: B023
                watch.transport.abort()
            assert not running.service.copy.directory.takes_new(0)

    run(test())


def test_where_copies_must_poll_the_policy_decides_when(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against copies that all call discovery repeatedly at once; it rejected them on cuenca-sur."""
    monkeypatch.setattr(discovery, "TOLD_S", 10_000.0)

    async def test() -> None:
        async with Running(tmp_path, Upstream(silent), discovery="on_request") as running:
            copy = running.service.copy
            assert not running.agent.asked
            copy.watch_asked_for.set()  # as the policy does, after a random delay
            watch = await within(running.agent.watches.get())
            await wait_until(lambda: copy._balancer._subscription.following)
            watch.transport.abort()
            await wait_until(lambda: not copy._balancer._subscription.following)
            assert len(running.agent.asked) == 1
            copy.watch_asked_for.set()
            await within(running.agent.watches.get())

    run(test())


def test_where_copies_must_poll_the_host_asks_before_changes_are_due(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against the delays of the policy, up to twenty seconds, during which drains would be missed."""
    monkeypatch.setattr(discovery, "MOST_UNASKED", 0.003)
    monkeypatch.setattr(Balancer, "_ask_after", lambda *_: None)

    async def test() -> None:
        async with Running(tmp_path, Upstream(silent), discovery="on_request") as running:
            for _ in range(3):
                (await within(running.agent.watches.get())).transport.abort()

    run(test())


@pytest.mark.parametrize("must_ask", [False, True])
@pytest.mark.parametrize(
    "failure", ["refused", "reset", "never answered", "half a head", "half a list", "blanks"]
)
@pytest.mark.parametrize("anew", [False, True])
def test_a_failed_call_is_followed_by_an_answered_one_in_time(
    must_ask: bool, failure: str, anew: bool
) -> None:
    """Guards against delays that are short one by one but too long in total.

    A change that discovery publishes right after the start of a call that fails must be known 6 s after that
    start, or 4 s if SIGHUP set the address. The clock jumps to the next timer, and half of the margin is left
    for the event loop and the answer.
    """
    limit_s = discovery.TOLD_ANEW_S if anew else discovery.TOLD_S

    async def test(seed: int) -> None:
        loop = asyncio.get_running_loop()
        copy = FakeCopy(must_ask)
        call_times_s: list[float] = []

        async def stream_parts(
            _: object, __: str, until_s: Callable[[], float]
        ) -> AsyncGenerator[bytes, None]:
            call_times_s.append(loop.time())
            if len(call_times_s) > 1:
                yield LISTING_LINE
                await asyncio.sleep(1000)
            if failure == "refused":
                raise StreamEnded("refused")
            if failure == "reset":
                await asyncio.sleep(0.9 * discovery.ANSWER_S)
                raise StreamEnded("reset")
            for _ in range(100):
                if failure in ("half a list", "blanks"):
                    yield LISTING_LINE[:30] if failure == "half a list" else b"   "
                await asyncio.sleep(min(1.0, max(0.001, until_s() - loop.time())))
                if loop.time() >= until_s():
                    raise StreamEnded("silent")

        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(discovery, "parts", stream_parts)
            follower = discovery.Follower(cast(Any, copy), (examples.HOST, 1), random.Random(seed))
            task = asyncio.create_task(follower.run(anew=anew))
            await follower.heard.wait()
            task.cancel()
        assert len(call_times_s) == 2
        assert call_times_s[1] + discovery.ANSWER_S <= call_times_s[0] + limit_s - discovery.MARGIN_S / 2

    for seed in range(20):
        JumpingLoop().run(test(seed))


@pytest.mark.parametrize("must_ask", [False, True])
def test_changes_missed_by_a_silent_watch_are_known_in_time(must_ask: bool) -> None:
    """The same limit, counted from the last sign of life.

    Empty lines count as one; the beginning of a list that never ends does not.
    """

    async def test(seed: int) -> None:
        loop = asyncio.get_running_loop()
        copy = FakeCopy(must_ask)
        call_times_s: list[float] = []
        last_sign_s = [0.0]

        async def stream_parts(
            _: object, __: str, until_s: Callable[[], float]
        ) -> AsyncGenerator[bytes, None]:
            call_times_s.append(loop.time())
            if len(call_times_s) == 1:
                yield LISTING_LINE
                for _ in range(4):
                    await asyncio.sleep(2.0)
                    assert loop.time() < until_s()
                    last_sign_s[0] = loop.time()
                    yield b"\n"
                while loop.time() < until_s():
                    await asyncio.sleep(min(0.3, max(0.001, until_s() - loop.time())))
                    yield LISTING_LINE[:30]
                raise StreamEnded("silent")
            yield LISTING_LINE
            second_call.set()
            await asyncio.sleep(1000)

        second_call = asyncio.Event()
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(discovery, "parts", stream_parts)
            follower = discovery.Follower(cast(Any, copy), (examples.HOST, 1), random.Random(seed))
            task = asyncio.create_task(follower.run(anew=True))
            await second_call.wait()
            task.cancel()
        # The watch is not given up while the next empty line is due.
        assert last_sign_s[0] + 2.0 < call_times_s[1]
        assert (
            call_times_s[1] + discovery.ANSWER_S <= last_sign_s[0] + discovery.TOLD_S - discovery.MARGIN_S / 2
        )

    for seed in range(20):
        JumpingLoop().run(test(seed))


def test_a_silent_watch_is_reopened(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against waiting forever on a connection whose peer is unreachable and never sends a reset."""
    monkeypatch.setattr(discovery, "SILENCE_S", 0.05)

    async def test() -> None:
        async with Running(tmp_path, Upstream(silent)) as running:
            await within(running.agent.watches.get())
            await within(running.agent.watches.get())
            assert {line["reason"] for line in running.log.named("watch_ended")} == {"silent"}

    run(test())


def test_an_unanswered_watch_request_has_a_shorter_timeout(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a late reconnect after an outage of discovery: requests sent meanwhile get no answer."""
    monkeypatch.setattr(discovery, "ANSWER_S", 0.05)
    monkeypatch.setattr(discovery, "SILENCE_S", 1000.0)

    async def test() -> None:
        async with Running(tmp_path, Upstream(silent)) as running:
            watch = await within(running.agent.watches.get())
            previous_behaviour = running.agent.behave

            async def answer_partially(message: Message, writer: Writer) -> None:
                # Discovery is back, but this request never gets a complete answer.
                running.agent.behave = previous_behaviour
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")

            async def answer_nothing(_: Message, __: Writer) -> None:
                running.agent.behave = answer_partially

            running.agent.behave = answer_nothing
            watch.transport.abort()
            await within(running.agent.watches.get())
            assert len(running.agent.asked) == 4

    run(test())


def test_invalid_and_long_lines(tmp_path: Path) -> None:
    """A line with thousands of entries arrives in many chunks; unreadable lines are skipped."""

    async def test() -> None:
        async with Running(tmp_path, Upstream(says(answer(200)))) as running:
            watch = await within(running.agent.watches.get())
            tell_bytes(watch, b"{nonsense\n\n\r\n")
            many_members = [examples.member(f"s-{n}", 1000 + n % 50000) for n in range(5000)]
            line = json.dumps(examples.listing(*many_members, revision=50, complete=False)).encode() + b"\n"
            for at in range(0, len(line), 7001):
                tell_bytes(watch, line[at : at + 7001])
            await wait_until(lambda: running.service.copy.directory.revision == 50)
            assert len(running.log.named("odd_list_line")) == 1
            assert running.service.copy.directory.name(4999) == "s-4999"
            assert running.service.copy.directory._told[4999].state is UpstreamState.READY

    run(test())


def test_an_unavailable_agent_is_logged_once(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against the same log line three times a second for as long as discovery is down."""
    monkeypatch.setattr(discovery, "RETRY_S", 0.0)

    async def test() -> None:
        async with Running(tmp_path, Upstream(silent)) as running:
            watch = await within(running.agent.watches.get())
            running.agent.behave = resets
            watch.transport.abort()
            asked_before = len(running.agent.asked)
            await wait_until(lambda: len(running.agent.asked) > asked_before + 5)
            assert 1 <= len(running.log.named("watch_ended")) <= 2

    run(test())


def test_the_known_list_is_used_while_discovery_is_down(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("madderwind.standalone.program.service.DISCOVERY_WAIT_S", 0.02)

    async def answer_nothing(_: Message, __: Writer) -> None:
        pass

    monkeypatch.setattr(Agent, "_watch", lambda self, m, w: answer_nothing(m, w))

    async def test() -> None:
        async with Running(tmp_path, Upstream(says(answer(200)))) as running:
            assert running.log.named("no_word_from_discovery")
            caller = await Caller.connect(running.port)
            assert (await caller.ask()).status == 200
            caller.writer.write(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
            assert (await caller.read()).status == 200

    run(test())


def test_sighup_moves_the_watch_to_a_new_address_at_once(tmp_path: Path) -> None:
    """Guards against a SIGHUP that ends the process, and against one that leaves the old watch open."""

    async def test() -> None:
        upstream = Upstream(says(answer(200)))
        new = Agent()
        async with Running(tmp_path, upstream) as running, new:
            await within(running.agent.watches.get())
            path = tmp_path / "config.json"
            old_port, new_port = running.agent.port, new.port
            path.write_text(path.read_text().replace(f":{old_port}", f":{new_port}"))
            os.kill(os.getpid(), signal.SIGHUP)
            watch = await within(new.watches.get())
            assert await within(running.agent.ended.get())  # the old watch is closed
            draining = examples.member("s-0", upstream.port, phase="Terminating")
            tell(watch, examples.listing(draining, revision=90, complete=False))
            await wait_until(lambda: running.service.copy.directory.revision == 90)
            (read,) = running.log.named("configuration_read")
            assert read == {"discovery": [examples.HOST, new_port], "needs_restart": []}
            assert not running.log.named("watch_ended")

    run(test())


def test_a_new_address_is_watched_at_once_even_where_copies_must_poll(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Changes are due 4 s after SIGHUP, while the first request of a polling copy may be delayed longer."""
    for name in ("TOLD_S", "TOLD_ANEW_S"):
        monkeypatch.setattr(discovery, name, 10_000.0)

    async def test() -> None:
        new = Agent()
        async with Running(tmp_path, Upstream(silent), discovery="on_request") as running, new:
            monkeypatch.setattr(Balancer, "handle", lambda *_: [])  # the policy requests no watch
            path = tmp_path / "config.json"
            path.write_text(path.read_text().replace(f":{running.agent.port}", f":{new.port}"))
            running.service.reload()
            await within(new.watches.get())

    run(test())


def test_a_reload_before_the_start_is_not_lost(tmp_path: Path) -> None:
    """Guards against following forever an address that was replaced before the first watch."""

    async def test() -> None:
        new = Agent()
        async with Running(tmp_path, Upstream(silent)) as running, new:
            path = tmp_path / "config.json"
            early_service = Service(read_configuration(str(path)), running.log)
            path.write_text(path.read_text().replace(f":{running.agent.port}", f":{new.port}"))
            early_service.reload()
            task = asyncio.create_task(early_service.run())
            await within(new.watches.get())
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

    run(test())


def test_an_unreadable_configuration_changes_nothing_and_other_fields_need_a_restart(tmp_path: Path) -> None:
    async def test() -> None:
        upstream = Upstream(says(answer(200)))
        async with Running(tmp_path, upstream) as running:
            path = tmp_path / "config.json"
            valid_text = path.read_text()
            path.write_text(valid_text[:-9])
            running.service.reload()
            assert len(running.log.named("configuration_unreadable")) == 1
            path.write_text(valid_text.replace('"n3"', '"n4"').replace('"memory_mb": 192', '"memory_mb": 64'))
            running.service.reload()
            running.service.reload()
            restart_fields = [e["needs_restart"] for e in running.log.named("configuration_read")]
            assert restart_fields == [["name", "limits"]] * 2
            assert (await (await Caller.connect(running.port)).ask()).status == 200
            assert len(running.agent.asked) == 1  # the watch stayed open

    run(test())


@pytest.mark.parametrize("truncation", ["half a line", "a chunk that ends early", "a whole list that breaks"])
def test_a_truncated_answer_has_no_effect(tmp_path: Path, truncation: str) -> None:
    """It does not make a draining upstream ready, and the watch resumes from the known revision."""

    async def test() -> None:
        upstreams = Upstream(says(answer(200, b"0"))), Upstream(says(answer(200, b"1")))
        async with Running(tmp_path, *upstreams) as running:
            watch = await within(running.agent.watches.get())
            draining = examples.member("s-0", upstreams[0].port, "Terminating")
            tell(watch, examples.listing(draining, revision=50, complete=False))
            await wait_until(lambda: running.service.copy.directory.revision == 50)
            members = [examples.member(f"s-{n}", u.port) for n, u in enumerate(upstreams)]
            listing = examples.listing(
                *members, revision=60, complete=truncation == "a whole list that breaks"
            )
            line = json.dumps(listing).encode() + b"\n"
            if truncation == "a chunk that ends early":
                watch.write(b"%x\r\n%s" % (len(line), line[:-40]))
            else:
                tell_bytes(watch, line[:-40])
            await watch.drain()
            watch.close()
            second_watch = await within(running.agent.watches.get())
            assert running.agent.asked[-1].start.split(" ")[1].endswith("from=50")
            caller = await Caller.connect(running.port)
            for _ in range(5):
                assert (await caller.ask()).body == b"1"
            tell(second_watch, examples.listing(*members, revision=60))  # the same list, complete
            await wait_until(lambda: running.service.copy.directory.revision == 60)
            assert running.service.copy.directory.takes_new(0)
            assert not running.broken

    run(test())
