"""Whether the fleet, the balancers of one zone, or this balancer alone, leave an area now."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping

from madderwind.standalone.evacuation import decision
from madderwind.standalone.evacuation.actions import Action, LogEvent
from madderwind.standalone.evacuation.areas import Area, zone_mark
from madderwind.standalone.evacuation.messages import EVERYWHERE, MOST_LEVEL
from madderwind.standalone.evacuation.observations import NOTHING, ZoneObservation
from madderwind.standalone.evacuation.register import Register
from madderwind.standalone.evacuation.roster import Roster
from madderwind.standalone.evacuation.state import SELF, Slot
from madderwind.standalone.evacuation.topology import Topology
from madderwind.standalone.evacuation.views import Views

OBJECT_MS = 250.0  # from the second accuser on, those who reach the zone have so long to say so
DOUBT_MS = 1500.0  # as long as some answers of it are good: it may be slow as all else is
NARROW_MS = 750.0  # and so long where only the balancers that stand in one zone would leave: all may yet
AGAIN_WITHIN_MS = 60_000.0  # left again so soon after its return: a level up
LEAST_BADS_ALONE = 3  # upstreams that have to fail a balancer that leaves on its own observation


class Initiation:
    """`doubted`: zones that may be slow rather than gone, by the last tick's views."""

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
        self._pending: dict[Slot, float] = {}  # since when it stands that an area fails
        self._why_not: dict[int, str] = {}  # areas that not all leave
        self.doubted = set[str]()

    def decide(self, now: float, own: Mapping[str, ZoneObservation], withheld: frozenset[int]) -> None:
        """One look at every area, regions first. `own`: what this balancer itself may say."""
        for area in sorted(self._topology.areas.values(), key=lambda area: not area.region):
            for scope in (EVERYWHERE, zone_mark(self._roster.standing)):
                self._judge(now, area, scope, withheld)
            self._judge_alone(now, area, own, withheld)

    def _judge(self, now: float, area: Area, scope: int, withheld: frozenset[int]) -> None:
        """By what balancers said, for all or for those that stand where this one stands."""
        slot = area.mark, scope
        if self._may_not_fail(area, scope):
            self._pending.pop(slot, None)
            return
        living = self._roster.in_scope(scope, len(self._topology.ready))
        left = self._register.left_zones()
        seen, why_not = decision.fails(area, scope, self._views.all(), living, self._topology.ready, left)
        if scope == EVERYWHERE:
            self._why_not[area.mark] = why_not
            if seen.doubt:
                self.doubted |= set(area.zones)
        if why_not == decision.ALL_BAD or not seen.stands:
            self._pending.pop(slot, None)
        else:
            self._pending.setdefault(slot, now)
        if why_not:
            if len(seen.copies) >= decision.quorum(living):
                self._not_left(slot, area, why_not)
        elif now - self._pending.get(slot, now) >= self._wait_ms(scope, seen):
            self._pending.pop(slot, None)
            self._leave(now, area, scope, seen, withheld)

    def _may_not_fail(self, area: Area, scope: int) -> bool:
        """Where it is left already, nobody accuses anything, or all may leave it yet."""
        state = self._register.evacuations.items()
        if any(one.is_left and self._register.covers(slot, area, scope) for slot, one in state):
            return True
        if not self._views.any_bad():
            return True
        return scope != EVERYWHERE and self._why_not.get(area.mark) not in decision.SPOKEN_AGAINST

    def _wait_ms(self, scope: int, seen: decision.Evidence) -> float:
        wait_ms = OBJECT_MS if scope == EVERYWHERE else NARROW_MS
        return max(wait_ms, DOUBT_MS) if seen.doubt else wait_ms

    def _leave(
        self, now: float, area: Area, scope: int, seen: decision.Evidence, withheld: frozenset[int]
    ) -> None:
        slot = area.mark, scope
        part = self._part(area, seen, withheld)
        if part <= 0:
            self._not_left(slot, area, "most withheld")
            return
        state = self._register.evacuations.get(slot)
        again = state is not None and now - state.since_ms < AGAIN_WITHIN_MS
        level = min(MOST_LEVEL, state.evacuation.level + 1) if state is not None and again else 0
        told = decision.witnesses(seen.copies)
        self._register.publish(now, area, scope, step=0, episode=1, level=level, part=part, witnesses=told)

    def _part(self, area: Area, seen: decision.Evidence, withheld: frozenset[int]) -> int:
        """Guards against crushing the rest: an area that still serves is left only as far as the others can
        carry what comes. One that is dead carries nothing, whatever is left to it."""
        part = self._topology.most_part(area, withheld)
        if seen.doubt:
            part = min(part, self._topology.bearable_part(area, self._roster.carried_per_s()))
        return part

    def _not_left(self, slot: Slot, area: Area, why: str) -> None:
        if self._register.why_not.get(slot) != why:
            self._register.why_not[slot] = why
            self._counts["not_left"] += 1
            self._log("area_not_left", {"area": area.name, "why": why})

    def _log(self, event: str, fields: dict[str, str]) -> None:
        self._out.append(LogEvent(event, dict(fields)))

    def _judge_alone(
        self, now: float, area: Area, own: Mapping[str, ZoneObservation], withheld: frozenset[int]
    ) -> None:
        """On its own observation, where the others reach the area or say nothing: half of its upstreams
        failed this balancer, none answered, and something else did."""
        state = self._register.evacuations.items()
        if area.region or any(
            one.is_left and self._register.covers(slot, area, slot[1]) for slot, one in state
        ):
            return
        observation = own.get(area.name, NOTHING)
        needed = decision.upstreams_needed(self._topology.ready.get(area.name, 0))
        slot = area.mark, SELF
        if observation.goods or len(observation.bads) < max(LEAST_BADS_ALONE, needed):
            self._pending.pop(slot, None)
            return
        waited = now - self._pending.setdefault(slot, now) >= NARROW_MS
        if waited and self._topology.most_part(area, withheld) == 100:
            self._register.publish(now, area, SELF, step=0, episode=1, witnesses=(self._roster.me,))
