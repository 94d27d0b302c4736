"""The states of an upstream's instance, which only ever advance."""

from __future__ import annotations

from enum import Enum


class UpstreamState(Enum):
    """`READY` takes requests, `DRAINING` takes no new ones, `GONE` has deregistered."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


_ORDER = {UpstreamState.READY: 0, UpstreamState.DRAINING: 1, UpstreamState.GONE: 2}


def furthest(first: UpstreamState, second: UpstreamState) -> UpstreamState:
    """The later of two states: an instance never goes back to an earlier one."""
    return first if _ORDER[first] >= _ORDER[second] else second


def state_named(name: str) -> UpstreamState:
    """The state that a record names; one that this version does not know takes no new requests."""
    try:
        return UpstreamState(name)
    except ValueError:
        return UpstreamState.DRAINING
