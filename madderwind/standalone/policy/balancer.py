"""Turns events into decisions; their types are in madderwind/standalone/policy/api.py, to be read first.

A `Balancer` is one instance. Its only clock is the `now` of `handle`, its only randomness comes from its
seed. A request passes admission, a pick, an attempt, perhaps retries (quota, wait and another pick), and gets
one final answer. docs/design.md describes the deviations from that."""

import random

from madderwind.balancing import estimates, retry_quota
from madderwind.standalone.policy import admission, api, fleet, picker, repetition, subscription, traffic
from madderwind.standalone.policy.api import Effect, Outcome
from madderwind.standalone.policy.records import Attempt, Request, Timer, TimerKind, Timers
from madderwind.standalone.policy.upstreams import DEAD_AFTER_CONNECTS, Upstream

# Mean deviations over the mean answer time of its class after which an attempt is overdue. With the four of
# TCP's time-out, one healthy attempt in forty counted as overdue.
OVERDUE_DEVIATIONS = 8.0
# The delay before failures are sent to peers; an upstream that answered within the second time isn't ejected
# for a failure that a peer reports.
FAILURE_REPORT_DELAY_MS, RECENT_ANSWER_MS = 50.0, 500.0


class Balancer:
    """All attempts start in `_send`, and `_answer` gives all final answers, except for an unknown class."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self._rng, self._traffic = random.Random(seed), traffic.Traffic(settings)
        self._quota = retry_quota.RetryQuota(self._rng)
        self._fleet = fleet.Fleet(settings, self._traffic, self._rng)
        self._picker = picker.Picker(settings, self._fleet, self._traffic, self._rng)
        self._admission = admission.Admission(settings, self._traffic)
        # The answer times are by class.
        self._requests, self._answer_times = dict[int, Request](), list[estimates.Mean]()
        self._subscription, self._timers = subscription.Subscription(settings, self._quota), Timers()
        self._components = self._traffic, self._fleet, self._picker, self._admission, self._subscription
        self.apply_settings(settings)

    def apply_settings(self, settings: api.Settings) -> None:
        """Use settings for new requests. Open ones keep their class: a laxer one might run them twice."""
        self._settings, self._is_front = settings, settings.tier == 0
        self._answer_times += [
            estimates.Mean(estimates.SLOW_GAIN) for _ in settings.classes[len(self._answer_times) :]
        ]

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        """Process one event and return the actions that the host has to carry out now, in order."""
        self._out, self._now = list[api.Action](), now
        if self._traffic.starts_publishing(now):
            self._set_timer(
                Timer(TimerKind.SEND_RATE), traffic.FIRST_INTERVAL_MS * self._rng.uniform(0.5, 1.5)
            )
        match event:
            case api.RequestArrived():
                self._handle_arrival(now, event)
            case api.AttemptEnded():
                self._handle_attempt_end(now, event)
            case api.TimerFired(token) if (timer := self._timers.remove(token)) is not None:
                self._handle_timer(now, timer)
            case api.ClientLeft():
                self._requests.pop(event.request_id, None)
            case api.AnswerBegan() if event.request_id in self._requests:
                self._requests[event.request_id].start_answer()
            case api.BodyPassing(request_id, deadline_ms) if request_id in self._requests:
                self._requests[request_id].stream_body(now, deadline_ms)
            case api.FleetListed():
                self._fleet.listed(event.kind, event.entries)
                self._ask_after(self._subscription.list_received(event.kind))
            case api.Retuned(settings):
                for component in (self, *self._components):
                    component.apply_settings(settings)
            case api.Recalled(memory):
                self._restore(memory)
            case api.PeerSpoke(peer, message):
                self._apply_peer_failures(now, self._traffic.receive(peer, message, now))
            case api.ListFailed():
                self._ask_after(self._subscription.call_failed())
        return self._out

    def skipped(self, now: float) -> int:
        """How many upstreams get no requests at present, draining ones not counted."""
        return sum(u.skipped(now) for u in self._fleet.upstreams.values())

    def hand_over(self) -> api.Memory:
        """What a successor process continues from.

        It gets half of the retry quota, so that both processes together spend no more than one."""
        self._quota.tokens /= 2
        known = {number: u.known() for number, u in self._fleet.upstreams.items()}
        return api.Memory(self._quota.tokens, self._admission.room, known)

    def _restore(self, memory: api.Memory) -> None:
        self._quota.tokens = min(self._quota.tokens, memory.quota)
        self._admission.room = max(admission.MIN_LIMIT, memory.room or admission.INITIAL_LIMIT)
        for number in memory.upstreams.keys() & self._fleet.upstreams.keys():
            self._fleet.upstreams[number].restore(memory.upstreams[number])

    def _ask_after(self, wait_ms: float | None) -> None:
        if wait_ms is not None:
            self._set_timer(Timer(TimerKind.SUBSCRIBE), wait_ms)

    def _handle_arrival(self, now: float, event: api.RequestArrived) -> None:
        if not 0 <= event.class_index < len(self._settings.classes):
            self._out.append(api.Fail(event.request_id))  # whether a retry is harmless is unknown
            return
        request = self._requests[event.request_id] = Request.from_arrival(event, self._settings, now)
        self._traffic.arrivals.arrived(now)
        admitted = True
        if self._is_front:  # in an inner tier, a refusal would waste work already done
            self._update_credit(now, other_requests := self._count_open() - 1)
            admitted = self._admission.admits(other_requests, event.class_index, event.tenant_index, now)
        if now >= request.deadline_ms or not admitted or not self._send(now, request, 0.0):
            self._answer(request)

    def _count_open(self) -> int:
        return len([r for r in self._requests.values() if not (r.is_transferring or self._hangs(r))])

    def _hangs(self, request: Request) -> bool:
        """Whether all its open attempts are at unresponsive upstreams, so it occupies no usable one.

        Otherwise such attempts would fill the limit of a balancer with little traffic, and it would refuse
        all requests."""
        open_attempts = [
            (self._fleet.upstreams.get(a.upstream.upstream), a) for a in request.attempts if a.outcome is None
        ]
        return bool(open_attempts) and not any(
            u and (u.counts_as_capacity(self._now) or u.last_answer_ms >= a.sent_ms) for u, a in open_attempts
        )

    def _update_credit(self, now: float, open_requests: int) -> None:
        typical_ms = self._picker.answer_times.mean or min(c.aim_ms for c in self._settings.classes)
        self._admission.update_credit(
            open_requests, self._fleet.usable(now), typical_ms, now, self._fleet.short
        )

    def _send(self, now: float, request: Request, cost: float) -> bool:
        """Start one more attempt, if an upstream may get it."""
        answer_times = self._answer_times[request.class_index]
        if (upstream := self._picker.pick(request, now)) is None:
            return False
        number = len(request.attempts)
        request.attempts.append(Attempt(upstream.entry, now, cost))
        upstream.in_flight_since_ms[request.id, number] = now
        self._out.append(api.Send(request.id, upstream.entry.upstream, 0.0))
        if self._is_front and answer_times.seen > 1 and request.request_class.effect is not Effect.UNSAFE:
            overdue_ms = answer_times.mean + OVERDUE_DEVIATIONS * answer_times.deviation
            if now + overdue_ms + answer_times.mean < request.useful_until_ms:
                self._set_timer(Timer(TimerKind.OVERDUE, request.id, number), overdue_ms)
        return True

    def _handle_attempt_end(self, now: float, event: api.AttemptEnded) -> None:
        request = self._requests.get(event.request_id)
        if (upstream := self._fleet.upstreams.get(event.upstream)) is not None:
            self._update_health(now, event, upstream)
        if request is not None and event.outcome in (Outcome.OK, Outcome.TIMEOUT):
            self._update_estimates(now, event, request, upstream)
        if request is None or event.attempt >= len(request.attempts):
            return
        attempt = request.attempts[event.attempt]
        attempt.outcome = event.outcome
        if event.request_over:
            if event.outcome is Outcome.OK:
                self._quota.succeeded(attempt.cost)
            self._requests.pop(request.id)
        elif not request.open_attempts() and request.pending_retry_cost is None:
            self._retry_or_answer(now, request, event.outcome)

    def _update_health(self, now: float, event: api.AttemptEnded, upstream: Upstream) -> None:
        """Update the upstream's failures by an attempt's outcome."""
        upstream.in_flight_since_ms.pop((event.request_id, event.attempt), None)
        if event.outcome is Outcome.CONNECT_FAILED:
            upstream.connect_failures += now >= upstream.ejected_until_ms
        elif event.outcome in (Outcome.OK, Outcome.ERROR):
            if upstream.connect_failures >= DEAD_AFTER_CONNECTS:
                upstream.record_restart(now)  # it was dead and answers: a restart, listed or not
            upstream.connect_failures, upstream.last_answer_ms = 0, now
        if event.outcome is Outcome.OK:
            upstream.failures //= 2
        elif event.outcome not in (Outcome.CANCELLED, Outcome.NOT_SENT):
            self._record_failure(now, upstream)

    def _update_estimates(
        self, now: float, event: api.AttemptEnded, request: Request, upstream: Upstream | None
    ) -> None:
        """Update answer times, slowness and the admission limit by an answer or time-out."""
        # The host's clock may not have advanced since the start.
        elapsed_ms, aim_ms = max(event.elapsed_ms, 0.1), request.request_class.aim_ms
        answer_times, answered = self._answer_times[request.class_index], event.outcome is Outcome.OK
        if answered:
            answer_times.add(elapsed_ms, now - self._traffic.arrivals.first_ms >= aim_ms)
            self._picker.answer_times.add(elapsed_ms)
            if upstream is not None:
                self._picker.credit_cold(upstream, now)
        if upstream is not None and answer_times.mean > 0:
            self._picker.record_duration(upstream, elapsed_ms / answer_times.mean)
        if answered and self._is_front:
            self._update_credit(now, self._count_open())
            self._admission.record_answer(elapsed_ms, answer_times, aim_ms, now)

    def _eject(self, now: float, upstream: Upstream) -> None:
        upstream.record_failure(now, self._quota.wait_ms(retry_quota.FULL_BASE_MS, upstream.failures))

    def _record_failure(self, now: float, upstream: Upstream) -> None:
        """Eject the upstream and report it to peers. Failures that peers reported are not passed on."""
        self._eject(now, upstream)
        if self._settings.may_tell:
            if not self._traffic.failed_marks:
                self._set_timer(Timer(TimerKind.SEND_FAILURES), FAILURE_REPORT_DELAY_MS)
            self._traffic.failed_marks.append(upstream.mark)

    def _apply_peer_failures(self, now: float, marks: frozenset[int]) -> None:
        for u in self._fleet.upstreams.values() if marks else ():
            if u.mark in marks and u.last_answer_ms < now - RECENT_ANSWER_MS:
                self._eject(now, u)

    def _retry_or_answer(self, now: float, request: Request, outcome: Outcome) -> None:
        """Schedule a retry within the quota, or answer. Inner tiers retry only what provably never ran."""
        cost, base_ms = retry_quota.FULL if outcome is Outcome.FULL else retry_quota.TRANSIENT
        wait_ms = self._quota.wait_ms(base_ms, len(request.attempts) - 1)
        if (
            (self._is_front or outcome.never_ran)
            and now + wait_ms + self._answer_times[request.class_index].mean < request.useful_until_ms
            and self._picker.may_resend(request, now + wait_ms)
            and self._quota.spend(cost)
        ):
            request.pending_retry_cost = cost
            self._set_timer(Timer(TimerKind.RETRY, request.id), wait_ms)
        else:
            self._answer(request)

    def _handle_timer(self, now: float, timer: Timer) -> None:
        request = self._requests.get(timer.request_id)
        match timer.kind:
            case TimerKind.SUBSCRIBE if not self._subscription.following:
                self._out.append(api.Subscribe(True))
            case TimerKind.SEND_FAILURES if self._traffic.failed_marks:
                self._out.append(api.TellPeers(None, self._traffic.next_message(now)))
            case TimerKind.SEND_RATE:
                self._out.append(api.TellPeers(None, self._traffic.next_message(now)))
                self._set_timer(Timer(TimerKind.SEND_RATE), self._traffic.next_message_after_ms(now))
            case TimerKind.RETRY if request is not None and request.pending_retry_cost is not None:
                self._retry(now, request, request.pending_retry_cost)
            case TimerKind.OVERDUE if request is not None and not request.not_resendable:
                self._handle_overdue(now, request, request.attempts[timer.attempt])

    def _retry(self, now: float, request: Request, cost: float) -> None:
        request.pending_retry_cost = None
        if now >= request.deadline_ms or not self._send(now, request, cost):
            self._quota.refund(cost)
            self._answer(request)

    def _handle_overdue(self, now: float, request: Request, attempt: Attempt) -> None:
        """Handle an attempt whose upstream has answered nothing since: it may accept work and never answer.

        This counts as a failure of the upstream. If settings and class allow it, a second attempt starts. It
        costs as much quota as a retry."""
        upstream = self._fleet.upstreams.get(attempt.upstream.upstream)
        if attempt.outcome is not None or (upstream and upstream.last_answer_ms > attempt.sent_ms):
            return  # the upstream answers, so the request merely takes long: a second attempt is wasted work
        if upstream is not None:
            self._record_failure(now, upstream)
        is_last, cost = (
            request.attempts[-1] is attempt and self._settings.second_copies,
            retry_quota.TRANSIENT_COST,
        )
        if is_last and self._quota.spend(cost) and not self._send(now, request, cost):
            self._quota.refund(cost)

    def _answer(self, request: Request) -> None:
        """Give the request its final answer at once, without a further attempt."""
        del self._requests[request.id]
        if repetition.may_be_refused(request):
            wait_ms = self._quota.wait_ms(self._picker.answer_times.mean or retry_quota.FULL_BASE_MS, 0)
            retry_after_ms = min(self._settings.max_retry_after_ms, wait_ms)
            self._out.append(api.Refuse(request.id, retry_after_ms if self._settings.retry_after else 0.0))
        else:
            self._out.append(api.Fail(request.id))

    def _set_timer(self, timer: Timer, after_ms: float) -> None:
        self._out.append(api.SetTimer(after_ms, self._timers.add(timer)))
