"""Simulates data planes and model servers in memory, on one simulated clock."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from functools import partial

import msgspec

from madderwind.messages.distribution import DispatchedPrompt
from madderwind.placement.placement import Placement
from madderwind.placement.prompts import PromptPart
from madderwind.testing.engine_emulator.engine import Admission, Engine, EngineEvent, EngineRequest
from madderwind.testing.engine_emulator.experiment import Crash, Experiment, Release, Restart
from madderwind.testing.engine_emulator.policies import Policy
from madderwind.testing.engine_emulator.policy_names import POLICIES
from madderwind.testing.engine_emulator.whole_knowledge import WholeKnowledge
from madderwind.testing.engine_emulator.workload import MS_PER_S, Arrival, Workload

SERVICE = "model"
# Delay until data planes learn of a crash, a start or a drain.
DISCOVERY_DELAY_MS = 300.0
# A client cancels its request after this long without an event.
EVENT_TIMEOUT_MS = 2000.0
MAX_ATTEMPTS = 3


class Served(msgspec.Struct):
    """Result of one request."""

    arrival: Arrival
    first_ms: float | None = None
    longest_gap_ms: float = 0.0
    complete: bool = False
    priced_tokens: int = 0
    shared_tokens_read: int = 0
    tries: int = 0

    @property
    def in_time(self) -> bool:
        """Complete, with the first event and every gap between events within their objectives."""
        kind = self.arrival.kind
        first_ms = self.first_ms
        return (
            self.complete
            and first_ms is not None
            and first_ms <= kind.aim_ms
            and self.longest_gap_ms <= kind.gap_aim_ms
        )


class DataPlane:
    """One data plane and its policy, which holds its view of the upstreams."""

    def __init__(self, number: int, zone: str, policy: Policy) -> None:
        self.number = number
        self.zone = zone
        self.policy = policy


class Upstream:
    """One incarnation of a model server."""

    def __init__(self, instance: str, position: int, zone: str, engine: Engine) -> None:
        self.instance = instance
        self.position = position
        self.zone = zone
        self.engine = engine
        self.running = True
        self.next_step_ms = float("inf")


class _Attempt(msgspec.Struct):
    served: Served
    plane: DataPlane
    upstream: Upstream
    sent_ms: float
    last_event_ms: float | None = None
    repeated_parts: frozenset[str] = frozenset()


class Fleet:
    """Simulates one run of an experiment with one policy and one seed."""

    def __init__(self, experiment: Experiment, policy: str, seed: int) -> None:
        self._experiment = experiment
        self._policy = policy
        self._rng = random.Random(seed)
        self._now_ms = 0.0
        self._scheduled: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = 0
        self._upstreams: list[Upstream] = []
        self._incarnations = 0
        self._first_instances: dict[int, str] = {}
        self._candidates: tuple[str, ...] = ()
        self._by_instance: dict[str, Upstream] = {}
        self._engines: dict[str, Engine] = {}
        self._attempts: dict[str, _Attempt] = {}
        self._last_used_ms: dict[str, float] = {}
        self._prefilled_once: set[str] = set()
        self.served: list[Served] = []
        for position in range(experiment.upstreams):
            self._upstreams.append(self._start_upstream(position))
        self._planes = [
            self._create_data_plane(number, policy, seed) for number in range(experiment.data_planes)
        ]
        self._traffic_weights = [self._rng.lognormvariate(0.0, 0.3) for _ in self._planes]
        self._publish_upstreams()

    def run(self) -> list[Served]:
        """Simulate the run and return all requests, served or not."""
        experiment = self._experiment
        kinds = experiment.kinds
        workload = Workload(
            SERVICE, kinds, experiment.bursts, experiment.for_s, random.Random(self._rng.random())
        )
        for arrival in workload.arrivals():
            self._schedule(arrival.at_ms, partial(self._arrive, arrival))
        for crash in experiment.crashes:
            self._schedule(crash.at_s * MS_PER_S, partial(self._crash, crash))
        for release in experiment.releases:
            self._release(release)
        for restart in experiment.restarts:
            self._schedule(restart.at_s * MS_PER_S, partial(self._restart, restart))
        if experiment.report_ms:
            self._schedule(experiment.report_ms, self._report)
        if experiment.dispatch_ms:
            self._schedule(experiment.dispatch_ms, self._report_dispatches)
        while self._scheduled:
            self._now_ms, _, action = heapq.heappop(self._scheduled)
            action()
        return self.served

    def _schedule(self, at_ms: float, action: Callable[[], None]) -> None:
        self._sequence += 1
        heapq.heappush(self._scheduled, (at_ms, self._sequence, action))

    def _arrive(self, arrival: Arrival) -> None:
        served = Served(arrival)
        self.served.append(served)
        plane = self._rng.choices(self._planes, self._traffic_weights)[0]
        self._send(served, plane, frozenset())

    def _send(self, served: Served, plane: DataPlane, avoid: frozenset[str]) -> None:
        generation = served.arrival.generation
        if served.tries >= MAX_ATTEMPTS:
            return
        selection = plane.policy.choose(self._now_ms, generation, self._candidates, avoid)
        if selection is None:
            return
        served.tries += 1
        key = f"{len(self.served)}.{served.tries}.{self._sequence}"
        upstream = self._by_instance[selection.instance]
        plane.policy.sent(self._now_ms, key, generation, selection.instance)
        self._attempts[key] = _Attempt(
            served, plane, upstream, self._now_ms, None, self._record_use(generation.shared_parts)
        )
        self._schedule(self._now_ms + self._experiment.delay_ms, partial(self._deliver, key, avoid))

    def _record_use(self, parts: tuple[PromptPart, ...]) -> frozenset[str]:
        """Return the parts whose prefill counts as repeated, and record the use of all.

        A prefill is repeated if the part was prefilled before and last used within `again_s`.
        """
        since_ms = self._now_ms - self._experiment.again_s * MS_PER_S
        repeated_parts = frozenset(
            part.id
            for part in parts
            if part.id in self._prefilled_once and self._last_used_ms.get(part.id, -1e9) >= since_ms
        )
        for part in parts:
            self._last_used_ms[part.id] = self._now_ms
        return repeated_parts

    def _deliver(self, key: str, avoid: frozenset[str]) -> None:
        attempt = self._attempts.get(key)
        if attempt is None:
            return
        upstream = attempt.upstream
        arrival = attempt.served.arrival
        urgency = attempt.plane.policy.urgency(key, arrival.kind.priority)
        request = EngineRequest(key, arrival.generation.parts, arrival.output_tokens, urgency)
        if upstream.running and upstream.engine.submit(self._now_ms, request) is Admission.ACCEPTED:
            self._schedule_step(upstream)
            return
        self._fail(key)
        self._send(attempt.served, attempt.plane, avoid | {upstream.instance})

    def _fail(self, key: str) -> None:
        attempt = self._attempts.pop(key)
        attempt.plane.policy.ended(self._now_ms, key, False)

    def _schedule_step(self, upstream: Upstream) -> None:
        at_ms = upstream.engine.next_ms
        if at_ms < upstream.next_step_ms:
            upstream.next_step_ms = at_ms
            self._schedule(at_ms, partial(self._step, upstream, at_ms))

    def _step(self, upstream: Upstream, at_ms: float) -> None:
        if upstream.next_step_ms != at_ms or not upstream.running:
            return
        upstream.next_step_ms = float("inf")
        for event in upstream.engine.advance(self._now_ms):
            self._event(event)
        for prefilled in upstream.engine.prefilled_parts:
            self._count_prefilled(prefilled.key, prefilled.part, prefilled.shared)
        upstream.engine.prefilled_parts.clear()
        if upstream.engine.next_ms < float("inf"):
            self._schedule_step(upstream)

    def _count_prefilled(self, key: str, part: PromptPart, shared: bool) -> None:
        self._prefilled_once.add(part.id)
        attempt = self._attempts.get(key)
        if attempt is None or not shared:
            return
        attempt.served.shared_tokens_read += part.tokens
        if part.id in attempt.repeated_parts:
            attempt.served.priced_tokens += part.tokens

    def _event(self, event: EngineEvent) -> None:
        attempt = self._attempts.get(event.key)
        if attempt is None:
            return
        served = attempt.served
        at_ms = self._now_ms + self._experiment.delay_ms
        if attempt.last_event_ms is not None:
            served.longest_gap_ms = max(served.longest_gap_ms, at_ms - attempt.last_event_ms)
        elif served.first_ms is None:
            served.first_ms = at_ms - served.arrival.at_ms
        attempt.last_event_ms = at_ms
        attempt.plane.policy.event(at_ms, event.key, event.index == 0)
        if event.last:
            served.complete = True
            attempt.plane.policy.ended(at_ms, event.key, True)
            del self._attempts[event.key]

    def _start_upstream(self, position: int) -> Upstream:
        experiment = self._experiment
        slowness = experiment.slowness[position % len(experiment.slowness)]
        settings = msgspec.structs.replace(experiment.engine_settings, slowness=slowness)
        self._incarnations += 1
        instance = f"i-{self._incarnations}-{self._rng.getrandbits(32):08x}"
        upstream = Upstream(instance, position, f"z{position % experiment.zones}", Engine(settings))
        self._by_instance[instance] = upstream
        self._engines[instance] = upstream.engine
        self._first_instances.setdefault(position, instance)
        return upstream

    def _create_data_plane(self, number: int, policy: str, seed: int) -> DataPlane:
        zone = f"z{number % self._experiment.zones}"
        created = POLICIES[policy](random.Random(f"{seed}-{number}"), zone)
        created.set_data_planes(self._experiment.data_planes)
        if isinstance(created, Placement):
            engine = self._experiment.engine_settings
            created.configure(SERVICE, engine.slots, engine.kv_tokens, engine.stride)
        if isinstance(created, WholeKnowledge):
            created.watch(self._engines)
        return DataPlane(number, zone, created)

    def _publish_upstreams(self) -> None:
        """Make the running upstreams the candidates, and give each placement the upstreams' zones."""
        self._candidates = tuple(
            upstream.instance for upstream in self._upstreams if upstream is not None and upstream.running
        )
        for plane in self._planes:
            if isinstance(plane.policy, Placement):
                for upstream in self._upstreams:
                    plane.policy.locate(self._now_ms, upstream.instance, upstream.zone)

    def _crash(self, crash: Crash) -> None:
        running = [upstream for upstream in self._upstreams if upstream.running]
        for upstream in self._rng.sample(running, min(crash.count, len(running) - 1)):
            upstream.running = False
            for key in [key for key, attempt in self._attempts.items() if attempt.upstream is upstream]:
                self._fail(key)
            back_ms = self._now_ms + crash.for_s * MS_PER_S
            self._schedule(back_ms, partial(self._replace, upstream.position))
        self._schedule(self._now_ms + DISCOVERY_DELAY_MS, self._publish_upstreams)

    def _replace(self, position: int) -> None:
        self._upstreams[position] = self._start_upstream(position)
        self._schedule(self._now_ms + DISCOVERY_DELAY_MS, self._publish_upstreams)

    def _release(self, release: Release) -> None:
        positions = self._rng.sample(range(len(self._upstreams)), release.count)
        for number, position in enumerate(positions):
            at_ms = (release.at_s + number * release.gap_s) * MS_PER_S
            self._schedule(at_ms, partial(self._replace, position))

    def _restart(self, restart: Restart) -> None:
        """Reset data planes to an empty state; requests in flight continue untracked."""
        for plane in self._rng.sample(self._planes, min(restart.count, len(self._planes))):
            plane.policy = self._create_data_plane(
                plane.number, self._policy, self._rng.getrandbits(32)
            ).policy
        self._publish_upstreams()

    def _report(self) -> None:
        loads = [plane.policy.load() for plane in self._planes]
        total: dict[str, tuple[float, float, float]] = {}
        for load in loads:
            for instance, (waiting, sequences, held) in load.items():
                load_sum = total.get(instance, (0.0, 0.0, 0.0))
                total[instance] = (load_sum[0] + waiting, load_sum[1] + sequences, load_sum[2] + held)
        for plane, load in zip(self._planes, loads, strict=True):
            others = {
                instance: _subtract_load(load_sum, load.get(instance, (0.0, 0.0, 0.0)))
                for instance, load_sum in total.items()
            }
            lag_ms = self._experiment.report_ms * self._rng.random()
            self._schedule(self._now_ms + lag_ms, partial(self._deliver_load, plane.policy, others))
        if self._now_ms < self._experiment.for_s * MS_PER_S:
            self._schedule(self._now_ms + self._experiment.report_ms, self._report)

    def _deliver_load(self, policy: Policy, load: dict[str, tuple[float, float, float]]) -> None:
        policy.handle_peer_load(self._now_ms, load)

    def _report_dispatches(self) -> None:
        """Send each data plane the dispatches of all others, with a lag independent of its load reports."""
        sent_by_plane = [_drain_dispatches(plane.policy) for plane in self._planes]
        for plane in self._planes:
            if isinstance(plane.policy, Placement):
                prompts = [
                    prompt
                    for number, sent in enumerate(sent_by_plane)
                    if number != plane.number
                    for prompt in sent
                ]
                lag_ms = self._experiment.dispatch_ms * self._rng.random()
                self._schedule(
                    self._now_ms + lag_ms, partial(self._deliver_dispatches, plane.policy, prompts)
                )
        if self._now_ms < self._experiment.for_s * MS_PER_S:
            self._schedule(self._now_ms + self._experiment.dispatch_ms, self._report_dispatches)

    def _deliver_dispatches(self, policy: Placement, prompts: list[DispatchedPrompt]) -> None:
        policy.handle_peer_dispatches(self._now_ms, prompts)


def _drain_dispatches(policy: Policy) -> tuple[DispatchedPrompt, ...]:
    return policy.drain_dispatches() if isinstance(policy, Placement) else ()


def _subtract_load(
    total: tuple[float, float, float], local: tuple[float, float, float]
) -> tuple[float, float, float]:
    return total[0] - local[0], total[1] - local[1], total[2] - local[2]
