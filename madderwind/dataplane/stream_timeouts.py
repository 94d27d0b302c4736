"""Upstreams whose streams have all fallen silent here: a hint of a machine that vanished. No I/O."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

# A model server that runs gives an event to each of its streams every few tens of milliseconds. Pauses of all
# streams at once are rare and short: prompts are read in pieces between them.
STREAM_TIMEOUT_MS = 400.0


class _Streams(msgspec.Struct):
    begun: int
    heard_ms: float


class StreamTimeouts:
    """Counts streams that have begun, and when any of an upstream's last gave an event.

    Guards against requests that go on to a machine without power until its connections time out. It only
    lowers preference: no stream ends for it.
    """

    def __init__(self) -> None:
        self._streams: dict[str, _Streams] = {}

    def began(self, now_ms: float, instance: str) -> None:
        """The first event of a stream came."""
        streams = self._streams.setdefault(instance, _Streams(0, now_ms))
        streams.begun += 1
        streams.heard_ms = now_ms

    def record_data(self, now_ms: float, instance: str) -> None:
        """Another event of a stream that has begun came."""
        self._streams[instance].heard_ms = now_ms

    def ended(self, instance: str) -> None:
        """A stream that had begun is over."""
        streams = self._streams[instance]
        streams.begun -= 1
        if not streams.begun:
            del self._streams[instance]

    def timed_out(self, now_ms: float, candidates: Iterable[str]) -> frozenset[str]:
        """Those that have streams and gave none of them an event for some time."""
        return frozenset(instance for instance in candidates if self._is_silent(now_ms, instance))

    def _is_silent(self, now_ms: float, instance: str) -> bool:
        streams = self._streams.get(instance)
        return streams is not None and now_ms - streams.heard_ms > STREAM_TIMEOUT_MS
