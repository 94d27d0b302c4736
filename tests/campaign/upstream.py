"""Upstreams that call control planes: heartbeats, a drain, an end, late and repeated heartbeats."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from enum import Enum

from madderwind.registry.states import UpstreamState
from tests.campaign.calls import HttpCall
from tests.campaign.control_machine import HEARTBEAT_MS, ControlMachine
from tests.campaign.history import History
from tests.campaign.links import Links
from tests.fleet.clock import Clock

RETRY_MS = 100.0
SERVE_ON_MS = 2_500.0  # after the acknowledged drain, before it deregisters
LATE_HEARTBEATS = 0.15
LEAST_DELAY_MS, MOST_DELAY_MS = 500.0, 6_000.0
INCARNATION_SHARE_WITHOUT_DRAINING = 0.4
SERVICE = "s"


class Intention(Enum):
    """What an upstream tells next."""

    HEARTBEAT = "heartbeat"
    DRAIN = "drain"
    DEREGISTER = "deregister"
    NOTHING = "nothing"


class Upstream:
    """One instance. It lives for a while, then leaves with or without saying that it drains."""

    def __init__(
        self,
        instance: str,
        links: Links,
        machines: Callable[[], Sequence[ControlMachine]],
        history: History,
        rng: random.Random,
        incarnation_ms: float,
        answer_loss: float,
    ) -> None:
        self.instance = instance
        self.intention = Intention.HEARTBEAT
        self.acknowledged_heartbeat_ms: float | None = None
        self._links, self._clock = links, links.clock
        self._machines, self._history, self._rng = machines, history, rng
        self._answer_loss = answer_loss
        self._sequence = 0
        self._machine: ControlMachine | None = None
        only_deregisters = rng.random() < INCARNATION_SHARE_WITHOUT_DRAINING
        stopping = Intention.DEREGISTER if only_deregisters else Intention.DRAIN
        self._clock.after(rng.uniform(0.0, HEARTBEAT_MS), self._heartbeat)
        self._clock.after(incarnation_ms, lambda: self._intend(stopping))

    def report_to(self, machine: ControlMachine) -> None:
        """Have its next call go to this machine first."""
        self._machine = machine

    def _intend(self, intention: Intention) -> None:
        """The one place where what it tells changes."""
        self.intention = intention
        if intention is Intention.DRAIN:
            self._tell(self._heartbeat_body("draining"), UpstreamState.DRAINING)
        elif intention is Intention.DEREGISTER:
            self._tell(None, UpstreamState.DEREGISTERED)

    def _heartbeat(self) -> None:
        if self.intention is not Intention.HEARTBEAT and self.intention is not Intention.DRAIN:
            return
        state = "ready" if self.intention is Intention.HEARTBEAT else "draining"
        body = self._heartbeat_body(state)
        self._call(body, UpstreamState(state), lambda is_accepted: None)
        if self._rng.random() < LATE_HEARTBEATS:
            delay_ms = self._rng.uniform(LEAST_DELAY_MS, MOST_DELAY_MS)
            self._clock.after(delay_ms, lambda: self._repeat(body, UpstreamState(state)))
        self._clock.after(HEARTBEAT_MS * self._rng.uniform(0.9, 1.1), self._heartbeat)

    def _repeat(self, body: bytes, state: UpstreamState) -> None:
        """A heartbeat that was under way for long arrives, perhaps where it was not sent to at first."""
        self._machine = None
        self._call(body, state, lambda is_accepted: None)

    def _tell(self, body: bytes | None, state: UpstreamState) -> None:
        """Tell a final state until it is acknowledged."""
        intention = self.intention

        def ended(is_accepted: bool) -> None:
            if self.intention is not intention:
                return
            if not is_accepted:
                self._machine = None
                self._clock.after(RETRY_MS, lambda: self._tell(body, state))
            elif state is UpstreamState.DRAINING:
                self._clock.after(SERVE_ON_MS, lambda: self._intend(Intention.DEREGISTER))
            else:
                self._intend(Intention.NOTHING)

        self._call(body, state, ended)

    def _call(self, body: bytes | None, state: UpstreamState, then: Callable[[bool], None]) -> None:
        machine = self._machine
        if machine is None or machine.is_removed:
            machine = self._machine = self._rng.choice(list(self._machines()))

        def ended(is_accepted: bool | None) -> None:
            if is_accepted:
                self._history.state_acknowledged(self._clock.now_ms, self.instance, state)
                if state is UpstreamState.READY:
                    self.acknowledged_heartbeat_ms = self._clock.now_ms
            else:
                self._machine = None
            then(bool(is_accepted))

        def serve(reply: Callable[[bool | None], None]) -> None:
            def noted(is_accepted: bool | None) -> None:
                if is_accepted:
                    self._history.state_held(machine, self.instance, state)
                reply(is_accepted)

            if body is None:
                machine.deregister(self.instance, noted)
            else:
                machine.heartbeat(self.instance, body, noted)

        self._history.state_notified(self.instance, state)
        call: HttpCall[bool] = HttpCall(self._links, self.instance, machine, serve, ended)
        call.start(self._rng, self._answer_loss)

    def _heartbeat_body(self, state: str) -> bytes:
        self._sequence += 1
        return (
            f'{{"service":"{SERVICE}","address":"10.0.0.1:80","zone":"z","version":"v1","slots":4,'
            f'"state":"{state}","cold_remaining_ms":0,"sequence":{self._sequence}}}'
        ).encode()


class Upstreams:
    """Keeps a number of instances alive: one that has left is followed by a new one."""

    def __init__(self, clock: Clock, make: Callable[[str, float], Upstream], rng: random.Random) -> None:
        self._clock, self._make, self._rng = clock, make, rng
        self.all: list[Upstream] = []
        self._is_active = False

    def start(self, count: int, incarnation_ms: float) -> None:
        """Begin with so many; `life_ms` is the mean of their lives."""
        self._is_active = True
        for _ in range(count):
            self._begin_one(incarnation_ms)

    def stop(self) -> None:
        """No new instance begins."""
        self._is_active = False

    def _begin_one(self, mean_incarnation_ms: float) -> None:
        if not self._is_active:
            return
        incarnation_ms = self._rng.uniform(0.1, 1.9) * mean_incarnation_ms
        self.all.append(self._make(f"u{len(self.all) + 1}", incarnation_ms))
        self._clock.after(incarnation_ms, lambda: self._begin_one(mean_incarnation_ms))
