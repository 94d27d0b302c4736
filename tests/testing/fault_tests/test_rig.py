"""Unit tests of the rig: schedules, scenario files, and the effect of a link's faults on its users."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import AsyncIterator
from pathlib import Path

import pytest

from madderwind.testing.fault_tests.conduct import make_plan
from madderwind.testing.fault_tests.links import Link, Links
from madderwind.testing.fault_tests.plan import take_net
from madderwind.testing.fault_tests.scenario import (
    LinkFault,
    Load,
    LoadFault,
    MessageFault,
    Scenario,
    Selection,
    read_scenario,
)
from madderwind.testing.fault_tests.schedule import arrivals, draw
from madderwind.testing.simulation.experiment import ExperimentError
from tests.standins import Upstream, answer, read_message, run, says, within

SILENT_LINKS = LinkFault(kind="silent", at_s=(1.0, 5.0), for_s=(1.0, 2.0), times=3, every_s=(1.0, 2.0))
LOST_MESSAGES = MessageFault(at_s=1, for_s=1, loss=1, links=0.5, senders=Selection(part=0.5))


def test_schedule_depends_on_the_seed_alone() -> None:
    scenario = Scenario(name="s", question="?", copies=8, faults=(SILENT_LINKS, LOST_MESSAGES))
    assert draw(scenario, 3).digest() == draw(scenario, 3).digest() != draw(scenario, 4).digest()
    alone = draw(Scenario(name="s", question="?", copies=8, faults=(SILENT_LINKS,)), 3)
    assert [t for t in draw(scenario, 3).turns if t.fault == 0] == list(alone.turns)
    assert len(alone.turns) == 3 and all(
        a.end_ms < b.begin_ms for a, b in zip(alone.turns, alone.turns[1:], strict=False)
    )
    pairs = (
        draw(scenario, 3).turns[-1].pairs
        if draw(scenario, 3).turns[-1].fault
        else draw(scenario, 3).turns[0].pairs
    )
    assert 4 < len(pairs) < 4 * 7


def test_arrivals_are_an_open_loop_at_the_configured_rate() -> None:
    surge = LoadFault(at_s=20, for_s=20, factor=3.0)
    load = Load(per_s=50.0, uneven=4.0)
    scenario = Scenario(name="s", question="?", copies=4, faults=(surge,), for_s=60.0, load=load)
    found = arrivals(scenario, draw(scenario, 1))
    assert found == arrivals(scenario, draw(scenario, 1))
    in_surge = sum(20_000 <= a.at_ms < 40_000 for a in found)
    assert in_surge == pytest.approx(3000, rel=0.1)
    assert sum(0 <= a.at_ms < 20_000 for a in found) == pytest.approx(1000, rel=0.15)
    per_copy = [sum(a.copy == c for a in found) for c in range(4)]
    assert per_copy[3] / per_copy[0] == pytest.approx(4, rel=0.25)


@pytest.mark.parametrize(
    ("text", "said"),
    [
        ("copies: 3", "name"),
        ("{name: s, question: q, copise: 3}", "copise"),
        ("{name: s, question: q, faults: [{what: links, kind: silent, at_s: 1, loss: 1}]}", "loss"),
        (
            "{name: s, question: q, faults: [{what: links, kind: silent, at_s: 1, upstreams: {zone: c}}]}",
            "zone 'c'",
        ),
        (
            "{name: s, question: q, faults: [{what: copies, kind: kill, at_s: 1, copies: {numbers: [3]}}]}",
            "number 3",
        ),
        ("{name: s, question: q, figures: [{name: f, figure: served, fault: gone}]}", "gone"),
        ("{name: s, question: q, faults: [{what: words, at_s: [1, 2, 3]}]}", "at_s"),
        ("{name: s, question: q, vary: {copies: [300]}}", "copies"),
        ("[", "line 1"),
    ],
)
def test_invalid_drill_file_gives_a_one_line_error(tmp_path: Path, text: str, said: str) -> None:
    path = tmp_path / "drill.yaml"
    path.write_text(text)
    with pytest.raises(ExperimentError) as raised:
        read_scenario(path)
    assert str(path) in str(raised.value) and said in str(raised.value) and "\n" not in str(raised.value)


@contextlib.asynccontextmanager
async def _one_link(folder: Path) -> AsyncIterator[tuple[Links, Link, Upstream]]:
    """A relay between a copy and one stand-in upstream."""
    net, lock = take_net(random.Random())
    part = Links(make_plan(Scenario(name="s", question="?", copies=1), 1, net, folder), 0)
    async with Upstream(says(answer(200, b"yes"))) as stand_in:
        server = await asyncio.start_server(stand_in._serve, *part.plan.upstream(0))
        await part.start()
        yield part, part._links[0, 0], stand_in
        server.close()
        for link in part._links.values():
            link.be("refuse", 0.0)
    lock.close()


REQUEST = b"GET /lookup HTTP/1.1\r\nX-Trace-Id: 2a\r\n\r\n"


@pytest.mark.parametrize("kind", ["", "refuse", "reset", "silent", "vanish", "slow"])
def test_link_faults(tmp_path: Path, kind: str) -> None:
    """The effect of a fault on a new and on an open connection, during the fault and after it."""

    async def play() -> None:
        async with _one_link(tmp_path) as (part, link, stand_in):
            open_connection = await asyncio.open_connection(*part.plan.link(0, 0))
            open_connection[1].write(REQUEST)
            assert (await within(read_message(open_connection[0]))).body == b"yes"
            link.be(kind, 150.0 if kind == "slow" else 0.0)
            loop = asyncio.get_running_loop()
            began_s = loop.time()
            open_connection[1].write(REQUEST)
            if kind in ("", "slow"):
                assert (await within(read_message(open_connection[0]))).body == b"yes"
                assert (loop.time() - began_s >= 0.3) == (
                    kind == "slow"
                )  # the delay applies to each direction
            elif kind in ("refuse", "reset"):
                with pytest.raises(ConnectionResetError):
                    await within(open_connection[0].readexactly(1))
            else:
                with pytest.raises(TimeoutError):
                    await asyncio.wait_for(open_connection[0].readexactly(1), 0.3)
            if kind == "refuse":
                with pytest.raises(ConnectionRefusedError):
                    await asyncio.open_connection(*part.plan.link(0, 0))
            elif kind == "vanish":
                with pytest.raises(TimeoutError):
                    await asyncio.wait_for(asyncio.open_connection(*part.plan.link(0, 0)), 0.4)
            attempts = len(part.seen.sent)
            assert attempts == (1 if kind == "refuse" else 2)
            link.be("", 0.0)
            if kind in ("silent", "vanish"):  # buffered bytes are forwarded
                assert (await within(read_message(open_connection[0]))).body == b"yes"
            reader, writer = await within(asyncio.open_connection(*part.plan.link(0, 0)))
            writer.write(REQUEST)
            assert (await within(read_message(reader))).body == b"yes"
            sent = part.seen.sent[-1]
            assert (sent.copy, sent.upstream, sent.number) == (0, 0, 42) and sent.ended_ms >= sent.at_ms

    run(play())


def test_buffered_bytes_do_not_reach_a_restarted_upstream(tmp_path: Path) -> None:
    """Guards against a restarted upstream that receives at once all bytes buffered while its link was
    silent."""

    async def play() -> None:
        async with _one_link(tmp_path) as (part, link, stand_in):
            link.be("silent", 0.0)
            reader, writer = await asyncio.open_connection(*part.plan.link(0, 0))
            writer.write(REQUEST)
            async with asyncio.timeout(10):
                while not part.seen.sent:
                    await asyncio.sleep(0)
            part.restarts[0] = [link.now_ms]
            link.be("", 0.0)
            with pytest.raises(ConnectionResetError):
                await within(reader.readexactly(1))
            assert not stand_in.asked

    run(play())
