"""What an operator's configuration says, typed. Each class checks its own values as it is made.

A field that is absent or null takes its default. Fields that are not known here are kept in the document's
raw form and are not looked at. Checks raise ConfigurationError, whose field is relative to the object.
"""

from __future__ import annotations

import math

import attrs

from madderwind.errors import ConfigurationError

DEFAULT_MAX_HEADER_BYTES = 16 * 1024
DEFAULT_MAX_BODY_BYTES = 4 * 1024 * 1024
DEFAULT_HEADER_TIMEOUT_MS = 3_000.0
DEFAULT_IDLE_TIMEOUT_MS = 15_000.0

DEFAULT_PRIORITY = 5

ROUTE_TYPES = frozenset({"safe", "unsafe", "streaming"})
QUOTA_UNITS = frozenset({"requests", "tokens"})


def _above_zero(name: str, value: float) -> None:
    if value <= 0:
        raise ConfigurationError(name, f"must be above 0, not {value:g}")


def _not_negative(name: str, value: float) -> None:
    if value < 0:
        raise ConfigurationError(name, f"must not be negative, not {value:g}")


def _not_empty(name: str, value: str) -> None:
    if not value:
        raise ConfigurationError(name, "must not be empty")


def _one_of(name: str, value: str, allowed: frozenset[str]) -> None:
    if value not in allowed:
        raise ConfigurationError(name, f"must be one of {', '.join(sorted(allowed))}, not {value!r}")


def _between_slashes(name: str, value: str) -> None:
    if not (value.startswith("/") and value.endswith("/")):
        raise ConfigurationError(name, f"must start and end with a slash, not {value!r}")


@attrs.frozen
class Backend:
    """One of the services that a route's requests are split over, by weight."""

    service: str
    weight: float

    def __attrs_post_init__(self) -> None:
        _not_empty("service", self.service)
        _not_negative("weight", self.weight)


@attrs.frozen
class Route:
    """Where requests for a host and a path prefix go, and what holds for them. Times are in milliseconds."""

    name: str
    host: str
    path_prefix: str
    timeout_ms: float
    route_type: str = "unsafe"
    target_latency_ms: float = 0.0
    priority: int = DEFAULT_PRIORITY
    service: str | None = None
    backends: tuple[Backend, ...] = ()
    max_attempts: int = 1
    public: bool = False
    sticky: bool = False
    resumable: bool = False
    gap_aim_ms: float = 0.0

    def __attrs_post_init__(self) -> None:
        _not_empty("name", self.name)
        _not_empty("host", self.host)
        _between_slashes("path_prefix", self.path_prefix)
        _above_zero("timeout_ms", self.timeout_ms)
        _one_of("route_type", self.route_type, ROUTE_TYPES)
        _not_negative("target_latency_ms", self.target_latency_ms)
        _not_negative("priority", self.priority)
        _above_zero("max_attempts", self.max_attempts)
        _not_negative("gap_aim_ms", self.gap_aim_ms)
        if self.backends:
            if math.fsum(backend.weight for backend in self.backends) <= 0:
                raise ConfigurationError("backends", "the weights sum to 0")
        elif not self.service:
            raise ConfigurationError("service", "names neither a service nor backends with a weight")

    @property
    def service_names(self) -> tuple[str, ...]:
        """Every service that the route names, those of weight 0 included."""
        if self.service is not None and not self.backends:
            return (self.service,)
        named = tuple(backend.service for backend in self.backends)
        return named if self.service is None else (self.service, *named)


@attrs.frozen
class Engine:
    """The model server behind a service; `stride` is the number of tokens in one event of a stream."""

    slots: int
    kv_tokens: float
    kv_token_bytes: float = 0.0
    link_mbps: float = 0.0
    stride: int = 1

    def __attrs_post_init__(self) -> None:
        _above_zero("slots", self.slots)
        _above_zero("kv_tokens", self.kv_tokens)
        _not_negative("kv_token_bytes", self.kv_token_bytes)
        _not_negative("link_mbps", self.link_mbps)
        _above_zero("stride", self.stride)


@attrs.frozen
class Service:
    """A group of upstreams that do the same work; one of them takes `max_connections` from all callers."""

    name: str
    health_path: str = "/health"
    max_connections: int | None = None
    protocol: str = "h1"
    tls: bool = False
    engine: Engine | None = None

    def __attrs_post_init__(self) -> None:
        _not_empty("name", self.name)
        _not_empty("health_path", self.health_path)
        if self.max_connections is not None:
            _above_zero("max_connections", self.max_connections)
        _not_empty("protocol", self.protocol)


@attrs.frozen
class Tenant:
    """Who holds which keys, and the tenant's quota: `rate_per_s` 0 means no limit."""

    name: str
    api_keys: tuple[str, ...] = ()
    priority: int | None = None
    unit: str = "requests"
    prompt_tokens: float = 0.0
    rate_per_s: float = 0.0
    burst: float = 0.0

    def __attrs_post_init__(self) -> None:
        _not_empty("name", self.name)
        if self.priority is not None:
            _not_negative("priority", self.priority)
        _one_of("unit", self.unit, QUOTA_UNITS)
        _not_negative("prompt_tokens", self.prompt_tokens)
        _not_negative("rate_per_s", self.rate_per_s)
        _not_negative("burst", self.burst)
        for index, key in enumerate(self.api_keys):
            if not key:
                raise ConfigurationError(f"api_keys[{index}]", "must not be empty")


@attrs.frozen
class ClientLimits:
    """What a client may send, and how long it may take or rest."""

    max_header_bytes: int = DEFAULT_MAX_HEADER_BYTES
    max_body_bytes: int = DEFAULT_MAX_BODY_BYTES
    header_timeout_ms: float = DEFAULT_HEADER_TIMEOUT_MS
    idle_timeout_ms: float = DEFAULT_IDLE_TIMEOUT_MS

    def __attrs_post_init__(self) -> None:
        _above_zero("max_header_bytes", self.max_header_bytes)
        _above_zero("max_body_bytes", self.max_body_bytes)
        _above_zero("header_timeout_ms", self.header_timeout_ms)
        _above_zero("idle_timeout_ms", self.idle_timeout_ms)


@attrs.frozen
class Configuration:
    """A whole configuration; `consistency.check_consistency` tells whether its parts fit together."""

    version: int
    routes: tuple[Route, ...] = ()
    services: tuple[Service, ...] = ()
    limits: ClientLimits = ClientLimits()
    tenants: tuple[Tenant, ...] = ()
