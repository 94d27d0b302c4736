"""One attempt at an upstream.

What is sent, whether it may still be, and what its end says of the upstream.
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
from madderwind.dataplane.headers import Onward, deadline_header, headers_onward
from madderwind.dataplane.request_parts import MS_PER_S, RequestParts
from madderwind.dataplane.upstream_heads import INSTANCE, REQUEST_ID, Head, read_head
from madderwind.transport.answering import Addressee
from madderwind.transport.encoded_request import EncodedRequest
from madderwind.transport.unread import has_left

_RESULT_OF_HEAD = {
    Head.REFUSAL: AttemptResult.REFUSED_FULL,
    Head.MISDIRECTED: AttemptResult.MISDIRECTED,
    Head.UNPROVEN: AttemptResult.BROKEN,
}
_RESULT_OF_OUTCOME = {
    Outcome.NOT_SENT: AttemptResult.NOT_SENT,
    Outcome.CONNECT_FAILED: AttemptResult.NOT_SENT,
    Outcome.TIMEOUT: AttemptResult.TIMED_OUT,
}


class AttemptExchange:
    """One request to one upstream, and the head of its answer."""

    def __init__(
        self,
        parts: RequestParts,
        read: ClientRequest,
        admitted: Admitted,
        progress: Progress,
        relay: AnswerRelay,
        attempt: Attempt,
        key: str,
    ) -> None:
        """Prepare an attempt.

        Args:
            parts: What all requests share.
            read: The request as the client sent it.
            admitted: Its route, service, deadline and tenant.
            progress: The request's attempts so far.
            relay: Passes the answer on to the client.
            attempt: This attempt.
            key: Names it within this process.
        """
        self._parts, self._read, self._admitted = parts, read, admitted
        self._progress, self._relay = progress, relay
        self._attempt, self._key = attempt, key
        self._loop = asyncio.get_running_loop()
        self._headers = read.request.headers
        self._request_id = self._headers.get(REQUEST_ID)

    async def run(self) -> AttemptResult:
        """Send the request and relay the answer; how that ended."""
        instance = self._attempt.instance
        address = self._parts.upstreams.address(instance)
        if address is None:
            return AttemptResult.NOT_SENT
        encoded = EncodedRequest(
            self._read.request.method,
            self._read.target,
            self._onward_headers(),
            self._read.body,
            self._may_write,
            self._progress.is_idempotent,
            addresses=self._addressee,
            headers_at_write=self._deadline_header,
        )
        until_s = self._admitted.until_ms / MS_PER_S
        outcome = await self._parts.pool.exchange(
            instance, address, encoded, until_s, lambda response: self._receive(response, encoded)
        )
        if isinstance(outcome, AttemptResult):
            return outcome
        return self._result_of(outcome)

    # --- the request ---

    def _onward_headers(self) -> CIMultiDict[str]:
        urgency = self._parts.chooser.urgency(self._key, self._admitted.generation, self._admitted.priority)
        onward = Onward(
            self._attempt.instance,
            self._admitted.tenant,
            urgency,
            self._relay.resume_after(),
        )
        return headers_onward(self._headers, onward)

    def _deadline_header(self) -> dict[str, str]:
        """Called as the request is written: a connection may take long to come up."""
        return deadline_header(self._admitted.until_ms - self._now_ms())

    def _may_write(self) -> bool:
        """Whether it is still right to send, now that the connection is up."""
        if not self._parts.upstreams.takes_new(self._attempt.instance):
            return False
        if self._now_ms() >= self._admitted.until_ms or has_left(self._read.request.transport):
            return False
        self._attempt.was_sent = True
        return True

    # --- the head of its answer ---

    def _addressee(self, status: int, headers: Mapping[str, str]) -> Addressee:
        """Whose answer a head begins; asked before its connection can be used again."""
        head = read_head(self._request_id, status, headers)
        if head.is_to_this_request:
            return Addressee.THIS_REQUEST
        self._parts.counters[f"head {head.value}"] += 1
        has_id = head is Head.FOREIGN and REQUEST_ID in headers
        return Addressee.ANOTHER_REQUEST if has_id else Addressee.NOBODY

    async def _receive(self, response: ClientResponse, encoded: EncodedRequest) -> AttemptResult:
        """An answer, from its head on."""
        head = read_head(self._request_id, response.status, response.headers)
        if head is not Head.ANSWER:
            await self._handle_rejection(response, head)
            return _RESULT_OF_HEAD[head]
        self._parts.chooser.record_answer(self._attempt.instance)
        if encoded.connection is not None:
            encoded.connection.passes_on()
        return await self._relay.relay(response, self._attempt.instance, self._key)

    async def _handle_rejection(self, response: ClientResponse, head: Head) -> None:
        """A rejection, with or without its proof, or another instance's."""
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
            await response.read()  # so that its connection can be used again

    # --- its end ---

    def _result_of(self, outcome: Outcome) -> AttemptResult:
        """How an attempt without a usable answer ended, and what that says of its upstream."""
        health, now_ms = self._parts.chooser.health, self._now_ms()
        if outcome is Outcome.CONNECT_FAILED:
            health.connect_failed(now_ms, self._attempt.instance)
        elif outcome in (Outcome.RESET, Outcome.ERROR):
            health.broke(now_ms, self._attempt.instance)
        self._parts.counters[f"attempt {outcome.value}"] += 1
        return _RESULT_OF_OUTCOME.get(outcome, AttemptResult.BROKEN)

    def _now_ms(self) -> float:
        return self._loop.time() * MS_PER_S
