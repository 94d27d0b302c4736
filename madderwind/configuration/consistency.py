"""Validation rules that span several sections of a configuration."""

from __future__ import annotations

from madderwind.configuration.documents import Configuration, Route, Tenant
from madderwind.errors import ConfigurationError


def check_consistency(configuration: Configuration) -> None:
    """Check the rules that span several sections.

    Raises:
        ConfigurationError: A route names an unknown service, two routes share host and prefix, or two
            tenants share a key.
    """
    _check_services(configuration)
    _check_prefixes(configuration.routes)
    _check_keys(configuration.tenants)


def _check_services(configuration: Configuration) -> None:
    known = {service.name for service in configuration.services}
    for index, route in enumerate(configuration.routes):
        if route.service is not None and route.service not in known:
            raise _unknown_service(f"routes[{index}].service", route, route.service)
        for number, backend in enumerate(route.backends):
            if backend.service not in known:
                raise _unknown_service(f"routes[{index}].backends[{number}].service", route, backend.service)


def _unknown_service(field: str, route: Route, service: str) -> ConfigurationError:
    return ConfigurationError(field, f"route {route.name!r} names the unknown service {service!r}")


def _check_prefixes(routes: tuple[Route, ...]) -> None:
    owners: dict[tuple[str, str], str] = {}
    for index, route in enumerate(routes):
        owner = owners.setdefault((route.host.lower(), route.path_prefix), route.name)
        if owner != route.name:
            reason = f"routes {owner!r} and {route.name!r} share host and prefix"
            raise ConfigurationError(f"routes[{index}].path_prefix", reason)


def _check_keys(tenants: tuple[Tenant, ...]) -> None:
    owners: dict[str, str] = {}
    for index, tenant in enumerate(tenants):
        for number, key in enumerate(tenant.api_keys):
            owner = owners.setdefault(key, tenant.name)
            if owner != tenant.name:
                reason = f"tenants {owner!r} and {tenant.name!r} share a key"
                raise ConfigurationError(f"tenants[{index}].api_keys[{number}]", reason)
