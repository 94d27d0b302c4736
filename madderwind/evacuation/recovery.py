"""The way back into an area that was left: trials in turn, steps up, relapse, and renewal of what holds."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Mapping

from madderwind.evacuation import verdict
from madderwind.evacuation.actions import Action, Ask
from madderwind.evacuation.areas import Area, fraction
from madderwind.evacuation.held import NO_TRIAL, SELF, TRY_AGAIN_MS, TRY_MS, Held, Slot
from madderwind.evacuation.observations import NOTHING, Observations, ZoneObservation
from madderwind.evacuation.register import Register
from madderwind.evacuation.roles import Roles
from madderwind.evacuation.topology import Topology
from madderwind.evacuation.words import MOST_LEVEL

TRY_ON_MS = 300.0  # before the next trial after a good one
MOST_DOUBLINGS = 4  # of the wait after bad trials, of a balancer that left on its own observation
NEXT_SCOUT_MS = 400.0  # a scout speaks so much later for each that is before it
RENEW_MS = 1300.0  # a hold is renewed so often
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
        for slot in list(self._register.held):
            if (held := self._register.held.get(slot)) is None:
                continue  # a relapse of all ends what some hold of the same area
            area = self._topology.areas.get(slot[0])
            if area is None or not held.is_left:
                held.trial = NO_TRIAL
                continue
            if held.stays and any(own.get(zone, NOTHING).share > 0.5 for zone in area.zones):
                held.stays = False
            self._go_on_with(now, slot, area, held, withheld)

    def _go_on_with(self, now: float, slot: Slot, area: Area, held: Held, withheld: frozenset[int]) -> None:
        scouts = self._roles.scouts(now, area, held)
        # The first scout speaks, so that no two say different things at once; the next if it does not.
        late_ms = NEXT_SCOUT_MS * held.before
        renews = scouts and now - held.renewed_ms >= RENEW_MS + late_ms
        if held.hold.by_hand:
            held.trial = NO_TRIAL  # what was left by hand is not tried
            if renews:
                self._register.publish(now, area, slot[1], step=held.hold.step, by_hand=True)
            return
        self._go_on_trying(now, slot, area, held, scouts, withheld)
        if self._fails_again(held):
            self._relapse(now, slot, area, held)
        elif (
            scouts
            and now - held.since_ms >= DWELL_MS * 2**held.hold.level + late_ms
            and self._may_rise(now, area, held)
        ):
            self._register.publish(now, area, slot[1], step=held.hold.step + 1)
        elif held.hold.scope == SELF:
            held.renewed_ms = now
        elif renews:
            self._register.publish(now, area, slot[1], step=held.hold.step)

    def _fails_again(self, held: Held) -> bool:
        """Whether what a step let through failed, for more than one balancer."""
        goods, bads = held.counts()
        several = held.hold.scope == SELF or len(held.bad_copies) >= 2
        return held.hold.step > 0 and bads >= 2 and bads > goods and several

    def _relapse(self, now: float, slot: Slot, area: Area, held: Held) -> None:
        level = min(MOST_LEVEL, held.hold.level + 1)
        told = verdict.witnesses({*held.hold.witnesses, *held.bad_copies})
        self._register.publish(now, area, slot[1], step=0, level=level, witnesses=told)

    def _may_rise(self, now: float, area: Area, held: Held) -> bool:
        """Whether enough upstreams answer for the next step."""
        (goods, bads), inside = held.counts(), self._topology.inside(area)
        if held.hold.step == 0:
            return min(goods, held.fresh_goods(now)) >= min(RETURN_GOODS, inside)
        return goods >= min(STEP_GOODS_MOST, math.ceil(inside / 2)) and 2 * bads <= goods

    def _go_on_trying(
        self, now: float, slot: Slot, area: Area, held: Held, scouts: bool, withheld: frozenset[int]
    ) -> None:
        reports = self._roles.reports(area, held, self._topology.inside(area))
        answers = held.hold.step > 0 or held.fresh_goods(now) > 0
        turn = slot[1] == SELF or self._roles.has_turn(now, area, held)
        if held.trial != NO_TRIAL:
            self._follow(now, held, turn or answers)
        elif turn or (answers and (scouts or reports)):
            self._try(now, area, held, withheld)

    def _follow(self, now: float, held: Held, may_try: bool) -> None:
        """A trial under way: until its answer, or its silence, says something, or its turn is over unused."""
        good = self._observations.since(held.trial, held.trial_ms)
        if good is None and now - held.trial_ms < TRY_MS and held.trial in self._topology.places:
            if may_try or self._observations.is_out(held.trial, held.trial_ms):
                return
        elif not good:
            held.bad_trials = min(MOST_DOUBLINGS, held.bad_trials + 1)
        wait_ms = TRY_ON_MS if good else TRY_AGAIN_MS
        if held.hold.scope == SELF and not good:
            wait_ms *= 2**held.bad_trials
        if good:
            held.bad_trials = 0
        held.next_trial_ms = now + wait_ms
        held.trial = NO_TRIAL

    def _try(self, now: float, area: Area, held: Held, withheld: frozenset[int]) -> None:
        """One upstream at a time, each in turn."""
        if now < held.next_trial_ms:
            return
        numbers = sorted(
            (fraction(place.mark, held.hold.episode, self._me + 1), number)
            for number, place in self._topology.places.items()
            if place.zone in area.zones and number in withheld
        )
        if numbers:
            held.trial, held.trial_ms = numbers[held.next % len(numbers)][1], now
            held.next, held.tried_ms = held.next + 1, now
            self._counts["tries"] += 1
            if self._may_probe:
                self._out.append(Ask(held.trial))
