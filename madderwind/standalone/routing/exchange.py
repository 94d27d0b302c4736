"""Handles one request, from the caller's last byte to the single final response."""

from __future__ import annotations

import asyncio
import math
from collections.abc import AsyncIterator, Awaitable, Mapping

import msgspec
from aiohttp import web
from multidict import CIMultiDictProxy

from madderwind.standalone.policy import api
from madderwind.standalone.policy.api import Effect, Group, Outcome
from madderwind.standalone.protocol.answers import (
    BAD,
    BROKEN,
    FAILED,
    REFUSED,
    REPORT,
    TIMED_OUT,
    outcome_of,
    refusal_headers,
)
from madderwind.standalone.protocol.requests import TRACE_ID, Asked, BadRequest, headers_onward, origin_form
from madderwind.standalone.routing.copy import Copy, LastWord
from madderwind.transport.bodies import PASSING, READ_S, BadBody, Body
from madderwind.transport.encoded_request import EncodedRequest, Upload
from madderwind.transport.streamed_response import confirm_complete, declare_body
from madderwind.transport.unread import has_left
from madderwind.transport.upstreams import Answer

# Delay after the deadline before the host itself ends a request that the module has not answered. The rules
# allow 50 ms plus the slack of the settings, and a late event loop must not overtake the module's answer.
UNANSWERED_DELAY_MS = 35.0
# Limits for slow peers, either of which may stall for seconds: the time from the first to the last byte of a
# long body, and the time for a caller to accept the next chunk of a long response.
MAX_UPLOAD_MS, MAX_READER_STALL_S = 120_000.0, 30.0


class FinalResponse(msgspec.Struct, frozen=True):
    """The final response to the caller."""

    status: int
    body: bytes = b""
    headers: Mapping[str, str] = {}


class CallerDisconnectedError(Exception):
    """The caller of a long response has disconnected, or no longer reads."""


class Exchange:
    """One accepted request. Its events reach its own task through `inbox`, in order."""

    def __init__(
        self,
        copy: Copy,
        number: int,
        asked: Asked,
        request: web.BaseRequest,
        target: str,
        body: Body,
        now_ms: float,
    ) -> None:
        self.copy, self.number, self.asked = copy, number, asked
        self.request, self.target, self.body = request, target, body
        self.category = copy.host.class_names[asked.class_index]
        # The class at arrival: new settings do not loosen the limits of a request in progress.
        self.klass = copy.settings.classes[asked.class_index]
        self.attempt_limit = copy.settings.max_attempts
        self.inbox: asyncio.Queue[api.Event | LastWord] = asyncio.Queue()
        self.attempts: list[asyncio.Task[None]] = []
        self.cancelled_attempts: set[int] = set()
        # The upstream, outcome and milliseconds of each attempt.
        self.attempt_outcomes: list[tuple[str, str, float]] = []
        self.answers: dict[int, Answer] = {}
        # Responses of attempts that found the request itself invalid.
        self.invalid_request_answers: dict[int, FinalResponse] = {}
        self.final: FinalResponse | None = None
        self.caller_left = False
        self.taken_ms: float | None = None  # when the last byte of the request was received
        self.body_released = False  # whether the start of the body was dropped, so that it cannot be resent
        self.written_ms: dict[int, float] = {}  # when each attempt's last byte was written
        self.may_have_run_ms: dict[int, float] = {}  # start times of attempts that may have run
        self.streaming_attempt: int | None = None  # the attempt whose response is streamed to the caller
        self.streaming_since_ms = 0.0  # when that response began
        self.response: web.StreamResponse | None = None  # that response
        self._deadline_timer: asyncio.TimerHandle | None = None
        if body.whole:
            self.body_received(now_ms)
        else:
            self.set_deadline(now_ms + asked.wait_ms + MAX_UPLOAD_MS)

    @property
    def over(self) -> bool:
        """Whether no further attempt may be sent."""
        return self.final is not None or self.caller_left or self.streaming_attempt is not None

    def body_received(self, now_ms: float) -> None:
        """Record that the last byte has arrived; the caller's time limit starts here."""
        self.taken_ms = now_ms
        self.copy.tally.taken += 1
        self.set_deadline(now_ms + self.asked.wait_ms)

    def set_deadline(self, deadline_ms: float) -> None:
        """Set the deadline, and the timer that ends the request if the module has not answered by then."""
        self.deadline_ms = deadline_ms
        self.cancel_deadline_timer()
        self._deadline_timer = asyncio.get_running_loop().call_at(
            self.copy.clock.loop_time_s(deadline_ms + UNANSWERED_DELAY_MS),
            self.inbox.put_nowait,
            LastWord.DEADLINE,
        )

    def cancel_deadline_timer(self) -> None:
        if self._deadline_timer is not None:
            self._deadline_timer.cancel()

    def carry_out(self, action: api.Action) -> None:
        """Carry out an action of the module for this request."""
        match action:
            case api.Send():
                self._send(action)
            case api.Refuse(_, retry_after_ms):
                self.settle(FinalResponse(REFUSED, b"refused\n", refusal_headers(retry_after_ms)))
            case api.Fail():
                timed_out = (
                    bool(self.attempt_outcomes) and self.attempt_outcomes[-1][1] == Outcome.TIMEOUT.value
                )
                self.settle(FinalResponse(TIMED_OUT if timed_out else FAILED, b"failed\n"))
            case api.Cancel(_, attempt) if attempt < len(self.attempts):
                self.cancel_attempt(attempt)

    def settle(self, final: FinalResponse) -> None:
        if self.copy.invariants.must(not self.over, "one_final_answer", trace_id=self.asked.trace_id):
            self.final = final

    def cancel_attempt(self, attempt: int) -> None:
        self.cancelled_attempts.add(attempt)
        self.attempts[attempt].cancel()

    def cancel_repeatable_attempt(self, attempt: int) -> None:
        """Cancel the attempt if the request can be sent again whatever the attempt has done.

        A request whose body or response is streamed cannot be sent again.
        """
        klass = self.klass
        repeatable = klass.effect is Effect.SAFE or (
            klass.effect is Effect.KEYED and klass.group is Group.ALL
        )
        if repeatable and self.body.whole and not self.over and attempt < len(self.attempts):
            self.cancel_attempt(attempt)

    def cancel_all_attempts(self) -> None:
        for number, task in enumerate(self.attempts):
            if not task.done():
                self.cancel_attempt(number)

    async def wait_for_attempts(self) -> None:
        """Wait until every attempt has ended, after all were cancelled."""
        if self.attempts:
            await asyncio.wait(self.attempts)

    def _send(self, send: api.Send) -> None:
        number = len(self.attempts)
        self.copy.invariants.must(
            not self.over, "nothing_sent_after_the_answer", trace_id=self.asked.trace_id
        )
        until_ms = self.deadline_ms
        if send.not_past_ms > 0:
            until_ms = min(until_ms, send.not_past_ms)
        task = asyncio.get_running_loop().create_task(self._attempt(number, send.upstream, until_ms))
        self.attempts.append(task)

    async def _attempt(self, number: int, upstream: int, until_ms: float) -> None:
        """Send one attempt; its end goes to the request's task, or to the copy if that task is done."""
        sent_ms = self.copy.clock.now_ms()
        report: tuple[float, ...] = ()
        name = self.copy.directory.name(upstream)
        known_outcome: Outcome | None = None
        self.copy.began(upstream, (self.number, number))
        try:
            known_outcome, report = await self._ask(number, upstream, until_ms, sent_ms)
            outcome = known_outcome
        except (asyncio.CancelledError, CallerDisconnectedError) as error:
            outcome = Outcome.CANCELLED
            if isinstance(error, asyncio.CancelledError) and number not in self.cancelled_attempts:
                raise
        except Exception as error:  # how far it got is unknown, so it may have run
            self.copy.log("attempt_broke", trace_id=self.asked.trace_id, error=repr(error))
            outcome = Outcome.ERROR
        finally:
            if known_outcome is not None and known_outcome.never_ran:
                self.may_have_run_ms.pop(number, None)
            elapsed_ms = self.copy.clock.now_ms() - sent_ms
            self.copy.ended(upstream, (self.number, number), known_outcome, elapsed_ms)
        began_ms = self.written_ms.get(number, sent_ms) if self.body.is_long else sent_ms
        ended_ms = self.streaming_since_ms if self.streaming_attempt == number else self.copy.clock.now_ms()
        # A long body counts from its last byte, a long response up to its first.
        elapsed_ms = max(0.0, ended_ms - began_ms)
        self.attempt_outcomes.append((name, outcome.value, round(elapsed_ms, 1)))
        done = self.final is not None or self.caller_left
        # The caller gets the response of another attempt.
        other_streams = self.streaming_attempt is not None and self.streaming_attempt != number
        over = (
            done
            or self.streaming_attempt == number
            or outcome is Outcome.OK
            or number in self.invalid_request_answers
        )
        ended = api.AttemptEnded(
            self.number, over and not other_streams, number, outcome, upstream, elapsed_ms, report
        )
        if done or other_streams:
            self.copy.happened(ended)
        else:
            self.inbox.put_nowait(ended)

    async def _ask(
        self, number: int, upstream: int, until_ms: float, sent_ms: float
    ) -> tuple[Outcome, tuple[float, ...]]:
        copy, body = self.copy, self.body
        address = copy.directory.address(upstream)
        over_limit = number >= min(copy.settings.max_attempts, self.attempt_limit)
        if address is None or over_limit or not self._may_write(upstream, until_ms):
            return Outcome.NOT_SENT, ()
        answer_stream = _AnswerStream(self, number, upstream)
        upload = None if body.whole else Upload(self._body_chunks(), body.length)
        left_ms = until_ms - sent_ms if upload is None else self.asked.wait_ms
        encoded = EncodedRequest(
            self.request.method,
            self.target,
            headers_onward(self.request.headers, left_ms, upload.length if upload is not None else None),
            body.held if upload is None else b"",
            lambda: self._confirm_write(number, upstream, until_ms, sent_ms),
            self.klass.effect is not Effect.UNSAFE,
            lambda: self._attempt_written(number, encoded),
            upload,
            answer_stream,
        )
        try:
            if upload is not None:
                await answer_stream.reserve_budget()
            answer = await copy.upstreams.ask(upstream, address, encoded, copy.clock.loop_time_s(until_ms))
        finally:
            answer_stream.end()
        if body.broken is not None:
            self.invalid_request_answers[number] = FinalResponse(
                body.broken.status, f"{body.broken}\n".encode()
            )
            return Outcome.NOT_SENT, ()
        if isinstance(answer, Outcome):
            return answer, ()
        if answer.status == BAD:
            # The request is invalid at every upstream: no other attempt, and no failure counted for this one.
            self.invalid_request_answers[number] = FinalResponse(BAD, b"an upstream cannot use it\n")
            return Outcome.CANCELLED, ()
        outcome = outcome_of(answer.status, answer.headers)
        if outcome is Outcome.OK:
            self.answers[number] = answer
        elif outcome is Outcome.ERROR and answer.status != 500:
            copy.log("odd_status", upstream=copy.directory.name(upstream), status=answer.status)
        return outcome, copy.report(upstream, answer.headers.get(REPORT))

    def _may_write(self, upstream: int, until_ms: float) -> bool:
        """Whether the attempt may still be written; checked again once its connection is established."""
        now_ms = self.copy.clock.now_ms()
        return (
            not self.over
            and not self.body_released
            and now_ms < until_ms
            and now_ms < self._repeat_until_ms()
            and self.copy.directory.takes_new(upstream)
        )

    def _repeat_until_ms(self) -> float:
        """The end of the class's repeat window.

        A repeat may be decided on within the window but be ready to write only after it.
        """
        if self.klass.effect is not Effect.KEYED or not self.may_have_run_ms:
            return math.inf
        return min(self.may_have_run_ms.values()) + self.klass.window_ms

    def _confirm_write(self, number: int, upstream: int, until_ms: float, sent_ms: float) -> bool:
        """Decide whether to write the first byte now, for first attempts, retries and second copies alike.

        No upstream should work for a caller that has disconnected before the host has noticed: behind unread
        bytes, in a queue, or between the decision and the write.
        """
        if not self._may_write(upstream, until_ms):
            return False
        if has_left(self.request.transport):
            if self.request.transport is not None:
                self.request.transport.abort()  # ends the request like any other disconnect
            return False
        self.may_have_run_ms[number] = sent_ms
        return True

    async def _body_chunks(self) -> AsyncIterator[bytes]:
        """The body in chunks as it arrives, for the one attempt that streams it."""
        if self.body_released:
            raise RuntimeError("the start of the body was already released; it cannot be sent again")
        self.body_released = True
        self.copy.happened(api.BodyPassing(self.number, float("inf")))
        async for part in self.body.rest():
            yield part

    def _attempt_written(self, number: int, encoded: EncodedRequest) -> None:
        """Record that the last byte of the attempt was written."""
        self.copy.tally.count_attempt()
        self.written_ms[number] = self.copy.clock.now_ms()
        if encoded.upload is None or self.final is not None or self.caller_left:
            return
        self.body_received(self.copy.clock.now_ms())
        self.copy.happened(api.BodyPassing(self.number, self.deadline_ms))
        if encoded.limit is not None and self.streaming_attempt is None:
            encoded.limit.reschedule(self.copy.clock.loop_time_s(self.deadline_ms))


class _AnswerStream:
    """Streams the long response of one attempt to the caller, a chunk at a time.

    An attempt reserves its share of the streaming budget once, for its body and its response together.
    """

    def __init__(self, exchange: Exchange, number: int, upstream: int) -> None:
        self._exchange, self._number, self._upstream = exchange, number, upstream
        self._began_ms = exchange.copy.clock.now_ms()
        self._has_budget = False

    async def reserve_budget(self) -> None:
        """Reserve the budget, only once: waiting for more while holding the body's share could deadlock."""
        if not self._has_budget:
            await self._exchange.copy.budgets.passing.wait_for(PASSING)
            self._has_budget = True

    async def begin(self, headers: CIMultiDictProxy[str], length: int | None) -> bool:
        exchange, copy = self._exchange, self._exchange.copy
        if exchange.over:
            return False
        first_ms = copy.clock.now_ms()
        await self.reserve_budget()
        if exchange.over:
            return False
        exchange.streaming_attempt, exchange.streaming_since_ms = self._number, first_ms
        exchange.cancel_deadline_timer()
        exchange.body.end()  # it is not sent to any other upstream
        elapsed_ms = first_ms - self._began_ms
        copy.happened(api.AnswerBegan(exchange.number, self._number, self._upstream, elapsed_ms))
        response = exchange.response = web.StreamResponse(status=200, headers=_forwarded_headers(headers))
        declare_body(exchange.request, response, length)
        await self._write_within_limit(response.prepare(exchange.request))
        return True

    async def write(self, part: bytes) -> None:
        response = self._exchange.response
        assert response is not None
        await self._write_within_limit(response.write(part))

    async def _write_within_limit(self, writing: Awaitable[object]) -> None:
        """Bound the time that a caller may take to read, and do not blame the upstream for a slow caller."""
        try:
            async with asyncio.timeout(MAX_READER_STALL_S):
                await writing
        except (ConnectionError, TimeoutError):
            raise CallerDisconnectedError from None

    def end(self) -> None:
        if self._has_budget:
            self._exchange.copy.budgets.passing.give_back(PASSING)
            self._has_budget = False


async def serve(copy: Copy, request: web.BaseRequest) -> web.StreamResponse:
    """Handle one request from its first byte to its response."""
    body = Body(request, copy.budgets.holding, READ_S)
    try:
        return await _serve(copy, request, body)
    finally:
        body.end()


async def _serve(copy: Copy, request: web.BaseRequest, body: Body) -> web.StreamResponse:
    try:
        await body.begin()
        now_ms = copy.clock.now_ms()
        target = origin_form(request._message.path)
        asked = copy.reader.read(request.method, target, request.headers, now_ms)
        if asked.trace_id in copy.open_trace_ids:
            # It would be treated as a duplicate of the open one.
            raise BadRequest(f"{TRACE_ID} of a request that is open")
    except (BadBody, BadRequest) as error:
        status = error.status if isinstance(error, BadBody) else 400
        copy.log_sparingly(
            "bad_request", status=status, reason=str(error), target=request._message.path[:120]
        )
        response = web.Response(status=status, text=f"{error}\n")
        response.force_close()  # such a client is likely to send more invalid requests
        return response
    if asked.odd_props is not None:
        copy.log_sparingly("odd_props", trace_id=asked.trace_id, part=asked.odd_props)
    exchange = Exchange(copy, copy.next_request_number(), asked, request, target, body, now_ms)
    copy.open[exchange.number] = exchange
    copy.open_trace_ids.add(asked.trace_id)
    try:
        event: api.Event | LastWord = api.RequestArrived(
            exchange.number,
            asked.class_index,
            asked.tenant_index,
            asked.key,
            exchange.deadline_ms,
            asked.work_hint_ms,
            asked.is_repeat,
            asked.is_write,
        )
        while True:
            if isinstance(event, LastWord):
                if exchange.streaming_attempt is not None:  # a response that has begun is the final one
                    event = await exchange.inbox.get()
                    continue
                in_time = event is not LastWord.DEADLINE or exchange.taken_ms is None
                copy.invariants.must(in_time, "answered_in_time", trace_id=asked.trace_id)
                exchange.settle(FinalResponse(TIMED_OUT, b"failed\n"))
                copy.decide(api.ClientLeft(exchange.number))
                break
            if isinstance(event, api.AttemptEnded):
                if event.attempt == exchange.streaming_attempt:
                    served = event.outcome is Outcome.OK
                    exchange.final = FinalResponse(200 if served else FAILED)
                elif event.outcome is Outcome.OK:
                    # The first complete response goes to the caller at once; the module is told so.
                    answer = exchange.answers[event.attempt]
                    exchange.settle(FinalResponse(200, answer.body, _forwarded_headers(answer.headers)))
                elif event.attempt in exchange.invalid_request_answers:
                    exchange.settle(exchange.invalid_request_answers[event.attempt])
            copy.decide(event, exchange)
            if exchange.final is not None:
                break
            event = await exchange.inbox.get()
    except asyncio.CancelledError:
        exchange.caller_left = True
        copy.decide(api.ClientLeft(exchange.number))
        copy.log("client_left", trace_id=asked.trace_id, after_ms=round(copy.clock.now_ms() - now_ms, 1))
        raise
    except Exception as error:
        copy.log("request_broke", trace_id=asked.trace_id, error=repr(error))
        if exchange.final is None:
            exchange.final = FinalResponse(BROKEN, b"failed\n")
            copy.happened(api.ClientLeft(exchange.number))
    finally:
        if exchange.caller_left or body.broken is not None:
            copy.tally.client_gone += exchange.taken_ms is not None
        elif exchange.final is not None:
            copy.tally.taken += exchange.taken_ms is None  # refused before its last byte arrived
            copy.tally.count_answer(exchange.category, exchange.final.status)
        exchange.cancel_deadline_timer()
        if exchange.body_released or exchange.streaming_attempt is not None:
            exchange.cancel_all_attempts()  # a partial message is useless
        del copy.open[exchange.number]
        copy.open_trace_ids.remove(asked.trace_id)
        while not exchange.inbox.empty():  # events that arrived during the last decision
            if not isinstance(late_event := exchange.inbox.get_nowait(), LastWord):
                copy.happened(late_event)
    final = exchange.final
    assert final is not None
    if not body.whole and body.broken is None:
        await exchange.wait_for_attempts()
        body.linger()
    copy.log(
        "answered",
        trace_id=asked.trace_id,
        class_index=asked.class_index,
        status=final.status,
        total_ms=round(copy.clock.now_ms() - now_ms, 1),
        attempts=exchange.attempt_outcomes,
    )
    if exchange.response is not None:
        if final.status == 200:
            confirm_complete(request)
        elif request.transport is not None:
            request.transport.abort()  # tells the caller that the response is incomplete
        return exchange.response
    return web.Response(status=final.status, body=final.body, headers=final.headers)


def _forwarded_headers(headers: CIMultiDictProxy[str]) -> Mapping[str, str]:
    content_type = headers.get("Content-Type")
    return {"Content-Type": content_type} if content_type else {}
