"""The results of a drill: figures over time windows, counts by second for plots, and whether the bounds
hold."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterator

import msgspec
from hdrh.histogram import HdrHistogram

from madderwind.testing.fault_tests.judge import REFUSED, lost
from madderwind.testing.fault_tests.plan import Plan
from madderwind.testing.fault_tests.scenario import Figure, LinkFault, UpstreamFault
from madderwind.testing.fault_tests.schedule import FaultOccurrence
from madderwind.testing.fault_tests.traces import AttemptTrace, RequestTrace, Sample, Traces
from madderwind.testing.simulation.rules import Window
from madderwind.testing.simulation.upstream import warmth

INTEGRATION_STEP_MS = 50.0  # step of the integration of the achievable load
MAX_LATENCY_US = 3_600_000_000
SECOND_MS = 1000.0
EVENT_DEADLINE_MS = 5000.0


class Second(msgspec.Struct):
    """Requests intended in one second, their outcomes, and the attempts sent to where a fault was active
    (`dark`)."""

    asked: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    dark: int = 0
    words: int = 0
    could: float = 0.0


class Missed(msgspec.Struct, frozen=True):
    """A bound that a figure misses."""

    name: str
    value: float
    most: float | None
    least: float | None


def request_outcome(plan: Plan, request: RequestTrace) -> str:
    """The outcome of a request for its client."""
    request_class = plan.scenario.load.classes[request.class_index]
    if request.how == "answered" and request.status == 200:
        return "in_time" if request.ended_ms <= request.intended_ms + request_class.aim_ms else "late"
    if request.how == "untaken" or (request.how == "answered" and request.status in REFUSED):
        return "refused"
    return "failed"


class Measured:
    """Computes the figures of a drill from its traces."""

    def __init__(self, plan: Plan, traces: Traces) -> None:
        self._plan, self._traces = plan, traces
        self._scenario = plan.scenario
        self.asked = [a for a in traces.asked if a.how != "crossed" and a.intended_ms >= 0]
        self._outcomes = {a.number: request_outcome(plan, a) for a in self.asked}
        self._lost = lost(plan, traces)
        self._load_ratios = list(self._warm_up_loads())

    def _occurrences(self, name: str) -> list[FaultOccurrence]:
        return [t for t in self._plan.schedule.turns if self._scenario.faults[t.fault].name == name]

    def window(self, figure: Figure) -> tuple[float, float]:
        """The begin and end of the figure's window, in milliseconds."""
        begin_ms, end_ms = 0.0, self._scenario.for_s * 1000
        if figure.fault:
            turns = self._occurrences(figure.fault)
            edge_ms = (
                min(t.begin_ms for t in turns) if figure.after == "begin" else max(t.end_ms for t in turns)
            )
            begin_ms = edge_ms
            if figure.after == "begin":
                end_ms = max(t.end_ms for t in turns)
        until_ms = end_ms if figure.to_s is None else begin_ms + figure.to_s * 1000
        return begin_ms + figure.from_s * 1000, until_ms

    def capacity_per_ms(self, at_ms: float) -> float:
        """Capacity in requests per millisecond of the upstreams that the copies can reach."""
        model, rules = self._scenario.upstreams, self._scenario.rules
        each = model.cores / model.work_ms
        available = dict.fromkeys(self._plan.upstreams(), 1.0)
        for turn in self._plan.schedule.turns:
            fault = self._scenario.faults[turn.fault]
            for upstream in turn.upstreams:
                if isinstance(fault, LinkFault):
                    cut = fault.kind != "slow" and len(turn.copies) == self._scenario.copies
                    available[upstream] *= not (cut and turn.on(at_ms))
                elif isinstance(fault, UpstreamFault) and fault.kind == "restart" and at_ms >= turn.begin_ms:
                    is_up = at_ms >= turn.end_ms
                    available[upstream] *= warmth(at_ms - turn.end_ms, rules) if is_up else 0.0
                elif isinstance(fault, UpstreamFault) and turn.on(at_ms):
                    slow = {"slow": 1 / fault.factor, "err": 1 - fault.rate, "drain": 0.0}
                    available[upstream] *= slow.get(fault.kind, 1.0)
        return each * sum(available.values())

    def could(self, begin_ms: float, end_ms: float) -> float:
        """Achievable requests in a window: the lower of the intended load and the upstreams' capacity."""
        steps = max(1, round((end_ms - begin_ms) / INTEGRATION_STEP_MS))
        capacity = sum(
            self.capacity_per_ms(begin_ms + (n + 0.5) * INTEGRATION_STEP_MS) * INTEGRATION_STEP_MS
            for n in range(steps)
        )
        return min(capacity, sum(begin_ms <= a.intended_ms < end_ms for a in self.asked))

    def _attempts_under_fault(self, turns: list[FaultOccurrence]) -> Iterator[AttemptTrace]:
        """Attempts on links, or to upstreams, that a fault affected at the time."""
        for sent in self._traces.sent:
            for turn in turns:
                fault = self._scenario.faults[turn.fault]
                if isinstance(fault, LinkFault):
                    hit = sent.copy in turn.copies and sent.upstream in turn.upstreams
                else:
                    hit = isinstance(fault, UpstreamFault) and sent.upstream in turn.upstreams
                if hit and turn.on(sent.at_ms):
                    yield sent
                    break

    def _warm_up_loads(self) -> Iterator[tuple[float, float]]:
        """For each request at an upstream in warm-up: its time, and the ratio of load to capacity in its
        window."""
        model, rules = self._scenario.upstreams, self._scenario.rules
        starts = self._plan.starts_ms()
        windows: dict[tuple[int, float], Window] = {}
        for ran in sorted(self._traces.ran, key=lambda r: r.at_ms):
            started_ms = max((s for s in starts.get(ran.upstream, ()) if s <= ran.at_ms), default=None)
            if started_ms is None or ran.at_ms >= started_ms + rules.warm_after_ms:
                continue
            warm = warmth(ran.at_ms - started_ms, rules)
            got = windows.setdefault((ran.upstream, started_ms), Window(rules.fall_ms)).add(ran.at_ms)
            yield ran.at_ms, got / (rules.fall_ms * model.cores * warm / model.work_ms)

    def value(self, figure: Figure) -> float:
        begin_ms, end_ms = self.window(figure)
        inside = [a for a in self.asked if begin_ms <= a.intended_ms < end_ms]
        outcomes = [self._outcomes[a.number] for a in inside]

        def fraction(*names: str) -> float:
            return sum(f in names for f in outcomes) / max(1, len(outcomes))

        figures: dict[str, Callable[[], float]] = {
            "served": lambda: outcomes.count("in_time") / max(1.0, self.could(begin_ms, end_ms)),
            "in_time": lambda: fraction("in_time"),
            "late": lambda: fraction("late"),
            "refused": lambda: fraction("refused"),
            "failed": lambda: fraction("failed"),
            "lost": lambda: float(sum(begin_ms <= a.intended_ms < end_ms for a in self._lost)),
            "dark_per_s": lambda: self._peak_per_s(figure, begin_ms, end_ms),
            "cold_load": lambda: max(
                (load for at, load in self._load_ratios if begin_ms <= at < end_ms), default=0.0
            ),
            "words_per_s": lambda: self._messages_per_s("sent", begin_ms, end_ms),
            "word_bytes_per_s": lambda: self._messages_per_s("size_bytes", begin_ms, end_ms),
            "cpu_ms_per_s": lambda: self._cpu(begin_ms, end_ms),
            "memory_mb": lambda: max((s.memory_mb for s in self._copies(begin_ms, end_ms)), default=0.0),
            "p99_ms": lambda: float(self.histogram(inside).get_value_at_percentile(99)) / 1000,
            "attempts": lambda: self._attempts(inside),
            "news_ms": lambda: self._event_propagation(begin_ms, end_ms)[0],
            "news_missed": lambda: self._event_propagation(begin_ms, end_ms)[1],
        }
        return round(figures[figure.figure](), 4)

    def _peak_per_s(self, figure: Figure, begin_ms: float, end_ms: float) -> float:
        seconds: dict[int, int] = defaultdict(int)
        for sent in self._attempts_under_fault(self._occurrences(figure.fault)):
            if begin_ms <= sent.at_ms < end_ms:
                seconds[int((sent.at_ms - begin_ms) // SECOND_MS)] += 1
        return float(max(seconds.values(), default=0))

    def _messages_per_s(self, field: str, begin_ms: float, end_ms: float) -> float:
        """The mean per copy and second of this count of sent messages."""
        sums = [
            getattr(w, field)
            for w in self._traces.words
            if begin_ms <= w.second * SECOND_MS and (w.second + 1) * SECOND_MS <= end_ms
        ]
        seconds = end_ms // SECOND_MS - -(-begin_ms // SECOND_MS)
        return float(sum(sums)) / max(1.0, seconds) / self._scenario.copies

    def _event_propagation(self, begin_ms: float, end_ms: float) -> tuple[float, float]:
        """For event messages: the 99th percentile of the time until a copy received one, and the fraction not
        received within `EVENT_DEADLINE_MS`. Leaves out killed and paused copies, and events too close to the
        end of the window."""
        excluded = {
            change.copy
            for change in self._traces.lives
            if change.what in ("kill", "pause") and change.at_ms < end_ms
        }
        copies = [n for n in self._plan.copies() if n not in excluded]
        until_ms = min(end_ms, self._scenario.for_s * 1000 - EVENT_DEADLINE_MS)
        delays = HdrHistogram(1, MAX_LATENCY_US, 3)
        expected = missed = 0
        for event in self._traces.news:
            if not begin_ms <= event.at_ms < until_ms:
                continue
            for copy in copies:
                heard_ms = event.heard_ms.get(copy, float("inf")) - event.at_ms
                if copy != event.origin:
                    expected += 1
                    missed += heard_ms > EVENT_DEADLINE_MS
                    if heard_ms <= EVENT_DEADLINE_MS:
                        delays.record_value(max(1, int(heard_ms * 1000)))
        return float(delays.get_value_at_percentile(99)) / 1000, missed / max(1, expected)

    def _copies(self, begin_ms: float, end_ms: float) -> list[Sample]:
        inside = (s for s in self._traces.samples if begin_ms <= s.at_ms <= end_ms + SECOND_MS)
        return [s for s in inside if s.who.startswith("copy-")]

    def _cpu(self, begin_ms: float, end_ms: float) -> float:
        """The mean CPU time per second of the copies' processes."""
        by_process: dict[str, list[Sample]] = defaultdict(list)
        for sample in self._copies(begin_ms, end_ms):
            by_process[sample.who].append(sample)
        used = [
            (samples[-1].cpu_ms - samples[0].cpu_ms) / (samples[-1].at_ms - samples[0].at_ms) * 1000
            for samples in by_process.values()
            if len(samples) > 1
        ]
        return sum(used) / max(1, len(used))

    def _attempts(self, inside: list[RequestTrace]) -> float:
        numbers = {a.number for a in inside}
        return sum(s.number in numbers for s in self._traces.sent) / max(1, len(inside))

    def histogram(self, requests: list[RequestTrace]) -> HdrHistogram:
        """Latencies of the served requests, in microseconds from the intended send time."""
        histogram = HdrHistogram(1, MAX_LATENCY_US, 3)
        for a in requests:
            if self._outcomes[a.number] in ("in_time", "late"):
                histogram.record_value(max(1, int((a.ended_ms - a.intended_ms) * 1000)))
        return histogram

    def lag_ms(self) -> float:
        """The 99th percentile of the delay with which the rig's own clients sent requests."""
        histogram = HdrHistogram(1, MAX_LATENCY_US, 3)
        for a in self.asked:
            if a.written_ms >= a.intended_ms:
                histogram.record_value(max(1, int((a.written_ms - a.intended_ms) * 1000)))
        return float(histogram.get_value_at_percentile(99)) / 1000

    def all(self) -> tuple[dict[str, float], list[Missed]]:
        """Every figure of the scenario, and the bounds that are missed."""
        values = {figure.name: self.value(figure) for figure in self._scenario.figures}
        missed = [
            Missed(f.name, values[f.name], f.most, f.least)
            for f in self._scenario.figures
            if (f.most is not None and values[f.name] > f.most)
            or (f.least is not None and values[f.name] < f.least)
        ]
        return values, missed

    def seconds(self) -> list[Second]:
        count = int(-(-self._scenario.for_s // 1))
        seconds = [Second(could=round(self.could(n * 1000.0, (n + 1) * 1000.0), 1)) for n in range(count)]
        for request in self.asked:
            second = seconds[min(count - 1, int(request.intended_ms // 1000))]
            second.asked += 1
            outcome = self._outcomes[request.number]
            setattr(second, outcome, getattr(second, outcome) + 1)
        for sent in self._attempts_under_fault(list(self._plan.schedule.turns)):
            if 0 <= sent.at_ms < count * 1000:
                seconds[int(sent.at_ms // 1000)].dark += 1
        for counts in self._traces.words:
            if 0 <= counts.second < count:
                seconds[counts.second].words += counts.sent
        return seconds
