"""Following discovery on real sockets."""

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

LIST = json.dumps(examples.listing(revision=7)).encode() + b"\n"


class Jumping(asyncio.SelectorEventLoop):
    """A loop whose clock is where the next timer is: nothing is waited for, and none of it is luck."""

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


class FollowedCopy:
    """What a follower needs of a copy."""

    def __init__(self, must_ask: bool) -> None:
        self.settings = SimpleNamespace(must_ask=must_ask)
        self.directory = SimpleNamespace(revision=0)
        self.watch_asked_for = asyncio.Event()

    def log(self, *_: object, **__: object) -> None: ...

    def happened(self, _: object) -> None: ...

    def listed(self, _: object) -> None: ...


async def until(holds: Callable[[], bool]) -> None:
    """Wait until a condition holds."""
    async with asyncio.timeout(10):
        while not holds():
            await asyncio.sleep(0)


def test_an_upstream_that_moves_is_asked_at_its_new_address(tmp_path: Path) -> None:
    async def test() -> None:
        old = Upstream(says(answer(200, b"old")))
        async with Running(tmp_path, old) as running, Upstream(says(answer(200, b"new"))) as new:
            watch = await within(running.agent.watches.get())
            caller = await Caller.connect(running.port)
            assert (await caller.ask()).body == b"old"
            tell(watch, examples.listing(examples.member("s-0", new.port), revision=42, complete=False))
            await until(lambda: running.service.copy.directory.revision == 42)
            assert (await caller.ask()).body == b"new"

    run(test())


@pytest.mark.parametrize("gone", ["Terminating", "Gone", None])
def test_nothing_new_goes_to_an_upstream_that_drains_or_is_gone(tmp_path: Path, gone: str | None) -> None:
    """Guards against sends past the drain grace; None: it is missing from a whole list."""

    async def test() -> None:
        upstreams = [Upstream(says(answer(200))) for _ in range(2)]
        async with Running(tmp_path, *upstreams) as running:
            watch = await within(running.agent.watches.get())
            kept = examples.member("s-1", upstreams[1].port)
            if gone is None:
                tell(watch, examples.listing(kept, revision=42))
            else:
                left = examples.member("s-0", upstreams[0].port, phase=gone)
                tell(watch, examples.listing(left, revision=42, complete=False))
            await until(lambda: running.service.copy.directory.revision == 42)
            assert not running.service.copy.directory.takes_new(0)
            caller = await Caller.connect(running.port)
            for _ in range(8):
                assert (await caller.ask()).status == 200
            assert not upstreams[0].asked
            assert len(upstreams[1].asked) == 8

    run(test())


def test_a_drain_notice_while_the_connection_comes_up(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a first byte written to an upstream that was told of as draining in the meantime."""

    async def test() -> None:
        upstream = Upstream(says(answer(200)))
        async with Running(tmp_path, upstream) as running:
            watch = await within(running.agent.watches.get())
            connector = running.service._upstreams._connector
            connect = connector.connect

            async def held(*args: object, **kwargs: object) -> object:
                connection = await connect(*args, **kwargs)  # type: ignore[arg-type]
                drains = examples.member("s-0", upstream.port, phase="Terminating")
                tell(watch, examples.listing(drains, revision=42, complete=False))
                await until(lambda: running.service.copy.directory.revision == 42)
                return connection

            monkeypatch.setattr(connector, "connect", held)
            got = await (await Caller.connect(running.port)).ask("POST /charge", b"1", wait_ms=300)
            assert got.status == 503
            assert not upstream.asked
            assert running.log.named("answered")[0]["attempts"][0][1] == "not_sent"

    run(test())


def test_a_watch_that_breaks_is_opened_again_from_the_revision_held(tmp_path: Path) -> None:
    async def test() -> None:
        async with Running(tmp_path, Upstream(silent)) as running:
            watch = await within(running.agent.watches.get())
            tell(watch, examples.listing(revision=77, complete=False))
            await until(lambda: running.service.copy.directory.revision == 77)
            watch.transport.abort()
            await within(running.agent.watches.get())
            assert [m.start for m in running.agent.asked][1:] == ["GET /v1/servers?watch=1&from=77 HTTP/1.1"]

    run(test())


def test_where_changes_are_pushed_the_watch_is_open_again_at_once(tmp_path: Path) -> None:
    async def test() -> None:
        upstream = Upstream(silent)
        async with Running(tmp_path, upstream) as running:
            for revision in range(50, 54):
                watch = await within(running.agent.watches.get())
                drains = examples.member("s-0", upstream.port, phase="Terminating")
                tell(watch, examples.listing(drains, revision=revision, complete=False))
                await until(lambda: running.service.copy.directory.revision >= revision)  # noqa: B023
                watch.transport.abort()
            assert not running.service.copy.directory.takes_new(0)

    run(test())


def test_where_copies_must_ask_the_module_says_when(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against copies that all call discovery at once and again: it turned them away on cuenca-sur."""
    monkeypatch.setattr(discovery, "TOLD_S", 10_000.0)

    async def test() -> None:
        async with Running(tmp_path, Upstream(silent), discovery="on_request") as running:
            copy = running.service.copy
            assert not running.agent.asked
            copy.watch_asked_for.set()  # as the module does, after a wait by chance
            watch = await within(running.agent.watches.get())
            await until(lambda: copy._balancer._subscription.following)
            watch.transport.abort()
            await until(lambda: not copy._balancer._subscription.following)
            assert len(running.agent.asked) == 1
            copy.watch_asked_for.set()
            await within(running.agent.watches.get())

    run(test())


def test_where_copies_must_ask_the_host_asks_before_changes_count_as_told(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against the module's own waits of up to twenty seconds, in which drains would be missed."""
    monkeypatch.setattr(discovery, "MOST_UNASKED", 0.003)
    monkeypatch.setattr(Balancer, "_ask_after", lambda *_: None)

    async def test() -> None:
        async with Running(tmp_path, Upstream(silent), discovery="on_request") as running:
            for _ in range(3):
                (await within(running.agent.watches.get())).transport.abort()

    run(test())


@pytest.mark.parametrize("must_ask", [False, True])
@pytest.mark.parametrize(
    "fails", ["refused", "reset", "never answered", "half a head", "half a list", "blanks"]
)
@pytest.mark.parametrize("anew", [False, True])
def test_whatever_became_of_a_call_the_next_is_answered_in_time(
    must_ask: bool, fails: str, anew: bool
) -> None:
    """Guards against waits that are each short enough and too long in all: a change that discovery has right
    after a call began which then fails must be known 6 s after that, 4 s where SIGHUP named the address. On a
    clock that jumps to what comes next, with a bare loop's margin left for the loop and the answer."""
    within_s = discovery.TOLD_ANEW_S if anew else discovery.TOLD_S

    async def test(seed: int) -> None:
        loop = asyncio.get_running_loop()
        copy = FollowedCopy(must_ask)
        calls: list[float] = []

        async def parts(_: object, __: str, until_s: Callable[[], float]) -> AsyncGenerator[bytes, None]:
            calls.append(loop.time())
            if len(calls) > 1:
                yield LIST
                await asyncio.sleep(1000)
            if fails == "refused":
                raise StreamEnded("refused")
            if fails == "reset":
                await asyncio.sleep(0.9 * discovery.ANSWER_S)
                raise StreamEnded("reset")
            for _ in range(100):
                if fails in ("half a list", "blanks"):
                    yield LIST[:30] if fails == "half a list" else b"   "
                await asyncio.sleep(min(1.0, max(0.001, until_s() - loop.time())))
                if loop.time() >= until_s():
                    raise StreamEnded("silent")

        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(discovery, "parts", parts)
            follower = discovery.Follower(cast(Any, copy), (examples.HOST, 1), random.Random(seed))
            task = asyncio.create_task(follower.run(anew=anew))
            await follower.heard.wait()
            task.cancel()
        assert len(calls) == 2
        assert calls[1] + discovery.ANSWER_S <= calls[0] + within_s - discovery.MARGIN_S / 2

    for seed in range(20):
        Jumping().run(test(seed))


@pytest.mark.parametrize("must_ask", [False, True])
def test_what_a_silent_watch_misses_is_known_in_time(must_ask: bool) -> None:
    """As above, from the last sign of life: empty lines count, the beginning of a list that never ends does
    not."""

    async def test(seed: int) -> None:
        loop = asyncio.get_running_loop()
        copy = FollowedCopy(must_ask)
        calls: list[float] = []
        alive_s = [0.0]

        async def parts(_: object, __: str, until_s: Callable[[], float]) -> AsyncGenerator[bytes, None]:
            calls.append(loop.time())
            if len(calls) == 1:
                yield LIST
                for _ in range(4):
                    await asyncio.sleep(2.0)
                    assert loop.time() < until_s()
                    alive_s[0] = loop.time()
                    yield b"\n"
                while loop.time() < until_s():
                    await asyncio.sleep(min(0.3, max(0.001, until_s() - loop.time())))
                    yield LIST[:30]
                raise StreamEnded("silent")
            yield LIST
            called.set()
            await asyncio.sleep(1000)

        called = asyncio.Event()
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(discovery, "parts", parts)
            follower = discovery.Follower(cast(Any, copy), (examples.HOST, 1), random.Random(seed))
            task = asyncio.create_task(follower.run(anew=True))
            await called.wait()
            task.cancel()
        assert alive_s[0] + 2.0 < calls[1]  # not called dead within the wait for the next empty line
        assert calls[1] + discovery.ANSWER_S <= alive_s[0] + discovery.TOLD_S - discovery.MARGIN_S / 2

    for seed in range(20):
        Jumping().run(test(seed))


def test_a_watch_that_falls_silent_is_opened_again(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against waiting for good on a connection whose other end is cut off: no reset ever comes."""
    monkeypatch.setattr(discovery, "SILENCE_S", 0.05)

    async def test() -> None:
        async with Running(tmp_path, Upstream(silent)) as running:
            await within(running.agent.watches.get())
            await within(running.agent.watches.get())
            assert {line["reason"] for line in running.log.named("watch_ended")} == {"silent"}

    run(test())


def test_a_watch_that_is_not_answered_is_given_up_sooner(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against hearing late that discovery is back: what was asked meanwhile is never answered."""
    monkeypatch.setattr(discovery, "ANSWER_S", 0.05)
    monkeypatch.setattr(discovery, "SILENCE_S", 1000.0)

    async def test() -> None:
        async with Running(tmp_path, Upstream(silent)) as running:
            watch = await within(running.agent.watches.get())
            told = running.agent.behave

            async def half(message: Message, writer: Writer) -> None:
                running.agent.behave = told  # discovery is back, but this one is never answered whole
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")

            async def mute(_: Message, __: Writer) -> None:
                running.agent.behave = half

            running.agent.behave = mute
            watch.transport.abort()
            await within(running.agent.watches.get())
            assert len(running.agent.asked) == 4

    run(test())


def test_odd_and_long_lines(tmp_path: Path) -> None:
    """A line of thousands of entries comes in many pieces; what cannot be read is passed over."""

    async def test() -> None:
        async with Running(tmp_path, Upstream(says(answer(200)))) as running:
            watch = await within(running.agent.watches.get())
            tell_bytes(watch, b"{nonsense\n\n\r\n")
            many = [examples.member(f"s-{n}", 1000 + n % 50000) for n in range(5000)]
            line = json.dumps(examples.listing(*many, revision=50, complete=False)).encode() + b"\n"
            for at in range(0, len(line), 7001):
                tell_bytes(watch, line[at : at + 7001])
            await until(lambda: running.service.copy.directory.revision == 50)
            assert len(running.log.named("odd_list_line")) == 1
            assert running.service.copy.directory.name(4999) == "s-4999"
            assert running.service.copy.directory._told[4999].state is UpstreamState.READY

    run(test())


def test_an_agent_that_is_down_is_said_once(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a log full of one line, three times a second, for as long as discovery is down."""
    monkeypatch.setattr(discovery, "RETRY_S", 0.0)

    async def test() -> None:
        async with Running(tmp_path, Upstream(silent)) as running:
            watch = await within(running.agent.watches.get())
            running.agent.behave = resets
            watch.transport.abort()
            before = len(running.agent.asked)
            await until(lambda: len(running.agent.asked) > before + 5)
            assert 1 <= len(running.log.named("watch_ended")) <= 2

    run(test())


def test_it_serves_from_what_it_knew_while_discovery_is_down(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("madderwind.standalone.program.service.DISCOVERY_WAIT_S", 0.02)

    async def mute(_: Message, __: Writer) -> None:
        pass

    monkeypatch.setattr(Agent, "_watch", lambda self, m, w: mute(m, w))

    async def test() -> None:
        async with Running(tmp_path, Upstream(says(answer(200)))) as running:
            assert running.log.named("no_word_from_discovery")
            caller = await Caller.connect(running.port)
            assert (await caller.ask()).status == 200
            caller.writer.write(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
            assert (await caller.read()).status == 200

    run(test())


def test_sighup_moves_the_watch_to_a_new_address_at_once(tmp_path: Path) -> None:
    """Guards against a SIGHUP that ends the program, and against one that leaves the old watch open."""

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
            assert await within(running.agent.ended.get())  # and the old one is left
            drains = examples.member("s-0", upstream.port, phase="Terminating")
            tell(watch, examples.listing(drains, revision=90, complete=False))
            await until(lambda: running.service.copy.directory.revision == 90)
            (read,) = running.log.named("configuration_read")
            assert read == {"discovery": [examples.HOST, new_port], "needs_restart": []}
            assert not running.log.named("watch_ended")

    run(test())


def test_the_new_address_is_watched_at_once_also_where_copies_must_ask(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against what counts as told 4 s after SIGHUP, while a first question may wait for longer."""
    for name in ("TOLD_S", "TOLD_ANEW_S"):
        monkeypatch.setattr(discovery, name, 10_000.0)

    async def test() -> None:
        new = Agent()
        async with Running(tmp_path, Upstream(silent), discovery="on_request") as running, new:
            monkeypatch.setattr(Balancer, "handle", lambda *_: [])  # the module asks for nothing
            path = tmp_path / "config.json"
            path.write_text(path.read_text().replace(f":{running.agent.port}", f":{new.port}"))
            running.service.reload()
            await within(new.watches.get())

    run(test())


def test_a_signal_before_the_start_is_not_lost(tmp_path: Path) -> None:
    """Guards against following for good an address that was replaced before the first watch."""

    async def test() -> None:
        new = Agent()
        async with Running(tmp_path, Upstream(silent)) as running, new:
            path = tmp_path / "config.json"
            early = Service(read_configuration(str(path)), running.log)
            path.write_text(path.read_text().replace(f":{running.agent.port}", f":{new.port}"))
            early.reload()
            task = asyncio.create_task(early.run())
            await within(new.watches.get())
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

    run(test())


def test_an_unreadable_configuration_changes_nothing_and_the_rest_needs_a_restart(tmp_path: Path) -> None:
    async def test() -> None:
        upstream = Upstream(says(answer(200)))
        async with Running(tmp_path, upstream) as running:
            path = tmp_path / "config.json"
            sound = path.read_text()
            path.write_text(sound[:-9])
            running.service.reload()
            assert len(running.log.named("configuration_unreadable")) == 1
            path.write_text(sound.replace('"n3"', '"n4"').replace('"memory_mb": 192', '"memory_mb": 64'))
            running.service.reload()
            running.service.reload()
            said = [e["needs_restart"] for e in running.log.named("configuration_read")]
            assert said == [["name", "limits"]] * 2
            assert (await (await Caller.connect(running.port)).ask()).status == 200
            assert len(running.agent.asked) == 1  # the watch was left alone

    run(test())


@pytest.mark.parametrize("cut", ["half a line", "a chunk that ends early", "a whole list that breaks"])
def test_an_answer_that_is_cut_short_says_nothing(tmp_path: Path, cut: str) -> None:
    """It revives nothing that drains, and the watch goes on from the revision that is held."""

    async def test() -> None:
        upstreams = Upstream(says(answer(200, b"0"))), Upstream(says(answer(200, b"1")))
        async with Running(tmp_path, *upstreams) as running:
            watch = await within(running.agent.watches.get())
            drains = examples.member("s-0", upstreams[0].port, "Terminating")
            tell(watch, examples.listing(drains, revision=50, complete=False))
            await until(lambda: running.service.copy.directory.revision == 50)
            members = [examples.member(f"s-{n}", u.port) for n, u in enumerate(upstreams)]
            told = examples.listing(*members, revision=60, complete=cut == "a whole list that breaks")
            line = json.dumps(told).encode() + b"\n"
            if cut == "a chunk that ends early":
                watch.write(b"%x\r\n%s" % (len(line), line[:-40]))
            else:
                tell_bytes(watch, line[:-40])
            await watch.drain()
            watch.close()
            again = await within(running.agent.watches.get())
            assert running.agent.asked[-1].start.split(" ")[1].endswith("from=50")
            caller = await Caller.connect(running.port)
            for _ in range(5):
                assert (await caller.ask()).body == b"1"
            tell(again, examples.listing(*members, revision=60))  # the same, whole
            await until(lambda: running.service.copy.directory.revision == 60)
            assert running.service.copy.directory.takes_new(0)
            assert not running.broken

    run(test())
