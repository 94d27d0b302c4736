"""Which upstreams get nothing new, by what is left, as the difference to what it was."""

from __future__ import annotations

from collections.abc import Iterable

from madderwind.standalone.evacuation.actions import Action, Reopen, TakeBack, Withhold
from madderwind.standalone.evacuation.areas import Area, EvacuationSettings, fraction
from madderwind.standalone.evacuation.messages import FULL, STEPS
from madderwind.standalone.evacuation.observations import Observations
from madderwind.standalone.evacuation.register import Register
from madderwind.standalone.evacuation.state import EvacuationState
from madderwind.standalone.evacuation.topology import Topology

OWED_MS = 4500.0  # what counts as started so long ago and called back is owed an attempt at once


class Withholding:
    """`withheld`: the upstreams."""

    def __init__(
        self,
        me: int,
        may_probe: bool,
        settings: EvacuationSettings,
        topology: Topology,
        observations: Observations,
        register: Register,
        out: list[Action],
    ) -> None:
        self._me, self._may_probe, self._settings = me, may_probe, settings
        self._topology, self._observations, self._register, self._out = topology, observations, register, out
        self.withheld: frozenset[int] = frozenset()

    def listed(self) -> None:
        """What is not on the list any more is not withheld either."""
        self.withheld &= frozenset(self._topology.places)

    def update(self, now: float) -> None:
        """What is withheld now; what changed goes out."""
        withheld, trials, opened = set[int](), set[int](), dict[float, set[int]]()
        for area, state in self._in_force():
            step = state.step(now)
            for number in self._of_part(area, state):
                if self._awaits_trial(state, number):
                    trials.add(number)
                elif step < FULL and self._above(state, number, STEPS[step]):
                    withheld.add(number)
                else:
                    opened.setdefault(state.returned_ms, set()).add(number)
        withheld -= trials
        self._change(now, frozenset(withheld), frozenset(trials), opened)

    def _in_force(self) -> Iterable[tuple[Area, EvacuationState]]:
        """What this balancer goes by. Guards against two halves of a fleet that were cut apart, and each left
        the other's zones: what would go beyond the most that may be withheld is passed over."""
        most = self._settings.most_withheld * self._topology.size()
        within = set[str]()
        for (mark, _), state in self._register.evacuations.items():
            area = self._topology.areas.get(mark)
            if area is None or state.stays:
                continue
            if state.is_left and state.evacuation.part == 100:
                zones = within | set(area.zones)
                state.beyond = self._topology.size(zones) > most
                if state.beyond:
                    continue
                within = zones
            yield area, state

    def _of_part(self, area: Area, state: EvacuationState) -> Iterable[int]:
        """Its upstreams that are left, where not the whole area is."""
        for number, place in self._topology.places.items():
            if place.zone in area.zones and fraction(place.mark, area.mark) < state.evacuation.part / 100:
                yield number

    def _awaits_trial(self, state: EvacuationState, number: int) -> bool:
        """Whether it is opened for one attempt, which has not gone out yet."""
        return number == state.trial and not (
            self._may_probe or self._observations.is_out(number, state.trial_ms)
        )

    def _above(self, state: EvacuationState, number: int, part: float) -> bool:
        """Whether it is beyond the part that this balancer opens at a step; each opens others."""
        mark = self._topology.places[number].mark
        return fraction(mark, state.evacuation.episode, self._me + 1) >= part

    def _change(
        self, now: float, withheld: frozenset[int], trials: frozenset[int], opened: dict[float, set[int]]
    ) -> None:
        now_open = self.withheld - withheld
        if more := withheld - self.withheld:
            self._out.append(Withhold(more))
        for number in sorted(now_open & trials):
            self._reopen(frozenset((number,)), now - OWED_MS, owed=True)
        rest = now_open - trials
        for started_ms, numbers in sorted(opened.items(), reverse=True):
            if some := frozenset(numbers) & rest:
                self._reopen(some, started_ms)
                rest -= some
        if rest:
            self._reopen(rest, now)
        self.withheld = withheld

    def _reopen(self, upstreams: frozenset[int], started_ms: float, owed: bool = False) -> None:
        self._observations.reopened(upstreams, started_ms)
        self._out.append(Reopen(upstreams, started_ms, owed))

    def take_back(self, now: float) -> None:
        """What hangs where nothing answers is taken back, so that it can be sent elsewhere in time."""
        if self._observations.dark:
            self._out += [TakeBack(key) for key in self._observations.silent(now)]

    def dark(self) -> frozenset[int]:
        """Upstreams of what this balancer has left, no step yet taken back."""
        return frozenset(
            number
            for (mark, _), state in self._register.evacuations.items()
            if state.evacuation.step == 0
            and state.in_force
            and (area := self._topology.areas.get(mark)) is not None
            for number, place in self._topology.places.items()
            if place.zone in area.zones
        )
