"""The states of an upstream instance, which only ever advance."""

from __future__ import annotations

from enum import Enum


class UpstreamState(Enum):
    """The state of an instance; the values are those on the wire."""

    READY = "ready"  # accepts requests
    DRAINING = "draining"  # accepts no new requests
    DEREGISTERED = "gone"  # accepts no requests; its address may belong to another instance


_RANKS = {UpstreamState.READY: 0, UpstreamState.DRAINING: 1, UpstreamState.DEREGISTERED: 2}


def furthest(first: UpstreamState, second: UpstreamState) -> UpstreamState:
    """The later of two states, as an instance never returns to an earlier one."""
    return first if _RANKS[first] >= _RANKS[second] else second


def state_named(name: str) -> UpstreamState:
    """Parse the state of a record; one that this version does not know counts as draining."""
    try:
        return UpstreamState(name)
    except ValueError:
        return UpstreamState.DRAINING
