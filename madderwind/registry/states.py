"""The states of an upstream's instance, which only ever advance."""

from __future__ import annotations

from enum import Enum


class UpstreamState(Enum):
    """The values are those on the wire."""

    READY = "ready"  # takes requests
    DRAINING = "draining"  # takes no new ones
    DEREGISTERED = "gone"  # takes none; its address may belong to another instance


_RANKS = {UpstreamState.READY: 0, UpstreamState.DRAINING: 1, UpstreamState.DEREGISTERED: 2}


def furthest(first: UpstreamState, second: UpstreamState) -> UpstreamState:
    """The later of two states: an instance never goes back to an earlier one."""
    return first if _RANKS[first] >= _RANKS[second] else second


def state_named(name: str) -> UpstreamState:
    """The state that a record names; one that this version does not know takes no new requests."""
    try:
        return UpstreamState(name)
    except ValueError:
        return UpstreamState.DRAINING
