"""The policy module and the baselines to compare it with.

A baseline selects upstreams by one rule and retries a fixed number of times, at every tier and without a
retry quota, so that retries multiply over the tiers.
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
    """A routing policy: turns events into actions."""

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        """Returns the actions to execute at once, in order."""


Pick = Callable[["Baseline", Sequence[int]], int]


def uniform_random(policy: Baseline, candidates: Sequence[int]) -> int:
    """A uniformly random upstream."""
    return policy.generator.choice(candidates)


def round_robin(policy: Baseline, candidates: Sequence[int]) -> int:
    """The next upstream in turn."""
    policy.next_turn += 1
    return candidates[policy.next_turn % len(candidates)]


def least_in_flight(policy: Baseline, candidates: Sequence[int]) -> int:
    """A random one of the upstreams with the fewest requests in flight."""
    least = min(policy.in_flight[number] for number in candidates)
    return policy.generator.choice([number for number in candidates if policy.in_flight[number] == least])


def two_choices(policy: Baseline, candidates: Sequence[int]) -> int:
    """The one with fewer requests in flight out of two random upstreams."""
    two = policy.generator.sample(candidates, min(2, len(candidates)))
    return min(two, key=lambda number: policy.in_flight[number])


class _OpenRequest:
    def __init__(self, event: api.RequestArrived, effect: Effect) -> None:
        self.event, self.effect = event, effect
        self.tried: list[int] = []
        self.may_have_run = False


class Baseline:
    """Keeps rules 1 to 3. Ignores cold starts, slow upstreams, capacity and retry quotas."""

    def __init__(self, settings: api.Settings, seed: int, pick: Pick, retries: int) -> None:
        self._settings, self._pick, self._retries = settings, pick, retries
        self.generator = random.Random(seed)
        self.next_turn = self.generator.randrange(1 << 16)
        self.in_flight: Counter[int] = Counter()
        self._ready: dict[int, None] = {}
        self._open_requests: dict[int, _OpenRequest] = {}

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
                self._open_requests[event.request_id] = _OpenRequest(event, effect)
                return self._send_or_answer(now, event.request_id)
            case api.AttemptEnded():
                self.in_flight[event.upstream] -= 1
                request = self._open_requests.get(event.request_id)
                if request is None:
                    return []
                if event.request_over:
                    del self._open_requests[event.request_id]
                    return []
                request.may_have_run |= not event.outcome.never_ran
                return self._send_or_answer(now, event.request_id)
            case api.ClientLeft():
                self._open_requests.pop(event.request_id, None)
        return []

    def _send_or_answer(self, now: float, number: int) -> list[api.Action]:
        request = self._open_requests[number]
        attempts = len(request.tried)
        may_send = (
            attempts <= min(self._retries, self._settings.max_attempts - 1)
            and now < request.event.deadline_ms
        )
        may_send = may_send and (not request.may_have_run or request.effect is not Effect.UNSAFE)
        candidates = [u for u in self._ready if not request.tried or u != request.tried[-1]] or list(
            self._ready
        )
        if may_send and candidates:
            upstream = self._pick(self, candidates)
            request.tried.append(upstream)
            self.in_flight[upstream] += 1
            return [api.Send(number, upstream, 0.0)]
        del self._open_requests[number]
        if request.may_have_run and request.effect is Effect.UNSAFE:
            return [api.Fail(number)]
        return [api.Refuse(number, 0.0)]


def _baseline(pick: Pick, retries: int) -> Callable[[api.Settings, int], Policy]:
    return lambda settings, seed: Baseline(settings, seed, pick, retries)


POLICIES: dict[str, Callable[[api.Settings, int], Policy]] = {
    "madderwind": Balancer,
    "random": _baseline(uniform_random, 0),
    "round-robin": _baseline(round_robin, 0),
    "least-in-flight": _baseline(least_in_flight, 0),
    "two-choices": _baseline(two_choices, 0),
    "random-3-retries": _baseline(uniform_random, 3),
    "least-in-flight-3-retries": _baseline(least_in_flight, 3),
}
