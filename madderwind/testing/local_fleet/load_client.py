"""Sends one client's requests with the retries, waits and resumptions that the protocol defines."""

from __future__ import annotations

import asyncio
import secrets
import time
from collections.abc import Callable

import aiohttp

from madderwind.configuration.documents import Route
from madderwind.testing.local_fleet.event_check import EventCheck
from madderwind.testing.local_fleet.ingress import Ingress
from madderwind.testing.local_fleet.outcomes import AttemptOutcome, Outcome, OutcomeCategory
from madderwind.testing.local_fleet.traffic import PlannedRequest
from madderwind.testing.local_fleet.traffic_file import RequestKind

MS_PER_S = 1000.0
CONNECT_TIMEOUT_S = 1.0
# Statuses that guarantee that the request has not run and never will.
NOT_EXECUTED_STATUSES = frozenset((408, 421, 429, 503))
# Statuses after which the client does not retry.
NON_RETRYABLE_STATUSES = frozenset((400, 401, 404, 413, 431))
# A client honours Retry-After up to this fraction of its remaining time.
MAX_RETRY_WAIT_FRACTION = 1.0 / 3.0
# A client abandons a stream that has no event for the longest of these times: the minimum, or a multiple of
# the objective for the first event or for the gap between events.
MIN_IDLE_TIMEOUT_MS, IDLE_TIMEOUT_FIRST_EVENT_FACTOR, IDLE_TIMEOUT_GAP_FACTOR = 2000.0, 4.0, 8.0
MODEL = "m"


class ClientConnections:
    """The HTTP sessions of one client: one keeps connections, the other opens one for each request."""

    def __init__(self) -> None:
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S)
        self.persistent, self.single_use = (
            aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=0, force_close=is_single_use),
                timeout=timeout,
                cookie_jar=aiohttp.DummyCookieJar(),
                auto_decompress=False,
                skip_auto_headers=("Accept-Encoding", "User-Agent", "Accept"),
            )
            for is_single_use in (False, True)
        )
        # Prevents aiohttp from resending a request when a persistent connection breaks.
        self.persistent._retry_connection = False

    async def close(self) -> None:
        """Close all connections."""
        await self.persistent.close()
        await self.single_use.close()


class LoadClient:
    """One client in one zone."""

    def __init__(self, name: str, zone: str, ingress: Ingress, api_key_of: Callable[[str], str]) -> None:
        """`api_key_of` returns the API key of a tenant. Requires a running event loop."""
        self._name, self._zone, self._ingress, self._api_key_of = name, zone, ingress, api_key_of
        self._connections = ClientConnections()

    async def close(self) -> None:
        """Close the client's connections."""
        await self._connections.close()

    async def make(
        self, planned: PlannedRequest, kind: RequestKind, route: Route | None, at_ms: float
    ) -> Outcome:
        """Send one request, scheduled for `at_ms` on the monotonic clock, and return its outcome."""
        request = _Request(planned, kind, route, at_ms)
        deadline_s = (at_ms + kind.deadline_ms) / MS_PER_S
        try:
            async with asyncio.timeout(max(0.0, deadline_s - time.monotonic())):
                await self._attempt_until_done(request)
        except TimeoutError:
            request.abandon("deadline")
        return request.finish()

    async def _attempt_until_done(self, request: _Request) -> None:
        tried: list[str] = []
        while True:
            front = self._ingress.choose(self._name, self._zone, tried)
            tried.append(front.name)
            attempt = request.begin_attempt(front.name)
            is_single_use = request.planned.opens_connection or len(tried) > 1
            session = self._connections.single_use if is_single_use else self._connections.persistent
            retry_after_s = await self._attempt(session, front.address, request, attempt)
            attempt.ended_ms = now_ms()
            if len(tried) > request.kind.retries or not request.may_retry(attempt):
                return
            await asyncio.sleep(min(retry_after_s, request.remaining_s() * MAX_RETRY_WAIT_FRACTION))

    async def _attempt(
        self, session: aiohttp.ClientSession, address: str, request: _Request, attempt: AttemptOutcome
    ) -> float:
        """Make one attempt and return the Retry-After time in seconds, 0 without one."""
        url = f"http://{address}{request.kind.path}{request.planned.number:x}"
        headers = request.headers(attempt, self._api_key_of(request.planned.tenant))
        body = b"x" * request.kind.body_bytes
        try:
            async with session.request(request.kind.method, url, headers=headers, data=body) as answer:
                attempt.status = answer.status
                attempt.signature = answer.headers.get("X-Upstream-Signature", "")
                if answer.status == 200 and request.events is not None:
                    await self._read_events(answer, request, attempt)
                else:
                    await answer.read()
                    attempt.how = "whole"
                    request.record_answer(attempt)
                return _seconds(answer.headers.get("Retry-After", ""))
        except aiohttp.ServerTimeoutError:
            attempt.how = "no connection"
        except TimeoutError:
            attempt.how = "silence"
        except (aiohttp.ClientError, OSError) as error:
            attempt.how = f"broken off: {type(error).__name__}"
        return 0.0

    async def _read_events(
        self, answer: aiohttp.ClientResponse, request: _Request, attempt: AttemptOutcome
    ) -> None:
        idle_timeout_s = request.idle_timeout_ms / MS_PER_S
        event_check = request.events
        assert event_check is not None
        while True:
            async with asyncio.timeout(idle_timeout_s):
                data = await answer.content.readany()
            if not data:
                break
            if completed_events := event_check.feed(data):
                attempt.events += completed_events
                request.record_event_arrival()
        event_check.check_end()
        attempt.how = "whole"


class _Request:
    """The state of one request in progress."""

    def __init__(self, planned: PlannedRequest, kind: RequestKind, route: Route | None, at_ms: float) -> None:
        self.planned, self.kind, self._at_ms = planned, kind, at_ms
        self._is_safe = route is not None and route.route_type == "safe"
        self._is_resumable = route is not None and route.resumable
        self.events = EventCheck(planned.parts[-1].id) if planned.parts else None
        self._last_event_ms = 0.0
        self.outcome = Outcome(
            planned.number, kind.name, planned.tenant, at_ms, planned.shared_tokens, gaps_ms=[], tries=[]
        )

    @property
    def idle_timeout_ms(self) -> float:
        """Time without an event after which the stream is abandoned."""
        kind = self.kind
        return max(
            MIN_IDLE_TIMEOUT_MS,
            IDLE_TIMEOUT_FIRST_EVENT_FACTOR * kind.aim_ms,
            IDLE_TIMEOUT_GAP_FACTOR * kind.gap_aim_ms,
        )

    def remaining_s(self) -> float:
        """Time remaining until the client's deadline."""
        return max(0.0, (self._at_ms + self.kind.deadline_ms - now_ms()) / MS_PER_S)

    def begin_attempt(self, front: str) -> AttemptOutcome:
        """Begin a new attempt with its own request id."""
        attempt = AttemptOutcome(secrets.token_hex(8), front, now_ms())
        if self.events is not None:
            self.events.resume()
            attempt.resumed_after = self.events.last
        self.outcome.tries.append(attempt)
        return attempt

    def headers(self, attempt: AttemptOutcome, key: str) -> dict[str, str]:
        """The request headers of an attempt."""
        headers = {
            "Host": self.kind.host,
            "X-Request-Id": attempt.request_id,
            "X-Deadline-Ms": str(max(1, round(self.remaining_s() * MS_PER_S))),
        }
        if key:
            headers["X-Key"] = key
        planned = self.planned
        if planned.parts:
            headers["X-Model"] = MODEL
            headers["X-Token-Usage"] = f"{planned.prompt_tokens},{planned.output_tokens}"
            headers["X-Prompt-Prefix"] = ",".join(f"{part.id}:{part.tokens}" for part in planned.parts)
        if attempt.resumed_after:
            headers["Last-Event-Id"] = str(attempt.resumed_after)
        return headers

    def record_event_arrival(self) -> None:
        """Record the arrival time of one or more events."""
        at_ms = now_ms()
        if self.outcome.first_ms is None:
            self.outcome.first_ms = at_ms - self._at_ms
        else:
            self.outcome.gaps_ms.append(round(at_ms - self._last_event_ms, 3))
        self._last_event_ms = at_ms

    def record_answer(self, attempt: AttemptOutcome) -> None:
        """Record the complete response of a request that is not a stream."""
        if attempt.status == 200:
            self.outcome.first_ms = now_ms() - self._at_ms

    def may_retry(self, attempt: AttemptOutcome) -> bool:
        """Whether a retry is safe and may succeed."""
        if (attempt.how == "whole" and attempt.status == 200) or attempt.status in NON_RETRYABLE_STATUSES:
            return False
        if attempt.status in NOT_EXECUTED_STATUSES and attempt.how == "whole":
            return True
        if attempt.how == "silence":
            return False
        if self.events is not None and self.events.last:
            return self._is_resumable
        return self._is_safe or self._is_resumable

    def abandon(self, how: str) -> None:
        """End an attempt in progress because the client's deadline has passed."""
        if self.outcome.tries and not self.outcome.tries[-1].how:
            self.outcome.tries[-1].how = how
            self.outcome.tries[-1].ended_ms = now_ms()

    def finish(self) -> Outcome:
        """Complete and return the outcome."""
        outcome = self.outcome
        outcome.ended_ms = now_ms() - self._at_ms
        outcome.fate = self._categorize()
        outcome.fault = "" if self.events is None else self.events.fault
        return outcome

    def _categorize(self) -> OutcomeCategory:
        outcome = self.outcome
        last = outcome.tries[-1] if outcome.tries else None
        if last is None or last.how != "whole":
            return OutcomeCategory.FAILED
        if last.status in NOT_EXECUTED_STATUSES:
            return OutcomeCategory.REFUSED
        if last.status != 200 or (self.events is not None and not self.events.is_complete):
            return OutcomeCategory.FAILED
        assert outcome.first_ms is not None
        longest_gap_ms = max(outcome.gaps_ms, default=0.0)
        in_time = outcome.first_ms <= self.kind.aim_ms and longest_gap_ms <= self.kind.gap_aim_ms
        return OutcomeCategory.IN_TIME if in_time else OutcomeCategory.LATE


def now_ms() -> float:
    """The monotonic clock in milliseconds."""
    return time.monotonic() * MS_PER_S


def _seconds(text: str) -> float:
    try:
        return max(0.0, float(text))
    except ValueError:
        return 0.0
