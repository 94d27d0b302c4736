"""Actions that belong to no request, carried out for a module that asks for them."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

import pytest

from madderwind.standalone.policy import api
from madderwind.standalone.policy.api import Outcome
from madderwind.standalone.policy.balancer import Balancer
from madderwind.standalone.routing import copy as routing
from tests.standalone.program.harness import Running
from tests.standins import Behaviour, Caller, Upstream, answer, run, says, silent, within

ASK = api.TimerFired(0)  # the module of these tests answers this with the actions in question


class Asks:
    """Makes the module ask for these actions when told to, and keeps what it hears of probes."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, *actions: api.Action) -> None:
        self.probes: asyncio.Queue[api.ProbeEnded] = asyncio.Queue()
        handle = Balancer.handle

        def asks(balancer: Balancer, now: float, event: api.Event) -> list[api.Action]:
            if event is ASK:
                return list(actions)
            if isinstance(event, api.ProbeEnded):
                self.probes.put_nowait(event)
            return handle(balancer, now, event)

        monkeypatch.setattr(Balancer, "handle", asks)


@pytest.mark.parametrize(
    ("behave", "outcome", "report"),
    [
        (says(answer(200, b"TEXT inflight=7, queue=2")), Outcome.OK, (7.0, 2.0)),
        (says(answer(200, b"what")), Outcome.OK, ()),
        (says(answer(503, b"TEXT inflight=9, queue=9")), Outcome.ERROR, (9.0, 9.0)),
        (silent, Outcome.TIMEOUT, ()),
    ],
)
def test_a_probe(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, behave: Behaviour, outcome: Outcome, report: Any
) -> None:
    monkeypatch.setattr(routing, "PROBE_TIMEOUT_MS", 300.0 if behave is not silent else 30.0)
    asks = Asks(monkeypatch, api.Probe(0))

    async def test() -> None:
        upstream = Upstream(behave)
        async with Running(tmp_path, upstream) as running:
            running.service.copy.happened(ASK)
            ended = await within(asks.probes.get())
            assert (ended.outcome, ended.upstream, ended.report) == (outcome, 0, report)
            assert ended.elapsed_ms > 0
            assert [m.start for m in upstream.asked] == ["GET /load HTTP/1.1"]

    run(test())


def test_idle_connections_are_closed_and_words_are_logged(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    words = api.TellPeers(None, b"psst")
    Asks(monkeypatch, api.CloseIdle(0), api.CloseIdle(7), api.Log("hello"), words, api.Subscribe(True))

    async def test() -> None:
        upstream = Upstream(says(answer(200)))
        async with Running(tmp_path, upstream) as running:
            caller = await Caller.connect(running.port)
            assert (await caller.ask()).status == 200
            running.service.copy.happened(ASK)
            assert await within(upstream.ended.get()) == 1
            assert (await caller.ask()).status == 200
            assert running.log.named("module_says") == [{"text": "hello"}]
            assert running.log.named("action_not_carried_out") == [{"action": "TellPeers"}]

    run(test())


def test_an_attempt_that_the_module_takes_back(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Giving an attempt up closes its connection, and the module hears of it as cancelled."""

    async def test() -> None:
        upstream = Upstream(silent)
        async with Running(tmp_path, upstream) as running:
            caller = await Caller.connect(running.port)
            caller.write("POST /charge", b"1")
            await within(upstream.arrivals.get())
            (number,) = running.service.copy.open
            Asks(monkeypatch, api.Cancel(number, 0))
            running.service.copy.happened(ASK)
            assert await within(upstream.ended.get()) == 1
            assert (await caller.read()).status == 502
            assert running.log.named("answered")[0]["attempts"][0][1] == "cancelled"
            assert not running.broken

    run(test())


def test_an_action_for_no_open_request_is_a_broken_invariant(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    Asks(monkeypatch, api.Fail(4711))

    async def test() -> None:
        async with Running(tmp_path, Upstream(silent)) as running:
            running.service.copy.happened(ASK)
            assert running.broken == {"acts_for_open_requests": 1}

    run(test())
