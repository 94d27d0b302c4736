"""Models the platform's load balancer, which assigns new client connections to data planes.

Performs no I/O.
"""

from __future__ import annotations

import zlib
from collections.abc import Sequence

import msgspec

# A data plane that missed more consecutive readiness probes than this gets no new connections until it
# answers one again.
MAX_MISSED_PROBES = 1


class DataPlaneEndpoint(msgspec.Struct, frozen=True):
    """A data plane as known to the platform's load balancer."""

    name: str
    zone: str
    address: str


class Ingress:
    """Spreads the clients of a zone over its data planes in service by rendezvous hashing.

    If none of the zone's data planes is in service, all data planes in service are candidates. If some but
    fewer than half of them are, all of the zone's data planes are candidates.
    """

    def __init__(self, endpoints: Sequence[DataPlaneEndpoint]) -> None:
        self._endpoints = tuple(endpoints)
        self._missed_probes = dict.fromkeys((endpoint.name for endpoint in endpoints), 0)

    def record_probe(self, name: str, is_ready: bool) -> None:
        """Record whether a data plane answered a readiness probe of the platform."""
        self._missed_probes[name] = 0 if is_ready else self._missed_probes[name] + 1

    def is_in_service(self, endpoint: DataPlaneEndpoint) -> bool:
        """Whether the data plane receives new connections."""
        return self._missed_probes[endpoint.name] <= MAX_MISSED_PROBES

    def choose(self, client: str, zone: str, tried: Sequence[str] = ()) -> DataPlaneEndpoint:
        """Select the data plane for a client's new connection.

        A retry avoids the data planes in `tried` as long as there is another one.
        """
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
