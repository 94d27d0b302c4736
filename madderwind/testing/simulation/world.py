"""The simulated fleet: upstreams, policy copies, clients and discovery on one timeline.

Assumptions:

- Network trips take a fixed time.
- An upstream has cores and one queue. While cold it is slower, and it crashes when it receives more requests
  in a window than it can serve.
- An upstream completes the work that it has begun, whatever its caller does.
- A request that an upstream passes to the next tier counts as in flight but occupies no core meanwhile.
- Transferred bytes and the balancers' own processing take no time.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable

from madderwind.standalone.policy import api
from madderwind.standalone.policy.api import Effect, Group, ListKind, Outcome, UpstreamState
from madderwind.testing.simulation.experiment import Experiment, Fault
from madderwind.testing.simulation.policies import POLICIES, Policy
from madderwind.testing.simulation.rules import RuleChecker
from madderwind.testing.simulation.timeline import Timeline
from madderwind.testing.simulation.upstream import LONG_AGO_MS, Job, Upstream

# The time at which a run begins. It is late enough that an upstream started at 0 (LONG_AGO_MS) is warm.
START_MS = 1_000_000.0


class _Request:
    __slots__ = ("attempts", "class_index", "deadline_ms", "on_final", "over")

    def __init__(self, class_index: int, deadline_ms: float, on_final: Callable[[str], None]) -> None:
        self.class_index, self.deadline_ms, self.on_final = class_index, deadline_ms, on_final
        self.attempts: list[Attempt] = []
        self.over = False


class Attempt:
    """One attempt of a request at an upstream."""

    __slots__ = ("ended", "connected", "sent_ms", "upstream")

    def __init__(self, upstream: Upstream, sent_ms: float) -> None:
        self.upstream, self.sent_ms = upstream, sent_ms
        self.connected = False  # whether its connection is established and can be reused
        self.ended = False


class Copy:
    """The host of one policy copy. It executes the policy's actions as the socket-based program does."""

    def __init__(self, world: World, name: str, tier: int, me: int, copies: int) -> None:
        self._world, self.name, self.tier = world, name, tier
        seed = random.Random(f"{world.seed} copy {name}").randrange(1 << 48)
        self._policy: Policy = POLICIES[world.policy](world.settings(tier, me, copies), seed)
        self._requests: dict[int, _Request] = {}
        self._idle_connections: Counter[int] = Counter()  # reusable connections by upstream
        self._ready: set[int] = set()
        self._revisions: dict[int, int] = {}
        self._discovery_random = random.Random(f"{world.seed} news {name}")

    def apply_list(self, kind: ListKind, entries: tuple[api.UpstreamEntry, ...], revision: int = 0) -> None:
        """Applies an upstream list. Ignores entries older than the known revision, as the program does."""
        current = tuple(e for e in entries if self._revisions.get(e.upstream, -1) <= revision)
        for entry in current:
            ready = entry.state is UpstreamState.READY
            self._revisions[entry.upstream] = revision
            self._ready.add(entry.upstream) if ready else self._ready.discard(entry.upstream)
            self._world.checker.told(self._world.timeline.now_ms, self.name, entry.upstream, ready)
        if current:
            self.decide(api.FleetListed(kind, revision, current))

    def receive_update(self, entries: tuple[api.UpstreamEntry, ...], revision: int) -> None:
        """Schedules the delivery of a discovery update: late, after an outage of discovery, or twice."""
        discovery, timeline = self._world.experiment.news, self._world.timeline
        at_ms = timeline.now_ms + self._discovery_random.uniform(discovery.least_ms, discovery.most_ms)
        outage_start_ms = START_MS + discovery.silent_from_s * 1000
        if outage_start_ms <= at_ms < outage_start_ms + discovery.silent_for_s * 1000:
            at_ms = (
                outage_start_ms
                + discovery.silent_for_s * 1000
                + self._discovery_random.uniform(0, discovery.most_ms)
            )
        timeline.at(at_ms, lambda: self.apply_list(ListKind.CHANGES, entries, revision))
        if self._discovery_random.random() < discovery.repeats:
            timeline.at(at_ms + 2000, lambda: self.apply_list(ListKind.CHANGES, entries, revision))

    def accept_request(self, class_index: int, deadline_ms: float, on_final: Callable[[str], None]) -> None:
        world = self._world
        number = world.next_request()
        self._requests[number] = _Request(class_index, deadline_ms, on_final)
        effect = world.experiment.load.classes[class_index].effect
        world.checker.took(world.timeline.now_ms, self.name, number, effect, deadline_ms)
        self.decide(api.RequestArrived(number, class_index, 0, 0, deadline_ms, None, False, False))

    def call(self, job: Job, on_end: Callable[[bool], None]) -> None:
        """Sends a request of this copy's own upstream to the next tier."""
        self.accept_request(job.class_index, job.deadline_ms, lambda result: on_end(result == "served"))

    def decide(self, event: api.Event) -> None:
        """Passes an event to the policy and executes its actions."""
        timeline = self._world.timeline
        for action in self._policy.handle(timeline.now_ms, event):
            match action:
                case api.Send():
                    self._send(action)
                case api.Refuse(number):
                    self._answer(number, "refused")
                case api.Fail(number):
                    self._answer(number, "failed")
                case api.SetTimer(after_ms, token):
                    timeline.after(after_ms, lambda token=token: self.decide(api.TimerFired(token)))  # type: ignore[misc]

    def _answer(self, number: int, result: str) -> None:
        request = self._requests[number]
        self._world.checker.answer(self._world.timeline.now_ms, self.name, number, result == "refused")
        request.over = True
        request.on_final(result)

    def _send(self, send: api.Send) -> None:
        world, now_ms = self._world, self._world.timeline.now_ms
        request, upstream = self._requests[send.request_id], world.upstreams[send.upstream]
        world.checker.sent(now_ms, self.name, send.request_id, send.upstream)
        world.tries += 1
        attempt, index = Attempt(upstream, now_ms), len(request.attempts)
        request.attempts.append(attempt)

        def end(outcome: Outcome) -> None:
            self._end(send.request_id, request, index, outcome)

        network = world.experiment.network
        connect_ms = 0.0
        if self._idle_connections[upstream.number]:
            self._idle_connections[upstream.number] -= 1
        elif upstream.vanished:
            world.timeline.after(network.connect_timeout_ms, lambda: end(Outcome.CONNECT_FAILED))
            return
        elif upstream.down:
            world.timeline.after(2 * network.trip_ms, lambda: end(Outcome.CONNECT_FAILED))
            return
        elif upstream.connections >= world.experiment.tiers[upstream.tier].connections:
            world.timeline.after(2 * network.trip_ms, lambda: end(Outcome.FULL))
            return
        else:
            upstream.connections += 1
            world.handshakes += 1
            connect_ms = network.handshake_ms

        def write() -> None:
            now_ms = world.timeline.now_ms
            attempt.connected = True
            if (
                request.over
                or now_ms >= request.deadline_ms
                or not self._accepts_new_requests(upstream.number)
            ):
                end(Outcome.NOT_SENT)
                return
            world.checker.written(now_ms, self.name, send.request_id, upstream.number)
            job = Job(request.class_index, request.deadline_ms, reply)
            world.timeline.after(network.trip_ms, lambda: deliver(job))

        def deliver(job: Job) -> None:
            if upstream.down:
                reply(Outcome.RESET)
            elif not upstream.vanished:
                upstream.arrive(job, self.name, send.request_id)

        def reply(outcome: Outcome) -> None:
            world.timeline.after(network.trip_ms, lambda: end(outcome))

        if connect_ms:
            world.timeline.after(connect_ms, write)
        else:
            write()
        world.timeline.at(request.deadline_ms, lambda: end(Outcome.TIMEOUT))

    def _end(self, number: int, request: _Request, index: int, outcome: Outcome) -> None:
        attempt = request.attempts[index]
        if attempt.ended:
            return
        attempt.ended = True
        world, upstream = self._world, attempt.upstream
        if attempt.connected and outcome in (Outcome.OK, Outcome.ERROR, Outcome.FULL, Outcome.NOT_SENT):
            self._idle_connections[upstream.number] += 1
        elif attempt.connected and not upstream.down:
            upstream.connections = max(0, upstream.connections - 1)
        world.checker.ended(number, index, outcome)
        served = outcome is Outcome.OK and not request.over
        over = request.over or served
        if served:
            self._answer(number, "served")
        elapsed_ms = world.timeline.now_ms - attempt.sent_ms
        report = upstream.report() if outcome in (Outcome.OK, Outcome.ERROR) else ()
        self.decide(api.AttemptEnded(number, over, index, outcome, upstream.number, elapsed_ms, report))
        if request.over and all(a.ended for a in request.attempts):
            del self._requests[number]

    def _accepts_new_requests(self, upstream: int) -> bool:
        """Whether the host may still write a request to an upstream once it is connected."""
        return upstream in self._ready

    def drop_connections(self, upstream: int) -> None:
        self._idle_connections.pop(upstream, None)


class SecondResults:
    """Results of the wishes that were first sent in one second.

    A wish is one client operation, however often the client retries it.
    """

    def __init__(self) -> None:
        self.asked = self.in_time = self.late = self.refused = self.failed = 0
        self.times_ms: list[float] = []


class World:
    """One run of an experiment under one policy and seed."""

    def __init__(self, experiment: Experiment, policy: str, seed: int) -> None:
        self.experiment, self.policy, self.seed = experiment, policy, seed
        self.timeline = Timeline()
        self.timeline.now_ms = START_MS
        rules = experiment.rules
        self.checker = RuleChecker(START_MS, rules.answer_slack_ms, rules.drain_grace_ms, rules.max_attempts)
        self.upstreams: dict[int, Upstream] = {}
        self.copies: dict[int, list[Copy]] = {tier: [] for tier in range(len(experiment.tiers))}
        self.seconds = [SecondResults() for _ in range(int(experiment.for_s) + 1)]
        self.wishes = self.requests = self.tries = self.handshakes = 0
        self._last_request = self._revision = 0
        self._client_random = random.Random(f"{seed} clients")
        self._retry_random = random.Random(f"{seed} again")
        self._fault_random = random.Random(f"{seed} troubles")
        self._load_factor = 1.0
        for tier, model in enumerate(experiment.tiers):
            for _ in range(model.upstreams):
                self._new_upstream(tier, LONG_AGO_MS)
        for me in range(experiment.copies):
            self.copies[0].append(Copy(self, f"0.{me}", 0, me, experiment.copies))
        for tier in range(len(experiment.tiers) - 1):
            for upstream in self._upstreams_of(tier):
                self._attach_copy(upstream)
        for tier, copies in self.copies.items():
            entries = tuple(u.entry(UpstreamState.READY) for u in self._upstreams_of(tier))
            for copy in copies:
                copy.apply_list(ListKind.CACHED, entries)

    def _upstreams_of(self, tier: int) -> list[Upstream]:
        return [u for u in self.upstreams.values() if u.tier == tier]

    def _new_upstream(self, tier: int, started_ms: float) -> Upstream:
        model, number = self.experiment.tiers[tier], len(self.upstreams)
        position = sum(u.tier == tier for u in self.upstreams.values())
        rating = model.ratings[position % len(model.ratings)]
        upstream = Upstream(self, tier, number, rating, position % model.zones, started_ms)
        self.upstreams[number] = upstream
        return upstream

    def _attach_copy(self, upstream: Upstream) -> Copy:
        next_tier, copies = upstream.tier + 1, self.experiment.tiers[upstream.tier].upstreams
        copy = Copy(self, f"{next_tier}.{upstream.number}", next_tier, upstream.number % copies, copies)
        upstream.copy = copy
        self.copies[next_tier].append(copy)
        return copy

    def settings(self, tier: int, me: int, copies: int) -> api.Settings:
        rules, news = self.experiment.rules, self.experiment.news
        return api.Settings(
            classes=tuple(
                api.RequestClass(
                    Effect(c.effect), Group.ALL, 10_000.0, c.aim_ms, c.deadline_ms, 1.0, 0.0, False
                )
                for c in self.experiment.load.classes
            ),
            tier=tier,
            tiers=len(self.experiment.tiers),
            copies=copies,
            me=me,
            zones=self.experiment.tiers[tier].zones,
            max_attempts=rules.max_attempts,
            second_copies=rules.second_copies,
            retry_after=True,
            max_retry_after_ms=2000.0,
            answer_slack_ms=rules.answer_slack_ms,
            drain_grace_ms=rules.drain_grace_ms,
            start_capacity=rules.start_capacity,
            warm_after_ms=rules.warm_after_ms,
            fall_multiple=rules.fall_multiple,
            fall_ms=rules.fall_ms,
            report_columns=("in_flight",) if news.reports else (),
            reports_on_answers=news.reports,
            ratings_tell_size=len(set(self.experiment.tiers[tier].ratings)) > 1,
        )

    def next_request(self) -> int:
        self._last_request += 1
        self.requests += 1
        return self._last_request

    def forget_connections(self, upstream: Upstream) -> None:
        for copy in self.copies[upstream.tier]:
            copy.drop_connections(upstream.number)

    def _schedule_wish(self) -> None:
        load, timeline = self.experiment.load, self.timeline
        if load.per_s <= 0:
            return
        interval_ms = self._client_random.expovariate(load.per_s * self._load_factor / 1000)
        if timeline.now_ms + interval_ms < START_MS + self.experiment.for_s * 1000:
            timeline.after(interval_ms, self._start_wish)

    def _start_wish(self) -> None:
        load = self.experiment.load
        shares = [c.share for c in load.classes]
        index = self._client_random.choices(range(len(shares)), shares)[0]
        second = self.seconds[int((self.timeline.now_ms - START_MS) / 1000)]
        second.asked += 1
        self.wishes += 1
        self._send_request(index, 1, self.timeline.now_ms, second, self._client_random.random())
        self._schedule_wish()

    def _send_request(
        self, index: int, tries: int, first_sent_ms: float, second: SecondResults, copy_position: float
    ) -> None:
        request_class, timeline = self.experiment.load.classes[index], self.timeline
        sent_ms = timeline.now_ms

        def on_final(result: str) -> None:
            took_ms = timeline.now_ms - sent_ms
            if result == "served":
                second.times_ms.append(timeline.now_ms - first_sent_ms)
                second.in_time += took_ms <= request_class.aim_ms
                second.late += took_ms > request_class.aim_ms
            elif tries < self.experiment.load.tries and (
                result == "refused" or request_class.effect != "unsafe"
            ):
                wait_ms = self._retry_random.random() * self.experiment.load.wait_ms * 2.0**tries
                timeline.after(
                    wait_ms,
                    lambda: self._send_request(
                        index, tries + 1, first_sent_ms, second, self._retry_random.random()
                    ),
                )
            elif result == "refused":
                second.refused += 1
            else:
                second.failed += 1

        copies = self.copies[0]
        copies[int(copy_position * len(copies))].accept_request(
            index, sent_ms + request_class.deadline_ms, on_final
        )

    def _publish_update(self, tier: int, *entries: api.UpstreamEntry) -> None:
        self._revision += 1
        for copy in self.copies[tier]:
            copy.receive_update(entries, self._revision)

    def _inject(self, fault: Fault) -> None:
        timeline = self.timeline
        if fault.kind == "surge":
            self._load_factor *= fault.factor
            timeline.after(fault.for_s * 1000, lambda: self._end_surge(fault.factor))
            return
        running = [u for u in self._upstreams_of(fault.tier) if not u.down]
        if fault.zone is not None:
            affected = [u for u in running if u.zone == fault.zone]
        else:
            affected = self._fault_random.sample(running, round(fault.part * len(running)))
        for upstream in affected:
            self._apply_fault(upstream, fault)

    def _end_surge(self, factor: float) -> None:
        self._load_factor /= factor

    def _apply_fault(self, upstream: Upstream, fault: Fault) -> None:
        after_ms, timeline = fault.for_s * 1000, self.timeline
        match fault.kind:
            case "slow":
                upstream.slow = fault.factor
                timeline.after(after_ms, lambda: setattr(upstream, "slow", 1.0))
            case "err":
                upstream.error_part = fault.rate
                timeline.after(after_ms, lambda: setattr(upstream, "error_part", 0.0))
            case "silent":
                upstream.silent = True
                timeline.after(after_ms, lambda: setattr(upstream, "silent", False))
            case "vanish":
                upstream.vanished = True
                timeline.after(after_ms, lambda: setattr(upstream, "vanished", False))
            case "crash":
                upstream.crash()
                self._publish_update(upstream.tier, upstream.entry(UpstreamState.GONE))
                timeline.after(after_ms, lambda: self._restart_upstream(upstream))
            case "replace":
                self._publish_update(upstream.tier, upstream.entry(UpstreamState.DRAINING))
                timeline.after(after_ms, lambda: self._remove_upstream(upstream))
                new = self._new_upstream(upstream.tier, timeline.now_ms)
                if upstream.copy is not None:
                    entries = tuple(
                        u.entry(UpstreamState.READY)
                        for u in self._upstreams_of(upstream.tier + 1)
                        if not u.down
                    )
                    self._attach_copy(new).apply_list(ListKind.CACHED, entries)
                self._publish_update(new.tier, new.entry(UpstreamState.READY))

    def _restart_upstream(self, upstream: Upstream) -> None:
        upstream.restart()
        self._publish_update(upstream.tier, upstream.entry(UpstreamState.READY))

    def _remove_upstream(self, upstream: Upstream) -> None:
        self._publish_update(upstream.tier, upstream.entry(UpstreamState.GONE))
        upstream.crash()

    def run(self) -> None:
        """Runs the experiment past the last possible deadline, then checks for missing answers."""
        for fault in self.experiment.troubles:
            self.timeline.at(START_MS + fault.at_s * 1000, lambda fault=fault: self._inject(fault))  # type: ignore[misc]
        self._schedule_wish()
        longest_ms = max(c.deadline_ms for c in self.experiment.load.classes)
        load = self.experiment.load
        waits_ms = sum(load.wait_ms * 2.0**n for n in range(1, load.tries))
        end_ms = START_MS + self.experiment.for_s * 1000 + load.tries * (longest_ms + 100) + waits_ms + 1000
        self.timeline.run(end_ms)
        self.checker.finish(end_ms)
