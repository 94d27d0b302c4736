"""Forwards one admitted request: makes attempts until one succeeds or no further one is allowed."""

from __future__ import annotations

import asyncio

from aiohttp import web

from madderwind.dataplane.admission import Admitted
from madderwind.dataplane.answer_relay import AnswerRelay
from madderwind.dataplane.attempt_exchange import AttemptExchange
from madderwind.dataplane.attempts import Attempt, AttemptResult, Progress, may_promise
from madderwind.dataplane.client_answers import ClientAnswer, ClientDisconnected
from madderwind.dataplane.client_requests import ClientRequest
from madderwind.dataplane.own_answers import own_answer, refusal
from madderwind.dataplane.request_parts import MS_PER_S, RequestParts
from madderwind.dataplane.retrying import MIN_REMAINING_MS
from madderwind.dataplane.upstream_heads import REQUEST_ID
from madderwind.transport.unread import has_left

SERVICE_UNAVAILABLE, GATEWAY_TIMEOUT, BAD_GATEWAY = 503, 504, 502


class RequestForwarding:
    """One admitted request, until its final response."""

    def __init__(
        self, parts: RequestParts, key: str, client_request: ClientRequest, admitted: Admitted
    ) -> None:
        """Start without an attempt.

        Args:
            parts: Components shared by all requests.
            key: Identifies the request within this process.
            client_request: The request as the client sent it.
            admitted: Its route, service, deadline and tenant.
        """
        self._parts, self._key, self._client_request, self._admitted = parts, key, client_request, admitted
        self._loop = asyncio.get_running_loop()
        self._request_id = client_request.request.headers.get(REQUEST_ID)
        self._progress = Progress(admitted.is_idempotent, admitted.is_resumable, admitted.route.max_attempts)
        self.answer = ClientAnswer(client_request.request)
        self._relay = AnswerRelay(parts, self._progress, self.answer)

    async def run(self) -> web.StreamResponse:
        """Make attempts until an upstream has responded, or give up.

        Raises:
            ClientDisconnected: The client closed its connection before the end.
        """
        while (instance := self._next_upstream()) is not None:
            if self._progress.arrivals:
                self._record_retry()
            attempt = Attempt(instance)
            self._progress.attempts.append(attempt)
            await self._run_attempt(attempt)
            if attempt.result is AttemptResult.COMPLETE:
                return self._complete()
            if not await self._wait_for_retry():
                break
        return self._give_up()

    def _next_upstream(self) -> str | None:
        """The upstream for the next attempt; None if none is available or too little time remains."""
        now_ms = self._now_ms()
        if self._client_disconnected():
            raise ClientDisconnected("the client closed its connection")
        if self._until_ms(self._admitted.until_ms) - now_ms < MIN_REMAINING_MS:
            return None
        return self._parts.chooser.choose(
            now_ms, self._admitted.service, self._admitted.generation, self._progress.tried
        )

    async def _run_attempt(self, attempt: Attempt) -> None:
        """Make one attempt and record its result with the chooser."""
        chooser, generation = self._parts.chooser, self._admitted.generation
        key = f"{self._key}.{len(self._progress.attempts)}"
        exchange = AttemptExchange(
            self._parts, self._client_request, self._admitted, self._progress, self._relay, attempt, key
        )
        chooser.began(self._now_ms(), key, generation, attempt.instance)
        result = AttemptResult.BROKEN
        try:
            result = await exchange.run()
        finally:
            attempt.result = result
            is_complete = result is AttemptResult.COMPLETE
            self._log_attempt(key, attempt)
            chooser.ended(self._now_ms(), key, generation, attempt.instance, is_complete)

    def _log_attempt(self, key: str, attempt: Attempt) -> None:
        attempt_log = self._parts.attempt_log
        record = self._parts.chooser.placement.attempt_record(key) if attempt_log.is_on else None
        if record is not None:
            attempt_log.write(self._request_id, self._admitted.route.name, attempt, record)

    async def _wait_for_retry(self) -> bool:
        """Wait for the backoff before the next attempt; False if there is to be no further attempt."""
        now_ms = self._now_ms()
        admitted = self._admitted
        is_resumption = self._progress.answer_begun
        until_ms = self._until_ms(admitted.until_ms if is_resumption else admitted.worthwhile_until_ms)
        retries = self._parts.retries
        wait_ms = retries.wait_ms(now_ms, self._progress, admitted.service, until_ms - now_ms)
        if wait_ms is None:
            return False
        if not wait_ms:
            return True
        return await self._parts.shutdown.sleep_until((now_ms + wait_ms) / MS_PER_S)

    def _until_ms(self, limit_ms: float) -> float:
        """This limit, or the end of the process's work on requests if that comes first."""
        return min(limit_ms, self._parts.shutdown.at_ms)

    def _complete(self) -> web.StreamResponse:
        """The final response after an upstream's complete response was relayed."""
        self._parts.retries.succeeded(self._progress)
        self._parts.counters["complete"] += 1
        assert self._relay.final is not None
        return self._relay.final

    def _give_up(self) -> web.StreamResponse:
        """The final response if no upstream gave one."""
        attempts = self._progress.attempts
        last = attempts[-1].result if attempts else None
        if not any(attempt.may_have_run for attempt in attempts):
            self._parts.admission.refund_quota(self._now_ms(), self._admitted)
        if self._progress.answer_begun:
            self._record("stream_broken_off", last)
            return self.answer.abort()
        if may_promise(self._progress):
            self._record("refused", last)
            retry_after_ms = self._parts.admission.route_retry_after_ms(self._admitted.route)
            return refusal(SERVICE_UNAVAILABLE, "no upstream took it", retry_after_ms)
        self._record("failed", last)
        if last is AttemptResult.TIMED_OUT:
            return own_answer(GATEWAY_TIMEOUT, "timed out")
        return own_answer(BAD_GATEWAY, "failed")

    def _record_retry(self) -> None:
        """Record that a request which has reached an upstream is about to be sent to another one."""
        last = self._progress.attempts[-1]
        if self._progress.answer_begun:
            after = self._relay.resume_after()
            self._record("stream_resumed", last.result, after=after, discarded_bytes=last.discarded_bytes)
        else:
            self._record("retried", last.result, discarded_bytes=last.discarded_bytes)

    def _record(self, event: str, last: AttemptResult | None, **fields: object) -> None:
        """Count and log an event of this request; `last` is the result of its last attempt."""
        self._parts.counters[event] += 1
        self._parts.log(
            event,
            request=self._request_id,
            route=self._admitted.route.name,
            last=None if last is None else last.value,
            attempts=[attempt.instance for attempt in self._progress.attempts],
            **fields,
        )

    def _client_disconnected(self) -> bool:
        """Asks the kernel: pipelined requests may delay reading the end of the client's connection."""
        return has_left(self._client_request.request.transport)

    def _now_ms(self) -> float:
        return self._loop.time() * MS_PER_S
