"""One balancer's part in leaving areas and returning: what it saw and heard becomes what it withholds.

`tick`, `listed`, `heard_evacuation`, `evacuate` and `return_to` return what is to be done, in order. Time is
the call's; what all balancers have to choose alike is drawn from marks and numbers that are alike at all.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable, Mapping

from madderwind.standalone.evacuation import decision, messages
from madderwind.standalone.evacuation.actions import Action
from madderwind.standalone.evacuation.areas import EvacuationSettings, Place, zone_mark
from madderwind.standalone.evacuation.initiation import Initiation
from madderwind.standalone.evacuation.messages import EVERYWHERE, Evacuation, MalformedMessage
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
LATE_MS = 1000.0  # a tick so late says that this process was stopped


class ZoneEvacuation:
    """`living` tells the balancers not held dead, this one among them; `able` those of them that requests
    come to; `carried_per_s` what all together carry, as far as it is known."""

    def __init__(
        self,
        me: int,
        standing: str,
        settings: EvacuationSettings,
        living: Callable[[], list[int]],
        warm_after_ms: float = 0.0,
        may_probe: bool = False,
        carried_per_s: Callable[[], float] = float,
        able: Callable[[], list[int]] | None = None,
    ) -> None:
        self._settings = settings
        self._roster = roster = Roster(me, standing, living, able or living, carried_per_s)
        self.observations, self.counts = Observations(warm_after_ms), Counter[str]()
        self._out: list[Action] = []
        self._last_ms = -math.inf
        self._topology = topology = Topology(settings)
        self._views = views = Views(me)
        observations, counts, out = self.observations, self.counts, self._out
        self._register = register = Register(me, standing, topology, observations, counts, out)
        self._roles = roles = Roles(roster, views)
        self._reporting = Reporting(roster, topology, observations, views, register, roles, out)
        self._initiation = Initiation(roster, topology, views, register, counts, out)
        self._recovery = Recovery(me, may_probe, topology, observations, register, roles, counts, out)
        self._withholding = Withholding(me, may_probe, settings, topology, observations, register, out)

    # --- calls ---

    def listed(self, now: float, places: Mapping[int, Place]) -> list[Action]:
        """Upstreams that discovery calls ready and nobody suspended."""
        self.observations.listed(places)
        self._topology.listed(places, {mark for mark, _ in self._register.evacuations})
        self._withholding.listed()
        self._withholding.update(now)
        return self._done()

    def tick(self, now: float) -> list[Action]:
        """To be called every `TICK_MS`."""
        alone = self._begin_tick(now)
        own = self._look(now)
        self._reporting.tell(now, own, self._initiation.doubted)
        self._initiation.doubted.clear()
        if not alone:
            self._initiation.decide(now, own, self.withheld)
        self._recovery.go_on(now, own, self.withheld)
        self._withholding.update(now)
        self._withholding.take_back(now)
        return self._done()

    def heard_message(self, now: float) -> None:
        """Some balancer said something, whatever it was."""
        self._views.heard_ms = now

    def heard_view(self, now: float, copy: int, payload: bytes) -> None:
        """What another balancer has seen. What cannot be read is counted and passed over."""
        try:
            view = messages.read_view(payload)
        except MalformedMessage:
            self.counts["odd"] += 1
            return
        self._hear(now, copy, view)

    def heard_evacuation(self, now: float, order: tuple[int, int], payload: bytes) -> list[Action]:
        """What the fleet holds of an area, by whoever told it. What cannot be read is counted and left."""
        try:
            evacuation = messages.read_evacuation(order, payload)
        except MalformedMessage:
            self.counts["odd"] += 1
            return []
        area = self._topology.areas.get(evacuation.area)
        if area is None:
            self.counts["unknown_area"] += 1  # its settings name other regions, or its list other zones
        elif evacuation.scope in (EVERYWHERE, zone_mark(self._roster.standing)):
            self._register.knows(evacuation)
            if self._is_founded(evacuation):
                self._register.take(now, area, evacuation)
                self._withholding.update(now)
            else:
                self.counts["unfounded"] += 1
        return self._done()

    def evacuate(self, now: float, name: str) -> tuple[list[Action], str]:
        """By hand, until it is given back; and why not, where that cannot be."""
        area = self._topology.named(name)
        if area is None:
            return [], f"no zone or region is named {name}"
        if self._topology.most_part(area, self.withheld) < 100:
            return [], f"more than {self._settings.most_withheld:g} of the upstreams would be withheld"
        self._register.publish(now, area, EVERYWHERE, step=0, by_hand=True, episode=1)
        self._withholding.update(now)
        return self._done(), ""

    def return_to(self, now: float, name: str) -> tuple[list[Action], str]:
        """By hand: in steps from now on, whoever left it."""
        area = self._topology.named(name)
        state = self._register.evacuations.items()
        scopes = [s for (mark, s), one in state if area is not None and mark == area.mark and one.is_left]
        if area is None or not scopes:
            return [], f"{name} is not left"
        for scope in scopes:  # an episode of its own: a scout may renew the old one at this moment
            self._register.publish(now, area, scope, step=1, episode=1)
        self._withholding.update(now)
        return self._done(), ""

    @property
    def withheld(self) -> frozenset[int]:
        """Upstreams that get nothing new."""
        return self._withholding.withheld

    def left(self) -> list[tuple[str, int]]:
        """Areas that this balancer has left, with their steps."""
        return self._register.left()

    # --- within ---

    def _done(self) -> list[Action]:
        actions = self._out.copy()
        self._out.clear()
        return actions

    def _begin_tick(self, now: float) -> bool:
        """Whether this balancer is alone, by what it heard."""
        if self._last_ms == -math.inf:
            self._views.heard_ms = max(self._views.heard_ms, now)
        elif now - self._last_ms > LATE_MS:
            self.observations.was_away(now)
            self._views.clear()
        self._last_ms = now
        self._roles.new_tick()
        alone = now - self._views.heard_ms > self._settings.alone_after_s * 1000
        if alone:
            self._register.forget()
        return alone

    def _look(self, now: float) -> dict[str, ZoneObservation]:
        """What this balancer may say of zones; it hears that itself as well."""
        self.observations.dark = self._withholding.dark()
        self.observations.look(now)
        self._views.expire(now)
        self.observations.accused(now, self._views.accused(self._topology.ready))
        own = self._reporting.own(now)
        if own:
            self._hear(now, self._roster.me, self._reporting.view_of(now, own))
        else:
            self._views.drop(self._roster.me)
        return own

    def _hear(self, now: float, copy: int, view: messages.View) -> None:
        self._views.hear(now, copy, view)
        self._register.saw(now, copy, view)

    def _is_founded(self, evacuation: Evacuation) -> bool:
        """Guards against a few that are mistaken: a leave by fewer than a quorum is passed over."""
        known = self._register.evacuations.get((evacuation.area, evacuation.scope))
        if (
            evacuation.by_hand
            or evacuation.step
            or (known is not None and known.evacuation.episode == evacuation.episode)
        ):
            return True
        in_scope = self._roster.in_scope(evacuation.scope, len(self._topology.ready))
        return len(set(evacuation.witnesses)) >= min(messages.MOST_WITNESSES, decision.quorum(in_scope))
