"""Upstreams that call control planes: heartbeats, draining, deregistration, and late duplicate heartbeats."""

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
DRAIN_MS = 2_500.0  # from the acknowledged drain until deregistration
LATE_HEARTBEAT_SHARE = 0.15
MIN_LATE_DELAY_MS, MAX_LATE_DELAY_MS = 500.0, 6_000.0
NO_DRAIN_SHARE = 0.4
SERVICE = "s"


class Intention(Enum):
    """What an upstream reports in its next calls."""

    HEARTBEAT = "heartbeat"
    DRAIN = "drain"
    DEREGISTER = "deregister"
    NOTHING = "nothing"


class Upstream:
    """One instance. It runs for a while, then deregisters, with or without draining first."""

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
        only_deregisters = rng.random() < NO_DRAIN_SHARE
        stopping = Intention.DEREGISTER if only_deregisters else Intention.DRAIN
        self._clock.after(rng.uniform(0.0, HEARTBEAT_MS), self._heartbeat)
        self._clock.after(incarnation_ms, lambda: self._set_intention(stopping))

    def report_to(self, machine: ControlMachine) -> None:
        """Send the next call to this machine."""
        self._machine = machine

    def _set_intention(self, intention: Intention) -> None:
        """Change the intention; all changes go through this method."""
        self.intention = intention
        if intention is Intention.DRAIN:
            self._report_final_state(self._heartbeat_body("draining"), UpstreamState.DRAINING)
        elif intention is Intention.DEREGISTER:
            self._report_final_state(None, UpstreamState.DEREGISTERED)

    def _heartbeat(self) -> None:
        if self.intention is not Intention.HEARTBEAT and self.intention is not Intention.DRAIN:
            return
        state = "ready" if self.intention is Intention.HEARTBEAT else "draining"
        body = self._heartbeat_body(state)
        self._call(body, UpstreamState(state), lambda is_accepted: None)
        if self._rng.random() < LATE_HEARTBEAT_SHARE:
            delay_ms = self._rng.uniform(MIN_LATE_DELAY_MS, MAX_LATE_DELAY_MS)
            self._clock.after(delay_ms, lambda: self._send_duplicate(body, UpstreamState(state)))
        self._clock.after(HEARTBEAT_MS * self._rng.uniform(0.9, 1.1), self._heartbeat)

    def _send_duplicate(self, body: bytes, state: UpstreamState) -> None:
        """Deliver a delayed duplicate of a heartbeat, possibly to another machine."""
        self._machine = None
        self._call(body, state, lambda is_accepted: None)

    def _report_final_state(self, body: bytes | None, state: UpstreamState) -> None:
        """Report a final state until it is acknowledged."""
        intention = self.intention

        def ended(is_accepted: bool) -> None:
            if self.intention is not intention:
                return
            if not is_accepted:
                self._machine = None
                self._clock.after(RETRY_MS, lambda: self._report_final_state(body, state))
            elif state is UpstreamState.DRAINING:
                self._clock.after(DRAIN_MS, lambda: self._set_intention(Intention.DEREGISTER))
            else:
                self._set_intention(Intention.NOTHING)

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
            def replied(is_accepted: bool | None) -> None:
                if is_accepted:
                    self._history.state_accepted(machine, self.instance, state)
                reply(is_accepted)

            if body is None:
                machine.deregister(self.instance, replied)
            else:
                machine.heartbeat(self.instance, body, replied)

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
    """Keeps a number of instances running: each one that leaves is followed by a new one."""

    def __init__(self, clock: Clock, make: Callable[[str, float], Upstream], rng: random.Random) -> None:
        self._clock, self._make, self._rng = clock, make, rng
        self.all: list[Upstream] = []
        self._is_active = False

    def start(self, count: int, incarnation_ms: float) -> None:
        """Start `count` instances; `incarnation_ms` is the mean time that an instance runs."""
        self._is_active = True
        for _ in range(count):
            self._start_one(incarnation_ms)

    def stop(self) -> None:
        """Start no further instances."""
        self._is_active = False

    def _start_one(self, mean_incarnation_ms: float) -> None:
        if not self._is_active:
            return
        incarnation_ms = self._rng.uniform(0.1, 1.9) * mean_incarnation_ms
        self.all.append(self._make(f"u{len(self.all) + 1}", incarnation_ms))
        self._clock.after(incarnation_ms, lambda: self._start_one(mean_incarnation_ms))
