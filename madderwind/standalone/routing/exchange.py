"""The life of one request, from the caller's last byte to the one final answer."""

from __future__ import annotations

import asyncio
import math
from collections.abc import AsyncIterator, Awaitable, Mapping

import msgspec
from aiohttp import HttpVersion11, web
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
from madderwind.transport.listening import CallersRequest
from madderwind.transport.unread import has_left
from madderwind.transport.upstreams import Answer

# The host's own last word comes this long after the deadline, if the module has said none by then: the rules
# leave it 50 ms and the settings' slack, and a loop that is late must not overtake the module's answer.
LAST_WORD_MS = 35.0
# A long body may take so long from its beginning to its last byte, and a caller of a long answer so long to
# make room for its next piece: either side may be slow, for seconds.
MOST_UPLOAD_MS, SLOWEST_READER_S = 120_000.0, 30.0


class Final(msgspec.Struct, frozen=True):
    """The final answer as it goes to the caller."""

    status: int
    body: bytes = b""
    headers: Mapping[str, str] = {}


class CallerGone(Exception):
    """The caller of a long answer has left, or takes nothing more."""


class Exchange:
    """One request that was taken: its happenings come through `inbox`, in order, to its own task."""

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
        # Its class as it came: new settings do not loosen what is under way.
        self.klass = copy.settings.classes[asked.class_index]
        self.most_attempts = copy.settings.max_attempts
        self.inbox: asyncio.Queue[api.Event | LastWord] = asyncio.Queue()
        self.attempts: list[asyncio.Task[None]] = []
        self.withdrawn: set[int] = set()
        self.trail: list[tuple[str, str, float]] = []  # each attempt's upstream, outcome and time
        self.answers: dict[int, Answer] = {}
        self.turned_away: dict[int, Final] = {}  # attempts that say that the request itself is at fault
        self.final: Final | None = None
        self.left = False
        self.taken_ms: float | None = None  # when its last byte came
        self.let_go = False  # the beginning of its body: it cannot be sent again
        self.written_ms: dict[int, float] = {}  # when each attempt's last byte was written
        self.may_have_run_ms: dict[int, float] = {}  # when those attempts were decided on
        self.passing: int | None = None  # the attempt whose answer passes on in pieces
        self.passing_ms = 0.0  # since when
        self.response: web.StreamResponse | None = None  # that answer
        self._last_word: asyncio.TimerHandle | None = None
        if body.whole:
            self.taken(now_ms)
        else:
            self.bind(now_ms + asked.wait_ms + MOST_UPLOAD_MS)

    @property
    def over(self) -> bool:
        """Whether nothing more may be sent for it."""
        return self.final is not None or self.left or self.passing is not None

    def taken(self, now_ms: float) -> None:
        """Its last byte has come: its time counts from here."""
        self.taken_ms = now_ms
        self.copy.tally.taken += 1
        self.bind(now_ms + self.asked.wait_ms)

    def bind(self, deadline_ms: float) -> None:
        """Its deadline, and the host's own last word if the module has said none by then."""
        self.deadline_ms = deadline_ms
        self.unbind()
        self._last_word = asyncio.get_running_loop().call_at(
            self.copy.clock.loop_time_s(deadline_ms + LAST_WORD_MS),
            self.inbox.put_nowait,
            LastWord.DEADLINE,
        )

    def unbind(self) -> None:
        if self._last_word is not None:
            self._last_word.cancel()

    # --- what the module asks for ---

    def carry_out(self, action: api.Action) -> None:
        """An action of the module for this request."""
        match action:
            case api.Send():
                self._send(action)
            case api.Refuse(_, retry_after_ms):
                self.settle(Final(REFUSED, b"refused\n", refusal_headers(retry_after_ms)))
            case api.Fail():
                timed_out = bool(self.trail) and self.trail[-1][1] == Outcome.TIMEOUT.value
                self.settle(Final(TIMED_OUT if timed_out else FAILED, b"failed\n"))
            case api.Cancel(_, attempt) if attempt < len(self.attempts):
                self.withdraw(attempt)

    def settle(self, final: Final) -> None:
        if self.copy.invariants.must(not self.over, "one_final_answer", trace_id=self.asked.trace_id):
            self.final = final

    def withdraw(self, attempt: int) -> None:
        self.withdrawn.add(attempt)
        self.attempts[attempt].cancel()

    def take_back(self, attempt: int) -> None:
        """As `withdraw`, but only where the request can be sent again whatever the attempt has done, and none
        of it passes on in pieces."""
        klass = self.klass
        again = klass.effect is Effect.SAFE or (klass.effect is Effect.KEYED and klass.group is Group.ALL)
        if again and self.body.whole and not self.over and attempt < len(self.attempts):
            self.withdraw(attempt)

    def withdraw_all(self) -> None:
        for number, task in enumerate(self.attempts):
            if not task.done():
                self.withdraw(number)

    async def ended(self) -> None:
        """Until no attempt is out any more, after all were withdrawn."""
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

    # --- one attempt ---

    async def _attempt(self, number: int, upstream: int, until_ms: float) -> None:
        """Ask the upstream once; its end goes to the request's task, or to the copy if that is over."""
        sent_ms = self.copy.clock.now_ms()
        report: tuple[float, ...] = ()
        name = self.copy.directory.name(upstream)
        known: Outcome | None = None
        self.copy.began(upstream, (self.number, number))
        try:
            known, report = await self._ask(number, upstream, until_ms, sent_ms)
            outcome = known
        except (asyncio.CancelledError, CallerGone) as error:
            outcome = Outcome.CANCELLED
            if isinstance(error, asyncio.CancelledError) and number not in self.withdrawn:
                raise
        except Exception as error:  # unsure how far it came, so it may have run
            self.copy.log("attempt_broke", trace_id=self.asked.trace_id, error=repr(error))
            outcome = Outcome.ERROR
        finally:
            if known is not None and known.never_ran:
                self.may_have_run_ms.pop(number, None)
            elapsed_ms = self.copy.clock.now_ms() - sent_ms
            self.copy.ended(upstream, (self.number, number), known, elapsed_ms)
        began_ms = self.written_ms.get(number, sent_ms) if self.body.is_long else sent_ms
        ended_ms = self.passing_ms if self.passing == number else self.copy.clock.now_ms()
        elapsed_ms = max(0.0, ended_ms - began_ms)  # from the last byte, and to the first, of what is long
        self.trail.append((name, outcome.value, round(elapsed_ms, 1)))
        done = self.final is not None or self.left
        beside = self.passing is not None and self.passing != number  # the other one's answer is the caller's
        over = done or self.passing == number or outcome is Outcome.OK or number in self.turned_away
        ended = api.AttemptEnded(
            self.number, over and not beside, number, outcome, upstream, elapsed_ms, report
        )
        if done or beside:
            self.copy.happened(ended)
        else:
            self.inbox.put_nowait(ended)

    async def _ask(
        self, number: int, upstream: int, until_ms: float, sent_ms: float
    ) -> tuple[Outcome, tuple[float, ...]]:
        copy, body = self.copy, self.body
        address = copy.directory.address(upstream)
        too_many = number >= min(copy.settings.max_attempts, self.most_attempts)
        if address is None or too_many or not self._may_write(upstream, until_ms):
            return Outcome.NOT_SENT, ()
        passage = _Passage(self, number, upstream)
        upload = None if body.whole else Upload(self._pieces(), body.length)
        left_ms = until_ms - sent_ms if upload is None else self.asked.wait_ms
        encoded = EncodedRequest(
            self.request.method,
            self.target,
            headers_onward(self.request.headers, left_ms, upload.length if upload is not None else None),
            body.held if upload is None else b"",
            lambda: self._writes(number, upstream, until_ms, sent_ms),
            self.klass.effect is not Effect.UNSAFE,
            lambda: self._written(number, encoded),
            upload,
            passage,
        )
        try:
            if upload is not None:
                await passage.take_room()
            answer = await copy.upstreams.ask(upstream, address, encoded, copy.clock.loop_time_s(until_ms))
        finally:
            passage.end()
        if body.broken is not None:
            self.turned_away[number] = Final(body.broken.status, f"{body.broken}\n".encode())
            return Outcome.NOT_SENT, ()
        if isinstance(answer, Outcome):
            return answer, ()
        if answer.status == BAD:
            # The request is at fault, and would be anywhere: no other attempt, and no mark on the upstream.
            self.turned_away[number] = Final(BAD, b"an upstream cannot use it\n")
            return Outcome.CANCELLED, ()
        outcome = outcome_of(answer.status, answer.headers)
        if outcome is Outcome.OK:
            self.answers[number] = answer
        elif outcome is Outcome.ERROR and answer.status != 500:
            copy.log("odd_status", upstream=copy.directory.name(upstream), status=answer.status)
        return outcome, copy.report(upstream, answer.headers.get(REPORT))

    def _may_write(self, upstream: int, until_ms: float) -> bool:
        """Whether the attempt may still be written: asked again when its connection is up."""
        now_ms = self.copy.clock.now_ms()
        return (
            not self.over
            and not self.let_go
            and now_ms < until_ms
            and now_ms < self._repeat_until_ms()
            and self.copy.directory.takes_new(upstream)
        )

    def _repeat_until_ms(self) -> float:
        """Guards against a repeat decided on within its class's window and written after it."""
        if self.klass.effect is not Effect.KEYED or not self.may_have_run_ms:
            return math.inf
        return min(self.may_have_run_ms.values()) + self.klass.window_ms

    def _writes(self, number: int, upstream: int, until_ms: float, sent_ms: float) -> bool:
        """Whether its first byte is written now. The one place for first attempts, further and second ones.

        Guards against work for a caller who has left where that is not yet read: behind bytes that nobody
        takes, in a queue, or in the moment between the decision and this one.
        """
        if not self._may_write(upstream, until_ms):
            return False
        if has_left(self.request.transport):
            if self.request.transport is not None:
                self.request.transport.abort()  # which ends the request as any other caller's leaving
            return False
        self.may_have_run_ms[number] = sent_ms
        return True

    # --- long messages ---

    async def _pieces(self) -> AsyncIterator[bytes]:
        """The body as it comes, for the one attempt that gets it."""
        if self.let_go:
            raise RuntimeError("the body's beginning is let go")
        self.let_go = True
        self.copy.happened(api.BodyPassing(self.number, float("inf")))
        async for part in self.body.rest():
            yield part

    def _written(self, number: int, encoded: EncodedRequest) -> None:
        """The attempt's last byte is written."""
        self.copy.tally.tried()
        self.written_ms[number] = self.copy.clock.now_ms()
        if encoded.upload is None or self.final is not None or self.left:
            return
        self.taken(self.copy.clock.now_ms())
        self.copy.happened(api.BodyPassing(self.number, self.deadline_ms))
        if encoded.limit is not None and self.passing is None:
            encoded.limit.reschedule(self.copy.clock.loop_time_s(self.deadline_ms))


class _Passage:
    """One attempt's long answer on its way to the caller, a piece at a time.

    An attempt has room for passing messages on once: the same for its body and its answer.
    """

    def __init__(self, exchange: Exchange, number: int, upstream: int) -> None:
        self._exchange, self._number, self._upstream = exchange, number, upstream
        self._began_ms = exchange.copy.clock.now_ms()
        self._has_room = False

    async def take_room(self) -> None:
        """Guards against a standstill: who has room for the body does not wait for more with the answer."""
        if not self._has_room:
            await self._exchange.copy.budgets.passing.wait_for(PASSING)
            self._has_room = True

    async def begin(self, headers: CIMultiDictProxy[str], length: int | None) -> bool:
        exchange, copy = self._exchange, self._exchange.copy
        if exchange.over:
            return False
        first_ms = copy.clock.now_ms()
        await self.take_room()
        if exchange.over:
            return False
        exchange.passing, exchange.passing_ms = self._number, first_ms
        exchange.unbind()
        exchange.body.end()  # it is sent to nobody any more
        elapsed_ms = first_ms - self._began_ms
        copy.happened(api.AnswerBegan(exchange.number, self._number, self._upstream, elapsed_ms))
        response = exchange.response = web.StreamResponse(status=200, headers=_kept(headers))
        if length is not None:
            response.content_length = length
        elif exchange.request.version >= HttpVersion11:
            response.enable_chunked_encoding()
        if isinstance(exchange.request, CallersRequest) and exchange.request.is_last():
            response.force_close()
        await self._within_reason(response.prepare(exchange.request))
        return True

    async def write(self, part: bytes) -> None:
        response = self._exchange.response
        assert response is not None
        await self._within_reason(response.write(part))

    async def _within_reason(self, writing: Awaitable[object]) -> None:
        """Guards against callers that never take their answer, and against blaming the upstream for them."""
        try:
            async with asyncio.timeout(SLOWEST_READER_S):
                await writing
        except (ConnectionError, TimeoutError):
            raise CallerGone from None

    def end(self) -> None:
        if self._has_room:
            self._exchange.copy.budgets.passing.give_back(PASSING)
            self._has_room = False


async def serve(copy: Copy, request: web.BaseRequest) -> web.StreamResponse:
    """One request's life, top to bottom."""
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
        if asked.trace_id in copy.open_ids:
            raise BadRequest(f"{TRACE_ID} of a request that is open")  # it would be a second copy of that one
    except (BadBody, BadRequest) as error:
        status = error.status if isinstance(error, BadBody) else 400
        copy.log_sparingly(
            "bad_request", status=status, reason=str(error), target=request._message.path[:120]
        )
        response = web.Response(status=status, text=f"{error}\n")
        response.force_close()  # who sends such things sends more of them
        return response
    if asked.odd_props is not None:
        copy.log_sparingly("odd_props", trace_id=asked.trace_id, part=asked.odd_props)
    exchange = Exchange(copy, copy.next_number(), asked, request, target, body, now_ms)
    copy.open[exchange.number] = exchange
    copy.open_ids.add(asked.trace_id)
    try:
        happening: api.Event | LastWord = api.RequestArrived(
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
            if isinstance(happening, LastWord):
                if exchange.passing is not None:  # an answer that has begun is its own last word
                    happening = await exchange.inbox.get()
                    continue
                in_time = happening is not LastWord.DEADLINE or exchange.taken_ms is None
                copy.invariants.must(in_time, "answered_in_time", trace_id=asked.trace_id)
                exchange.settle(Final(TIMED_OUT, b"failed\n"))
                copy.decide(api.ClientLeft(exchange.number))
                break
            if isinstance(happening, api.AttemptEnded):
                if happening.attempt == exchange.passing:
                    served = happening.outcome is Outcome.OK
                    exchange.final = Final(200 if served else FAILED)
                elif happening.outcome is Outcome.OK:
                    # The first whole answer is the caller's at once; the module is told that it is over.
                    answer = exchange.answers[happening.attempt]
                    exchange.settle(Final(200, answer.body, _kept(answer.headers)))
                elif happening.attempt in exchange.turned_away:
                    exchange.settle(exchange.turned_away[happening.attempt])
            copy.decide(happening, exchange)
            if exchange.final is not None:
                break
            happening = await exchange.inbox.get()
    except asyncio.CancelledError:
        exchange.left = True
        copy.decide(api.ClientLeft(exchange.number))
        copy.log("client_left", trace_id=asked.trace_id, after_ms=round(copy.clock.now_ms() - now_ms, 1))
        raise
    except Exception as error:
        copy.log("request_broke", trace_id=asked.trace_id, error=repr(error))
        if exchange.final is None:
            exchange.final = Final(BROKEN, b"failed\n")
            copy.happened(api.ClientLeft(exchange.number))
    finally:
        if exchange.left or body.broken is not None:
            copy.tally.client_gone += exchange.taken_ms is not None
        elif exchange.final is not None:
            copy.tally.taken += exchange.taken_ms is None  # refused before its last byte came
            copy.tally.answered(exchange.category, exchange.final.status)
        exchange.unbind()
        if exchange.let_go or exchange.passing is not None:
            exchange.withdraw_all()  # half a message is of no use to anybody
        del copy.open[exchange.number]
        copy.open_ids.remove(asked.trace_id)
        while not exchange.inbox.empty():  # what came while the last decision was carried out
            if not isinstance(late := exchange.inbox.get_nowait(), LastWord):
                copy.happened(late)
    final = exchange.final
    assert final is not None
    if not body.whole and body.broken is None:
        await exchange.ended()
        body.linger()
    copy.log(
        "answered",
        trace_id=asked.trace_id,
        class_index=asked.class_index,
        status=final.status,
        total_ms=round(copy.clock.now_ms() - now_ms, 1),
        attempts=exchange.trail,
    )
    if exchange.response is not None:
        if final.status != 200 and request.transport is not None:
            request.transport.abort()  # so that the caller can tell that the answer is not whole
        return exchange.response
    return web.Response(status=final.status, body=final.body, headers=final.headers)


def _kept(headers: CIMultiDictProxy[str]) -> Mapping[str, str]:
    kind = headers.get("Content-Type")
    return {"Content-Type": kind} if kind else {}
