"""Attempts over real sockets: what is written, how the attempt ends, and which connections are reused."""

from __future__ import annotations

import asyncio
import errno
import gzip
import socket
import time
from collections.abc import AsyncIterator

import aiohttp
import pytest
from multidict import CIMultiDict

from madderwind.standalone.policy.api import Outcome
from madderwind.transport import answering
from madderwind.transport import upstreams as transport
from madderwind.transport.answering import MAX_RESPONSE_BYTES, SingleResponseHandler
from madderwind.transport.encoded_request import EncodedRequest, Upload
from madderwind.transport.upstreams import MAX_BUFFERED_BYTES, READ_BUFFER, Answer, Upstreams
from tests.examples import HOST
from tests.standins import Message, Upstream, Writer, answer, reset, resets, run, says, silent, within

DISTANT_S = 1000.0


def encoded(
    method: str = "GET", target: str = "/lookup", body: bytes = b"", may_write: bool = True
) -> EncodedRequest:
    return EncodedRequest(method, target, CIMultiDict({"X-Trace-Id": "t1"}), body, lambda: may_write)


class Pool(Upstreams):
    """A pool that closes itself at the end of a context."""

    def __init__(
        self, connect_timeout_ms: float = 5000.0, idle_ms: float = 30_000.0, most: int = 100
    ) -> None:
        super().__init__(connect_timeout_ms, idle_ms, most)

    async def __aenter__(self) -> Pool:
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.close()

    async def get(
        self, upstream: Upstream, sent: EncodedRequest | None = None, in_s: float = DISTANT_S, number: int = 0
    ) -> Answer | Outcome:
        until_s = asyncio.get_running_loop().time() + in_s
        return await self.ask(number, upstream.address, sent or encoded(), until_s)


@pytest.mark.parametrize(
    "target",
    ["/lookup", "/lookup?", "/lookup//a/%2F/./..?x=%zz&y=%20+z", "/lookup;v=1?a=b?c&d", "/lookup?q=#frag"],
)
def test_target_and_body_are_forwarded_unchanged(target: str) -> None:
    """Guards against a client library that normalizes targets or adds headers."""

    async def test() -> None:
        body = bytes(range(256)) * 200
        async with Upstream(says(answer(200, b"done"))) as upstream, Pool() as pool:
            got = await pool.get(upstream, encoded("POST", target, body))
            assert isinstance(got, Answer)
            assert (got.status, got.body) == (200, b"done")
            (asked,) = upstream.asked
            assert asked.start == f"POST {target} HTTP/1.1"
            assert asked.body == body
            assert asked.header("X-Trace-Id") == "t1"
            assert asked.header("User-Agent") is None

    run(test())


def test_an_idle_connection_is_reused() -> None:
    async def test() -> None:
        async with Upstream(says(answer(200, b"a"))) as upstream, Pool() as pool:
            for _ in range(3):
                assert isinstance(await pool.get(upstream), Answer)
            assert upstream.connections == 1

    run(test())


def test_a_get_is_not_resent_when_a_reused_connection_breaks() -> None:
    """Guards against aiohttp's own retry, which would send a duplicate that no retry policy decided on."""

    async def test() -> None:
        async with Upstream(says(answer(200, b"a"))) as upstream, Pool() as pool:
            assert isinstance(await pool.get(upstream), Answer)
            upstream.behave = resets
            assert await pool.get(upstream) is Outcome.RESET
            assert len(upstream.asked) == 2

    run(test())


def test_aiohttp_still_has_the_option_that_disables_its_retry() -> None:
    """Guards against an aiohttp version that renames the option."""

    async def test() -> None:
        async with aiohttp.ClientSession() as session:
            assert session._retry_connection is True
        async with Pool() as pool:
            assert pool._session._retry_connection is False

    run(test())


def test_a_reset_of_a_stale_connection_pauses_reuse(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a reset of a possibly executed request for each connection dropped without a close."""

    async def test() -> None:
        async def reset_on_reuse(message: Message, writer: Writer) -> None:
            earlier = [m for m in upstream.asked if m.connection == message.connection]
            await (resets if len(earlier) > 1 else says(answer(200, b"a")))(message, writer)

        def unrepeatable() -> EncodedRequest:
            return EncodedRequest("POST", "/charge", CIMultiDict(), b"1", lambda: True, may_repeat=False)

        async with Upstream(reset_on_reuse) as upstream, Pool() as pool:
            trust = pool._connector.trust
            assert isinstance(await pool.get(upstream), Answer)
            assert await pool.get(upstream) is Outcome.RESET
            for _ in range(9):
                assert isinstance(await pool.get(upstream), Answer)
            monkeypatch.setattr(trust, "_paused_until_s", 0.0)  # ends the pause
            assert isinstance(await pool.get(upstream, unrepeatable()), Answer)
            assert await pool.get(upstream) is Outcome.RESET  # a repeatable request reused a connection
            assert trust._paused_until_s > asyncio.get_running_loop().time() + 1.0  # the pause has doubled
            monkeypatch.setattr(trust, "_paused_until_s", 0.0)
            upstream.behave = says(answer(200, b"a"))
            for _ in range(trust.SUCCESSES_TO_RECOVER + 1):
                assert isinstance(await pool.get(upstream), Answer)
            connections = upstream.connections
            assert isinstance(await pool.get(upstream, unrepeatable()), Answer)
            assert upstream.connections == connections

    run(test())


def test_a_refused_connection_is_a_failed_connect() -> None:
    async def test() -> None:
        async with Upstream(silent) as upstream:
            pass
        async with Pool() as pool:
            assert await pool.get(upstream) is Outcome.CONNECT_FAILED

    run(test())


def test_a_connect_timeout_is_a_failed_connect() -> None:
    """Guards against taking a connect timeout for an attempt that may have run."""

    async def test() -> None:
        with socket.socket() as listening:
            listening.bind((HOST, 0))
            listening.listen(0)
            address = listening.getsockname()
            fillers = [socket.socket() for _ in range(4)]
            for filler in fillers:  # fills the listen backlog
                filler.setblocking(False)
                filler.connect_ex(address)
            try:
                async with Pool(connect_timeout_ms=50.0) as pool:
                    until_s = asyncio.get_running_loop().time() + DISTANT_S
                    sent = encoded()
                    assert await pool.ask(0, address, sent, until_s) is Outcome.CONNECT_FAILED
                    assert not sent.write_approved
                    sent = encoded()
                    assert await pool.ask(0, address, sent, until_s - DISTANT_S) is Outcome.NOT_SENT
            finally:
                for filler in fillers:
                    filler.close()

    run(test())


def test_a_missing_response_times_out_and_closes_the_connection() -> None:
    """Guards against reading a late response as the response to the next request."""

    async def test() -> None:
        async with Upstream(silent) as upstream, Pool() as pool:
            assert await pool.get(upstream, in_s=0.05) is Outcome.TIMEOUT
            assert await within(upstream.ended.get()) == 1
            upstream.behave = says(answer(200, b"new"))
            got = await pool.get(upstream)
            assert isinstance(got, Answer)
            assert got.body == b"new"
            assert upstream.connections == 2

    run(test())


def test_a_cancelled_attempt_closes_its_connection() -> None:
    async def test() -> None:
        async with Upstream(silent) as upstream, Pool() as pool:
            task = asyncio.create_task(pool.get(upstream))
            await within(upstream.arrivals.get())
            task.cancel()
            with pytest.raises(asyncio.CancelledError):
                await task
            assert await within(upstream.ended.get()) == 1

    run(test())


def test_nothing_is_written_for_an_attempt_that_is_no_longer_wanted() -> None:
    """Guards against sending after a drain notice, a deadline or the response came during the connect."""

    async def test() -> None:
        async with Upstream(silent) as upstream, Pool() as pool:
            sent = encoded(may_write=False)
            assert await pool.get(upstream, sent) is Outcome.NOT_SENT
            assert await within(upstream.ended.get()) == 1
            assert not upstream.asked
            assert not sent.write_approved

    run(test())


@pytest.mark.parametrize(
    "raw",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n",
        b"HTTP/1.1 200 OK\r\nConte",
        b"",
    ],
)
def test_a_truncated_response_is_a_reset(raw: bytes) -> None:
    """Guards against serving a truncated response: the request may have run, but has no valid response."""

    async def respond_partly(_: Message, writer: Writer) -> None:
        writer.write(raw)
        writer.close()

    async def test() -> None:
        async with Upstream(respond_partly) as upstream, Pool() as pool:
            assert await pool.get(upstream) is Outcome.RESET

    run(test())


UNFRAMED_RESPONSE = b"HTTP/1.1 200 OK\r\n\r\nhalf of it"


@pytest.mark.parametrize("is_streamed", [False, True])
@pytest.mark.parametrize("ends", ["reset", "closed here", "closed there"])
def test_only_the_upstreams_close_ends_a_response_without_a_length(
    monkeypatch: pytest.MonkeyPatch, ends: str, is_streamed: bool
) -> None:
    """Guards against serving what came before a reset as the complete response, buffered or streamed.

    The connection ends only once the first half of the response has been read.
    """
    monkeypatch.setattr(transport, "MAX_BUFFERING_S", 0.01 if is_streamed else DISTANT_S)

    async def test() -> None:
        writers: asyncio.Queue[Writer] = asyncio.Queue()

        async def respond_partly(_: Message, writer: Writer) -> None:
            writer.write(UNFRAMED_RESPONSE)
            writers.put_nowait(writer)

        async with Upstream(respond_partly) as upstream, Pool() as pool:
            sink = RecordingSink()
            sent = request_for(sink)
            task = asyncio.create_task(pool.get(upstream, sent))
            writer = await within(writers.get())
            while not (sink.parts if is_streamed else sent.connection is not None and sent.connection._body):
                await asyncio.sleep(0)
            assert sent.connection is not None
            if ends == "reset":
                reset(writer)
            elif ends == "closed here":
                assert sent.connection.transport is not None
                sent.connection.transport.close()
            else:
                writer.close()
            got = await within(task)
            if ends == "closed there":
                assert isinstance(got, Answer)
                assert (got.body, sink.parts) == (
                    (b"", [b"half of it"]) if is_streamed else (b"half of it", [])
                )
            else:
                assert got is Outcome.RESET

    run(test())


def test_redirects_cookies_and_compression_are_passed_through() -> None:
    async def test() -> None:
        compressed = gzip.compress(b"x" * 1000)
        replies = (
            answer(302, Location="/elsewhere", Set_Cookie="k=v"),
            answer(200, compressed, Content_Encoding="gzip"),
        )
        async with Upstream(says(*replies)) as upstream, Pool() as pool:
            got = await pool.get(upstream)
            assert isinstance(got, Answer)
            assert got.status == 302
            got = await pool.get(upstream)
            assert isinstance(got, Answer)
            assert got.body == compressed
            assert [m.start for m in upstream.asked] == ["GET /lookup HTTP/1.1"] * 2
            assert upstream.asked[1].header("Cookie") is None

    run(test())


class RecordingSink:
    """A sink that records what it is given; it may be slow or refuse the response."""

    def __init__(self, accepts: bool = True, write_delay_s: float = 0.0) -> None:
        self.accepts, self.write_delay_s = accepts, write_delay_s
        self.length: int | None = None
        self.parts: list[bytes] = []

    async def begin(self, _: object, length: int | None) -> bool:
        self.length = length
        return self.accepts

    async def write(self, part: bytes) -> None:
        await asyncio.sleep(self.write_delay_s)
        self.parts.append(part)


def request_for(sink: RecordingSink) -> EncodedRequest:
    return EncodedRequest("GET", "/lookup", CIMultiDict({"X-Trace-Id": "t1"}), b"", lambda: True, sink=sink)


CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def chunks(body: bytes, size: int) -> bytes:
    cut = (body[at : at + size] for at in range(0, len(body), size))
    return b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in cut) + b"0\r\n\r\n"


@pytest.mark.parametrize("chunked", [False, True])
@pytest.mark.parametrize("size", [MAX_BUFFERED_BYTES, MAX_BUFFERED_BYTES + 1, 3_000_000])
def test_long_responses_are_streamed_and_short_ones_buffered(chunked: bool, size: int) -> None:
    async def test() -> None:
        body = (bytes(range(250)) * (size // 250 + 1))[:size]
        raw = CHUNKED + chunks(body, 9000) if chunked else answer(200, body)
        async with Upstream(says(raw)) as upstream, Pool() as pool:
            for _ in range(2):
                sink = RecordingSink()
                got = await pool.get(upstream, request_for(sink))
                assert isinstance(got, Answer)
                assert got.body + b"".join(sink.parts) == body
                assert bool(got.body) == (size <= MAX_BUFFERED_BYTES)
                assert sink.length == (None if chunked or got.body else size)
            assert upstream.connections == 1  # it is reusable after a streamed response too

    run(test())


def test_a_slow_reader_applies_backpressure_to_the_upstream(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against buffering a response whose reader is slow, and against taking that for a stall."""
    monkeypatch.setattr(answering, "PASSING_STALL_S", 0.1)

    async def test() -> None:
        body = b"x" * 12_000_000
        sent = 0

        async def behave(_: Message, writer: Writer) -> None:
            nonlocal sent
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body))
            for at in range(0, len(body), 100_000):
                writer.write(body[at : at + 100_000])
                await writer.drain()
                sent = at + 100_000

        class SlowSink(RecordingSink):
            async def write(self, part: bytes) -> None:
                if not self.parts:
                    await asyncio.sleep(0.5)
                    assert sent < len(body)  # the system buffers only a few megabytes
                self.parts.append(part)

        async with Upstream(behave) as upstream, Pool(connect_timeout_ms=100.0) as pool:
            sink = SlowSink()
            # the deadline does not cut off a streamed response
            assert isinstance(await pool.get(upstream, request_for(sink), in_s=0.3), Answer)
            assert sum(map(len, sink.parts)) == len(body)
            assert max(map(len, sink.parts)) <= 4 * READ_BUFFER

    run(test())


def test_a_streamed_response_that_breaks_off_or_stalls(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(answering, "PASSING_STALL_S", 0.05)

    async def break_off(_: Message, writer: Writer) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 900000\r\n\r\n" + b"x" * 500_000)
        await writer.drain()
        writer.close()

    async def stall(_: Message, writer: Writer) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 900000\r\n\r\n" + b"x" * 500_000)

    async def test() -> None:
        for behave, outcome in ((break_off, Outcome.RESET), (stall, Outcome.ERROR)):
            async with Upstream(behave) as upstream, Pool(connect_timeout_ms=50.0) as pool:
                assert await pool.get(upstream, request_for(RecordingSink())) is outcome

    run(test())


def test_a_long_response_that_pauses_after_its_head_is_not_cut_off() -> None:
    """Guards against the stall limit of short responses, which runs until this one is known to be long."""

    async def test() -> None:
        class SignallingSink(RecordingSink):
            async def begin(self, headers: object, length: int | None) -> bool:
                began.set()
                return await super().begin(headers, length)

        async def pause_after_head(_: Message, writer: Writer) -> None:
            writer.write(HEAD + b"Content-Length: 900000\r\n\r\n")
            await within(began.wait())
            await asyncio.sleep(0.15)  # three times the stall limit of a short response
            writer.write(b"x" * 900_000)

        began, sink = asyncio.Event(), SignallingSink()
        async with Upstream(pause_after_head) as upstream, Pool(connect_timeout_ms=50.0) as pool:
            assert isinstance(await pool.get(upstream, request_for(sink)), Answer)
            assert sum(map(len, sink.parts)) == 900_000

    run(test())


@pytest.mark.parametrize("head", [b"\r\n", b"Content-Length: 120000\r\nConnection: close\r\n\r\n"])
def test_a_complete_response_is_read_to_its_end_after_the_connection_is_lost(
    head: bytes,
) -> None:
    """Guards against a reader that takes the end of the connection for an invalid response."""

    async def test() -> None:
        class DelayedSink(RecordingSink):
            async def write(self, part: bytes) -> None:
                began.set()
                while sent.connection is None or not sent.connection._connection_lost_called:
                    await asyncio.sleep(0)
                self.parts.append(part)

        async def ends(_: Message, writer: Writer) -> None:
            writer.write(HEAD + head + b"x" * 70_000)
            await within(began.wait())
            writer.write(b"x" * 50_000)  # small enough to arrive at once, followed by the close
            writer.close()

        began, sink = asyncio.Event(), DelayedSink()
        sent = request_for(sink)
        async with Upstream(ends) as upstream, Pool() as pool:
            assert isinstance(await pool.get(upstream, sent), Answer)
            assert sum(map(len, sink.parts)) == 120_000

    run(test())


def test_an_unwanted_long_response_is_not_read() -> None:
    async def test() -> None:
        for sink, status, is_wanted in (
            (RecordingSink(accepts=False), 200, False),
            (RecordingSink(), 500, True),
        ):
            async with Upstream(says(answer(status, b"x" * 900_000))) as upstream, Pool() as pool:
                got = await pool.get(upstream, request_for(sink))
                assert not sink.parts
                assert (
                    isinstance(got, Answer) and got.status == 500 if is_wanted else got is Outcome.CANCELLED
                )
                assert await within(upstream.ended.get()) == 1

    run(test())


def test_a_slow_response_without_a_length_is_not_buffered_for_long(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(transport, "MAX_BUFFERING_S", 0.05)

    async def test() -> None:
        sink = RecordingSink()

        async def behave(_: Message, writer: Writer) -> None:
            writer.write(CHUNKED + b"3\r\nabc\r\n")
            while not sink.parts:
                await asyncio.sleep(0.01)
            writer.write(b"2;ext=1\r\nde\r\n0\r\nX-Trailer: 1\r\n\r\n")

        async with Upstream(behave) as upstream, Pool() as pool:
            assert isinstance(await pool.get(upstream, request_for(sink)), Answer)
            assert sink.parts == [b"abc", b"de"]

    run(test())


def test_a_response_over_the_size_limit_is_an_error(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(transport, "MAX_RESPONSE_BYTES", 200_000)

    async def test() -> None:
        async with Upstream(says(CHUNKED + chunks(b"x" * 300_000, 9000))) as upstream, Pool() as pool:
            assert await pool.get(upstream, request_for(RecordingSink())) is Outcome.ERROR

    run(test())


def test_an_incomplete_request_body_means_that_the_request_never_ran() -> None:
    """Guards against treating such a request as possibly run: an incomplete body proves that nothing ran."""

    async def abort_early(_: asyncio.StreamReader, writer: Writer) -> None:
        await asyncio.sleep(0.05)
        writer.transport.abort()

    async def pieces() -> AsyncIterator[bytes]:
        for _ in range(1000):
            yield b"x" * 100_000

    async def test() -> None:
        server = await asyncio.start_server(abort_early, HOST, 0)
        async with server, Pool() as pool:
            completions: list[bool] = []
            sent = EncodedRequest(
                *("POST", "/charge", CIMultiDict[str](), b"", lambda: True),
                on_written=lambda: completions.append(True),
                upload=Upload(pieces(), None),
            )
            until_s = asyncio.get_running_loop().time() + 10.0
            address = server.sockets[0].getsockname()
            assert await pool.ask(0, address, sent, until_s) is Outcome.CONNECT_FAILED
            assert not completions

    run(test())


def test_a_request_cancelled_before_its_last_byte_is_never_completed() -> None:
    """Guards against a request that counts as never run and yet reaches its upstream in full.

    A plain close would first send the buffered bytes.
    """

    async def test() -> None:
        body = b"x" * 12_000_000
        read = asyncio.Queue[int]()

        async def read_late(reader: asyncio.StreamReader, writer: Writer) -> None:
            await cancelled.wait()
            size = 0
            while part := await reader.read(1 << 20):
                size += len(part)
            read.put_nowait(size)
            writer.close()

        cancelled = asyncio.Event()
        server = await asyncio.start_server(read_late, HOST, 0)
        async with server, Pool() as pool:
            until_s = asyncio.get_running_loop().time() + 0.05
            address = server.sockets[0].getsockname()
            sent = encoded("POST", "/charge", body)
            assert await pool.ask(0, address, sent, until_s) is Outcome.CONNECT_FAILED
            cancelled.set()
            assert await within(read.get()) < len(body)

    run(test())


def test_a_long_idle_connection_is_not_reused(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against writing to a connection that the upstream may be closing."""

    async def test() -> None:
        async with Upstream(says(answer(200, b"a"))) as upstream, Pool(idle_ms=10_000.0) as pool:
            assert isinstance(await pool.get(upstream), Answer)
            now = time.monotonic()
            monkeypatch.setattr("aiohttp.connector.monotonic", lambda: now + 8.5)
            assert isinstance(await pool.get(upstream), Answer)
            assert upstream.connections == 2

    run(test())


def test_idle_connections_can_be_closed() -> None:
    async def test() -> None:
        async with Upstream(says(answer(200, b"a"))) as upstream, Pool() as pool:
            assert isinstance(await pool.get(upstream), Answer)
            pool.close_idle(1)
            assert pool._connector._conns
            pool.close_idle(0)
            assert await within(upstream.ended.get()) == 1
            assert isinstance(await pool.get(upstream), Answer)

    run(test())


def test_a_new_upstream_at_a_removed_ones_address_gets_its_own_connections() -> None:
    """Guards against sharing connections with the removed upstream, and against closing those of both."""

    async def test() -> None:
        async with Upstream(says(answer(200, b"a"))) as upstream, Pool() as pool:
            for number in (0, 1, 0, 1):
                assert isinstance(await pool.get(upstream, number=number), Answer)
            assert [m.connection for m in upstream.asked] == [1, 2, 1, 2]
            pool.close_idle(0)
            assert isinstance(await pool.get(upstream, number=1), Answer)
            assert upstream.asked[-1].connection == 2

    run(test())


def test_connections_are_limited_to_the_descriptors() -> None:
    """Guards against attempts that use up the descriptors that callers' connections need."""

    async def test() -> None:
        async with Upstream(silent) as busy, Upstream(says(answer(200))) as other, Pool(most=2) as pool:
            assert isinstance(await pool.get(other), Answer)  # leaves an idle connection
            pending = [asyncio.create_task(pool.get(busy)) for _ in range(2)]
            for _ in pending:
                await within(busy.arrivals.get())
            assert await within(other.ended.get()) == 1  # it was closed to free its descriptor
            assert await pool.get(other) is Outcome.NOT_SENT
            assert len(other.asked) == 1
            for task in pending:
                task.cancel()
            await asyncio.gather(*pending, return_exceptions=True)
            assert isinstance(await pool.get(other), Answer)

    run(test())


@pytest.mark.parametrize(
    ("number", "outcome"),
    [(errno.EMFILE, Outcome.NOT_SENT), (errno.ECONNREFUSED, Outcome.CONNECT_FAILED)],
)
def test_a_local_descriptor_shortage_is_not_an_upstream_failure(
    monkeypatch: pytest.MonkeyPatch, number: int, outcome: Outcome
) -> None:
    async def raise_error(*_: object, **__: object) -> None:
        raise OSError(number, "no")

    async def test() -> None:
        async with Upstream(silent) as upstream, Pool() as pool:
            monkeypatch.setattr("aiohttp.connector.aiohappyeyeballs.start_connection", raise_error)
            assert await pool.get(upstream) is outcome

    run(test())


VALID_RESPONSE = answer(200, b"made for this one")
HEAD = b"HTTP/1.1 200 OK\r\n"


@pytest.mark.parametrize("pieces", [1, 3, 1000])
@pytest.mark.parametrize("surplus", [VALID_RESPONSE, b"\x00\xff noise \r\n\r\n", HEAD, b"\r\n"])
def test_surplus_bytes_affect_neither_their_response_nor_the_next(surplus: bytes, pieces: int) -> None:
    """Guards against a duplicate read as the next response, and garbage that fails the one before."""

    async def test() -> None:
        async def behave(_: Message, writer: Writer) -> None:
            raw = VALID_RESPONSE + surplus
            size = -(-len(raw) // pieces)
            for at in range(0, len(raw), size):
                writer.write(raw[at : at + size])
                await asyncio.sleep(0)

        async with Upstream(behave) as upstream, Pool() as pool:
            for number in range(4):
                upstream.behave = behave if number % 2 == 0 else says(answer(200, b"second"))
                got = await pool.get(upstream)
                assert isinstance(got, Answer)
                assert got.body == (b"made for this one" if number % 2 == 0 else b"second")

    run(test())


def test_unsolicited_bytes_close_an_idle_connection() -> None:
    """Guards against aiohttp's handler, which keeps such bytes and reads them as the next response."""

    async def test() -> None:
        writers: list[Writer] = []

        async def behave(_: Message, writer: Writer) -> None:
            writers.append(writer)
            writer.write(answer(200, b"%d" % len(writers)))

        async with Upstream(behave) as upstream, Pool() as pool:
            for number in (1, 2, 3):
                got = await pool.get(upstream)
                assert isinstance(got, Answer)
                assert got.body == b"%d" % number
                writers[-1].write(answer(200, b"a copy"))
                # read by the event loop before the next request, or still unread when that is sent
                if number == 1:
                    assert await within(upstream.ended.get()) == 1
            assert upstream.connections == 3

    run(test())


@pytest.mark.parametrize(
    "raw",
    [
        b"\x00\xff\x16 noise\r\n\r\n",
        b"HTTP/9 what\r\n\r\n",
        b"what is this\r\n\r\n",
        HEAD + b"X-Long: " + b"a" * 70_000,
        HEAD + b"".join(b"X-%d: 1\r\n" % n for n in range(4000)),
        HEAD + b"Content-Length: 3000000000\r\n\r\n" + b"a" * 70_000,
        HEAD + b"Content-Length: %d\r\n\r\n" % (MAX_RESPONSE_BYTES + 1),
        HEAD + b"Content-Length: 5\r\nContent-Length: 6\r\n\r\nabcdef",
        HEAD + b"Content-Length: 5\r\nContent-Length: 5\r\n\r\nabcde",
        HEAD + b"Content-Length: -5\r\n\r\nabcde",
        HEAD + b"Content-Length: five\r\n\r\nabcde",
        HEAD + b"Content-Length: 99999999999999999999999\r\n\r\nabcde",
        HEAD + b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n0\r\n\r\n",
        HEAD + b"Transfer-Encoding: chunked\r\n\r\nzz\r\nabcde\r\n",
        HEAD + b"\r\n" + b"a" * 1_100_000,
        b"HTTP/1.1 101 Switching\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
        HEAD + b"Content-Length: 5\r\n\r\nabc",  # truncated
        b"HTTP/1.1 2",  # truncated
    ],
    ids=range(18),
)
def test_an_invalid_response_is_an_immediate_error_and_closes_its_connection(raw: bytes) -> None:
    """Guards against waiting for its end until the deadline, and against taking the upstream for dead."""

    async def test() -> None:
        async with Upstream(says(raw)) as upstream, Pool(connect_timeout_ms=200.0) as pool:
            assert await pool.get(upstream) is Outcome.ERROR
            assert await within(upstream.ended.get()) == 1
            upstream.behave = says(VALID_RESPONSE)
            assert isinstance(await pool.get(upstream), Answer)

    run(test())


def test_a_parser_that_was_paused_continues() -> None:
    """Guards against a parser that was paused by a full buffer and never resumed."""

    async def test() -> None:
        connection = SingleResponseHandler(asyncio.get_running_loop(), 5.0)
        connection.connection_made(asyncio.Transport())
        connection.set_response_params(read_bufsize=1000)
        connection.data_received(b"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n" + b"a" * 50_000)
        _, body = await connection.read()
        connection.data_received(b"a" * 50_000)
        read = b""
        while part := await within(body.readany()):
            read += part
        assert read == b"a" * 100_000

    run(test())


def test_interim_responses_are_skipped_and_do_not_start_the_stall_limit() -> None:
    async def test() -> None:
        async def behave(_: Message, writer: Writer) -> None:
            writer.write(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nLink: x\r\n\r\n")
            await asyncio.sleep(0.1)  # longer than the stall limit
            writer.write(VALID_RESPONSE)

        async with Upstream(behave) as upstream, Pool(connect_timeout_ms=50.0) as pool:
            got = await pool.get(upstream)
            assert isinstance(got, Answer)
            assert (got.status, got.body) == (200, b"made for this one")

    run(test())
