"""The return of an evacuated area to service: trial attempts, steps, relapses and renewals."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Mapping

from madderwind.standalone.evacuation import decision
from madderwind.standalone.evacuation.actions import Action, Probe
from madderwind.standalone.evacuation.areas import Area, fraction
from madderwind.standalone.evacuation.messages import MAX_LEVEL
from madderwind.standalone.evacuation.observations import NOTHING, Observations, ZoneObservation
from madderwind.standalone.evacuation.register import Register
from madderwind.standalone.evacuation.roles import Roles
from madderwind.standalone.evacuation.state import (
    LOCAL_SCOPE,
    NO_TRIAL,
    TRIAL_RETRY_MS,
    TRIAL_TIMEOUT_MS,
    EvacuationState,
    Slot,
)
from madderwind.standalone.evacuation.topology import Topology

NEXT_TRIAL_DELAY_MS = 300.0  # delay after a successful trial
MAX_BACKOFF_DOUBLINGS = 4  # of the delay after failed trials, in the local scope
COORDINATOR_STAGGER_MS = 400.0  # extra delay of a coordinator for each one ranked before it
RENEW_INTERVAL_MS = 1300.0  # time between renewals of an evacuation
STEP_DWELL_MS = 800.0  # minimum time at each step, doubled with each level
FIRST_STEP_UPSTREAMS = 2  # upstreams that have to answer before the first step
MAX_STEP_UPSTREAMS = 4  # before each later step: half of the upstreams, at most this many


class Recovery:
    """Manages the return of every evacuated area by changing the register."""

    def __init__(
        self,
        me: int,
        may_probe: bool,
        topology: Topology,
        observations: Observations,
        register: Register,
        roles: Roles,
        counts: Counter[str],
        out: list[Action],
    ) -> None:
        self._me, self._may_probe, self._topology, self._observations = me, may_probe, topology, observations
        self._register, self._roles, self._counts, self._out = register, roles, counts, out

    def advance(self, now: float, own: Mapping[str, ZoneObservation], withheld: frozenset[int]) -> None:
        """Advance every evacuation. `own`: the observations that this balancer may report."""
        for slot in list(self._register.evacuations):
            if (state := self._register.evacuations.get(slot)) is None:
                continue  # a relapse in the fleet scope removed this narrower evacuation of the same area
            area = self._topology.areas.get(slot[0])
            if area is None or not state.is_evacuated:
                state.trial = NO_TRIAL
                continue
            if state.keeps_using and any(own.get(zone, NOTHING).share > 0.5 for zone in area.zones):
                state.keeps_using = False
            self._advance_evacuation(now, slot, area, state, withheld)

    def _advance_evacuation(
        self, now: float, slot: Slot, area: Area, state: EvacuationState, withheld: frozenset[int]
    ) -> None:
        coordinates = self._roles.is_coordinator(now, area, state)
        # Coordinators act one after another, so that no two publish different states at once; the next one
        # only if the first does not.
        stagger_ms = COORDINATOR_STAGGER_MS * state.coordinators_before
        must_renew = coordinates and now - state.renewed_ms >= RENEW_INTERVAL_MS + stagger_ms
        if state.evacuation.by_hand:
            state.trial = NO_TRIAL  # an area evacuated by an operator gets no trials
            if must_renew:
                self._register.publish(now, area, slot[1], step=state.evacuation.step, by_hand=True)
            return
        self._advance_trial(now, slot, area, state, coordinates, withheld)
        if self._relapsed(state):
            self._relapse(now, slot, area, state)
        elif (
            coordinates
            and now - state.since_ms >= STEP_DWELL_MS * 2**state.evacuation.level + stagger_ms
            and self._may_advance_step(now, area, state)
        ):
            self._register.publish(now, area, slot[1], step=state.evacuation.step + 1)
        elif state.evacuation.scope == LOCAL_SCOPE:
            state.renewed_ms = now
        elif must_renew:
            self._register.publish(now, area, slot[1], step=state.evacuation.step)

    def _relapsed(self, state: EvacuationState) -> bool:
        """Whether requests admitted at a step failed, for several balancers unless the scope is local."""
        responding, failing = state.upstream_counts()
        confirmed = state.evacuation.scope == LOCAL_SCOPE or len(state.accusers) >= 2
        return state.evacuation.step > 0 and failing >= 2 and failing > responding and confirmed

    def _relapse(self, now: float, slot: Slot, area: Area, state: EvacuationState) -> None:
        level = min(MAX_LEVEL, state.evacuation.level + 1)
        witnesses = decision.select_witnesses({*state.evacuation.witnesses, *state.accusers})
        self._register.publish(now, area, slot[1], step=0, level=level, witnesses=witnesses)

    def _may_advance_step(self, now: float, area: Area, state: EvacuationState) -> bool:
        """Whether enough upstreams answer for the next step."""
        (responding, failing), ready_upstreams = state.upstream_counts(), self._topology.ready_count(area)
        if state.evacuation.step == 0:
            return min(responding, state.fresh_responding(now)) >= min(FIRST_STEP_UPSTREAMS, ready_upstreams)
        return (
            responding >= min(MAX_STEP_UPSTREAMS, math.ceil(ready_upstreams / 2))
            and 2 * failing <= responding
        )

    def _advance_trial(
        self,
        now: float,
        slot: Slot,
        area: Area,
        state: EvacuationState,
        coordinates: bool,
        withheld: frozenset[int],
    ) -> None:
        is_reporter = self._roles.is_reporter(area, state, self._topology.ready_count(area))
        has_answered = state.evacuation.step > 0 or state.fresh_responding(now) > 0
        has_turn = slot[1] == LOCAL_SCOPE or self._roles.has_turn(now, area, state)
        if state.trial != NO_TRIAL:
            self._follow_trial(now, state, has_turn or has_answered)
        elif has_turn or (has_answered and (coordinates or is_reporter)):
            self._start_trial(now, area, state, withheld)

    def _follow_trial(self, now: float, state: EvacuationState, may_continue: bool) -> None:
        """Follow a running trial until it succeeds, fails, times out, or its turn ends without an attempt."""
        succeeded = self._observations.result_since(state.trial, state.trial_ms)
        if (
            succeeded is None
            and now - state.trial_ms < TRIAL_TIMEOUT_MS
            and state.trial in self._topology.places
        ):
            if may_continue or self._observations.is_in_flight(state.trial, state.trial_ms):
                return
        elif not succeeded:
            state.bad_trials = min(MAX_BACKOFF_DOUBLINGS, state.bad_trials + 1)
        wait_ms = NEXT_TRIAL_DELAY_MS if succeeded else TRIAL_RETRY_MS
        if state.evacuation.scope == LOCAL_SCOPE and not succeeded:
            wait_ms *= 2**state.bad_trials
        if succeeded:
            state.bad_trials = 0
        state.next_trial_ms = now + wait_ms
        state.trial = NO_TRIAL

    def _start_trial(self, now: float, area: Area, state: EvacuationState, withheld: frozenset[int]) -> None:
        """Start a trial of the next upstream; one at a time, in turn."""
        if now < state.next_trial_ms:
            return
        candidates = sorted(
            (fraction(place.mark, state.evacuation.episode, self._me + 1), number)
            for number, place in self._topology.places.items()
            if place.zone in area.zones and number in withheld
        )
        if candidates:
            state.trial, state.trial_ms = candidates[state.next_trial_index % len(candidates)][1], now
            state.next_trial_index, state.last_trial_ms = state.next_trial_index + 1, now
            self._counts["tries"] += 1
            if self._may_probe:
                self._out.append(Probe(state.trial))
