"""Which balancers coordinate an evacuation, report on it, and send trials.

Every balancer derives the roles from the same hashes, so that no election is needed.
"""

from __future__ import annotations

from madderwind.standalone.evacuation.areas import Area, fraction, zone_mark
from madderwind.standalone.evacuation.roster import Roster
from madderwind.standalone.evacuation.state import LOCAL_SCOPE, EvacuationState
from madderwind.standalone.evacuation.views import Views

# Balancers per evacuation that coordinate it; and that report on it and, once an upstream has answered, send
# trials.
COORDINATORS, REPORTERS = 2, 8
# After this silence the next in rank steps in, each further one later by the rank delay.
COORDINATOR_TIMEOUT_MS, COORDINATOR_RANK_DELAY_MS = 1200.0, 60.0
ISOLATED_MS = 1500.0  # a balancer without messages for this long does not coordinate
TRIAL_TURN_MS = 700.0  # each renewal of an evacuation begins a trial turn, which ends before the next renewal


class Roles:
    """This balancer's roles among the balancers that it knows."""

    def __init__(self, roster: Roster, views: Views) -> None:
        self._roster, self._views = roster, views
        self._ranks: dict[tuple[int, int], int] = {}  # by area and episode, for one tick

    def new_tick(self) -> None:
        """Discard the cached ranks, as balancers may have died."""
        self._ranks.clear()

    def rank(self, area: Area, episode: int) -> int:
        """This balancer's rank among the live ones, by rendezvous hashing."""
        if (cached_rank := self._ranks.get((area.mark, episode))) is not None:
            return cached_rank
        own_draw = fraction(area.mark, episode, self._roster.me + 1)
        rank = sum(
            fraction(area.mark, episode, balancer + 1) < own_draw for balancer in self._roster.living()
        )
        self._ranks[area.mark, episode] = rank
        return rank

    def is_reporter(self, area: Area, state: EvacuationState, max_reporters: int = REPORTERS) -> bool:
        """Whether this balancer is one of those that report on the evacuated area."""
        return self.rank(area, state.evacuation.episode) < min(REPORTERS, max_reporters)

    def is_coordinator(self, now: float, area: Area, state: EvacuationState) -> bool:
        """Whether this balancer coordinates the evacuation: the first in rank do, or the next after silence.

        Guards against an isolated balancer that renews for itself an evacuation which the others have ended.
        """
        if state.evacuation.scope == LOCAL_SCOPE:
            return True
        if now - self._views.last_message_ms > ISOLATED_MS:
            return False
        state.coordinators_before = self._coordinators_before(now, area, state.evacuation.episode)
        if state.coordinators_before >= COORDINATORS:
            state.enough_coordinators_ms = now
            return False
        rank = self.rank(area, state.evacuation.episode)
        return (
            rank < COORDINATORS
            or now - state.enough_coordinators_ms >= COORDINATOR_TIMEOUT_MS + COORDINATOR_RANK_DELAY_MS * rank
        )

    def _coordinators_before(self, now: float, area: Area, episode: int) -> int:
        """How many balancers of lower rank coordinate the area, by their views."""
        own_draw = fraction(area.mark, episode, self._roster.me + 1)
        marks = {zone_mark(zone) for zone in area.zones}
        return sum(
            now - received.at_ms <= COORDINATOR_TIMEOUT_MS
            and fraction(area.mark, episode, received.balancer + 1) < own_draw
            and any(report.is_coordinator for mark, report in received.view.zones.items() if mark in marks)
            for received in self._views.from_peers()
        )

    def has_turn(self, now: float, area: Area, state: EvacuationState) -> bool:
        """Whether it is this balancer's turn to send a trial to the evacuated area.

        Each turn goes to another balancer, so that a dead one delays only its own turn. Guards against trials
        that add up over the fleet, even if some balancers receive renewals late.
        """
        if now - state.turn_ms > TRIAL_TURN_MS:
            return False
        chosen = min(
            (fraction(area.mark, state.evacuation.episode, state.evacuation.number, balancer + 1), balancer)
            for balancer in self._roster.able()
        )
        return chosen[1] == self._roster.me
