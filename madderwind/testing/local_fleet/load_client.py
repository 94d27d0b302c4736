"""One client's requests: tries, waits and resumptions as the protocol's clients make them."""

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
# Statuses which promise that the request has not run and never will.
NOT_EXECUTED_STATUSES = frozenset((408, 421, 429, 503))
# After these, no try follows.
NON_RETRYABLE_STATUSES = frozenset((400, 401, 404, 413, 431))
# A client honours Retry-After up to this part of its time left.
MAX_RETRY_WAIT_FRACTION = 1.0 / 3.0
# Without an event for the longest of these, a client gives a stream up.
MIN_IDLE_TIMEOUT_MS, IDLE_TIMEOUT_FIRST_EVENT_FACTOR, IDLE_TIMEOUT_GAP_FACTOR = 2000.0, 4.0, 8.0
MODEL = "m"


class ClientConnections:
    """Connections of one client: some are kept, some requests open a new one."""

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
        # Guards against a second sending of a request whose kept connection breaks.
        self.persistent._retry_connection = False

    async def close(self) -> None:
        """Close all connections."""
        await self.persistent.close()
        await self.single_use.close()


class LoadClient:
    """One client in one zone."""

    def __init__(self, name: str, zone: str, ingress: Ingress, key_of: Callable[[str], str]) -> None:
        """`key_of`: the key of a tenant. Needs a running loop."""
        self._name, self._zone, self._ingress, self._key_of = name, zone, ingress, key_of
        self._connections = ClientConnections()

    async def close(self) -> None:
        """Close its connections."""
        await self._connections.close()

    async def make(
        self, planned: PlannedRequest, kind: RequestKind, route: Route | None, at_ms: float
    ) -> Outcome:
        """Make one request, meant for `at_ms` on the steady clock; what became of it."""
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
        """One try; for how long the answer asks the client to wait."""
        url = f"http://{address}{request.kind.path}{request.planned.number:x}"
        headers = request.headers(attempt, self._key_of(request.planned.tenant))
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
        check = request.events
        assert check is not None
        while True:
            async with asyncio.timeout(idle_timeout_s):
                data = await answer.content.readany()
            if not data:
                break
            if whole := check.feed(data):
                attempt.events += whole
                request.record_event_arrival()
        check.finish()
        attempt.how = "whole"


class _Request:
    """One request while it is made."""

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
        """Without an event for so long, the stream is given up."""
        kind = self.kind
        return max(
            MIN_IDLE_TIMEOUT_MS,
            IDLE_TIMEOUT_FIRST_EVENT_FACTOR * kind.aim_ms,
            IDLE_TIMEOUT_GAP_FACTOR * kind.gap_aim_ms,
        )

    def remaining_s(self) -> float:
        """Until the client's deadline."""
        return max(0.0, (self._at_ms + self.kind.deadline_ms - now_ms()) / MS_PER_S)

    def begin_attempt(self, front: str) -> AttemptOutcome:
        """A new try, with an id of its own."""
        attempt = AttemptOutcome(secrets.token_hex(8), front, now_ms())
        if self.events is not None:
            self.events.resume()
            attempt.resumed_after = self.events.last
        self.outcome.tries.append(attempt)
        return attempt

    def headers(self, attempt: AttemptOutcome, key: str) -> dict[str, str]:
        """What a client sends with a try."""
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
        """One event or more came just now."""
        at_ms = now_ms()
        if self.outcome.first_ms is None:
            self.outcome.first_ms = at_ms - self._at_ms
        else:
            self.outcome.gaps_ms.append(round(at_ms - self._last_event_ms, 3))
        self._last_event_ms = at_ms

    def record_answer(self, attempt: AttemptOutcome) -> None:
        """The whole answer of a request that is no stream came."""
        if attempt.status == 200:
            self.outcome.first_ms = now_ms() - self._at_ms

    def may_retry(self, attempt: AttemptOutcome) -> bool:
        """Whether another try does no harm and may help."""
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
        """The client's time is over."""
        if self.outcome.tries and not self.outcome.tries[-1].how:
            self.outcome.tries[-1].how = how
            self.outcome.tries[-1].ended_ms = now_ms()

    def finish(self) -> Outcome:
        """What became of it."""
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
        if last.status != 200 or (self.events is not None and not self.events.is_whole):
            return OutcomeCategory.FAILED
        assert outcome.first_ms is not None
        longest_gap_ms = max(outcome.gaps_ms, default=0.0)
        in_time = outcome.first_ms <= self.kind.aim_ms and longest_gap_ms <= self.kind.gap_aim_ms
        return OutcomeCategory.IN_TIME if in_time else OutcomeCategory.LATE


def now_ms() -> float:
    """The machine's steady clock."""
    return time.monotonic() * MS_PER_S


def _seconds(text: str) -> float:
    try:
        return max(0.0, float(text))
    except ValueError:
        return 0.0
