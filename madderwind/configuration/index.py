"""The index behind look-ups and validation; an update costs time in proportion to the size of the change."""

from __future__ import annotations

from collections import Counter
from typing import Generic, TypeVar

import attrs

from madderwind.configuration.documents import Configuration, Route, Service, Tenant
from madderwind.configuration.persistent_map import PersistentMap

ItemType = TypeVar("ItemType")

RoutesByPrefix = PersistentMap[str, Route]


class ConflictingPartsError(Exception):
    """Two routes share host and prefix, two tenants share a key, or a route names an unknown service."""


@attrs.frozen
class Difference(Generic[ItemType]):
    """The typed items that a change removed and added; a replaced item is in both."""

    removed: tuple[ItemType, ...] = ()
    added: tuple[ItemType, ...] = ()


@attrs.frozen
class ConfigurationChange:
    """The difference between two configurations."""

    routes: Difference[Route] = Difference()
    services: Difference[Service] = Difference()
    tenants: Difference[Tenant] = Difference()

    @classmethod
    def from_empty(cls, configuration: Configuration) -> ConfigurationChange:
        """The change from an empty configuration to this one."""
        return cls(
            Difference(added=configuration.routes),
            Difference(added=configuration.services),
            Difference(added=configuration.tenants),
        )


@attrs.frozen
class ConfigurationIndex:
    """An immutable index of a configuration. Hosts are in lower case."""

    prefixes_by_host: PersistentMap[str, RoutesByPrefix] = attrs.field(factory=PersistentMap)
    services: PersistentMap[str, Service] = attrs.field(factory=PersistentMap)
    tenant_by_key: PersistentMap[str, Tenant] = attrs.field(factory=PersistentMap)
    reference_counts: PersistentMap[str, int] = attrs.field(factory=PersistentMap)  # by service
    tenant_count: int = 0

    def changed(self, change: ConfigurationChange) -> ConfigurationIndex:
        """The index after a change; raises ConflictingPartsError."""
        removed = [service.name for service in change.services.removed]
        added = {service.name: service for service in change.services.added}
        services = self.services.changed(added, removed)
        counts = self._changed_reference_counts(change.routes)
        for name in (*counts, *removed):
            if name not in services and (counts[name] if name in counts else self.reference_counts.get(name)):
                raise ConflictingPartsError
        return ConfigurationIndex(
            self._hosts_after(change.routes),
            services,
            self._keys_after(change.tenants),
            self.reference_counts.changed(counts),
            self.tenant_count + len(change.tenants.added) - len(change.tenants.removed),
        )

    def _hosts_after(self, routes: Difference[Route]) -> PersistentMap[str, RoutesByPrefix]:
        changed_prefixes: dict[str, dict[str, Route | None]] = {}
        for route in routes.removed:
            changed_prefixes.setdefault(route.host.lower(), {})[route.path_prefix] = None
        for route in routes.added:
            host, prefix = route.host.lower(), route.path_prefix
            changes = changed_prefixes.setdefault(host, {})
            if (changes[prefix] if prefix in changes else self._find_route(host, prefix)) is not None:
                raise ConflictingPartsError
            changes[prefix] = route
        changed = {host: self._prefixes_after(host, changes) for host, changes in changed_prefixes.items()}
        remaining = {host: prefixes for host, prefixes in changed.items() if len(prefixes)}
        return self.prefixes_by_host.changed(remaining, changed.keys() - remaining.keys())

    def _find_route(self, host: str, prefix: str) -> Route | None:
        prefixes = self.prefixes_by_host.get(host)
        return None if prefixes is None else prefixes.get(prefix)

    def _prefixes_after(self, host: str, changed: dict[str, Route | None]) -> RoutesByPrefix:
        added = {prefix: route for prefix, route in changed.items() if route is not None}
        prefixes = self.prefixes_by_host.get(host)
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
                owner = added.get(key) or (None if key in removed else self.tenant_by_key.get(key))
                if owner is not None and owner is not tenant:
                    raise ConflictingPartsError
                added[key] = tenant
        return self.tenant_by_key.changed(added, removed)

    def _changed_reference_counts(self, routes: Difference[Route]) -> dict[str, int]:
        """The new reference count of each service whose count the change alters."""
        count_changes = Counter(name for route in routes.added for name in route.service_names)
        count_changes.subtract(Counter(name for route in routes.removed for name in route.service_names))
        return {
            name: count + (self.reference_counts.get(name) or 0)
            for name, count in count_changes.items()
            if count
        }
