"""What is decided on a request before anything is sent: route, tenant, quota, deadline. No I/O."""

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
# An attempt needs this part of the objective: a retry that waits into it would only be late.
NEEDED_PART = 0.5
# A refusal within a quarter of the objective, served in time when it comes back, keeps half of its worth: the
# client is asked to come back after this part of the objective.
MIN_RETRY_AFTER, MAX_RETRY_AFTER = 0.1, 0.25
MIN_RETRY_AFTER_MS, DEFAULT_RETRY_AFTER_MS = 20.0, 200.0
# A tenant beyond its quota is told to come back no sooner than after this time, in which its rate yields a
# large request: a client that is refused twice does not come a third time.
MIN_QUOTA_RETRY_AFTER_MS = 1000.0


class TenantQuota(Protocol):
    """The tenants' quotas over all data planes, as limits.quota implements them."""

    def admit(self, now_ms: float, tenant_name: str, amount: float, *, is_late: bool = False) -> bool:
        """Whether so much more is within the tenant's quota; it is drawn then."""

    def retry_after_ms(self, now_ms: float, tenant_name: str) -> float:
        """When a request that is refused now would find room."""

    def refund(self, now_ms: float, tenant_name: str, amount: float, *, is_late: bool = False) -> None:
        """What was drawn for a request that never ran."""


class Admitted(msgspec.Struct, frozen=True):
    """A request that may be sent. Times are on the steady clock."""

    route: Route
    service: str
    tenant: str | None
    quota_amount: float  # what was drawn for it
    was_late: bool  # its client had waited beyond the objective when it came
    priority: int
    until_ms: float  # the client's deadline or the route's timeout, whichever comes first
    worthwhile_until_ms: float  # an attempt begun by then can still answer within the route's objective
    generation: Generation | None  # for a service that is a model's

    @property
    def is_idempotent(self) -> bool:
        """Whether it may run more than once."""
        return self.route.route_type == SAFE or self.is_resumable

    @property
    def is_resumable(self) -> bool:
        """Whether its stream may go on at another upstream."""
        return self.route.route_type == STREAMING and self.route.resumable


class Rejected(msgspec.Struct, frozen=True):
    """A request that is not sent. `retry_after_ms`: for statuses that promise that it never ran."""

    status: int
    reason: str
    retry_after_ms: float | None = None


class Admission:
    """Decides by the configuration in force. `is_current`: whether that is known to be the newest one.

    Guards against a 404 or 401 that only an older configuration calls for: while it isn't known that the one
    in force is the newest, the client is asked to come back.
    """

    def __init__(self, quota: TenantQuota, is_current: Callable[[], bool], rng: random.Random) -> None:
        self._quota, self._is_current, self._rng = quota, is_current, rng
        self._table: RoutingTable | None = None
        self._limits = ClientLimits()
        self._services: tuple[Service, ...] = ()
        self._max_connections: dict[str, int | None] = {}
        self._client_waits = ClientWaits()

    def configure(self, document: Document) -> None:
        """Decide by this configuration from now on."""
        self._table = document.routing
        self._limits = document.limits
        if document.services is not self._services:
            self._services = document.services
            self._max_connections = {service.name: service.max_connections for service in self._services}

    @property
    def limits(self) -> ClientLimits:
        """What clients may send."""
        return self._limits

    @property
    def knows_newest(self) -> bool:
        """Whether the configuration in force is known to be the newest, so that it refuses for good."""
        return self._table is not None and self._is_current()

    def refusal_while_unsure(self) -> Rejected:
        """In place of a refusal for good while a newer configuration may allow the request."""
        return self._come_back("no newest configuration is known here")

    def until_ms(self, arrived_ms: float, target: str, headers: Mapping[str, str]) -> float:
        """When the time of a request is over; infinite where no route tells."""
        route = None if self._table is None else self._table.match(headers.get("Host", ""), target)
        return math.inf if route is None else _until_ms(arrived_ms, route, headers)

    def max_connections(self, service: str) -> int | None:
        """How many connections one of the service's upstreams takes from all callers."""
        return self._max_connections.get(service)

    def admit(
        self, now_ms: float, arrived_ms: float, target: str, headers: Mapping[str, str]
    ) -> Admitted | Rejected:
        """Whether the request may be sent, and where to."""
        table = self._table
        if table is None:
            return self._come_back("no configuration yet")
        route = table.match(headers.get("Host", ""), target)
        if route is None:
            return (
                Rejected(404, "no such route") if self._is_current() else self._come_back("no such route yet")
            )
        key = headers.get(KEY)
        tenant = table.tenant_of(key) if key else None
        if tenant is None and table.has_tenants and not route.public:
            return Rejected(401, "no such key") if self._is_current() else self._come_back("no such key yet")
        usage = token_usage(headers)
        amount = 0.0 if tenant is None else _quota_amount(tenant, usage)
        is_late = self._is_late(route, headers)
        if tenant is not None and amount and not self._draw(now_ms, tenant, amount, is_late):
            return Rejected(429, "beyond the quota", self._quota_retry_after_ms(now_ms, tenant))
        return self._admitted(table, arrived_ms, route, tenant, amount, usage, headers, is_late)

    def never_ran(self, now_ms: float, admitted: Admitted) -> None:
        """The request ends without having run: it does not count for its tenant's quota."""
        if admitted.tenant is not None and admitted.quota_amount:
            self._quota.refund(now_ms, admitted.tenant, admitted.quota_amount, is_late=admitted.was_late)

    def retry_after_for_ms(self, route: Route) -> float:
        """When a client whose request never ran should come back."""
        if not route.target_latency_ms:
            return DEFAULT_RETRY_AFTER_MS
        part = self._rng.uniform(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
        return max(MIN_RETRY_AFTER_MS, part * route.target_latency_ms)

    def _draw(self, now_ms: float, tenant: Tenant, amount: float, is_late: bool) -> bool:
        return self._quota.admit(now_ms, tenant.name, amount, is_late=is_late)

    def _is_late(self, route: Route, headers: Mapping[str, str]) -> bool:
        """Whether the client has waited beyond the objective already, as far as its deadline tells."""
        deadline_ms = milliseconds(headers, DEADLINE)
        if not deadline_ms or not route.target_latency_ms:
            return False
        return self._client_waits.waited_ms(route.name, deadline_ms) > route.target_latency_ms

    def _quota_retry_after_ms(self, now_ms: float, tenant: Tenant) -> float:
        expected_ms = self._quota.retry_after_ms(now_ms, tenant.name)
        return max(MIN_QUOTA_RETRY_AFTER_MS, expected_ms) * self._rng.uniform(0.5, 1.0)

    def _come_back(self, reason: str) -> Rejected:
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
        worthwhile_ms = route.target_latency_ms * (1 - NEEDED_PART) or until_ms - arrived_ms
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
    """The client's deadline or the route's timeout, whichever comes first; a client may tell no deadline."""
    return arrived_ms + min(milliseconds(headers, DEADLINE) or route.timeout_ms, route.timeout_ms)


def _quota_amount(tenant: Tenant, usage: tuple[int, int] | None) -> float:
    """What a request counts for its tenant's quota; 0 where there is none."""
    if tenant.rate_per_s <= 0:
        return 0.0
    if tenant.unit != TOKENS:
        return 1.0
    return tenant.prompt_tokens if usage is None else float(sum(usage))


def _prompt_parts(headers: Mapping[str, str]) -> tuple[PromptPart, ...]:
    """The parts of the prompt; none where the header can't be read, which only costs a good placement."""
    try:
        return parse_prefix(headers.get(PROMPT_PREFIX, ""))
    except MessageError:
        return ()
