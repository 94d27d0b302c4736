"""The oracle of the fuzzer of answers: whose answer is this, how often did the request run, is it whole."""

from __future__ import annotations

import attrs

from tests.dataplane.answer_scripts import EVENTS, Ask, Framing, Owner, Reply, Turn
from tests.dataplane.fleet import event
from tests.standins import Message

PROMISES = frozenset((408, 421, 429, 503))
MOST_ARRIVALS = 2
# What may still come up to an upstream after its client has left.
LEFT_SLACK_S = 0.5
# 408 where a body does not come whole in time.
OWN_FAILURES = frozenset((408, 502, 503, 504))


class Broken(AssertionError):
    """Something happened that must not."""


@attrs.define
class Request:
    """A client's request, and all that became of it."""

    number: int
    ask: Ask
    arrivals: int = 0
    runs: int = 0
    said: list[Said] = attrs.Factory(list)
    turns: list[Turn] = attrs.Factory(list)
    got: Message | None = None
    left_s: float | None = None

    @property
    def path(self) -> str:
        """It tells requests apart, also those without an id."""
        return f"/{self.ask.route.value}/{self.number}"

    @property
    def request_id(self) -> str | None:
        """What the client sends as such."""
        return f"r-{self.number}" if self.ask.has_id else None

    @property
    def body(self) -> bytes:
        """Different in every place, with what could pass for another request."""
        inner = f"POST /unsafe/smuggled-{self.number} HTTP/1.1\r\nX-Request-Id: smuggled\r\n\r\n".encode()
        return (inner * (self.ask.size // len(inner) + 1))[: self.ask.size]


@attrs.frozen
class Said:
    """A reply as an upstream said it; `body` is what the client has of it, with what came before the event
    after which a stream was taken up."""

    reply: Reply
    body: bytes
    is_whole: bool


def is_stream(request: Request, reply: Reply) -> bool:
    """Whether a reply's body is made of events."""
    return request.ask.route.is_stream and reply.status == 200


def events(request: Request, first: int, last: int) -> bytes:
    """Events of the stream that answers this request."""
    return b"".join(event(number, f"{request.number}-") for number in range(first, last + 1))


def reply_body(request: Request, reply: Reply, last_event: int) -> bytes:
    """The body of a reply to this request; of a stream, what follows the event that is known."""
    if is_stream(request, reply):
        return events(request, last_event + 1, EVENTS)
    mark = f"{request.number}/{request.arrivals}/{reply.owner.value};".encode()
    return (mark * (reply.size // len(mark) + 1))[: reply.size]


def said(request: Request, reply: Reply, last_event: int, part: bytes, is_ended: bool) -> Said:
    """What an upstream said of a reply's body. `is_ended`: it ended the connection in good command after it.

    Where only the connection's end tells that an answer is whole, an upstream that ended is taken at its
    word, but for half an event.
    """
    body = reply_body(request, reply, last_event)
    is_whole = part == body
    if reply.framing is Framing.CLOSE:
        is_whole = is_ended and (
            not is_stream(request, reply) or part in (b"", body) or part.endswith(b"\n\n")
        )
    known = events(request, 1, last_event) if is_stream(request, reply) else b""
    return Said(reply, known + part, is_whole)


class Oracle:
    """Keeps the book, and raises Broken."""

    def __init__(self) -> None:
        self.requests: list[Request] = []

    def asked(self, ask: Ask) -> Request:
        """A client sends a request."""
        request = Request(len(self.requests), ask)
        self.requests.append(request)
        return request

    def arrived(self, now_s: float, start: str, request_id: str | None) -> Request:
        """The head of a request is at an upstream."""
        for request in self.requests:
            if start == f"POST {request.path} HTTP/1.1":
                break
        else:
            raise Broken(f"nobody asked {start!r}")
        _must(request.request_id == request_id, f"{start} arrived with the id {request_id!r}")
        request.arrivals += 1
        _must(request.arrivals <= MOST_ARRIVALS, f"{request.path} was sent too often")
        if request.left_s is not None:
            _must(now_s - request.left_s <= LEFT_SLACK_S, f"{request.path} was sent after its client left")
        return request

    def body_came(self, request: Request, body: bytes, is_whole: bool) -> None:
        """The upstream read this where the body of the request is due."""
        due = request.body if is_whole else request.body[: len(body)]
        _must(body == due, f"other bytes where the body of {request.path} is due")

    def ran(self, request: Request) -> None:
        """An upstream began work on it."""
        request.runs += 1
        may_repeat = request.ask.route.is_idempotent
        _must(may_repeat or request.runs == 1, f"{request.path} ran {request.runs} times")

    def answered(self, request: Request, got: Message) -> None:
        """A client has a whole answer in the place of the one to this request."""
        request.got = got
        if 200 <= got.status < 300 or got.header("X-Upstream-Signature") is not None:
            _must(
                any(_is(request, known, got) for known in request.said),
                f"{request.path} got {got.start} {got.body!r:.80}",
            )
            _must(
                got.header("X-Upstream-Signature") is not None, f"{request.path}: a success without signature"
            )
        elif got.status not in OWN_FAILURES:
            statuses = {known.reply.status for known in request.said}
            _must(got.status in statuses, f"{request.path} got {got.start}")

    def finish(self, is_foretold: bool) -> None:
        """Nothing happens any more: promises are kept, and what went well has come.

        `is_foretold`: nothing was said so late that it could come in the place of another request's answer.
        """
        for request in self.requests:
            got = request.got
            if got is not None and got.status in PROMISES:
                _must(not request.runs, f"{request.path} ran, and got {got.status}")
            went_well = bool(request.turns) and all(turn.is_good for turn in request.turns)
            if is_foretold and went_well and request.left_s is None:
                _must(got is not None and got.status == 200, f"{request.path} was served, and got {got}")


def _is(request: Request, known: Said, got: Message) -> bool:
    """Whether a client may have got this reply."""
    reply = known.reply
    is_own = reply.owner is Owner.OWN or (
        reply.owner is Owner.NONE and (not request.ask.has_id or reply.status >= 400)
    )
    if not is_own or reply.is_encoded or not known.is_whole:
        return False
    return reply.status == got.status and known.body == got.body


def _must(holds: bool, what: str) -> None:
    if not holds:
        raise Broken(what)
