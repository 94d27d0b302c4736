"""Which data plane a client's new connection reaches, as a platform's front spreads them. No I/O."""

from __future__ import annotations

import zlib
from collections.abc import Sequence

import msgspec

# A data plane that missed so many queries in a row gets no new connections until it answers again.
MISSES_ALLOWED = 1


class Front(msgspec.Struct, frozen=True):
    """A data plane as the platform knows it."""

    name: str
    zone: str
    address: str


class Ingress:
    """Clients of a zone are spread over its data planes that are in, by a hash of the client."""

    def __init__(self, fronts: Sequence[Front]) -> None:
        self._fronts = tuple(fronts)
        self._misses = dict.fromkeys((front.name for front in fronts), 0)

    def queried(self, name: str, is_ready: bool) -> None:
        """A data plane answered the platform's query, or did not."""
        self._misses[name] = 0 if is_ready else self._misses[name] + 1

    def is_in(self, front: Front) -> bool:
        """Whether it receives new connections."""
        return self._misses[front.name] <= MISSES_ALLOWED

    def choose(self, client: str, zone: str, tried: Sequence[str] = ()) -> Front:
        """The data plane for a client's new connection; a retry reaches another one where there is one."""
        own = [front for front in self._fronts if front.zone == zone]
        candidates = [front for front in own if self.is_in(front)]
        if not candidates:
            candidates = [front for front in self._fronts if self.is_in(front)]
        elif 2 * len(candidates) < len(own):
            candidates = own
        candidates = candidates or list(self._fronts)
        left = [front for front in candidates if front.name not in tried]
        left = left or [front for front in self._fronts if front.name not in tried] or candidates
        return max(left, key=lambda front: zlib.crc32(f"{client} {front.name}".encode()))
