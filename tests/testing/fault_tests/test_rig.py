"""The rig's parts, each by itself: schedules, scenario files, and what a relay's link is to who uses it."""

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
    Which,
    read_scenario,
)
from madderwind.testing.fault_tests.schedule import arrivals, draw
from madderwind.testing.simulation.experiment import ExperimentError
from tests.standins import Upstream, answer, read_message, run, says, within

LOST = LinkFault(kind="silent", at_s=(1.0, 5.0), for_s=(1.0, 2.0), times=3, every_s=(1.0, 2.0))
SOME = MessageFault(at_s=1, for_s=1, loss=1, links=0.5, senders=Which(part=0.5))


def test_one_seed_gives_one_schedule() -> None:
    scenario = Scenario(name="s", question="?", copies=8, faults=(LOST, SOME))
    assert draw(scenario, 3).digest() == draw(scenario, 3).digest() != draw(scenario, 4).digest()
    alone = draw(Scenario(name="s", question="?", copies=8, faults=(LOST,)), 3)
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


def test_what_comes_is_an_open_loop_at_the_rate_asked_for() -> None:
    surge = LoadFault(at_s=20, for_s=20, factor=3.0)
    load = Load(per_s=50.0, uneven=4.0)
    scenario = Scenario(name="s", question="?", copies=4, faults=(surge,), for_s=60.0, load=load)
    found = arrivals(scenario, draw(scenario, 1))
    assert found == arrivals(scenario, draw(scenario, 1))
    in_surge = sum(20_000 <= a.at_ms < 40_000 for a in found)
    assert in_surge == pytest.approx(3000, rel=0.1)
    assert sum(0 <= a.at_ms < 20_000 for a in found) == pytest.approx(1000, rel=0.15)
    each = [sum(a.copy == c for a in found) for c in range(4)]
    assert each[3] / each[0] == pytest.approx(4, rel=0.25)


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
def test_a_file_that_is_no_drill_is_one_plain_line(tmp_path: Path, text: str, said: str) -> None:
    path = tmp_path / "drill.yaml"
    path.write_text(text)
    with pytest.raises(ExperimentError) as caught:
        read_scenario(path)
    assert str(path) in str(caught.value) and said in str(caught.value) and "\n" not in str(caught.value)


@contextlib.asynccontextmanager
async def _one_link(folder: Path) -> AsyncIterator[tuple[Links, Link, Upstream]]:
    """A relay between a copy and one stand-in."""
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


ASK = b"GET /lookup HTTP/1.1\r\nX-Trace-Id: 2a\r\n\r\n"


@pytest.mark.parametrize("kind", ["", "refuse", "reset", "silent", "vanish", "slow"])
def test_a_link_is_what_its_fault_makes_of_it(tmp_path: Path, kind: str) -> None:
    """As a new connection and one that was open before meet it, and as both find it when it is over."""

    async def play() -> None:
        async with _one_link(tmp_path) as (part, link, stand_in):
            before = await asyncio.open_connection(*part.plan.link(0, 0))
            before[1].write(ASK)
            assert (await within(read_message(before[0]))).body == b"yes"
            link.be(kind, 150.0 if kind == "slow" else 0.0)
            loop = asyncio.get_running_loop()
            began_s = loop.time()
            before[1].write(ASK)
            if kind in ("", "slow"):
                assert (await within(read_message(before[0]))).body == b"yes"
                assert (loop.time() - began_s >= 0.3) == (kind == "slow")  # each way
            elif kind in ("refuse", "reset"):
                with pytest.raises(ConnectionResetError):
                    await within(before[0].readexactly(1))
            else:
                with pytest.raises(TimeoutError):
                    await asyncio.wait_for(before[0].readexactly(1), 0.3)
            if kind == "refuse":
                with pytest.raises(ConnectionRefusedError):
                    await asyncio.open_connection(*part.plan.link(0, 0))
            elif kind == "vanish":
                with pytest.raises(TimeoutError):
                    await asyncio.wait_for(asyncio.open_connection(*part.plan.link(0, 0)), 0.4)
            attempts = len(part.seen.sent)
            assert attempts == (1 if kind == "refuse" else 2)
            link.be("", 0.0)
            if kind in ("silent", "vanish"):  # what was held passes on
                assert (await within(read_message(before[0]))).body == b"yes"
            reader, writer = await within(asyncio.open_connection(*part.plan.link(0, 0)))
            writer.write(ASK)
            assert (await within(read_message(reader))).body == b"yes"
            sent = part.seen.sent[-1]
            assert (sent.copy, sent.upstream, sent.number) == (0, 0, 42) and sent.ended_ms >= sent.at_ms

    run(play())


def test_what_was_taken_for_a_process_that_has_gone_does_not_reach_the_next(tmp_path: Path) -> None:
    """Else an upstream that starts again would get at once all that was sent into its silence."""

    async def play() -> None:
        async with _one_link(tmp_path) as (part, link, stand_in):
            link.be("silent", 0.0)
            reader, writer = await asyncio.open_connection(*part.plan.link(0, 0))
            writer.write(ASK)
            async with asyncio.timeout(10):
                while not part.seen.sent:
                    await asyncio.sleep(0)
            part.restarts[0] = [link.now_ms]
            link.be("", 0.0)
            with pytest.raises(ConnectionResetError):
                await within(reader.readexactly(1))
            assert not stand_in.asked

    run(play())
