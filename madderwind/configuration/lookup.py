"""Look-ups for each request: its route, the tenant of its API key, and a service by name."""

from __future__ import annotations

from madderwind.configuration.documents import Configuration, Route, Service, Tenant
from madderwind.configuration.index import ConfigurationChange, ConfigurationIndex


class RoutingTable:
    """A routing table; the cost of a look-up does not depend on the number of routes."""

    def __init__(self, index: ConfigurationIndex) -> None:
        self._prefixes_by_host = index.prefixes_by_host
        self._services = index.services
        self._tenant_by_key = index.tenant_by_key
        self.has_tenants = index.tenant_count > 0  # if true, routes that are not public require a key

    @classmethod
    def of(cls, configuration: Configuration) -> RoutingTable:
        """The table for a configuration that was built in code and not parsed from a document."""
        return cls(ConfigurationIndex().changed(ConfigurationChange.from_empty(configuration)))

    def match(self, host: str, path: str) -> Route | None:
        """The route of the host with the longest prefix of the path.

        `host` is the Host header, in any case, with or without a port; `path` may contain a query string,
        which is ignored.
        """
        prefixes = self._prefixes_by_host.get(without_port(host).lower())
        if prefixes is None:
            return None
        end = _path_end(path)
        while (slash := path.rfind("/", 0, end)) >= 0:
            route = prefixes.get(path[: slash + 1])
            if route is not None:
                return route
            end = slash
        return None

    def tenant_of(self, key: str) -> Tenant | None:
        """The tenant that owns the key."""
        return self._tenant_by_key.get(key)

    def service(self, name: str) -> Service:
        """A service that a route of this configuration names."""
        service = self._services.get(name)
        assert service is not None  # validated when the configuration was built
        return service


def choose_backend(route: Route, random_number: float) -> str:
    """The service for one request of a route, drawn by weight if it has backends.

    `random_number` is in [0, 1).
    """
    if not route.backends:
        assert route.service is not None  # validated by Route
        return route.service
    largest = max(backend.weight for backend in route.backends)
    # Relative to the largest weight, as the sum of the weights may exceed the largest float.
    shares = [backend.weight / largest for backend in route.backends]
    remaining = random_number * sum(shares)
    service = ""
    for backend, share in zip(route.backends, shares, strict=True):
        if share > 0:
            service = backend.service
            if remaining < share:
                break
            remaining -= share
    return service


def without_port(host: str) -> str:
    """The host of a Host header; the brackets of an IPv6 address are kept."""
    if host.endswith("]"):
        return host
    name, colon, port = host.rpartition(":")
    return name if colon and (not port or port.isdigit()) else host


def _path_end(path: str) -> int:
    query = path.find("?")
    return len(path) if query < 0 else query
