"""Data planes and model servers on one simulated clock, in memory."""

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
# Data planes learn of a crash, a start or a drain this much later.
NEWS_MS = 300.0
# A client gives up after this long without an event.
SILENCE_MS = 2000.0
MOST_TRIES = 3


class Served(msgspec.Struct):
    """What became of one request."""

    arrival: Arrival
    first_ms: float | None = None
    longest_gap_ms: float = 0.0
    complete: bool = False
    priced_tokens: int = 0
    shared_tokens_read: int = 0
    tries: int = 0

    @property
    def in_time(self) -> bool:
        """Whole, its first event within the objective, no pause too long."""
        kind = self.arrival.kind
        first_ms = self.first_ms
        return (
            self.complete
            and first_ms is not None
            and first_ms <= kind.aim_ms
            and self.longest_gap_ms <= kind.gap_aim_ms
        )


class DataPlane:
    """One data plane: a policy and what it knows of the upstreams."""

    def __init__(self, number: int, zone: str, policy: Policy) -> None:
        self.number = number
        self.zone = zone
        self.policy = policy


class Upstream:
    """One incarnation of a model server."""

    def __init__(self, instance: str, place: int, zone: str, engine: Engine) -> None:
        self.instance = instance
        self.place = place
        self.zone = zone
        self.engine = engine
        self.running = True
        self.wake_ms = float("inf")


class _Try(msgspec.Struct):
    served: Served
    plane: DataPlane
    upstream: Upstream
    sent_ms: float
    last_event_ms: float | None = None
    priced: frozenset[str] = frozenset()


class Fleet:
    """Plays one run of an experiment with one policy and one seed."""

    def __init__(self, experiment: Experiment, policy: str, seed: int) -> None:
        self._experiment = experiment
        self._policy = policy
        self._rng = random.Random(seed)
        self._now_ms = 0.0
        self._agenda: list[tuple[float, int, Callable[[], None]]] = []
        self._order = 0
        self._upstreams: list[Upstream] = []
        self._incarnations = 0
        self._identities: dict[int, str] = {}
        self._candidates: tuple[str, ...] = ()
        self._by_instance: dict[str, Upstream] = {}
        self._engines: dict[str, Engine] = {}
        self._tries: dict[str, _Try] = {}
        self._last_use: dict[str, float] = {}
        self._read_once: set[str] = set()
        self.served: list[Served] = []
        for place in range(experiment.upstreams):
            self._upstreams.append(self._start(place))
        self._planes = [self._plane(number, policy, seed) for number in range(experiment.data_planes)]
        self._shares = [self._rng.lognormvariate(0.0, 0.3) for _ in self._planes]
        self._publish()

    def run(self) -> list[Served]:
        """All requests, served or not."""
        experiment = self._experiment
        kinds = experiment.kinds
        workload = Workload(
            SERVICE, kinds, experiment.bursts, experiment.for_s, random.Random(self._rng.random())
        )
        for arrival in workload.arrivals():
            self._at(arrival.at_ms, partial(self._arrive, arrival))
        for crash in experiment.crashes:
            self._at(crash.at_s * MS_PER_S, partial(self._crash, crash))
        for release in experiment.releases:
            self._release(release)
        for restart in experiment.restarts:
            self._at(restart.at_s * MS_PER_S, partial(self._restart, restart))
        if experiment.report_ms:
            self._at(experiment.report_ms, self._report)
        if experiment.dispatch_ms:
            self._at(experiment.dispatch_ms, self._report_dispatches)
        while self._agenda:
            self._now_ms, _, action = heapq.heappop(self._agenda)
            action()
        return self.served

    # --- the clock ---

    def _at(self, at_ms: float, action: Callable[[], None]) -> None:
        self._order += 1
        heapq.heappush(self._agenda, (at_ms, self._order, action))

    # --- requests ---

    def _arrive(self, arrival: Arrival) -> None:
        served = Served(arrival)
        self.served.append(served)
        plane = self._rng.choices(self._planes, self._shares)[0]
        self._send(served, plane, frozenset())

    def _send(self, served: Served, plane: DataPlane, avoid: frozenset[str]) -> None:
        generation = served.arrival.generation
        if served.tries >= MOST_TRIES:
            return
        choice = plane.policy.choose(self._now_ms, generation, self._candidates, avoid)
        if choice is None:
            return
        served.tries += 1
        key = f"{len(self.served)}.{served.tries}.{self._order}"
        upstream = self._by_instance[choice.instance]
        plane.policy.sent(self._now_ms, key, generation, choice.instance)
        self._tries[key] = _Try(
            served, plane, upstream, self._now_ms, None, self._priced(generation.shared_parts)
        )
        self._at(self._now_ms + self._experiment.delay_ms, partial(self._reach, key, avoid))

    def _priced(self, parts: tuple[PromptPart, ...]) -> frozenset[str]:
        """Parts that cost if they are read now: read before, and used within the time that counts."""
        since_ms = self._now_ms - self._experiment.again_s * MS_PER_S
        priced = frozenset(
            part.id
            for part in parts
            if part.id in self._read_once and self._last_use.get(part.id, -1e9) >= since_ms
        )
        for part in parts:
            self._last_use[part.id] = self._now_ms
        return priced

    def _reach(self, key: str, avoid: frozenset[str]) -> None:
        attempt = self._tries.get(key)
        if attempt is None:
            return
        upstream = attempt.upstream
        arrival = attempt.served.arrival
        urgency = attempt.plane.policy.urgency(key, arrival.kind.priority)
        request = EngineRequest(key, arrival.generation.parts, arrival.output_tokens, urgency)
        if upstream.running and upstream.engine.submit(self._now_ms, request) is Admission.TAKEN:
            self._wake(upstream)
            return
        self._fail(key)
        self._send(attempt.served, attempt.plane, avoid | {upstream.instance})

    def _fail(self, key: str) -> None:
        attempt = self._tries.pop(key)
        attempt.plane.policy.ended(self._now_ms, key, False)

    def _wake(self, upstream: Upstream) -> None:
        at_ms = upstream.engine.next_ms
        if at_ms < upstream.wake_ms:
            upstream.wake_ms = at_ms
            self._at(at_ms, partial(self._step, upstream, at_ms))

    def _step(self, upstream: Upstream, at_ms: float) -> None:
        if upstream.wake_ms != at_ms or not upstream.running:
            return
        upstream.wake_ms = float("inf")
        for event in upstream.engine.advance(self._now_ms):
            self._event(event)
        for read in upstream.engine.reads:
            self._count_read(read.key, read.part, read.shared)
        upstream.engine.reads.clear()
        if upstream.engine.next_ms < float("inf"):
            self._wake(upstream)

    def _count_read(self, key: str, part: PromptPart, shared: bool) -> None:
        self._read_once.add(part.id)
        attempt = self._tries.get(key)
        if attempt is None or not shared:
            return
        attempt.served.shared_tokens_read += part.tokens
        if part.id in attempt.priced:
            attempt.served.priced_tokens += part.tokens

    def _event(self, event: EngineEvent) -> None:
        attempt = self._tries.get(event.key)
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
            del self._tries[event.key]

    # --- upstreams ---

    def _start(self, place: int) -> Upstream:
        experiment = self._experiment
        slowness = experiment.slowness[place % len(experiment.slowness)]
        settings = msgspec.structs.replace(experiment.engine_settings, slowness=slowness)
        self._incarnations += 1
        instance = f"i-{self._incarnations}-{self._rng.getrandbits(32):08x}"
        upstream = Upstream(instance, place, f"z{place % experiment.zones}", Engine(settings))
        self._by_instance[instance] = upstream
        self._engines[instance] = upstream.engine
        self._identities.setdefault(place, instance)
        return upstream

    def _plane(self, number: int, policy: str, seed: int) -> DataPlane:
        zone = f"z{number % self._experiment.zones}"
        made = POLICIES[policy](random.Random(f"{seed}-{number}"), zone)
        made.set_data_planes(self._experiment.data_planes)
        if isinstance(made, Placement):
            engine = self._experiment.engine_settings
            made.configure(SERVICE, engine.slots, engine.kv_tokens, engine.stride)
        if isinstance(made, WholeKnowledge):
            made.watch(self._engines)
        return DataPlane(number, zone, made)

    def _publish(self) -> None:
        """Data planes hear which upstreams take requests."""
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
            for key in [key for key, attempt in self._tries.items() if attempt.upstream is upstream]:
                self._fail(key)
            back_ms = self._now_ms + crash.for_s * MS_PER_S
            self._at(back_ms, partial(self._replace, upstream.place))
        self._at(self._now_ms + NEWS_MS, self._publish)

    def _replace(self, place: int) -> None:
        self._upstreams[place] = self._start(place)
        self._at(self._now_ms + NEWS_MS, self._publish)

    def _release(self, release: Release) -> None:
        places = self._rng.sample(range(len(self._upstreams)), release.count)
        for number, place in enumerate(places):
            at_ms = (release.at_s + number * release.gap_s) * MS_PER_S
            self._at(at_ms, partial(self._replace, place))

    def _restart(self, restart: Restart) -> None:
        """Data planes that know nothing any more; what they had under way goes on unseen."""
        for plane in self._rng.sample(self._planes, min(restart.count, len(self._planes))):
            plane.policy = self._plane(plane.number, self._policy, self._rng.getrandbits(32)).policy
        self._publish()

    # --- what data planes tell each other ---

    def _report(self) -> None:
        loads = [plane.policy.load() for plane in self._planes]
        total: dict[str, tuple[float, float, float]] = {}
        for load in loads:
            for instance, (waiting, sequences, held) in load.items():
                known = total.get(instance, (0.0, 0.0, 0.0))
                total[instance] = (known[0] + waiting, known[1] + sequences, known[2] + held)
        for plane, load in zip(self._planes, loads, strict=True):
            others = {
                instance: _less(known, load.get(instance, (0.0, 0.0, 0.0)))
                for instance, known in total.items()
            }
            lag_ms = self._experiment.report_ms * self._rng.random()
            self._at(self._now_ms + lag_ms, partial(self._tell_load, plane.policy, others))
        if self._now_ms < self._experiment.for_s * MS_PER_S:
            self._at(self._now_ms + self._experiment.report_ms, self._report)

    def _tell_load(self, policy: Policy, load: dict[str, tuple[float, float, float]]) -> None:
        policy.handle_peer_load(self._now_ms, load)

    def _report_dispatches(self) -> None:
        """Each data plane hears what all others sent, in an order of its own with reports of load."""
        prompts = [_sent_prompts(plane.policy) for plane in self._planes]
        for plane in self._planes:
            if isinstance(plane.policy, Placement):
                told = [prompt for n, sent in enumerate(prompts) if n != plane.number for prompt in sent]
                lag_ms = self._experiment.dispatch_ms * self._rng.random()
                self._at(self._now_ms + lag_ms, partial(self._tell, plane.policy, told))
        if self._now_ms < self._experiment.for_s * MS_PER_S:
            self._at(self._now_ms + self._experiment.dispatch_ms, self._report_dispatches)

    def _tell(self, policy: Placement, told: list[DispatchedPrompt]) -> None:
        policy.handle_peer_dispatches(self._now_ms, told)


def _sent_prompts(policy: Policy) -> tuple[DispatchedPrompt, ...]:
    return policy.drain_dispatches() if isinstance(policy, Placement) else ()


def _less(total: tuple[float, float, float], own: tuple[float, float, float]) -> tuple[float, float, float]:
    return total[0] - own[0], total[1] - own[1], total[2] - own[2]
