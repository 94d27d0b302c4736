"""Request handling on real sockets: the response to the caller and the requests at the upstreams."""

from __future__ import annotations

import asyncio
import gzip
import time
from pathlib import Path

import pytest

from madderwind.standalone.policy import api
from madderwind.standalone.policy.balancer import Balancer
from madderwind.standalone.routing import exchange as routing
from madderwind.transport.bodies import LONGEST_BODY
from tests.standalone.program.harness import Running
from tests.standins import (
    Behaviour,
    Caller,
    Message,
    Upstream,
    Writer,
    answer,
    resets,
    run,
    says,
    silent,
    within,
)

KEY = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"
NEVER_RAN = answer(503, X_Never_Ran="1")


def test_request_and_response_bytes_are_forwarded_unchanged(tmp_path: Path) -> None:
    async def test() -> None:
        body = bytes(range(256))
        upstream = Upstream(says(answer(200, body, Content_Type="image/png")))
        async with Running(tmp_path, upstream) as running:
            caller = await Caller.connect(running.port)
            got = await caller.ask(
                "POST /checkout/7?x=%2F",
                b"\x00\xffhello",
                Idempotency_Key=KEY,
                wait_ms=480,
                X_Trace_Id="7d41",
            )
            assert (got.status, got.body, got.header("Content-Type")) == (200, body, "image/png")
            (asked,) = upstream.asked
            assert asked.start == "POST /checkout/7?x=%2F HTTP/1.1"
            assert asked.body == b"\x00\xffhello"
            assert asked.header("X-Trace-Id") == "7d41"
            assert asked.header("Idempotency-Key") == KEY
            assert 0 < int(asked.header("X-Expires-In-Ms") or 0) <= 480
            again = await caller.ask("GET /lookup")
            assert again.status == 200
            assert upstream.connections == 1
            assert not running.broken
            assert [line["status"] for line in running.log.named("answered")] == [200, 200]

    run(test())


@pytest.mark.parametrize(
    ("behave", "status"), [(says(answer(500)), 502), (resets, 502), (says(answer(503)), 502)]
)
def test_an_unsafe_request_that_may_have_run_fails_and_is_not_sent_again(
    tmp_path: Path, behave: Behaviour, status: int
) -> None:
    """A retry could take effect twice, and a 503 without X-Never-Ran does not prove that nothing ran."""

    async def test() -> None:
        upstreams = [Upstream(behave), Upstream(behave)]
        async with Running(tmp_path, *upstreams) as running:
            got = await (await Caller.connect(running.port)).ask("POST /charge", b"1")
            assert got.status == status
            assert got.header("Retry-After") is None
            assert sum(len(u.asked) for u in upstreams) == 1

    run(test())


def test_an_unsafe_request_that_never_ran_is_refused_with_retry_after(tmp_path: Path) -> None:
    async def test() -> None:
        upstream = Upstream(says(NEVER_RAN))
        async with Running(tmp_path, upstream) as running:
            got = await (await Caller.connect(running.port)).ask("POST /charge", b"1", wait_ms=50)
            assert got.status == 503
            assert float(got.header("Retry-After") or 0) > 0

    run(test())


def test_a_safe_request_is_retried_after_a_reset(tmp_path: Path) -> None:
    async def test() -> None:
        upstreams = [Upstream(says(answer(200, b"good"))) for _ in range(2)]

        async def first_resets(message: Message, writer: Writer) -> None:
            for upstream in upstreams:
                upstream.behave = says(answer(200, b"good"))
            await resets(message, writer)

        for upstream in upstreams:
            upstream.behave = first_resets
        async with Running(tmp_path, *upstreams) as running:
            got = await (await Caller.connect(running.port)).ask()
            assert (got.status, got.body) == (200, b"good")
            assert sum(len(u.asked) for u in upstreams) == 2
            assert [trail[1] for trail in running.log.named("answered")[0]["attempts"]] == ["reset", "ok"]

    run(test())


def test_an_unsafe_request_is_refused_when_no_upstream_listens(tmp_path: Path) -> None:
    """A refused connection proves that nothing ran, so an unsafe request may be answered with a refusal."""

    async def test() -> None:
        upstream = Upstream(silent)
        async with Running(tmp_path, upstream) as running:
            upstream._server.close()
            await upstream._server.wait_closed()
            got = await (await Caller.connect(running.port)).ask("POST /charge", b"1", wait_ms=300)
            assert got.status == 503

    run(test())


@pytest.mark.parametrize("start", ["GET /lookup", "POST /charge"])
def test_a_silent_upstream_is_answered_for_at_the_deadline(tmp_path: Path, start: str) -> None:
    async def test() -> None:
        upstream = Upstream(silent)
        async with Running(tmp_path, upstream) as running:
            started_s = time.monotonic()
            got = await (await Caller.connect(running.port)).ask(start, wait_ms=150)
            assert got.status in (503, 504)
            assert (got.status == 504) == (start == "POST /charge")
            assert time.monotonic() - started_s >= 0.14
            assert await within(upstream.ended.get()) == 1
            assert not running.broken

    run(test())


def test_a_request_with_no_time_left_reaches_no_upstream(tmp_path: Path) -> None:
    async def test() -> None:
        upstream = Upstream(says(answer(200)))
        async with Running(tmp_path, upstream) as running:
            assert (await (await Caller.connect(running.port)).ask(wait_ms=0)).status == 503
            assert not upstream.asked

    run(test())


def test_a_client_disconnect_ends_its_request(tmp_path: Path) -> None:
    async def test() -> None:
        upstream = Upstream(silent)
        async with Running(tmp_path, upstream) as running:
            caller = await Caller.connect(running.port)
            caller.write()
            await within(upstream.arrivals.get())
            caller.close()
            await within(running.settled())
            assert len(running.log.named("client_left")) == 1
            assert not running.log.named("answered")
            assert not running.service.copy._balancer._requests
            upstream.behave = says(answer(200))
            assert (await (await Caller.connect(running.port)).ask()).status == 200
            assert not running.broken

    run(test())


@pytest.mark.parametrize(
    ("start", "body", "changes", "status"),
    [
        ("GET /lookup", b"", {"X_Trace_Id": None}, 400),
        ("GET /lookup", b"", {"X_Trace_Id": "a" * 201}, 400),
        ("GET /nowhere", b"", {}, 400),
        ("GET /lookup", b"", {"X_Customer": "nobody"}, 400),
        ("GET /lookup", b"", {"X_Expires_In_Ms": "soon"}, 400),
        ("POST /lookup", b"1", {}, 400),
        ("POST /charge", b"x" * 10, {"Content_Length": str(LONGEST_BODY + 1)}, 413),
        ("nonsense", b"", {}, 400),
    ],
)
def test_a_bad_request_gets_a_plain_4xx(
    tmp_path: Path, start: str, body: bytes, changes: dict[str, str | None], status: int
) -> None:
    """An invalid request must not be answered like a refusal (503) or a failure (5xx)."""

    async def test() -> None:
        upstream = Upstream(says(answer(200)))
        async with Running(tmp_path, upstream) as running:
            got = await (await Caller.connect(running.port)).ask(start, body, **changes)
            assert got.status == status
            assert not upstream.asked
            assert (await (await Caller.connect(running.port)).ask()).status == 200
            if status != 400 or start != "nonsense":
                assert [line["status"] for line in running.log.named("bad_request")] == [status]

    run(test())


def test_a_64_kib_body_is_forwarded(tmp_path: Path) -> None:
    async def test() -> None:
        body = b"x" * (64 * 1024)
        upstream = Upstream(says(answer(200, body)))
        async with Running(tmp_path, upstream) as running:
            got = await (await Caller.connect(running.port)).ask("POST /charge", body)
            assert (got.status, got.body) == (200, body)
            assert upstream.asked[0].body == body

    run(test())


@pytest.mark.parametrize(
    ("trace_id", "status"), [(b"t\xc3\xa9", 200), (b"t\xff", 400), (b"t", 200), (b"t\xed\xa0\x80", 400)]
)
def test_header_bytes_are_forwarded_unchanged_or_rejected(
    tmp_path: Path, trace_id: bytes, status: int
) -> None:
    """An id must not be forwarded changed: the HTTP client would drop bytes that are not UTF-8."""

    async def test() -> None:
        upstream = Upstream(says(answer(200)))
        async with Running(tmp_path, upstream) as running:
            caller = await Caller.connect(running.port)
            caller.writer.write(
                b"GET /lookup HTTP/1.1\r\nHost: x\r\nX-Trace-Id: " + trace_id + b"\r\n"
                b"X-Customer: acme\r\nX-Expires-In-Ms: 900\r\n\r\n"
            )
            assert (await caller.read()).status == status
            ids = [(m.header("X-Trace-Id") or "").encode("latin-1") for m in upstream.asked]
            assert ids == ([trace_id] if status == 200 else [])

    run(test())


def test_idle_connections_are_closed_when_descriptors_run_out(tmp_path: Path) -> None:
    """Idle connections are closed for new ones, so that no request is lost on an unaccepted connection."""

    async def test() -> None:
        async with Running(tmp_path, Upstream(says(answer(200))), sockets=40) as running:
            first = await Caller.connect(running.port)
            assert (await first.ask()).status == 200
            callers = []
            for _ in range(30):
                callers.append(await Caller.connect(running.port))
                assert (await callers[-1].ask()).status == 200
            assert await first.at_end()
            assert len(running.service._listener._web.connections) <= 11
            got = await callers[-1].ask()
            assert got.status == 200

    run(test())


def test_a_compressed_body_is_forwarded_compressed(tmp_path: Path) -> None:
    """The HTTP server must not decompress a body, which is forwarded byte for byte."""

    async def test() -> None:
        upstream = Upstream(says(answer(200)))
        async with Running(tmp_path, upstream) as running:
            compressed = gzip.compress(b"x" * 1000)
            caller = await Caller.connect(running.port)
            assert (await caller.ask("POST /charge", compressed, Content_Encoding="gzip")).status == 200
            assert upstream.asked[0].body == compressed
            assert upstream.asked[0].header("Content-Encoding") == "gzip"

    run(test())


def test_a_chunked_body_with_expect_100_continue(tmp_path: Path) -> None:
    async def test() -> None:
        upstream = Upstream(says(answer(200, b"ok")))
        async with Running(tmp_path, upstream) as running:
            caller = await Caller.connect(running.port)
            caller.write("POST /charge", Transfer_Encoding="chunked", Expect="100-continue")
            async with asyncio.timeout(10):
                assert await caller.reader.readuntil(b"\r\n\r\n") == b"HTTP/1.1 100 Continue\r\n\r\n"
            caller.writer.write(b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
            assert (await caller.read()).status == 200
            assert upstream.asked[0].body == b"abcde"
            broken = await Caller.connect(running.port)
            broken.write("POST /charge", Transfer_Encoding="chunked")
            broken.writer.write(b"zz\r\n")
            assert (await broken.read()).status == 400

    run(test())


def test_an_incomplete_body_times_out(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(routing, "READ_S", 0.05)

    async def test() -> None:
        async with Running(tmp_path, Upstream(silent)) as running:
            caller = await Caller.connect(running.port)
            caller.write("POST /charge", Content_Length="10")
            assert (await caller.read()).status == 408

    run(test())


def test_an_error_in_a_decision_is_logged_and_its_request_answered(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """An error in the decision for one request must not stop the program or leave a request unanswered."""
    handle = Balancer.handle

    def fail_on_charge(self: Balancer, now: float, event: api.Event) -> list[api.Action]:
        if isinstance(event, api.RequestArrived) and event.class_index == 1:
            raise RuntimeError("torn")
        return handle(self, now, event)

    monkeypatch.setattr(Balancer, "handle", fail_on_charge)

    async def test() -> None:
        async with Running(tmp_path, Upstream(says(answer(200)))) as running:
            caller = await Caller.connect(running.port)
            assert (await caller.ask("POST /charge", b"1")).status == 500
            assert (await caller.ask()).status == 200
            (line,) = running.log.named("request_broke")
            assert "torn" in line["error"]

    run(test())


def test_the_host_answers_at_the_deadline_for_a_silent_module(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Every request gets a final answer; a release build counts the violation, a debug build fails."""
    monkeypatch.setattr(Balancer, "handle", lambda *_: [])

    async def test() -> None:
        async with Running(tmp_path, Upstream(silent)) as running:
            got = await (await Caller.connect(running.port)).ask(wait_ms=50)
            assert got.status in (500, 504)
            assert running.broken == {"answered_in_time": 1}

    run(test())


def test_unreadable_reports_and_props_are_ignored(tmp_path: Path) -> None:
    async def test() -> None:
        replies = says(
            answer(200, Endpoint_Load_Metrics="JSON {}"),
            answer(200, Endpoint_Load_Metrics="TEXT inflight=7, queue=2"),
        )
        async with Running(tmp_path, Upstream(replies)) as running:
            caller = await Caller.connect(running.port)
            assert (await caller.ask(X_Props="WorkHintMs=much")).status == 200
            assert (await caller.ask(X_Props="Later=1")).status == 200
            assert len(running.log.named("odd_report")) == 1
            assert len(running.log.named("odd_props")) == 1

    run(test())


def test_a_second_copy_is_sent_and_one_answer_returned(tmp_path: Path) -> None:
    """Of two attempts, the caller gets the first whole answer; the other only updates estimates."""

    async def test() -> None:
        fast = answer(200, b"fast")
        upstreams = [Upstream(says(fast)) for _ in range(4)]
        async with Running(tmp_path, *upstreams) as running:
            caller = await Caller.connect(running.port)
            for _ in range(12):  # the module learns the usual response time
                assert (await caller.ask()).body == b"fast"

            async def hangs(message: Message, _: Writer) -> None:
                for upstream in upstreams:
                    if upstream.behave is hangs:
                        upstream.behave = says(fast)

            for upstream in upstreams:
                upstream.behave = hangs
            before = sum(len(u.asked) for u in upstreams)
            # A long time limit, in case the machine is busy and normal answers are slow.
            got = await caller.ask(wait_ms=30_000)
            assert got.body == b"fast"
            assert sum(len(u.asked) for u in upstreams) == before + 2
            assert not running.broken

    run(test())


@pytest.mark.parametrize(
    "lengths",
    [
        "Content-Length: 3\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding: chunked\r\nContent-Length: 3",
        "Content-Length: 3\r\nContent-Length: 4",
        "Content-Length: 3\r\nContent-Length: 3",
        "Content-Length: -3",
        "Content-Length: +3",
        "Content-Length: ten",
        "Content-Length: 99999999999999999999999",
        "Content-Length: 62914560",
        "Content-Length: 65537",
        "Transfer-Encoding: chunked, identity",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
    ],
)
def test_invalid_body_lengths_are_rejected_by_the_header(tmp_path: Path, lengths: str) -> None:
    """Guards against request smuggling, and against reading a body of 60 MB only to refuse it."""

    async def test() -> None:
        upstream = Upstream(says(answer(200)))
        async with Running(tmp_path, upstream) as running:
            caller = await Caller.connect(running.port)
            head = "POST /charge HTTP/1.1\r\nHost: x\r\nX-Trace-Id: a1\r\nX-Customer: acme"
            head += "\r\nX-Expires-In-Ms: 900"
            hidden = b"0\r\n\r\nGET /lookup HTTP/1.1\r\nHost: x\r\nX-Trace-Id: a2\r\nX-Customer: acme\r\n\r\n"
            caller.writer.write(f"{head}\r\n{lengths}\r\n\r\n".encode() + hidden)
            assert 400 <= (await caller.read()).status < 500
            await caller.reader.read()  # the rest of the response, up to the close
            assert not upstream.asked

    run(test())


def test_the_id_of_an_open_request_is_rejected(tmp_path: Path) -> None:
    """Another client's request with the id of an open one would be treated as a duplicate of it."""

    async def test() -> None:
        upstream = Upstream(silent)
        async with Running(tmp_path, upstream) as running:
            first, other = await Caller.connect(running.port), await Caller.connect(running.port)
            first.write("POST /charge", b"1", X_Trace_Id="a1")
            await within(upstream.arrivals.get())
            got = await other.ask("POST /charge", b"2", X_Trace_Id="a1")
            assert (got.status, got.header("Connection")) == (400, "close")
            assert await other.at_end()
            upstream.behave = says(answer(200))
            first.close()
            await running.settled()
            again = await Caller.connect(running.port)
            assert (await again.ask("POST /charge", b"2", X_Trace_Id="a1")).status == 200

    run(test())


def test_a_400_from_an_upstream_is_not_retried_and_counts_no_failure(tmp_path: Path) -> None:
    """A caller's invalid requests must not eject every upstream or spend the retry quota."""

    async def test() -> None:
        upstreams = [Upstream(says(answer(400))) for _ in range(2)]
        async with Running(tmp_path, *upstreams) as running:
            caller = await Caller.connect(running.port)
            for _ in range(6):
                assert (await caller.ask()).status == 400
            assert sum(len(u.asked) for u in upstreams) == 6
            fleet = running.service.copy._balancer._fleet.upstreams.values()
            assert [u.failures for u in fleet] == [0, 0]
            assert not running.service.copy._balancer._requests

    run(test())
