"""What a balancer says of zones, and when: what it accuses, what others accuse and it reaches, and how it
goes where an area is left."""

from __future__ import annotations

import math
from collections.abc import Mapping

from madderwind.standalone.evacuation import decision, messages
from madderwind.standalone.evacuation.actions import Action, TellView
from madderwind.standalone.evacuation.messages import View
from madderwind.standalone.evacuation.observations import NOTHING, Observations, ZoneObservation
from madderwind.standalone.evacuation.register import Register
from madderwind.standalone.evacuation.roles import Roles
from madderwind.standalone.evacuation.roster import Roster
from madderwind.standalone.evacuation.state import SELF, TRY_MS
from madderwind.standalone.evacuation.topology import Topology
from madderwind.standalone.evacuation.views import Views

BAD_EACH_MS, GOOD_EACH_MS, AGAIN_MS = 150.0, 400.0, 700.0  # views are told no sooner, and so often


class Reporting:
    """This balancer's view, as it was told last."""

    def __init__(
        self,
        roster: Roster,
        topology: Topology,
        observations: Observations,
        views: Views,
        register: Register,
        roles: Roles,
        out: list[Action],
    ) -> None:
        self._roster, self._topology, self._observations = roster, topology, observations
        self._views, self._register, self._roles, self._out = views, register, roles, out
        self._told = dict[str, tuple[frozenset[int], frozenset[int], bool]]()
        self._told_ms = -math.inf
        self._told_bad = False

    def own(self, now: float) -> dict[str, ZoneObservation]:
        """What this balancer may say. Guards against one that is itself cut off: where nothing answers it, or
        all zones look bad, it accuses none."""
        observations, good = self._observations.of_zones(now), self._observations.good_zones(now)
        bad = [zone for zone, observation in observations.items() if observation.share > 0.5]
        all_bad = len(bad) >= len(self._topology.ready)
        return {
            zone: observation
            for zone, observation in observations.items()
            if not observation.bads or (not all_bad and good - {zone} - set(bad))
        }

    def view_of(self, now: float, own: Mapping[str, ZoneObservation]) -> View:
        """As others would hear it: this balancer counts for itself with no more than they count it for."""
        rate = self._observations.rate(now)
        return messages.read_view(messages.write_view(now, self._roster.standing, rate, own, frozenset()))

    def tell(self, now: float, own: Mapping[str, ZoneObservation], doubted: set[str]) -> None:
        """This balancer's view, where it matters to others and is due. `doubted`: zones that may be slow, not
        gone."""
        watched, scouted, known = self._watched(now)
        said = self._worth_saying(own, watched, known, doubted)
        said |= dict.fromkeys(scouted - said.keys(), NOTHING)
        # Without the ages, which change each time.
        what = {
            zone: (observation.bads, observation.goods, zone in scouted) for zone, observation in said.items()
        }
        bad = any(observation.bads for observation in said.values())
        each_ms = BAD_EACH_MS if bad and not self._told_bad else GOOD_EACH_MS
        again_ms = GOOD_EACH_MS if scouted else AGAIN_MS
        changed = what != self._told
        if now - self._told_ms >= (each_ms if changed else again_ms) and (changed or said):
            self._told, self._told_ms, self._told_bad = what, now, bad
            per_s = self._observations.rate(now) if said else 0.0
            view = messages.write_view(now, self._roster.standing, per_s, said, frozenset(scouted))
            self._out.append(TellView(view))

    def _watched(self, now: float) -> tuple[set[str], set[str], set[str]]:
        """Zones of which this balancer tells how it goes; that it scouts; and that all know to fail."""
        watched, scouted, known = set[str](), set[str](), set[str]()
        for (mark, scope), state in self._register.evacuations.items():
            area = self._topology.areas.get(mark)
            if area is None or not state.is_left or scope == SELF:
                continue
            scouts = self._roles.scouts(now, area, state)
            scouted |= set(area.zones) if scouts else set()
            known |= set(area.zones) if state.evacuation.step == 0 else set()
            tried = now - state.tried_ms <= TRY_MS
            if scouts or state.stays or tried or self._roles.reports(area, state):
                watched |= set(area.zones)
        return watched, scouted, known

    def _worth_saying(
        self, own: Mapping[str, ZoneObservation], watched: set[str], known: set[str], doubted: set[str]
    ) -> dict[str, ZoneObservation]:
        """What is watched, and what can still change what others do."""
        living, others = len(self._roster.living()), self._views.of_others()
        return {
            zone: observation
            for zone, observation in own.items()
            if zone in watched
            or (zone not in known and (observation.bads or zone in self._observations.accused_ms))
            and (zone in self._told or decision.needed(zone, observation, others, living, zone in doubted))
        }
