"""Generates the requests of a load from one seed: arrivals, prompts, sessions, tenants, clients."""

from __future__ import annotations

import hashlib
import random
from collections.abc import Mapping

import msgspec

from madderwind.placement.prompts import PromptPart
from madderwind.testing.engine_emulator.workload import Arrival, Kind, Tokens, Workload
from madderwind.testing.local_fleet.traffic_file import RequestKind, Traffic

PART_ID_BYTES = 6
# Placeholder token distribution for kinds without generations, required by the workload generator.
_NO_TOKENS = Tokens(mean=1.0)


class PlannedRequest(msgspec.Struct, frozen=True):
    """One request that a client will send. `parts` is empty if the request is not a generation."""

    number: int
    at_ms: float
    kind: str
    client: int
    opens_connection: bool
    tenant: str
    parts: tuple[PromptPart, ...]
    output_tokens: int

    @property
    def prompt_tokens(self) -> int:
        """Length of the whole prompt in tokens."""
        return sum(part.tokens for part in self.parts)

    @property
    def shared_tokens(self) -> int:
        """Length in tokens of the parts that other prompts may share."""
        return sum(part.tokens for part in self.parts[:-1])


def draw_requests(traffic: Traffic, run: str) -> list[PlannedRequest]:
    """Generate all requests in order of time.

    `run` goes into the part ids, so that different runs share no prompt parts.
    """
    rng = random.Random(traffic.seed)
    by_name = {kind.name: kind for kind in traffic.kinds}
    workload = Workload(
        "", [workload_kind(kind) for kind in traffic.kinds], list(traffic.bursts), traffic.for_s, rng
    )
    sessions = {kind.name: _Sessions(kind, rng) for kind in traffic.kinds}
    requests = []
    for number, arrival in enumerate(workload.arrivals()):
        kind = by_name[arrival.kind.name]
        parts = sessions[kind.name].parts_of(arrival) if kind.generation is not None else ()
        requests.append(
            PlannedRequest(
                number=number,
                at_ms=arrival.at_ms,
                kind=kind.name,
                client=rng.randrange(traffic.clients),
                opens_connection=rng.random() < traffic.reconnect_share,
                tenant=_draw_tenant(kind.tenants, rng),
                parts=tuple(PromptPart(_part_id(run, part.id), part.tokens) for part in parts),
                output_tokens=arrival.output_tokens,
            )
        )
    return requests


def workload_kind(kind: RequestKind) -> Kind:
    """Convert a kind of request to a workload kind of the engine emulator."""
    generation = kind.generation
    return Kind(
        name=kind.name,
        per_s=kind.per_s,
        chain=[] if generation is None else list(generation.chain),
        prompt=_NO_TOKENS if generation is None else generation.prompt,
        output=_NO_TOKENS if generation is None else generation.output,
        aim_ms=kind.aim_ms,
        gap_aim_ms=kind.gap_aim_ms,
        worth=1.0,
        late_worth=0.3,
        deadline_ms=kind.deadline_ms,
    )


class _Sessions:
    """The conversations of one kind: some requests begin with the whole prompt of an earlier one."""

    def __init__(self, kind: RequestKind, rng: random.Random) -> None:
        self._settings = None if kind.generation is None else kind.generation.sessions
        self._rng = rng
        self._open: list[tuple[int, tuple[PromptPart, ...]]] = []

    def parts_of(self, arrival: Arrival) -> tuple[PromptPart, ...]:
        drawn = arrival.generation.parts
        settings = self._settings
        if settings is None or not settings.share:
            return drawn
        turn, parts = 1, drawn
        if self._open and self._rng.random() < settings.share:
            earlier_turn, earlier = self._open.pop(self._rng.randrange(len(self._open)))
            turn, parts = earlier_turn + 1, (*earlier, drawn[-1])
        if turn < settings.most_turns:
            self._open.append((turn, parts))
        return parts


def _draw_tenant(weights: Mapping[str, float], rng: random.Random) -> str:
    if not weights:
        return ""
    return rng.choices(list(weights), list(weights.values()))[0]


def _part_id(run: str, name: str) -> str:
    return hashlib.blake2s(f"{run} {name}".encode(), digest_size=PART_ID_BYTES).hexdigest()
