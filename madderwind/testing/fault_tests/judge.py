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

    def __init__(self, traces: Traces) -> None:
        self._kills: dict[int, list[float]] = defaultdict(list)
        self._pauses: dict[int, list[tuple[float, float]]] = defaultdict(list)
        for event in traces.lives:
            if event.what == "kill":
                self._kills[event.copy].append(event.at_ms)
            elif event.what == "pause":
                self._pauses[event.copy].append((event.at_ms, ENDLESS_MS))
            elif event.what == "continue" and self._pauses[event.copy]:
                self._pauses[event.copy][-1] = self._pauses[event.copy][-1][0], event.at_ms

    def excused(self, request: RequestTrace, slack_ms: float) -> bool:
        """Whether its copy could not answer it in time because its process was killed or paused."""
        until_ms = min(request.ended_ms, request.deadline_ms + slack_ms) + TOLERANCE_MS
        killed = any(request.written_ms - TOLERANCE_MS <= at <= until_ms for at in self._kills[request.copy])
        pauses = self._pauses[request.copy]
        return killed or any(begin <= until_ms and request.written_ms <= end for begin, end in pauses)


def lost(plan: Plan, traces: Traces) -> list[RequestTrace]:
    """Requests that a copy accepted and never answered completely, without an excuse."""
    excuses, slack_ms = Excuses(traces), plan.scenario.rules.answer_slack_ms
    sent = {s.number for s in traces.sent}
    return [
        request
        for request in traces.asked
        if (request.how in ("closed", "none") or (request.how == "crossed" and request.number in sent))
        and not excuses.excused(request, slack_ms)
    ]


def judge(plan: Plan, traces: Traces) -> list[Break]:
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
    events = _events(plan, traces, checker, violations)
    for _, _, call in sorted(events, key=lambda event: event[:2]):
        call()
    checker.finish(ENDLESS_MS / 2)
    return sorted(checker.broken + violations + _processes(traces), key=lambda b: (b.rule, b.at_ms))[
        : RuleChecker.MOST
    ]


Event = tuple[float, int, Callable[[], None]]


def _events(plan: Plan, traces: Traces, checker: RuleChecker, violations: list[Break]) -> list[Event]:
    scenario, excuses = plan.scenario, Excuses(traces)
    slack_ms = scenario.rules.answer_slack_ms
    events: list[Event] = []

    def add_event(order_ms: float, call: Callable[[], None]) -> None:
        events.append((order_ms, len(events), call))

    served = {(ran.number, ran.upstream) for ran in traces.ran if ran.outcome == "ok"}
    attempted = {s.number for s in traces.sent}
    known: set[int] = set()
    for request in traces.asked:
        crossed_unread = request.how == "crossed" and request.number not in attempted
        if request.how == "untaken" or crossed_unread:
            continue
        known.add(request.number)
        request_class, copy = scenario.load.classes[request.class_index], f"app-{request.copy}"
        excused = excuses.excused(request, slack_ms)
        deadline_ms = ENDLESS_MS if excused else request.deadline_ms

        def accept(
            request: RequestTrace = request,
            copy: str = copy,
            effect: str = request_class.effect,
            until: float = deadline_ms,
        ) -> None:
            window_ms = scenario.rules.window_ms + TOLERANCE_MS
            checker.took(request.written_ms, copy, request.number, effect, until, window_ms)

        # No copy can have a request before its client begins to write it.
        add_event(min(request.write_began_ms, request.written_ms - TOLERANCE_MS), accept)
        if request.how == "answered":

            def answer(request: RequestTrace = request, copy: str = copy) -> None:
                checker.answer(request.ended_ms, copy, request.number, request.status in REFUSED)

            add_event(request.ended_ms + TOLERANCE_MS, answer)
            genuine = request.told == request.number and (request.number, request.served_by) in served
            if request.status == 200 and not genuine:
                text = "served an answer that no upstream produced for it"
                violations.append(Break(1, request.ended_ms, copy, request.number, text))
            if request.extra:
                text = f"{request.extra} bytes after the final answer"
                violations.append(Break(1, request.ended_ms, copy, request.number, text))
        elif request.how in ("closed", "crossed") and not excused:
            text = "its connection ended without a complete answer"
            violations.append(Break(1, request.ended_ms, copy, request.number, text))
    attempts: dict[int, int] = defaultdict(int)
    for sent in sorted(traces.sent, key=lambda s: s.at_ms):
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

        add_event(sent.at_ms, send)
        if sent.ended_ms < ENDLESS_MS:
            add_event(max(sent.at_ms, sent.ended_ms - TOLERANCE_MS), end)
    discovery_faults = [
        turn
        for turn in plan.schedule.turns
        if isinstance(fault := scenario.faults[turn.fault], LinkFault) and fault.discovery
    ]
    for update in traces.told:
        broken = any(
            update.copy in turn.copies
            and turn.begin_ms - FAULTY_DISCOVERY_DELAY_MS <= update.at_ms <= turn.end_ms
            for turn in discovery_faults
        )
        received_ms = update.at_ms + FAULTY_DISCOVERY_DELAY_MS * broken

        def receive_update(
            at_ms: float = received_ms,
            copy: str = f"app-{update.copy}",
            u: int = update.upstream,
            ready: bool = update.phase == "Ready",
        ) -> None:
            checker.told(at_ms, copy, u, ready)

        add_event(received_ms, receive_update)
    for overload in traces.fell:

        def fall(
            at_ms: float = overload.at_ms,
            n: int = overload.number,
            u: int = overload.upstream,
            got: int = overload.got,
            can: float = overload.can,
        ) -> None:
            checker.fell(at_ms, "all", n, u, got, can)

        add_event(overload.at_ms, fall)
    return events


def _processes(traces: Traces) -> list[Break]:
    """Processes that exited without a signal of the drill, or with an error code after SIGTERM."""
    signals_sent: dict[int, list[str]] = defaultdict(list)
    broken = []
    for event in traces.lives:
        if event.what in ("kill", "term"):
            signals_sent[event.copy].append(event.what)
        elif event.what == "ended":
            how = signals_sent[event.copy].pop(0) if signals_sent[event.copy] else ""
            if not how or (how == "term" and event.code):
                text = f"its process ended with {event.code} after {how or 'no signal'}"
                broken.append(Break(0, event.at_ms, f"app-{event.copy}", -1, text))
    return broken
