"""The verdict on a drill, from the traces of clients, upstreams, agents and relays, never from what the
program reports.

The simulation's checker checks the four rules. This module passes it the traced events in order of time, and
determines which requests are excused because a process was killed or paused. A break of rule 0 is a process
that exited without a signal, or with an error after SIGTERM.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable

from madderwind.standalone.policy.api import Outcome
from madderwind.testing.fault_tests.plan import Plan
from madderwind.testing.fault_tests.scenario import LinkFault
from madderwind.testing.fault_tests.traces import ENDLESS_MS, RequestTrace, Traces
from madderwind.testing.simulation.rules import Break, RuleChecker

# The most by which a recorded time lags behind its event. Two processes may differ by it for one event.
TOLERANCE_MS = 50.0
# A list update counts as received this much later while the link from discovery to the copy has a fault.
FAULTY_DISCOVERY_DELAY_MS = 6000.0
REFUSED = (429, 503)


class Excuses:
    """The times at which the drill killed or paused each copy's process."""

    def __init__(self, seen: Traces) -> None:
        self._kills: dict[int, list[float]] = defaultdict(list)
        self._pauses: dict[int, list[tuple[float, float]]] = defaultdict(list)
        for life in seen.lives:
            if life.what == "kill":
                self._kills[life.copy].append(life.at_ms)
            elif life.what == "pause":
                self._pauses[life.copy].append((life.at_ms, ENDLESS_MS))
            elif life.what == "continue" and self._pauses[life.copy]:
                self._pauses[life.copy][-1] = self._pauses[life.copy][-1][0], life.at_ms

    def excused(self, asked: RequestTrace, slack_ms: float) -> bool:
        """Whether its copy could not answer it in time because its process was killed or paused."""
        until_ms = min(asked.ended_ms, asked.deadline_ms + slack_ms) + TOLERANCE_MS
        killed = any(asked.written_ms - TOLERANCE_MS <= at <= until_ms for at in self._kills[asked.copy])
        pauses = self._pauses[asked.copy]
        return killed or any(begin <= until_ms and asked.written_ms <= end for begin, end in pauses)


def lost(plan: Plan, seen: Traces) -> list[RequestTrace]:
    """Requests that a copy accepted and never answered completely, without an excuse."""
    excuses, slack_ms = Excuses(seen), plan.scenario.rules.answer_slack_ms
    sent = {s.number for s in seen.sent}
    return [
        asked
        for asked in seen.asked
        if (asked.how in ("closed", "none") or (asked.how == "crossed" and asked.number in sent))
        and not excuses.excused(asked, slack_ms)
    ]


def judge(plan: Plan, seen: Traces) -> list[Break]:
    """All violations of the rules in the traces."""
    rules = plan.scenario.rules
    checker = RuleChecker(
        0.0,
        rules.answer_slack_ms,
        rules.drain_grace_ms + TOLERANCE_MS,
        rules.max_attempts,
        rules.second_copies,
    )
    violations: list[Break] = []
    events = _events(plan, seen, checker, violations)
    for _, _, call in sorted(events, key=lambda event: event[:2]):
        call()
    checker.finish(ENDLESS_MS / 2)
    return sorted(checker.broken + violations + _processes(seen), key=lambda b: (b.rule, b.at_ms))[
        : RuleChecker.MOST
    ]


Event = tuple[float, int, Callable[[], None]]


def _events(plan: Plan, seen: Traces, checker: RuleChecker, violations: list[Break]) -> list[Event]:
    scenario, excuses = plan.scenario, Excuses(seen)
    slack_ms = scenario.rules.answer_slack_ms
    events: list[Event] = []

    def at(order_ms: float, call: Callable[[], None]) -> None:
        events.append((order_ms, len(events), call))

    served = {(ran.number, ran.upstream) for ran in seen.ran if ran.outcome == "ok"}
    attempted = {s.number for s in seen.sent}
    known: set[int] = set()
    for asked in seen.asked:
        crossed_unread = asked.how == "crossed" and asked.number not in attempted
        if asked.how == "untaken" or crossed_unread:
            continue
        known.add(asked.number)
        request_class, copy = scenario.load.classes[asked.class_index], f"app-{asked.copy}"
        excused = excuses.excused(asked, slack_ms)
        deadline_ms = ENDLESS_MS if excused else asked.deadline_ms

        def took(
            asked: RequestTrace = asked,
            copy: str = copy,
            effect: str = request_class.effect,
            until: float = deadline_ms,
        ) -> None:
            window_ms = scenario.rules.window_ms + TOLERANCE_MS
            checker.took(asked.written_ms, copy, asked.number, effect, until, window_ms)

        at(asked.written_ms - TOLERANCE_MS, took)
        if asked.how == "answered":

            def answer(asked: RequestTrace = asked, copy: str = copy) -> None:
                checker.answer(asked.ended_ms, copy, asked.number, asked.status in REFUSED)

            at(asked.ended_ms + TOLERANCE_MS, answer)
            genuine = asked.told == asked.number and (asked.number, asked.served_by) in served
            if asked.status == 200 and not genuine:
                text = "served an answer that no upstream produced for it"
                violations.append(Break(1, asked.ended_ms, copy, asked.number, text))
            if asked.extra:
                text = f"{asked.extra} bytes after the final answer"
                violations.append(Break(1, asked.ended_ms, copy, asked.number, text))
        elif asked.how in ("closed", "crossed") and not excused:
            text = "its connection ended without a complete answer"
            violations.append(Break(1, asked.ended_ms, copy, asked.number, text))
    attempts: dict[int, int] = defaultdict(int)
    for sent in sorted(seen.sent, key=lambda s: s.at_ms):
        if sent.number not in known:
            violations.append(
                Break(
                    1, sent.at_ms, f"app-{sent.copy}", sent.number, "sent an attempt without a client request"
                )
            )
            continue
        copy, attempt = f"app-{sent.copy}", attempts[sent.number]
        attempts[sent.number] += 1

        def send(
            at_ms: float = sent.at_ms, copy: str = copy, number: int = sent.number, u: int = sent.upstream
        ) -> None:
            checker.sent(at_ms, copy, number, u)
            checker.written(at_ms, copy, number, u)

        def end(number: int = sent.number, attempt: int = attempt, full: bool = sent.turned_away) -> None:
            checker.ended(number, attempt, Outcome.FULL if full else Outcome.RESET)

        at(sent.at_ms, send)
        if sent.ended_ms < ENDLESS_MS:
            at(max(sent.at_ms, sent.ended_ms - TOLERANCE_MS), end)
    discovery_faults = [
        turn
        for turn in plan.schedule.turns
        if isinstance(fault := scenario.faults[turn.fault], LinkFault) and fault.discovery
    ]
    for told in seen.told:
        broken = any(
            told.copy in turn.copies
            and turn.begin_ms - FAULTY_DISCOVERY_DELAY_MS <= told.at_ms <= turn.end_ms
            for turn in discovery_faults
        )
        told_ms = told.at_ms + FAULTY_DISCOVERY_DELAY_MS * broken

        def tell(
            at_ms: float = told_ms,
            copy: str = f"app-{told.copy}",
            u: int = told.upstream,
            ready: bool = told.phase == "Ready",
        ) -> None:
            checker.told(at_ms, copy, u, ready)

        at(told_ms, tell)
    for fell in seen.fell:

        def fall(
            at_ms: float = fell.at_ms,
            n: int = fell.number,
            u: int = fell.upstream,
            got: int = fell.got,
            can: float = fell.can,
        ) -> None:
            checker.fell(at_ms, "all", n, u, got, can)

        at(fell.at_ms, fall)
    return events


def _processes(seen: Traces) -> list[Break]:
    """Processes that exited without a signal of the drill, or with an error code after SIGTERM."""
    signals_sent: dict[int, list[str]] = defaultdict(list)
    broken = []
    for life in seen.lives:
        if life.what in ("kill", "term"):
            signals_sent[life.copy].append(life.what)
        elif life.what == "ended":
            how = signals_sent[life.copy].pop(0) if signals_sent[life.copy] else ""
            if not how or (how == "term" and life.code):
                text = f"its process ended with {life.code} after {how or 'no signal'}"
                broken.append(Break(0, life.at_ms, f"app-{life.copy}", -1, text))
    return broken
