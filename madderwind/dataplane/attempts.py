"""The attempts made for one request, and the rules on retrying it and on reporting it as not executed."""

from __future__ import annotations

from enum import Enum

import msgspec


class AttemptResult(Enum):
    """How one attempt at an upstream ended."""

    NOT_SENT = "not sent"  # no byte of the request was written
    REFUSED_FULL = "refused full"  # the upstream states that it did not execute the request
    MISDIRECTED = "misdirected"  # another instance has the address and did not execute the request
    BROKEN = "broken"  # reset, malformed response or another request's response: may have been executed
    TIMED_OUT = "timed out"  # no complete response in time: may have been executed
    COMPLETE = "complete"  # the client received the upstream's complete response

    @property
    def has_not_run(self) -> bool:
        """Whether the upstream certainly did not execute the request and never will."""
        return self in (AttemptResult.NOT_SENT, AttemptResult.REFUSED_FULL, AttemptResult.MISDIRECTED)


class Attempt(msgspec.Struct):
    """One attempt to send the request to an upstream.

    `was_sent` is set as soon as the request is cleared for writing; `result` is None while the attempt runs.
    `discarded_bytes` is the size of an incomplete event that was dropped when its response broke off.
    """

    instance: str
    was_sent: bool = False
    result: AttemptResult | None = None
    discarded_bytes: int = 0

    @property
    def has_left(self) -> bool:
        """Whether any byte of the request may have reached the upstream."""
        return self.was_sent and self.result is not AttemptResult.NOT_SENT

    @property
    def may_have_run(self) -> bool:
        """Whether the upstream may have executed the request; assumed while the result is unknown."""
        return self.was_sent and (self.result is None or not self.result.has_not_run)


class Progress:
    """The attempts of one request.

    `is_idempotent`: the request may be executed more than once. `is_resumable`: a truncated response may
    continue from another upstream.
    """

    __slots__ = ("answer_begun", "attempts", "is_idempotent", "is_resumable", "max_attempts")

    def __init__(self, is_idempotent: bool, is_resumable: bool, max_attempts: int) -> None:
        self.is_idempotent, self.is_resumable, self.max_attempts = is_idempotent, is_resumable, max_attempts
        self.attempts: list[Attempt] = []
        self.answer_begun = False  # whether the client has received part of a response

    @property
    def arrivals(self) -> int:
        """The number of attempts that may have reached an upstream."""
        return sum(attempt.has_left for attempt in self.attempts)

    @property
    def tried(self) -> frozenset[str]:
        """The upstreams of all attempts so far."""
        return frozenset(attempt.instance for attempt in self.attempts)


def may_be_sent_again(progress: Progress) -> bool:
    """Whether the request can safely be sent once more. No other code decides this."""
    if progress.arrivals >= progress.max_attempts:
        return False
    if progress.answer_begun and not progress.is_resumable:
        return False
    return progress.is_idempotent or not any(attempt.may_have_run for attempt in progress.attempts)


def may_promise(progress: Progress) -> bool:
    """Whether the client may be told that the request was not executed and never will be.

    No other code decides this.
    """
    return not progress.answer_begun and not any(attempt.may_have_run for attempt in progress.attempts)
