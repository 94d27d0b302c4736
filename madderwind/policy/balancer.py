"""Every decision of madderwind. Types, events and actions are in madderwind/policy/api.py: read that first.

One `Balancer` is one copy; time is `handle`'s `now` alone, chance its seed alone. A request goes: admission,
pick, attempt, (quota, wait, pick again,) one final answer. docs/design.md says what departs from it."""

from __future__ import annotations

import math
import random
from collections.abc import Iterable

from madderwind.policy import api
from madderwind.policy.api import Effect, Group, ListKind, Outcome, UpstreamState

QUOTA_CAP, COST_TRANSIENT, COST_FULL, CLEAN_REFUND = 500.0, 14.0, 5.0, 1.0  # the design page's, as the next
BASE_TRANSIENT_MS, BASE_FULL_MS, CEILING_MS = 100.0, 1000.0, 20_000.0
GAIN, SLOW_GAIN = 1 / 8, 1 / 64  # the last eight answers count, as in TCP's estimate; for what is usual, 64
OVERDUE_DEVIATIONS = 8.0  # over its class's mean; TCP's four call one sound attempt in forty late
SOUND_PART = 0.5  # fewer sound ones than this part: all have one cause, and those set aside are used again
DEAD = 3  # failed connects in a row that are a death: fewer, or a reset, may be those connections alone
ROOM_SHRINK, ROOM_GROWTH, SHORT_CREDIT = 0.9, 0.04, 0.5  # on a sign of queues; in a usual time, when short
MOST_PRESSURE = 2.0  # of one answer, where 1 is the mark: a few slow upstreams don't shrink the room of all
ROOM_START, ROOM_LEAST = 8.0, 3.0  # open requests an upstream, over all copies; the least keeps all at work
OVER_SHARE_ROOM, CHEAP_ROOM = 0.75, 0.4  # of the room: beyond a share; what a worthless class would lack
CHANCE, QUICK = 3.0, 0.8  # deviations of a count (its root) left to chance; of the mark: nobody crowds
NEAR, COPIES_EACH = 3, 8  # idle upstreams a pick draws from; copies near to each, so that none alone matters
STEEPNESS, CROSS_ZONE_PART = 3.0, 0.2  # of slowness in the tie-break; another zone there, if that is priced
GOLDEN = 0.618034  # steps of this part of a circle keep all points well apart, however many there are
HOMES, KEYS_KEPT = 2, 200  # of a key; and the requests whose keys are counted
COLD_CAUTION = 0.8  # of their least capacity for cold upstreams, as chance and unknown size add to it
OWED_MS = 4500.0  # one called back is owed its first attempt by chance between half of this and all of it
TELL_MS, FIRST_TELL_MS, RATE_MS = 1000.0, 200.0, 4000.0  # rates: told at most, at first; smoothed over
# Who carries little tells less often: a word to a copy costs so many requests. Silent so many waits: gone.
REQUESTS_A_WORD, LONGEST_TELL_MS, SILENT = 0.3, 10_000.0, 3.0
RATE_BYTES, RATE_UNITS = 3, 100  # a rate on the wire: hundredths of a request a second
MARK_BYTES, MOST_MARKS, ALARM_MS, HEARD_MS = 4, 60, 50.0, 500.0  # failures; passed over if heard so lately


class RetryQuota:
    """The design's token bucket and its full-jitter doubling waits."""

    def __init__(self, rng: random.Random) -> None:
        self.tokens = QUOTA_CAP
        self._rng = rng

    def spend(self, cost: float) -> bool:
        enough = self.tokens >= cost
        self.tokens -= cost * enough
        return enough

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
        # With its error on top: a noisy mean's lowest is luck; the first answers, short ones, set no best.
        likely = self.mean + 2 * self.deviation * gain**0.5
        self.best = min(self.best, likely) if settled else likely


class Upstream:
    """What this copy knows of one upstream."""

    def __init__(self, entry: api.UpstreamEntry) -> None:
        self.entry, self.started_ms, self.mark = entry, entry.started_ms, entry.mark or entry.upstream
        self.sent_ms: dict[tuple[int, int], float] = {}  # attempts in flight, oldest first
        self.slowness = 1.0  # its answers' times over the class's usual, smoothed
        self.failures, self.aside_until_ms, self.refused = 0, 0.0, 0  # refused: failed connects in a row
        self.heard_ms = float("-inf")  # its last answer
        self.cold_credit: float | None = None
        self.owed_ms, self.left = float("inf"), False  # its own attempt, as it was called back; by the fleet

    def restarted(self, started_ms: float) -> None:
        self.started_ms, self.refused, self.cold_credit = started_ms, 0, None
        self.slowness, self.failures, self.aside_until_ms = min(self.slowness, 1.0), 0, 0.0  # another process

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

    def counts(self, now: float) -> bool:
        return now >= self.aside_until_ms or self.failures < 2  # else it was set aside repeatedly

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
    def __init__(self, event: api.RequestArrived, settings: api.Settings, now: float) -> None:
        self.id, self.class_index, self.settings = event.request_id, event.class_index, settings  # as it came
        klass = self.klass = settings.classes[event.class_index]
        self.key, self.deadline_ms = event.key, event.deadline_ms
        aim_ms = klass.aim_ms if klass.late_worth <= 0 else klass.deadline_ms
        self.useful_until_ms = min(event.deadline_ms, now + aim_ms)
        self.attempts: list[Attempt] = []
        self.waiting_cost: float | None = None  # set while a retry's wait runs
        self.streaming = self.once_only = False  # its answer has begun; or its body's beginning is let go
        self.passing = False  # body or answer goes on in pieces: it takes nobody's time meanwhile

    def body_passes(self, now: float, deadline_ms: float) -> None:
        self.once_only, self.passing = True, math.isinf(deadline_ms)
        self.deadline_ms, self.attempts[-1].sent_ms = deadline_ms, now

    def open_attempts(self) -> int:
        return sum(a.outcome is None for a in self.attempts)


def may_be_resent(request: Request, entry: api.UpstreamEntry, now: float, settings: api.Settings) -> bool:
    """Whether another attempt at this upstream can have no second effect. The only such test."""
    too_many = len(request.attempts) >= min(settings.max_attempts, request.settings.max_attempts)
    beside = settings.second_copies and request.settings.second_copies
    if request.once_only or too_many or (request.open_attempts() and not beside):
        return False
    ran, klass = [a for a in request.attempts if a.may_have_run()], request.klass
    if not ran or klass.effect is Effect.SAFE:
        return True
    if klass.effect is Effect.UNSAFE or now >= ran[0].sent_ms + klass.window_ms:
        return False
    if klass.group is Group.ZONE:
        return all(a.upstream.zone == entry.zone for a in ran)
    return klass.group is Group.ALL or all(a.upstream.cell == entry.cell for a in ran)


def may_be_refused(request: Request) -> bool:
    """Whether the client may be told that trying again is harmless. The only such test."""
    if request.klass.effect is Effect.SAFE or not any(a.may_have_run() for a in request.attempts):
        return not request.streaming
    return request.klass.effect is Effect.KEYED and request.klass.group is Group.ALL and not request.streaming


class Picker:
    """The design's idle-first pick, within the rules on drains and cold upstreams."""

    def __init__(self, settings: api.Settings, traffic: Traffic, rng: random.Random) -> None:
        self._traffic, self._rng = traffic, rng
        self._now, self.typical = 0.0, Mean(SLOW_GAIN)  # typical: answer times of all classes
        self.fleet, self._order = dict[int, Upstream](), list[Upstream]()  # order: the ready, as preferred
        self._places: dict[int, tuple[float, float]] = {}  # on a circle, with the rating that took each
        self._cold, self._warm = list[Upstream](), 0.0  # that the last pick met, and the warm ones' size
        self._keys = list[int]()  # of the last requests
        self.cells = dict[int, float]()  # each one's slowness: its members may have a limit in common
        self._usable, self._usable_ms, self.short = 0.0, float("-inf"), False
        self.tune(settings)

    def tune(self, settings: api.Settings) -> None:
        self._settings = settings
        middle = math.sqrt(max(1.0, settings.fall_multiple))  # by ratio, of the least and of where it falls
        self._cold_part = middle if settings.ratings_tell_size else COLD_CAUTION
        self._reorder()

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
                u = self.fleet[upstream]
                if u.entry.state is UpstreamState.SUSPENDED and entry.state is UpstreamState.READY:
                    u.owed_ms = entry.started_ms + OWED_MS * self._rng.uniform(0.5, 1.0)
                u.entry, u.left = entry, u.left or entry.state is UpstreamState.LEFT
                if entry.started_ms > u.started_ms:
                    u.restarted(entry.started_ms)
            else:  # not yet heard from: picked by its size, where ratings tell that
                u = self.fleet[upstream] = Upstream(entry)
                if self._settings.ratings_tell_size and 0 < entry.rating < float("inf"):
                    u.slowness = math.pow(sum(ratings) / len(ratings) / entry.rating, 1 / STEEPNESS)
        self._reorder()

    def _reorder(self) -> None:
        """Guards against copies that know little of each upstream and connect to all: each prefers every
        so-many-th by rating, big and small, from starts spread over the copies."""
        ready = [u for u in self.fleet.values() if u.entry.state is UpstreamState.READY]
        ready.sort(key=lambda u: (u.entry.rating, u.entry.upstream))
        count = len(ready)
        self._near = min(count, max(NEAR, math.ceil(COPIES_EACH * count / self._traffic.copies)))
        self._place(ready)
        start, step = self._settings.me * GOLDEN % 1, 1 / max(1, self._near)
        at = {u: (self._places[u.entry.upstream][0] - start) % 1 % step for u in ready}
        self._order = sorted(ready, key=lambda u: (math.isinf(u.owed_ms), at[u]))  # owed ones first
        self._usable_ms = float("-inf")

    def _place(self, ready: list[Upstream]) -> None:
        """Places on a circle, by rating at first. Guards against changes that give every copy new neighbours:
        a newcomer takes a place left, of the nearest rating, or the middle of the widest gap."""
        if not len(self._places) / 4 <= len(ready) <= len(self._places) * 2:
            self._places = {u.entry.upstream: (n / len(ready), u.entry.rating) for n, u in enumerate(ready)}
        here = {u.entry.upstream for u in ready}
        left = [number for number in self._places if number not in here]
        for u in (u for u in ready if u.entry.upstream not in self._places):
            rating = u.entry.rating
            if left:
                nearest = min(left, key=lambda n: abs(self._places[n][1] - rating))
                left.remove(nearest)
                place = self._places.pop(nearest)[0]
            else:
                taken = sorted(place for place, _ in self._places.values())
                gaps = zip(taken, [*taken[1:], taken[0] + 1], strict=True)
                width, after = max((end - begin, begin) for begin, end in gaps)
                place = (after + width / 2) % 1
            self._places[u.entry.upstream] = place, rating

    def has_place(self, request: Request, when: float) -> bool:
        return any(may_be_resent(request, u.entry, when, self._settings) for u in self.fleet.values())

    def usable(self, now: float) -> float:
        """How many upstreams can be counted on: ready, not set aside repeatedly, cold by their warmth."""
        if now - self._usable_ms >= 50:  # it goes over the whole fleet
            in_use = {u: u.warmth(now, self._settings) for u in self._order if u.counts(now)}
            self._usable, self._usable_ms = sum(in_use.values()), now
            self.short = any(u.left and in_use.get(u, 0.0) < 1 for u in self.fleet.values())
        return self._usable

    def pick(self, request: Request, now: float) -> Upstream | None:
        """The upstream for the request's next attempt, or None where no upstream may have it."""
        self._now = now
        tried = request.attempts[-1].upstream.upstream if request.attempts else None
        warm = any(u.warmth(now, self._settings) >= 1 for u in self._order)
        if self._settings.warm_keys and request.key:
            order, near = self._homes(request.key)
        else:
            near = max(NEAR, round(self._near * self._traffic.part(now) * self._traffic.copies))
            order = self._order
        able, cold, last = list[Upstream](), list[Upstream](), list[Upstream]()  # last: just tried, and dead
        idle = 0.0  # a slow one counts for less, so that who is near to few sound ones looks further
        for u in order:
            if not may_be_resent(request, u.entry, now, self._settings):
                continue
            if u.warmth(now, self._settings) < 1:
                cold.append(u)
                if not self._takes_cold(u, warm):
                    continue
            if u.entry.upstream == tried or (u.refused >= DEAD and not u.sound(now)):
                last.append(u)  # guards against dead ones, which look idle: only where no others live
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
            load = [len(u.sent_ms) * self.slowness(u) for u in sound]  # a slow one may not hold as many
            mean = max(sum(load) / len(load), min(load))  # rounding must not leave equals above their mean
            pool = [u for u, held in zip(sound, load, strict=True) if held <= mean]
        if not pool:
            return None
        chosen = self._rng.choices(pool, [self._weight(u) for u in pool])[0]
        if not math.isinf(chosen.owed_ms):
            chosen.owed_ms = math.inf
            self._reorder()
        if chosen.cold_credit is not None:
            chosen.cold_credit -= 1
        self._cold = cold
        if cold:
            self._warm = sum(self._size(u) for u in sound if u.warmth(now, self._settings) >= 1)
        return chosen

    def _homes(self, key: int) -> tuple[list[Upstream], int]:
        """Where the key is warm, likeliest first, alike at all copies (rendezvous hashing); how many."""
        part = self._keys.count(key) / max(1, len(self._keys))
        self._keys = [*self._keys[1 - KEYS_KEPT :], key]

        def rank(u: Upstream) -> float:
            return math.log((hash((key, u.mark)) * 0x9E3779B97F4A7C15 % 2**64 + 1) / 2**64) / self._size(u)

        return sorted(self._order, key=rank, reverse=True), HOMES + math.floor(part * len(self._order))

    def _weight(self, u: Upstream) -> float:
        crosses = self._settings.cross_zone_price > 0 and u.entry.zone != self._settings.zone
        slowness = self.slowness(u) * self.cells.get(u.entry.cell, 1.0) ** 2
        return (CROSS_ZONE_PART if crosses else 1.0) / math.pow(slowness, STEEPNESS)

    def took(self, u: Upstream, ratio: float) -> None:
        """An answer's or a time-out's time over its class's usual."""
        u.slowness += GAIN * (ratio - u.slowness)
        known = self.cells.get(u.entry.cell, 1.0)
        self.cells[u.entry.cell] = known + GAIN / 4 * (ratio - known)

    def slowness(self, u: Upstream) -> float:
        """What was learned of it, or its silence with work out, which tells before any answer does."""
        silent_ms = self._now - max(u.heard_ms, next(iter(u.sent_ms.values()), self._now))
        return max(u.slowness, silent_ms / self.typical.mean if self.typical.seen else 0.0)

    def _takes_cold(self, u: Upstream, warm: bool) -> bool:
        """A cold upstream takes what its credit allows; where all are cold, one attempt at a time."""
        if not warm or self._now >= u.owed_ms:
            return not u.sent_ms
        if u.cold_credit is None:  # a random start, so that not all copies send their first at once
            u.cold_credit = -self._rng.random()
        return u.cold_credit >= 0 and not u.sent_ms

    def _size(self, u: Upstream) -> float:
        rating = u.entry.rating if self._settings.ratings_tell_size else 1.0
        return rating if 0 < rating < float("inf") else 1.0

    def carried(self, u: Upstream, now: float) -> None:
        """Guards against all copies together pushing a cold upstream over: it is sent what warm ones of its
        size answer (they may be sent more than they can do), cut to its least capacity by now."""
        if u.warmth(now, self._settings) >= 1:
            for other in self._cold:
                if other.cold_credit is not None:
                    part = other.warmth(now, self._settings) * self._cold_part
                    earned = part * self._size(other) / max(self._warm, self._size(other))
                    other.cold_credit = min(other.cold_credit + earned, max(other.cold_credit, 0.0))


class Traffic:
    """This copy's part of the tier's traffic: copies tell one another their rates. Guards against even parts
    where each caller has a copy of its own: most carry little, some far more."""

    def __init__(self, settings: api.Settings) -> None:
        self.tune(settings)
        self._count, self._counted_ms, self.first_ms = 0.0, 0.0, float("inf")
        self._heard: dict[int, tuple[float, float]] = {}  # rates, and when they were heard
        self._others, self._summed_ms, self.failed = 0.0, float("-inf"), list[int]()  # failed: marks to tell

    def tune(self, settings: api.Settings) -> None:
        self.copies, self._may_tell = max(1, settings.copies), settings.may_tell

    def arrived(self, now: float) -> None:
        self._count = self._count * math.exp((self._counted_ms - now) / RATE_MS) + 1
        self._counted_ms, self.first_ms = now, min(self.first_ms, now)

    def rate(self, now: float) -> float:
        gone = 1 - math.exp(-max(FIRST_TELL_MS, now - self.first_ms) / RATE_MS)
        return self._count * math.exp((self._counted_ms - now) / RATE_MS) / gone * 1000 / RATE_MS

    def heard(self, peer: int, message: bytes, now: float) -> set[int]:
        """Silent copies carry nothing, one never heard the mean. Returned: the marks of who failed it."""
        if len(message) % MARK_BYTES != RATE_BYTES or not 0 <= peer < self.copies:
            return set()
        self._heard[peer] = int.from_bytes(message[:RATE_BYTES], "little") / RATE_UNITS, now
        marks = range(RATE_BYTES, len(message), MARK_BYTES)
        return {int.from_bytes(message[at : at + MARK_BYTES], "little") for at in marks}

    def tell(self, now: float) -> bytes:
        said = min(0xFFFFFF, round(self.rate(now) * RATE_UNITS)).to_bytes(RATE_BYTES, "little")
        marks, self.failed = self.failed[:MOST_MARKS], []
        return said + b"".join(mark.to_bytes(MARK_BYTES, "little") for mark in marks)

    def tell_ms(self, rate: float) -> float:
        most = REQUESTS_A_WORD * self.copies / max(rate, 1e-9) * 1000
        return max(TELL_MS, min(LONGEST_TELL_MS, most))

    def part(self, now: float) -> float:
        if not self._heard:  # before the first words, within which a copy with much traffic would refuse it
            return 1.0 if self._may_tell and now - self.first_ms < 2 * FIRST_TELL_MS else 1 / self.copies
        if now - self._summed_ms >= 250:  # not with each word: they grow with the square of the copies
            alive = sum(rate for rate, at in self._heard.values() if now - at < SILENT * self.tell_ms(rate))
            self._others, self._summed_ms = alive * max(1.0, (self.copies - 1) / len(self._heard)), now
        return (rate := self.rate(now)) / max(rate + self._others, 1e-9)


class Admission:
    """How many requests may be open. Guards against crowding: an upstream that holds too many grows slow and
    stays so. The room shrinks by the smoothed ratio of answer times to a mark, a third of the way (by ratio)
    from the class's best time to its aim, two thirds while short of what the fleet left. A copy's part of it
    binds over time, as requests come at random, but not while short and its answers quick."""

    def __init__(self, settings: api.Settings, traffic: Traffic) -> None:
        self._traffic = traffic
        self.tune(settings)
        self.room = ROOM_START  # an upstream in use, over all copies, so that it goes with those lost
        self._pressure, self._shrunk_ms, self._grown_ms, self._settled_ms = Mean(), -math.inf, 0.0, 0.0
        self._allowance, self._whole, self.short = dict[int, tuple[float, float]](), 0.0, False

    def tune(self, settings: api.Settings) -> None:
        self._settings = settings
        worths = [max(0.0, klass.worth) for klass in settings.classes]
        parts = [1 - CHEAP_ROOM * (1 - worth / (max(worths) or 1.0)) for worth in worths]
        self._parts = [part * within for part in parts for within in (1.0, OVER_SHARE_ROOM)]
        self._dearest = max(range(len(self._parts)), key=self._parts.__getitem__, default=0)
        self.left = [1.0 for _ in self._parts]  # each part's credit, from 1 (nothing used) to -1

    def settle(self, opened: int, usable: float, typical_ms: float, now: float, short: bool) -> None:
        """Credits up to now, earned by room and spent by open requests, in what chance may bring."""
        spent, self._settled_ms, self.short = (now - self._settled_ms) / typical_ms, now, short
        self._whole = max(1e-9, self.room * max(1.0, usable) * self._traffic.part(now))
        least = 0.1 if short and self._pressure.mean < QUICK else -1.0
        for n, part in enumerate(self._parts):
            earned = (part * self._whole - opened) * spent / (CHANCE * math.sqrt(part * self._whole))
            self.left[n] = max(least, min(1.0, self.left[n] + earned))

    def admits(self, open_requests: int, class_index: int, tenant_index: int, now: float) -> bool:
        n = class_index * 2 + (not self._within_share(tenant_index, now))
        most_open = self._parts[n] * self._whole
        return self.left[n] > 0 and open_requests < most_open + CHANCE * math.sqrt(most_open)

    def _within_share(self, tenant_index: int, now: float) -> bool:
        """This copy's part of the tenant's quota, as a bucket for what chance may bring in a second."""
        if tenant_index >= len(self._settings.tenants):
            return True
        rate = max(0.0, self._settings.tenants[tenant_index].quota_per_s) * self._traffic.part(now)
        most = rate + CHANCE * math.sqrt(rate)
        tokens, since = self._allowance.get(tenant_index, (most, now))
        tokens = min(most, tokens + rate * (now - since) / 1000)
        within = tokens >= min(1.0, most)
        self._allowance[tenant_index] = (tokens - 1 if within else tokens, now)
        return within

    def answered(self, elapsed_ms: float, usual: Mean, aim_ms: float, now: float) -> None:
        aim_ms *= aim_ms / usual.best if self.short else 1.0  # the mark moves on by a third of the way
        self._pressure.add(min(MOST_PRESSURE, elapsed_ms / (usual.best**2 * aim_ms) ** (1 / 3)))
        if self._pressure.mean > 1:
            if now - self._shrunk_ms >= usual.mean:
                self.room, self._shrunk_ms = max(ROOM_LEAST, self.room * ROOM_SHRINK), now
        elif self.room < ROOM_START or self.left[self._dearest] < SHORT_CREDIT:
            told = GAIN * (1 - self._pressure.mean) ** 2  # one answer tells more, the farther it is from slow
            self.room *= 1 + min(told, ROOM_GROWTH * (now - self._grown_ms) / usual.mean)
        self._grown_ms = now


class Balancer:
    """One copy. Ties the events to the decisions above; `_answer` is the only way to a final answer."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self._rng, self._traffic = random.Random(seed), Traffic(settings)
        self._quota = RetryQuota(self._rng)
        self._picker = Picker(settings, self._traffic, self._rng)
        self._admission = Admission(settings, self._traffic)
        self._requests, self._usual = dict[int, Request](), list[Mean]()  # usual: answer times by class
        self.tune(settings)
        self._timers: dict[int, tuple[str, int, int]] = {}
        self._next_token, self._asks, self._following, self._telling_ms = 0, 0, False, math.inf

    def tune(self, settings: api.Settings) -> None:
        """For what comes from now on: a request under way keeps its class, as a looser might run it twice."""
        self._settings, self._is_front = settings, settings.tier == 0
        self._usual += [Mean(SLOW_GAIN) for _ in settings.classes[len(self._usual) :]]

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        self._out, self._now = list[api.Action](), now
        if self._settings.may_tell and math.isinf(self._telling_ms):
            self._telling_ms = now
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
                request.streaming = request.once_only = request.passing = True
            case api.BodyPassing(request_id, deadline_ms) if request_id in self._requests:
                self._requests[request_id].body_passes(now, deadline_ms)
            case api.FleetListed():
                self._picker.listed(event.kind, event.entries)
                if event.kind is not ListKind.CACHED:
                    self._following, self._asks = self._settings.must_ask, 0
                elif self._settings.must_ask:
                    self._ask_later()
            case api.Retuned(settings):
                for part in (self, self._traffic, self._picker, self._admission):
                    part.tune(settings)
            case api.Recalled(memory):
                self._recall(memory)
            case api.PeerSpoke(peer, message):
                marks = self._traffic.heard(peer, message, now)
                for u in self._picker.fleet.values() if marks else ():
                    if u.mark in marks and u.heard_ms < now - HEARD_MS:
                        self._set_aside(now, u)
            case api.ListFailed():
                self._following = False  # also a subscription that broke: it has to be asked for anew
                self._ask_later()
        return self._out

    def skipped(self, now: float) -> int:
        known = [(u.entry.state, now < u.aside_until_ms) for u in self._picker.fleet.values()]
        return sum({UpstreamState.READY: a, UpstreamState.DRAINING: False}.get(s, True) for s, a in known)

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
        self._admission.room = max(ROOM_LEAST, memory.room or ROOM_START)
        for number, known in memory.upstreams.items():
            if (u := self._picker.fleet.get(number)) is not None:
                u.started_ms, u.slowness = max(u.started_ms, known.started_ms), known.slowness or u.slowness
                u.failures, u.refused, u.aside_until_ms = known.failures, known.refused, known.aside_until_ms

    def _ask_later(self) -> None:
        """Subscribe after a full-jitter wait: copies that start or lose discovery together spread out."""
        base_ms = max(BASE_FULL_MS, self._settings.ask_within_ms / 2)
        self._set_timer("ask", 0, 0, self._quota.wait_ms(base_ms, self._asks))
        self._asks += 1

    def _arrived(self, now: float, event: api.RequestArrived) -> None:
        if not 0 <= event.class_index < len(self._settings.classes):
            self._out.append(api.Fail(event.request_id))  # its class is unknown, so nothing is promised
            return
        request = self._requests[event.request_id] = Request(event, self._settings, now)
        self._traffic.arrived(now)
        room = True
        if self._is_front:  # only: further in, a refusal wastes work already done
            self._settle(now, others := self._open() - 1)
            room = self._admission.admits(others, event.class_index, event.tenant_index, now)
        if now >= request.deadline_ms or not room or not self._send(now, request, 0.0):
            self._answer(request)

    def _open(self) -> int:
        return len([r for r in self._requests.values() if not (r.passing or self._hangs(r))])

    def _hangs(self, r: Request) -> bool:
        """Guards against thin copies that refuse all while an attempt into silence fills their room."""
        out = [(self._picker.fleet.get(a.upstream.upstream), a) for a in r.attempts if a.outcome is None]
        return bool(out) and not any(u and (u.counts(self._now) or u.heard_ms >= a.sent_ms) for u, a in out)

    def _settle(self, now: float, open_requests: int) -> None:
        typical_ms = self._picker.typical.mean or min(c.aim_ms for c in self._settings.classes)
        self._admission.settle(open_requests, self._picker.usable(now), typical_ms, now, self._picker.short)

    def _send(self, now: float, request: Request, cost: float) -> bool:
        """One more attempt, where an upstream may have it. The only way to a send."""
        usual = self._usual[request.class_index]
        if (upstream := self._picker.pick(request, now)) is None:
            return False
        number = len(request.attempts)
        request.attempts.append(Attempt(upstream, now, cost))
        upstream.sent_ms[request.id, number] = now
        self._out.append(api.Send(request.id, upstream.entry.upstream, 0.0))
        if self._is_front and usual.seen > 1 and request.klass.effect is not Effect.UNSAFE:
            overdue_ms = usual.mean + OVERDUE_DEVIATIONS * usual.deviation
            if now + overdue_ms + usual.mean < request.useful_until_ms:
                self._set_timer("overdue", request.id, number, overdue_ms)
        return True

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
        outcome, elapsed_ms = event.outcome, max(event.elapsed_ms, 0.1)  # a clock may stand still
        if upstream is not None:
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
                self._failed(now, upstream)
        if request is not None and outcome in (Outcome.OK, Outcome.TIMEOUT):
            usual = self._usual[request.class_index]
            if outcome is Outcome.OK:
                usual.add(elapsed_ms, now - self._traffic.first_ms >= request.klass.aim_ms)
                self._picker.typical.add(elapsed_ms)
                if upstream is not None:
                    self._picker.carried(upstream, now)
            if upstream is not None and usual.mean > 0:
                self._picker.took(upstream, elapsed_ms / usual.mean)
            if outcome is Outcome.OK and self._is_front:
                self._settle(now, self._open())
                self._admission.answered(elapsed_ms, usual, request.klass.aim_ms, now)

    def _set_aside(self, now: float, upstream: Upstream) -> None:
        upstream.failed(now, self._quota.wait_ms(BASE_FULL_MS, upstream.failures))

    def _failed(self, now: float, upstream: Upstream) -> None:
        """What this copy has seen itself is told to the others; hearsay is not told on."""
        self._set_aside(now, upstream)
        if self._settings.may_tell:
            if not self._traffic.failed:
                self._set_timer("alarm", 0, 0, ALARM_MS)
            self._traffic.failed.append(upstream.mark)

    def _retry_or_answer(self, now: float, request: Request, outcome: Outcome) -> None:
        """The quota's retry, or the answer at once. Inner copies retry only what provably never ran."""
        transient, full = (COST_TRANSIENT, BASE_TRANSIENT_MS), (COST_FULL, BASE_FULL_MS)
        cost, base_ms = full if outcome is Outcome.FULL else transient
        wait_ms = self._quota.wait_ms(base_ms, len(request.attempts) - 1)
        if (
            (self._is_front or outcome.never_ran)
            and now + wait_ms + self._usual[request.class_index].mean < request.useful_until_ms
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
        if what == "tell" or (what == "alarm" and self._traffic.failed):
            self._out.append(api.TellPeers(None, self._traffic.tell(now)))
        if what == "tell":
            usual_ms = self._traffic.tell_ms(self._traffic.rate(now))  # less early on: it soon changes
            self._set_timer("tell", 0, 0, min(usual_ms, max(FIRST_TELL_MS, now - self._telling_ms)))
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
            self._failed(now, upstream)
        last = request.attempts[-1] is attempt and self._settings.second_copies
        if last and self._quota.spend(COST_TRANSIENT) and not self._send(now, request, COST_TRANSIENT):
            self._quota.refund(COST_TRANSIENT)

    def _answer(self, request: Request) -> None:
        """The one exit: the final answer of a request given up on, at once."""
        del self._requests[request.id]
        if may_be_refused(request):
            wait_ms = self._quota.wait_ms(self._picker.typical.mean or BASE_FULL_MS, 0)
            hold_off_ms = min(self._settings.max_retry_after_ms, wait_ms)
            self._out.append(api.Refuse(request.id, hold_off_ms if self._settings.retry_after else 0.0))
        else:
            self._out.append(api.Fail(request.id))

    def _set_timer(self, what: str, request_id: int, attempt: int, after_ms: float) -> None:
        self._next_token = (self._next_token + 1) % 2**32
        self._timers[self._next_token] = (what, request_id, attempt)
        self._out.append(api.SetTimer(after_ms, self._next_token))
