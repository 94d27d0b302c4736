"""One balancer's part in evacuations: observations, its own and received ones, decide what it withholds.

`tick`, `listed`, `heard_evacuation`, `evacuate` and `return_to` return actions in the order in which they
have to be carried out. The time is passed to each call. Choices that all balancers have to make alike are
hashes of marks and numbers that are the same at all of them.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable, Mapping

from madderwind.standalone.evacuation import decision, messages
from madderwind.standalone.evacuation.actions import Action
from madderwind.standalone.evacuation.areas import EvacuationSettings, Place, zone_mark
from madderwind.standalone.evacuation.initiation import Initiation
from madderwind.standalone.evacuation.messages import FLEET_SCOPE, Evacuation, MalformedMessage
from madderwind.standalone.evacuation.observations import Observations, ZoneObservation
from madderwind.standalone.evacuation.recovery import Recovery
from madderwind.standalone.evacuation.register import Register
from madderwind.standalone.evacuation.reporting import Reporting
from madderwind.standalone.evacuation.roles import Roles
from madderwind.standalone.evacuation.roster import Roster
from madderwind.standalone.evacuation.topology import Topology
from madderwind.standalone.evacuation.views import Views
from madderwind.standalone.evacuation.withholding import Withholding

TICK_MS = 100.0
STALL_MS = 1000.0  # a tick that is this late shows that the process was suspended


class ZoneEvacuation:
    """Coordinates evacuations at one balancer.

    `living` returns the balancers not considered dead, including this one; `able` those of them that receive
    requests; `carried_per_s` the requests a second of all of them together, as far as known.
    """

    def __init__(
        self,
        me: int,
        home_zone: str,
        settings: EvacuationSettings,
        living: Callable[[], list[int]],
        warm_after_ms: float = 0.0,
        may_probe: bool = False,
        carried_per_s: Callable[[], float] = float,
        able: Callable[[], list[int]] | None = None,
    ) -> None:
        self._settings = settings
        self._roster = roster = Roster(me, home_zone, living, able or living, carried_per_s)
        self.observations, self.counts = Observations(warm_after_ms), Counter[str]()
        self._out: list[Action] = []
        self._last_ms = -math.inf
        self._topology = topology = Topology(settings)
        self._views = views = Views(me)
        observations, counts, out = self.observations, self.counts, self._out
        self._register = register = Register(me, home_zone, topology, observations, counts, out)
        self._roles = roles = Roles(roster, views)
        self._reporting = Reporting(roster, topology, observations, views, register, roles, out)
        self._initiation = Initiation(roster, topology, views, register, counts, out)
        self._recovery = Recovery(me, may_probe, topology, observations, register, roles, counts, out)
        self._withholding = Withholding(me, may_probe, settings, topology, observations, register, out)

    def listed(self, now: float, places: Mapping[int, Place]) -> list[Action]:
        """Set the upstreams that are ready by discovery and not suspended."""
        self.observations.listed(places)
        self._topology.listed(places, {mark for mark, _ in self._register.evacuations})
        self._withholding.remove_unlisted()
        self._withholding.update(now)
        return self._drain_actions()

    def tick(self, now: float) -> list[Action]:
        """Observe, decide and update; to be called every `TICK_MS`."""
        isolated = self._begin_tick(now)
        own = self._observe(now)
        self._reporting.publish(now, own, self._initiation.partly_responding_zones)
        self._initiation.partly_responding_zones.clear()
        if not isolated:
            self._initiation.decide(now, own, self.withheld)
        self._recovery.advance(now, own, self.withheld)
        self._withholding.update(now)
        self._withholding.cancel_overdue_attempts(now)
        return self._drain_actions()

    def heard_message(self, now: float) -> None:
        """Record that a message of any kind arrived from another balancer."""
        self._views.last_message_ms = now

    def heard_view(self, now: float, balancer: int, payload: bytes) -> None:
        """Record another balancer's view. A malformed message is counted and ignored."""
        try:
            view = messages.read_view(payload)
        except MalformedMessage:
            self.counts["odd"] += 1
            return
        self._record_view(now, balancer, view)

    def heard_evacuation(self, now: float, order: tuple[int, int], payload: bytes) -> list[Action]:
        """Apply an evacuation's state, sent by any balancer. A malformed message is counted and ignored."""
        try:
            evacuation = messages.read_evacuation(order, payload)
        except MalformedMessage:
            self.counts["odd"] += 1
            return []
        area = self._topology.areas.get(evacuation.area)
        if area is None:
            # The sender has other regions in its settings or other zones in its list.
            self.counts["unknown_area"] += 1
        elif evacuation.scope in (FLEET_SCOPE, zone_mark(self._roster.home_zone)):
            self._register.remember(evacuation)
            if self._has_quorum(evacuation):
                self._register.apply(now, area, evacuation)
                self._withholding.update(now)
            else:
                self.counts["unfounded"] += 1
        return self._drain_actions()

    def evacuate(self, now: float, name: str) -> tuple[list[Action], str]:
        """Evacuate an area at an operator's request, until an operator returns it to service.

        Also returns the reason if the request is refused, else "".
        """
        area = self._topology.find(name)
        if area is None:
            return [], f"no zone or region is named {name}"
        if self._topology.max_withheld_percent(area, self.withheld) < 100:
            return [], f"more than {self._settings.most_withheld:g} of the upstreams would be withheld"
        self._register.publish(now, area, FLEET_SCOPE, step=0, by_hand=True, episode=1)
        self._withholding.update(now)
        return self._drain_actions(), ""

    def return_to(self, now: float, name: str) -> tuple[list[Action], str]:
        """Start the stepwise return of an area at an operator's request, whoever evacuated it."""
        area = self._topology.find(name)
        evacuations = self._register.evacuations.items()
        scopes = [
            left_scope
            for (mark, left_scope), state in evacuations
            if area is not None and mark == area.mark and state.is_evacuated
        ]
        if area is None or not scopes:
            return [], f"{name} is not left"
        for scope in scopes:  # a new episode, as a coordinator may renew the old one at the same time
            self._register.publish(now, area, scope, step=1, episode=1)
        self._withholding.update(now)
        return self._drain_actions(), ""

    @property
    def withheld(self) -> frozenset[int]:
        """Upstreams that receive no new requests."""
        return self._withholding.withheld

    def left(self) -> list[tuple[str, int]]:
        """Areas that this balancer has evacuated, with their steps."""
        return self._register.evacuated_areas()

    def _drain_actions(self) -> list[Action]:
        actions = self._out.copy()
        self._out.clear()
        return actions

    def _begin_tick(self, now: float) -> bool:
        """Start a tick; returns whether this balancer acts alone as no messages have arrived for long."""
        if self._last_ms == -math.inf:
            self._views.last_message_ms = max(self._views.last_message_ms, now)
        elif now - self._last_ms > STALL_MS:
            self.observations.reset_after_stall(now)
            self._views.clear()
        self._last_ms = now
        self._roles.new_tick()
        isolated = now - self._views.last_message_ms > self._settings.alone_after_s * 1000
        if isolated:
            self._register.forget()
        return isolated

    def _observe(self, now: float) -> dict[str, ZoneObservation]:
        """Update and return this balancer's own observations; they also enter its set of views."""
        self.observations.evacuated_upstreams = self._withholding.evacuated_upstreams()
        self.observations.record_overdue_attempts(now)
        self._views.expire(now)
        self.observations.set_accused(now, self._views.accused(self._topology.ready))
        own = self._reporting.own(now)
        if own:
            self._record_view(now, self._roster.me, self._reporting.loopback_view(now, own))
        else:
            self._views.remove(self._roster.me)
        return own

    def _record_view(self, now: float, balancer: int, view: messages.View) -> None:
        self._views.receive(now, balancer, view)
        self._register.record_view(now, balancer, view)

    def _has_quorum(self, evacuation: Evacuation) -> bool:
        """Whether the evacuation is backed by a quorum. Guards against a few balancers that are mistaken."""
        known = self._register.evacuations.get((evacuation.area, evacuation.scope))
        if (
            evacuation.by_hand
            or evacuation.step
            or (known is not None and known.evacuation.episode == evacuation.episode)
        ):
            return True
        in_scope = self._roster.in_scope(evacuation.scope, len(self._topology.ready))
        return len(set(evacuation.witnesses)) >= min(messages.MAX_WITNESSES, decision.quorum(in_scope))
