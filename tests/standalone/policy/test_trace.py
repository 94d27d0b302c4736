"""Without evacuated upstreams, every action is the same as in the version before evacuations existed.

The digests are those of that version. They may only change together with a change of the ordinary decisions,
which the results page then describes.
"""

from __future__ import annotations

import hashlib
import random

import pytest

from madderwind.standalone.policy import api
from madderwind.standalone.policy.api import Effect, Group, ListKind, Outcome, UpstreamState
from madderwind.standalone.policy.balancer import Balancer

CLASSES = tuple(
    api.RequestClass(effect, Group.ALL, 2000.0, 800.0, 2000.0, worth, 0.0, False)
    for effect, worth in ((Effect.SAFE, 1.0), (Effect.KEYED, 3.0), (Effect.UNSAFE, 2.0))
)
STATES = (UpstreamState.READY,) * 6 + (UpstreamState.DRAINING, UpstreamState.SUSPENDED, UpstreamState.GONE)
OUTCOMES = (Outcome.OK,) * 9 + (
    Outcome.ERROR,
    Outcome.FULL,
    Outcome.RESET,
    Outcome.CONNECT_FAILED,
    Outcome.CANCELLED,
)


def entry(rng: random.Random, number: int, now: float) -> api.UpstreamEntry:
    # No upstream is restored by an operator: since that version a restored one is picked first.
    state = rng.choice([s for s in STATES if s is not UpstreamState.SUSPENDED or number == 7])
    state = UpstreamState.SUSPENDED if number == 7 else state
    started_ms = rng.choice((0.0, 0.0, max(0.0, now - 3000.0)))
    return api.UpstreamEntry(
        number, number % 3, 0, number % 2, state, 1.0 + number % 2, started_ms, number + 1
    )


def trace_digest(seed: int) -> str:
    """A digest of the actions for random lists, requests, outcomes and peer messages."""
    rng = random.Random(seed)
    settings = api.Settings(
        classes=CLASSES, copies=6, me=seed % 6, zones=3, max_attempts=3, second_copies=bool(seed % 2),
        may_cancel=True, may_tell=True, retry_after=True, max_retry_after_ms=2000.0, connect_timeout_ms=200.0,
        start_capacity=0.12, warm_after_ms=9000.0, fall_multiple=2.5, fall_ms=1500.0, answer_slack_ms=20.0,
        drain_grace_ms=1000.0, must_ask=False, warm_keys=seed % 3 == 0, ratings_tell_size=True,
    )  # fmt: skip
    balancer, digest = Balancer(settings, seed), hashlib.sha256()
    pending: list[tuple[float, int, api.Event]] = []
    now, event_count, attempts, finished = 1000.0, 0, dict[int, int](), set[int]()
    while now < 21_000.0:
        event_count += 1
        pending.sort(key=lambda item: item[:2])
        next_ms = now + rng.expovariate(1 / 12)
        event: api.Event
        if pending and pending[0][0] <= next_ms:
            now, _, event = pending.pop(0)
        elif rng.random() < 0.05:
            now = next_ms
            entries = tuple(entry(rng, n, now) for n in range(12))
            event = api.FleetListed(rng.choice((ListKind.WHOLE, ListKind.CHANGES)), event_count, entries)
        elif rng.random() < 0.05:
            now = next_ms
            event = api.PeerSpoke(rng.randrange(1, 6), bytes((9, 1, 0, rng.randrange(1, 13), 0, 0, 0)))
        else:
            now = next_ms
            event = api.RequestArrived(
                event_count, rng.randrange(3), 0, rng.randrange(4), now + 2000, None, False, False
            )
        if isinstance(event, api.AttemptEnded) and event.request_id in finished:
            event = api.AttemptEnded(
                event.request_id, True, event.attempt, event.outcome, event.upstream, event.elapsed_ms, ()
            )
        if isinstance(event, api.AttemptEnded) and event.outcome is Outcome.OK:
            finished.add(event.request_id)
        for action in balancer.handle(now, event):
            match action:
                case api.Send(request, upstream):
                    number = attempts[request] = attempts.get(request, -1) + 1
                    took_ms, outcome = rng.expovariate(1 / 80), rng.choice(OUTCOMES)
                    request_over = outcome is Outcome.OK
                    end = api.AttemptEnded(request, request_over, number, outcome, upstream, took_ms, ())
                    pending.append((now + took_ms, event_count, end))
                    digest.update(f"send {request} {upstream}".encode())
                case api.SetTimer(after_ms, token):
                    pending.append((now + after_ms, event_count, api.TimerFired(token)))
                    digest.update(f"timer {after_ms:.6f}".encode())
                case api.Refuse(request, after_ms):
                    finished.add(request)
                    digest.update(f"refuse {request} {after_ms:.6f}".encode())
                case api.Fail(request):
                    finished.add(request)
                    digest.update(f"fail {request}".encode())
                case api.TellPeers(peer, message):
                    digest.update(f"tell {peer} {message.hex()}".encode())
                case _:
                    digest.update(type(action).__name__.encode())
    return f"{len(finished)} {digest.hexdigest()[:16]}"


EXPECTED = (
    "1496 05e57f401d92e782",
    "1438 c282e6662509b576",
    "1445 7c82d5b8c16ef8f4",
    "1456 2e7d6276cb48fbb3",
)


@pytest.mark.parametrize(("seed", "expected"), list(enumerate(EXPECTED)))
def test_without_evacuations_every_action_is_unchanged(seed: int, expected: str) -> None:
    assert trace_digest(seed) == expected
