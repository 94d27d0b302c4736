"""Which data plane a client's new connection reaches, as a platform's front spreads them. No I/O."""

from __future__ import annotations

import zlib
from collections.abc import Sequence

import msgspec

# A data plane that missed so many queries in a row gets no new connections until it answers again.
MAX_MISSED_PROBES = 1


class DataPlaneEndpoint(msgspec.Struct, frozen=True):
    """A data plane as the platform knows it."""

    name: str
    zone: str
    address: str


class Ingress:
    """Clients of a zone are spread over its data planes that are in, by a hash of the client."""

    def __init__(self, endpoints: Sequence[DataPlaneEndpoint]) -> None:
        self._endpoints = tuple(endpoints)
        self._missed_probes = dict.fromkeys((endpoint.name for endpoint in endpoints), 0)

    def record_probe(self, name: str, is_ready: bool) -> None:
        """A data plane answered the platform's query, or did not."""
        self._missed_probes[name] = 0 if is_ready else self._missed_probes[name] + 1

    def is_in_service(self, endpoint: DataPlaneEndpoint) -> bool:
        """Whether it receives new connections."""
        return self._missed_probes[endpoint.name] <= MAX_MISSED_PROBES

    def choose(self, client: str, zone: str, tried: Sequence[str] = ()) -> DataPlaneEndpoint:
        """The data plane for a client's new connection; a retry reaches another one where there is one."""
        own = [endpoint for endpoint in self._endpoints if endpoint.zone == zone]
        candidates = [endpoint for endpoint in own if self.is_in_service(endpoint)]
        if not candidates:
            candidates = [endpoint for endpoint in self._endpoints if self.is_in_service(endpoint)]
        elif 2 * len(candidates) < len(own):
            candidates = own
        candidates = candidates or list(self._endpoints)
        untried = [endpoint for endpoint in candidates if endpoint.name not in tried]
        untried = (
            untried or [endpoint for endpoint in self._endpoints if endpoint.name not in tried] or candidates
        )
        return max(untried, key=lambda endpoint: zlib.crc32(f"{client} {endpoint.name}".encode()))
