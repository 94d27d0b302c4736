"""What this copy has seen of each upstream lately: answers, failures, and silence with work out."""

from __future__ import annotations

import math
from collections.abc import Mapping

import msgspec

from madderwind.standalone.evacuation.areas import Area, Place
from madderwind.standalone.policy.api import Outcome

WINDOW_MS = 1500.0  # what was seen longer ago says nothing of now
# A good answer is told of while it is so fresh, and for as long as others accuse its zone.
FRESH_MS = 300.0
LIVES_MS = 5000.0  # a good answer from elsewhere says for so long that it is not this copy that is cut off
# Silence, and an answer, are bad from so many usual answer times on, and never before the least.
SLOW_FACTOR, SLOW_LEAST_MS = 4.0, 400.0
# Times as long for one that has just started, falling to once as it warms; and for trials in the dark.
COLD_PATIENCE, DARK_PATIENCE = 6.0, 2.0
GAIN, LONG_GAIN = 1 / 8, 1 / 64
RATE_OVER_MS = 4000.0
FAILED = frozenset((Outcome.CONNECT_FAILED, Outcome.RESET, Outcome.ERROR, Outcome.TIMEOUT))
Key = tuple[int, int]  # a request and its attempt


class _Seen:
    """Of one upstream: when the last good and bad observations were, when that bad attempt was sent, and when
    any answer came, late ones too."""

    __slots__ = ("bad_ms", "bad_sent_ms", "good_ms", "heard_ms")

    def __init__(self) -> None:
        self.good_ms = self.bad_ms = self.bad_sent_ms = self.heard_ms = -math.inf


NEVER = _Seen()


class _Usual:
    """Answer times of a zone, over the last few answers and over many."""

    __slots__ = ("lately_ms", "long_ms", "seen")

    def __init__(self) -> None:
        self.lately_ms, self.long_ms, self.seen = 0.0, 0.0, 0

    def add(self, elapsed_ms: float) -> None:
        self.seen += 1
        self.lately_ms += max(GAIN, 1 / self.seen) * (elapsed_ms - self.lately_ms)
        self.long_ms += max(LONG_GAIN, 1 / self.seen) * (elapsed_ms - self.long_ms)


class ZoneObservation(msgspec.Struct, frozen=True):
    """Marks of a zone's upstreams whose latest observation was bad, or good since the bad ones began; when
    the latest attempt went out that came to nothing; and when anything last answered there."""

    bads: frozenset[int] = frozenset()
    goods: frozenset[int] = frozenset()
    bad_sent_ms: float = -math.inf
    heard_ms: float = -math.inf

    @property
    def share(self) -> float:
        """Of what was seen, the bad part; 0 where nothing was."""
        return len(self.bads) / max(1, len(self.bads) + len(self.goods))


NOTHING = ZoneObservation()


class Observations:
    """Time from the calls. Bounded by the upstreams listed and the attempts open."""

    def __init__(self, warm_after_ms: float = 0.0) -> None:
        self._warm_after_ms = warm_after_ms
        self._places: Mapping[int, Place] = {}
        self._seen: dict[int, _Seen] = {}
        self._open: dict[Key, tuple[int, float]] = {}
        self._usual: dict[str, _Usual] = {}
        self._per_s, self._rate_ms = 0.0, -math.inf
        self._reopened_ms: dict[int, float] = {}
        self.dark = frozenset[int]()  # upstreams of what this copy has left, no step yet taken back
        self.accused_ms = dict[str, float]()  # zones that others accuse, and since when

    def listed(self, places: Mapping[int, Place]) -> None:
        self._places = places
        self._seen = {number: seen for number, seen in self._seen.items() if number in places}
        self._reopened_ms = {n: at_ms for n, at_ms in self._reopened_ms.items() if n in places}

    def accused(self, now: float, zones: set[str]) -> None:
        """Zones that others accuse now: good answers since then speak against it."""
        self.accused_ms = {zone: self.accused_ms.get(zone, now) for zone in zones}

    def reopened(self, upstreams: frozenset[int], started_ms: float) -> None:
        """They count as started then, whatever discovery says."""
        self._reopened_ms.update(dict.fromkeys(upstreams, started_ms))

    def rate(self, now: float) -> float:
        """Attempts a second of this copy, smoothed."""
        return self._per_s * math.exp(-max(0.0, now - self._rate_ms) / RATE_OVER_MS)

    def began(self, now: float, upstream: int, key: Key) -> None:
        self._open[key] = upstream, now
        self._per_s, self._rate_ms = self.rate(now) + 1000 / RATE_OVER_MS, now

    def ended(self, now: float, key: Key, outcome: Outcome | None, elapsed_ms: float) -> None:
        """`outcome` None: nobody knows."""
        upstream, sent_ms = self._open.pop(key, (-1, 0.0))
        if upstream not in self._places:
            return
        if outcome is Outcome.OK:
            slow = elapsed_ms > self.slow_ms(now, upstream)
            self._usual.setdefault(self._places[upstream].zone, _Usual()).add(elapsed_ms)
            self.saw(now, upstream, not slow, sent_ms)
            self._seen[upstream].heard_ms = now
        elif outcome is Outcome.FULL:
            self.saw(now, upstream, True, sent_ms)  # it lives: it says so itself
        elif outcome in FAILED:
            self.saw(now, upstream, False, sent_ms)

    def saw(self, now: float, upstream: int, good: bool, sent_ms: float) -> None:
        seen = self._seen.setdefault(upstream, _Seen())
        if good:
            seen.good_ms = seen.heard_ms = now
        else:
            seen.bad_ms, seen.bad_sent_ms = now, sent_ms

    def slow_ms(self, now: float, upstream: int) -> float:
        """From when on an answer is late enough to be a bad observation: over what is usual in its zone, and
        elsewhere now, so that what slows everything down is state against no zone. Not elsewhere where the
        zone is left, or returns: the others may be slow because they carry its load."""
        place = self._places[upstream]
        own = self._usual.get(place.zone)
        usual_ms = [own.long_ms] if own is not None else []
        if upstream not in self.dark and upstream not in self._reopened_ms:
            usual_ms += [usual.lately_ms for name, usual in self._usual.items() if name != place.zone]
        started_ms = max(place.started_ms, self._reopened_ms.get(upstream, 0.0))
        cold = 1 - (now - started_ms) / self._warm_after_ms if started_ms > 0 < self._warm_after_ms else 0.0
        patience = 1 + (COLD_PATIENCE - 1) * max(0.0, min(1.0, cold))
        if upstream in self.dark:
            patience = min(DARK_PATIENCE, patience)
        return patience * max(SLOW_LEAST_MS, SLOW_FACTOR * max(usual_ms, default=0.0))

    def look(self, now: float) -> None:
        """Silence with work out is a bad observation, for as long as it lasts."""
        for upstream, sent_ms in self._open.values():
            if upstream in self._places and now - sent_ms > self.slow_ms(now, upstream):
                seen = self._seen.setdefault(upstream, _Seen())
                if seen.good_ms < sent_ms:
                    seen.bad_ms, seen.bad_sent_ms = now, max(sent_ms, seen.bad_sent_ms)

    def silent(self, now: float) -> list[Key]:
        """Attempts in the dark that have been silent for long."""
        return [
            key
            for key, (upstream, sent_ms) in self._open.items()
            if upstream in self.dark and upstream in self._places
            if now - sent_ms > self.slow_ms(now, upstream)
        ]

    def is_out(self, upstream: int, since_ms: float) -> bool:
        """Whether an attempt sent since then is under way there."""
        return any(number == upstream and at_ms >= since_ms for number, at_ms in self._open.values())

    def since(self, upstream: int, at_ms: float) -> bool | None:
        """Whether the latest observation of an attempt since then was good; None: there was none."""
        seen = self._seen.get(upstream, NEVER)
        if seen.good_ms > at_ms and seen.good_ms > seen.bad_ms:
            return True
        return False if seen.bad_sent_ms >= at_ms else None

    def was_away(self, now: float) -> None:
        """Guards against accusations by a process that was stopped: what it did not hear says nothing."""
        self._open = {key: (upstream, now) for key, (upstream, _) in self._open.items()}
        for seen in self._seen.values():
            seen.bad_ms = -math.inf

    def of_zones(self, now: float) -> dict[str, ZoneObservation]:
        """What was seen in the window, by zone; nothing of a zone of which nothing was."""
        bads, goods = dict[str, set[int]](), dict[str, set[int]]()
        first_ms, last_ms, heard_ms = dict[str, float](), dict[str, float](), dict[str, float]()
        for number, seen in self._seen.items():
            place = self._places[number]
            heard_ms[place.zone] = max(heard_ms.get(place.zone, -math.inf), seen.heard_ms)
            if seen.bad_ms >= seen.good_ms and now - seen.bad_ms <= WINDOW_MS:
                bads.setdefault(place.zone, set()).add(place.mark)
                first_ms[place.zone] = min(first_ms.get(place.zone, math.inf), seen.bad_sent_ms)
                last_ms[place.zone] = max(last_ms.get(place.zone, -math.inf), seen.bad_sent_ms)
        for number, seen in self._seen.items():
            place = self._places[number]
            since_ms = min(first_ms.get(place.zone, now), self.accused_ms.get(place.zone, now) - FRESH_MS)
            since_ms = max(min(since_ms, now - FRESH_MS), now - WINDOW_MS)
            if seen.good_ms > seen.bad_ms and seen.good_ms >= since_ms:
                goods.setdefault(place.zone, set()).add(place.mark)
        return {
            zone: ZoneObservation(
                frozenset(bads.get(zone, ())),
                frozenset(goods.get(zone, ())),
                last_ms.get(zone, -math.inf),
                heard_ms[zone],
            )
            for zone in bads.keys() | goods.keys()
        }

    def reaches(self, now: float, area: Area) -> bool:
        """Whether this copy has good answers from the area, and no zone of it is mostly bad."""
        observations = self.of_zones(now)
        seen = [observations[zone] for zone in area.zones if zone in observations]
        return any(observation.goods for observation in seen) and all(
            observation.share < 0.5 for observation in seen
        )

    def good_zones(self, now: float) -> frozenset[str]:
        """Zones that gave a good answer not long ago."""
        return frozenset(
            self._places[number].zone for number, seen in self._seen.items() if now - seen.good_ms <= LIVES_MS
        )
