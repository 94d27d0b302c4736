"""Derives the withheld upstreams from the evacuations in force and emits the changes as actions."""

from __future__ import annotations

from collections.abc import Iterable

from madderwind.standalone.evacuation.actions import Action, Reopen, TakeBack, Withhold
from madderwind.standalone.evacuation.areas import Area, EvacuationSettings, fraction
from madderwind.standalone.evacuation.messages import FULL_STEP, STEPS
from madderwind.standalone.evacuation.observations import Observations
from madderwind.standalone.evacuation.register import Register
from madderwind.standalone.evacuation.state import EvacuationState
from madderwind.standalone.evacuation.topology import Topology

# An upstream reopened for a trial counts as started this long ago: at this age it is owed an attempt at once.
TRIAL_UPSTREAM_AGE_MS = 4500.0


class Withholding:
    """`withheld`: the upstreams that receive no new requests."""

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

    def remove_unlisted(self) -> None:
        """Stop withholding upstreams that are no longer listed."""
        self.withheld &= frozenset(self._topology.places)

    def update(self, now: float) -> None:
        """Compute the withheld upstreams and emit the changes."""
        withheld, trials, returned_by_start = set[int](), set[int](), dict[float, set[int]]()
        for area, state in self._evacuations_in_force():
            step = state.effective_step(now)
            for upstream in self._affected_upstreams(area, state):
                if self._awaits_trial(state, upstream):
                    trials.add(upstream)
                elif step < FULL_STEP and self._is_beyond_step(state, upstream, STEPS[step]):
                    withheld.add(upstream)
                else:
                    returned_by_start.setdefault(state.returned_ms, set()).add(upstream)
        withheld -= trials
        self._apply_change(now, frozenset(withheld), frozenset(trials), returned_by_start)

    def _evacuations_in_force(self) -> Iterable[tuple[Area, EvacuationState]]:
        """The evacuations that this balancer applies.

        Guards against a network partition in which each side evacuated the other's zones: an evacuation that
        would exceed the withholding limit is skipped.
        """
        max_withheld = self._settings.most_withheld * self._topology.size()
        withheld_zones = set[str]()
        for (mark, _), state in self._register.evacuations.items():
            area = self._topology.areas.get(mark)
            if area is None or state.keeps_using:
                continue
            if state.is_evacuated and state.evacuation.part == 100:
                zones = withheld_zones | set(area.zones)
                state.exceeds_limit = self._topology.size(zones) > max_withheld
                if state.exceeds_limit:
                    continue
                withheld_zones = zones
            yield area, state

    def _affected_upstreams(self, area: Area, state: EvacuationState) -> Iterable[int]:
        """The area's upstreams that the evacuation covers, all or a part of them."""
        for upstream, place in self._topology.places.items():
            if place.zone in area.zones and fraction(place.mark, area.mark) < state.evacuation.part / 100:
                yield upstream

    def _awaits_trial(self, state: EvacuationState, upstream: int) -> bool:
        """Whether the upstream is open for a trial attempt that has not been sent yet."""
        return upstream == state.trial and not (
            self._may_probe or self._observations.is_in_flight(upstream, state.trial_ms)
        )

    def _is_beyond_step(self, state: EvacuationState, upstream: int, part: float) -> bool:
        """Whether the upstream is outside of the part that this balancer opens at a step.

        Each balancer opens different upstreams.
        """
        mark = self._topology.places[upstream].mark
        return fraction(mark, state.evacuation.episode, self._me + 1) >= part

    def _apply_change(
        self,
        now: float,
        withheld: frozenset[int],
        trials: frozenset[int],
        returned_by_start: dict[float, set[int]],
    ) -> None:
        no_longer_withheld = self.withheld - withheld
        if added := withheld - self.withheld:
            self._out.append(Withhold(added))
        for upstream in sorted(no_longer_withheld & trials):
            self._reopen(frozenset((upstream,)), now - TRIAL_UPSTREAM_AGE_MS, owed=True)
        remaining = no_longer_withheld - trials
        for started_ms, upstreams in sorted(returned_by_start.items(), reverse=True):
            if returned := frozenset(upstreams) & remaining:
                self._reopen(returned, started_ms)
                remaining -= returned
        if remaining:
            self._reopen(remaining, now)
        self.withheld = withheld

    def _reopen(self, upstreams: frozenset[int], started_ms: float, owed: bool = False) -> None:
        self._observations.record_reopened(upstreams, started_ms)
        self._out.append(Reopen(upstreams, started_ms, owed))

    def cancel_overdue_attempts(self, now: float) -> None:
        """Cancel attempts that hang at evacuated upstreams, so that they can be retried elsewhere in time."""
        if self._observations.evacuated_upstreams:
            self._out += [TakeBack(key) for key in self._observations.overdue_attempts(now)]

    def evacuated_upstreams(self) -> frozenset[int]:
        """Upstreams of areas that this balancer has evacuated, at step 0."""
        return frozenset(
            upstream
            for (mark, _), state in self._register.evacuations.items()
            if state.evacuation.step == 0
            and state.in_force
            and (area := self._topology.areas.get(mark)) is not None
            for upstream, place in self._topology.places.items()
            if place.zone in area.zones
        )
