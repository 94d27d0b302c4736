"""Helpers for tests that play a sequence of events to a balancer."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

from madderwind.standalone.policy import api
from madderwind.standalone.policy.api import Effect, Group, ListKind, Outcome, UpstreamState
from madderwind.standalone.policy.balancer import Balancer


def request_class(effect: Effect = Effect.SAFE, group: Group = Group.ALL, **more: Any) -> api.RequestClass:
    values: dict[str, Any] = {
        "effect": effect,
        "group": group,
        "window_ms": 5000.0,
        "aim_ms": 2000.0,
        "deadline_ms": 4000.0,
        "worth": 1.0,
        "late_worth": 0.0,
        "streamed": False,
    }
    return api.RequestClass(**{**values, **more})


SAFE, UNSAFE, KEYED_ALL, KEYED_ZONE, KEYED_CELL = range(5)
CLASSES = (
    request_class(),
    request_class(Effect.UNSAFE),
    request_class(Effect.KEYED),
    request_class(Effect.KEYED, Group.ZONE),
    request_class(Effect.KEYED, Group.CELL),
)


def settings(**more: Any) -> api.Settings:
    values: dict[str, Any] = {
        "classes": CLASSES,
        "max_attempts": 4,
        "second_copies": True,
        "retry_after": True,
        "max_retry_after_ms": 2000.0,
        "start_capacity": 0.2,
        "warm_after_ms": 20_000.0,
    }
    return api.Settings(**{**values, **more})


def entry(
    upstream: int,
    zone: int = 0,
    cell: int = 0,
    state: UpstreamState = UpstreamState.READY,
    rating: float = 1.0,
    started_ms: float = 0.0,
    mark: int = 0,
) -> api.UpstreamEntry:
    return api.UpstreamEntry(upstream, zone, 0, cell, state, rating, started_ms, mark)


class BalancerDriver:
    """A balancer with a simulated clock; it keeps the timers that the balancer sets."""

    def __init__(self, entries: list[api.UpstreamEntry], seed: int = 1, **more: Any) -> None:
        self.balancer = Balancer(settings(**more), seed)
        self.now = 1000.0
        self.timers: list[tuple[float, int]] = []
        self._next_id = 0
        self.list_upstreams(entries, ListKind.CACHED)

    def event(self, event: api.Event) -> list[api.Action]:
        actions = self.balancer.handle(self.now, event)
        self.timers += [(self.now + a.after_ms, a.token) for a in actions if isinstance(a, api.SetTimer)]
        return actions

    def list_upstreams(
        self, entries: list[api.UpstreamEntry], kind: ListKind = ListKind.WHOLE
    ) -> list[api.Action]:
        return self.event(api.FleetListed(kind, 1, tuple(entries)))

    def arrive(
        self, class_index: int = SAFE, within_ms: float = 4000.0, tenant: int = 0
    ) -> tuple[int, list[api.Action]]:
        self._next_id += 1
        event = api.RequestArrived(
            self._next_id, class_index, tenant, 0, self.now + within_ms, None, False, False
        )
        return self._next_id, self.event(event)

    def end_attempt(
        self,
        request: int,
        outcome: Outcome,
        upstream: int,
        attempt: int = 0,
        request_over: bool | None = None,
        elapsed_ms: float = 10.0,
    ) -> list[api.Action]:
        request_over = outcome is Outcome.OK if request_over is None else request_over
        return self.event(api.AttemptEnded(request, request_over, attempt, outcome, upstream, elapsed_ms, ()))

    def wait(self, duration_ms: float) -> list[api.Action]:
        """Advance the clock by this time and fire the timers that are due, in order."""
        return [action for actions in self.fire_timers(duration_ms) for action in actions]

    def fire_timers(self, duration_ms: float) -> Iterator[list[api.Action]]:
        """Like `wait`, but yields the actions of each timer while the clock shows when it fired."""
        end = self.now + duration_ms
        while due := sorted(t for t in self.timers if t[0] <= end):
            self.timers.remove(due[0])
            self.now = max(self.now, due[0][0])
            yield self.event(api.TimerFired(due[0][1]))
        self.now = end

    def serve(self, class_index: int = SAFE, elapsed_ms: float = 10.0) -> int:
        """Play one request that its first attempt answers; return the upstream that served it."""
        request, actions = self.arrive(class_index)
        (sent,) = sends(actions)
        self.now += elapsed_ms
        self.end_attempt(request, Outcome.OK, sent.upstream, elapsed_ms=elapsed_ms)
        return sent.upstream


def sends(actions: list[api.Action]) -> list[api.Send]:
    return [a for a in actions if isinstance(a, api.Send)]


def answers(actions: list[api.Action]) -> list[api.Refuse | api.Fail]:
    return [a for a in actions if isinstance(a, api.Refuse | api.Fail)]
