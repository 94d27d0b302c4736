"""Which balancers tell what holds, report, and try what is dark: drawn alike by all, so that none asks."""

from __future__ import annotations

from madderwind.standalone.evacuation.areas import Area, fraction, zone_mark
from madderwind.standalone.evacuation.roster import Roster
from madderwind.standalone.evacuation.state import SELF, EvacuationState
from madderwind.standalone.evacuation.views import Views

SCOUTS, REPORTERS = 2, 8  # balancers that tell what holds; and that try what is left, once one answered
SCOUT_SILENT_MS, SCOUT_RANK_MS = 1200.0, 60.0  # then the next in rank steps in, and so much later each other
CUT_OFF_MS = 1500.0  # a balancer that hears nothing for so long speaks for no one
TURN_OPEN_MS = (
    700.0  # a turn in the dark goes with each renewal of the evacuation, and is over before the next
)


class Roles:
    """This balancer's, of the fleet that it knows."""

    def __init__(self, roster: Roster, views: Views) -> None:
        self._roster, self._views = roster, views
        self._ranks: dict[tuple[int, int], int] = {}  # by area and episode, for one tick

    def new_tick(self) -> None:
        """Ranks are drawn anew, as others may have died."""
        self._ranks.clear()

    def rank(self, area: Area, episode: int) -> int:
        """This balancer's place among the living (rendezvous hashing)."""
        if (known := self._ranks.get((area.mark, episode))) is not None:
            return known
        mine = fraction(area.mark, episode, self._roster.me + 1)
        rank = sum(fraction(area.mark, episode, copy + 1) < mine for copy in self._roster.living())
        self._ranks[area.mark, episode] = rank
        return rank

    def reports(self, area: Area, state: EvacuationState, at_most: int = REPORTERS) -> bool:
        """Whether this balancer is among those that tell how it goes with what is left."""
        return self.rank(area, state.evacuation.episode) < min(REPORTERS, at_most)

    def scouts(self, now: float, area: Area, state: EvacuationState) -> bool:
        """Whether this balancer tells what holds: the first in rank do; whoever is next once they are silent.
        Guards against one that is cut off and renews for itself what the others have given up."""
        if state.evacuation.scope == SELF:
            return True
        if now - self._views.heard_ms > CUT_OFF_MS:
            return False
        state.before = self._scouts_before(now, area, state.evacuation.episode)
        if state.before >= SCOUTS:
            state.enough_ms = now
            return False
        rank = self.rank(area, state.evacuation.episode)
        return rank < SCOUTS or now - state.enough_ms >= SCOUT_SILENT_MS + SCOUT_RANK_MS * rank

    def _scouts_before(self, now: float, area: Area, episode: int) -> int:
        """How many of lower rank scout the area by their views."""
        mine = fraction(area.mark, episode, self._roster.me + 1)
        marks = {zone_mark(zone) for zone in area.zones}
        return sum(
            now - said.at_ms <= SCOUT_SILENT_MS
            and fraction(area.mark, episode, said.copy + 1) < mine
            and any(report.scouts for mark, report in said.view.zones.items() if mark in marks)
            for said in self._views.of_others()
        )

    def has_turn(self, now: float, area: Area, state: EvacuationState) -> bool:
        """Whether this balancer is the one of all that may try what is dark now: each turn goes to another,
        so that no death matters. Guards against trials that add up over the fleet, whoever hears late."""
        if now - state.turn_ms > TURN_OPEN_MS:
            return False
        drawn = min(
            (fraction(area.mark, state.evacuation.episode, state.evacuation.number, copy + 1), copy)
            for copy in self._roster.able()
        )
        return drawn[1] == self._roster.me
