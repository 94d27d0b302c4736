"""Ties events to decisions. Read first the types in madderwind/standalone/policy/api.py.

One `Balancer` is one instance; time is `handle`'s `now` alone, chance its seed alone. A request goes:
admission, pick, attempt, (quota, wait, pick again,) one final answer. docs/design.md tells the departures."""

import random

from madderwind.balancing import estimates, retry_quota
from madderwind.standalone.policy import admission, api, fleet, picker, repetition, subscription, traffic
from madderwind.standalone.policy.api import Effect, Outcome
from madderwind.standalone.policy.records import Attempt, Request, Timer, TimerKind, Timers
from madderwind.standalone.policy.upstreams import DEAD, Upstream

OVERDUE_DEVIATIONS = 8.0  # over its class's mean; TCP's four call one sound attempt in forty late
ALARM_MS, HEARD_MS = 50.0, 500.0  # failures are told after; passed over if the upstream was heard so lately


class Balancer:
    """`_send` is the only way to an attempt, `_answer` the only way to a final answer."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self._rng, self._traffic = random.Random(seed), traffic.Traffic(settings)
        self._quota = retry_quota.RetryQuota(self._rng)
        self._fleet = fleet.Fleet(settings, self._traffic, self._rng)
        self._picker = picker.Picker(settings, self._fleet, self._traffic, self._rng)
        self._admission = admission.Admission(settings, self._traffic)
        self._requests, self._usual = (
            dict[int, Request](),
            list[estimates.Mean](),
        )  # usual: answer times by class
        self._subscription, self._timers = subscription.Subscription(settings, self._quota), Timers()
        self._parts = self._traffic, self._fleet, self._picker, self._admission, self._subscription
        self.tune(settings)

    def tune(self, settings: api.Settings) -> None:
        """For what comes from now on: a request under way keeps its class, as a looser might run it twice."""
        self._settings, self._is_front = settings, settings.tier == 0
        self._usual += [estimates.Mean(estimates.SLOW_GAIN) for _ in settings.classes[len(self._usual) :]]

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        """Takes one event; returns what the host has to do now, in order."""
        self._out, self._now = list[api.Action](), now
        if self._traffic.begins_to_tell(now):
            self._set_timer(Timer(TimerKind.TELL), traffic.FIRST_TELL_MS * self._rng.uniform(0.5, 1.5))
        match event:
            case api.RequestArrived():
                self._arrived(now, event)
            case api.AttemptEnded():
                self._attempt_ended(now, event)
            case api.TimerFired(token) if (timer := self._timers.fired(token)) is not None:
                self._timer_fired(now, timer)
            case api.ClientLeft():
                self._requests.pop(event.request_id, None)
            case api.AnswerBegan() if event.request_id in self._requests:
                self._requests[event.request_id].answer_began()
            case api.BodyPassing(request_id, deadline_ms) if request_id in self._requests:
                self._requests[request_id].body_passes(now, deadline_ms)
            case api.FleetListed():
                self._fleet.listed(event.kind, event.entries)
                self._ask_after(self._subscription.listed(event.kind))
            case api.Retuned(settings):
                for part in (self, *self._parts):
                    part.tune(settings)
            case api.Recalled(memory):
                self._recall(memory)
            case api.PeerSpoke(peer, message):
                self._failed_others(now, self._traffic.heard(peer, message, now))
            case api.ListFailed():
                self._ask_after(self._subscription.broke())
        return self._out

    def skipped(self, now: float) -> int:
        """How many upstreams get nothing at present, those that drain left out."""
        return sum(u.skipped(now) for u in self._fleet.upstreams.values())

    def hand_over(self) -> api.Memory:
        """What a successor goes on from. Half of the quota goes with it: both spend no more than one."""
        self._quota.tokens /= 2
        known = {number: u.known() for number, u in self._fleet.upstreams.items()}
        return api.Memory(self._quota.tokens, self._admission.room, known)

    def _recall(self, memory: api.Memory) -> None:
        self._quota.tokens = min(self._quota.tokens, memory.quota)
        self._admission.room = max(admission.ROOM_LEAST, memory.room or admission.ROOM_START)
        for number in memory.upstreams.keys() & self._fleet.upstreams.keys():
            self._fleet.upstreams[number].recall(memory.upstreams[number])

    def _ask_after(self, wait_ms: float | None) -> None:
        if wait_ms is not None:
            self._set_timer(Timer(TimerKind.ASK), wait_ms)

    def _arrived(self, now: float, event: api.RequestArrived) -> None:
        if not 0 <= event.class_index < len(self._settings.classes):
            self._out.append(api.Fail(event.request_id))  # its class is unknown, so nothing is promised
            return
        request = self._requests[event.request_id] = Request.arrived(event, self._settings, now)
        self._traffic.arrivals.arrived(now)
        room = True
        if self._is_front:  # only: further in, a refusal wastes work already done
            self._settle(now, others := self._open() - 1)
            room = self._admission.admits(others, event.class_index, event.tenant_index, now)
        if now >= request.deadline_ms or not room or not self._send(now, request, 0.0):
            self._answer(request)

    def _open(self) -> int:
        return len([r for r in self._requests.values() if not (r.passing or self._hangs(r))])

    def _hangs(self, r: Request) -> bool:
        """Guards against thin balancers that refuse all while an attempt into silence fills their room."""
        out = [(self._fleet.upstreams.get(a.upstream.upstream), a) for a in r.attempts if a.outcome is None]
        return bool(out) and not any(u and (u.counts(self._now) or u.heard_ms >= a.sent_ms) for u, a in out)

    def _settle(self, now: float, open_requests: int) -> None:
        typical_ms = self._picker.typical.mean or min(c.aim_ms for c in self._settings.classes)
        self._admission.settle(open_requests, self._fleet.usable(now), typical_ms, now, self._fleet.short)

    def _send(self, now: float, request: Request, cost: float) -> bool:
        """One more attempt, where an upstream may have it."""
        usual = self._usual[request.class_index]
        if (upstream := self._picker.pick(request, now)) is None:
            return False
        number = len(request.attempts)
        request.attempts.append(Attempt(upstream.entry, now, cost))
        upstream.sent_ms[request.id, number] = now
        self._out.append(api.Send(request.id, upstream.entry.upstream, 0.0))
        if self._is_front and usual.seen > 1 and request.request_class.effect is not Effect.UNSAFE:
            overdue_ms = usual.mean + OVERDUE_DEVIATIONS * usual.deviation
            if now + overdue_ms + usual.mean < request.useful_until_ms:
                self._set_timer(Timer(TimerKind.OVERDUE, request.id, number), overdue_ms)
        return True

    def _attempt_ended(self, now: float, event: api.AttemptEnded) -> None:
        request = self._requests.get(event.request_id)
        if (upstream := self._fleet.upstreams.get(event.upstream)) is not None:
            self._judge(now, event, upstream)
        if request is not None and event.outcome in (Outcome.OK, Outcome.TIMEOUT):
            self._learn(now, event, request, upstream)
        if request is None or event.attempt >= len(request.attempts):
            return
        attempt = request.attempts[event.attempt]
        attempt.outcome = event.outcome
        if event.request_over:
            if event.outcome is Outcome.OK:
                self._quota.succeeded(attempt.cost)
            self._requests.pop(request.id)
        elif not request.open_attempts() and request.waiting_cost is None:
            self._retry_or_answer(now, request, event.outcome)

    def _judge(self, now: float, event: api.AttemptEnded, upstream: Upstream) -> None:
        """What an attempt's end tells of its upstream."""
        upstream.sent_ms.pop((event.request_id, event.attempt), None)
        if event.outcome is Outcome.CONNECT_FAILED:
            upstream.refused += now >= upstream.ejected_until_ms
        elif event.outcome in (Outcome.OK, Outcome.ERROR):
            if upstream.refused >= DEAD:
                upstream.restarted(now)  # life after a death is a restart, even before the list tells
            upstream.refused, upstream.heard_ms = 0, now
        if event.outcome is Outcome.OK:
            upstream.failures //= 2
        elif event.outcome not in (Outcome.CANCELLED, Outcome.NOT_SENT):
            self._failed(now, upstream)

    def _learn(
        self, now: float, event: api.AttemptEnded, request: Request, upstream: Upstream | None
    ) -> None:
        """What an answer or a time-out tells of its class and the room for requests."""
        elapsed_ms, aim_ms = (
            max(event.elapsed_ms, 0.1),
            request.request_class.aim_ms,
        )  # a clock may stand still
        usual, answered = self._usual[request.class_index], event.outcome is Outcome.OK
        if answered:
            usual.add(elapsed_ms, now - self._traffic.arrivals.first_ms >= aim_ms)
            self._picker.typical.add(elapsed_ms)
            if upstream is not None:
                self._picker.carried(upstream, now)
        if upstream is not None and usual.mean > 0:
            self._picker.took(upstream, elapsed_ms / usual.mean)
        if answered and self._is_front:
            self._settle(now, self._open())
            self._admission.answered(elapsed_ms, usual, aim_ms, now)

    def _eject(self, now: float, upstream: Upstream) -> None:
        upstream.failed(now, self._quota.wait_ms(retry_quota.FULL_BASE_MS, upstream.failures))

    def _failed(self, now: float, upstream: Upstream) -> None:
        """What this balancer has seen itself is told to the others; hearsay is not told on."""
        self._eject(now, upstream)
        if self._settings.may_tell:
            if not self._traffic.failed:
                self._set_timer(Timer(TimerKind.ALARM), ALARM_MS)
            self._traffic.failed.append(upstream.mark)

    def _failed_others(self, now: float, marks: frozenset[int]) -> None:
        for u in self._fleet.upstreams.values() if marks else ():
            if u.mark in marks and u.heard_ms < now - HEARD_MS:
                self._eject(now, u)

    def _retry_or_answer(self, now: float, request: Request, outcome: Outcome) -> None:
        """The quota's retry, or the answer at once. Inner balancers retry only what provably never ran."""
        cost, base_ms = retry_quota.FULL if outcome is Outcome.FULL else retry_quota.TRANSIENT
        wait_ms = self._quota.wait_ms(base_ms, len(request.attempts) - 1)
        if (
            (self._is_front or outcome.never_ran)
            and now + wait_ms + self._usual[request.class_index].mean < request.useful_until_ms
            and self._picker.has_place(request, now + wait_ms)
            and self._quota.spend(cost)
        ):
            request.waiting_cost = cost
            self._set_timer(Timer(TimerKind.RETRY, request.id), wait_ms)
        else:
            self._answer(request)

    def _timer_fired(self, now: float, timer: Timer) -> None:
        request = self._requests.get(timer.request_id)
        match timer.kind:
            case TimerKind.ASK if not self._subscription.following:
                self._out.append(api.Subscribe(True))
            case TimerKind.ALARM if self._traffic.failed:
                self._out.append(api.TellPeers(None, self._traffic.tell(now)))
            case TimerKind.TELL:
                self._out.append(api.TellPeers(None, self._traffic.tell(now)))
                self._set_timer(Timer(TimerKind.TELL), self._traffic.next_tell_ms(now))
            case TimerKind.RETRY if request is not None and request.waiting_cost is not None:
                self._retry(now, request, request.waiting_cost)
            case TimerKind.OVERDUE if request is not None and not request.once_only:
                self._overdue(now, request, request.attempts[timer.attempt])

    def _retry(self, now: float, request: Request, cost: float) -> None:
        request.waiting_cost = None
        if now >= request.deadline_ms or not self._send(now, request, cost):
            self._quota.refund(cost)
            self._answer(request)

    def _overdue(self, now: float, request: Request, attempt: Attempt) -> None:
        """Silence while others answer: guards against upstreams that take work and answer nothing. It counts
        as their failure; where the class allows, a second copy goes out, paid for like a retry."""
        upstream = self._fleet.upstreams.get(attempt.upstream.upstream)
        if attempt.outcome is not None or (upstream and upstream.heard_ms > attempt.sent_ms):
            return  # it lives: a second copy would be work wasted on a request that is merely long
        if upstream is not None:
            self._failed(now, upstream)
        last, cost = (
            request.attempts[-1] is attempt and self._settings.second_copies,
            retry_quota.TRANSIENT_COST,
        )
        if last and self._quota.spend(cost) and not self._send(now, request, cost):
            self._quota.refund(cost)

    def _answer(self, request: Request) -> None:
        """The final answer of a request given up on, at once."""
        del self._requests[request.id]
        if repetition.may_be_refused(request):
            wait_ms = self._quota.wait_ms(self._picker.typical.mean or retry_quota.FULL_BASE_MS, 0)
            hold_off_ms = min(self._settings.max_retry_after_ms, wait_ms)
            self._out.append(api.Refuse(request.id, hold_off_ms if self._settings.retry_after else 0.0))
        else:
            self._out.append(api.Fail(request.id))

    def _set_timer(self, timer: Timer, after_ms: float) -> None:
        self._out.append(api.SetTimer(after_ms, self._timers.set(timer)))
