"""Where nothing was ever left by a fleet, every action is as it was before there was such a thing.

The digests are of the module at the version before; they may only change together with a change of its
ordinary decisions, of which the results page then tells.
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
ENDS = (Outcome.OK,) * 9 + (
    Outcome.ERROR,
    Outcome.FULL,
    Outcome.RESET,
    Outcome.CONNECT_FAILED,
    Outcome.CANCELLED,
)


def entry(chance: random.Random, number: int, now: float) -> api.UpstreamEntry:
    # Nobody is called back by hand here: that one is looked at first since, and was not before.
    state = chance.choice([s for s in STATES if s is not UpstreamState.SUSPENDED or number == 7])
    state = UpstreamState.SUSPENDED if number == 7 else state
    started_ms = chance.choice((0.0, 0.0, max(0.0, now - 3000.0)))
    return api.UpstreamEntry(
        number, number % 3, 0, number % 2, state, 1.0 + number % 2, started_ms, number + 1
    )


def trace(seed: int) -> str:
    """What the module does under drawn lists, requests, ends, words and losses, in one digest."""
    chance = random.Random(seed)
    settings = api.Settings(
        classes=CLASSES, copies=6, me=seed % 6, zones=3, max_attempts=3, second_copies=bool(seed % 2),
        may_cancel=True, may_tell=True, retry_after=True, max_retry_after_ms=2000.0, connect_timeout_ms=200.0,
        start_capacity=0.12, warm_after_ms=9000.0, fall_multiple=2.5, fall_ms=1500.0, answer_slack_ms=20.0,
        drain_grace_ms=1000.0, must_ask=False, warm_keys=seed % 3 == 0, ratings_tell_size=True,
    )  # fmt: skip
    balancer, said = Balancer(settings, seed), hashlib.sha256()
    due: list[tuple[float, int, api.Event]] = []
    now, count, attempts, ended = 1000.0, 0, dict[int, int](), set[int]()
    while now < 21_000.0:
        count += 1
        due.sort(key=lambda item: item[:2])
        next_ms = now + chance.expovariate(1 / 12)
        event: api.Event
        if due and due[0][0] <= next_ms:
            now, _, event = due.pop(0)
        elif chance.random() < 0.05:
            now = next_ms
            entries = tuple(entry(chance, n, now) for n in range(12))
            event = api.FleetListed(chance.choice((ListKind.WHOLE, ListKind.CHANGES)), count, entries)
        elif chance.random() < 0.05:
            now = next_ms
            event = api.PeerSpoke(chance.randrange(1, 6), bytes((9, 1, 0, chance.randrange(1, 13), 0, 0, 0)))
        else:
            now = next_ms
            event = api.RequestArrived(
                count, chance.randrange(3), 0, chance.randrange(4), now + 2000, None, False, False
            )
        if isinstance(event, api.AttemptEnded) and event.request_id in ended:
            event = api.AttemptEnded(
                event.request_id, True, event.attempt, event.outcome, event.upstream, event.elapsed_ms, ()
            )
        if isinstance(event, api.AttemptEnded) and event.outcome is Outcome.OK:
            ended.add(event.request_id)
        for action in balancer.handle(now, event):
            match action:
                case api.Send(request, upstream):
                    number = attempts[request] = attempts.get(request, -1) + 1
                    took_ms, outcome = chance.expovariate(1 / 80), chance.choice(ENDS)
                    over = outcome is Outcome.OK
                    end = api.AttemptEnded(request, over, number, outcome, upstream, took_ms, ())
                    due.append((now + took_ms, count, end))
                    said.update(f"send {request} {upstream}".encode())
                case api.SetTimer(after_ms, token):
                    due.append((now + after_ms, count, api.TimerFired(token)))
                    said.update(f"timer {after_ms:.6f}".encode())
                case api.Refuse(request, after_ms):
                    ended.add(request)
                    said.update(f"refuse {request} {after_ms:.6f}".encode())
                case api.Fail(request):
                    ended.add(request)
                    said.update(f"fail {request}".encode())
                case api.TellPeers(peer, message):
                    said.update(f"tell {peer} {message.hex()}".encode())
                case _:
                    said.update(type(action).__name__.encode())
    return f"{len(ended)} {said.hexdigest()[:16]}"


BEFORE = ("1496 05e57f401d92e782", "1438 c282e6662509b576", "1445 7c82d5b8c16ef8f4", "1456 2e7d6276cb48fbb3")


@pytest.mark.parametrize(("seed", "before"), list(enumerate(BEFORE)))
def test_without_leaving_every_action_is_as_before(seed: int, before: str) -> None:
    assert trace(seed) == before
