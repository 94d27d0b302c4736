"""The oracle of the response fuzzer: checks whose a response is, its completeness, and executions."""

from __future__ import annotations

import attrs

from tests.dataplane.answer_scripts import EVENT_COUNT, Framing, Owner, Reply, RequestSpec, Turn
from tests.dataplane.fleet import event
from tests.standins import Message

UNEXECUTED_STATUSES = frozenset((408, 421, 429, 503))
MAX_ARRIVALS = 2
# How long after a client's disconnect its request may still arrive at an upstream.
DISCONNECT_SLACK_S = 0.5
# 408 is for a body that is not received completely in time.
DATA_PLANE_FAILURES = frozenset((408, 502, 503, 504))


class Broken(AssertionError):
    """A rule of the oracle was violated."""


@attrs.define
class Request:
    """A client's request and its outcome."""

    number: int
    spec: RequestSpec
    arrivals: int = 0
    runs: int = 0
    sent_replies: list[SentReply] = attrs.Factory(list)
    turns: list[Turn] = attrs.Factory(list)
    response: Message | None = None
    disconnected_s: float | None = None

    @property
    def path(self) -> str:
        """Identifies the request, even one without an ID."""
        return f"/{self.spec.route.value}/{self.number}"

    @property
    def request_id(self) -> str | None:
        """The request ID that the client sends."""
        return f"r-{self.number}" if self.spec.has_id else None

    @property
    def body(self) -> bytes:
        """A body that differs at every offset and contains what could pass for another request."""
        inner = f"POST /unsafe/smuggled-{self.number} HTTP/1.1\r\nX-Request-Id: smuggled\r\n\r\n".encode()
        return (inner * (self.spec.size // len(inner) + 1))[: self.spec.size]


@attrs.frozen
class SentReply:
    """A reply as an upstream sent it.

    `body` is what the client has received: for a resumed stream, it includes the events before the
    resumption.
    """

    reply: Reply
    body: bytes
    is_complete: bool


def is_stream(request: Request, reply: Reply) -> bool:
    """Whether a reply's body is a stream of events."""
    return request.spec.route.is_stream and reply.status == 200


def events(request: Request, first: int, last: int) -> bytes:
    """The given events of the stream that answers this request."""
    return b"".join(event(number, f"{request.number}-") for number in range(first, last + 1))


def reply_body(request: Request, reply: Reply, last_event: int) -> bytes:
    """The body of a reply to this request; for a stream, the events that the client does not have yet."""
    if is_stream(request, reply):
        return events(request, last_event + 1, EVENT_COUNT)
    marker = f"{request.number}/{request.arrivals}/{reply.owner.value};".encode()
    return (marker * (reply.size // len(marker) + 1))[: reply.size]


def sent_reply(request: Request, reply: Reply, last_event: int, part: bytes, is_ended: bool) -> SentReply:
    """The reply of which an upstream sent `part`.

    `is_ended`: the upstream then closed the connection cleanly.

    If only the connection's end delimits the response, an upstream's clean close counts as its end, except
    within an event.
    """
    body = reply_body(request, reply, last_event)
    is_complete = part == body
    if reply.framing is Framing.CLOSE:
        is_complete = is_ended and (
            not is_stream(request, reply) or part in (b"", body) or part.endswith(b"\n\n")
        )
    known = events(request, 1, last_event) if is_stream(request, reply) else b""
    return SentReply(reply, known + part, is_complete)


class Oracle:
    """Records what happens, and raises Broken."""

    def __init__(self) -> None:
        self.requests: list[Request] = []

    def request_sent(self, spec: RequestSpec) -> Request:
        """Record that a client sends a request."""
        request = Request(len(self.requests), spec)
        self.requests.append(request)
        return request

    def request_arrived(self, now_s: float, start: str, request_id: str | None) -> Request:
        """Record that the head of a request arrived at an upstream."""
        for request in self.requests:
            if start == f"POST {request.path} HTTP/1.1":
                break
        else:
            raise Broken(f"an upstream received an unknown request: {start!r}")
        _require(request.request_id == request_id, f"{start} arrived with the request ID {request_id!r}")
        request.arrivals += 1
        _require(request.arrivals <= MAX_ARRIVALS, f"{request.path} was sent too often")
        if request.disconnected_s is not None:
            _require(
                now_s - request.disconnected_s <= DISCONNECT_SLACK_S,
                f"{request.path} was sent after its client disconnected",
            )
        return request

    def body_received(self, request: Request, body: bytes, is_complete: bool) -> None:
        """Check the bytes that an upstream received as the body of the request."""
        expected = request.body if is_complete else request.body[: len(body)]
        _require(body == expected, f"the body of {request.path} was changed")

    def request_started(self, request: Request) -> None:
        """Record that an upstream started to execute the request."""
        request.runs += 1
        may_repeat = request.spec.route.is_idempotent
        _require(may_repeat or request.runs == 1, f"{request.path} ran {request.runs} times")

    def response_received(self, request: Request, got: Message) -> None:
        """Check the complete response that a client received for this request."""
        request.response = got
        if 200 <= got.status < 300 or got.header("X-Upstream-Signature") is not None:
            _require(
                any(_matches(request, known, got) for known in request.sent_replies),
                f"{request.path} got {got.start} {got.body!r:.80}",
            )
            _require(
                got.header("X-Upstream-Signature") is not None,
                f"{request.path}: a success without a signature",
            )
        elif got.status not in DATA_PLANE_FAILURES:
            statuses = {known.reply.status for known in request.sent_replies}
            _require(got.status in statuses, f"{request.path} got {got.start}")

    def finish(self, is_predictable: bool) -> None:
        """Check after the run that requests reported as unexecuted never ran and successes were delivered.

        `is_predictable`: nothing was sent so late that it could take the place of another request's response.
        """
        for request in self.requests:
            got = request.response
            if got is not None and got.status in UNEXECUTED_STATUSES:
                _require(not request.runs, f"{request.path} ran, but got {got.status}")
            must_succeed = bool(request.turns) and all(turn.must_succeed for turn in request.turns)
            if is_predictable and must_succeed and request.disconnected_s is None:
                _require(got is not None and got.status == 200, f"{request.path} was served, but got {got}")


def _matches(request: Request, known: SentReply, got: Message) -> bool:
    """Whether the response may come from this reply."""
    reply = known.reply
    is_own = reply.owner is Owner.OWN or (
        reply.owner is Owner.NONE and (not request.spec.has_id or reply.status >= 400)
    )
    if not is_own or reply.is_encoded or not known.is_complete:
        return False
    return reply.status == got.status and known.body == got.body


def _require(condition: bool, message: str) -> None:
    if not condition:
        raise Broken(message)
