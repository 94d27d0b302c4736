"""What each request of the drill does, and what its upstreams do with it, drawn from a seed. No I/O."""

from __future__ import annotations

import random
from enum import Enum

import msgspec

GRACE_PERIODS_S = (1.0, 2.0, 4.0)
# Clients send requests for so long; the signal comes at a drawn moment within.
SENDING_S = 1.5
LONG_BODY_BYTES = 300_000
MAX_EVENTS = 12


class Step(Enum):
    """What the upstream of one attempt does."""

    SERVE = "serves it after a while"
    REFUSE = "refuses it, with the proof that it did not run"
    CLAIM = "claims not to have run it, without proof"
    HANG = "never answers"
    RESET = "resets the connection"
    BREAK_OFF = "streams, and breaks off within an event"


class Sending(Enum):
    """How the client sends the body."""

    AT_ONCE = "whole, with the head"
    IN_PARTS = "in parts, with pauses"
    LONG = "whole and long"
    UNFINISHED = "never whole"


class RequestPlan(msgspec.Struct, frozen=True):
    """One request.

    Attributes:
        route: The name of its route.
        sending: How its body is sent.
        steps: What the upstreams of its attempts do; the last step is repeated.
        work_s: How long an upstream works before it answers, and between two events.
        events: The number of events of a stream.
        pause_s: The client's pause between two parts of the body, or before the next request.
        reads_slowly: Whether the client leaves the answer unread for a while.
    """

    route: str
    sending: Sending
    steps: tuple[Step, ...]
    work_s: float
    events: int
    pause_s: float
    reads_slowly: bool

    def step(self, attempt: int) -> Step:
        """What the upstream of an attempt does; attempts count from 0."""
        return self.steps[min(attempt, len(self.steps) - 1)]


class RoundPlan(msgspec.Struct, frozen=True):
    """One life of a data plane: its grace period, when the signal comes, and each client's requests."""

    grace_s: float
    signal_s: float
    clients: tuple[tuple[RequestPlan, ...], ...]


ROUTES = ("safe", "unsafe", "stream", "resumable", "patient")
STREAM_ROUTES = ("stream", "resumable")
MAX_STEPS = 4
MAX_REQUESTS_OF_A_CLIENT = 12


def draw_round(seed: int, clients: int) -> RoundPlan:
    """Draw a round; the same seed gives the same round."""
    rng = random.Random(seed)
    return RoundPlan(
        grace_s=rng.choice(GRACE_PERIODS_S),
        signal_s=rng.uniform(0.1, SENDING_S),
        clients=tuple(
            tuple(_draw_request(rng) for _ in range(MAX_REQUESTS_OF_A_CLIENT)) for _ in range(clients)
        ),
    )


def _draw_request(rng: random.Random) -> RequestPlan:
    route = rng.choice(ROUTES)
    failures = [Step.REFUSE, Step.REFUSE, Step.REFUSE, Step.CLAIM, Step.HANG, Step.RESET, Step.BREAK_OFF]
    steps = tuple(rng.choice([Step.SERVE, *failures]) for _ in range(rng.randint(1, MAX_STEPS)))
    sendings = [Sending.AT_ONCE] * 6 + [Sending.IN_PARTS, Sending.LONG, Sending.UNFINISHED]
    return RequestPlan(
        route=route,
        sending=rng.choice(sendings),
        steps=steps,
        work_s=rng.choice([0.0, 0.02, 0.2, 1.0, 6.0]),
        events=rng.randint(1, MAX_EVENTS),
        pause_s=rng.choice([0.0, 0.01, 0.1, 0.4]),
        reads_slowly=rng.random() < 0.1,
    )
