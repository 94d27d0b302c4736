"""Detects upstreams whose streams have all stalled, which suggests that the machine is gone. No I/O."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

# A running model server sends an event on each of its streams every few tens of milliseconds. Pauses of all
# streams at once are rare and short, because prompts are processed in chunks between events.
STREAM_TIMEOUT_MS = 400.0


class _Streams(msgspec.Struct):
    active: int
    last_event_ms: float


class StreamTimeouts:
    """Counts the active streams of each upstream and records the time of their last event.

    Without it, requests would be sent to a machine that lost power until its connections time out. The result
    only lowers the preference for an upstream and ends no stream.
    """

    def __init__(self) -> None:
        self._streams: dict[str, _Streams] = {}

    def began(self, now_ms: float, instance: str) -> None:
        """Record the first event of a stream."""
        streams = self._streams.setdefault(instance, _Streams(0, now_ms))
        streams.active += 1
        streams.last_event_ms = now_ms

    def record_data(self, now_ms: float, instance: str) -> None:
        """Record another event of an active stream."""
        self._streams[instance].last_event_ms = now_ms

    def ended(self, instance: str) -> None:
        """Record the end of an active stream."""
        streams = self._streams[instance]
        streams.active -= 1
        if not streams.active:
            del self._streams[instance]

    def timed_out(self, now_ms: float, candidates: Iterable[str]) -> frozenset[str]:
        """Upstreams with active streams, none of which received an event within the timeout."""
        return frozenset(instance for instance in candidates if self._is_timed_out(now_ms, instance))

    def _is_timed_out(self, now_ms: float, instance: str) -> bool:
        streams = self._streams.get(instance)
        return streams is not None and now_ms - streams.last_event_ms > STREAM_TIMEOUT_MS
