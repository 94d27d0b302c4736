"""Every decision of madderwind. Types, events and actions are in madderwind/policy/api.py: read that first.

One `Balancer` is one copy. It shares nothing; time is `handle`'s `now` alone, chance its seed alone.
A request goes: admission, pick, attempt, (quota, wait, pick again,) one final answer. docs/design.md says
what follows the design, what departs from it, and when.
"""

from __future__ import annotations

import math
import random
from collections import deque
from collections.abc import Iterable

from madderwind.policy import api
from madderwind.policy.api import Effect, Group, ListKind, Outcome, UpstreamState

# The design page's figures.
QUOTA_CAP = 500.0
COST_TRANSIENT, COST_FULL, CLEAN_REFUND = 14.0, 5.0, 1.0
BASE_TRANSIENT_MS, BASE_FULL_MS, CEILING_MS = 100.0, 1000.0, 20_000.0
# Smoothing: about the last eight answers count, as in TCP's round-trip estimate; for what is usual, 64.
GAIN, SLOW_GAIN = 1 / 8, 1 / 64
# An attempt is overdue at this many deviations over its class's mean. TCP's four call one sound attempt in
# forty late, as answer times have long tails, and copies of those crowd the fleet.
OVERDUE_DEVIATIONS = 8.0
# Set-aside upstreams are used again when fewer than this part of the fleet is left: then all have one cause.
SOUND_PART = 0.5
DEAD = 3  # failed connects in a row that are a death: fewer, or a reset, may be those connections alone
# How the room shrinks on a sign of queues, and grows in a usual answer time in which it was short.
ROOM_SHRINK, ROOM_GROWTH = 0.9, 0.04
MOST_PRESSURE = 2.0  # that one answer tells, where 1 is the mark: as far above it as calm is below
# Open requests an upstream, over all copies: where the room starts, and the least that keeps all at work.
ROOM_START, ROOM_LEAST = 8.0, 3.0
# Idle upstreams that a pick draws from, and copies that each is near to, so that none alone matters.
NEAR, COPIES_EACH = 3, 8
# The power of slowness in the tie-break, and what another zone counts there if crossing is priced.
STEEPNESS, CROSS_ZONE_PART = 3.0, 0.2
# The column of a load report that counts requests; its smoothing, and how soon it is half as certain.
HELD_COLUMN, REPORT_GAIN, REPORT_MS = "in_flight", 1 / 4, 4000.0
# Steps of this part of a circle keep all points well apart, however many there are.
GOLDEN = 0.618034
# Homes of a key, and of how many requests the keys are counted.
HOMES, KEYS_KEPT = 2, 200
# How long a count over the whole fleet is kept.
KEPT_MS = 50.0
# Deviations of a chance count (its root) that are left to chance before a copy's part binds.
CHANCE = 3.0
# Part of the room that traffic beyond a tenant's share may fill, and the credit under which the room grows.
OVER_SHARE_ROOM, SHORT_CREDIT = 0.75, 0.5
CHEAP_ROOM = 0.4
# The part of their least capacity that cold upstreams get: chance adds to it, and size where it is not told.
COLD_CAUTION = 0.8
# Times are taken as at least this, so that a clock that stands still cannot make one nothing.
SHORTEST_MS = 0.1
# An upstream that was called back is owed its first attempt by chance between half of this and all of it.
OWED_MS = 4500.0
# How often copies tell one another their rates, over how long those are smoothed, and who counts as silent.
TELL_MS, FIRST_TELL_MS, RATE_MS = 1000.0, 200.0, 4000.0
# Who carries little tells less often: at most a word to each copy in so many requests, at least each 10 s.
REQUESTS_A_WORD, LONGEST_TELL_MS = 0.3, 10_000.0
SILENT = 3.0  # usual waits without a word after which a copy counts as gone
RATE_BYTES, RATE_UNITS = 3, 100  # a rate on the wire: hundredths of a request a second
READY = UpstreamState.READY


class RetryQuota:
    """The design's token bucket and its full-jitter doubling waits."""

    def __init__(self, rng: random.Random) -> None:
        self.tokens = QUOTA_CAP
        self._rng = rng

    def spend(self, cost: float) -> bool:
        if self.tokens < cost:
            return False
        self.tokens -= cost
        return True

    def refund(self, tokens: float) -> None:
        self.tokens = min(QUOTA_CAP, self.tokens + tokens)

    def wait_ms(self, base_ms: float, retry: int) -> float:
        return self._rng.random() * min(CEILING_MS, base_ms * 2.0 ** min(retry, 32))


class Mean:
    """A smoothed mean and mean deviation of what was seen, and the lowest that the mean has been."""

    def __init__(self, gain: float = GAIN) -> None:
        self.gain = gain
        self.mean, self.deviation, self.best, self.seen = 0.0, 0.0, float("inf"), 0

    def add(self, value: float, settled: bool = True) -> None:
        self.seen += 1
        gain = max(self.gain, 1 / self.seen)
        self.deviation += gain * (abs(value - self.mean) - self.deviation) if self.seen > 1 else value / 2
        self.mean += gain * (value - self.mean)
        # With its error on top, as the lowest of a noisy mean is a lucky one; and the first answers to come
        # back at all are the short ones, so they set no best.
        likely = self.mean + 2 * self.deviation * gain**0.5
        self.best = min(self.best, likely) if settled else likely


class Upstream:
    """What this copy knows of one upstream."""

    def __init__(self, entry: api.UpstreamEntry, slowness: float) -> None:
        self.entry = entry
        self.started_ms = entry.started_ms
        self.sent_ms: dict[tuple[int, int], float] = {}  # attempts in flight, oldest first
        self.slowness = slowness  # its answers' times over the class's usual, smoothed
        self.failures = 0
        self.aside_until_ms = 0.0
        self.refused = 0  # connects that failed in a row, each after a wait
        self.heard_ms = float("-inf")  # its last answer
        self.cold_credit: float | None = None
        self.held, self.held_ms = 0.0, float("-inf")  # requests it reports to hold, of all copies
        self.owed_ms = float("inf")  # from when on the next attempt is its own, as it was called back

    def relist(self, entry: api.UpstreamEntry) -> None:
        if entry.started_ms > self.started_ms:
            self.restarted(entry.started_ms)
        self.entry = entry

    def restarted(self, started_ms: float) -> None:
        self.started_ms, self.refused, self.cold_credit = started_ms, 0, None
        self.failures, self.aside_until_ms = 0, 0.0

    def warmth(self, now: float, settings: api.Settings) -> float:
        """The least part of its capacity that it can have by now; 1 when warm."""
        if self.started_ms <= 0 or settings.warm_after_ms <= 0:
            return 1.0
        age = max(0.0, now - self.started_ms) / settings.warm_after_ms
        return min(1.0, settings.start_capacity + (1 - settings.start_capacity) * age)

    def failed(self, now: float, wait_ms: float) -> None:
        """What failed goes on counting against it: it is set aside for a wait that doubles each time."""
        if now >= self.aside_until_ms:
            self.failures += 1
            self.aside_until_ms = now + wait_ms

    def sound(self, now: float) -> bool:
        """Not set aside; after a failure, one attempt at a time shows whether it has recovered."""
        return now >= self.aside_until_ms and (self.failures == 0 or not self.sent_ms)


class Attempt:
    def __init__(self, upstream: Upstream, now: float, cost: float) -> None:
        self.upstream, self.sent_ms, self.cost = upstream.entry, now, cost
        self.outcome: Outcome | None = None

    def may_have_run(self) -> bool:
        return self.outcome is None or not self.outcome.never_ran


class Request:
    def __init__(self, event: api.RequestArrived, klass: api.RequestClass, now: float) -> None:
        self.id, self.class_index, self.klass = event.request_id, event.class_index, klass
        self.key = event.key
        self.deadline_ms = event.deadline_ms
        aim_ms = klass.aim_ms if klass.late_worth <= 0 else klass.deadline_ms
        self.useful_until_ms = min(event.deadline_ms, now + aim_ms)
        self.attempts: list[Attempt] = []
        self.size = 1.0  # its work over its class's usual, where a hint tells
        self.waiting_cost: float | None = None  # set while a retry's wait runs
        self.streaming, self.let_go = False, False  # its answer has begun; its body's beginning is let go
        self.passing = False  # body or answer goes on in pieces: it takes nobody's time meanwhile

    @property
    def once_only(self) -> bool:
        return self.streaming or self.let_go

    def body_passes(self, now: float, deadline_ms: float) -> None:
        """Its time counts from its last byte, and so does silence after it."""
        self.let_go, self.passing = True, math.isinf(deadline_ms)
        self.deadline_ms, self.attempts[-1].sent_ms = deadline_ms, now

    def open_attempts(self) -> int:
        return sum(a.outcome is None for a in self.attempts)


def may_be_resent(request: Request, entry: api.UpstreamEntry, now: float, settings: api.Settings) -> bool:
    """Whether another attempt at this upstream can have no second effect. The only such test."""
    if request.once_only or len(request.attempts) >= settings.max_attempts:
        return False
    if request.open_attempts() and not settings.second_copies:
        return False
    ran = [a for a in request.attempts if a.may_have_run()]
    klass = request.klass
    if not ran or klass.effect is Effect.SAFE:
        return True
    if klass.effect is Effect.UNSAFE or now >= ran[0].sent_ms + klass.window_ms:
        return False
    if klass.group is Group.ALL:
        return True
    if klass.group is Group.ZONE:
        return all(a.upstream.zone == entry.zone for a in ran)
    return all(a.upstream.cell == entry.cell for a in ran)


def may_be_refused(request: Request) -> bool:
    """Whether the client may be told that trying again is harmless. The only such test."""
    if request.klass.effect is Effect.SAFE or not any(a.may_have_run() for a in request.attempts):
        return not request.streaming
    return request.klass.effect is Effect.KEYED and request.klass.group is Group.ALL and not request.streaming


class Picker:
    """The design's idle-first pick, within the rules on drains and cold upstreams."""

    def __init__(self, settings: api.Settings, traffic: Traffic, rng: random.Random) -> None:
        self._traffic, self._rng = traffic, rng
        self.fleet: dict[int, Upstream] = {}
        self.typical = Mean(SLOW_GAIN)  # answer times of all classes
        self._now = 0.0
        self._order: list[Upstream] = []  # the ready, the preferred first
        self._near = 0  # how many idle ones a pick draws from
        self._places: dict[int, tuple[float, float]] = {}  # on a circle, with the rating that took each
        self._cold: list[Upstream] = []  # those that the last pick met, and the warm ones' size in all
        self._warm = 0.0
        self._keys: deque[int] = deque()  # of the last requests
        self._usable, self._usable_ms = 0.0, float("-inf")
        self._usual_held, self.held = Mean(SLOW_GAIN), float("inf")  # what an upstream reports to hold
        self.tune(settings)

    def tune(self, settings: api.Settings) -> None:
        self._settings = settings
        # Where sizes are told: the middle, by ratio, of the least that a cold one can do and where it falls.
        tells = settings.ratings_tell_size
        self._cold_part = math.sqrt(max(1.0, settings.fall_multiple)) if tells else COLD_CAUTION
        columns = settings.report_columns
        self._column = columns.index(HELD_COLUMN) if HELD_COLUMN in columns else len(columns)
        self._reorder()

    def reported(self, u: Upstream, report: tuple[float, ...], now: float) -> None:
        """A load report: what the upstream holds of all copies' requests. An unreadable one tells nothing."""
        held = report[self._column] if self._column < len(report) else -1.0
        if 0 <= held < float("inf"):
            u.held, u.held_ms = u.held + (held - u.held) * (REPORT_GAIN if u.held_ms > 0 else 1.0), now
            self._usual_held.add(held)
            self.held = self._usual_held.mean

    def listed(self, kind: ListKind, entries: Iterable[api.UpstreamEntry]) -> None:
        fresh = {entry.upstream: entry for entry in entries}
        if kind is not ListKind.CHANGES:
            self.fleet = {number: u for number, u in self.fleet.items() if number in fresh}
        known = list(fresh.values()) + [u.entry for u in self.fleet.values()]
        ratings = [entry.rating for entry in known if 0 < entry.rating < float("inf")]
        for upstream, entry in fresh.items():
            if entry.state is UpstreamState.GONE:
                self.fleet.pop(upstream, None)
            elif upstream in self.fleet:
                if self.fleet[upstream].entry.state is UpstreamState.SUSPENDED and entry.state is READY:
                    self.fleet[upstream].owed_ms = entry.started_ms + OWED_MS * self._rng.uniform(0.5, 1.0)
                self.fleet[upstream].relist(entry)
            else:
                self.fleet[upstream] = Upstream(entry, self._first_slowness(entry, ratings))
        self._reorder()

    def _first_slowness(self, entry: api.UpstreamEntry, ratings: list[float]) -> float:
        """What an upstream not yet heard from counts for: picked by its size, where ratings tell that."""
        if self._settings.ratings_tell_size and 0 < entry.rating < float("inf"):
            return math.pow(sum(ratings) / len(ratings) / entry.rating, 1 / STEEPNESS)
        return 1.0

    def _reorder(self) -> None:
        """Each copy prefers every so-many-th by rating, from starts spread over the copies: big and small.
        Guards against copies that know nothing of any upstream and hold a connection to each."""
        ready = [u for u in self.fleet.values() if u.entry.state is READY]
        ready.sort(key=lambda u: (u.entry.rating, u.entry.upstream))
        count, copies = len(ready), max(1, self._settings.copies)
        self._near = min(count, max(NEAR, math.ceil(COPIES_EACH * count / copies)))
        self._place(ready)
        start, step = self._settings.me * GOLDEN % 1, 1 / max(1, self._near)
        self._order = sorted(ready, key=lambda u: (self._places[u.entry.upstream][0] - start) % 1 % step)
        self._usable_ms = float("-inf")

    def _place(self, ready: list[Upstream]) -> None:
        """Places on a circle, by rating at first. One that comes takes a place that was left, of the nearest
        rating, else the middle of the widest gap. Guards against a change of the list that gives every copy
        other neighbours, and all connect anew at once; a list a quarter or twice as long is laid out anew."""
        if not len(self._places) / 4 <= len(ready) <= len(self._places) * 2:
            self._places = {u.entry.upstream: (n / len(ready), u.entry.rating) for n, u in enumerate(ready)}
        here = {u.entry.upstream for u in ready}
        left = [number for number in self._places if number not in here]
        for u in ready:
            number, rating = u.entry.upstream, u.entry.rating
            if number in self._places:
                continue
            if left:
                nearest = min(left, key=lambda n: abs(self._places[n][1] - rating))
                left.remove(nearest)
                self._places[number] = self._places.pop(nearest)[0], rating
            else:
                taken = sorted(place for place, _ in self._places.values())
                gaps = zip(taken, [*taken[1:], taken[0] + 1], strict=True)
                width, after = max((end - begin, begin) for begin, end in gaps)
                self._places[number] = (after + width / 2) % 1, rating

    def has_place(self, request: Request, when: float) -> bool:
        return any(may_be_resent(request, u.entry, when, self._settings) for u in self.fleet.values())

    def usable(self, now: float) -> float:
        """How many upstreams can be counted on: ready, not set aside repeatedly, cold by their warmth."""
        if now - self._usable_ms >= KEPT_MS:
            in_use = [u for u in self._order if now >= u.aside_until_ms or u.failures < 2]
            self._usable, self._usable_ms = sum(u.warmth(now, self._settings) for u in in_use), now
        return self._usable

    def pick(self, request: Request, now: float, size: float) -> Upstream | None:
        """The upstream for the request's next attempt, or None where no upstream may have it."""
        self._now = now
        tried = request.attempts[-1].upstream.upstream if request.attempts else None
        warm = any(u.warmth(now, self._settings) >= 1 for u in self._order)
        order, near = self._order, max(NEAR, self._near * self._traffic.part(now) * self._settings.copies)
        if self._settings.warm_keys and request.key:
            order, near = self._homes(request.key)
        able: list[Upstream] = []
        last: list[Upstream] = []  # the one just tried, and dead ones
        cold: list[Upstream] = []
        idle = 0.0  # a slow one counts for less, so that who is near to few sound ones looks further
        for u in order:
            if not may_be_resent(request, u.entry, now, self._settings):
                continue
            if u.warmth(now, self._settings) < 1:
                cold.append(u)
                if not self._takes_cold(u, warm, size):
                    continue
            # Guards against dead upstreams, which look idle: none is picked while others live.
            if u.entry.upstream == tried or (u.refused >= DEAD and not u.sound(now)):
                last.append(u)
                continue
            able.append(u)
            if u.sound(now) and not u.sent_ms:
                idle += 1 / max(1.0, self.slowness(u))
            if idle >= near:
                break
        able = able or last
        sound = [u for u in able if u.sound(now)]
        if len(sound) < SOUND_PART * len(able):
            sound = able
        pool = [u for u in sound if now >= u.owed_ms] or [u for u in sound if not u.sent_ms]
        if not pool and sound:
            # Guards against slow upstreams holding as many: in flight counts in the time that it takes there.
            load = [len(u.sent_ms) * self.slowness(u) for u in sound]
            mean = max(sum(load) / len(load), min(load))  # rounding must not leave equals above their mean
            pool = [u for u, held in zip(sound, load, strict=True) if held <= mean]
        if not pool:
            return None
        chosen = self._rng.choices(pool, [self._weight(u, request.size) for u in pool])[0]
        chosen.owed_ms = float("inf")
        if chosen.cold_credit is not None:
            chosen.cold_credit -= size
        self._cold = cold
        if cold:
            self._warm = sum(self._size(u) for u in sound if u.warmth(now, self._settings) >= 1)
        return chosen

    def _homes(self, key: int) -> tuple[list[Upstream], float]:
        """Where this key has likely been of late, the same at every copy, likeliest first (rendezvous hashing
        by size), and how many homes its part of the traffic needs."""
        part = sum(other == key for other in self._keys) / max(1, len(self._keys))
        self._keys.append(key)
        if len(self._keys) > KEYS_KEPT:
            self._keys.popleft()

        def rank(u: Upstream) -> float:
            mixed = hash((key, u.entry.upstream)) * 0x9E3779B97F4A7C15 % 2**64
            return math.log((mixed + 1) / 2**64) / self._size(u)

        return sorted(self._order, key=rank, reverse=True), HOMES + math.floor(part * len(self._order))

    def _weight(self, u: Upstream, size: float) -> float:
        """The tie-break: the faster the likelier, for heavy work most of all."""
        crosses = self._settings.cross_zone_price > 0 and u.entry.zone != self._settings.zone
        part = CROSS_ZONE_PART if crosses else 1.0
        return part / math.pow(self.slowness(u), STEEPNESS * size) / self._crowd(u)

    def _crowd(self, u: Upstream) -> float:
        """What it reports to hold over the usual, less certain with age; in proportion, as all act on it."""
        fresh = math.exp2((u.held_ms - self._now) / REPORT_MS)
        return math.pow((1 + u.held) / (1 + self.held), fresh)

    def slowness(self, u: Upstream) -> float:
        """Its learned slowness, or its silence with work out, which tells before any answer does."""
        silent_ms = self._now - max(u.heard_ms, next(iter(u.sent_ms.values()), self._now))
        return max(u.slowness, silent_ms / self.typical.mean if self.typical.seen else 0.0)

    def _takes_cold(self, u: Upstream, warm: bool, size: float) -> bool:
        """A cold upstream takes what its credit allows; where all are cold, one attempt at a time."""
        if not warm or self._now >= u.owed_ms:
            return not u.sent_ms
        if u.cold_credit is None:  # a random start, so that not all copies send their first at once
            u.cold_credit = -self._rng.random() * size
        return u.cold_credit >= 0 and not u.sent_ms

    def _size(self, u: Upstream) -> float:
        """Its size against others', where ratings tell that."""
        rating = u.entry.rating if self._settings.ratings_tell_size else 1.0
        return rating if 0 < rating < float("inf") else 1.0

    def carried(self, u: Upstream, size: float, now: float) -> None:
        """Guards against all copies together pushing a cold upstream over: the work sent to it stays under
        what this copy's warm ones do for their size, cut to the least part of its capacity that it can have
        by now. Counted by answers: the few warm ones that a wave leaves may be sent more than they can do."""
        if u.warmth(now, self._settings) >= 1:
            for other in self._cold:
                if other.cold_credit is not None:
                    part = other.warmth(now, self._settings) * self._cold_part
                    earned = size * part * self._size(other) / max(self._warm, self._size(other))
                    other.cold_credit = min(other.cold_credit + earned, max(other.cold_credit, 0.0))


class Traffic:
    """How much of the tier's traffic comes to this copy: copies tell one another their rates.

    Guards against even parts where each caller has a copy of its own: most carry little, some far more.
    """

    def __init__(self, copies: int, may_tell: bool) -> None:
        self.copies, self._may_tell = copies, may_tell
        self._count, self._counted_ms, self._first_ms = 0.0, 0.0, float("inf")
        self._heard: dict[int, tuple[float, float]] = {}  # rates, and when they were heard
        self._others = 0.0

    def arrived(self, now: float) -> None:
        self._count = self._count * math.exp((self._counted_ms - now) / RATE_MS) + 1
        self._counted_ms, self._first_ms = now, min(self._first_ms, now)

    def rate(self, now: float) -> float:
        """Requests a second, smoothed; early on, over the time since the first."""
        gone = 1 - math.exp(-max(FIRST_TELL_MS, now - self._first_ms) / RATE_MS)
        return self._count * math.exp((self._counted_ms - now) / RATE_MS) / gone * 1000 / RATE_MS

    def heard(self, peer: int, message: bytes, now: float) -> None:
        if len(message) == RATE_BYTES and 0 <= peer < self.copies:
            self._heard[peer] = int.from_bytes(message, "little") / RATE_UNITS, now
            self._sum(now)

    def tell(self, now: float) -> bytes:
        self._sum(now)
        return min(256**RATE_BYTES - 1, round(self.rate(now) * RATE_UNITS)).to_bytes(RATE_BYTES, "little")

    def tell_ms(self, rate: float) -> float:
        """How long a copy of this rate waits between tells."""
        most = REQUESTS_A_WORD * self.copies / max(rate, 1e-9) * 1000
        return max(TELL_MS, min(LONGEST_TELL_MS, most))

    def _sum(self, now: float) -> None:
        """Silent copies carry nothing; one never heard counts as the mean of the heard."""
        heard = sum(rate for rate, at in self._heard.values() if now - at < SILENT * self.tell_ms(rate))
        self._others = heard * max(1.0, (self.copies - 1) / max(1, len(self._heard)))

    def part(self, now: float) -> float:
        if not self._heard:  # before the first words, within which a copy with much traffic would refuse it
            return 1.0 if self._may_tell and now - self._first_ms < 2 * FIRST_TELL_MS else 1 / self.copies
        rate = self.rate(now)
        return rate / max(rate + self._others, 1e-9)


class Level:
    """One class's part of the room, within a tenant's share or beyond: its credit, from 1 (nothing used) to
    -1, and the most that may be open at a moment."""

    def __init__(self, part: float) -> None:
        self.part, self.left, self.most_open = part, 1.0, 0.0


class Admission:
    """How many requests may be open. The room grows while answers show no queues to speak of, else shrinks.

    Guards against crowding: an upstream that holds too many grows slow and stays so. The sign is the smoothed
    ratio of answer times to a mark a third of the way (by ratio) from the class's best time to its aim.
    Requests reach a copy at random, so its even part of the room binds in the mean over time, as a credit: a
    copy with room for less than one may have several open; all together keep the room.
    """

    def __init__(self, settings: api.Settings, traffic: Traffic) -> None:
        self._traffic = traffic
        self.tune(settings)
        self.room = ROOM_START  # an upstream in use, over all copies, so that it goes with those lost
        self._pressure = Mean()
        self._shrunk_ms, self._grown_ms = float("-inf"), 0.0
        self._allowance: dict[int, tuple[float, float]] = {}
        self._settled_ms = 0.0

    def tune(self, settings: api.Settings) -> None:
        self._settings = settings
        dearest = max((klass.worth for klass in settings.classes), default=0.0) or 1.0
        self._dearest = 2 * max(range(len(settings.classes)), key=lambda n: settings.classes[n].worth, default=0)
        worths = [1 - CHEAP_ROOM * (1 - klass.worth / dearest) for klass in settings.classes]
        self._levels = [Level(worth * part) for worth in worths for part in (1.0, OVER_SHARE_ROOM)]

    def settle(self, open_requests: int, usable: float, typical_ms: float, now: float) -> None:
        """All credits up to now, from 1 (nothing used) to -1: earned at this copy's part of the room and
        spent by each open request, over a usual answer time, measured in what chance may bring."""
        spent, self._settled_ms = (now - self._settled_ms) / typical_ms, now
        whole = self.room * max(1.0, usable) * self._traffic.part(now)
        for level in self._levels:
            part = level.part * whole
            chance = CHANCE * math.sqrt(part)
            level.left = max(-1.0, min(1.0, level.left + (part - open_requests) * spent / chance))
            level.most_open = part + chance

    def admits(self, open_requests: int, class_index: int, tenant_index: int, now: float) -> bool:
        within = self._within_share(tenant_index, now)
        level = self._levels[class_index * 2 + (not within)]
        return level.left > 0 and open_requests < level.most_open

    def _within_share(self, tenant_index: int, now: float) -> bool:
        """This copy's even part of the tenant's quota, as a bucket for what chance may bring in a second."""
        if tenant_index >= len(self._settings.tenants):
            return True
        rate = max(0.0, self._settings.tenants[tenant_index].quota_per_s) * self._traffic.part(now)
        most = rate + CHANCE * math.sqrt(rate)
        tokens, since = self._allowance.get(tenant_index, (most, now))
        tokens = min(most, tokens + rate * (now - since) / 1000)
        within = tokens >= min(1.0, most)
        self._allowance[tenant_index] = (tokens - 1 if within else tokens, now)
        return within

    def answered(self, elapsed_ms: float, usual: Mean, aim_ms: float, held: float, now: float) -> None:
        """Chance makes one copy short of room while all together are not: reports tell, where they come."""
        # Guards against a few slow upstreams, hardly used, that shrink the room of all.
        self._pressure.add(min(MOST_PRESSURE, elapsed_ms / (usual.best**2 * aim_ms) ** (1 / 3)))
        if self._pressure.mean > 1:
            if now - self._shrunk_ms >= usual.mean:
                self.room, self._shrunk_ms = max(ROOM_LEAST, self.room * ROOM_SHRINK), now
        elif self.room < ROOM_START or (self._levels[self._dearest].left < SHORT_CREDIT and self.room < held):
            told = GAIN * (1 - self._pressure.mean) ** 2  # one answer tells more, the farther it is from slow
            self.room *= 1 + min(told, ROOM_GROWTH * (now - self._grown_ms) / usual.mean)
        self._grown_ms = now


class Balancer:
    """One copy. Ties the events to the decisions above; `_answer` is the only way to a final answer."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self._rng = random.Random(seed)
        self._quota = RetryQuota(self._rng)
        self._traffic = Traffic(max(1, settings.copies), settings.may_tell)
        self._picker = Picker(settings, self._traffic, self._rng)
        self._admission = Admission(settings, self._traffic)
        self._requests: dict[int, Request] = {}
        self._usual: list[Mean] = []  # answer times by class
        self._hints: list[Mean] = []  # work that requests announce, by class
        self._tune(settings)
        self._timers: dict[int, tuple[str, int, int]] = {}
        self._next_token, self._first_ms = 0, float("inf")
        self._asks = 0
        self._following, self._telling = False, False
        self._out: list[api.Action] = []

    def _tune(self, settings: api.Settings) -> None:
        """New settings, for what comes from now on. What was learned and spent stays; a request under way
        keeps its class, so that a looser one cannot give it a second effect."""
        self._settings, self._is_front = settings, settings.tier == 0
        for means in (self._usual, self._hints):
            means += [Mean(SLOW_GAIN) for _ in settings.classes[len(means) :]]

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        self._out = []
        if self._settings.may_tell and not self._telling:
            self._telling = True
            self._set_timer("tell", 0, 0, FIRST_TELL_MS * self._rng.uniform(0.5, 1.5))
        match event:
            case api.RequestArrived():
                self._arrived(now, event)
            case api.AttemptEnded():
                self._attempt_ended(now, event)
            case api.TimerFired():
                self._timer_fired(now, *self._timers.pop(event.token, ("", 0, 0)))
            case api.ClientLeft():
                self._requests.pop(event.request_id, None)
            case api.AnswerBegan() if event.request_id in self._requests:
                request = self._requests[event.request_id]
                request.streaming = request.passing = True
            case api.BodyPassing(request_id, deadline_ms) if request_id in self._requests:
                self._requests[request_id].body_passes(now, deadline_ms)
            case api.FleetListed():
                self._picker.listed(event.kind, event.entries)
                if event.kind is not ListKind.CACHED:
                    self._following, self._asks = self._settings.must_ask, 0
                elif self._settings.must_ask:
                    self._ask_later()
            case api.Retuned(settings):
                self._tune(settings)
                self._picker.tune(settings)
                self._admission.tune(settings)
            case api.Recalled(memory):
                self._recall(memory)
            case api.PeerSpoke(peer, message):
                self._traffic.heard(peer, message, now)
            case api.ListFailed():
                self._following = False  # also a subscription that broke: it has to be asked for anew
                self._ask_later()
        return self._out

    def skipped(self, now: float) -> int:
        """How many listed upstreams get nothing now, by hand or set aside. Changes nothing."""
        fleet = [(u.entry.state, now < u.aside_until_ms) for u in self._picker.fleet.values()]
        return sum(state is UpstreamState.SUSPENDED or (state is READY and aside) for state, aside in fleet)

    def hand_over(self) -> api.Memory:
        """What a successor goes on from. Half of the quota goes with it: both spend no more than one."""
        self._quota.tokens /= 2
        known = {
            number: api.Known(u.started_ms, u.slowness, u.failures, u.refused, u.aside_until_ms)
            for number, u in self._picker.fleet.items()
        }
        return api.Memory(self._quota.tokens, self._admission.room, known)

    def _recall(self, memory: api.Memory) -> None:
        self._quota.tokens = min(self._quota.tokens, memory.quota)
        self._admission.room = max(ROOM_LEAST, memory.room)
        for number, known in memory.upstreams.items():
            if (u := self._picker.fleet.get(number)) is not None:
                u.started_ms = max(u.started_ms, known.started_ms)
                u.slowness, u.failures = known.slowness, known.failures
                u.refused, u.aside_until_ms = known.refused, known.aside_until_ms

    def _ask_later(self) -> None:
        """Subscribe after a full-jitter wait: copies that start or lose discovery together spread out."""
        base_ms = max(BASE_FULL_MS, self._settings.ask_within_ms / 2)
        self._set_timer("ask", 0, 0, self._quota.wait_ms(base_ms, self._asks))
        self._asks += 1

    def _arrived(self, now: float, event: api.RequestArrived) -> None:
        if not 0 <= event.class_index < len(self._settings.classes):
            self._out.append(api.Fail(event.request_id))  # its class is unknown, so nothing is promised
            return
        request = Request(event, self._settings.classes[event.class_index], now)
        self._traffic.arrived(now)
        self._requests[request.id] = request
        hint_ms, hints = event.work_hint_ms or 0.0, self._hints[event.class_index]
        if 0 < hint_ms < float("inf"):
            hints.add(hint_ms)
            request.size = (1 + hint_ms / hints.mean) / 2  # half, since waits do not go with the work
        self._first_ms = min(self._first_ms, now)
        # Only the front turns work away for want of room: further in, a refusal wastes work already done.
        room = True
        if self._is_front:
            self._settle(now, others := self._open() - 1)
            room = self._admission.admits(others, event.class_index, event.tenant_index, now)
        if now >= request.deadline_ms or not room or not self._send(now, request, 0.0):
            self._answer(request)

    def _open(self) -> int:
        """Requests that upstreams have work with. Guards against long messages that crowd out the others."""
        return sum(not request.passing for request in self._requests.values())

    def _settle(self, now: float, open_requests: int) -> None:
        """Before any answer, the shortest time that clients want stands for the usual."""
        typical_ms = self._picker.typical.mean or min(c.aim_ms for c in self._settings.classes)
        self._admission.settle(open_requests, self._picker.usable(now), typical_ms, now)

    def _send(self, now: float, request: Request, cost: float) -> bool:
        """One more attempt, where an upstream may have it. The only way to a send."""
        usual = self._usual[request.class_index]
        upstream = self._picker.pick(request, now, self._size(request))
        if upstream is None:
            return False
        number = len(request.attempts)
        request.attempts.append(Attempt(upstream, now, cost))
        upstream.sent_ms[request.id, number] = now
        self._out.append(api.Send(request.id, upstream.entry.upstream, 0.0))
        if self._is_front and usual.seen > 1 and request.klass.effect is not Effect.UNSAFE:
            overdue_ms = request.size * (usual.mean + OVERDUE_DEVIATIONS * usual.deviation)
            if now + overdue_ms + usual.mean < request.useful_until_ms:
                self._set_timer("overdue", request.id, number, overdue_ms)
        return True

    def _size(self, request: Request) -> float:
        """A request's work over the usual of all classes."""
        usual = self._usual[request.class_index]
        return request.size * usual.mean / self._picker.typical.mean if usual.seen else 1.0

    def _attempt_ended(self, now: float, event: api.AttemptEnded) -> None:
        request = self._requests.get(event.request_id)
        self._learn(now, event, request)
        if request is None or event.attempt >= len(request.attempts):
            return
        attempt = request.attempts[event.attempt]
        attempt.outcome = event.outcome
        if event.request_over:
            if event.outcome is Outcome.OK:
                self._quota.refund(attempt.cost if event.attempt else CLEAN_REFUND)
            self._requests.pop(request.id)
        elif not request.open_attempts() and request.waiting_cost is None:
            self._retry_or_answer(now, request, event.outcome)

    def _learn(self, now: float, event: api.AttemptEnded, request: Request | None) -> None:
        """What an attempt's end tells of its upstream, its class and the room for requests."""
        upstream = self._picker.fleet.get(event.upstream)
        outcome, elapsed_ms = event.outcome, max(event.elapsed_ms, SHORTEST_MS)
        if upstream is not None:
            self._picker.reported(upstream, event.report, now)
            upstream.sent_ms.pop((event.request_id, event.attempt), None)
            if outcome is Outcome.CONNECT_FAILED:
                upstream.refused += now >= upstream.aside_until_ms
            elif outcome in (Outcome.OK, Outcome.ERROR):
                if upstream.refused >= DEAD:
                    upstream.restarted(now)  # life after a death is a restart, even before the list tells
                upstream.refused, upstream.heard_ms = 0, now
            if outcome is Outcome.OK:
                upstream.failures //= 2
            elif outcome not in (Outcome.CANCELLED, Outcome.NOT_SENT):
                upstream.failed(now, self._quota.wait_ms(BASE_FULL_MS, upstream.failures))
        if request is not None and outcome in (Outcome.OK, Outcome.TIMEOUT):
            usual, elapsed_ms = self._usual[request.class_index], elapsed_ms / request.size
            if outcome is Outcome.OK:
                usual.add(elapsed_ms, now - self._first_ms >= request.klass.aim_ms)
                self._picker.typical.add(elapsed_ms)
                if upstream is not None:
                    self._picker.carried(upstream, self._size(request), now)
            if upstream is not None and usual.mean > 0:
                upstream.slowness += GAIN * (elapsed_ms / usual.mean - upstream.slowness)
            if outcome is Outcome.OK and self._is_front:
                self._settle(now, self._open())
                self._admission.answered(elapsed_ms, usual, request.klass.aim_ms, self._picker.held, now)

    def _retry_or_answer(self, now: float, request: Request, outcome: Outcome) -> None:
        """After a failure: the quota's retry after its wait, or the answer at once. The front owns retries;
        an inner copy owns those of attempts proven never to have run, since the proof is lost one tier up."""
        usual_ms = self._usual[request.class_index].mean
        full = outcome is Outcome.FULL
        cost, base_ms = (COST_FULL, BASE_FULL_MS) if full else (COST_TRANSIENT, BASE_TRANSIENT_MS)
        wait_ms = self._quota.wait_ms(base_ms, len(request.attempts) - 1)
        if (
            (self._is_front or outcome.never_ran)
            and now + wait_ms + usual_ms < request.useful_until_ms
            and self._picker.has_place(request, now + wait_ms)
            and self._quota.spend(cost)
        ):
            request.waiting_cost = cost
            self._set_timer("retry", request.id, 0, wait_ms)
        else:
            self._answer(request)

    def _timer_fired(self, now: float, what: str, request_id: int, number: int) -> None:
        if what == "ask" and not self._following:
            self._out.append(api.Subscribe(True))
        if what == "tell":
            self._out.append(api.TellPeers(None, self._traffic.tell(now)))
            # as often as what there is to tell has doubled, up to the usual
            usual_ms = self._traffic.tell_ms(self._traffic.rate(now))
            self._set_timer("tell", 0, 0, min(usual_ms, max(FIRST_TELL_MS, now - self._first_ms)))
        request = self._requests.get(request_id)
        if request is None:
            return
        if what == "retry" and request.waiting_cost is not None:
            cost, request.waiting_cost = request.waiting_cost, None
            if now >= request.deadline_ms or not self._send(now, request, cost):
                self._quota.refund(cost)
                self._answer(request)
        elif what == "overdue" and request.attempts[number].outcome is None and not request.once_only:
            self._overdue(now, request, request.attempts[number])

    def _overdue(self, now: float, request: Request, attempt: Attempt) -> None:
        """Silence while others answer: guards against upstreams that take work and answer nothing. It counts
        as their failure; where the class allows, a second copy goes out, paid for like a retry."""
        upstream = self._picker.fleet.get(attempt.upstream.upstream)
        if upstream is not None:
            if upstream.heard_ms > attempt.sent_ms:
                return  # it lives: a second copy would be work wasted on a request that is merely long
            upstream.failed(now, self._quota.wait_ms(BASE_FULL_MS, upstream.failures))
        if request.attempts[-1] is not attempt or not self._settings.second_copies:
            return
        if self._quota.spend(COST_TRANSIENT) and not self._send(now, request, COST_TRANSIENT):
            self._quota.refund(COST_TRANSIENT)

    def _answer(self, request: Request) -> None:
        """The one exit: the final answer of a request given up on, at once."""
        del self._requests[request.id]
        if may_be_refused(request):
            typical_ms = self._picker.typical.mean or BASE_FULL_MS
            hold_off_ms = min(self._settings.max_retry_after_ms, self._quota.wait_ms(typical_ms, 0))
            self._out.append(api.Refuse(request.id, hold_off_ms if self._settings.retry_after else 0.0))
        else:
            self._out.append(api.Fail(request.id))

    def _set_timer(self, what: str, request_id: int, attempt: int, after_ms: float) -> None:
        self._next_token = (self._next_token + 1) % 2**32
        self._timers[self._next_token] = (what, request_id, attempt)
        self._out.append(api.SetTimer(after_ms, self._next_token))
