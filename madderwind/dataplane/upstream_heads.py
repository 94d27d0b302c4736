"""What the head of an upstream's answer says: whether it is this request's answer, a refusal, or neither."""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum

REQUEST_ID = "X-Request-Id"
SIGNATURE = "X-Upstream-Signature"
NOT_EXECUTED = "X-Not-Executed"
INSTANCE = "X-Upstream-Instance"

MISDIRECTED_STATUS = 421
LOWEST_FINAL_STATUS, HIGHEST_STATUS = 200, 599
# Statuses that promise a client that its request has not run.
PROMISES = frozenset((408, MISDIRECTED_STATUS, 429, 503))


class Head(Enum):
    """How the head of an answer is taken."""

    ANSWER = "answer"  # the upstream's answer, whatever its status
    REFUSAL = "refusal"  # it did not run the request
    MISDIRECTED = "misdirected"  # it is another instance, and did not run the request
    UNPROVEN = "unproven"  # a promise without its proof
    FOREIGN = "foreign"  # of another request
    UNUSABLE = "unusable"  # not the upstream's bytes

    @property
    def is_to_this_request(self) -> bool:
        """Whether the connection that brought it may be trusted with another request."""
        return self not in (Head.FOREIGN, Head.UNUSABLE)


def read_head(request_id: str | None, status: int, headers: Mapping[str, str]) -> Head:
    """How to take an answer to a request of this id.

    Guards against an extra answer that lies where the next one is expected: the echoed id tells it, also
    where the request has none of its own.
    """
    echoed = headers.get(REQUEST_ID)
    if echoed is not None and echoed != (request_id or ""):
        return Head.FOREIGN
    if status == MISDIRECTED_STATUS:
        return Head.MISDIRECTED
    if status in PROMISES:
        return Head.REFUSAL if NOT_EXECUTED in headers else Head.UNPROVEN
    if request_id is not None and echoed is None and status < 400:
        return Head.FOREIGN
    if headers.get("Content-Encoding", "identity").lower() != "identity":
        return Head.UNUSABLE
    if not LOWEST_FINAL_STATUS <= status <= HIGHEST_STATUS:
        return Head.UNUSABLE
    if status < 300 and SIGNATURE not in headers:
        return Head.UNUSABLE
    return Head.ANSWER


def tells_its_end(headers: Mapping[str, str]) -> bool:
    """Whether an answer's head says how its end is known; else only the connection's end tells it.

    Guards against an upstream that ended within an event: its system closes its connections in good command.
    """
    return "Content-Length" in headers or "Transfer-Encoding" in headers
