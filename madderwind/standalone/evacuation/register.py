"""Evacuations of all areas, of which the latest counts: taken from others, or made here and told to all."""

from __future__ import annotations

from collections import Counter
from typing import Any

import msgspec

from madderwind.standalone.evacuation import messages
from madderwind.standalone.evacuation.actions import Action, LogEvent, TellEvacuation
from madderwind.standalone.evacuation.areas import Area, zone_mark
from madderwind.standalone.evacuation.messages import EVERYWHERE, FULL, STEPS, Evacuation, View
from madderwind.standalone.evacuation.observations import Observations
from madderwind.standalone.evacuation.state import SELF, EvacuationState, Slot
from madderwind.standalone.evacuation.topology import Topology


class Register:
    """`evacuations` by area and scope; what has to be told and logged goes to `out`."""

    def __init__(
        self,
        me: int,
        standing: str,
        topology: Topology,
        observations: Observations,
        counts: Counter[str],
        out: list[Action],
    ) -> None:
        self._me, self._standing, self._topology, self._observations = me, standing, topology, observations
        self._counts, self._out = counts, out
        self.evacuations: dict[Slot, EvacuationState] = {}
        self.why_not: dict[Slot, str] = {}  # why an area was not left, as logged last
        self._latest: dict[
            Slot, Evacuation
        ] = {}  # also of evacuations that were forgotten: the next goes above them

    def publish(
        self,
        now: float,
        area: Area,
        scope: int,
        step: int,
        episode: int = 0,
        by_hand: bool = False,
        **fields: Any,
    ) -> None:
        """A change of an evacuation, made by this balancer; `episode` 1 begins the next."""
        slot = area.mark, scope
        state = self.evacuations.get(slot)
        before = (
            state.evacuation if state is not None else self._latest.get(slot, Evacuation(*slot, 0, 0, FULL))
        )
        evacuation = msgspec.structs.replace(
            before,
            episode=before.episode + episode,
            number=before.number + 1,
            step=step,
            by_hand=by_hand,
            **fields,
        )
        if by_hand:
            evacuation = msgspec.structs.replace(evacuation, part=100, witnesses=())
        self.knows(evacuation)
        self.take(now, area, evacuation, mine=True)
        if scope != SELF:
            self._out.append(TellEvacuation(evacuation.order, messages.write_evacuation(evacuation)))

    def knows(self, evacuation: Evacuation) -> None:
        """An evacuation that is somewhere, whether it is taken here or not."""
        slot = evacuation.area, evacuation.scope
        if slot not in self._latest or evacuation.order > self._latest[slot].order:
            self._latest[slot] = evacuation

    def take(self, now: float, area: Area, evacuation: Evacuation, mine: bool = False) -> None:
        """An evacuation, if it is later than the one known. `mine`: this balancer made it."""
        slot = evacuation.area, evacuation.scope
        state = self.evacuations.get(slot)
        if state is not None and evacuation.order <= state.evacuation.order:
            return
        wider = self.evacuations.get((evacuation.area, EVERYWHERE))
        if evacuation.scope != EVERYWHERE and wider is not None and wider.is_left:
            return  # all have left it: one return is enough
        before = state.evacuation if state is not None else None
        if state is None:
            state = self.evacuations[slot] = EvacuationState(evacuation, now)
        else:
            state.takes(evacuation, now)
        new = before is None or before.episode != evacuation.episode
        if evacuation.step == FULL or evacuation.by_hand or mine:
            state.stays = False
        elif new and evacuation.step == 0:
            state.stays = self._observations.reaches(now, area)
        if new:
            state.next = state.bad_trials = 0
        if (
            before is not None
            and before.step == evacuation.step
            and not new
            and before.by_hand == evacuation.by_hand
        ):
            return  # renewed
        self.why_not.pop(slot, None)
        if evacuation.step == 0 and evacuation.scope == EVERYWHERE:
            for scope in (SELF, zone_mark(self._standing)):
                self.evacuations.pop((evacuation.area, scope), None)
        self._note(area, state, new)

    def _note(self, area: Area, state: EvacuationState, new: bool) -> None:
        """Count and log a change."""
        evacuation = state.evacuation
        told = {
            "area": area.name,
            "scope": self._scope_name(evacuation.scope),
            "step": STEPS[evacuation.step],
        }
        told |= {"level": evacuation.level, "by_hand": evacuation.by_hand}
        if evacuation.step == 0:
            self._counts["left" if new else "relapsed"] += 1
            told |= {"witnesses": list(evacuation.witnesses), "part": evacuation.part, "stays": state.stays}
            if new:
                self._log("area_left", told)
            else:
                self._log("area_relapsed", told)
        elif evacuation.step == FULL:
            self._counts["returned"] += 1
            self._log("area_returned", told)
        else:
            self._log("area_step", told)

    def _log(self, event: str, fields: dict[str, Any]) -> None:
        self._out.append(LogEvent(event, fields))

    def _scope_name(self, scope: int) -> str:
        return {EVERYWHERE: "all", SELF: "self"}.get(scope, self._standing)

    def forget(self) -> None:
        """No messages for long: as a balancer does alone. What was left by hand stays left."""
        for slot, state in list(self.evacuations.items()):
            if not state.evacuation.by_hand:
                del self.evacuations[slot]
                if state.is_left:
                    self._counts["alone"] += 1
                    area = self._topology.areas.get(slot[0])
                    told = {"area": area.name if area else "", "why": "no words"}
                    self._log("area_forgotten", told)

    def saw(self, now: float, copy: int, view: View) -> None:
        """What a balancer's view tells of the areas that are left."""
        for (mark, scope), state in self.evacuations.items():
            if scope not in (EVERYWHERE, view.standing) and (scope != SELF or copy != self._me):
                continue  # what it reaches says nothing of what those of this scope reach
            if state.is_left and (area := self._topology.areas.get(mark)) is not None:
                for zone in area.zones:
                    report = view.zones.get(zone_mark(zone))
                    if report is not None:
                        state.saw(copy, report.bads, report.goods, now)

    def covers(self, slot: Slot, area: Area, scope: int) -> bool:
        """Whether that evacuation is of this area, or a region around it, for at least these balancers."""
        state = self._topology.areas.get(slot[0])
        return state is not None and set(area.zones) <= set(state.zones) and slot[1] in (EVERYWHERE, scope)

    def left_zones(self) -> set[str]:
        """Zones that this balancer does not use as it would."""
        state = ((self._topology.areas.get(mark), state) for (mark, _), state in self.evacuations.items())
        return {zone for area, state in state if area is not None and state.in_force for zone in area.zones}

    def left(self) -> list[tuple[str, int]]:
        """Areas that this balancer has left, with their steps."""
        areas = self._topology.areas
        return sorted(
            (areas[mark].name, state.evacuation.step)
            for (mark, _), state in self.evacuations.items()
            if state.is_left and not state.stays and mark in areas
        )
