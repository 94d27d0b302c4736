"""Rules that hold between the parts of a configuration."""

from __future__ import annotations

from madderwind.configuration.documents import Configuration, Route, Tenant
from madderwind.errors import InvalidConfiguration


def check_consistency(configuration: Configuration) -> None:
    """Raises InvalidConfiguration where a route names an unknown service, two routes share host and prefix,
    or two tenants share a key."""
    _check_services(configuration)
    _check_places(configuration.routes)
    _check_keys(configuration.tenants)


def _check_services(configuration: Configuration) -> None:
    known = {service.name for service in configuration.services}
    for index, route in enumerate(configuration.routes):
        if route.service is not None and route.service not in known:
            raise _unknown_service(f"routes[{index}].service", route, route.service)
        for number, backend in enumerate(route.backends):
            if backend.service not in known:
                raise _unknown_service(f"routes[{index}].backends[{number}].service", route, backend.service)


def _unknown_service(field: str, route: Route, service: str) -> InvalidConfiguration:
    return InvalidConfiguration(field, f"route {route.name!r} names the unknown service {service!r}")


def _check_places(routes: tuple[Route, ...]) -> None:
    holders: dict[tuple[str, str], str] = {}
    for index, route in enumerate(routes):
        holder = holders.setdefault((route.host.lower(), route.path_prefix), route.name)
        if holder != route.name:
            reason = f"routes {holder!r} and {route.name!r} share host and prefix"
            raise InvalidConfiguration(f"routes[{index}].path_prefix", reason)


def _check_keys(tenants: tuple[Tenant, ...]) -> None:
    holders: dict[str, str] = {}
    for index, tenant in enumerate(tenants):
        for number, key in enumerate(tenant.api_keys):
            holder = holders.setdefault(key, tenant.name)
            if holder != tenant.name:
                reason = f"tenants {holder!r} and {tenant.name!r} share a key"
                raise InvalidConfiguration(f"tenants[{index}].api_keys[{number}]", reason)
