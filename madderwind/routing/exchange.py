"""The life of one request, from the caller's last byte to the one final answer."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from enum import Enum

import msgspec
from aiohttp import web
from multidict import CIMultiDictProxy

from madderwind.policy import api
from madderwind.policy.api import Effect, Outcome
from madderwind.protocol.answers import (
    BAD,
    BROKEN,
    FAILED,
    REFUSED,
    REPORT,
    TIMED_OUT,
    outcome_of,
    refusal_headers,
)
from madderwind.protocol.requests import TRACE_ID, Asked, BadRequest, headers_onward
from madderwind.routing.copy import Copy
from madderwind.transport.listening import BadBody, whole_body
from madderwind.transport.upstreams import Answer, Letter

# The host's own last word comes this long after the deadline, if the module has said none by then: the rules
# leave it 50 ms and the settings' slack, and a loop that is late must not overtake the module's answer.
LAST_WORD_MS = 35.0
# A caller has this long for a body: it sends at once, and is owed an error within 3 s of connecting.
READ_S = 2.0


class LastWord(Enum):
    """Why the host ends a request itself, with an answer that promises nothing."""

    DEADLINE = "the module said nothing in time"
    ENDING = "this balancer ends"


class Final(msgspec.Struct, frozen=True):
    """The final answer as it goes to the caller."""

    status: int
    body: bytes = b""
    headers: Mapping[str, str] = {}


class Exchange:
    """One request that was taken: its happenings come through `inbox`, in order, to its own task."""

    def __init__(
        self,
        copy: Copy,
        number: int,
        asked: Asked,
        letter: tuple[str, str, CIMultiDictProxy[str], bytes],
        now_ms: float,
    ) -> None:
        self.copy, self.number, self.asked = copy, number, asked
        self.method, self.target, self.headers, self.body = letter
        self.deadline_ms = now_ms + asked.wait_ms
        self.category = copy.host.class_names[asked.class_index]
        # Its class as it came: new settings do not loosen what is under way.
        self.klass = copy.settings.classes[asked.class_index]
        self.inbox: asyncio.Queue[api.Event | LastWord] = asyncio.Queue()
        self.attempts: list[asyncio.Task[None]] = []
        self.withdrawn: set[int] = set()
        self.trail: list[tuple[str, str, float]] = []  # each attempt's upstream, outcome and time
        self.answers: dict[int, Answer] = {}
        self.turned_away: set[int] = set()
        self.final: Final | None = None
        self.left = False

    @property
    def over(self) -> bool:
        return self.final is not None or self.left

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
                self.withdrawn.add(attempt)
                self.attempts[attempt].cancel()

    def settle(self, final: Final) -> None:
        if self.copy.invariants.must(not self.over, "one_final_answer", trace_id=self.asked.trace_id):
            self.final = final

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
        self.copy.directory.began(upstream)
        try:
            outcome, report = await self._ask(number, upstream, until_ms, sent_ms)
        except asyncio.CancelledError:
            outcome = Outcome.CANCELLED
            if number not in self.withdrawn:
                raise
        except Exception as error:  # unsure how far it came, so it may have run
            self.copy.log("attempt_broke", trace_id=self.asked.trace_id, error=repr(error))
            outcome = Outcome.ERROR
        finally:
            self.copy.directory.ended(upstream)
        elapsed_ms = self.copy.clock.now_ms() - sent_ms
        self.trail.append((name, outcome.value, round(elapsed_ms, 1)))
        over = self.over or outcome is Outcome.OK or number in self.turned_away
        ended = api.AttemptEnded(self.number, over, number, outcome, upstream, elapsed_ms, report)
        if self.over:
            self.copy.happened(ended)
        else:
            self.inbox.put_nowait(ended)

    async def _ask(
        self, number: int, upstream: int, until_ms: float, sent_ms: float
    ) -> tuple[Outcome, tuple[float, ...]]:
        copy = self.copy
        address = copy.directory.address(upstream)
        if address is None or number >= copy.settings.max_attempts or not self._may_write(upstream, until_ms):
            return Outcome.NOT_SENT, ()
        letter = Letter(
            self.method,
            self.target,
            headers_onward(self.headers, until_ms - sent_ms),
            self.body,
            lambda: self._may_write(upstream, until_ms),
            self.klass.effect is not Effect.UNSAFE,
            copy.tally.tried,
        )
        answer = await copy.upstreams.ask(upstream, address, letter, copy.clock.loop_time_s(until_ms))
        if isinstance(answer, Outcome):
            return answer, ()
        if answer.status == BAD:
            # The request is at fault, and would be anywhere: no other attempt, and no mark on the upstream.
            self.turned_away.add(number)
            return Outcome.CANCELLED, ()
        outcome = outcome_of(answer.status, answer.headers)
        if outcome is Outcome.OK:
            self.answers[number] = answer
        elif outcome is Outcome.ERROR and answer.status != 500:
            copy.log("odd_status", upstream=copy.directory.name(upstream), status=answer.status)
        return outcome, copy.report(upstream, answer.headers.get(REPORT))

    def _may_write(self, upstream: int, until_ms: float) -> bool:
        """Whether the attempt may still be written: asked again when its connection is up."""
        return (
            not self.over and self.copy.clock.now_ms() < until_ms and self.copy.directory.takes_new(upstream)
        )


async def serve(copy: Copy, request: web.BaseRequest) -> web.Response:
    """One request's life, top to bottom."""
    try:
        body = await whole_body(request, READ_S)
        now_ms = copy.clock.now_ms()  # its time counts from its last byte
        target = request._message.path
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
    exchange = Exchange(
        copy, copy.next_number(), asked, (request.method, target, request.headers, body), now_ms
    )
    copy.tally.taken += 1
    copy.open[exchange.number] = exchange
    copy.open_ids.add(asked.trace_id)
    last_word = asyncio.get_running_loop().call_at(
        copy.clock.loop_time_s(exchange.deadline_ms + LAST_WORD_MS),
        exchange.inbox.put_nowait,
        LastWord.DEADLINE,
    )
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
                in_time = happening is not LastWord.DEADLINE
                copy.invariants.must(in_time, "answered_in_time", trace_id=asked.trace_id)
                exchange.settle(Final(TIMED_OUT, b"failed\n"))
                copy.decide(api.ClientLeft(exchange.number))
                break
            if isinstance(happening, api.AttemptEnded) and happening.outcome is Outcome.OK:
                # The first whole answer is the caller's at once; the module is told that the request is over.
                answer = exchange.answers[happening.attempt]
                exchange.settle(Final(200, answer.body, _kept(answer)))
            elif isinstance(happening, api.AttemptEnded) and happening.attempt in exchange.turned_away:
                exchange.settle(Final(BAD, b"an upstream cannot use it\n"))
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
        if exchange.final is not None:
            copy.tally.answered(exchange.category, exchange.final.status)
        else:
            copy.tally.client_gone += 1
        last_word.cancel()
        del copy.open[exchange.number]
        copy.open_ids.remove(asked.trace_id)
        while not exchange.inbox.empty():  # what came while the last decision was carried out
            if not isinstance(late := exchange.inbox.get_nowait(), LastWord):
                copy.happened(late)
    final = exchange.final
    assert final is not None
    copy.log(
        "answered",
        trace_id=asked.trace_id,
        class_index=asked.class_index,
        status=final.status,
        total_ms=round(copy.clock.now_ms() - now_ms, 1),
        attempts=exchange.trail,
    )
    return web.Response(status=final.status, body=final.body, headers=final.headers)


def _kept(answer: Answer) -> Mapping[str, str]:
    kind = answer.headers.get("Content-Type")
    return {"Content-Type": kind} if kind else {}
