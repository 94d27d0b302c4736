"""Decides what a balancer reports about zones, and when.

It reports zones that fail, zones that it reaches although others accuse them, and the state of evacuated
areas.
"""

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
from madderwind.standalone.evacuation.state import LOCAL_SCOPE, TRIAL_TIMEOUT_MS
from madderwind.standalone.evacuation.topology import Topology
from madderwind.standalone.evacuation.views import Views

# Minimum time between changed views, with and without a new failure, and between repeats of the same view.
BAD_VIEW_INTERVAL_MS, GOOD_VIEW_INTERVAL_MS, REPEAT_VIEW_INTERVAL_MS = 150.0, 400.0, 700.0


class Reporting:
    """Publishes this balancer's view; keeps the last published one."""

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
        self._published = dict[str, tuple[frozenset[int], frozenset[int], bool]]()
        self._published_ms = -math.inf
        self._published_failing = False

    def own(self, now: float) -> dict[str, ZoneObservation]:
        """Observations that this balancer may report.

        Guards against accusations by a balancer that is itself isolated: if no other zone answers it or all
        zones look bad, it accuses none.
        """
        observations, good = self._observations.by_zone(now), self._observations.responding_zones(now)
        bad = [zone for zone, observation in observations.items() if observation.share > 0.5]
        all_bad = len(bad) >= len(self._topology.ready)
        return {
            zone: observation
            for zone, observation in observations.items()
            if not observation.failing or (not all_bad and good - {zone} - set(bad))
        }

    def loopback_view(self, now: float, own: Mapping[str, ZoneObservation]) -> View:
        """This balancer's view as others would receive it, so that its own view has the same weight here."""
        rate = self._observations.attempt_rate(now)
        return messages.read_view(messages.write_view(now, self._roster.home_zone, rate, own, frozenset()))

    def publish(
        self, now: float, own: Mapping[str, ZoneObservation], partly_responding_zones: set[str]
    ) -> None:
        """Publish this balancer's view if it is due and can change another balancer's decision.

        `partly_responding_zones`: zones that may be slow rather than unreachable.
        """
        watched, coordinated, known_failing = self._zones_to_report(now)
        reported = self._relevant_observations(own, watched, known_failing, partly_responding_zones)
        reported |= dict.fromkeys(coordinated - reported.keys(), NOTHING)
        # Without the ages, which differ at each tick.
        content = {
            zone: (observation.failing, observation.responding, zone in coordinated)
            for zone, observation in reported.items()
        }
        bad = any(observation.failing for observation in reported.values())
        change_interval_ms = (
            BAD_VIEW_INTERVAL_MS if bad and not self._published_failing else GOOD_VIEW_INTERVAL_MS
        )
        repeat_interval_ms = GOOD_VIEW_INTERVAL_MS if coordinated else REPEAT_VIEW_INTERVAL_MS
        changed = content != self._published
        if now - self._published_ms >= (change_interval_ms if changed else repeat_interval_ms) and (
            changed or reported
        ):
            self._published, self._published_ms, self._published_failing = content, now, bad
            per_s = self._observations.attempt_rate(now) if reported else 0.0
            view = messages.write_view(now, self._roster.home_zone, per_s, reported, frozenset(coordinated))
            self._out.append(TellView(view))

    def _zones_to_report(self, now: float) -> tuple[set[str], set[str], set[str]]:
        """Evacuated zones: those that this balancer reports on, coordinates, and that are known to fail."""
        watched, coordinated, known_failing = set[str](), set[str](), set[str]()
        for (mark, scope), state in self._register.evacuations.items():
            area = self._topology.areas.get(mark)
            if area is None or not state.is_evacuated or scope == LOCAL_SCOPE:
                continue
            is_coordinator = self._roles.is_coordinator(now, area, state)
            coordinated |= set(area.zones) if is_coordinator else set()
            known_failing |= set(area.zones) if state.evacuation.step == 0 else set()
            tried_recently = now - state.last_trial_ms <= TRIAL_TIMEOUT_MS
            if is_coordinator or state.keeps_using or tried_recently or self._roles.is_reporter(area, state):
                watched |= set(area.zones)
        return watched, coordinated, known_failing

    def _relevant_observations(
        self,
        own: Mapping[str, ZoneObservation],
        watched: set[str],
        known_failing: set[str],
        partly_responding_zones: set[str],
    ) -> dict[str, ZoneObservation]:
        """Observations of watched zones, and those that can still change a decision."""
        living, peer_views = len(self._roster.living()), self._views.from_peers()
        return {
            zone: observation
            for zone, observation in own.items()
            if zone in watched
            or (zone not in known_failing and (observation.failing or zone in self._observations.accused_ms))
            and (
                zone in self._published
                or decision.report_is_needed(
                    zone, observation, peer_views, living, zone in partly_responding_zones
                )
            )
        }
