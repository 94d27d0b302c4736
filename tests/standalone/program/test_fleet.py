"""`fleet` in the configuration: what it needs, and that without it nothing is other than before."""

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

BESIDE = Path(__file__).parents[3] / "deploy" / "example-beside-a-client.json"


def written(folder: Path, **changes: Any) -> str:
    path = folder / "config.json"
    path.write_text(json.dumps({**json.loads(BESIDE.read_text()), **changes}))
    return str(path)


def test_a_fleet_is_off_unless_the_file_has_it(tmp_path: Path) -> None:
    assert read_configuration(written(tmp_path)).fleet is None
    assert read_configuration(written(tmp_path, fleet={"name": "app"})).fleet is not None


@pytest.mark.parametrize(
    ("changes", "said"),
    [
        ({"fleet": {"datagrams_per_s": 1}}, "5"),
        ({"fleet": {"speed": 1}}, "speed"),
        ({"fleet": {}, "peers": []}, "needs peers"),
        ({"fleet": 3}, "object"),
        ({"fleet": {"leaving": {"most_withheld": 0}}}, "most_withheld"),
        ({"fleet": {"leaving": {"regions": {"north": ["a", "x"]}}}}, "not among"),
    ],
)
def test_a_fleet_that_cannot_be_read_is_one_plain_line(tmp_path: Path, changes: Any, said: str) -> None:
    with pytest.raises(ConfigurationError, match=said) as caught:
        read_configuration(written(tmp_path, **changes))
    assert "\n" not in str(caught.value)


def test_without_it_each_copy_tells_every_other_as_before(tmp_path: Path) -> None:
    """Byte for byte, and the same events give the same actions: a fleet only carries what is told."""
    sent: dict[str, list[tuple[bytes, Any]]] = {}
    acted: dict[str, list[list[Any]]] = {}

    class Transport:
        def __init__(self, name: str) -> None:
            self._sent = sent.setdefault(name, [])

        def sendto(self, data: bytes, address: Any) -> None:
            self._sent.append((data, address))

    async def play(name: str, **changes: Any) -> None:
        service = Service(read_configuration(written(tmp_path, **changes)), KeptLog())
        peers = service.create_peers()
        assert isinstance(peers, GossipPeers if changes else Peers)
        peers._transport = Transport(name)  # type: ignore[assignment]
        service.copy.peers = peers
        balancer = service.copy._balancer
        acted[name] = [
            balancer.handle(at_ms, event)
            for at_ms, event in (
                (1000.0, api.PeerSpoke(1, bytes([9, 1, 0]))),
                (1100.0, api.RequestArrived(1, 0, 0, 0, 9000.0, None, False, False)),
                (1200.0, api.PeerSpoke(1, bytes([9, 1, 0, 1, 2, 3, 4]))),
            )
        ]
        peers.tell(None, b"abc")

    run(play("before"))
    run(play("fleet", fleet={"name": "app"}))
    assert sent["before"] == [(HEAD.pack(MARK, 0) + b"abc", ("127.0.0.1", 7001))]
    assert acted["before"] == acted["fleet"]


def test_figures_of_words_stand_beside_the_others_only_with_it(tmp_path: Path) -> None:
    async def play() -> None:
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

    run(play())
