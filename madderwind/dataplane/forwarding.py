"""One request's way through the data plane, from its last byte to its one final answer."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
from collections import Counter
from collections.abc import Mapping

import msgspec
from aiohttp import ClientError, web
from aiohttp.client_reqrep import ClientResponse
from multidict import CIMultiDict

from madderwind.balancing.outcomes import Outcome
from madderwind.dataplane.admission import Admission, Admitted, Rejected
from madderwind.dataplane.attempts import Attempt, AttemptResult, Progress, may_promise
from madderwind.dataplane.choosing import UpstreamChooser
from madderwind.dataplane.client_answers import ClientAnswer, ClientGone
from madderwind.dataplane.client_requests import ClientRequest, UnusableRequest, read_request
from madderwind.dataplane.event_stream import EVENT_STREAM, EventSplitter, EventTooLong
from madderwind.dataplane.headers import LAST_EVENT_ID, Onward, headers_onward
from madderwind.dataplane.own_answers import own_answer, refusal
from madderwind.dataplane.retrying import LEAST_LEFT_MS, Retries, RetryBudget
from madderwind.dataplane.upstream_heads import INSTANCE, REQUEST_ID, Head, read_head, tells_its_end
from madderwind.dataplane.upstream_pool import UpstreamPool
from madderwind.eventlog import EventLog
from madderwind.registry.known_upstreams import KnownUpstreams
from madderwind.transport.answering import Addressee
from madderwind.transport.unread import has_left
from madderwind.transport.upstreams import EncodedRequest

MS_PER_S = 1000.0
# An answer up to this is held whole, so that one that breaks off can be told from a whole one, and sent again
# where that does no harm. Longer ones pass on in pieces.
HELD_ANSWER = 64 * 1024

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


class Shared(msgspec.Struct):
    """What all requests of a data plane share."""

    admission: Admission
    upstreams: KnownUpstreams
    chooser: UpstreamChooser
    pool: UpstreamPool
    retries: Retries
    budget: RetryBudget
    log: EventLog
    counters: Counter[str]


class Forwarder:
    """Serves clients' requests."""

    def __init__(self, shared: Shared) -> None:
        self._shared = shared
        self._numbers = itertools.count()

    async def serve(self, request: web.BaseRequest) -> web.StreamResponse:
        """One request, top to bottom."""
        shared = self._shared
        loop = asyncio.get_running_loop()
        arrived_ms = loop.time() * MS_PER_S
        try:
            read = await read_request(
                request, shared.admission.limits, lambda: self._until_s(request, arrived_ms)
            )
        except UnusableRequest as error:
            return self._unusable(error)
        now_ms = loop.time() * MS_PER_S
        decision = shared.admission.admit(now_ms, arrived_ms, read.target, request.headers)
        if isinstance(decision, Rejected):
            shared.counters[f"rejected {decision.status}"] += 1
            return _rejection(decision)
        shared.budget.request(now_ms, decision.service)
        forwarding = _Forwarding(shared, f"{next(self._numbers)}", read, decision)
        try:
            return await forwarding.run()
        except ClientGone:
            shared.counters["client gone"] += 1
            return forwarding.answer.abort()

    def _until_s(self, request: web.BaseRequest, arrived_ms: float) -> float:
        """When a request's time is over, on the loop's clock."""
        until_ms = self._shared.admission.until_ms(arrived_ms, request._message.path, request.headers)
        return until_ms / MS_PER_S

    def _unusable(self, error: UnusableRequest) -> web.StreamResponse:
        """The answer to a request that was not read whole.

        Guards against a refusal for good by a limit that a newer configuration may have raised.
        """
        admission = self._shared.admission
        if error.is_beyond_a_limit and not admission.knows_newest:
            unsure = admission.refusal_while_unsure()
            self._shared.counters[f"rejected {unsure.status}"] += 1
            response = _rejection(unsure)
            response.force_close()
            return response
        self._shared.counters[f"unusable {error.status}"] += 1
        return own_answer(error.status, str(error), closes=True)


def _rejection(rejected: Rejected) -> web.Response:
    """The answer to a request that is not sent."""
    if rejected.retry_after_ms is None:
        return own_answer(rejected.status, rejected.reason)
    return refusal(rejected.status, rejected.reason, rejected.retry_after_ms)


class _Forwarding:
    """One admitted request."""

    def __init__(self, shared: Shared, key: str, read: ClientRequest, admitted: Admitted) -> None:
        self._shared, self._key, self._read, self._admitted = shared, key, read, admitted
        self._loop = asyncio.get_running_loop()
        self._headers = read.request.headers
        self._request_id = self._headers.get(REQUEST_ID)
        self._progress = Progress(admitted.is_idempotent, admitted.is_resumable, admitted.route.max_attempts)
        told_id = self._headers.get(LAST_EVENT_ID)
        self._events = EventSplitter(None if told_id is None else told_id.encode())
        self.answer = ClientAnswer(read.request)
        self._final: web.StreamResponse | None = None

    def _now_ms(self) -> float:
        return self._loop.time() * MS_PER_S

    async def run(self) -> web.StreamResponse:
        """Attempts until one answers, or none may be made any more."""
        while True:
            now_ms = self._now_ms()
            if self._client_has_left():
                raise ClientGone("it closed its connection")
            if self._admitted.until_ms - now_ms < LEAST_LEFT_MS:
                return self._give_up()
            instance = self._shared.chooser.choose(
                now_ms, self._admitted.service, self._admitted.generation, self._progress.tried
            )
            if instance is None:
                return self._give_up()
            attempt = Attempt(instance)
            self._progress.attempts.append(attempt)
            await self._make(attempt)
            if attempt.result is AttemptResult.COMPLETE:
                self._shared.retries.succeeded(self._progress)
                self._shared.counters["complete"] += 1
                assert self._final is not None
                return self._final
            if not await self._waits_for_another():
                return self._give_up()

    def _client_has_left(self) -> bool:
        """Asks the system: what a client pipelines may hold up the reading of its connection's end."""
        return has_left(self._read.request.transport)

    async def _waits_for_another(self) -> bool:
        """Whether there is to be another attempt, once its wait is over."""
        now_ms = self._now_ms()
        admitted = self._admitted
        resumes = self._progress.answer_begun
        until_ms = admitted.until_ms if resumes else admitted.worthwhile_until_ms
        wait_ms = self._shared.retries.wait_ms(now_ms, self._progress, admitted.service, until_ms - now_ms)
        if wait_ms is None:
            return False
        if wait_ms:
            await asyncio.sleep(wait_ms / MS_PER_S)
        return True

    def _give_up(self) -> web.StreamResponse:
        """The final answer where no upstream gave one."""
        attempts = self._progress.attempts
        last = attempts[-1].result if attempts else None
        if not any(attempt.may_have_run for attempt in attempts):
            self._shared.admission.never_ran(self._now_ms(), self._admitted)
        if self._progress.answer_begun:
            self._note("stream_broken_off", last)
            return self.answer.abort()
        if may_promise(self._progress):
            self._note("refused", last)
            route = self._admitted.route
            return refusal(503, "no upstream took it", self._shared.admission.comeback_ms(route))
        timed_out = last is AttemptResult.TIMED_OUT
        self._note("failed", last)
        return own_answer(504 if timed_out else 502, "timed out" if timed_out else "failed")

    def _note(self, event: str, last: AttemptResult | None) -> None:
        self._shared.counters[event] += 1
        self._shared.log(
            event,
            request=self._request_id,
            route=self._admitted.route.name,
            last=None if last is None else last.value,
            attempts=[attempt.instance for attempt in self._progress.attempts],
        )

    # --- one attempt ---

    async def _make(self, attempt: Attempt) -> None:
        """Make it, and note in all books how it ended."""
        shared, generation = self._shared, self._admitted.generation
        key = f"{self._key}.{len(self._progress.attempts)}"
        shared.chooser.began(self._now_ms(), key, generation, attempt.instance)
        result = AttemptResult.BROKEN
        try:
            result = await self._exchange(attempt, key)
        finally:
            attempt.result = result
            served = result is AttemptResult.COMPLETE
            shared.chooser.ended(self._now_ms(), key, generation, attempt.instance, served)

    async def _exchange(self, attempt: Attempt, key: str) -> AttemptResult:
        address = self._shared.upstreams.address(attempt.instance)
        if address is None:
            return AttemptResult.NOT_SENT
        encoded = EncodedRequest(
            self._read.request.method,
            self._read.target,
            self._headers_onward(attempt.instance, key),
            self._read.body,
            lambda: self._may_write(attempt),
            self._progress.is_idempotent,
            addresses=self._addressee,
        )
        until_s = self._admitted.until_ms / MS_PER_S
        outcome = await self._shared.pool.exchange(
            attempt.instance,
            address,
            encoded,
            until_s,
            lambda response: self._receive(response, encoded, attempt, key),
        )
        if isinstance(outcome, AttemptResult):
            return outcome
        return self._result_of(outcome, attempt)

    def _headers_onward(self, instance: str, key: str) -> CIMultiDict[str]:
        resumes_after = self._events.last_id if self._progress.answer_begun else None
        onward = Onward(
            instance,
            self._admitted.until_ms - self._now_ms(),
            self._admitted.tenant,
            self._shared.chooser.urgency(key, self._admitted.generation, self._admitted.priority),
            None if resumes_after is None else resumes_after.decode("latin-1"),
        )
        return headers_onward(self._headers, onward)

    def _addressee(self, status: int, headers: Mapping[str, str]) -> Addressee:
        """Whose answer a head begins; asked before its connection can be used again."""
        head = read_head(self._request_id, status, headers)
        if head.is_to_this_request:
            return Addressee.THIS_REQUEST
        self._shared.counters[f"head {head.value}"] += 1
        has_id = head is Head.FOREIGN and REQUEST_ID in headers
        return Addressee.ANOTHER_REQUEST if has_id else Addressee.NOBODY

    def _may_write(self, attempt: Attempt) -> bool:
        """Whether it is still right to send, now that the connection is up."""
        if not self._shared.upstreams.takes_new(attempt.instance):
            return False
        if self._now_ms() >= self._admitted.until_ms or self._client_has_left():
            return False
        attempt.was_sent = True
        return True

    def _result_of(self, outcome: Outcome, attempt: Attempt) -> AttemptResult:
        """How an attempt without a usable answer ended, and what that says of its upstream."""
        health, now_ms = self._shared.chooser.health, self._now_ms()
        if outcome is Outcome.CONNECT_FAILED:
            health.connect_failed(now_ms, attempt.instance)
        elif outcome in (Outcome.RESET, Outcome.ERROR):
            health.broke(now_ms, attempt.instance)
        self._shared.counters[f"attempt {outcome.value}"] += 1
        return _RESULT_OF_OUTCOME.get(outcome, AttemptResult.BROKEN)

    # --- its answer ---

    async def _receive(
        self, response: ClientResponse, encoded: EncodedRequest, attempt: Attempt, key: str
    ) -> AttemptResult:
        """An answer, from its head on."""
        head = read_head(self._request_id, response.status, response.headers)
        if head is not Head.ANSWER:
            await self._turned_away(response, head, attempt)
            return _RESULT_OF_HEAD[head]
        self._shared.chooser.heard(attempt.instance)
        if encoded.connection is not None:
            encoded.connection.passes_on()
        if response.status == 200 and response.headers.get("Content-Type", "").startswith(EVENT_STREAM):
            return await self._pass_events(response, attempt, key)
        if self._progress.answer_begun:  # a stream can't go on with anything else
            response.close()
            return AttemptResult.BROKEN
        length = response.content_length
        if length is None or length > HELD_ANSWER:
            return await self._pass_pieces(response, length)
        body = await response.read()
        self._final = self.answer.whole(response, body)
        return AttemptResult.COMPLETE

    async def _turned_away(self, response: ClientResponse, head: Head, attempt: Attempt) -> None:
        """A refusal, with or without its proof, or another instance's."""
        shared = self._shared
        shared.counters[f"head {head.value}"] += 1
        if head is Head.MISDIRECTED:
            is_another = response.headers.get(INSTANCE) != attempt.instance
            if is_another and shared.upstreams.mark_deregistered(self._now_ms(), attempt.instance):
                shared.chooser.changed((attempt.instance,))
                shared.pool.forget(attempt.instance)
                shared.log("upstream_replaced", instance=attempt.instance)
            response.close()
            return
        shared.chooser.heard(attempt.instance)
        with contextlib.suppress(ClientError, TimeoutError):
            await response.read()  # so that its connection can be used again

    async def _pass_events(self, response: ClientResponse, attempt: Attempt, key: str) -> AttemptResult:
        """Whole events, each as soon as it is complete; the head goes out with the first."""
        if self._progress.answer_begun:
            self._events.resume()
        else:
            self.answer.take_head(response, None)
        data = await response.content.readany()
        if data:
            self._shared.chooser.stream_began(self._now_ms(), key, attempt.instance)
            try:
                await self._pass_on(response, data, attempt.instance)
            except EventTooLong:
                response.close()
                return AttemptResult.BROKEN
            finally:
                self._shared.chooser.streams.ended(attempt.instance)
        if rest := self._events.rest():
            if not tells_its_end(response.headers):
                return AttemptResult.BROKEN
            await self.answer.write(rest)
        self._final = await self.answer.end()
        return AttemptResult.COMPLETE

    async def _pass_on(self, response: ClientResponse, data: bytes, instance: str) -> None:
        """All events of a stream, from its first bytes on."""
        events, answer, streams = self._events, self.answer, self._shared.chooser.streams
        while data:
            if whole := events.feed(data):
                self._progress.answer_begun = True
                # Without an id nothing tells another upstream where to go on: all would come twice.
                self._progress.is_resumable &= events.last_id is not None
                await answer.write(whole)
            data = await response.content.readany()
            streams.heard(self._now_ms(), instance)

    async def _pass_pieces(self, response: ClientResponse, length: int | None) -> AttemptResult:
        """A long answer; one that breaks off is broken off for the client too."""
        self.answer.take_head(response, length)
        while data := await response.content.readany():
            self._progress.answer_begun = True
            self._progress.is_resumable = False
            await self.answer.write(data)
        self._final = await self.answer.end()
        return AttemptResult.COMPLETE
