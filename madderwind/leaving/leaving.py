"""One copy's part in leaving areas and returning to them: what it saw and heard becomes what it withholds.

`tick`, `listed`, `heard_hold`, `leave` and `give_back` return what is to be done, in order. Time is the
call's; what all copies have to choose alike is drawn from marks and numbers that are alike at all.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable, Container, Mapping
from typing import Any

import msgspec

from madderwind.leaving import verdict, words
from madderwind.leaving.areas import (
    Area,
    LeavingSettings,
    Place,
    area_of_zone,
    fraction,
    regions_of,
    zone_mark,
)
from madderwind.leaving.sights import NOTHING, Key, Sights, ZoneSight
from madderwind.leaving.words import EVERYWHERE, FULL, MOST_LEVEL, STEPS, BadWord, Hold, View

TICK_MS = 100.0
LATE_MS = 1000.0  # a tick so late says that this process was stopped
VIEW_KEPT_MS = 1500.0
BAD_EACH_MS, GOOD_EACH_MS, AGAIN_MS = 150.0, 400.0, 700.0  # own views are told no sooner, and so often
OBJECT_MS = 250.0  # from the second accuser on, those who reach the zone have so long to say so
DOUBT_MS = 1500.0  # as long as some answers of it are good: it may be slow as all else is
NARROW_MS = 750.0  # and so long where only the copies that stand in one zone would leave: all may yet
SCOUTS, REPORTERS = 2, 8  # copies that tell what holds; and that try what is left, once one answered
FIRST_SCOUTS_MS = 700.0  # at first their words come through those of a leave
SCOUT_SILENT_MS, SCOUT_RANK_MS = 1200.0, 60.0  # then the next in rank steps in, and so much later each other
TRY_MS, TRY_AGAIN_MS, TRY_ON_MS = 4000.0, 1200.0, 300.0  # a trial's most; after a bad one; after a good one
TURN_OPEN_MS = 700.0  # a turn in the dark goes with each renewal of the hold, and is over before the next
SELF_TRY_MS = 2000.0
MOST_DOUBLINGS = 4  # of the wait after bad trials, of a copy that left on its own sight
OWED_MS = 4500.0  # what counts as started so long ago and called back is owed an attempt at once
NEXT_SCOUT_MS = 400.0  # a scout speaks so much later for each that is before it
RENEW_MS, LEASE_MS = 1300.0, 3600.0  # a step that nobody renews is given up for step 0
CUT_OFF_MS = 1500.0  # a copy that hears nothing for so long speaks for no one
DWELL_MS = 800.0  # at each step, doubled with each level
ANSWERS_MS = 3000.0  # a good answer of what is left says for so long that it may be back
STALE_MS = 1800.0  # after a leave, good answers that are told may be older than it
RETURN_GOODS = 2  # upstreams that have to answer before the first step
STEP_GOODS_MOST = 4  # and before each next one: half of them, so many at most
AGAIN_WITHIN_MS = 60_000.0  # left again so soon after its return: a level up
NO_TRIAL = -1
SELF = 0xFFFF_FFFF  # the scope of a hold that a copy keeps to itself


class Withhold(msgspec.Struct, frozen=True):
    """Nothing new to these."""

    upstreams: frozenset[int]


class Reopen(msgspec.Struct, frozen=True):
    """They take new work again, as started then. `owed`: the next attempt is to go to it."""

    upstreams: frozenset[int]
    started_ms: float
    owed: bool = False


class TakeBack(msgspec.Struct, frozen=True):
    """An attempt that hangs in what was left: to be given up where its request can be sent again."""

    key: Key


class Ask(msgspec.Struct, frozen=True):
    """A probe."""

    upstream: int


class TellView(msgspec.Struct, frozen=True):
    payload: bytes


class TellHold(msgspec.Struct, frozen=True):
    order: tuple[int, int]
    payload: bytes


class Say(msgspec.Struct, frozen=True):
    """A log event."""

    event: str
    fields: dict[str, Any]


Action = Withhold | Reopen | TakeBack | Ask | TellView | TellHold | Say
Slot = tuple[int, int]  # area and scope


class _Held:
    """A hold as this copy has it, and what was seen since its step began."""

    def __init__(self, hold: Hold, now: float) -> None:
        self.hold, self.since_ms, self.renewed_ms = hold, now, now
        self.returned_ms = now  # when the first step above none was taken
        self.good_ms: dict[int, float] = {}
        self.bad_ms: dict[int, float] = {}
        self.bad_copies: set[int] = set()
        self.stays = False  # this copy reaches the area and goes on
        self.beyond = False  # with what was left before, more than may be withheld
        self.trial, self.trial_ms = NO_TRIAL, 0.0
        self.next_trial_ms = now + (SELF_TRY_MS if hold.scope == SELF else TRY_AGAIN_MS)
        self.tried_ms = -math.inf  # when this copy last tried
        self.turn_ms = -math.inf  # when the turn in the dark began that goes with the hold's number
        self.next = self.bad_trials = 0
        self.enough_ms = now + FIRST_SCOUTS_MS  # when enough scouts were last heard
        self.before = 0  # scouts of lower rank that were heard lately

    def takes(self, hold: Hold, now: float) -> None:
        before, self.hold = self.hold, hold
        self.renewed_ms = now
        if hold.number != before.number:
            self.turn_ms = now
        if (hold.step, hold.episode) == (before.step, before.episode):
            return
        if hold.step and not (before.step and hold.episode == before.episode):
            self.returned_ms = now
        self.since_ms = now
        self.good_ms, self.bad_ms, self.bad_copies = {}, {}, set()

    def saw(self, copy: int, bads: frozenset[int], goods: frozenset[int], now: float) -> None:
        if self.hold.step == 0 and now - self.since_ms < STALE_MS:
            goods = frozenset()  # they may be from before it failed
        if bads:
            self.bad_copies.add(copy)
        for table, marks in ((self.bad_ms, bads), (self.good_ms, goods)):
            for mark in marks:
                table[mark] = now

    def counts(self) -> tuple[int, int]:
        """Upstreams that were good, and bad, when last heard of in this step."""
        goods = sum(at > self.bad_ms.get(mark, -math.inf) for mark, at in self.good_ms.items())
        return goods, sum(at >= self.good_ms.get(mark, -math.inf) for mark, at in self.bad_ms.items())

    def answers(self, now: float) -> bool:
        """Whether some copy lately had a good answer from it."""
        return any(now - at <= ANSWERS_MS for at in self.good_ms.values())

    def step(self, now: float) -> int:
        """In force: one that nobody renews is held for none, so that a lost relapse does no harm."""
        partial = 0 < self.hold.step < FULL
        return 0 if partial and now - self.renewed_ms > LEASE_MS else self.hold.step


class Leaving:
    """`living` tells the copies not held dead, this one among them; `able` those of them that requests come
    to; `carried_per_s` what all copies together carry, as far as it is known."""

    def __init__(
        self,
        me: int,
        standing: str,
        settings: LeavingSettings,
        living: Callable[[], list[int]],
        warm_after_ms: float = 0.0,
        may_probe: bool = False,
        carried_per_s: Callable[[], float] = float,
        able: Callable[[], list[int]] | None = None,
    ) -> None:
        self.me, self._standing, self._settings = me, standing, settings
        self._living, self._may_probe, self._carried_per_s = living, may_probe, carried_per_s
        self._able = able or living
        self.sights = Sights(warm_after_ms)
        self.counts: Counter[str] = Counter()
        self._regions = regions_of(settings)
        self._areas: dict[int, Area] = {area.mark: area for area in self._regions}
        self._places: Mapping[int, Place] = {}
        self._ready: dict[str, int] = {}
        self._views: dict[int, tuple[float, View]] = {}
        self._held: dict[Slot, _Held] = {}
        self._latest: dict[Slot, Hold] = {}  # also of holds that were forgotten: the next goes above them
        self._pending: dict[Slot, float] = {}
        self._ranks: dict[tuple[int, int], int] = {}  # of this copy, by area and episode, for one tick
        self._accused_ms: dict[str, float] = {}  # zones that other copies accuse, and since when
        self._why_not: dict[int, str] = {}  # areas that not all leave
        self._doubted = set[str]()  # zones that may be slow rather than gone, by the last tick's views
        self._said_not: dict[Slot, str] = {}
        self._withheld: frozenset[int] = frozenset()
        self._told = dict[str, tuple[frozenset[int], frozenset[int], bool]]()
        self._told_ms = -math.inf
        self._told_bad = False
        self._last_ms = self._heard_ms = -math.inf
        self._out: list[Action] = []

    # --- calls ---

    def listed(self, now: float, places: Mapping[int, Place]) -> list[Action]:
        """Upstreams that discovery calls ready and nobody suspended."""
        self._places = places
        self.sights.listed(places)
        self._ready = dict(Counter(place.zone for place in places.values()))
        known = {area.mark: area for area in map(area_of_zone, self._ready)}
        kept = {mark for mark, _ in self._held}
        zones = {mark: area for mark, area in self._areas.items() if area.region or mark in kept}
        self._areas = {**zones, **known}
        self._withheld &= frozenset(places)
        self._withhold(now)
        return self._done()

    def tick(self, now: float) -> list[Action]:
        """To be called every `TICK_MS`."""
        if self._last_ms > -math.inf and now - self._last_ms > LATE_MS:
            self.sights.was_away(now)
            self._views.clear()
        if self._last_ms == -math.inf:
            self._heard_ms = max(self._heard_ms, now)
        self._last_ms = now
        self._ranks.clear()
        alone = now - self._heard_ms > self._settings.alone_after_s * 1000
        if alone:
            self._alone()
        self.sights.dark = self._dark()
        self.sights.look(now)
        self._views = {c: v for c, v in self._views.items() if now - v[0] <= VIEW_KEPT_MS}
        accused = {
            mark
            for copy, (_, view) in self._views.items()
            if copy != self.me
            for mark, word in view.zones.items()
            if len(word.bads) > len(word.goods)
        }
        self._accused_ms = {z: self._accused_ms.get(z, now) for z in self._ready if zone_mark(z) in accused}
        own = self._own(now)
        if own:
            self._hear(now, self.me, self._view_of(now, own))
        else:
            self._views.pop(self.me, None)
        self._speak(now, own)
        self._doubted.clear()
        for area in () if alone else sorted(self._areas.values(), key=lambda a: not a.region):
            for scope in (EVERYWHERE, zone_mark(self._standing)):
                self._judge(now, area, scope)
            self._judge_alone(now, area, own)
        for slot in list(self._held):
            if slot in self._held:  # a relapse of all ends what some hold of the same area
                self._go_on(now, slot, own)
        self._withhold(now)
        self._take_back(now)
        return self._done()

    def heard_words(self, now: float) -> None:
        """Some copy said something, whatever it was."""
        self._heard_ms = now

    def heard_view(self, now: float, copy: int, payload: bytes) -> None:
        """What another copy has seen. What cannot be read is counted and passed over."""
        try:
            view = words.read_view(payload)
        except BadWord:
            self.counts["odd"] += 1
            return
        self._hear(now, copy, view)

    def heard_hold(self, now: float, order: tuple[int, int], payload: bytes) -> list[Action]:
        """What the fleet holds of an area, by whoever told it. Guards against a few that are mistaken: a
        leave on the word of fewer than a quorum is passed over, and a copy that has just had good answers
        stays."""
        try:
            hold = words.read_hold(order, payload)
        except BadWord:
            self.counts["odd"] += 1
            return []
        area = self._areas.get(hold.area)
        if area is None:
            self.counts["unknown_area"] += 1  # its settings name other regions, or its list other zones
        elif hold.scope in (EVERYWHERE, zone_mark(self._standing)):
            least = min(words.MOST_WITNESSES, verdict.quorum(self._in_scope(hold.scope)))
            known = self._held.get((hold.area, hold.scope))
            self._knows(hold)
            new = known is None or known.hold.episode != hold.episode
            if new and not hold.by_hand and hold.step == 0 and len(set(hold.witnesses)) < least:
                self.counts["unfounded"] += 1
            else:
                self._take(now, area, hold)
                self._withhold(now)
        return self._done()

    def leave(self, now: float, name: str) -> tuple[list[Action], str]:
        """By hand, until it is given back; and why not, where that cannot be."""
        area = self._named(name)
        if area is None:
            return [], f"no zone or region is named {name}"
        if self._most_part(area) < 100:
            return [], f"more than {self._settings.most_withheld:g} of the upstreams would be withheld"
        self._publish(now, area, EVERYWHERE, step=0, by_hand=True, episode=1)
        self._withhold(now)
        return self._done(), ""

    def give_back(self, now: float, name: str) -> tuple[list[Action], str]:
        """By hand: in steps from now on, whoever left it."""
        area = self._named(name)
        slots = [slot for slot in self._held if area is not None and slot[0] == area.mark]
        open_slots = [slot for slot in slots if self._held[slot].hold.step < FULL]
        if area is None or not open_slots:
            return [], f"{name} is not left"
        for _, scope in open_slots:  # an episode of its own: a scout may renew the old one at this moment
            self._publish(now, area, scope, step=1, episode=1)
        self._withhold(now)
        return self._done(), ""

    @property
    def withheld(self) -> frozenset[int]:
        return self._withheld

    def left(self) -> list[tuple[str, int]]:
        """Areas that this copy has left, with their steps."""
        return sorted(
            (self._areas[mark].name, held.hold.step)
            for (mark, _), held in self._held.items()
            if held.hold.step < FULL and not held.stays and mark in self._areas
        )

    # --- what was seen and heard ---

    def _done(self) -> list[Action]:
        actions, self._out = self._out, []
        return actions

    def _say(self, event: str, **fields: Any) -> None:
        self._out.append(Say(event, fields))

    def _in_scope(self, scope: int) -> int:
        """How many copies live there; those of one zone are taken to be as many as of any other."""
        living = len(self._living())
        return living if scope == EVERYWHERE else math.ceil(living / max(1, len(self._ready)))

    def _hear(self, now: float, copy: int, view: View) -> None:
        self._views[copy] = now, view
        for (mark, scope), held in self._held.items():
            if scope not in (EVERYWHERE, view.standing) and (scope != SELF or copy != self.me):
                continue  # what it reaches says nothing of what those of this scope reach
            if held.hold.step < FULL and (area := self._areas.get(mark)) is not None:
                for zone in area.zones:
                    word = view.zones.get(zone_mark(zone))
                    if word is not None:
                        held.saw(copy, word.bads, word.goods, now)

    def _own(self, now: float) -> dict[str, ZoneSight]:
        """What this copy may say. Guards against one that is itself cut off: where nothing answers it, or all
        zones look bad, it accuses none."""
        sights, good = self.sights.of_zones(now, self._accused_ms), self.sights.good_zones(now)
        bad = [zone for zone, sight in sights.items() if sight.share > 0.5]
        all_bad = len(bad) >= len(self._ready)
        return {
            zone: sight
            for zone, sight in sights.items()
            if not sight.bads or (not all_bad and good - {zone} - set(bad))
        }

    def _view_of(self, now: float, own: Mapping[str, ZoneSight]) -> View:
        """As others would hear it: this copy counts for itself with no more than they count it for."""
        said = words.write_view(now, self._standing, self.sights.rate(now), own, frozenset())
        return words.read_view(said)

    def _speak(self, now: float, own: Mapping[str, ZoneSight]) -> None:
        """This copy's view, where it matters to others: what it accuses, what others accuse and it reaches,
        and how it goes where an area is left."""
        watched, scouted, known = set[str](), set[str](), set[str]()
        living = len(self._living())
        others = [verdict.Said(c, view, at_ms) for c, (at_ms, view) in self._views.items() if c != self.me]
        for (mark, scope), held in self._held.items():
            area = self._areas.get(mark)
            if area is None or held.hold.step == FULL or scope == SELF:
                continue
            scouts = self._scouts(now, area, held)
            scouted |= set(area.zones) if scouts else set()
            known |= set(area.zones) if held.hold.step == 0 else set()  # that it fails is no news there
            tried = now - held.tried_ms <= TRY_MS
            if scouts or held.stays or tried or self._rank(area, held.hold.episode) < REPORTERS:
                watched |= set(area.zones)
        said = {
            zone: sight
            for zone, sight in own.items()
            if zone in watched
            or (zone not in known and (sight.bads or zone in self._accused_ms))
            and (zone in self._told or verdict.needed(zone, sight, others, living, zone in self._doubted))
        }
        said |= dict.fromkeys(scouted - said.keys(), NOTHING)
        # Without the ages, which change each time.
        what = {zone: (sight.bads, sight.goods, zone in scouted) for zone, sight in said.items()}
        bad = any(sight.bads for sight in said.values())
        each_ms = BAD_EACH_MS if bad and not self._told_bad else GOOD_EACH_MS
        again_ms = GOOD_EACH_MS if scouted else AGAIN_MS
        changed = what != self._told
        if now - self._told_ms >= (each_ms if changed else again_ms) and (changed or said):
            self._told, self._told_ms, self._told_bad = what, now, bad
            per_s = self.sights.rate(now) if said else 0.0
            view = words.write_view(now, self._standing, per_s, said, frozenset(scouted))
            self._out.append(TellView(view))

    # --- leaving ---

    def _judge(self, now: float, area: Area, scope: int) -> None:
        """Whether the fleet, or its copies that stand where this one stands, leave this area now."""
        slot = area.mark, scope
        wider = [
            s for s, held in self._held.items() if held.hold.step < FULL and self._covers(s, area, scope)
        ]
        if wider or not any(len(w.bads) for _, v in self._views.values() for w in v.zones.values()):
            self._pending.pop(slot, None)
            return
        if scope != EVERYWHERE and self._why_not.get(area.mark) not in verdict.SPOKEN_AGAINST:
            self._pending.pop(slot, None)
            return  # all may leave it yet
        said = [verdict.Said(copy, view, heard_ms) for copy, (heard_ms, view) in sorted(self._views.items())]
        seen, why_not = verdict.fails(
            area, scope, said, self._in_scope(scope), self._ready, self._left_zones()
        )
        if scope == EVERYWHERE:
            self._why_not[area.mark] = why_not
            if seen.doubt:
                self._doubted |= set(area.zones)
        if why_not == verdict.ALL_BAD or not seen.stands:
            self._pending.pop(slot, None)
        else:
            self._pending.setdefault(slot, now)
        if why_not:
            if len(seen.copies) >= verdict.quorum(self._in_scope(scope)):
                self._not_left(slot, area, why_not)
            return
        wait_ms = OBJECT_MS if scope == EVERYWHERE else NARROW_MS
        if seen.doubt:
            wait_ms = max(wait_ms, DOUBT_MS)
        if now - self._pending.get(slot, now) < wait_ms:
            return
        self._pending.pop(slot, None)
        part = self._part(area, seen)
        if part <= 0:
            self._not_left(slot, area, "most withheld")
            return
        held = self._held.get(slot)
        again = held is not None and now - held.since_ms < AGAIN_WITHIN_MS
        level = min(MOST_LEVEL, held.hold.level + 1) if held is not None and again else 0
        told = verdict.witnesses(seen.copies)
        self._publish(now, area, scope, step=0, episode=1, level=level, part=part, witnesses=told)

    def _left_zones(self) -> set[str]:
        """Zones that this copy does not use as it would."""
        held = ((self._areas.get(mark), h) for (mark, _), h in self._held.items() if h.hold.step < FULL)
        return {
            zone for area, h in held if area is not None and not (h.stays or h.beyond) for zone in area.zones
        }

    def _covers(self, slot: Slot, area: Area, scope: int) -> bool:
        """Whether that hold is of this area, or a region around it, for at least these copies."""
        held = self._areas.get(slot[0])
        return held is not None and set(area.zones) <= set(held.zones) and slot[1] in (EVERYWHERE, scope)

    def _not_left(self, slot: Slot, area: Area, why: str) -> None:
        if self._said_not.get(slot) != why:
            self._said_not[slot] = why
            self.counts["not_left"] += 1
            self._say("area_not_left", area=area.name, why=why)

    def _judge_alone(self, now: float, area: Area, own: Mapping[str, ZoneSight]) -> None:
        """On its own sight, where the others reach the area or say nothing: half of its upstreams failed this
        copy, none answered, and something else did."""
        if area.region or any(
            held.hold.step < FULL and self._covers(slot, area, slot[1]) for slot, held in self._held.items()
        ):
            return
        sight = own.get(area.name, NOTHING)
        count = self._ready.get(area.name, 0)
        slot = area.mark, SELF
        if sight.goods or len(sight.bads) < max(3, verdict.upstreams_needed(count)):
            self._pending.pop(slot, None)
            return
        if now - self._pending.setdefault(slot, now) >= NARROW_MS and self._most_part(area) == 100:
            self._publish(now, area, SELF, step=0, episode=1, witnesses=(self.me,))

    def _inside(self, area: Area) -> int:
        """Its upstreams that discovery calls ready."""
        return sum(self._ready.get(zone, 0) for zone in area.zones)

    def _size(self, zones: Container[str] | None = None) -> float:
        """Of all upstreams, or those of these zones."""
        return sum(p.size for p in self._places.values() if zones is None or p.zone in zones)

    def _most_part(self, area: Area) -> int:
        """How much of it may be withheld, in percent, so that no more than the stated part of all is."""
        total, size = self._size(), self._size(area.zones)
        places = (self._places[number] for number in self._withheld)
        room = self._settings.most_withheld * total - sum(p.size for p in places if p.zone not in area.zones)
        if not size or size >= total:
            return 0  # what is not there cannot be left, and the last is kept
        return max(0, min(100, math.floor(100 * room / size)))

    def _part(self, area: Area, seen: verdict.Accused) -> int:
        """Guards against crushing the rest: an area that still serves is left only as far as the others can
        carry what comes. One that is dead carries nothing, whatever is left to it."""
        part, per_s = self._most_part(area), self._settings.upstream_per_s
        if per_s and seen.doubt and (load_per_s := self._carried_per_s()):
            spare = self._size() - load_per_s / per_s
            part = min(part, max(0, math.floor(100 * spare / self._size(area.zones))))
        return part

    def _named(self, name: str) -> Area | None:
        return next((area for area in self._areas.values() if area.name == name), None)

    def _publish(
        self,
        now: float,
        area: Area,
        scope: int,
        step: int,
        episode: int = 0,
        by_hand: bool = False,
        **fields: Any,
    ) -> None:
        """A change of a hold, made by this copy; `episode` 1 begins the next."""
        held = self._held.get((area.mark, scope))
        slot = area.mark, scope
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
        self._knows(hold)
        self._take(now, area, hold, mine=True)
        if scope != SELF:
            self._out.append(TellHold(hold.order, words.write_hold(hold)))

    def _knows(self, hold: Hold) -> None:
        slot = hold.area, hold.scope
        if slot not in self._latest or hold.order > self._latest[slot].order:
            self._latest[slot] = hold

    def _take(self, now: float, area: Area, hold: Hold, mine: bool = False) -> None:
        slot = hold.area, hold.scope
        held = self._held.get(slot)
        if held is not None and hold.order <= held.hold.order:
            return
        wider = self._held.get((hold.area, EVERYWHERE))
        if hold.scope != EVERYWHERE and wider is not None and wider.hold.step < FULL:
            return  # all have left it: one return is enough
        before = held.hold if held is not None else None
        if held is None:
            held = self._held[slot] = _Held(hold, now)
        else:
            held.takes(hold, now)
        new = before is None or before.episode != hold.episode
        if hold.step == FULL or hold.by_hand or mine:
            held.stays = False
        elif new and hold.step == 0:
            held.stays = self._reaches(now, area)
        if new:
            held.next = held.bad_trials = 0
        if before is not None and before.step == hold.step and not new and before.by_hand == hold.by_hand:
            return  # renewed
        self._said_not.pop(slot, None)
        told = {"area": area.name, "scope": self._scope_name(hold.scope), "step": STEPS[hold.step]}
        told |= {"level": hold.level, "by_hand": hold.by_hand}
        if hold.step == 0:
            self.counts["left"] += new
            self.counts["relapsed"] += not new
            if hold.scope == EVERYWHERE:
                for scope in (SELF, zone_mark(self._standing)):
                    self._held.pop((hold.area, scope), None)
            told |= {"witnesses": list(hold.witnesses), "part": hold.part, "stays": held.stays}
            if new:
                self._say("area_left", **told)
            else:
                self._say("area_relapsed", **told)
        elif hold.step == FULL:
            self.counts["returned"] += 1
            self._say("area_returned", **told)
        else:
            self._say("area_step", **told)

    def _scope_name(self, scope: int) -> str:
        return {EVERYWHERE: "all", SELF: "self"}.get(scope, self._standing)

    def _reaches(self, now: float, area: Area) -> bool:
        sights = self.sights.of_zones(now, self._accused_ms)
        seen = [sights[zone] for zone in area.zones if zone in sights]
        return any(s.goods for s in seen) and all(s.share < 0.5 for s in seen)

    def _alone(self) -> None:
        """No words for long: as a copy does alone. What was left by hand stays left."""
        for slot, held in list(self._held.items()):
            if not held.hold.by_hand:
                del self._held[slot]
                if held.hold.step < FULL:
                    self.counts["alone"] += 1
                    area = self._areas.get(slot[0])
                    self._say("area_forgotten", area=area.name if area else "", why="no words")

    # --- returning ---

    def _rank(self, area: Area, episode: int) -> int:
        """This copy's place among the living, drawn alike by all (rendezvous hashing)."""
        if (known := self._ranks.get((area.mark, episode))) is not None:
            return known
        mine = fraction(area.mark, episode, self.me + 1)
        rank = sum(fraction(area.mark, episode, copy + 1) < mine for copy in self._living())
        self._ranks[area.mark, episode] = rank
        return rank

    def _scouts(self, now: float, area: Area, held: _Held) -> bool:
        """Whether this copy tells what holds: the first in rank do; whoever is next once they are silent.
        Guards against one that is cut off and renews for itself what the others have given up."""
        if held.hold.scope == SELF:
            return True
        if now - self._heard_ms > CUT_OFF_MS:
            return False
        mine = fraction(area.mark, held.hold.episode, self.me + 1)
        marks = {zone_mark(zone) for zone in area.zones}
        before = sum(
            copy != self.me
            and now - heard_ms <= SCOUT_SILENT_MS
            and fraction(area.mark, held.hold.episode, copy + 1) < mine
            and any(word.scouts for mark, word in view.zones.items() if mark in marks)
            for copy, (heard_ms, view) in self._views.items()
        )
        held.before = before
        if before >= SCOUTS:
            held.enough_ms = now
            return False
        rank = self._rank(area, held.hold.episode)
        return rank < SCOUTS or now - held.enough_ms >= SCOUT_SILENT_MS + SCOUT_RANK_MS * rank

    def _go_on(self, now: float, slot: Slot, own: Mapping[str, ZoneSight]) -> None:
        """An area that is left: tries, steps up, relapse, and the word that keeps a step in force."""
        held, area = self._held[slot], self._areas.get(slot[0])
        if area is None or held.hold.step == FULL:
            held.trial = NO_TRIAL
            return
        if held.stays and any(own.get(zone, NOTHING).share > 0.5 for zone in area.zones):
            held.stays = False
        scouts = self._scouts(now, area, held)
        inside = self._inside(area)
        reports = self._rank(area, held.hold.episode) < min(REPORTERS, inside)
        answers = held.hold.step > 0 or held.answers(now)
        if held.hold.by_hand:
            held.trial = NO_TRIAL  # what was left by hand is not tried
        else:
            turn = slot[1] == SELF or self._has_turn(now, area, held)
            if held.trial != NO_TRIAL:
                self._follow(now, held, turn or answers)
            elif turn or (answers and (scouts or reports)):
                self._try(now, area, held)
        # The first scout speaks, so that no two say different things at once; the next if it does not.
        late_ms = NEXT_SCOUT_MS * held.before
        if held.hold.by_hand:
            if scouts and now - held.renewed_ms >= RENEW_MS + late_ms:
                self._publish(now, area, slot[1], step=held.hold.step, by_hand=True)
            return
        goods, bads = held.counts()
        alone = slot[1] == SELF
        if held.hold.step and bads >= 2 and bads > goods and (alone or len(held.bad_copies) >= 2):
            level = min(MOST_LEVEL, held.hold.level + 1)
            told = verdict.witnesses({*held.hold.witnesses, *held.bad_copies})
            self._publish(now, area, slot[1], step=0, level=level, witnesses=told)
        elif (
            scouts
            and now - held.since_ms >= DWELL_MS * 2**held.hold.level + late_ms
            and self._may_rise(held, goods, bads, inside, now)
        ):
            self._publish(now, area, slot[1], step=held.hold.step + 1)
        elif scouts and not alone and now - held.renewed_ms >= RENEW_MS + late_ms:
            self._publish(now, area, slot[1], step=held.hold.step)
        elif alone:
            held.renewed_ms = now

    def _may_rise(self, held: _Held, goods: int, bads: int, inside: int, now: float) -> bool:
        if held.hold.step == 0:
            fresh = sum(now - at <= ANSWERS_MS for at in held.good_ms.values())
            return min(goods, fresh) >= min(RETURN_GOODS, inside)
        return goods >= min(STEP_GOODS_MOST, math.ceil(inside / 2)) and 2 * bads <= goods

    def _has_turn(self, now: float, area: Area, held: _Held) -> bool:
        """Whether this copy is the one of all that may try what is dark now: each turn goes to another, so no
        copy's death matters. Guards against trials that add up over the fleet, whoever is late to hear."""
        if now - held.turn_ms > TURN_OPEN_MS:
            return False
        drawn = min(
            (fraction(area.mark, held.hold.episode, held.hold.number, copy + 1), copy)
            for copy in self._able()
        )
        return drawn[1] == self.me

    def _follow(self, now: float, held: _Held, may_try: bool) -> None:
        """A trial under way: until its answer, or its silence, says something, or its turn is over unused."""
        good = self.sights.since(held.trial, held.trial_ms)
        if good is None and now - held.trial_ms < TRY_MS and held.trial in self._places:
            if may_try or self.sights.is_out(held.trial, held.trial_ms):
                return
        elif not good:
            held.bad_trials = min(MOST_DOUBLINGS, held.bad_trials + 1)
        wait_ms = TRY_ON_MS if good else TRY_AGAIN_MS
        if held.hold.scope == SELF and not good:
            wait_ms *= 2**held.bad_trials
        if good:
            held.bad_trials = 0
        held.next_trial_ms = now + wait_ms
        held.trial = NO_TRIAL

    def _try(self, now: float, area: Area, held: _Held) -> None:
        """One upstream at a time, each in turn."""
        if now >= held.next_trial_ms:
            numbers = sorted(
                (fraction(place.mark, held.hold.episode, self.me + 1), number)
                for number, place in self._places.items()
                if place.zone in area.zones and number in self._withheld
            )
            if numbers:
                held.trial, held.trial_ms = numbers[held.next % len(numbers)][1], now
                held.next, held.tried_ms = held.next + 1, now
                self.counts["tries"] += 1
                if self._may_probe:
                    self._out.append(Ask(held.trial))

    # --- what comes of it ---

    def _withhold(self, now: float) -> None:
        """What is withheld now, as the difference to what was."""
        withheld, opened = set[int](), dict[float, set[int]]()
        trials = set[int]()
        most = self._settings.most_withheld * self._size()
        within = set[str]()
        for (mark, _), held in self._held.items():
            area = self._areas.get(mark)
            if area is None or held.stays:
                continue
            zones = within | set(area.zones)
            if held.hold.step < FULL and held.hold.part == 100:
                # Guards against two halves of a fleet that were cut apart, and each left the other's zones.
                held.beyond = self._size(zones) > most
                if held.beyond:
                    continue
                within = zones
            step, hold = held.step(now), held.hold
            for number, place in self._places.items():
                if place.zone not in area.zones or fraction(place.mark, mark) >= hold.part / 100:
                    continue
                if number == held.trial and not (
                    self._may_probe or self.sights.is_out(number, held.trial_ms)
                ):
                    trials.add(number)
                    withheld.add(number)
                elif step < FULL and fraction(place.mark, hold.episode, self.me + 1) >= STEPS[step]:
                    withheld.add(number)
                else:
                    opened.setdefault(held.returned_ms, set()).add(number)
        withheld -= trials
        now_open = self._withheld - withheld
        if more := frozenset(withheld) - self._withheld:
            self._out.append(Withhold(more))
        for number in sorted(now_open & trials):
            self._reopen(frozenset((number,)), now - OWED_MS, owed=True)
        rest = now_open - trials
        for started_ms, numbers in sorted(opened.items(), reverse=True):
            if some := frozenset(numbers) & rest:
                self._reopen(some, started_ms)
                rest -= some
        if rest:
            self._reopen(rest, now)
        self._withheld = frozenset(withheld)

    def _reopen(self, upstreams: frozenset[int], started_ms: float, owed: bool = False) -> None:
        self.sights.reopened(upstreams, started_ms)
        self._out.append(Reopen(upstreams, started_ms, owed))

    def _take_back(self, now: float) -> None:
        """What hangs where nothing answers is taken back, so that it can be sent elsewhere in time."""
        if self.sights.dark:
            self._out += [TakeBack(key) for key in self.sights.silent(now)]

    def _dark(self) -> frozenset[int]:
        return frozenset(
            number
            for (mark, _), held in self._held.items()
            if held.hold.step == 0
            and not (held.stays or held.beyond)
            and (area := self._areas.get(mark)) is not None
            for number, place in self._places.items()
            if place.zone in area.zones
        )
