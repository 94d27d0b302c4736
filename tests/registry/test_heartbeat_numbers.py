"""Whatever number a heartbeat may hold reaches the peers, the data planes and the disk unchanged."""

from __future__ import annotations

import json
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from madderwind.errors import HeartbeatError
from madderwind.messages.distribution import RegistryDelta, RegistrySnapshot, to_data_plane
from madderwind.messages.peering import FinalStateNotice, LivenessReport, RegistryGossip, peer_frames
from madderwind.registry.checkpoint import RegistryCheckpoint
from madderwind.registry.heartbeats import MAX_HEARTBEAT_BYTES, read_heartbeat
from madderwind.registry.known_upstreams import KnownUpstreams
from madderwind.registry.registry import Registry
from tests.registry.test_checkpoint import InMemoryDisk

HEARTBEAT_MS = 1_000.0
INSTANCE = "i-1"
# Date and time down to the microsecond, beyond 64 bits.
MICROSECONDS = 20261204181000123456
POWERS = [1 << bits for bits in (31, 53, 63, 64)]
BOUNDARIES = [sign * (power + offset) for power in POWERS for offset in (-1, 0, 1) for sign in (1, -1)]
LONGEST = 10**3_500
integers = st.integers() | st.integers(-LONGEST, LONGEST) | st.sampled_from([*BOUNDARIES, MICROSECONDS])
numbers = integers | st.floats() | st.sampled_from([1e300, -1e300, 1.7e308, 5e-324])
texts = st.text(max_size=20) | st.sampled_from(["v" * 3000, "\x00", "\u2603"])


def body(**changes: object) -> bytes:
    """A heartbeat as upstreams send it; JSON's encoder writes infinities and NaN as such."""
    return json.dumps(
        {
            "service": "s",
            "address": "10.0.0.1:80",
            "zone": "z",
            "version": "v1",
            "slots": 4,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": 1,
            **changes,
        }
    ).encode()


def assert_carried(heartbeat_body: bytes) -> None:
    """Pass a heartbeat on as control planes do, with a first and a final state."""
    registry = Registry(HEARTBEAT_MS)
    heartbeat = read_heartbeat(INSTANCE, heartbeat_body)
    registry.handle_heartbeat(0.0, INSTANCE, heartbeat)
    registry.deregister(10.0, INSTANCE)
    records = registry.snapshot(20.0)
    assert records[0].sequence == heartbeat.sequence
    for to_plane in (RegistrySnapshot(records), RegistryDelta(records)):
        assert to_data_plane.decode(to_data_plane.encode(to_plane)) == to_plane
    liveness = LivenessReport(registry.take_liveness(20.0))
    for frame in (RegistryGossip(records), FinalStateNotice(records[0]), liveness):
        assert peer_frames.decode(peer_frames.encode(frame)) == frame
    disk = InMemoryDisk()
    RegistryCheckpoint(disk).save(records)
    stored = RegistryCheckpoint(disk).load()
    assert stored == records
    restored, data_plane = Registry(HEARTBEAT_MS), KnownUpstreams(HEARTBEAT_MS)
    restored.restore(0.0, stored)
    assert restored.snapshot(0.0)[0].sequence == heartbeat.sequence
    data_plane.merge(0.0, records)


@given(
    st.fixed_dictionaries(
        {},
        optional={
            "sequence": numbers,
            "slots": numbers,
            "cold_remaining_ms": numbers,
            "service": texts,
            "zone": texts,
            "version": texts,
            "unknown": numbers | texts,
        },
    )
)
def test_every_heartbeat_is_refused_with_a_reason_or_carried(changes: dict[str, Any]) -> None:
    heartbeat_body = body(**changes)
    try:
        read_heartbeat(INSTANCE, heartbeat_body)
    except HeartbeatError:
        return
    assert_carried(heartbeat_body)


@pytest.mark.parametrize(
    "changes",
    [
        pytest.param({"sequence": MICROSECONDS}, id="sequence of 20 digits"),
        pytest.param({"sequence": -MICROSECONDS}, id="negative sequence"),
        pytest.param({"sequence": LONGEST}, id="sequence as long as a heartbeat"),
        pytest.param({"slots": MICROSECONDS}, id="slots of 20 digits"),
        pytest.param({"slots": 1e300}, id="slots near the largest float"),
        pytest.param({"cold_remaining_ms": 1e20}, id="slow start beyond 64 bits"),
        pytest.param({"cold_remaining_ms": 1e300}, id="slow start near the largest float"),
        pytest.param({"cold_remaining_ms": -1e300}, id="negative slow start"),
    ],
)
def test_a_number_beyond_64_bits_is_carried(changes: dict[str, Any]) -> None:
    # Guards against an acknowledged heartbeat that shuts out data planes that subscribe (review/8).
    assert_carried(body(**changes))


def test_the_longest_heartbeat_holds_no_number_beyond_the_bound() -> None:
    digits = "9" * (MAX_HEARTBEAT_BYTES - len(body(sequence=0)) + 1)
    heartbeat_body = body(sequence=0).replace(b'"sequence": 0', f'"sequence": {digits}'.encode())
    assert len(heartbeat_body) == MAX_HEARTBEAT_BYTES
    assert_carried(heartbeat_body)
