"""The `fleet` key of the configuration: its requirements, and unchanged behaviour without it."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest

from madderwind.standalone.gossip.membership import FleetSettings
from madderwind.standalone.policy import api
from madderwind.standalone.program.configuration import ConfigurationError, read_configuration
from madderwind.standalone.program.service import Service
from madderwind.standalone.routing.gossip_peers import GossipPeers
from madderwind.standalone.routing.peers import HEAD, MARK, Peers
from tests import examples
from tests.standalone.program.harness import KeptLog, Running
from tests.standins import Caller, Upstream, answer, run, says, within

EXAMPLE = Path(__file__).parents[3] / "deploy" / "example-beside-a-client.json"


def write_configuration(folder: Path, **changes: Any) -> str:
    path = folder / "config.json"
    path.write_text(json.dumps({**json.loads(EXAMPLE.read_text()), **changes}))
    return str(path)


def test_a_fleet_is_disabled_unless_configured(tmp_path: Path) -> None:
    assert read_configuration(write_configuration(tmp_path)).fleet is None
    assert read_configuration(write_configuration(tmp_path, fleet={"name": "app"})).fleet is not None


@pytest.mark.parametrize(
    ("changes", "message"),
    [
        ({"fleet": {"datagrams_per_s": 1}}, "5"),
        ({"fleet": {"speed": 1}}, "speed"),
        ({"fleet": {}, "peers": []}, "needs peers"),
        ({"fleet": 3}, "object"),
        ({"fleet": {"leaving": {"most_withheld": 0}}}, "most_withheld"),
        ({"fleet": {"leaving": {"regions": {"north": ["a", "x"]}}}}, "not among"),
    ],
)
def test_an_invalid_fleet_is_reported_in_one_line(tmp_path: Path, changes: Any, message: str) -> None:
    with pytest.raises(ConfigurationError, match=message) as error:
        read_configuration(write_configuration(tmp_path, **changes))
    assert "\n" not in str(error.value)


def test_without_a_fleet_messages_and_actions_are_unchanged(tmp_path: Path) -> None:
    """Without a fleet the messages are the same byte for byte, and with one the same events give the same
    actions: a fleet only changes how messages are transported."""
    sent: dict[str, list[tuple[bytes, Any]]] = {}
    actions: dict[str, list[list[Any]]] = {}

    class Transport:
        def __init__(self, name: str) -> None:
            self._sent = sent.setdefault(name, [])

        def sendto(self, data: bytes, address: Any) -> None:
            self._sent.append((data, address))

    async def run_service(name: str, **changes: Any) -> None:
        service = Service(read_configuration(write_configuration(tmp_path, **changes)), KeptLog())
        peers = service.create_peers()
        assert isinstance(peers, GossipPeers if changes else Peers)
        peers._transport = Transport(name)  # type: ignore[assignment]
        service.copy.peers = peers
        balancer = service.copy._balancer
        actions[name] = [
            balancer.handle(at_ms, event)
            for at_ms, event in (
                (1000.0, api.PeerSpoke(1, bytes([9, 1, 0]))),
                (1100.0, api.RequestArrived(1, 0, 0, 0, 9000.0, None, False, False)),
                (1200.0, api.PeerSpoke(1, bytes([9, 1, 0, 1, 2, 3, 4]))),
            )
        ]
        peers.tell(None, b"abc")

    run(run_service("before"))
    run(run_service("fleet", fleet={"name": "app"}))
    assert sent["before"] == [(HEAD.pack(MARK, 0) + b"abc", ("127.0.0.1", 7001))]
    assert actions["before"] == actions["fleet"]


def test_gossip_metrics_are_present_only_with_a_fleet(tmp_path: Path) -> None:
    async def run_service() -> None:
        async with Running(tmp_path, Upstream(says(answer()))) as running:
            assert "svc_words" not in await running.call("METRICS")
            copy = running.service.copy
            address = (examples.HOST, 0)
            copy.peers = GossipPeers(
                (address, (examples.HOST, 9)),
                0,
                copy.heard,
                copy.log,
                copy.log_sparingly,
                copy.clock,
                FleetSettings(),
                1,
            )
            await copy.peers.start()
            copy.peers.tell(None, b"abc" + bytes(8))
            assert await running.figure("fellows_alive") == 1
            assert await running.figure("words_sent_total") >= 1
            copy.peers.datagram_received(b"noise", (examples.HOST, 9))
            copy.peers.datagram_received(b"noise", (examples.HOST, 10))
            assert await running.figure('words_passed_over_total{reason="short"}') == 1
            assert await running.figure('words_passed_over_total{reason="strangers"}') == 1
            copy.peers.close()
            assert copy.peers.closed
            caller = await Caller.connect(running.port)
            assert (await within(caller.ask())).status == 200
            caller.close()

    run(run_service())
