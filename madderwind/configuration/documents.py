"""Typed classes for an operator's configuration. Each class validates its own values on construction.

A field that is absent or null takes its default. Unknown fields are preserved in the document's raw form and
are not validated. Validation raises ConfigurationError, whose field is relative to the object.
"""

from __future__ import annotations

import attrs

from madderwind.errors import ConfigurationError

DEFAULT_MAX_HEADER_BYTES = 16 * 1024
DEFAULT_MAX_BODY_BYTES = 4 * 1024 * 1024
DEFAULT_HEADER_TIMEOUT_MS = 3_000.0
DEFAULT_IDLE_TIMEOUT_MS = 15_000.0

DEFAULT_PRIORITY = 5

ROUTE_TYPES = frozenset({"safe", "unsafe", "streaming"})
QUOTA_UNITS = frozenset({"requests", "tokens"})


def _require_positive(name: str, value: float) -> None:
    if value <= 0:
        raise ConfigurationError(name, f"must be above 0, not {value:g}")


def _require_non_negative(name: str, value: float) -> None:
    if value < 0:
        raise ConfigurationError(name, f"must not be negative, not {value:g}")


def _require_non_empty(name: str, value: str) -> None:
    if not value:
        raise ConfigurationError(name, "must not be empty")


def _require_one_of(name: str, value: str, allowed: frozenset[str]) -> None:
    if value not in allowed:
        raise ConfigurationError(name, f"must be one of {', '.join(sorted(allowed))}, not {value!r}")


def _require_enclosing_slashes(name: str, value: str) -> None:
    if not (value.startswith("/") and value.endswith("/")):
        raise ConfigurationError(name, f"must start and end with a slash, not {value!r}")


@attrs.frozen
class Backend:
    """One of the services among which a route's requests are distributed, by weight."""

    service: str
    weight: float

    def __attrs_post_init__(self) -> None:
        _require_non_empty("service", self.service)
        _require_non_negative("weight", self.weight)


@attrs.frozen
class Route:
    """The target and the policy of requests for a host and a path prefix. Times are in milliseconds."""

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
        _require_non_empty("name", self.name)
        _require_non_empty("host", self.host)
        _require_enclosing_slashes("path_prefix", self.path_prefix)
        _require_positive("timeout_ms", self.timeout_ms)
        _require_one_of("route_type", self.route_type, ROUTE_TYPES)
        _require_non_negative("target_latency_ms", self.target_latency_ms)
        _require_non_negative("priority", self.priority)
        _require_positive("max_attempts", self.max_attempts)
        _require_non_negative("gap_aim_ms", self.gap_aim_ms)
        if self.backends:
            if not any(backend.weight > 0 for backend in self.backends):
                raise ConfigurationError("backends", "the weights sum to 0")
        elif not self.service:
            raise ConfigurationError("service", "names neither a service nor backends with a weight")

    @property
    def service_names(self) -> tuple[str, ...]:
        """Every service that the route names, including those of weight 0."""
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
        _require_positive("slots", self.slots)
        _require_positive("kv_tokens", self.kv_tokens)
        _require_non_negative("kv_token_bytes", self.kv_token_bytes)
        _require_non_negative("link_mbps", self.link_mbps)
        _require_positive("stride", self.stride)


@attrs.frozen
class Service:
    """A group of equivalent upstreams.

    `max_connections` is the limit on connections to one upstream, shared by all data planes.
    """

    name: str
    health_path: str = "/health"
    max_connections: int | None = None
    protocol: str = "h1"
    tls: bool = False
    engine: Engine | None = None

    def __attrs_post_init__(self) -> None:
        _require_non_empty("name", self.name)
        _require_non_empty("health_path", self.health_path)
        if self.max_connections is not None:
            _require_positive("max_connections", self.max_connections)
        _require_non_empty("protocol", self.protocol)


@attrs.frozen
class Tenant:
    """A tenant's API keys and quota; a `rate_per_s` of 0 means no limit."""

    name: str
    api_keys: tuple[str, ...] = ()
    priority: int | None = None
    unit: str = "requests"
    prompt_tokens: float = 0.0
    rate_per_s: float = 0.0
    burst: float = 0.0

    def __attrs_post_init__(self) -> None:
        _require_non_empty("name", self.name)
        if self.priority is not None:
            _require_non_negative("priority", self.priority)
        _require_one_of("unit", self.unit, QUOTA_UNITS)
        _require_non_negative("prompt_tokens", self.prompt_tokens)
        _require_non_negative("rate_per_s", self.rate_per_s)
        _require_non_negative("burst", self.burst)
        for index, key in enumerate(self.api_keys):
            if not key:
                raise ConfigurationError(f"api_keys[{index}]", "must not be empty")


@attrs.frozen
class ClientLimits:
    """Size limits for a client's requests, and its time-outs for sending headers and for being idle."""

    max_header_bytes: int = DEFAULT_MAX_HEADER_BYTES
    max_body_bytes: int = DEFAULT_MAX_BODY_BYTES
    header_timeout_ms: float = DEFAULT_HEADER_TIMEOUT_MS
    idle_timeout_ms: float = DEFAULT_IDLE_TIMEOUT_MS

    def __attrs_post_init__(self) -> None:
        _require_positive("max_header_bytes", self.max_header_bytes)
        _require_positive("max_body_bytes", self.max_body_bytes)
        _require_positive("header_timeout_ms", self.header_timeout_ms)
        _require_positive("idle_timeout_ms", self.idle_timeout_ms)


@attrs.frozen
class Configuration:
    """A complete configuration; `consistency.check_consistency` validates it across sections."""

    version: int
    routes: tuple[Route, ...] = ()
    services: tuple[Service, ...] = ()
    limits: ClientLimits = ClientLimits()
    tenants: tuple[Tenant, ...] = ()
