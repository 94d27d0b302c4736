"""Long messages, slow peers and the forms of HTTP/1.1, on a service with stand-ins for its peers."""

from __future__ import annotations

import asyncio
import hashlib
from pathlib import Path
from typing import Any

import pytest

from madderwind.standalone.policy.api import Outcome
from madderwind.standalone.routing import exchange as routing
from madderwind.transport import bodies
from madderwind.transport.bodies import HELD_BODY, PASSING
from tests.standalone.program.harness import Running
from tests.standins import Caller, Message, Upstream, Writer, answer, resets, run, says, within

LONG = bytes(range(250)) * 20_000  # 5 MB
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
KEY = {"Idempotency_Key": "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"}


async def upload(caller: Caller, body: bytes, size: int = 60_000, chunked: bool = False, **more: Any) -> None:
    """Send a body in chunks, as fast as it is read."""
    framing = {"Transfer_Encoding": "chunked"} if chunked else {"Content_Length": str(len(body))}
    caller.write("POST /charge", **{**framing, **more})
    for at in range(0, len(body), size):
        part = body[at : at + size]
        caller.writer.write(b"%x;a=b\r\n%s\r\n" % (len(part), part) if chunked else part)
        await caller.writer.drain()
    if chunked:
        caller.writer.write(b"0\r\nX-Trailer: 1\r\n\r\n")


async def answer_with_digest(message: Message, writer: Writer) -> None:
    writer.write(answer(200, hashlib.sha256(message.body).hexdigest().encode()))


def digest(body: bytes) -> bytes:
    return hashlib.sha256(body).hexdigest().encode()


def budgets_are_full(running: Running) -> bool:
    budgets = running.service.copy.budgets
    return all(budget.left == budget.size for budget in (budgets.holding, budgets.passing))


@pytest.mark.parametrize("chunked", [False, True])
@pytest.mark.parametrize("size", [70_000, HELD_BODY, HELD_BODY + 200_000, 5_000_000])
def test_long_bodies_arrive_whole(tmp_path: Path, chunked: bool, size: int) -> None:
    async def test() -> None:
        upstream = Upstream(answer_with_digest)
        async with Running(tmp_path, upstream) as running:
            caller = await Caller.connect(running.port)
            for _ in range(2):  # both connections can be reused afterwards
                await upload(caller, LONG[:size], chunked=chunked)
                got = await caller.read()
                assert (got.status, got.body) == (200, digest(LONG[:size]))
            assert upstream.connections == 1
            streamed = chunked and size >= HELD_BODY  # a body that is held whole has a known length
            assert upstream.asked[0].header("Transfer-Encoding" if streamed else "Content-Length")
            assert await running.figure("upstream_tries_total") == 2
            assert await running.figure('handled_total{category="charge",outcome="passed"}') == 2
            assert await running.figure("in_progress") == 0
            assert budgets_are_full(running) and not running.broken

    run(test())


@pytest.mark.parametrize("form", ["length", "chunked", "to the end"])
def test_long_answers_arrive_whole(tmp_path: Path, form: str) -> None:
    async def send_long_answer(_: Message, writer: Writer) -> None:
        if form == "length":
            writer.write(answer(200, LONG, Content_Type="image/png"))
        elif form == "chunked":
            writer.write(CHUNKED)
            for at in range(0, len(LONG), 7000):
                writer.write(b"%x\r\n%s\r\n" % (len(LONG[at : at + 7000]), LONG[at : at + 7000]))
            writer.write(b"0\r\n\r\n")
        else:
            writer.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + LONG)
            await writer.drain()
            writer.close()

    async def test() -> None:
        async with Running(tmp_path, Upstream(send_long_answer)) as running:
            caller = await Caller.connect(running.port)
            for _ in range(2):
                got = await caller.ask()
                assert got.status == 200 and got.body == LONG
                assert (got.header("Content-Length") is not None) == (form == "length")
            await within(running.settled())
            assert budgets_are_full(running) and not running.broken
            assert await running.figure('handled_total{category="lookup",outcome="passed"}') == 2

    run(test())


def test_an_http_1_0_caller_gets_a_long_answer_until_the_close(tmp_path: Path) -> None:
    async def test() -> None:
        said = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n" % (
            len(LONG),
            LONG,
        )
        async with Running(tmp_path, Upstream(says(said))) as running:
            caller = await Caller.connect(running.port)
            caller.writer.write(
                b"GET /lookup HTTP/1.0\r\nX-Trace-Id: 1\r\nX-Customer: acme\r\nX-Expires-In-Ms: 3000\r\n\r\n"
            )
            raw = await within(caller.reader.read())
            assert raw.partition(b"\r\n\r\n")[2] == LONG

    run(test())


def test_a_truncated_answer_resets_the_connection_of_an_http_1_0_caller(tmp_path: Path) -> None:
    # Guards against a part of an answer that appears complete, as its end is the connection's.
    async def break_off(_: Message, writer: Writer) -> None:
        writer.write(CHUNKED + b"%x\r\n%s" % (len(LONG), LONG[:-9]))
        await writer.drain()
        writer.close()

    async def test() -> None:
        async with Running(tmp_path, Upstream(break_off)) as running:
            caller = await Caller.connect(running.port)
            caller.writer.write(
                b"GET /lookup HTTP/1.0\r\nX-Trace-Id: 1\r\nX-Customer: acme\r\nX-Expires-In-Ms: 3000\r\n\r\n"
            )
            with pytest.raises(ConnectionResetError):
                await within(caller.reader.read())

    run(test())


def test_a_truncated_answer_closes_the_callers_connection(tmp_path: Path) -> None:
    """The caller can detect it, gets no second answer, and the request is not retried."""

    async def break_off(_: Message, writer: Writer) -> None:
        writer.write(
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s" % (len(LONG), LONG[:-9])
        )
        await writer.drain()
        writer.close()

    async def test() -> None:
        upstreams = Upstream(break_off), Upstream(break_off)
        async with Running(tmp_path, *upstreams) as running:
            caller = await Caller.connect(running.port)
            caller.write()
            with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
                await caller.read()
            await within(running.settled())
            assert sum(len(upstream.asked) for upstream in upstreams) == 1
            assert await running.figure('handled_total{category="lookup",outcome="bad_gateway"}') == 1
            assert budgets_are_full(running) and not running.broken

    run(test())


def test_a_caller_disconnect_ends_the_attempt(tmp_path: Path) -> None:
    """The caller disconnects once during its answer, and once during its body."""

    async def endless(_: Message, writer: Writer) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 30000000\r\n\r\n")
        while not writer.is_closing():
            writer.write(b"x" * 50_000)
            await writer.drain()

    async def test() -> None:
        upstream = Upstream(endless)
        async with Running(tmp_path, upstream) as running:
            caller = await Caller.connect(running.port)
            caller.write()
            await within(caller.reader.readexactly(1_000_000))
            caller.writer.transport.abort()
            assert await within(upstream.ended.get()) == 1
            caller = await Caller.connect(running.port)
            caller.write("POST /charge", Content_Length=str(len(LONG)))
            caller.writer.write(LONG[:3_000_000])
            await caller.writer.drain()
            while not any(
                getattr(exchange, "body_released", False) for exchange in running.service.copy.open.values()
            ):
                await asyncio.sleep(0.001)
            caller.writer.transport.abort()
            assert await within(upstream.ended.get()) == 2
            await within(running.settled())
            assert len(upstream.asked) == 1
            assert await running.figure("in_progress") == 0
            while not budgets_are_full(running):
                await asyncio.sleep(0.001)
            assert not running.broken

    run(test())


def test_a_request_is_refused_when_the_upstream_aborts_before_the_last_body_byte(tmp_path: Path) -> None:
    """It never ran, but cannot be resent by the balancer: even an unsafe one may be retried by its caller."""

    async def test() -> None:
        async def abort_mid_body(reader: asyncio.StreamReader, writer: Writer) -> None:
            await reader.readexactly(100_000)
            writer.transport.abort()

        upstream = Upstream(says(b""))
        async with Running(tmp_path, upstream) as running:
            upstream._server.close()
            server = await asyncio.start_server(abort_mid_body, upstream.address[0], upstream.port)
            async with server:
                caller = await Caller.connect(running.port)
                task = asyncio.create_task(upload(caller, LONG))
                got = await caller.read()
                assert got.status == 503 and got.header("Retry-After")
                await asyncio.gather(task, return_exceptions=True)
                (line,) = running.log.named("answered")
                assert [end[1] for end in line["attempts"]] == [Outcome.CONNECT_FAILED.value]
                assert await running.figure('handled_total{category="charge",outcome="dropped"}') == 1
                assert not running.broken

    run(test())


def test_a_body_held_whole_is_retried(tmp_path: Path) -> None:
    """A body that is held whole can be retried at another upstream, given an idempotency key."""

    async def test() -> None:
        upstreams = Upstream(resets), Upstream(answer_with_digest)
        async with Running(tmp_path, *upstreams) as running:
            for _ in range(6):
                caller = await Caller.connect(running.port)
                body = LONG[:500_000]
                caller.write("POST /checkout", body, wait_ms=9000, **KEY)
                assert (await caller.read()).body == digest(body)
                caller.close()
            assert upstreams[0].asked and not running.broken

    run(test())


def test_long_messages_beyond_the_budget_wait(tmp_path: Path) -> None:
    """Long messages wait for the budget in turn; short requests do not wait."""

    async def test() -> None:
        upstream = Upstream(answer_with_digest)
        async with Running(tmp_path, upstream) as running:
            budgets = running.service.copy.budgets
            for budget in (budgets.holding, budgets.passing):
                budget.resize(2 * PASSING)
            lowest_left: list[int] = []

            async def sends() -> int:
                caller = await Caller.connect(running.port)
                await upload(caller, LONG[:2_000_000], wait_ms=20_000)
                lowest_left.append(budgets.passing.left)
                return (await caller.read()).status

            crowd = [asyncio.create_task(sends()) for _ in range(8)]
            await asyncio.sleep(0)
            caller = await Caller.connect(running.port)
            assert (await caller.ask("POST /charge", b"short")).status == 200
            assert await within(asyncio.gather(*crowd)) == [200] * 8
            assert min(lowest_left) >= 0 and budgets_are_full(running) and not running.broken

    run(test())


def test_long_bodies_with_long_answers_do_not_deadlock(tmp_path: Path) -> None:
    """The budget allows one streamed message: an attempt keeps the body's share for its answer, or both would
    deadlock."""

    async def test() -> None:
        async with Running(tmp_path, Upstream(says(answer(200, LONG)))) as running:
            running.service.copy.budgets.passing.resize(PASSING)

            async def upload_and_read() -> bytes:
                caller = await Caller.connect(running.port)
                await upload(caller, LONG[:2_000_000], wait_ms=1500)
                return (await caller.read()).body

            bodies_back = await within(asyncio.gather(upload_and_read(), upload_and_read()))
            assert bodies_back == [LONG, LONG]
            assert budgets_are_full(running) and not running.broken

    run(test())


def test_stalled_callers_time_out(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """A body that keeps the minimum rate is waited for, a stalled one is not."""
    monkeypatch.setattr(routing, "READ_S", 0.2)
    monkeypatch.setattr(bodies, "SLOWEST_BYTES_PER_S", 1000)

    async def test() -> None:
        async with Running(tmp_path, Upstream(answer_with_digest)) as running:
            caller = await Caller.connect(running.port)
            caller.write("POST /charge", Content_Length="1000")
            for _ in range(10):
                caller.writer.write(b"x" * 100)
                await asyncio.sleep(0.05)
            assert (await caller.read()).status == 200
            caller.write("POST /charge", Content_Length="1000")
            caller.writer.write(b"x" * 100)
            assert (await caller.read()).status == 408

    run(test())


def test_messages_of_one_byte_chunks(tmp_path: Path) -> None:
    """Head, body and answer arrive byte by byte, chunked, with an interim response and trailers."""
    said = (
        b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3;q=1\r\nabc\r\n2\r\nde\r\n0\r\nX-T: 1\r\n\r\n"
    )

    async def send_byte_by_byte(_: Message, writer: Writer) -> None:
        for at in range(len(said)):
            writer.write(said[at : at + 1])
            await asyncio.sleep(0)

    async def test() -> None:
        upstream = Upstream(send_byte_by_byte)
        async with Running(tmp_path, upstream) as running:
            caller = await Caller.connect(running.port)
            request_bytes = (
                b"POST http://app.svc/charge/7?a=b HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: 77\r\n"
                b"X-Customer: acme\r\nX-Expires-In-Ms: 9000\r\n"
                b"Transfer-Encoding: chunked\r\n\r\n4\r\nwxyz\r\n0\r\n\r\n"
            )
            for at in range(len(request_bytes)):
                caller.writer.write(request_bytes[at : at + 1])
                await asyncio.sleep(0)
            got = await caller.read()
            assert (got.status, got.body) == (200, b"abcde")
            assert upstream.asked[0].body == b"wxyz"
            assert upstream.asked[0].start == "POST /charge/7?a=b HTTP/1.1"
            assert not running.broken

    run(test())


def test_pipelined_requests(tmp_path: Path) -> None:
    """Pipelined requests are answered in order; a hundred at once get one error and a close."""

    async def test() -> None:
        async with Running(tmp_path, Upstream(answer_with_digest)) as running:
            caller = await Caller.connect(running.port)
            for body in (b"a", b"b", b"c"):
                caller.write("POST /charge", body)
            for body in (b"a", b"b", b"c"):
                assert (await caller.read()).body == digest(body)
            for _ in range(100):
                caller.write("POST /charge", b"x")
            assert (await caller.read()).status == 400
            assert await caller.at_end()

    run(test())


def test_sigterm_does_not_truncate_a_long_answer(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("madderwind.standalone.program.service.TAKE_ON_S", 0.0)
    monkeypatch.setattr("madderwind.standalone.program.service.MOST_DEADLINE_S", 0.0)
    monkeypatch.setattr("madderwind.standalone.program.service.LAST_WORD_S", 0.05)

    async def test() -> None:
        go = asyncio.Event()

        async def waits(_: Message, writer: Writer) -> None:
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(LONG) + LONG[:1_000_000])
            await go.wait()
            writer.write(LONG[1_000_000:])

        async with Running(tmp_path, Upstream(waits)) as running:
            caller = await Caller.connect(running.port)
            caller.write()
            while not running.service.copy.passes_answers():
                await asyncio.sleep(0.001)
            running.service.end()
            while not running.log.named("answered_at_the_end"):
                await asyncio.sleep(0.001)
            go.set()
            assert (await caller.read()).body == LONG
            await within(running.task)
            assert not running.broken

    run(test())
