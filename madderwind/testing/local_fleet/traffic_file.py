"""File format of a fleet's traffic: kinds of requests, tenants, sessions, bursts."""

from __future__ import annotations

import attrs

from madderwind.testing.engine_emulator.workload import Burst, SharedPart, Tokens
from madderwind.testing.local_fleet.field_checks import above_zero, not_empty


@attrs.frozen
class Sessions:
    """Conversations of several requests.

    A fraction `share` of the requests continues an earlier one of the same kind: its prompt begins with the
    earlier prompt. A conversation has at most `most_turns` requests.
    """

    share: float = 0.0
    most_turns: int = 4


@attrs.frozen
class Generations:
    """Shape of model requests: the chain of shared prompt parts, the unique part, and the output."""

    chain: tuple[SharedPart, ...]
    prompt: Tokens
    output: Tokens
    sessions: Sessions = Sessions()


@attrs.frozen
class RequestKind:
    """One kind of request.

    `tenants` maps each tenant to its weight; if it is empty, no API key is sent. Without `generation` the
    request is a plain one with a body of `body_bytes`.
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
    """The traffic of a fleet: a Poisson arrival process per kind, with a higher rate during bursts.

    Clients are spread over the zones and keep their connections; a fraction `reconnect_share` of the requests
    opens a new connection.
    """

    kinds: tuple[RequestKind, ...] = attrs.field(validator=not_empty)
    for_s: float = 15.0
    seed: int = 1
    clients: int = 24
    reconnect_share: float = 0.1
    bursts: tuple[Burst, ...] = ()
    again_s: float = 10.0
