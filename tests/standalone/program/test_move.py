"""A move to another shape of deployment: the settings that come with it, and the first seconds after."""

from __future__ import annotations

import asyncio
import json
import time
from pathlib import Path
from typing import Any

import pytest

from madderwind.standalone.policy import api
from madderwind.standalone.program.configuration import ConfigurationError, read_configuration
from madderwind.standalone.routing.peers import HEAD, MARK
from tests import examples
from tests.standalone.program.harness import Running
from tests.standalone.program.test_reload import rewrite
from tests.standalone.routing.test_peers import free_ports
from tests.standins import Caller, Upstream, answer, run, says, tell, within

YES = answer(200, b"yes")
NEVER_RAN = answer(503, b"", X_Never_Ran="1")


def named(folder: Path, peers: Any, **changes: Any) -> None:
    """The new shape: a copy beside each of three client processes, which tell one another their rates."""
    rewrite(
        folder,
        **{"NInstances": 3, "Ceilings__SecondCopies": False, "Ceilings__MayTell": True}
        | {"FamilyInfo": {"WarmKeys": True}}
        | changes,
    )
    path = folder / "config.json"
    path.write_text(json.dumps({**json.loads(path.read_text()), "peers": peers}))


def peers_of(ports: list[int]) -> list[str]:
    return [f"{examples.HOST}:{port}" for port in ports]


def example(folder: Path) -> Path:
    path = folder / "config.json"
    path.write_bytes(examples.configuration(examples.listing(examples.member("s-0", 5000)), 8500))
    return path


def test_without_the_new_settings_all_is_as_it_was(tmp_path: Path) -> None:
    configuration = read_configuration(str(example(tmp_path)))
    settings = configuration.host.settings
    assert not settings.may_tell and not settings.warm_keys and configuration.peers == ()


def test_the_new_settings_are_read(tmp_path: Path) -> None:
    path = example(tmp_path)
    named(tmp_path, peers_of([7000, 7001, 7002]))
    configuration = read_configuration(str(path))
    settings = configuration.host.settings
    assert settings.may_tell and settings.warm_keys and not settings.second_copies
    assert configuration.peers[2] == (examples.HOST, 7002)


@pytest.mark.parametrize(
    "peers, changes",
    [
        (peers_of([7000, 7001]), {}),
        (peers_of([7000, 7001, 7001]), {}),
        (["nowhere", *peers_of([7000, 7001])], {}),
        ("127.0.0.1:7000", {}),
        (peers_of([7000, 7001, 7002]), {"Me": 3}),
        (peers_of([7000, 7001, 7002]), {"Ceilings__MayTell": 1}),
        (peers_of([7000, 7001, 7002]), {"FamilyInfo": {"WarmKeys": "often"}}),
        (peers_of([7000, 7001, 7002]), {"Profiles__0__Importance": "much"}),
    ],
)
def test_what_cannot_be_right_is_one_plain_line(tmp_path: Path, peers: Any, changes: dict[str, Any]) -> None:
    path = example(tmp_path)
    named(tmp_path, peers, **changes)
    with pytest.raises(ConfigurationError) as told:
        read_configuration(str(path))
    assert "\n" not in str(told.value)


def test_the_first_seconds_after_the_switch(tmp_path: Path) -> None:
    """One upstream is dead, one has just started, one is slow: the first two mean the same after the move,
    the third is a ratio to the usual of the shape that is left. No request is lost, no dead one is tried."""

    async def test() -> None:
        dead, cold, good = Upstream(says(NEVER_RAN)), Upstream(says(YES)), Upstream(says(YES))
        async with Running(tmp_path, dead, cold, good) as running:
            started_ms = time.time() * 1000 - 2000
            members = [examples.member(f"s-{n}", u.port) for n, u in enumerate((dead, cold, good))]
            members[1]["up_since_ms"] = started_ms
            watch = await within(running.agent.watches.get())
            tell(watch, examples.listing(*members, revision=42))
            fleet = running.service.copy._balancer._fleet.upstreams
            while fleet[1].started_ms < started_ms:
                await asyncio.sleep(0.001)
            caller = await Caller.connect(running.port)
            while fleet[0].failures < 3:
                assert (await caller.ask()).status in (200, 503)
                fleet[0].ejected_until_ms = min(fleet[0].ejected_until_ms, time.time() * 1000)
            fleet[0].ejected_until_ms = time.time() * 1000 + 60_000
            fleet[2].slowness = 7.0
            running.service.copy._balancer._admission.room = 3.5
            tried = len(dead.asked)

            ports = free_ports(3)
            named(tmp_path, peers_of(ports))
            old, task = running.service, running.task
            await running.upgrade()
            assert running.log.named("taken_over")[-1]["same_shape"] is False
            balancer = running.service.copy._balancer
            now = {u.entry.mark: u for u in balancer._fleet.upstreams.values()}
            then = {u.entry.mark: u for u in old.copy._balancer._fleet.upstreams.values()}
            marks = [u.entry.mark for u in fleet.values()]
            assert (
                now[marks[0]].failures >= 3 and now[marks[0]].ejected_until_ms > time.time() * 1000 + 30_000
            )
            assert now[marks[1]].started_ms == then[marks[1]].started_ms >= started_ms
            assert now[marks[2]].slowness == 1.0
            assert balancer._admission.room == 8.0
            assert balancer._quota.tokens == old.copy._balancer._quota.tokens <= 250

            old.end()
            other = await Caller.connect(running.port)
            for _ in range(
                30
            ):  # unsafe ones: a second copy, on a machine that is late, has one upstream less
                assert (await other.ask("POST /charge", b"1")).status == 200
            assert len(dead.asked) == tried
            await within(task)
            assert (await other.ask()).status == 200
            assert not running.broken

    run(test())


def test_a_plain_upgrade_keeps_all_that_was_learned(tmp_path: Path) -> None:
    async def test() -> None:
        async with Running(tmp_path, Upstream(says(YES)), Upstream(says(YES))) as running:
            balancer = running.service.copy._balancer
            balancer._fleet.upstreams[1].slowness, balancer._admission.room = 3.0, 5.5
            await running.upgrade()
            assert running.log.named("taken_over")[-1]["same_shape"] is True
            balancer = running.service.copy._balancer
            assert balancer._fleet.upstreams[1].slowness == 3.0 and balancer._admission.room == 5.5

    run(test())


class Peer(asyncio.DatagramProtocol):
    """A stand-in for another copy."""

    def __init__(self) -> None:
        self.heard: asyncio.Queue[bytes] = asyncio.Queue()

    def datagram_received(self, data: bytes, _: Any) -> None:
        self.heard.put_nowait(data)


def test_a_copy_tells_its_rate_and_acts_on_what_it_hears(tmp_path: Path) -> None:
    async def test() -> None:
        async with Running(tmp_path, Upstream(says(YES))) as running:
            ports = free_ports(3)
            named(tmp_path, peers_of(ports))
            loop = asyncio.get_running_loop()
            transport, peer = await loop.create_datagram_endpoint(Peer, (examples.HOST, ports[2]))
            old = await running.upgrade()
            assert old.copy.peers is None
            caller = await Caller.connect(running.port)
            assert (await caller.ask()).status == 200
            word = await within(peer.heard.get())
            while word[HEAD.size :] == b"\0\0\0":  # told before the first request
                word = await within(peer.heard.get())
            assert word[: HEAD.size] == HEAD.pack(MARK, 0) and len(word) == HEAD.size + 3
            traffic = running.service.copy._balancer._traffic
            transport.sendto(HEAD.pack(MARK, 2) + (100_000).to_bytes(3, "little"), (examples.HOST, ports[0]))
            while not traffic._heard:
                await asyncio.sleep(0.001)
            assert traffic._heard[2][0] == 1000.0 and traffic.part(time.time() * 1000) < 0.05
            new = await running.upgrade()  # two processes are one copy: only the successor speaks on
            assert new.copy.peers is not None
            while not new.copy.peers.closed:
                await asyncio.sleep(0.001)
            assert running.service.copy.peers is not None and not running.service.copy.peers.closed
            transport.close()
            assert not running.log.named("action_not_carried_out") and not running.broken

    run(test())


def test_where_no_peers_are_named_nothing_is_told(tmp_path: Path) -> None:
    async def test() -> None:
        async with Running(tmp_path, Upstream(says(YES)), MayTell=True) as running:
            assert running.log.named("no_peers_named") == [{}]
            assert not running.service.copy.settings.may_tell

    run(test())


def test_marks_are_alike_at_copies_that_hear_of_upstreams_in_another_order() -> None:
    from madderwind.standalone.protocol.listing import read_listing
    from madderwind.standalone.routing.directory import Directory

    lines = [examples.member(f"s-{n}", 5000 + n) for n in range(4)]
    seen = []
    for order in (lines, lines[::-1]):
        directory = Directory((), ())
        event = directory.take(read_listing(json.dumps(examples.listing(*order)).encode()))
        seen.append({directory.name(e.upstream): e.mark for e in event.entries})
        assert isinstance(event.entries[0], api.UpstreamEntry)
    assert seen[0] == seen[1] and len(set(seen[0].values())) == 4
