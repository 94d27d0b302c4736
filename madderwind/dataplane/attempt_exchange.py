"""One attempt at an upstream.

Builds the request, checks before writing that it may still be sent, and updates the upstream's health by the
result.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Mapping

from aiohttp import ClientError
from aiohttp.client_reqrep import ClientResponse
from multidict import CIMultiDict

from madderwind.balancing.outcomes import Outcome
from madderwind.dataplane.admission import Admitted
from madderwind.dataplane.answer_relay import AnswerRelay
from madderwind.dataplane.attempts import Attempt, AttemptResult, Progress
from madderwind.dataplane.client_requests import ClientRequest
from madderwind.dataplane.headers import UpstreamContext, deadline_header, upstream_request_headers
from madderwind.dataplane.request_parts import MS_PER_S, RequestParts
from madderwind.dataplane.upstream_heads import INSTANCE, REQUEST_ID, Head, read_head
from madderwind.messages.header_text import is_header_text
from madderwind.transport.answering import Addressee
from madderwind.transport.encoded_request import EncodedRequest
from madderwind.transport.unread import has_left

_RESULT_BY_HEAD = {
    Head.REFUSAL: AttemptResult.REFUSED_FULL,
    Head.MISDIRECTED: AttemptResult.MISDIRECTED,
    Head.UNPROVEN: AttemptResult.BROKEN,
}
_RESULT_BY_OUTCOME = {
    Outcome.NOT_SENT: AttemptResult.NOT_SENT,
    Outcome.CONNECT_FAILED: AttemptResult.NOT_SENT,
    Outcome.TIMEOUT: AttemptResult.TIMED_OUT,
}


class AttemptExchange:
    """One request to one upstream, and the head of its response."""

    def __init__(
        self,
        parts: RequestParts,
        client_request: ClientRequest,
        admitted: Admitted,
        progress: Progress,
        relay: AnswerRelay,
        attempt: Attempt,
        key: str,
    ) -> None:
        """Prepare an attempt.

        Args:
            parts: Components shared by all requests.
            client_request: The request as the client sent it.
            admitted: Its route, service, deadline and tenant.
            progress: The request's attempts so far.
            relay: Passes the response on to the client.
            attempt: This attempt.
            key: Identifies it within this process.
        """
        self._parts, self._client_request, self._admitted = parts, client_request, admitted
        self._progress, self._relay = progress, relay
        self._attempt, self._key = attempt, key
        self._loop = asyncio.get_running_loop()
        self._headers = client_request.request.headers
        self._request_id = self._headers.get(REQUEST_ID)

    async def run(self) -> AttemptResult:
        """Send the request and relay the response; how the attempt ended."""
        instance = self._attempt.instance
        address = self._parts.upstreams.address(instance)
        if address is None or not self._can_be_named():
            return AttemptResult.NOT_SENT
        encoded = EncodedRequest(
            self._client_request.request.method,
            self._client_request.target,
            self._upstream_headers(),
            self._client_request.body,
            self._may_write,
            self._progress.is_idempotent,
            addresses=self._addressee,
            headers_at_write=self._deadline_header,
            exchange_id=self._request_id or "",
        )
        limit = self._parts.shutdown.timeout_at(self._admitted.until_ms / MS_PER_S)
        try:
            outcome = await self._parts.pool.exchange(
                instance, address, encoded, limit, lambda response: self._receive(response, encoded)
            )
        finally:
            encoded.body = b""  # a pooled connection keeps its last request
        if isinstance(outcome, AttemptResult):
            return outcome
        return self._result_from(outcome)

    def _can_be_named(self) -> bool:
        """Whether headers can hold the names of the instance and of the tenant."""
        return is_header_text(self._attempt.instance) and is_header_text(self._admitted.tenant or "")

    def _upstream_headers(self) -> CIMultiDict[str]:
        urgency = self._parts.chooser.urgency(self._key, self._admitted.generation, self._admitted.priority)
        context = UpstreamContext(
            self._attempt.instance,
            self._admitted.tenant,
            urgency,
            self._relay.resume_after(),
        )
        return upstream_request_headers(self._headers, context)

    def _deadline_header(self) -> dict[str, str]:
        """The remaining time, computed as the request is written: connecting may take long."""
        return deadline_header(self._admitted.until_ms - self._now_ms())

    def _may_write(self) -> bool:
        """Whether the request should still be sent once the connection is established."""
        if not self._parts.upstreams.takes_new(self._attempt.instance):
            return False
        if self._now_ms() >= self._admitted.until_ms or has_left(self._client_request.request.transport):
            return False
        self._attempt.was_sent = True
        return True

    def _addressee(self, status: int, headers: Mapping[str, str]) -> Addressee:
        """Which request a response belongs to; called before its connection can be reused."""
        head = read_head(self._request_id, status, headers)
        if head.is_for_this_request:
            return Addressee.THIS_REQUEST
        self._parts.counters[f"head {head.value}"] += 1
        has_id = head is Head.FOREIGN and REQUEST_ID in headers
        return Addressee.ANOTHER_REQUEST if has_id else Addressee.NOBODY

    async def _receive(self, response: ClientResponse, encoded: EncodedRequest) -> AttemptResult:
        """Handle a response whose head has been read."""
        head = read_head(self._request_id, response.status, response.headers)
        if head is not Head.ANSWER:
            await self._handle_rejection(response, head)
            return _RESULT_BY_HEAD[head]
        self._parts.chooser.record_answer(self._attempt.instance)
        if encoded.connection is not None:
            encoded.connection.passes_on()
        return await self._relay.relay(response, self._attempt, self._key)

    async def _handle_rejection(self, response: ClientResponse, head: Head) -> None:
        """Handle a refusal, an unproven refusal, or a response of another instance at the address."""
        parts, instance = self._parts, self._attempt.instance
        parts.counters[f"head {head.value}"] += 1
        if head is Head.MISDIRECTED:
            is_another = response.headers.get(INSTANCE) != instance
            if is_another and parts.upstreams.mark_deregistered(self._now_ms(), instance):
                parts.chooser.changed(self._now_ms(), (instance,))
                parts.pool.forget(instance)
                parts.log("upstream_replaced", instance=instance)
            response.close()
            return
        parts.chooser.record_answer(instance)
        with contextlib.suppress(ClientError, TimeoutError):
            await response.read()  # allows the connection to be reused

    def _result_from(self, outcome: Outcome) -> AttemptResult:
        """The result of an attempt without a usable response; updates the upstream's health."""
        health, now_ms = self._parts.chooser.health, self._now_ms()
        if outcome is Outcome.CONNECT_FAILED:
            health.connect_failed(now_ms, self._attempt.instance)
        elif outcome in (Outcome.RESET, Outcome.ERROR):
            health.request_failed(now_ms, self._attempt.instance)
        self._parts.counters[f"attempt {outcome.value}"] += 1
        return _RESULT_BY_OUTCOME.get(outcome, AttemptResult.BROKEN)

    def _now_ms(self) -> float:
        return self._loop.time() * MS_PER_S
