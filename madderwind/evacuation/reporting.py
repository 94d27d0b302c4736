"""What a balancer says of zones, and when: what it accuses, what others accuse and it reaches, and how it
goes where an area is left."""

from __future__ import annotations

import math
from collections.abc import Mapping

from madderwind.evacuation import verdict, words
from madderwind.evacuation.actions import Action, TellView
from madderwind.evacuation.held import SELF, TRY_MS
from madderwind.evacuation.observations import NOTHING, Observations, ZoneObservation
from madderwind.evacuation.register import Register
from madderwind.evacuation.roles import Roles
from madderwind.evacuation.roster import Roster
from madderwind.evacuation.topology import Topology
from madderwind.evacuation.views import Views
from madderwind.evacuation.words import View

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
        return words.read_view(words.write_view(now, self._roster.standing, rate, own, frozenset()))

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
            view = words.write_view(now, self._roster.standing, per_s, said, frozenset(scouted))
            self._out.append(TellView(view))

    def _watched(self, now: float) -> tuple[set[str], set[str], set[str]]:
        """Zones of which this balancer tells how it goes; that it scouts; and that all know to fail."""
        watched, scouted, known = set[str](), set[str](), set[str]()
        for (mark, scope), held in self._register.held.items():
            area = self._topology.areas.get(mark)
            if area is None or not held.is_left or scope == SELF:
                continue
            scouts = self._roles.scouts(now, area, held)
            scouted |= set(area.zones) if scouts else set()
            known |= set(area.zones) if held.hold.step == 0 else set()
            tried = now - held.tried_ms <= TRY_MS
            if scouts or held.stays or tried or self._roles.reports(area, held):
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
            and (zone in self._told or verdict.needed(zone, observation, others, living, zone in doubted))
        }
