"""Decides whether the fleet, the balancers of one zone, or this balancer alone start to evacuate an area."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping

from madderwind.standalone.evacuation import decision
from madderwind.standalone.evacuation.actions import Action, LogEvent
from madderwind.standalone.evacuation.areas import Area, zone_mark
from madderwind.standalone.evacuation.messages import FLEET_SCOPE, MAX_LEVEL
from madderwind.standalone.evacuation.observations import NOTHING, ZoneObservation
from madderwind.standalone.evacuation.register import Register
from madderwind.standalone.evacuation.roster import Roster
from madderwind.standalone.evacuation.state import LOCAL_SCOPE, Slot
from madderwind.standalone.evacuation.topology import Topology
from madderwind.standalone.evacuation.views import Views

OBJECTION_MS = 250.0  # time for balancers that reach the zone to object, from the second accuser on
PARTIAL_RESPONSE_WAIT_MS = 1500.0  # wait while some answers are good: the area may be slow like all others
# Wait if only the balancers of one zone, or this one, would evacuate: the whole fleet still may.
NARROW_SCOPE_WAIT_MS = 750.0
REPEAT_WINDOW_MS = 60_000.0  # an area that is evacuated again within this time rises one level
MIN_FAILING_LOCAL = 3  # failing upstreams needed to evacuate on local observation alone


class Initiation:
    """Starts evacuations.

    `partly_responding_zones`: zones that may be slow rather than unreachable, by the views of the last tick.
    """

    def __init__(
        self,
        roster: Roster,
        topology: Topology,
        views: Views,
        register: Register,
        counts: Counter[str],
        out: list[Action],
    ) -> None:
        self._roster, self._topology, self._views, self._register = roster, topology, views, register
        self._counts, self._out = counts, out
        self._pending: dict[Slot, float] = {}  # time since which an area has counted as failing
        self._fleet_reasons: dict[int, str] = {}  # by area: why the fleet does not evacuate it
        self.partly_responding_zones = set[str]()

    def decide(self, now: float, own: Mapping[str, ZoneObservation], withheld: frozenset[int]) -> None:
        """Check every area, regions first. `own`: the observations that this balancer may report."""
        for area in sorted(self._topology.areas.values(), key=lambda area: not area.region):
            for scope in (FLEET_SCOPE, zone_mark(self._roster.home_zone)):
                self._check_scope(now, area, scope, withheld)
            self._check_local(now, area, own, withheld)

    def _check_scope(self, now: float, area: Area, scope: int, withheld: frozenset[int]) -> None:
        """Check an area by the reported views, for the whole fleet or for the balancers of this zone."""
        slot = area.mark, scope
        if self._needs_no_check(area, scope):
            self._pending.pop(slot, None)
            return
        living = self._roster.in_scope(scope, len(self._topology.ready))
        evacuated_zones = self._register.evacuated_zones()
        evidence, why_not = decision.check_failure(
            area, scope, self._views.all(), living, self._topology.ready, evacuated_zones
        )
        if scope == FLEET_SCOPE:
            self._fleet_reasons[area.mark] = why_not
            if evidence.responds_partly:
                self.partly_responding_zones |= set(area.zones)
        if why_not == decision.ALL_ZONES_BAD or not evidence.is_accused:
            self._pending.pop(slot, None)
        else:
            self._pending.setdefault(slot, now)
        if why_not:
            if len(evidence.accusers) >= decision.quorum(living):
                self._record_not_evacuated(slot, area, why_not)
        elif now - self._pending.get(slot, now) >= self._wait_ms(scope, evidence):
            self._pending.pop(slot, None)
            self._start_evacuation(now, area, scope, evidence, withheld)

    def _needs_no_check(self, area: Area, scope: int) -> bool:
        """Whether the area is evacuated already or no upstream is reported as failing.

        For a narrower scope also whether the whole fleet may still evacuate the area.
        """
        evacuations = self._register.evacuations.items()
        if any(
            other.is_evacuated and self._register.covers(slot, area, scope) for slot, other in evacuations
        ):
            return True
        if not self._views.has_accusation():
            return True
        return scope != FLEET_SCOPE and self._fleet_reasons.get(area.mark) not in decision.OVERRULED_REASONS

    def _wait_ms(self, scope: int, evidence: decision.Evidence) -> float:
        wait_ms = OBJECTION_MS if scope == FLEET_SCOPE else NARROW_SCOPE_WAIT_MS
        return max(wait_ms, PARTIAL_RESPONSE_WAIT_MS) if evidence.responds_partly else wait_ms

    def _start_evacuation(
        self, now: float, area: Area, scope: int, evidence: decision.Evidence, withheld: frozenset[int]
    ) -> None:
        slot = area.mark, scope
        part = self._withheld_percent(area, evidence, withheld)
        if part <= 0:
            self._record_not_evacuated(slot, area, "most withheld")
            return
        state = self._register.evacuations.get(slot)
        is_repeat = state is not None and now - state.since_ms < REPEAT_WINDOW_MS
        level = min(MAX_LEVEL, state.evacuation.level + 1) if state is not None and is_repeat else 0
        witnesses = decision.select_witnesses(evidence.accusers)
        self._register.publish(
            now, area, scope, step=0, episode=1, level=level, part=part, witnesses=witnesses
        )

    def _withheld_percent(self, area: Area, evidence: decision.Evidence, withheld: frozenset[int]) -> int:
        """The percentage of the area to withhold.

        Guards against overloading the other areas: one that still responds is evacuated only as far as they
        can absorb its load. One that is unreachable serves nothing, whatever is sent to it.
        """
        part = self._topology.max_withheld_percent(area, withheld)
        if evidence.responds_partly:
            part = min(part, self._topology.absorbable_percent(area, self._roster.carried_per_s()))
        return part

    def _record_not_evacuated(self, slot: Slot, area: Area, why: str) -> None:
        if self._register.why_not.get(slot) != why:
            self._register.why_not[slot] = why
            self._counts["not_left"] += 1
            self._log("area_not_left", {"area": area.name, "why": why})

    def _log(self, event: str, fields: dict[str, str]) -> None:
        self._out.append(LogEvent(event, dict(fields)))

    def _check_local(
        self, now: float, area: Area, own: Mapping[str, ZoneObservation], withheld: frozenset[int]
    ) -> None:
        """Check a zone by this balancer's own observations, for when the others reach it or report nothing.

        Enough of its upstreams have to fail for this balancer, none may answer, and one elsewhere has to.
        """
        evacuations = self._register.evacuations.items()
        if area.region or any(
            other.is_evacuated and self._register.covers(slot, area, slot[1]) for slot, other in evacuations
        ):
            return
        observation = own.get(area.name, NOTHING)
        required = decision.upstreams_needed(self._topology.ready.get(area.name, 0))
        slot = area.mark, LOCAL_SCOPE
        if observation.responding or len(observation.failing) < max(MIN_FAILING_LOCAL, required):
            self._pending.pop(slot, None)
            return
        has_waited = now - self._pending.setdefault(slot, now) >= NARROW_SCOPE_WAIT_MS
        if has_waited and self._topology.max_withheld_percent(area, withheld) == 100:
            self._register.publish(now, area, LOCAL_SCOPE, step=0, episode=1, witnesses=(self._roster.me,))
