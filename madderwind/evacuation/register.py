"""The holds of all areas, of which the latest counts: taken from others, or changed here and told to all."""

from __future__ import annotations

from collections import Counter
from typing import Any

import msgspec

from madderwind.evacuation import words
from madderwind.evacuation.actions import Action, Say, TellHold
from madderwind.evacuation.areas import Area, zone_mark
from madderwind.evacuation.held import SELF, Held, Slot
from madderwind.evacuation.observations import Observations
from madderwind.evacuation.topology import Topology
from madderwind.evacuation.words import EVERYWHERE, FULL, STEPS, Hold, View


class Register:
    """`held` by area and scope; what has to be told and logged goes to `out`."""

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
        self.held: dict[Slot, Held] = {}
        self.why_not: dict[Slot, str] = {}  # why an area was not left, as logged last
        self._latest: dict[Slot, Hold] = {}  # also of holds that were forgotten: the next goes above them

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
        """A change of a hold, made by this balancer; `episode` 1 begins the next."""
        slot = area.mark, scope
        held = self.held.get(slot)
        before = held.hold if held is not None else self._latest.get(slot, Hold(*slot, 0, 0, FULL))
        hold = msgspec.structs.replace(
            before,
            episode=before.episode + episode,
            number=before.number + 1,
            step=step,
            by_hand=by_hand,
            **fields,
        )
        if by_hand:
            hold = msgspec.structs.replace(hold, part=100, witnesses=())
        self.knows(hold)
        self.take(now, area, hold, mine=True)
        if scope != SELF:
            self._out.append(TellHold(hold.order, words.write_hold(hold)))

    def knows(self, hold: Hold) -> None:
        """A hold that is somewhere, whether it is taken here or not."""
        slot = hold.area, hold.scope
        if slot not in self._latest or hold.order > self._latest[slot].order:
            self._latest[slot] = hold

    def take(self, now: float, area: Area, hold: Hold, mine: bool = False) -> None:
        """A hold, if it is later than the one known. `mine`: this balancer made it."""
        slot = hold.area, hold.scope
        held = self.held.get(slot)
        if held is not None and hold.order <= held.hold.order:
            return
        wider = self.held.get((hold.area, EVERYWHERE))
        if hold.scope != EVERYWHERE and wider is not None and wider.is_left:
            return  # all have left it: one return is enough
        before = held.hold if held is not None else None
        if held is None:
            held = self.held[slot] = Held(hold, now)
        else:
            held.takes(hold, now)
        new = before is None or before.episode != hold.episode
        if hold.step == FULL or hold.by_hand or mine:
            held.stays = False
        elif new and hold.step == 0:
            held.stays = self._observations.reaches(now, area)
        if new:
            held.next = held.bad_trials = 0
        if before is not None and before.step == hold.step and not new and before.by_hand == hold.by_hand:
            return  # renewed
        self.why_not.pop(slot, None)
        if hold.step == 0 and hold.scope == EVERYWHERE:
            for scope in (SELF, zone_mark(self._standing)):
                self.held.pop((hold.area, scope), None)
        self._note(area, held, new)

    def _note(self, area: Area, held: Held, new: bool) -> None:
        """Count and log a change."""
        hold = held.hold
        told = {"area": area.name, "scope": self._scope_name(hold.scope), "step": STEPS[hold.step]}
        told |= {"level": hold.level, "by_hand": hold.by_hand}
        if hold.step == 0:
            self._counts["left" if new else "relapsed"] += 1
            told |= {"witnesses": list(hold.witnesses), "part": hold.part, "stays": held.stays}
            self._out.append(Say("area_left" if new else "area_relapsed", told))
        elif hold.step == FULL:
            self._counts["returned"] += 1
            self._out.append(Say("area_returned", told))
        else:
            self._out.append(Say("area_step", told))

    def _scope_name(self, scope: int) -> str:
        return {EVERYWHERE: "all", SELF: "self"}.get(scope, self._standing)

    def forget(self) -> None:
        """No words for long: as a balancer does alone. What was left by hand stays left."""
        for slot, held in list(self.held.items()):
            if not held.hold.by_hand:
                del self.held[slot]
                if held.is_left:
                    self._counts["alone"] += 1
                    area = self._topology.areas.get(slot[0])
                    told = {"area": area.name if area else "", "why": "no words"}
                    self._out.append(Say("area_forgotten", told))

    def saw(self, now: float, copy: int, view: View) -> None:
        """What a balancer's view tells of the areas that are left."""
        for (mark, scope), held in self.held.items():
            if scope not in (EVERYWHERE, view.standing) and (scope != SELF or copy != self._me):
                continue  # what it reaches says nothing of what those of this scope reach
            if held.is_left and (area := self._topology.areas.get(mark)) is not None:
                for zone in area.zones:
                    word = view.zones.get(zone_mark(zone))
                    if word is not None:
                        held.saw(copy, word.bads, word.goods, now)

    def covers(self, slot: Slot, area: Area, scope: int) -> bool:
        """Whether that hold is of this area, or a region around it, for at least these balancers."""
        held = self._topology.areas.get(slot[0])
        return held is not None and set(area.zones) <= set(held.zones) and slot[1] in (EVERYWHERE, scope)

    def left_zones(self) -> set[str]:
        """Zones that this balancer does not use as it would."""
        held = ((self._topology.areas.get(mark), held) for (mark, _), held in self.held.items())
        return {zone for area, held in held if area is not None and held.in_force for zone in area.zones}

    def left(self) -> list[tuple[str, int]]:
        """Areas that this balancer has left, with their steps."""
        areas = self._topology.areas
        return sorted(
            (areas[mark].name, held.hold.step)
            for (mark, _), held in self.held.items()
            if held.is_left and not held.stays and mark in areas
        )
