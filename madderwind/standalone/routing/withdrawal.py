"""A copy's part in the fleet's zone evacuation: runs the actions of `ZoneEvacuation` on the event loop.

No rule depends on it: the module is only told that upstreams are not ready, as by discovery or an operator.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Mapping
from typing import Protocol

from madderwind.eventlog import EventLog, Sparing
from madderwind.standalone.clock import Clock
from madderwind.standalone.evacuation.actions import (
    Action,
    LogEvent,
    Probe,
    Reopen,
    TakeBack,
    TellEvacuation,
    TellView,
    Withhold,
)
from madderwind.standalone.evacuation.areas import EvacuationSettings, Place
from madderwind.standalone.evacuation.evacuation import TICK_MS, ZoneEvacuation
from madderwind.standalone.policy.api import Outcome, Settings
from madderwind.standalone.routing.gossip_peers import GossipPeers


class UpstreamControl(Protocol):
    """The operations on upstreams and requests that evacuation needs."""

    def leave(self, upstreams: frozenset[int]) -> None: ...

    def reopen(self, upstreams: frozenset[int], started_ms: float, owed: bool) -> None: ...

    def cancel_repeatable_attempt(self, request: int, attempt: int) -> None: ...

    def start_probe(self, upstream: int) -> None: ...


class Withdrawal:
    """Connects zone evacuation with the fleet's gossip, the copy and a timer."""

    def __init__(
        self,
        peers: GossipPeers,
        control: UpstreamControl,
        settings: Settings,
        zone: str,
        leaving: EvacuationSettings,
        clock: Clock,
        log: EventLog,
        log_sparingly: Sparing,
    ) -> None:
        self._peers, self._control, self._clock = peers, control, clock
        self._log, self._log_sparingly = log, log_sparingly
        self._evacuation = ZoneEvacuation(
            settings.me,
            zone,
            leaving,
            peers.living,
            settings.warm_after_ms,
            settings.may_probe,
            peers.carried_per_s,
            peers.carrying_traffic,
        )
        self._timer: asyncio.TimerHandle | None = None
        peers.listener = self

    def start(self) -> None:
        self._tick()

    def close(self) -> None:
        if self._timer is not None:
            self._timer.cancel()

    def listed(self, places: Mapping[int, Place]) -> None:
        self._carry_out(self._evacuation.listed(self._clock.now_ms(), places))

    def began(self, upstream: int, key: tuple[int, int]) -> None:
        self._evacuation.observations.began(self._clock.now_ms(), upstream, key)

    def ended(self, key: tuple[int, int], outcome: Outcome | None, elapsed_ms: float) -> None:
        self._evacuation.observations.ended(self._clock.now_ms(), key, outcome, elapsed_ms)

    def probed(self, upstream: int, good: bool, sent_ms: float) -> None:
        self._evacuation.observations.saw(self._clock.now_ms(), upstream, good, sent_ms)

    def on_gossip_received(self) -> None:
        self._evacuation.heard_message(self._clock.now_ms())

    def on_view_received(self, origin: int, payload: bytes) -> None:
        self._evacuation.heard_view(self._clock.now_ms(), origin, payload)

    def on_shared_received(self, order: tuple[int, int], payload: bytes) -> None:
        self._carry_out(self._evacuation.heard_evacuation(self._clock.now_ms(), order, payload))

    def evacuate_or_return(self, name: str, back: bool) -> str:
        """Evacuate a zone or region fleet-wide, or return to it. Returns "" or the reason for a refusal."""
        call = self._evacuation.return_to if back else self._evacuation.evacuate
        actions, why_not = call(self._clock.now_ms(), name)
        self._log("area_by_hand", area=name, back=back, why_not=why_not)
        self._carry_out(actions)
        return why_not

    def counts(self) -> Counter[str]:
        return self._evacuation.counts + Counter(withheld=len(self._evacuation.withheld))

    def left(self) -> list[tuple[str, int]]:
        return self._evacuation.left()

    def _tick(self) -> None:
        now_ms = self._clock.now_ms()
        self._timer = asyncio.get_running_loop().call_at(
            self._clock.loop_time_s(now_ms + TICK_MS), self._tick
        )
        self._carry_out(self._evacuation.tick(now_ms))

    def _carry_out(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case Withhold(upstreams):
                    self._control.leave(upstreams)
                case Reopen(upstreams, started_ms, owed):
                    self._control.reopen(upstreams, started_ms, owed)
                case TakeBack((request, attempt)):
                    self._control.cancel_repeatable_attempt(request, attempt)
                case Probe(upstream):
                    self._control.start_probe(upstream)
                case TellView(payload):
                    self._peers.tell_view(payload)
                case TellEvacuation(order, payload):
                    self._peers.tell_shared(order, payload)
                case LogEvent("area_not_left" as event, fields):
                    self._log_sparingly(event, **fields)
                case LogEvent(event, fields):
                    self._log(event, **fields)
