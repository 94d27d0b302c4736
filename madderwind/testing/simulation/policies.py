"""The module, and baselines to hold it against.

A baseline picks by one rule and retries a fixed number of times, at every tier and with no quota: what the
paper calls multipliers.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable, Sequence
from typing import Protocol

from madderwind.standalone.policy import api
from madderwind.standalone.policy.api import Effect, ListKind, UpstreamState
from madderwind.standalone.policy.balancer import Balancer


class Policy(Protocol):
    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        """The actions to carry out at once, in order."""


Pick = Callable[["Baseline", Sequence[int]], int]


def at_random(policy: Baseline, able: Sequence[int]) -> int:
    return policy.chance.choice(able)


def round_robin(policy: Baseline, able: Sequence[int]) -> int:
    policy.turn += 1
    return able[policy.turn % len(able)]


def least_in_flight(policy: Baseline, able: Sequence[int]) -> int:
    least = min(policy.out[number] for number in able)
    return policy.chance.choice([number for number in able if policy.out[number] == least])


def two_choices(policy: Baseline, able: Sequence[int]) -> int:
    two = policy.chance.sample(able, min(2, len(able)))
    return min(two, key=lambda number: policy.out[number])


class _Open:
    def __init__(self, event: api.RequestArrived, effect: Effect) -> None:
        self.event, self.effect = event, effect
        self.tried: list[int] = []
        self.may_have_run = False


class Baseline:
    """Keeps rules 1 to 3 and knows nothing of cold upstreams, slow ones, room or quota."""

    def __init__(self, settings: api.Settings, seed: int, pick: Pick, retries: int) -> None:
        self._settings, self._pick, self._retries = settings, pick, retries
        self.chance = random.Random(seed)
        self.turn = self.chance.randrange(1 << 16)
        self.out: Counter[int] = Counter()
        self._ready: dict[int, None] = {}
        self._open: dict[int, _Open] = {}

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        match event:
            case api.FleetListed():
                if event.kind is not ListKind.CHANGES:
                    self._ready = {}
                for entry in event.entries:
                    self._ready.pop(entry.upstream, None)
                    if entry.state is UpstreamState.READY:
                        self._ready[entry.upstream] = None
            case api.RequestArrived():
                effect = self._settings.classes[event.class_index].effect
                self._open[event.request_id] = _Open(event, effect)
                return self._send_or_answer(now, event.request_id)
            case api.AttemptEnded():
                self.out[event.upstream] -= 1
                request = self._open.get(event.request_id)
                if request is None:
                    return []
                if event.request_over:
                    del self._open[event.request_id]
                    return []
                request.may_have_run |= not event.outcome.never_ran
                return self._send_or_answer(now, event.request_id)
            case api.ClientLeft():
                self._open.pop(event.request_id, None)
        return []

    def _send_or_answer(self, now: float, number: int) -> list[api.Action]:
        request = self._open[number]
        again = len(request.tried)
        may = again <= min(self._retries, self._settings.max_attempts - 1) and now < request.event.deadline_ms
        may = may and (not request.may_have_run or request.effect is not Effect.UNSAFE)
        able = [u for u in self._ready if not request.tried or u != request.tried[-1]] or list(self._ready)
        if may and able:
            upstream = self._pick(self, able)
            request.tried.append(upstream)
            self.out[upstream] += 1
            return [api.Send(number, upstream, 0.0)]
        del self._open[number]
        if request.may_have_run and request.effect is Effect.UNSAFE:
            return [api.Fail(number)]
        return [api.Refuse(number, 0.0)]


def _baseline(pick: Pick, retries: int) -> Callable[[api.Settings, int], Policy]:
    return lambda settings, seed: Baseline(settings, seed, pick, retries)


POLICIES: dict[str, Callable[[api.Settings, int], Policy]] = {
    "madderwind": Balancer,
    "random": _baseline(at_random, 0),
    "round-robin": _baseline(round_robin, 0),
    "least-in-flight": _baseline(least_in_flight, 0),
    "two-choices": _baseline(two_choices, 0),
    "random-3-retries": _baseline(at_random, 3),
    "least-in-flight-3-retries": _baseline(least_in_flight, 3),
}
