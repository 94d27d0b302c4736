"""What look-ups and checks need to know of a configuration, brought up to date by the size of a change."""

from __future__ import annotations

from collections import Counter
from typing import Generic, TypeVar

import attrs

from madderwind.configuration.documents import Configuration, Route, Service, Tenant
from madderwind.configuration.persistent_map import PersistentMap

ItemType = TypeVar("ItemType")

Prefixes = PersistentMap[str, Route]


class ConflictingPartsError(Exception):
    """Two routes share host and prefix, two tenants share a key, or a route names an unknown service."""


@attrs.frozen
class Difference(Generic[ItemType]):
    """The typed items that a change took away, and those that it brought; what it replaced is in both."""

    removed: tuple[ItemType, ...] = ()
    added: tuple[ItemType, ...] = ()


@attrs.frozen
class ConfigurationChange:
    """How one configuration differs from another."""

    routes: Difference[Route] = Difference()
    services: Difference[Service] = Difference()
    tenants: Difference[Tenant] = Difference()

    @classmethod
    def from_nothing(cls, configuration: Configuration) -> ConfigurationChange:
        """How a whole configuration differs from an empty one."""
        return cls(
            Difference(added=configuration.routes),
            Difference(added=configuration.services),
            Difference(added=configuration.tenants),
        )


@attrs.frozen
class ConfigurationIndex:
    """Never changed in place. Hosts are in lower case."""

    prefixes_of_host: PersistentMap[str, Prefixes] = attrs.field(factory=PersistentMap)
    services: PersistentMap[str, Service] = attrs.field(factory=PersistentMap)
    tenant_of_key: PersistentMap[str, Tenant] = attrs.field(factory=PersistentMap)
    uses_of_service: PersistentMap[str, int] = attrs.field(factory=PersistentMap)  # how often routes name it
    tenant_count: int = 0

    def changed(self, change: ConfigurationChange) -> ConfigurationIndex:
        """The index after a change; raises ConflictingPartsError."""
        removed = [service.name for service in change.services.removed]
        added = {service.name: service for service in change.services.added}
        services = self.services.changed(added, removed)
        uses = self._changed_uses(change.routes)
        for name in (*uses, *removed):
            if name not in services and (uses[name] if name in uses else self.uses_of_service.get(name)):
                raise ConflictingPartsError
        return ConfigurationIndex(
            self._hosts_after(change.routes),
            services,
            self._keys_after(change.tenants),
            self.uses_of_service.changed(uses),
            self.tenant_count + len(change.tenants.added) - len(change.tenants.removed),
        )

    def _hosts_after(self, routes: Difference[Route]) -> PersistentMap[str, Prefixes]:
        changed_prefixes: dict[str, dict[str, Route | None]] = {}
        for route in routes.removed:
            changed_prefixes.setdefault(route.host.lower(), {})[route.path_prefix] = None
        for route in routes.added:
            host, prefix = route.host.lower(), route.path_prefix
            of_host = changed_prefixes.setdefault(host, {})
            if (of_host[prefix] if prefix in of_host else self._route_at(host, prefix)) is not None:
                raise ConflictingPartsError
            of_host[prefix] = route
        changed = {host: self._prefixes_after(host, of_host) for host, of_host in changed_prefixes.items()}
        remaining = {host: prefixes for host, prefixes in changed.items() if len(prefixes)}
        return self.prefixes_of_host.changed(remaining, changed.keys() - remaining.keys())

    def _route_at(self, host: str, prefix: str) -> Route | None:
        prefixes = self.prefixes_of_host.get(host)
        return None if prefixes is None else prefixes.get(prefix)

    def _prefixes_after(self, host: str, changed: dict[str, Route | None]) -> Prefixes:
        added = {prefix: route for prefix, route in changed.items() if route is not None}
        prefixes = self.prefixes_of_host.get(host)
        return (
            PersistentMap(added)
            if prefixes is None
            else prefixes.changed(added, changed.keys() - added.keys())
        )

    def _keys_after(self, tenants: Difference[Tenant]) -> PersistentMap[str, Tenant]:
        removed = {key for tenant in tenants.removed for key in tenant.api_keys}
        added: dict[str, Tenant] = {}
        for tenant in tenants.added:
            for key in tenant.api_keys:
                owner = added.get(key) or (None if key in removed else self.tenant_of_key.get(key))
                if owner is not None and owner is not tenant:
                    raise ConflictingPartsError
                added[key] = tenant
        return self.tenant_of_key.changed(added, removed)

    def _changed_uses(self, routes: Difference[Route]) -> dict[str, int]:
        """How often services are named after a change, those that are named otherwise than before."""
        more = Counter(name for route in routes.added for name in route.service_names)
        more.subtract(Counter(name for route in routes.removed for name in route.service_names))
        return {name: count + (self.uses_of_service.get(name) or 0) for name, count in more.items() if count}
