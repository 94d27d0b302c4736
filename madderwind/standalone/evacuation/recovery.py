"""The way back into an area that was left: trials in turn, steps up, relapse, and renewal of what holds."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Mapping

from madderwind.standalone.evacuation import decision
from madderwind.standalone.evacuation.actions import Action, Probe
from madderwind.standalone.evacuation.areas import Area, fraction
from madderwind.standalone.evacuation.messages import MOST_LEVEL
from madderwind.standalone.evacuation.observations import NOTHING, Observations, ZoneObservation
from madderwind.standalone.evacuation.register import Register
from madderwind.standalone.evacuation.roles import Roles
from madderwind.standalone.evacuation.state import NO_TRIAL, SELF, TRY_AGAIN_MS, TRY_MS, EvacuationState, Slot
from madderwind.standalone.evacuation.topology import Topology

TRY_ON_MS = 300.0  # before the next trial after a good one
MOST_DOUBLINGS = 4  # of the wait after bad trials, of a balancer that left on its own observation
NEXT_SCOUT_MS = 400.0  # a scout speaks so much later for each that is before it
RENEW_MS = 1300.0  # an evacuation is renewed so often
DWELL_MS = 800.0  # at each step, doubled with each level
RETURN_GOODS = 2  # upstreams that have to answer before the first step
STEP_GOODS_MOST = 4  # and before each next one: half of them, so many at most


class Recovery:
    """Of every area that is left. It changes the register; what is withheld follows from that."""

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

    def go_on(self, now: float, own: Mapping[str, ZoneObservation], withheld: frozenset[int]) -> None:
        """One look at everything that is left. `own`: what this balancer itself may say."""
        for slot in list(self._register.evacuations):
            if (state := self._register.evacuations.get(slot)) is None:
                continue  # a relapse of all ends what some evacuation of the same area
            area = self._topology.areas.get(slot[0])
            if area is None or not state.is_left:
                state.trial = NO_TRIAL
                continue
            if state.stays and any(own.get(zone, NOTHING).share > 0.5 for zone in area.zones):
                state.stays = False
            self._go_on_with(now, slot, area, state, withheld)

    def _go_on_with(
        self, now: float, slot: Slot, area: Area, state: EvacuationState, withheld: frozenset[int]
    ) -> None:
        scouts = self._roles.scouts(now, area, state)
        # The first scout speaks, so that no two say different things at once; the next if it does not.
        late_ms = NEXT_SCOUT_MS * state.before
        renews = scouts and now - state.renewed_ms >= RENEW_MS + late_ms
        if state.evacuation.by_hand:
            state.trial = NO_TRIAL  # what was left by hand is not tried
            if renews:
                self._register.publish(now, area, slot[1], step=state.evacuation.step, by_hand=True)
            return
        self._go_on_trying(now, slot, area, state, scouts, withheld)
        if self._fails_again(state):
            self._relapse(now, slot, area, state)
        elif (
            scouts
            and now - state.since_ms >= DWELL_MS * 2**state.evacuation.level + late_ms
            and self._may_rise(now, area, state)
        ):
            self._register.publish(now, area, slot[1], step=state.evacuation.step + 1)
        elif state.evacuation.scope == SELF:
            state.renewed_ms = now
        elif renews:
            self._register.publish(now, area, slot[1], step=state.evacuation.step)

    def _fails_again(self, state: EvacuationState) -> bool:
        """Whether what a step let through failed, for more than one balancer."""
        goods, bads = state.counts()
        several = state.evacuation.scope == SELF or len(state.bad_copies) >= 2
        return state.evacuation.step > 0 and bads >= 2 and bads > goods and several

    def _relapse(self, now: float, slot: Slot, area: Area, state: EvacuationState) -> None:
        level = min(MOST_LEVEL, state.evacuation.level + 1)
        told = decision.witnesses({*state.evacuation.witnesses, *state.bad_copies})
        self._register.publish(now, area, slot[1], step=0, level=level, witnesses=told)

    def _may_rise(self, now: float, area: Area, state: EvacuationState) -> bool:
        """Whether enough upstreams answer for the next step."""
        (goods, bads), inside = state.counts(), self._topology.inside(area)
        if state.evacuation.step == 0:
            return min(goods, state.fresh_goods(now)) >= min(RETURN_GOODS, inside)
        return goods >= min(STEP_GOODS_MOST, math.ceil(inside / 2)) and 2 * bads <= goods

    def _go_on_trying(
        self,
        now: float,
        slot: Slot,
        area: Area,
        state: EvacuationState,
        scouts: bool,
        withheld: frozenset[int],
    ) -> None:
        reports = self._roles.reports(area, state, self._topology.inside(area))
        answers = state.evacuation.step > 0 or state.fresh_goods(now) > 0
        turn = slot[1] == SELF or self._roles.has_turn(now, area, state)
        if state.trial != NO_TRIAL:
            self._follow(now, state, turn or answers)
        elif turn or (answers and (scouts or reports)):
            self._try(now, area, state, withheld)

    def _follow(self, now: float, state: EvacuationState, may_try: bool) -> None:
        """A trial under way: until its answer, or its silence, says something, or its turn is over unused."""
        good = self._observations.since(state.trial, state.trial_ms)
        if good is None and now - state.trial_ms < TRY_MS and state.trial in self._topology.places:
            if may_try or self._observations.is_out(state.trial, state.trial_ms):
                return
        elif not good:
            state.bad_trials = min(MOST_DOUBLINGS, state.bad_trials + 1)
        wait_ms = TRY_ON_MS if good else TRY_AGAIN_MS
        if state.evacuation.scope == SELF and not good:
            wait_ms *= 2**state.bad_trials
        if good:
            state.bad_trials = 0
        state.next_trial_ms = now + wait_ms
        state.trial = NO_TRIAL

    def _try(self, now: float, area: Area, state: EvacuationState, withheld: frozenset[int]) -> None:
        """One upstream at a time, each in turn."""
        if now < state.next_trial_ms:
            return
        numbers = sorted(
            (fraction(place.mark, state.evacuation.episode, self._me + 1), number)
            for number, place in self._topology.places.items()
            if place.zone in area.zones and number in withheld
        )
        if numbers:
            state.trial, state.trial_ms = numbers[state.next % len(numbers)][1], now
            state.next, state.tried_ms = state.next + 1, now
            self._counts["tries"] += 1
            if self._may_probe:
                self._out.append(Probe(state.trial))
