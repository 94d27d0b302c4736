"""The traffic for a fleet, as somebody writes it: kinds of requests, tenants, sessions, bursts."""

from __future__ import annotations

import attrs

from madderwind.testing.engine_emulator.workload import Burst, SharedPart, Tokens
from madderwind.testing.local_fleet.field_checks import above_zero, not_empty


@attrs.frozen
class Sessions:
    """Conversations.

    A `share` of requests goes on with an earlier one of the same kind, whose prompt it begins with, up to
    `most_turns` in all.
    """

    share: float = 0.0
    most_turns: int = 4


@attrs.frozen
class Generations:
    """What requests to a model look like: the chain of shared parts, the own part, the output."""

    chain: tuple[SharedPart, ...]
    prompt: Tokens
    output: Tokens
    sessions: Sessions = Sessions()


@attrs.frozen
class RequestKind:
    """One kind of request.

    `tenants` gives each tenant's weight; without it, no key is sent. Without `generation` it is a plain
    request with a body of `body_bytes`.
    """

    name: str
    host: str
    path: str
    per_s: float = attrs.field(validator=above_zero)
    tenants: dict[str, float] = attrs.field(factory=dict)
    aim_ms: float = 1000.0
    gap_aim_ms: float = 300.0
    deadline_ms: float = 10_000.0
    retries: int = 1
    method: str = "POST"
    body_bytes: int = 0
    generation: Generations | None = None


@attrs.frozen
class Traffic:
    """What is sent: arrivals of each kind by a Poisson process, more of them in a burst.

    Clients are spread over the zones; each keeps connections, and `reconnect_share` of the requests open a
    new one.
    """

    kinds: tuple[RequestKind, ...] = attrs.field(validator=not_empty)
    for_s: float = 15.0
    seed: int = 1
    clients: int = 24
    reconnect_share: float = 0.1
    bursts: tuple[Burst, ...] = ()
    again_s: float = 10.0
