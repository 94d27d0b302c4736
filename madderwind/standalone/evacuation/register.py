"""The latest state of each evacuation, received from other balancers or made here and broadcast."""

from __future__ import annotations

from collections import Counter
from typing import Any

import msgspec

from madderwind.standalone.evacuation import messages
from madderwind.standalone.evacuation.actions import Action, LogEvent, TellEvacuation
from madderwind.standalone.evacuation.areas import Area, zone_mark
from madderwind.standalone.evacuation.messages import FLEET_SCOPE, FULL_STEP, STEPS, Evacuation, View
from madderwind.standalone.evacuation.observations import Observations
from madderwind.standalone.evacuation.state import LOCAL_SCOPE, EvacuationState, Slot
from madderwind.standalone.evacuation.topology import Topology


class Register:
    """Last-writer-wins register of `evacuations` by area and scope.

    Messages and log events are appended to `out`.
    """

    def __init__(
        self,
        me: int,
        home_zone: str,
        topology: Topology,
        observations: Observations,
        counts: Counter[str],
        out: list[Action],
    ) -> None:
        self._me, self._home_zone, self._topology, self._observations = me, home_zone, topology, observations
        self._counts, self._out = counts, out
        self.evacuations: dict[Slot, EvacuationState] = {}
        self.why_not: dict[Slot, str] = {}  # reason last logged for not evacuating an area
        # Includes forgotten evacuations: the next order has to exceed theirs.
        self._latest: dict[Slot, Evacuation] = {}

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
        """Change or renew an evacuation and broadcast it unless its scope is local.

        `episode` 1 begins the next episode.
        """
        slot = area.mark, scope
        state = self.evacuations.get(slot)
        previous = (
            state.evacuation
            if state is not None
            else self._latest.get(slot, Evacuation(*slot, 0, 0, FULL_STEP))
        )
        evacuation = msgspec.structs.replace(
            previous,
            episode=previous.episode + episode,
            number=previous.number + 1,
            step=step,
            by_hand=by_hand,
            **fields,
        )
        if by_hand:
            evacuation = msgspec.structs.replace(evacuation, part=100, witnesses=())
        self.remember(evacuation)
        self.apply(now, area, evacuation, made_here=True)
        if scope != LOCAL_SCOPE:
            self._out.append(TellEvacuation(evacuation.order, messages.write_evacuation(evacuation)))

    def remember(self, evacuation: Evacuation) -> None:
        """Remember an evacuation as published, whether or not it is applied here."""
        slot = evacuation.area, evacuation.scope
        if slot not in self._latest or evacuation.order > self._latest[slot].order:
            self._latest[slot] = evacuation

    def apply(self, now: float, area: Area, evacuation: Evacuation, made_here: bool = False) -> None:
        """Apply an evacuation if it is later than the known one. `made_here`: this balancer made it."""
        slot = evacuation.area, evacuation.scope
        state = self.evacuations.get(slot)
        if state is not None and evacuation.order <= state.evacuation.order:
            return
        wider = self.evacuations.get((evacuation.area, FLEET_SCOPE))
        if evacuation.scope != FLEET_SCOPE and wider is not None and wider.is_evacuated:
            return  # the whole fleet has evacuated the area: one return is enough
        previous = state.evacuation if state is not None else None
        if state is None:
            state = self.evacuations[slot] = EvacuationState(evacuation, now)
        else:
            state.update(evacuation, now)
        is_new_episode = previous is None or previous.episode != evacuation.episode
        if evacuation.step == FULL_STEP or evacuation.by_hand or made_here:
            state.keeps_using = False
        elif is_new_episode and evacuation.step == 0:
            state.keeps_using = self._observations.reaches(now, area)
        if is_new_episode:
            state.next_trial_index = state.bad_trials = 0
        if (
            previous is not None
            and previous.step == evacuation.step
            and not is_new_episode
            and previous.by_hand == evacuation.by_hand
        ):
            return  # renewed
        self.why_not.pop(slot, None)
        if evacuation.step == 0 and evacuation.scope == FLEET_SCOPE:
            for scope in (LOCAL_SCOPE, zone_mark(self._home_zone)):
                self.evacuations.pop((evacuation.area, scope), None)
        self._record_change(area, state, is_new_episode)

    def _record_change(self, area: Area, state: EvacuationState, is_new_episode: bool) -> None:
        """Count and log a change."""
        evacuation = state.evacuation
        fields = {
            "area": area.name,
            "scope": self._scope_name(evacuation.scope),
            "step": STEPS[evacuation.step],
        }
        fields |= {"level": evacuation.level, "by_hand": evacuation.by_hand}
        if evacuation.step == 0:
            self._counts["left" if is_new_episode else "relapsed"] += 1
            fields |= {
                "witnesses": list(evacuation.witnesses),
                "part": evacuation.part,
                "stays": state.keeps_using,
            }
            if is_new_episode:
                self._log("area_left", fields)
            else:
                self._log("area_relapsed", fields)
        elif evacuation.step == FULL_STEP:
            self._counts["returned"] += 1
            self._log("area_returned", fields)
        else:
            self._log("area_step", fields)

    def _log(self, event: str, fields: dict[str, Any]) -> None:
        self._out.append(LogEvent(event, fields))

    def _scope_name(self, scope: int) -> str:
        return {FLEET_SCOPE: "all", LOCAL_SCOPE: "self"}.get(scope, self._home_zone)

    def forget(self) -> None:
        """Drop evacuations after a long time without messages, except those requested by an operator."""
        for slot, state in list(self.evacuations.items()):
            if not state.evacuation.by_hand:
                del self.evacuations[slot]
                if state.is_evacuated:
                    self._counts["alone"] += 1
                    area = self._topology.areas.get(slot[0])
                    fields = {"area": area.name if area else "", "why": "no words"}
                    self._log("area_forgotten", fields)

    def record_view(self, now: float, balancer: int, view: View) -> None:
        """Record what a balancer's view reports about evacuated areas."""
        for (mark, scope), state in self.evacuations.items():
            if scope not in (FLEET_SCOPE, view.home_zone) and (scope != LOCAL_SCOPE or balancer != self._me):
                continue  # the balancer is outside of the scope, whose members may reach other upstreams
            if state.is_evacuated and (area := self._topology.areas.get(mark)) is not None:
                for zone in area.zones:
                    report = view.zones.get(zone_mark(zone))
                    if report is not None:
                        state.record_view(balancer, report.failing, report.responding, now)

    def covers(self, slot: Slot, area: Area, scope: int) -> bool:
        """Whether the evacuation in the slot includes this area and at least the balancers of the scope."""
        evacuated_area = self._topology.areas.get(slot[0])
        return (
            evacuated_area is not None
            and set(area.zones) <= set(evacuated_area.zones)
            and slot[1] in (FLEET_SCOPE, scope)
        )

    def evacuated_zones(self) -> set[str]:
        """Zones that this balancer avoids, in whole or in part."""
        evacuations = (
            (self._topology.areas.get(mark), state) for (mark, _), state in self.evacuations.items()
        )
        return {
            zone for area, state in evacuations if area is not None and state.in_force for zone in area.zones
        }

    def evacuated_areas(self) -> list[tuple[str, int]]:
        """Areas that this balancer has evacuated, with their steps."""
        areas = self._topology.areas
        return sorted(
            (areas[mark].name, state.evacuation.step)
            for (mark, _), state in self.evacuations.items()
            if state.is_evacuated and not state.keeps_using and mark in areas
        )
