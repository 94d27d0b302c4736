"""Recent observations of each upstream by this balancer: answers, failures and attempts without an answer."""

from __future__ import annotations

import math
from collections.abc import Mapping

import msgspec

from madderwind.standalone.evacuation.areas import Area, Place
from madderwind.standalone.policy.api import Outcome

WINDOW_MS = 1500.0  # older observations are ignored
# A good answer is reported while it is this recent, and for as long as other balancers accuse its zone.
FRESH_ANSWER_MS = 300.0
# A good answer from another zone shows for this long that this balancer is not isolated.
CONNECTED_MS = 5000.0
# An answer, or the lack of one, is bad after this multiple of the usual answer time, and never before the
# minimum.
SLOW_FACTOR, SLOW_MIN_MS = 4.0, 400.0
# Factors on that threshold: for an upstream that has just started, falling to 1 as it warms up; and for
# trials of evacuated upstreams.
WARMING_PATIENCE, TRIAL_PATIENCE = 6.0, 2.0
RECENT_GAIN, LONG_TERM_GAIN = 1 / 8, 1 / 64
RATE_DECAY_MS = 4000.0
FAILED = frozenset((Outcome.CONNECT_FAILED, Outcome.RESET, Outcome.ERROR, Outcome.TIMEOUT))
Key = tuple[int, int]  # request and attempt


class _UpstreamHistory:
    """Times of one upstream's last good and bad observation, of sending the bad attempt, and of its last
    answer, late ones included."""

    __slots__ = ("bad_ms", "bad_sent_ms", "good_ms", "last_answer_ms")

    def __init__(self) -> None:
        self.good_ms = self.bad_ms = self.bad_sent_ms = self.last_answer_ms = -math.inf


NEVER = _UpstreamHistory()


class _AnswerTimes:
    """Moving averages of a zone's answer times, over the last few answers and over many."""

    __slots__ = ("count", "lately_ms", "long_ms")

    def __init__(self) -> None:
        self.lately_ms, self.long_ms, self.count = 0.0, 0.0, 0

    def add(self, elapsed_ms: float) -> None:
        self.count += 1
        self.lately_ms += max(RECENT_GAIN, 1 / self.count) * (elapsed_ms - self.lately_ms)
        self.long_ms += max(LONG_TERM_GAIN, 1 / self.count) * (elapsed_ms - self.long_ms)


class ZoneObservation(msgspec.Struct, frozen=True):
    """Marks of a zone's failing and responding upstreams, and when the latest failed attempt was sent and the
    latest answer came.

    The latest observation of a failing upstream was bad; that of a responding one was good and made since the
    bad ones began.
    """

    failing: frozenset[int] = frozenset()
    responding: frozenset[int] = frozenset()
    bad_sent_ms: float = -math.inf
    last_answer_ms: float = -math.inf

    @property
    def share(self) -> float:
        """The fraction of the observed upstreams that is failing; 0 if none was observed."""
        return len(self.failing) / max(1, len(self.failing) + len(self.responding))


NOTHING = ZoneObservation()


class Observations:
    """Observations of all upstreams. Time is passed to each call.

    Memory is bounded by the number of listed upstreams and open attempts.
    """

    def __init__(self, warm_after_ms: float = 0.0) -> None:
        self._warm_after_ms = warm_after_ms
        self._places: Mapping[int, Place] = {}
        self._history: dict[int, _UpstreamHistory] = {}
        self._open: dict[Key, tuple[int, float]] = {}
        self._answer_times: dict[str, _AnswerTimes] = {}
        self._per_s, self._rate_ms = 0.0, -math.inf
        self._reopened_ms: dict[int, float] = {}
        # Upstreams of areas that this balancer has evacuated, at step 0.
        self.evacuated_upstreams = frozenset[int]()
        self.accused_ms = dict[str, float]()  # zones that others accuse, and since when

    def listed(self, places: Mapping[int, Place]) -> None:
        self._places = places
        self._history = {number: history for number, history in self._history.items() if number in places}
        self._reopened_ms = {n: at_ms for n, at_ms in self._reopened_ms.items() if n in places}

    def set_accused(self, now: float, zones: set[str]) -> None:
        """Set the zones that others accuse now. Good answers since an accusation began contradict it."""
        self.accused_ms = {zone: self.accused_ms.get(zone, now) for zone in zones}

    def record_reopened(self, upstreams: frozenset[int], started_ms: float) -> None:
        """Treat these upstreams as started at that time, whatever discovery reports."""
        self._reopened_ms.update(dict.fromkeys(upstreams, started_ms))

    def attempt_rate(self, now: float) -> float:
        """Attempts a second of this balancer, smoothed."""
        return self._per_s * math.exp(-max(0.0, now - self._rate_ms) / RATE_DECAY_MS)

    def began(self, now: float, upstream: int, key: Key) -> None:
        self._open[key] = upstream, now
        self._per_s, self._rate_ms = self.attempt_rate(now) + 1000 / RATE_DECAY_MS, now

    def ended(self, now: float, key: Key, outcome: Outcome | None, elapsed_ms: float) -> None:
        """Record the end of an attempt. `outcome` None: the outcome is unknown."""
        upstream, sent_ms = self._open.pop(key, (-1, 0.0))
        if upstream not in self._places:
            return
        if outcome is Outcome.OK:
            slow = elapsed_ms > self.slow_threshold_ms(now, upstream)
            self._answer_times.setdefault(self._places[upstream].zone, _AnswerTimes()).add(elapsed_ms)
            self.saw(now, upstream, not slow, sent_ms)
            self._history[upstream].last_answer_ms = now
        elif outcome is Outcome.FULL:
            self.saw(now, upstream, True, sent_ms)  # a refusal is an answer too: the upstream is alive
        elif outcome in FAILED:
            self.saw(now, upstream, False, sent_ms)

    def saw(self, now: float, upstream: int, good: bool, sent_ms: float) -> None:
        history = self._history.setdefault(upstream, _UpstreamHistory())
        if good:
            history.good_ms = history.last_answer_ms = now
        else:
            history.bad_ms, history.bad_sent_ms = now, sent_ms

    def slow_threshold_ms(self, now: float, upstream: int) -> float:
        """The answer time from which an observation is bad.

        It follows the usual answer time of the zone and the recent ones of the other zones, so that a general
        slowdown counts against no zone. The other zones are left out for an upstream that is evacuated or
        returning: they may be slow because they carry its load.
        """
        place = self._places[upstream]
        own_times = self._answer_times.get(place.zone)
        usual_ms = [own_times.long_ms] if own_times is not None else []
        if upstream not in self.evacuated_upstreams and upstream not in self._reopened_ms:
            usual_ms += [usual.lately_ms for name, usual in self._answer_times.items() if name != place.zone]
        started_ms = max(place.started_ms, self._reopened_ms.get(upstream, 0.0))
        warming = (
            1 - (now - started_ms) / self._warm_after_ms if started_ms > 0 < self._warm_after_ms else 0.0
        )
        patience = 1 + (WARMING_PATIENCE - 1) * max(0.0, min(1.0, warming))
        if upstream in self.evacuated_upstreams:
            patience = min(TRIAL_PATIENCE, patience)
        return patience * max(SLOW_MIN_MS, SLOW_FACTOR * max(usual_ms, default=0.0))

    def record_overdue_attempts(self, now: float) -> None:
        """Record a bad observation for each upstream with an overdue attempt, while it stays unanswered."""
        for upstream, sent_ms in self._open.values():
            if upstream in self._places and now - sent_ms > self.slow_threshold_ms(now, upstream):
                history = self._history.setdefault(upstream, _UpstreamHistory())
                if history.good_ms < sent_ms:
                    history.bad_ms, history.bad_sent_ms = now, max(sent_ms, history.bad_sent_ms)

    def overdue_attempts(self, now: float) -> list[Key]:
        """Overdue attempts at evacuated upstreams."""
        return [
            key
            for key, (upstream, sent_ms) in self._open.items()
            if upstream in self.evacuated_upstreams and upstream in self._places
            if now - sent_ms > self.slow_threshold_ms(now, upstream)
        ]

    def is_in_flight(self, upstream: int, since_ms: float) -> bool:
        """Whether an attempt sent to the upstream since then is in flight."""
        return any(number == upstream and at_ms >= since_ms for number, at_ms in self._open.values())

    def result_since(self, upstream: int, at_ms: float) -> bool | None:
        """Whether the latest observation of an attempt since then was good; None if there was none."""
        history = self._history.get(upstream, NEVER)
        if history.good_ms > at_ms and history.good_ms > history.bad_ms:
            return True
        return False if history.bad_sent_ms >= at_ms else None

    def reset_after_stall(self, now: float) -> None:
        """Discard bad observations and restart the timing of open attempts after this process was suspended.

        Guards against accusations that rest on answers which it could not receive in that time.
        """
        self._open = {key: (upstream, now) for key, (upstream, _) in self._open.items()}
        for history in self._history.values():
            history.bad_ms = -math.inf

    def by_zone(self, now: float) -> dict[str, ZoneObservation]:
        """Observations within the window by zone, without zones that have none."""
        failing, responding = dict[str, set[int]](), dict[str, set[int]]()
        first_bad_ms, last_bad_ms, last_answer_ms = dict[str, float](), dict[str, float](), dict[str, float]()
        for number, history in self._history.items():
            place = self._places[number]
            last_answer_ms[place.zone] = max(
                last_answer_ms.get(place.zone, -math.inf), history.last_answer_ms
            )
            if history.bad_ms >= history.good_ms and now - history.bad_ms <= WINDOW_MS:
                failing.setdefault(place.zone, set()).add(place.mark)
                first_bad_ms[place.zone] = min(first_bad_ms.get(place.zone, math.inf), history.bad_sent_ms)
                last_bad_ms[place.zone] = max(last_bad_ms.get(place.zone, -math.inf), history.bad_sent_ms)
        for number, history in self._history.items():
            place = self._places[number]
            since_ms = min(
                first_bad_ms.get(place.zone, now), self.accused_ms.get(place.zone, now) - FRESH_ANSWER_MS
            )
            since_ms = max(min(since_ms, now - FRESH_ANSWER_MS), now - WINDOW_MS)
            if history.good_ms > history.bad_ms and history.good_ms >= since_ms:
                responding.setdefault(place.zone, set()).add(place.mark)
        return {
            zone: ZoneObservation(
                frozenset(failing.get(zone, ())),
                frozenset(responding.get(zone, ())),
                last_bad_ms.get(zone, -math.inf),
                last_answer_ms[zone],
            )
            for zone in failing.keys() | responding.keys()
        }

    def reaches(self, now: float, area: Area) -> bool:
        """Whether this balancer has good answers from the area and none of its zones is mostly failing."""
        observations = self.by_zone(now)
        area_observations = [observations[zone] for zone in area.zones if zone in observations]
        return any(observation.responding for observation in area_observations) and all(
            observation.share < 0.5 for observation in area_observations
        )

    def responding_zones(self, now: float) -> frozenset[str]:
        """Zones with a recent good answer."""
        return frozenset(
            self._places[number].zone
            for number, history in self._history.items()
            if now - history.good_ms <= CONNECTED_MS
        )
