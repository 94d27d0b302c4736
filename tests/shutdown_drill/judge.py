"""The rules of a planned shutdown, as clients, upstreams and the platform see them. No I/O."""

from __future__ import annotations

import signal
from collections import Counter
from collections.abc import Iterator

import msgspec

from tests.shutdown_drill.clients import Sent
from tests.shutdown_drill.plans import STREAM_ROUTES, Step

OK = 200
# Statuses by which a client may send a request again, as it never ran.
PROMISES = (408, 421, 429, 503)
# A request written so long before the signal has been read when it comes.
READ_WITHIN_S = 0.2
# A stream may be cut only at the end of the grace period: what is left of it then.
CUT_SHARE = 0.5
# How a process ends that outlasts its grace period: the platform kills it.
KILLED = -signal.SIGKILL
# The time for its own end that a process keeps behind its last answer.
MAX_END_S = 0.7
IDEMPOTENT_ROUTES = ("safe", "resumable")


class Round(msgspec.Struct):
    """What one life of a data plane showed. Times are on the loop's clock."""

    seed: int
    grace_s: float
    signal_s: float
    exit_s: float
    exit_code: int
    sent: list[Sent]
    arrivals: Counter[str]
    runs: Counter[str]


def violations(played: Round) -> Iterator[str]:
    """Each rule that the round broke."""
    if played.exit_code not in (0, KILLED):
        yield f"the process ended with {played.exit_code}"
    last_end_s = max((sent.ended_s for sent in played.sent), default=played.signal_s)
    if played.exit_code == KILLED and played.exit_s - last_end_s > MAX_END_S:
        yield f"the process did not end by itself within its grace period of {played.grace_s} s"
    for sent in played.sent:
        for text in _violations_of(sent, played):
            yield f"{sent.request_id} {sent.plan}: {text}; {_account(sent, played)}"


def waited_at_the_signal(sent: Sent, played: Round) -> bool:
    """Whether the request was under way when the signal came."""
    return sent.whole_s is not None and sent.whole_s <= played.signal_s < sent.ended_s


def _violations_of(sent: Sent, played: Round) -> Iterator[str]:
    runs = played.runs[sent.request_id]
    if runs > 1 and sent.plan.route not in IDEMPOTENT_ROUTES:
        yield f"ran {runs} times"
    if runs and sent.status in PROMISES and sent.plan.route not in IDEMPOTENT_ROUTES:
        yield f"ran, and its client was promised the contrary by a {sent.status}"
    if sent.status == OK and not runs:
        yield "was answered as served and never ran"
    if not sent.status and _was_read(sent, played):
        yield "got no answer"
    if sent.status and not sent.is_complete and not _may_be_cut(sent, played):
        yield "its answer was cut"


def _was_read(sent: Sent, played: Round) -> bool:
    """Whether the process certainly read the request whole."""
    if played.arrivals[sent.request_id]:
        return True
    return sent.whole_s is not None and sent.whole_s < played.signal_s - READ_WITHIN_S


def _may_be_cut(sent: Sent, played: Round) -> bool:
    """Whether an answer may end early: its upstream broke off, or the process had no time left for it."""
    is_stream = sent.plan.route in STREAM_ROUTES
    broke_off = any(step in (Step.BREAK_OFF, Step.RESET, Step.HANG) for step in sent.plan.steps)
    ends_late = sent.ended_s >= played.signal_s + CUT_SHARE * played.grace_s
    return is_stream and (broke_off or ends_late)


def _account(sent: Sent, played: Round) -> str:
    whole = "never whole" if sent.whole_s is None else f"whole {sent.whole_s - played.signal_s:+.3f} s"
    return (
        f"{whole}, ended {sent.ended_s - played.signal_s:+.3f} s from the signal, status {sent.status},"
        f" arrived {played.arrivals[sent.request_id]} times, ran {played.runs[sent.request_id]} times,"
        f" grace period {played.grace_s} s"
    )
