"""Stories of the data plane's decisions, without sockets or clocks."""

from __future__ import annotations

import json
import random
import unittest
from collections.abc import Mapping
from typing import Any

from hypothesis import given
from hypothesis import strategies as st
from multidict import CIMultiDict, CIMultiDictProxy

from madderwind.balancing.retry_quota import RetryQuota
from madderwind.configuration.reading import read_document
from madderwind.dataplane.admission import Admission, Admitted, Rejected
from madderwind.dataplane.attempts import (
    Attempt,
    AttemptResult,
    Progress,
    may_be_sent_again,
    may_promise,
)
from madderwind.dataplane.event_stream import EventSplitter, EventTooLong
from madderwind.dataplane.headers import (
    Onward,
    deadline_header,
    headers_back,
    headers_onward,
    milliseconds,
    token_usage,
)
from madderwind.dataplane.retrying import MOST_UNSENT, Retries
from madderwind.dataplane.stream_timeouts import STREAM_TIMEOUT_MS, StreamTimeouts
from madderwind.dataplane.upstream_heads import Head, read_head
from madderwind.dataplane.upstream_health import LONGEST_EJECTION_MS, UpstreamHealth
from madderwind.placement.prompts import PromptPart
from tests.dataplane.fleet import CLIENT_HOST, document, event

NOT_RUN = (AttemptResult.NOT_SENT, AttemptResult.REFUSED_FULL, AttemptResult.MISDIRECTED)
MAY_HAVE_RUN = (AttemptResult.BROKEN, AttemptResult.TIMED_OUT, None)


def progress(*results: AttemptResult | None, idempotent: bool = False, resumable: bool = False) -> Progress:
    known = Progress(idempotent, resumable, 3)
    for number, result in enumerate(results):
        known.attempts.append(Attempt(f"i-{number}", result is not AttemptResult.NOT_SENT, result))
    return known


class Resending(unittest.TestCase):
    def test_does_no_harm_where_no_attempt_can_have_run(self) -> None:
        for result in NOT_RUN:
            self.assertTrue(may_be_sent_again(progress(result)))
            self.assertTrue(may_promise(progress(result)))

    def test_of_what_may_have_run_is_for_idempotent_requests_and_never_promised(self) -> None:
        for result in MAY_HAVE_RUN:
            self.assertFalse(may_be_sent_again(progress(result)))
            self.assertTrue(may_be_sent_again(progress(result, idempotent=True)))
            self.assertFalse(may_promise(progress(result)))
            self.assertFalse(may_promise(progress(result, AttemptResult.REFUSED_FULL, idempotent=True)))

    def test_counts_every_upstream_it_was_sent_to(self) -> None:
        refused = AttemptResult.REFUSED_FULL
        self.assertTrue(may_be_sent_again(progress(refused, refused)))
        self.assertFalse(may_be_sent_again(progress(refused, refused, refused)))
        self.assertTrue(may_be_sent_again(progress(refused, refused, *[AttemptResult.NOT_SENT] * 5)))

    def test_of_an_answer_that_has_begun_is_for_resumable_streams(self) -> None:
        for resumable in (False, True):
            begun = progress(AttemptResult.BROKEN, idempotent=True, resumable=resumable)
            begun.answer_begun = True
            self.assertEqual(may_be_sent_again(begun), resumable)
            self.assertFalse(may_promise(begun))


class NoBudget:
    """Grants nothing, or all."""

    def __init__(self, grants: bool) -> None:
        self.grants, self.asked = grants, 0

    def set_data_planes(self, data_planes: int) -> None:
        """Not of interest here."""

    def request(self, now_ms: float, service: str) -> None:
        """Not of interest here."""

    def may_send_again(self, now_ms: float, service: str) -> bool:
        self.asked += 1
        return self.grants


class TheWaitBeforeARetry(unittest.TestCase):
    def setUp(self) -> None:
        self.quota = RetryQuota(random.Random(3), refund_on_success=False)
        self.budget = NoBudget(True)
        self.retries = Retries(self.quota, self.budget)

    def wait(self, known: Progress, left_ms: float = 60_000.0) -> float | None:
        return self.retries.wait_ms(0.0, known, "app", left_ms)

    def test_is_longer_after_a_refusal_and_grows(self) -> None:
        refused, broken = AttemptResult.REFUSED_FULL, AttemptResult.BROKEN
        transient = [self.wait(progress(broken, idempotent=True)) or 0 for _ in range(20)]
        self.assertLess(max(transient), 100.0)
        throttled = [self.wait(progress(refused)) or 0 for _ in range(20)]
        self.assertTrue(100.0 < max(throttled) < 1000.0)
        second = [self.wait(progress(refused, refused)) or 0 for _ in range(20)]
        self.assertTrue(1000.0 < max(second) < 2000.0)

    def test_is_none_after_what_was_never_sent_and_that_costs_nothing(self) -> None:
        unsent = AttemptResult.NOT_SENT
        self.assertEqual(self.wait(progress(unsent)), 0.0)
        self.assertEqual((self.quota.tokens, self.budget.asked), (500.0, 0))
        self.assertIsNone(self.wait(progress(*[unsent] * MOST_UNSENT)))

    def test_is_paid_for_by_what_it_follows(self) -> None:
        self.wait(progress(AttemptResult.REFUSED_FULL))
        self.assertEqual(self.quota.tokens, 495.0)
        self.wait(progress(AttemptResult.MISDIRECTED))
        self.assertEqual(self.quota.tokens, 481.0)
        self.retries.succeeded(progress(AttemptResult.COMPLETE))
        self.assertEqual(self.quota.tokens, 482.0)
        self.retries.succeeded(progress(AttemptResult.REFUSED_FULL, AttemptResult.COMPLETE))
        self.assertEqual(self.quota.tokens, 482.0)  # a retry that succeeds gives nothing back

    def test_does_not_come_without_tokens_without_budget_or_without_time(self) -> None:
        refused = progress(AttemptResult.REFUSED_FULL)
        self.assertIsNone(self.wait(refused, left_ms=10.0))
        self.assertEqual((self.quota.tokens, self.budget.asked), (500.0, 0))
        self.budget.grants = False
        self.assertIsNone(self.wait(refused))
        self.assertEqual(self.quota.tokens, 500.0)
        self.budget.grants = True
        self.quota.spend(496.0)
        self.assertIsNone(self.wait(refused))
        self.assertEqual(self.budget.asked, 1)  # no budget is spent where there are no tokens


class Heads(unittest.TestCase):
    def read(self, status: int, **headers: str) -> Head:
        told = CIMultiDict({name.replace("_", "-"): value for name, value in headers.items()})
        return read_head("r-1", status, told)

    def test_of_this_requests_answers(self) -> None:
        self.assertIs(self.read(200, X_Request_Id="r-1", X_Upstream_Signature="s"), Head.ANSWER)
        self.assertIs(self.read(500, X_Request_Id="r-1"), Head.ANSWER)
        self.assertIs(self.read(400, X_Request_Id="r-1", X_Not_Executed="1"), Head.ANSWER)

    def test_of_another_request(self) -> None:
        for status in (200, 421, 500, 503):
            self.assertIs(self.read(status, X_Request_Id="r-2", X_Not_Executed="1"), Head.FOREIGN)
        self.assertIs(self.read(200, X_Upstream_Signature="s"), Head.FOREIGN)

    def test_of_refusals(self) -> None:
        self.assertIs(self.read(503, X_Not_Executed="1"), Head.REFUSAL)
        self.assertIs(self.read(429, X_Request_Id="r-1", X_Not_Executed="1"), Head.REFUSAL)
        self.assertIs(self.read(421, X_Upstream_Instance="i-2"), Head.MISDIRECTED)
        for status in (503, 429, 408):
            self.assertIs(self.read(status, X_Request_Id="r-1"), Head.UNPROVEN)

    def test_of_bytes_that_are_not_the_upstreams(self) -> None:
        good = {"X_Request_Id": "r-1", "X_Upstream_Signature": "s"}
        self.assertIs(self.read(200, **good, Content_Encoding="gzip"), Head.UNUSABLE)
        self.assertIs(self.read(200, X_Request_Id="r-1"), Head.UNUSABLE)
        for status in (99, 199, 600, 999):
            self.assertIs(self.read(status, **good), Head.UNUSABLE)

    def test_without_an_id_to_compare(self) -> None:
        self.assertIs(read_head(None, 400, {"X-Not-Executed": "1"}), Head.ANSWER)
        self.assertIs(read_head(None, 400, {"X-Not-Executed": "1", "X-Request-Id": ""}), Head.ANSWER)

    def test_with_an_id_where_none_was_sent(self) -> None:
        told = {"X-Request-Id": "r-1", "X-Upstream-Signature": "s", "X-Not-Executed": "1"}
        for status in (200, 421, 500, 503):
            self.assertIs(read_head(None, status, told), Head.FOREIGN)


class Events(unittest.TestCase):
    def test_come_out_whole_and_as_soon_as_they_are(self) -> None:
        splitter = EventSplitter()
        whole = event(1) + event(2)
        got = [splitter.feed(whole[at : at + 1]) for at in range(len(whole))]
        self.assertEqual([part for part in got if part], [event(1), event(2)])
        self.assertEqual(splitter.last_id, b"2")

    def test_that_are_known_are_dropped_after_a_resumption(self) -> None:
        splitter = EventSplitter()
        self.assertEqual(splitter.feed(event(9) + event(10) + b"id: 11\nda"), event(9) + event(10))
        splitter.resume()
        self.assertEqual(splitter.feed(event(8) + event(9)), b"")
        self.assertEqual(splitter.feed(event(10) + event(11) + event(12)[:4]), event(11))
        self.assertEqual(splitter.feed(event(12)[4:]), event(12))
        self.assertEqual(splitter.last_id, b"12")

    def test_with_other_line_ends_and_with_lines_before_the_id(self) -> None:
        splitter = EventSplitter()
        one = b"versions: 3\r\nid: 4\r\ndata: x\r\n\r\n"
        self.assertEqual(splitter.feed(one + b"id: 5\r\n"), one)
        self.assertEqual(splitter.last_id, b"4")
        self.assertEqual(splitter.rest(), b"id: 5\r\n")

    def test_that_do_not_end_are_given_up(self) -> None:
        splitter = EventSplitter()
        with self.assertRaises(EventTooLong):
            for _ in range(20):
                splitter.feed(b"x" * 100_000)

    @given(st.lists(st.integers(1, 60), min_size=1, max_size=12), st.integers(1, 8), st.integers(0, 12))
    def test_of_two_upstreams_are_each_passed_on_once(self, sizes: list[int], cut: int, back: int) -> None:
        """Whatever the pieces are, and wherever the second stream begins again."""
        events = [event(number + 1, "t" * size) for number, size in enumerate(sizes)]
        whole = b"".join(events)
        splitter = EventSplitter()
        break_at = len(whole) * cut // 9
        passed = b"".join(splitter.feed(whole[at : at + cut]) for at in range(0, break_at, cut))
        splitter.resume()
        known = passed.count(b"id: ")
        again = b"".join(events[max(0, known - back) :])
        passed += b"".join(splitter.feed(again[at : at + cut]) for at in range(0, len(again), cut))
        self.assertEqual(passed, whole)


class Headers(unittest.TestCase):
    def onward(self, headers: Mapping[str, str], tenant: str | None = "acme") -> CIMultiDict[str]:
        proxy = CIMultiDictProxy(CIMultiDict(headers))
        return headers_onward(proxy, Onward("i-1", tenant, 2))

    def test_of_one_connection_are_not_passed_on(self) -> None:
        passed = self.onward(
            {"Connection": "keep-alive, X-Hop", "X-Hop": "1", "TE": "trailers", "Upgrade": "h2c", "X-On": "2"}
        )
        self.assertEqual(
            {name: passed[name] for name in passed},
            {
                "X-On": "2",
                "X-Expect-Instance": "i-1",
                "Priority": "2",
                "X-Tenant-Id": "acme",
            },
        )

    def test_of_the_deadline_is_whole_ms_and_one_at_least(self) -> None:
        self.assertEqual(deadline_header(1234.9), {"X-Deadline-Ms": "1234"})
        self.assertEqual(deadline_header(-3.0), {"X-Deadline-Ms": "1"})

    def test_of_a_clients_own_deadline_are_not_passed_on(self) -> None:
        self.assertNotIn("X-Deadline-Ms", self.onward({"x-deadline-ms": "9000"}))

    def test_meant_for_the_other_end_are_passed_on_whatever_the_connections_name(self) -> None:
        named = {
            "Connection": "X-Model, X-Request-Id, X-Hop",
            "X-Model": "m",
            "X-Request-Id": "r-1",
            "X-Hop": "1",
        }
        passed = self.onward(named)
        self.assertEqual((passed.get("X-Model"), passed.get("X-Request-Id")), ("m", "r-1"))
        self.assertNotIn("X-Hop", passed)
        told = CIMultiDict({"Connection": "X-Upstream-Signature", "X-Upstream-Signature": "s"})
        self.assertEqual(dict(headers_back(CIMultiDictProxy(told))), {"X-Upstream-Signature": "s"})

    def test_a_clients_own_word_on_its_tenant_is_never_passed_on(self) -> None:
        passed = self.onward({"X-Tenant-Id": "other", "x-key": "k", "X-Expect-Instance": "i-9"}, tenant=None)
        self.assertNotIn("X-Tenant-Id", passed)
        self.assertNotIn("X-Key", passed)
        self.assertEqual(passed.getall("X-Expect-Instance"), ["i-1"])

    def test_back_keep_all_but_the_connections(self) -> None:
        told = CIMultiDictProxy(
            CIMultiDict(
                {"Connection": "close", "Keep-Alive": "timeout=10", "Content-Length": "3", "X-A": "b"}
            )
        )
        self.assertEqual(dict(headers_back(told)), {"X-A": "b"})

    def test_numbers_that_are_none_are_passed_over(self) -> None:
        for odd in ("", "x", "-4", "inf", "nan", "1e999"):
            self.assertIsNone(milliseconds({"X-Deadline-Ms": odd}, "X-Deadline-Ms"), odd)
        self.assertEqual(milliseconds({"X-Deadline-Ms": "15.5"}, "X-Deadline-Ms"), 15.5)
        for odd in ("", "3", "3,", "a,b", "-1,4", "1,2,3"):
            self.assertIsNone(token_usage({"X-Token-Usage": odd}), odd)
        self.assertEqual(token_usage({"X-Token-Usage": "1460, 80"}), (1460, 80))


class Health(unittest.TestCase):
    def setUp(self) -> None:
        self.health = UpstreamHealth(random.Random(2))

    def avoided(self, now_ms: float) -> bool:
        return "i-1" in self.health.to_avoid(now_ms, ("i-1", "i-2"))

    def test_one_that_refuses_connections_is_left_out_and_then_probed(self) -> None:
        self.health.connect_failed(0.0, "i-1")
        self.assertTrue(self.avoided(100.0))
        self.assertFalse(self.avoided(250.0))
        self.health.began("i-1")
        self.assertTrue(self.avoided(260.0))  # one request at a time
        self.health.ended("i-1")
        self.assertFalse(self.avoided(270.0))
        self.health.succeeded("i-1")
        self.health.began("i-1")
        self.assertFalse(self.avoided(280.0))

    def test_is_left_out_for_longer_with_each_failure(self) -> None:
        now_ms, times = 0.0, []
        for _ in range(8):
            self.health.connect_failed(now_ms, "i-1")
            out_ms = 0.0
            while self.avoided(now_ms + out_ms):
                out_ms += 10.0
            times.append(out_ms)
            now_ms += out_ms
        self.assertLess(times[0], 260.0)
        self.assertTrue(2000.0 < times[-1] <= LONGEST_EJECTION_MS)

    def test_one_broken_answer_is_no_reason(self) -> None:
        self.health.broke(0.0, "i-1")
        self.assertFalse(self.avoided(1.0))
        self.health.succeeded("i-1")
        self.health.broke(2.0, "i-1")
        self.assertFalse(self.avoided(3.0))
        self.health.broke(4.0, "i-1")
        self.assertTrue(self.avoided(5.0))

    def test_streams_that_are_all_silent_are_a_hint(self) -> None:
        streams = StreamTimeouts()
        streams.began(0.0, "i-1")
        streams.began(100.0, "i-1")
        self.assertEqual(streams.timed_out(100.0 + STREAM_TIMEOUT_MS, ("i-1", "i-2")), frozenset())
        self.assertEqual(streams.timed_out(101.0 + STREAM_TIMEOUT_MS, ("i-1", "i-2")), {"i-1"})
        streams.record_data(600.0, "i-1")
        self.assertEqual(streams.timed_out(601.0, ("i-1",)), frozenset())
        streams.ended("i-1")
        streams.ended("i-1")
        self.assertEqual(streams.timed_out(5000.0, ("i-1",)), frozenset())


class Quota:
    """Admits what it is told to, and keeps the book."""

    def __init__(self) -> None:
        self.admits = True
        self.drawn: list[tuple[str, float]] = []
        self.room_in_ms = 0.0
        self.late: list[bool] = []

    def admit(self, now_ms: float, tenant_name: str, amount: float, *, is_late: bool = False) -> bool:
        self.late.append(is_late)
        if self.admits:
            self.drawn.append((tenant_name, amount))
        return self.admits

    def refund(self, now_ms: float, tenant_name: str, amount: float, *, is_late: bool = False) -> None:
        self.drawn.remove((tenant_name, amount))

    def retry_after_ms(self, now_ms: float, tenant_name: str) -> float:
        return self.room_in_ms


class Admitting(unittest.TestCase):
    def setUp(self) -> None:
        self.quota, self.current = Quota(), True
        self.admission = Admission(self.quota, lambda: self.current, random.Random(4))
        self.configure()

    def configure(self, **changes: Any) -> None:
        raw = json.dumps(document(**changes)).encode()
        self.admission.configure(read_document(raw))

    def admit(self, target: str = "/safe/x", **headers: str) -> Admitted | Rejected:
        told = {"Host": CLIENT_HOST, "X-Key": "k-acme"}
        told |= {name.replace("_", "-"): value for name, value in headers.items()}
        return self.admission.admit(0.0, 0.0, target, CIMultiDict(told))

    def admitted(self, target: str = "/safe/x", **headers: str) -> Admitted:
        decision = self.admit(target, **headers)
        assert isinstance(decision, Admitted)
        return decision

    def rejected(self, target: str = "/safe/x", **headers: str) -> Rejected:
        decision = self.admit(target, **headers)
        assert isinstance(decision, Rejected)
        return decision

    def test_ends_what_no_route_or_key_allows_while_the_version_is_known_to_be_current(self) -> None:
        self.assertEqual(self.rejected("/nowhere/x").status, 404)
        self.assertEqual(self.rejected(X_Key="k-unknown").status, 401)
        self.assertEqual(self.rejected(X_Key="").status, 401)
        self.assertIsNone(self.rejected("/nowhere/x").retry_after_ms)

    def test_asks_clients_to_come_back_while_it_is_not(self) -> None:
        self.current = False
        for decision in (self.rejected("/nowhere/x"), self.rejected(X_Key="k-unknown")):
            self.assertEqual(decision.status, 503)
            self.assertIsNotNone(decision.retry_after_ms)

    def test_has_nothing_to_go_by_before_the_first_configuration(self) -> None:
        self.admission = Admission(self.quota, lambda: True, random.Random(4))
        self.assertEqual(self.rejected().status, 503)

    def test_needs_no_key_on_public_routes_or_without_tenants(self) -> None:
        self.configure(tenants=[])
        self.assertIsNone(self.admitted(X_Key="").tenant)
        routes = [{**route, "public": True} for route in document()["routes"]]
        self.configure(routes=routes)
        self.assertIsNone(self.admitted(X_Key="").tenant)
        self.assertEqual(self.admitted().tenant, "acme")

    def test_prefers_the_tenants_priority(self) -> None:
        self.assertEqual(self.admitted().priority, 1)
        self.assertEqual(self.admitted(X_Key="k-thrifty").priority, 3)

    def test_draws_on_the_tenants_quota_and_gives_back_what_never_ran(self) -> None:
        self.admitted()
        self.assertEqual(self.quota.drawn, [])  # no limit
        admitted = self.admitted(X_Key="k-thrifty")
        self.assertEqual(self.quota.drawn, [("thrifty", 1.0)])
        self.admission.never_ran(0.0, admitted)
        self.assertEqual(self.quota.drawn, [])
        self.quota.admits = False
        rejected = self.rejected(X_Key="k-thrifty")
        self.assertEqual(rejected.status, 429)
        self.assertTrue(500.0 <= (rejected.retry_after_ms or 0.0) <= 1000.0)

    def test_tells_one_beyond_its_quota_when_there_will_be_room(self) -> None:
        self.quota.admits, self.quota.room_in_ms = False, 6_000.0
        told_ms = [self.rejected(X_Key="k-thrifty").retry_after_ms or 0.0 for _ in range(50)]
        self.assertTrue(all(3_000.0 <= each <= 6_000.0 for each in told_ms))
        self.assertGreater(len(set(told_ms)), 10)

    def test_tells_the_quota_who_is_late_already(self) -> None:
        for left_ms in (9000, 9000, 9000, 9100, 8700, 5000):
            self.admitted(X_Key="k-thrifty", X_Deadline_Ms=str(left_ms))
        self.admitted(X_Key="k-thrifty")
        self.assertEqual(self.quota.late, [False] * 5 + [True, False])

    def test_counts_tokens_where_the_tenant_is_counted_by_them(self) -> None:
        tenant = {"name": "t", "api_keys": ["k"], "unit": "tokens", "prompt_tokens": 200, "rate_per_s": 9}
        self.configure(tenants=[tenant])
        self.admitted(X_Key="k", X_Token_Usage="1460,80")
        self.admitted(X_Key="k")
        self.admitted(X_Key="k", X_Token_Usage="nonsense")
        self.assertEqual([amount for _, amount in self.quota.drawn], [1540.0, 200.0, 200.0])

    def test_takes_the_shorter_of_deadline_and_timeout(self) -> None:
        self.assertEqual(self.admitted(X_Deadline_Ms="4000").until_ms, 4000.0)
        self.assertEqual(self.admitted("/quick/x", X_Deadline_Ms="4000").until_ms, 120.0)
        self.assertEqual(self.admitted().until_ms, 5000.0)

    def test_keeps_time_for_an_attempt_within_the_objective(self) -> None:
        self.assertEqual(self.admitted().worthwhile_until_ms, 1500.0)  # of 3000 ms
        self.assertEqual(self.admitted("/quick/x").worthwhile_until_ms, 120.0)

    def test_knows_a_generation_by_its_services_engine(self) -> None:
        self.assertIsNone(self.admitted(X_Token_Usage="1460,80").generation)
        self.configure(services=[{"name": "app", "engine": {"slots": 8, "kv_tokens": 9000, "stride": 2}}])
        told = {"X_Token_Usage": "1460,80", "X_Prompt_Prefix": "5c:800,91:660"}
        generation = self.admitted(**told).generation
        assert generation is not None
        self.assertEqual(generation.parts, (PromptPart("5c", 800), PromptPart("91", 660)))
        self.assertEqual((generation.prompt_tokens, generation.output_tokens), (1460, 80))
        odd = self.admitted(X_Prompt_Prefix="no parts").generation
        assert odd is not None
        self.assertEqual(odd.parts, ())


if __name__ == "__main__":
    unittest.main()
