"""Decides on a request before anything is sent: route, tenant, quota and deadline. No I/O."""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Mapping
from typing import Protocol

import msgspec

from madderwind.configuration.documents import ClientLimits, Route, Service, Tenant
from madderwind.configuration.lookup import RoutingTable, choose_backend
from madderwind.configuration.reading import Document
from madderwind.dataplane.client_waits import ClientWaits
from madderwind.dataplane.headers import DEADLINE, KEY, PROMPT_PREFIX, milliseconds, token_usage
from madderwind.errors import MessageError
from madderwind.placement.prompts import Generation, PromptPart, parse_prefix

STREAMING, SAFE = "streaming", "safe"
TOKENS = "tokens"
# An attempt needs this share of the latency objective: a retry that starts later would answer too late.
ATTEMPT_LATENCY_SHARE = 0.5
# A request that is refused within a quarter of the latency objective and served in time on its next try keeps
# half of its value. Retry-After is therefore drawn between these shares of the objective.
MIN_RETRY_AFTER_SHARE, MAX_RETRY_AFTER_SHARE = 0.1, 0.25
MIN_RETRY_AFTER_MS, DEFAULT_RETRY_AFTER_MS = 20.0, 200.0
# The shortest Retry-After for a tenant over its quota. In this time its rate allows a large request: clients
# that are refused twice do not retry a third time.
MIN_QUOTA_RETRY_AFTER_MS = 1000.0


class TenantQuota(Protocol):
    """The tenants' quotas across all data planes; implemented by `limits.quota`."""

    def admit(self, now_ms: float, tenant_name: str, amount: float, *, is_late: bool = False) -> bool:
        """Charge the amount to the tenant's quota if it fits; whether it did."""

    def retry_after_ms(self, now_ms: float, tenant_name: str) -> float:
        """The time until a request that is refused now would fit the quota."""

    def refund(self, now_ms: float, tenant_name: str, amount: float, *, is_late: bool = False) -> None:
        """Return the amount charged for a request that was never executed."""


class Admitted(msgspec.Struct, frozen=True):
    """A request that may be sent. Times are on the monotonic clock."""

    route: Route
    service: str
    tenant: str | None
    quota_amount: float  # the amount charged to the tenant's quota
    was_late: bool  # whether its client had waited longer than the latency objective on arrival
    priority: int
    until_ms: float  # the client's deadline or the route's timeout, whichever comes first
    worthwhile_until_ms: float  # an attempt started by then can still meet the route's latency objective
    generation: Generation | None  # None unless the service runs a model engine

    @property
    def is_idempotent(self) -> bool:
        """Whether the request may be executed more than once."""
        return self.route.route_type == SAFE or self.is_resumable

    @property
    def is_resumable(self) -> bool:
        """Whether its stream may continue from another upstream."""
        return self.route.route_type == STREAMING and self.route.resumable


class Rejected(msgspec.Struct, frozen=True):
    """A request that is not sent.

    `retry_after_ms` is set for statuses which promise that the request was never executed.
    """

    status: int
    reason: str
    retry_after_ms: float | None = None


class Admission:
    """Decides on requests by the configuration in force.

    `is_current` tells whether that configuration is known to be the newest one. While it is not, a client is
    asked to retry instead of receiving a 404 or 401 that only an outdated configuration calls for.
    """

    def __init__(self, quota: TenantQuota, is_current: Callable[[], bool], rng: random.Random) -> None:
        self._quota, self._is_current, self._rng = quota, is_current, rng
        self._table: RoutingTable | None = None
        self._limits = ClientLimits()
        self._services: tuple[Service, ...] = ()
        self._max_connections: dict[str, int | None] = {}
        self._client_waits = ClientWaits()

    def configure(self, document: Document) -> None:
        """Apply a new configuration."""
        self._table = document.routing
        self._limits = document.limits
        if document.services is not self._services:
            self._services = document.services
            self._max_connections = {service.name: service.max_connections for service in self._services}

    @property
    def limits(self) -> ClientLimits:
        """The limits on what clients may send."""
        return self._limits

    @property
    def knows_newest(self) -> bool:
        """Whether the configuration in force is known to be the newest, so that its rejections are final."""
        return self._table is not None and self._is_current()

    def provisional_rejection(self) -> Rejected:
        """Replaces a final rejection while a newer configuration may allow the request."""
        return self.retryable_rejection("no newest configuration is known here")

    def until_ms(self, arrived_ms: float, target: str, headers: Mapping[str, str]) -> float:
        """The end of the request's time limit; infinite if no route matches."""
        route = None if self._table is None else self._table.match(headers.get("Host", ""), target)
        return math.inf if route is None else _until_ms(arrived_ms, route, headers)

    def max_connections(self, service: str) -> int | None:
        """The limit on connections from all callers to one of the service's upstreams; None if unlimited."""
        return self._max_connections.get(service)

    def admit(
        self, now_ms: float, arrived_ms: float, target: str, headers: Mapping[str, str]
    ) -> Admitted | Rejected:
        """Whether the request may be sent, and to which service."""
        table = self._table
        if table is None:
            return self.retryable_rejection("no configuration yet")
        route = table.match(headers.get("Host", ""), target)
        if route is None:
            return (
                Rejected(404, "no such route")
                if self._is_current()
                else self.retryable_rejection("no such route yet")
            )
        key = headers.get(KEY)
        tenant = table.tenant_of(key) if key else None
        if tenant is None and table.has_tenants and not route.public:
            return (
                Rejected(401, "no such key")
                if self._is_current()
                else self.retryable_rejection("no such key yet")
            )
        usage = token_usage(headers)
        amount = 0.0 if tenant is None else _quota_amount(tenant, usage)
        is_late = self._is_late(route, headers)
        if tenant is not None and amount and not self._charge_quota(now_ms, tenant, amount, is_late):
            return Rejected(429, "beyond the quota", self._quota_retry_after_ms(now_ms, tenant))
        return self._admitted(table, arrived_ms, route, tenant, amount, usage, headers, is_late)

    def refund_quota(self, now_ms: float, admitted: Admitted) -> None:
        """Return the quota charged for a request that ended without being executed."""
        if admitted.tenant is not None and admitted.quota_amount:
            self._quota.refund(now_ms, admitted.tenant, admitted.quota_amount, is_late=admitted.was_late)

    def route_retry_after_ms(self, route: Route) -> float:
        """The Retry-After for a client of this route whose request was never executed."""
        if not route.target_latency_ms:
            return DEFAULT_RETRY_AFTER_MS
        share = self._rng.uniform(MIN_RETRY_AFTER_SHARE, MAX_RETRY_AFTER_SHARE)
        return max(MIN_RETRY_AFTER_MS, share * route.target_latency_ms)

    def _charge_quota(self, now_ms: float, tenant: Tenant, amount: float, is_late: bool) -> bool:
        return self._quota.admit(now_ms, tenant.name, amount, is_late=is_late)

    def _is_late(self, route: Route, headers: Mapping[str, str]) -> bool:
        """Whether the client has already waited longer than the latency objective, judged by its deadline."""
        deadline_ms = milliseconds(headers, DEADLINE)
        if not deadline_ms or not route.target_latency_ms:
            return False
        return self._client_waits.waited_ms(route.name, deadline_ms) > route.target_latency_ms

    def _quota_retry_after_ms(self, now_ms: float, tenant: Tenant) -> float:
        expected_ms = self._quota.retry_after_ms(now_ms, tenant.name)
        return max(MIN_QUOTA_RETRY_AFTER_MS, expected_ms) * self._rng.uniform(0.5, 1.0)

    def retryable_rejection(self, reason: str) -> Rejected:
        """Rejects a request that was not executed and that the client may send again after a while."""
        return Rejected(503, reason, DEFAULT_RETRY_AFTER_MS * self._rng.uniform(0.5, 1.5))

    def _admitted(
        self,
        table: RoutingTable,
        arrived_ms: float,
        route: Route,
        tenant: Tenant | None,
        amount: float,
        usage: tuple[int, int] | None,
        headers: Mapping[str, str],
        is_late: bool,
    ) -> Admitted:
        service = choose_backend(route, self._rng.random())
        priority = route.priority if tenant is None or tenant.priority is None else tenant.priority
        until_ms = _until_ms(arrived_ms, route, headers)
        worthwhile_ms = route.target_latency_ms * (1 - ATTEMPT_LATENCY_SHARE) or until_ms - arrived_ms
        generation = None
        if table.service(service).engine is not None:
            parts = _prompt_parts(headers)
            prompt, output = usage or (sum(part.tokens for part in parts), 0)
            generation = Generation(
                service, parts, prompt, output, priority, route.target_latency_ms, until_ms
            )
        return Admitted(
            route=route,
            service=service,
            tenant=None if tenant is None else tenant.name,
            quota_amount=amount,
            was_late=is_late,
            priority=priority,
            until_ms=until_ms,
            worthwhile_until_ms=min(until_ms, arrived_ms + worthwhile_ms),
            generation=generation,
        )


def _until_ms(arrived_ms: float, route: Route, headers: Mapping[str, str]) -> float:
    """The client's deadline, if it sent one, or the route's timeout, whichever comes first."""
    return arrived_ms + min(milliseconds(headers, DEADLINE) or route.timeout_ms, route.timeout_ms)


def _quota_amount(tenant: Tenant, usage: tuple[int, int] | None) -> float:
    """The amount charged to the tenant's quota; 0 if the tenant has none."""
    if tenant.rate_per_s <= 0:
        return 0.0
    if tenant.unit != TOKENS:
        return 1.0
    return tenant.prompt_tokens if usage is None else float(sum(usage))


def _prompt_parts(headers: Mapping[str, str]) -> tuple[PromptPart, ...]:
    """The parts of the prompt; none if the header is malformed, which only makes the placement worse."""
    try:
        return parse_prefix(headers.get(PROMPT_PREFIX, ""))
    except MessageError:
        return ()
