"""Small helpers to write event scripts against the module."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

from madderwind.standalone.policy import api
from madderwind.standalone.policy.api import Effect, Group, ListKind, Outcome, UpstreamState
from madderwind.standalone.policy.balancer import Balancer


def a_class(effect: Effect = Effect.SAFE, group: Group = Group.ALL, **more: Any) -> api.RequestClass:
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
    a_class(),
    a_class(Effect.UNSAFE),
    a_class(Effect.KEYED),
    a_class(Effect.KEYED, Group.ZONE),
    a_class(Effect.KEYED, Group.CELL),
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


class Script:
    """A balancer under a clock, with its actions kept."""

    def __init__(self, entries: list[api.UpstreamEntry], seed: int = 1, **more: Any) -> None:
        self.balancer = Balancer(settings(**more), seed)
        self.now = 1000.0
        self.timers: list[tuple[float, int]] = []
        self._next_id = 0
        self.listed(entries, ListKind.CACHED)

    def event(self, event: api.Event) -> list[api.Action]:
        actions = self.balancer.handle(self.now, event)
        self.timers += [(self.now + a.after_ms, a.token) for a in actions if isinstance(a, api.SetTimer)]
        return actions

    def listed(self, entries: list[api.UpstreamEntry], kind: ListKind = ListKind.WHOLE) -> list[api.Action]:
        return self.event(api.FleetListed(kind, 1, tuple(entries)))

    def arrives(
        self, klass: int = SAFE, within_ms: float = 4000.0, tenant: int = 0
    ) -> tuple[int, list[api.Action]]:
        self._next_id += 1
        event = api.RequestArrived(self._next_id, klass, tenant, 0, self.now + within_ms, None, False, False)
        return self._next_id, self.event(event)

    def ends(
        self,
        request: int,
        outcome: Outcome,
        upstream: int,
        attempt: int = 0,
        over: bool | None = None,
        elapsed_ms: float = 10.0,
    ) -> list[api.Action]:
        over = outcome is Outcome.OK if over is None else over
        return self.event(api.AttemptEnded(request, over, attempt, outcome, upstream, elapsed_ms, ()))

    def wait(self, up_to_ms: float) -> list[api.Action]:
        """Fire the timers due within this time, in order; the clock ends where the time ends."""
        return [action for actions in self.fires(up_to_ms) for action in actions]

    def fires(self, up_to_ms: float) -> Iterator[list[api.Action]]:
        """Like wait, a timer's actions at a time, with the clock where that timer fired."""
        end = self.now + up_to_ms
        while due := sorted(t for t in self.timers if t[0] <= end):
            self.timers.remove(due[0])
            self.now = max(self.now, due[0][0])
            yield self.event(api.TimerFired(due[0][1]))
        self.now = end

    def serve(self, klass: int = SAFE, elapsed_ms: float = 10.0) -> int:
        """One request answered at the first try; the upstream that served it."""
        request, actions = self.arrives(klass)
        (sent,) = sends(actions)
        self.now += elapsed_ms
        self.ends(request, Outcome.OK, sent.upstream, elapsed_ms=elapsed_ms)
        return sent.upstream


def sends(actions: list[api.Action]) -> list[api.Send]:
    return [a for a in actions if isinstance(a, api.Send)]


def answers(actions: list[api.Action]) -> list[api.Refuse | api.Fail]:
    return [a for a in actions if isinstance(a, api.Refuse | api.Fail)]
