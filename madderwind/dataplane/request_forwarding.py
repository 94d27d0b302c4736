"""The life of one admitted request: attempts until one answers, or none may be made any more."""

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
from madderwind.dataplane.retrying import LEAST_LEFT_MS
from madderwind.dataplane.upstream_heads import REQUEST_ID
from madderwind.transport.unread import has_left

SERVICE_UNAVAILABLE, GATEWAY_TIMEOUT, BAD_GATEWAY = 503, 504, 502


class RequestForwarding:
    """One admitted request, until it has its final answer."""

    def __init__(self, parts: RequestParts, key: str, read: ClientRequest, admitted: Admitted) -> None:
        """Begin without an attempt.

        Args:
            parts: What all requests share.
            key: Names the request within this process.
            read: The request as the client sent it.
            admitted: Its route, service, deadline and tenant.
        """
        self._parts, self._key, self._read, self._admitted = parts, key, read, admitted
        self._loop = asyncio.get_running_loop()
        self._request_id = read.request.headers.get(REQUEST_ID)
        self._progress = Progress(admitted.is_idempotent, admitted.is_resumable, admitted.route.max_attempts)
        self.answer = ClientAnswer(read.request)
        self._relay = AnswerRelay(parts, self._progress, self.answer, read.request.headers)

    async def run(self) -> web.StreamResponse:
        """Attempt until an upstream has answered, or give up.

        Raises:
            ClientDisconnected: The client left before the end.
        """
        while (instance := self._next_upstream()) is not None:
            attempt = Attempt(instance)
            self._progress.attempts.append(attempt)
            await self._make(attempt)
            if attempt.result is AttemptResult.COMPLETE:
                return self._complete()
            if not await self._waits_for_retry():
                break
        return self._give_up()

    def _next_upstream(self) -> str | None:
        """The upstream for the next attempt; None where there is none, or no time is left."""
        now_ms = self._now_ms()
        if self._client_has_left():
            raise ClientDisconnected("it closed its connection")
        if self._admitted.until_ms - now_ms < LEAST_LEFT_MS:
            return None
        return self._parts.chooser.choose(
            now_ms, self._admitted.service, self._admitted.generation, self._progress.tried
        )

    async def _make(self, attempt: Attempt) -> None:
        """Make one attempt, and record with the chooser how it ended."""
        chooser, generation = self._parts.chooser, self._admitted.generation
        key = f"{self._key}.{len(self._progress.attempts)}"
        exchange = AttemptExchange(
            self._parts, self._read, self._admitted, self._progress, self._relay, attempt, key
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

    async def _waits_for_retry(self) -> bool:
        """Whether there is to be another attempt, once its backoff is over."""
        now_ms = self._now_ms()
        admitted = self._admitted
        is_resumption = self._progress.answer_begun
        until_ms = admitted.until_ms if is_resumption else admitted.worthwhile_until_ms
        retries = self._parts.retries
        wait_ms = retries.wait_ms(now_ms, self._progress, admitted.service, until_ms - now_ms)
        if wait_ms is None:
            return False
        if wait_ms:
            await asyncio.sleep(wait_ms / MS_PER_S)
        return True

    # --- the end ---

    def _complete(self) -> web.StreamResponse:
        """An upstream's answer reached the client to its end."""
        self._parts.retries.succeeded(self._progress)
        self._parts.counters["complete"] += 1
        assert self._relay.final is not None
        return self._relay.final

    def _give_up(self) -> web.StreamResponse:
        """The final answer where no upstream gave one."""
        attempts = self._progress.attempts
        last = attempts[-1].result if attempts else None
        if not any(attempt.may_have_run for attempt in attempts):
            self._parts.admission.never_ran(self._now_ms(), self._admitted)
        if self._progress.answer_begun:
            self._note("stream_broken_off", last)
            return self.answer.abort()
        if may_promise(self._progress):
            self._note("refused", last)
            retry_after_ms = self._parts.admission.retry_after_for_ms(self._admitted.route)
            return refusal(SERVICE_UNAVAILABLE, "no upstream took it", retry_after_ms)
        self._note("failed", last)
        if last is AttemptResult.TIMED_OUT:
            return own_answer(GATEWAY_TIMEOUT, "timed out")
        return own_answer(BAD_GATEWAY, "failed")

    def _note(self, event: str, last: AttemptResult | None) -> None:
        self._parts.counters[event] += 1
        self._parts.log(
            event,
            request=self._request_id,
            route=self._admitted.route.name,
            last=None if last is None else last.value,
            attempts=[attempt.instance for attempt in self._progress.attempts],
        )

    def _client_has_left(self) -> bool:
        """Asks the system: what a client pipelines may delay the reading of its connection's end."""
        return has_left(self._read.request.transport)

    def _now_ms(self) -> float:
        return self._loop.time() * MS_PER_S
