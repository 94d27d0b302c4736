"""Actions of the module that do not belong to a request."""

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

ASK = api.TimerFired(0)  # the patched module answers this event with the actions under test


class PatchedModule:
    """Patches the module to return these actions for ASK, and records the probe results that it receives."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, *actions: api.Action) -> None:
        self.probes: asyncio.Queue[api.ProbeEnded] = asyncio.Queue()
        handle = Balancer.handle

        def patched_handle(balancer: Balancer, now: float, event: api.Event) -> list[api.Action]:
            if event is ASK:
                return list(actions)
            if isinstance(event, api.ProbeEnded):
                self.probes.put_nowait(event)
            return handle(balancer, now, event)

        monkeypatch.setattr(Balancer, "handle", patched_handle)


@pytest.mark.parametrize(
    ("behave", "outcome", "report"),
    [
        (says(answer(200, b"TEXT inflight=7, queue=2")), Outcome.OK, (7.0, 2.0)),
        (says(answer(200, b"what")), Outcome.OK, ()),
        (says(answer(503, b"TEXT inflight=9, queue=9")), Outcome.ERROR, (9.0, 9.0)),
        (silent, Outcome.TIMEOUT, ()),
    ],
)
def test_a_probe_reports_its_result(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, behave: Behaviour, outcome: Outcome, report: Any
) -> None:
    monkeypatch.setattr(routing, "PROBE_TIMEOUT_MS", 300.0 if behave is not silent else 30.0)
    module = PatchedModule(monkeypatch, api.Probe(0))

    async def test() -> None:
        upstream = Upstream(behave)
        async with Running(tmp_path, upstream) as running:
            running.service.copy.happened(ASK)
            ended = await within(module.probes.get())
            assert (ended.outcome, ended.upstream, ended.report) == (outcome, 0, report)
            assert ended.elapsed_ms > 0
            assert [m.start for m in upstream.asked] == ["GET /load HTTP/1.1"]

    run(test())


def test_idle_connections_are_closed_and_unsupported_actions_logged(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    peer_message = api.TellPeers(None, b"psst")
    PatchedModule(
        monkeypatch, api.CloseIdle(0), api.CloseIdle(7), api.Log("hello"), peer_message, api.Subscribe(True)
    )

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


def test_a_cancelled_attempt_closes_its_connection(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Cancelling an attempt closes its connection, and the module is told that it was cancelled."""

    async def test() -> None:
        upstream = Upstream(silent)
        async with Running(tmp_path, upstream) as running:
            caller = await Caller.connect(running.port)
            caller.write("POST /charge", b"1")
            await within(upstream.arrivals.get())
            (number,) = running.service.copy.open
            PatchedModule(monkeypatch, api.Cancel(number, 0))
            running.service.copy.happened(ASK)
            assert await within(upstream.ended.get()) == 1
            assert (await caller.read()).status == 502
            assert running.log.named("answered")[0]["attempts"][0][1] == "cancelled"
            assert not running.broken

    run(test())


def test_an_action_for_no_open_request_is_a_broken_invariant(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    PatchedModule(monkeypatch, api.Fail(4711))

    async def test() -> None:
        async with Running(tmp_path, Upstream(silent)) as running:
            running.service.copy.happened(ASK)
            assert running.broken == {"acts_for_open_requests": 1}

    run(test())
