"""A move to another deployment layout: its settings, and the first seconds after the switch."""

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

OK_ANSWER = answer(200, b"yes")
NEVER_RAN_ANSWER = answer(503, b"", X_Never_Ran="1")


def write_moved_configuration(folder: Path, peers: Any, **changes: Any) -> None:
    """The new layout: a copy beside each of three client processes, which send one another their rates."""
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


def write_example_configuration(folder: Path) -> Path:
    path = folder / "config.json"
    path.write_bytes(examples.configuration(examples.listing(examples.member("s-0", 5000)), 8500))
    return path


def test_without_the_new_settings_the_defaults_apply(tmp_path: Path) -> None:
    configuration = read_configuration(str(write_example_configuration(tmp_path)))
    settings = configuration.host.settings
    assert not settings.may_tell and not settings.warm_keys and configuration.peers == ()


def test_the_new_settings_are_read(tmp_path: Path) -> None:
    path = write_example_configuration(tmp_path)
    write_moved_configuration(tmp_path, peers_of([7000, 7001, 7002]))
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
def test_invalid_settings_are_reported_in_one_line(
    tmp_path: Path, peers: Any, changes: dict[str, Any]
) -> None:
    path = write_example_configuration(tmp_path)
    write_moved_configuration(tmp_path, peers, **changes)
    with pytest.raises(ConfigurationError) as error:
        read_configuration(str(path))
    assert "\n" not in str(error.value)


def test_the_first_seconds_after_the_switch(tmp_path: Path) -> None:
    """One upstream is failing, one has just started and one is slow.

    The first two states remain valid after the move. The slowness does not, because it is a ratio to the
    usual value in the old layout. No request is lost, and none goes to the failing upstream.
    """

    async def test() -> None:
        failing, starting, healthy = (
            Upstream(says(NEVER_RAN_ANSWER)),
            Upstream(says(OK_ANSWER)),
            Upstream(says(OK_ANSWER)),
        )
        async with Running(tmp_path, failing, starting, healthy) as running:
            started_ms = time.time() * 1000 - 2000
            members = [examples.member(f"s-{n}", u.port) for n, u in enumerate((failing, starting, healthy))]
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
            failing_requests = len(failing.asked)

            ports = free_ports(3)
            write_moved_configuration(tmp_path, peers_of(ports))
            old_service, task = running.service, running.task
            await running.upgrade()
            assert running.log.named("taken_over")[-1]["same_shape"] is False
            balancer = running.service.copy._balancer
            upstreams_after = {u.entry.mark: u for u in balancer._fleet.upstreams.values()}
            upstreams_before = {u.entry.mark: u for u in old_service.copy._balancer._fleet.upstreams.values()}
            marks = [u.entry.mark for u in fleet.values()]
            assert (
                upstreams_after[marks[0]].failures >= 3
                and upstreams_after[marks[0]].ejected_until_ms > time.time() * 1000 + 30_000
            )
            assert upstreams_after[marks[1]].started_ms == upstreams_before[marks[1]].started_ms >= started_ms
            assert upstreams_after[marks[2]].slowness == 1.0
            assert balancer._admission.room == 8.0
            assert balancer._quota.tokens == old_service.copy._balancer._quota.tokens <= 250

            old_service.end()
            second_caller = await Caller.connect(running.port)
            # Unsafe requests are not hedged; on a slow machine a hedge would have one upstream less.
            for _ in range(30):
                assert (await second_caller.ask("POST /charge", b"1")).status == 200
            assert len(failing.asked) == failing_requests
            await within(task)
            assert (await second_caller.ask()).status == 200
            assert not running.broken

    run(test())


def test_an_upgrade_in_the_same_layout_keeps_the_learned_state(tmp_path: Path) -> None:
    async def test() -> None:
        async with Running(tmp_path, Upstream(says(OK_ANSWER)), Upstream(says(OK_ANSWER))) as running:
            balancer = running.service.copy._balancer
            balancer._fleet.upstreams[1].slowness, balancer._admission.room = 3.0, 5.5
            await running.upgrade()
            assert running.log.named("taken_over")[-1]["same_shape"] is True
            balancer = running.service.copy._balancer
            assert balancer._fleet.upstreams[1].slowness == 3.0 and balancer._admission.room == 5.5

    run(test())


class FakePeer(asyncio.DatagramProtocol):
    """A stand-in for another copy."""

    def __init__(self) -> None:
        self.received: asyncio.Queue[bytes] = asyncio.Queue()

    def datagram_received(self, data: bytes, _: Any) -> None:
        self.received.put_nowait(data)


def test_a_copy_sends_its_rate_and_uses_the_received_rates(tmp_path: Path) -> None:
    async def test() -> None:
        async with Running(tmp_path, Upstream(says(OK_ANSWER))) as running:
            ports = free_ports(3)
            write_moved_configuration(tmp_path, peers_of(ports))
            loop = asyncio.get_running_loop()
            transport, peer = await loop.create_datagram_endpoint(FakePeer, (examples.HOST, ports[2]))
            old_service = await running.upgrade()
            assert old_service.copy.peers is None
            caller = await Caller.connect(running.port)
            assert (await caller.ask()).status == 200
            message = await within(peer.received.get())
            while message[HEAD.size :] == b"\0\0\0":  # sent before the first request
                message = await within(peer.received.get())
            assert message[: HEAD.size] == HEAD.pack(MARK, 0) and len(message) == HEAD.size + 3
            traffic = running.service.copy._balancer._traffic
            transport.sendto(HEAD.pack(MARK, 2) + (100_000).to_bytes(3, "little"), (examples.HOST, ports[0]))
            while not traffic._heard:
                await asyncio.sleep(0.001)
            assert traffic._heard[2][0] == 1000.0 and traffic.part(time.time() * 1000) < 0.05
            new = await running.upgrade()  # both processes are one copy, and only the successor sends
            assert new.copy.peers is not None
            while not new.copy.peers.closed:
                await asyncio.sleep(0.001)
            assert running.service.copy.peers is not None and not running.service.copy.peers.closed
            transport.close()
            assert not running.log.named("action_not_carried_out") and not running.broken

    run(test())


def test_without_configured_peers_nothing_is_sent(tmp_path: Path) -> None:
    async def test() -> None:
        async with Running(tmp_path, Upstream(says(OK_ANSWER)), MayTell=True) as running:
            assert running.log.named("no_peers_named") == [{}]
            assert not running.service.copy.settings.may_tell

    run(test())


def test_upstream_marks_do_not_depend_on_the_order_of_the_listing() -> None:
    from madderwind.standalone.protocol.listing import read_listing
    from madderwind.standalone.routing.directory import Directory

    members = [examples.member(f"s-{n}", 5000 + n) for n in range(4)]
    marks_by_order = []
    for order in (members, members[::-1]):
        directory = Directory((), ())
        event = directory.take(read_listing(json.dumps(examples.listing(*order)).encode()))
        marks_by_order.append({directory.name(e.upstream): e.mark for e in event.entries})
        assert isinstance(event.entries[0], api.UpstreamEntry)
    assert marks_by_order[0] == marks_by_order[1] and len(set(marks_by_order[0].values())) == 4
