"""The data plane's decisions, tested without sockets or clocks."""

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
    UpstreamContext,
    client_response_headers,
    deadline_header,
    milliseconds,
    token_usage,
    upstream_request_headers,
)
from madderwind.dataplane.retrying import MAX_UNSENT_ATTEMPTS, Retries
from madderwind.dataplane.stream_timeouts import STREAM_TIMEOUT_MS, StreamTimeouts
from madderwind.dataplane.upstream_heads import Head, read_head
from madderwind.dataplane.upstream_health import MAX_EJECTION_MS, UpstreamHealth
from madderwind.placement.prompts import PromptPart
from tests.dataplane.fleet import CLIENT_HOST, document, event

NOT_EXECUTED = (AttemptResult.NOT_SENT, AttemptResult.REFUSED_FULL, AttemptResult.MISDIRECTED)
POSSIBLY_EXECUTED = (AttemptResult.BROKEN, AttemptResult.TIMED_OUT, None)


def progress(*results: AttemptResult | None, idempotent: bool = False, resumable: bool = False) -> Progress:
    known = Progress(idempotent, resumable, 3)
    for number, result in enumerate(results):
        known.attempts.append(Attempt(f"i-{number}", result is not AttemptResult.NOT_SENT, result))
    return known


class ResendRules(unittest.TestCase):
    def test_allow_a_retry_when_no_attempt_was_executed(self) -> None:
        for result in NOT_EXECUTED:
            self.assertTrue(may_be_sent_again(progress(result)))
            self.assertTrue(may_promise(progress(result)))

    def test_allow_only_idempotent_retries_after_possible_execution(self) -> None:
        for result in POSSIBLY_EXECUTED:
            self.assertFalse(may_be_sent_again(progress(result)))
            self.assertTrue(may_be_sent_again(progress(result, idempotent=True)))
            self.assertFalse(may_promise(progress(result)))
            self.assertFalse(may_promise(progress(result, AttemptResult.REFUSED_FULL, idempotent=True)))

    def test_count_every_attempt_that_was_sent(self) -> None:
        refused = AttemptResult.REFUSED_FULL
        self.assertTrue(may_be_sent_again(progress(refused, refused)))
        self.assertFalse(may_be_sent_again(progress(refused, refused, refused)))
        self.assertTrue(may_be_sent_again(progress(refused, refused, *[AttemptResult.NOT_SENT] * 5)))

    def test_allow_only_resumable_streams_after_a_partial_response(self) -> None:
        for resumable in (False, True):
            begun = progress(AttemptResult.BROKEN, idempotent=True, resumable=resumable)
            begun.answer_begun = True
            self.assertEqual(may_be_sent_again(begun), resumable)
            self.assertFalse(may_promise(begun))


class FakeRetryBudget:
    """Grants either every retry or none, and counts the checks."""

    def __init__(self, grants_retries: bool) -> None:
        self.grants_retries, self.check_count = grants_retries, 0

    def set_data_planes(self, data_planes: int) -> None:
        """Not of interest here."""

    def request(self, now_ms: float, service: str) -> None:
        """Not of interest here."""

    def may_send_again(self, now_ms: float, service: str) -> bool:
        self.check_count += 1
        return self.grants_retries


class RetryBackoff(unittest.TestCase):
    def setUp(self) -> None:
        self.quota = RetryQuota(random.Random(3), refund_on_success=False)
        self.budget = FakeRetryBudget(True)
        self.retries = Retries(self.quota, self.budget)

    def wait(self, known: Progress, left_ms: float = 60_000.0) -> float | None:
        return self.retries.wait_ms(0.0, known, "app", left_ms)

    def test_is_longer_after_a_refusal_and_grows_with_each_attempt(self) -> None:
        refused, broken = AttemptResult.REFUSED_FULL, AttemptResult.BROKEN
        transient = [self.wait(progress(broken, idempotent=True)) or 0 for _ in range(20)]
        self.assertLess(max(transient), 100.0)
        throttled = [self.wait(progress(refused)) or 0 for _ in range(20)]
        self.assertTrue(100.0 < max(throttled) < 1000.0)
        second = [self.wait(progress(refused, refused)) or 0 for _ in range(20)]
        self.assertTrue(1000.0 < max(second) < 2000.0)

    def test_is_zero_and_free_after_an_unsent_attempt(self) -> None:
        unsent = AttemptResult.NOT_SENT
        self.assertEqual(self.wait(progress(unsent)), 0.0)
        self.assertEqual((self.quota.tokens, self.budget.check_count), (500.0, 0))
        self.assertIsNone(self.wait(progress(*[unsent] * MAX_UNSENT_ATTEMPTS)))

    def test_cost_depends_on_the_result_of_the_last_attempt(self) -> None:
        self.wait(progress(AttemptResult.REFUSED_FULL))
        self.assertEqual(self.quota.tokens, 495.0)
        self.wait(progress(AttemptResult.MISDIRECTED))
        self.assertEqual(self.quota.tokens, 481.0)
        self.retries.succeeded(progress(AttemptResult.COMPLETE))
        self.assertEqual(self.quota.tokens, 482.0)
        self.retries.succeeded(progress(AttemptResult.REFUSED_FULL, AttemptResult.COMPLETE))
        self.assertEqual(self.quota.tokens, 482.0)  # a successful retry refunds nothing

    def test_is_denied_without_tokens_budget_or_remaining_time(self) -> None:
        refused = progress(AttemptResult.REFUSED_FULL)
        self.assertIsNone(self.wait(refused, left_ms=10.0))
        self.assertEqual((self.quota.tokens, self.budget.check_count), (500.0, 0))
        self.budget.grants_retries = False
        self.assertIsNone(self.wait(refused))
        self.assertEqual(self.quota.tokens, 500.0)
        self.budget.grants_retries = True
        self.quota.spend(496.0)
        self.assertIsNone(self.wait(refused))
        self.assertEqual(self.budget.check_count, 1)  # without tokens the budget is not spent


class ResponseHeads(unittest.TestCase):
    def classify(self, status: int, **headers: str) -> Head:
        response_headers = CIMultiDict({name.replace("_", "-"): value for name, value in headers.items()})
        return read_head("r-1", status, response_headers)

    def test_of_responses_to_this_request(self) -> None:
        self.assertIs(self.classify(200, X_Request_Id="r-1", X_Upstream_Signature="s"), Head.ANSWER)
        self.assertIs(self.classify(500, X_Request_Id="r-1"), Head.ANSWER)
        self.assertIs(self.classify(400, X_Request_Id="r-1", X_Not_Executed="1"), Head.ANSWER)

    def test_of_responses_to_another_request(self) -> None:
        for status in (200, 421, 500, 503):
            self.assertIs(self.classify(status, X_Request_Id="r-2", X_Not_Executed="1"), Head.FOREIGN)
        self.assertIs(self.classify(200, X_Upstream_Signature="s"), Head.FOREIGN)

    def test_of_refusals_with_and_without_proof(self) -> None:
        self.assertIs(self.classify(503, X_Not_Executed="1"), Head.REFUSAL)
        self.assertIs(self.classify(429, X_Request_Id="r-1", X_Not_Executed="1"), Head.REFUSAL)
        self.assertIs(self.classify(421, X_Upstream_Instance="i-2"), Head.MISDIRECTED)
        for status in (503, 429, 408):
            self.assertIs(self.classify(status, X_Request_Id="r-1"), Head.UNPROVEN)

    def test_of_responses_not_generated_by_the_upstream(self) -> None:
        good = {"X_Request_Id": "r-1", "X_Upstream_Signature": "s"}
        self.assertIs(self.classify(200, **good, Content_Encoding="gzip"), Head.UNUSABLE)
        self.assertIs(self.classify(200, X_Request_Id="r-1"), Head.UNUSABLE)
        for status in (99, 199, 600, 999):
            self.assertIs(self.classify(status, **good), Head.UNUSABLE)

    def test_without_a_request_id(self) -> None:
        self.assertIs(read_head(None, 400, {"X-Not-Executed": "1"}), Head.ANSWER)
        self.assertIs(read_head(None, 400, {"X-Not-Executed": "1", "X-Request-Id": ""}), Head.ANSWER)

    def test_with_an_id_in_response_to_a_request_without_one(self) -> None:
        headers = {"X-Request-Id": "r-1", "X-Upstream-Signature": "s", "X-Not-Executed": "1"}
        for status in (200, 421, 500, 503):
            self.assertIs(read_head(None, status, headers), Head.FOREIGN)


class Events(unittest.TestCase):
    def test_returns_each_event_as_soon_as_it_is_complete(self) -> None:
        splitter = EventSplitter()
        whole = event(1) + event(2)
        got = [splitter.feed(whole[at : at + 1]) for at in range(len(whole))]
        self.assertEqual([part for part in got if part], [event(1), event(2)])
        self.assertEqual(splitter.last_id, b"2")

    def test_drops_known_events_after_a_resumption(self) -> None:
        first = EventSplitter()
        self.assertEqual(first.feed(event(9) + event(10) + b"id: 11\nda"), event(9) + event(10))
        splitter = EventSplitter(first.last_id)
        self.assertEqual(splitter.feed(event(8) + event(9)), b"")
        self.assertEqual(splitter.feed(event(10) + event(11) + event(12)[:4]), event(11))
        self.assertEqual(splitter.feed(event(12)[4:]), event(12))
        self.assertEqual(splitter.last_id, b"12")

    def test_handles_crlf_line_ends_and_lines_before_the_id(self) -> None:
        splitter = EventSplitter()
        crlf_event = b"versions: 3\r\nid: 4\r\ndata: x\r\n\r\n"
        self.assertEqual(splitter.feed(crlf_event + b"id: 5\r\n"), crlf_event)
        self.assertEqual(splitter.last_id, b"4")
        self.assertEqual(splitter.rest, b"id: 5\r\n")

    def test_ends_an_event_at_a_blank_line_after_any_line_end(self) -> None:
        # Guards against a whole event that is held back to the end, and taken for a part there.
        for line_end, blank_line in (
            ("\n", "\n"),
            ("\n", "\r\n"),
            ("\r\n", "\n"),
            ("\r\n", "\r\n"),
            ("\r", "\r"),
            ("\r", "\r\n"),
        ):
            whole = f"id: 1{line_end}data: x{line_end}{blank_line}".encode()
            for step in (1, len(whole)):
                with self.subTest(whole=whole, step=step):
                    splitter = EventSplitter()
                    fed = [splitter.feed(whole[at : at + step]) for at in range(0, len(whole), step)]
                    self.assertEqual(b"".join(fed) + splitter.rest, whole)
                    self.assertIn(splitter.rest, (b"", b"\n"))
                    self.assertFalse(splitter.is_within_event)

    def test_drops_known_events_behind_an_event_without_an_id(self) -> None:
        # Guards against a known event that is returned again because the one before it had no id.
        splitter = EventSplitter(b"2")
        self.assertEqual(splitter.feed(b"data: x\n\n"), b"data: x\n\n")
        self.assertEqual(splitter.feed(event(2) + event(3)), event(3))

    def test_drops_known_events_with_ids_of_any_length(self) -> None:
        # Guards against an exception in place of the comparison of two ids with thousands of digits.
        known, newer = "8" * 5000, "9" * 5000
        splitter = EventSplitter(known.encode())
        whole = "".join(f"id: {number}\ndata: x\n\n" for number in ("7", f"00{known}", newer, "1" + known))
        self.assertEqual(splitter.feed(whole.encode()), whole[whole.index(newer) - 4 :].encode())

    def test_knows_no_last_id_after_an_event_without_one(self) -> None:
        splitter = EventSplitter(b"3")
        for fed, last_id in (
            (b": comment\n\n", b"3"),
            (event(4) + b": comment\n\n\n\n", b"4"),
            (event(5) + b"data: x\n\n", None),
            (b"data: y\r\n\r\n" + event(6), b"6"),
        ):
            self.assertEqual(splitter.feed(fed), fed)
            self.assertEqual(splitter.last_id, last_id)

    @given(
        st.lists(st.sampled_from(["id: 1\ndata: x", "data: x\nid: 2", "data: x", ": id: 3"])), st.booleans()
    )
    def test_last_id_is_that_of_the_last_event_however_the_bytes_arrive(
        self, blocks: list[str], is_crlf: bool
    ) -> None:
        events = [block for block in blocks if not block.startswith(":")]
        last_id = events[-1].partition("id: ")[2][:1].encode() if events else b""
        raw = "".join(f"{block}\n\n" for block in blocks)
        whole = (raw.replace("\n", "\r\n") if is_crlf else raw).encode()
        at_once, byte_by_byte = EventSplitter(), EventSplitter()
        at_once.feed(whole)
        for at in range(len(whole)):
            byte_by_byte.feed(whole[at : at + 1])
        self.assertEqual([at_once.last_id, byte_by_byte.last_id], [last_id or None] * 2)

    def test_fails_on_an_event_that_does_not_end(self) -> None:
        splitter = EventSplitter()
        with self.assertRaises(EventTooLong):
            for _ in range(20):
                splitter.feed(b"x" * 100_000)

    @given(st.lists(st.integers(1, 60), min_size=1, max_size=12), st.integers(1, 8), st.integers(0, 12))
    def test_returns_each_event_of_two_upstreams_once(self, sizes: list[int], cut: int, overlap: int) -> None:
        """Holds for all chunk sizes and all positions at which the second stream resumes."""
        events = [event(number + 1, "t" * size) for number, size in enumerate(sizes)]
        whole = b"".join(events)
        first = EventSplitter()
        break_at = len(whole) * cut // 9
        forwarded = b"".join(first.feed(whole[at : at + cut]) for at in range(0, break_at, cut))
        splitter = EventSplitter(first.last_id)
        known = forwarded.count(b"id: ")
        resumed = b"".join(events[max(0, known - overlap) :])
        forwarded += b"".join(splitter.feed(resumed[at : at + cut]) for at in range(0, len(resumed), cut))
        self.assertEqual(forwarded, whole)


class ForwardedHeaders(unittest.TestCase):
    def forward(self, headers: Mapping[str, str], tenant: str | None = "acme") -> CIMultiDict[str]:
        proxy = CIMultiDictProxy(CIMultiDict(headers))
        return upstream_request_headers(proxy, UpstreamContext("i-1", tenant, 2))

    def test_exclude_hop_by_hop_headers(self) -> None:
        forwarded = self.forward(
            {"Connection": "keep-alive, X-Hop", "X-Hop": "1", "TE": "trailers", "Upgrade": "h2c", "X-On": "2"}
        )
        self.assertEqual(
            {name: forwarded[name] for name in forwarded},
            {
                "X-On": "2",
                "X-Expect-Instance": "i-1",
                "Priority": "2",
                "X-Tenant-Id": "acme",
            },
        )

    def test_state_the_deadline_in_whole_milliseconds_of_at_least_one(self) -> None:
        self.assertEqual(deadline_header(1234.9), {"X-Deadline-Ms": "1234"})
        self.assertEqual(deadline_header(-3.0), {"X-Deadline-Ms": "1"})

    def test_exclude_the_deadline_sent_by_the_client(self) -> None:
        self.assertNotIn("X-Deadline-Ms", self.forward({"x-deadline-ms": "9000"}))

    def test_include_end_to_end_headers_named_by_the_connection_header(self) -> None:
        headers = {
            "Connection": "X-Model, X-Request-Id, X-Hop",
            "X-Model": "m",
            "X-Request-Id": "r-1",
            "X-Hop": "1",
        }
        forwarded = self.forward(headers)
        self.assertEqual((forwarded.get("X-Model"), forwarded.get("X-Request-Id")), ("m", "r-1"))
        self.assertNotIn("X-Hop", forwarded)
        response = CIMultiDict({"Connection": "X-Upstream-Signature", "X-Upstream-Signature": "s"})
        self.assertEqual(
            dict(client_response_headers(CIMultiDictProxy(response))), {"X-Upstream-Signature": "s"}
        )

    def test_exclude_the_tenant_claimed_by_the_client(self) -> None:
        forwarded = self.forward(
            {"X-Tenant-Id": "other", "x-key": "k", "X-Expect-Instance": "i-9"}, tenant=None
        )
        self.assertNotIn("X-Tenant-Id", forwarded)
        self.assertNotIn("X-Key", forwarded)
        self.assertEqual(forwarded.getall("X-Expect-Instance"), ["i-1"])

    def test_to_the_client_exclude_only_connection_headers(self) -> None:
        response = CIMultiDictProxy(
            CIMultiDict(
                {"Connection": "close", "Keep-Alive": "timeout=10", "Content-Length": "3", "X-A": "b"}
            )
        )
        self.assertEqual(dict(client_response_headers(response)), {"X-A": "b"})

    def test_ignore_malformed_numbers(self) -> None:
        for malformed in ("", "x", "-4", "inf", "nan", "1e999"):
            self.assertIsNone(milliseconds({"X-Deadline-Ms": malformed}, "X-Deadline-Ms"), malformed)
        self.assertEqual(milliseconds({"X-Deadline-Ms": "15.5"}, "X-Deadline-Ms"), 15.5)
        for malformed in ("", "3", "3,", "a,b", "-1,4", "1,2,3"):
            self.assertIsNone(token_usage({"X-Token-Usage": malformed}), malformed)
        self.assertEqual(token_usage({"X-Token-Usage": "1460, 80"}), (1460, 80))


class UpstreamEjection(unittest.TestCase):
    def setUp(self) -> None:
        self.health = UpstreamHealth(random.Random(2))

    def is_avoided(self, now_ms: float) -> bool:
        return "i-1" in self.health.unavailable(now_ms, ("i-1", "i-2"))

    def test_follows_a_failed_connection_and_ends_with_a_probe(self) -> None:
        self.health.connect_failed(0.0, "i-1")
        self.assertTrue(self.is_avoided(100.0))
        self.assertFalse(self.is_avoided(250.0))
        self.health.began("i-1")
        self.assertTrue(self.is_avoided(260.0))  # one request at a time
        self.health.ended("i-1")
        self.assertFalse(self.is_avoided(270.0))
        self.health.succeeded("i-1")
        self.health.began("i-1")
        self.assertFalse(self.is_avoided(280.0))

    def test_lasts_longer_with_each_failure(self) -> None:
        now_ms, ejections_ms = 0.0, []
        for _ in range(8):
            self.health.connect_failed(now_ms, "i-1")
            ejected_ms = 0.0
            while self.is_avoided(now_ms + ejected_ms):
                ejected_ms += 10.0
            ejections_ms.append(ejected_ms)
            now_ms += ejected_ms
        self.assertLess(ejections_ms[0], 260.0)
        self.assertTrue(2000.0 < ejections_ms[-1] <= MAX_EJECTION_MS)

    def test_requires_consecutive_failed_requests(self) -> None:
        self.health.request_failed(0.0, "i-1")
        self.assertFalse(self.is_avoided(1.0))
        self.health.succeeded("i-1")
        self.health.request_failed(2.0, "i-1")
        self.assertFalse(self.is_avoided(3.0))
        self.health.request_failed(4.0, "i-1")
        self.assertTrue(self.is_avoided(5.0))

    def test_streams_time_out_only_if_all_of_an_upstream_stall(self) -> None:
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


class FakeQuota:
    """Admits everything or nothing, and records what was charged."""

    def __init__(self) -> None:
        self.admits = True
        self.charged: list[tuple[str, float]] = []
        self.available_in_ms = 0.0
        self.late: list[bool] = []

    def admit(self, now_ms: float, tenant_name: str, amount: float, *, is_late: bool = False) -> bool:
        self.late.append(is_late)
        if self.admits:
            self.charged.append((tenant_name, amount))
        return self.admits

    def refund(self, now_ms: float, tenant_name: str, amount: float, *, is_late: bool = False) -> None:
        self.charged.remove((tenant_name, amount))

    def retry_after_ms(self, now_ms: float, tenant_name: str) -> float:
        return self.available_in_ms


class AdmissionDecisions(unittest.TestCase):
    def setUp(self) -> None:
        self.quota, self.is_current = FakeQuota(), True
        self.admission = Admission(self.quota, lambda: self.is_current, random.Random(4))
        self.configure()

    def configure(self, **changes: Any) -> None:
        raw = json.dumps(document(**changes)).encode()
        self.admission.configure(read_document(raw))

    def admit(self, target: str = "/safe/x", **headers: str) -> Admitted | Rejected:
        request_headers = {"Host": CLIENT_HOST, "X-Key": "k-acme"}
        request_headers |= {name.replace("_", "-"): value for name, value in headers.items()}
        return self.admission.admit(0.0, 0.0, target, CIMultiDict(request_headers))

    def admitted(self, target: str = "/safe/x", **headers: str) -> Admitted:
        decision = self.admit(target, **headers)
        assert isinstance(decision, Admitted)
        return decision

    def rejected(self, target: str = "/safe/x", **headers: str) -> Rejected:
        decision = self.admit(target, **headers)
        assert isinstance(decision, Rejected)
        return decision

    def test_reject_unknown_routes_and_keys_when_the_configuration_is_current(self) -> None:
        self.assertEqual(self.rejected("/nowhere/x").status, 404)
        self.assertEqual(self.rejected(X_Key="k-unknown").status, 401)
        self.assertEqual(self.rejected(X_Key="").status, 401)
        self.assertIsNone(self.rejected("/nowhere/x").retry_after_ms)

    def test_ask_for_a_retry_while_the_configuration_may_be_outdated(self) -> None:
        self.is_current = False
        for decision in (self.rejected("/nowhere/x"), self.rejected(X_Key="k-unknown")):
            self.assertEqual(decision.status, 503)
            self.assertIsNotNone(decision.retry_after_ms)

    def test_refuse_everything_before_the_first_configuration(self) -> None:
        self.admission = Admission(self.quota, lambda: True, random.Random(4))
        self.assertEqual(self.rejected().status, 503)

    def test_require_no_key_on_public_routes_or_without_tenants(self) -> None:
        self.configure(tenants=[])
        self.assertIsNone(self.admitted(X_Key="").tenant)
        routes = [{**route, "public": True} for route in document()["routes"]]
        self.configure(routes=routes)
        self.assertIsNone(self.admitted(X_Key="").tenant)
        self.assertEqual(self.admitted().tenant, "acme")

    def test_prefer_the_priority_of_the_tenant(self) -> None:
        self.assertEqual(self.admitted().priority, 1)
        self.assertEqual(self.admitted(X_Key="k-thrifty").priority, 3)

    def test_charge_the_quota_and_refund_requests_that_were_not_executed(self) -> None:
        self.admitted()
        self.assertEqual(self.quota.charged, [])  # no limit
        admitted = self.admitted(X_Key="k-thrifty")
        self.assertEqual(self.quota.charged, [("thrifty", 1.0)])
        self.admission.refund_quota(0.0, admitted)
        self.assertEqual(self.quota.charged, [])
        self.quota.admits = False
        rejected = self.rejected(X_Key="k-thrifty")
        self.assertEqual(rejected.status, 429)
        self.assertTrue(500.0 <= (rejected.retry_after_ms or 0.0) <= 1000.0)

    def test_state_when_a_tenant_over_its_quota_should_retry(self) -> None:
        self.quota.admits, self.quota.available_in_ms = False, 6_000.0
        retry_after_ms = [self.rejected(X_Key="k-thrifty").retry_after_ms or 0.0 for _ in range(50)]
        self.assertTrue(all(3_000.0 <= each <= 6_000.0 for each in retry_after_ms))
        self.assertGreater(len(set(retry_after_ms)), 10)

    def test_tell_the_quota_which_requests_are_late(self) -> None:
        for left_ms in (9000, 9000, 9000, 9100, 8700, 5000):
            self.admitted(X_Key="k-thrifty", X_Deadline_Ms=str(left_ms))
        self.admitted(X_Key="k-thrifty")
        self.assertEqual(self.quota.late, [False] * 5 + [True, False])

    def test_charge_tokens_to_a_tenant_with_a_token_quota(self) -> None:
        tenant = {"name": "t", "api_keys": ["k"], "unit": "tokens", "prompt_tokens": 200, "rate_per_s": 9}
        self.configure(tenants=[tenant])
        self.admitted(X_Key="k", X_Token_Usage="1460,80")
        self.admitted(X_Key="k")
        self.admitted(X_Key="k", X_Token_Usage="nonsense")
        self.assertEqual([amount for _, amount in self.quota.charged], [1540.0, 200.0, 200.0])

    def test_use_the_shorter_of_deadline_and_timeout(self) -> None:
        self.assertEqual(self.admitted(X_Deadline_Ms="4000").until_ms, 4000.0)
        self.assertEqual(self.admitted("/quick/x", X_Deadline_Ms="4000").until_ms, 120.0)
        self.assertEqual(self.admitted().until_ms, 5000.0)

    def test_reserve_time_for_an_attempt_within_the_latency_objective(self) -> None:
        self.assertEqual(self.admitted().worthwhile_until_ms, 1500.0)  # of 3000 ms
        self.assertEqual(self.admitted("/quick/x").worthwhile_until_ms, 120.0)

    def test_detect_a_generation_by_the_engine_of_its_service(self) -> None:
        self.assertIsNone(self.admitted(X_Token_Usage="1460,80").generation)
        self.configure(services=[{"name": "app", "engine": {"slots": 8, "kv_tokens": 9000, "stride": 2}}])
        request_headers = {"X_Token_Usage": "1460,80", "X_Prompt_Prefix": "5c:800,91:660"}
        generation = self.admitted(**request_headers).generation
        assert generation is not None
        self.assertEqual(generation.parts, (PromptPart("5c", 800), PromptPart("91", 660)))
        self.assertEqual((generation.prompt_tokens, generation.output_tokens), (1460, 80))
        malformed = self.admitted(X_Prompt_Prefix="no parts").generation
        assert malformed is not None
        self.assertEqual(malformed.parts, ())


if __name__ == "__main__":
    unittest.main()
