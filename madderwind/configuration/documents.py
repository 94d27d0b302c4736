"""What an operator's configuration says, typed. Each class checks its own values as it is made.

A field that is absent or null takes its default. Fields that are not known here are kept in the document's
raw form and are not looked at. Checks raise InvalidConfiguration, whose field is relative to the object.
"""

from __future__ import annotations

import math
from typing import Any

import attrs

from madderwind.errors import InvalidConfiguration

DEFAULT_MAX_HEADER_BYTES = 16 * 1024
DEFAULT_MAX_BODY_BYTES = 4 * 1024 * 1024
DEFAULT_HEADER_TIMEOUT_MS = 3_000.0
DEFAULT_IDLE_TIMEOUT_MS = 15_000.0

DEFAULT_PRIORITY = 5

ROUTE_TYPES = frozenset({"safe", "unsafe", "streaming"})
QUOTA_UNITS = frozenset({"requests", "tokens"})


def _above_zero(_: object, attribute: attrs.Attribute[Any], value: float) -> None:
    if value <= 0:
        raise InvalidConfiguration(attribute.name, f"must be above 0, not {value:g}")


def _not_negative(_: object, attribute: attrs.Attribute[Any], value: float) -> None:
    if value < 0:
        raise InvalidConfiguration(attribute.name, f"must not be negative, not {value:g}")


def _not_empty(_: object, attribute: attrs.Attribute[Any], value: str) -> None:
    if not value:
        raise InvalidConfiguration(attribute.name, "must not be empty")


def _route_type(_: object, attribute: attrs.Attribute[Any], value: str) -> None:
    if value not in ROUTE_TYPES:
        raise InvalidConfiguration(
            attribute.name, f"must be one of {', '.join(sorted(ROUTE_TYPES))}, not {value!r}"
        )


def _quota_unit(_: object, attribute: attrs.Attribute[Any], value: str) -> None:
    if value not in QUOTA_UNITS:
        raise InvalidConfiguration(
            attribute.name, f"must be one of {', '.join(sorted(QUOTA_UNITS))}, not {value!r}"
        )


def _between_slashes(_: object, attribute: attrs.Attribute[Any], value: str) -> None:
    if not (value.startswith("/") and value.endswith("/")):
        raise InvalidConfiguration(attribute.name, f"must start and end with a slash, not {value!r}")


@attrs.frozen
class Backend:
    """One of the services that a route's requests are split over, by weight."""

    service: str = attrs.field(validator=_not_empty)
    weight: float = attrs.field(validator=_not_negative)


@attrs.frozen
class Route:
    """Where requests for a host and a path prefix go, and what holds for them. Times are in milliseconds."""

    name: str = attrs.field(validator=_not_empty)
    host: str = attrs.field(validator=_not_empty)
    path_prefix: str = attrs.field(validator=_between_slashes)
    timeout_ms: float = attrs.field(validator=_above_zero)
    route_type: str = attrs.field(default="unsafe", validator=_route_type)
    target_latency_ms: float = attrs.field(default=0.0, validator=_not_negative)
    priority: int = attrs.field(default=DEFAULT_PRIORITY, validator=_not_negative)
    service: str | None = None
    backends: tuple[Backend, ...] = ()
    max_attempts: int = attrs.field(default=1, validator=_above_zero)
    public: bool = False
    sticky: bool = False
    resumable: bool = False
    gap_aim_ms: float = attrs.field(default=0.0, validator=_not_negative)

    def __attrs_post_init__(self) -> None:
        if self.backends:
            if math.fsum(backend.weight for backend in self.backends) <= 0:
                raise InvalidConfiguration("backends", "the weights sum to 0")
        elif not self.service:
            raise InvalidConfiguration("service", "names neither a service nor backends with a weight")

    @property
    def service_names(self) -> tuple[str, ...]:
        """Every service that the route names, those of weight 0 included."""
        named = tuple(backend.service for backend in self.backends)
        return named if self.service is None else (self.service, *named)


@attrs.frozen
class Engine:
    """The model server behind a service; `stride` is the number of tokens in one event of a stream."""

    slots: int = attrs.field(validator=_above_zero)
    kv_tokens: float = attrs.field(validator=_above_zero)
    kv_token_bytes: float = attrs.field(default=0.0, validator=_not_negative)
    link_mbps: float = attrs.field(default=0.0, validator=_not_negative)
    stride: int = attrs.field(default=1, validator=_above_zero)


@attrs.frozen
class Service:
    """A group of upstreams that do the same work; one of them takes `max_connections` from all callers."""

    name: str = attrs.field(validator=_not_empty)
    health_path: str = attrs.field(default="/health", validator=_not_empty)
    max_connections: int | None = attrs.field(default=None, validator=attrs.validators.optional(_above_zero))
    protocol: str = attrs.field(default="h1", validator=_not_empty)
    tls: bool = False
    engine: Engine | None = None


@attrs.frozen
class Tenant:
    """Who holds which keys, and the tenant's quota: `rate_per_s` 0 means no limit."""

    name: str = attrs.field(validator=_not_empty)
    api_keys: tuple[str, ...] = ()
    priority: int | None = attrs.field(default=None, validator=attrs.validators.optional(_not_negative))
    unit: str = attrs.field(default="requests", validator=_quota_unit)
    prompt_tokens: float = attrs.field(default=0.0, validator=_not_negative)
    rate_per_s: float = attrs.field(default=0.0, validator=_not_negative)
    burst: float = attrs.field(default=0.0, validator=_not_negative)

    def __attrs_post_init__(self) -> None:
        for index, key in enumerate(self.api_keys):
            if not key:
                raise InvalidConfiguration(f"api_keys[{index}]", "must not be empty")


@attrs.frozen
class ClientLimits:
    """What a client may send, and how long it may take or rest."""

    max_header_bytes: int = attrs.field(default=DEFAULT_MAX_HEADER_BYTES, validator=_above_zero)
    max_body_bytes: int = attrs.field(default=DEFAULT_MAX_BODY_BYTES, validator=_above_zero)
    header_timeout_ms: float = attrs.field(default=DEFAULT_HEADER_TIMEOUT_MS, validator=_above_zero)
    idle_timeout_ms: float = attrs.field(default=DEFAULT_IDLE_TIMEOUT_MS, validator=_above_zero)


@attrs.frozen
class Configuration:
    """A whole configuration; `consistency.check_consistency` tells whether its parts fit together."""

    version: int
    routes: tuple[Route, ...] = ()
    services: tuple[Service, ...] = ()
    limits: ClientLimits = ClientLimits()
    tenants: tuple[Tenant, ...] = ()
