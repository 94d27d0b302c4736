"""Attempts over real sockets: what is written, how it ends, and which connections are kept."""

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
from madderwind.transport.answering import LONGEST_ANSWER, OneAnswer
from madderwind.transport.encoded_request import EncodedRequest, Upload
from madderwind.transport.upstreams import HELD_ANSWER, READ_BUFFER, Answer, Upstreams
from tests.examples import HOST
from tests.standins import Message, Upstream, Writer, answer, reset, resets, run, says, silent, within

FAR_S = 1000.0


def encoded(
    method: str = "GET", target: str = "/lookup", body: bytes = b"", may_write: bool = True
) -> EncodedRequest:
    return EncodedRequest(method, target, CIMultiDict({"X-Trace-Id": "t1"}), body, lambda: may_write)


class Pool(Upstreams):
    """A pool that a test closes by itself."""

    def __init__(
        self, connect_timeout_ms: float = 5000.0, idle_ms: float = 30_000.0, most: int = 100
    ) -> None:
        super().__init__(connect_timeout_ms, idle_ms, most)

    async def __aenter__(self) -> Pool:
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.close()

    async def get(
        self, upstream: Upstream, sent: EncodedRequest | None = None, in_s: float = FAR_S, number: int = 0
    ) -> Answer | Outcome:
        until_s = asyncio.get_running_loop().time() + in_s
        return await self.ask(number, upstream.address, sent or encoded(), until_s)


@pytest.mark.parametrize(
    "target",
    ["/lookup", "/lookup?", "/lookup//a/%2F/./..?x=%zz&y=%20+z", "/lookup;v=1?a=b?c&d", "/lookup?q=#frag"],
)
def test_target_and_body_go_on_to_the_letter(target: str) -> None:
    """Guards against a client library that tidies up what is not its own."""

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


def test_a_kept_connection_is_used_again() -> None:
    async def test() -> None:
        async with Upstream(says(answer(200, b"a"))) as upstream, Pool() as pool:
            for _ in range(3):
                assert isinstance(await pool.get(upstream), Answer)
            assert upstream.connections == 1

    run(test())


def test_a_get_is_not_sent_again_when_a_kept_connection_breaks() -> None:
    """Guards against the client's own second try: a second copy that no decision asked for."""

    async def test() -> None:
        async with Upstream(says(answer(200, b"a"))) as upstream, Pool() as pool:
            assert isinstance(await pool.get(upstream), Answer)
            upstream.behave = resets
            assert await pool.get(upstream) is Outcome.RESET
            assert len(upstream.asked) == 2

    run(test())


def test_the_client_still_has_the_switch_that_turns_its_second_try_off() -> None:
    """Guards against a new version of the client in which the switch has another name."""

    async def test() -> None:
        async with aiohttp.ClientSession() as session:
            assert session._retry_connection is True
        async with Pool() as pool:
            assert pool._session._retry_connection is False

    run(test())


def test_a_kept_connection_that_was_given_up_brings_new_ones_for_a_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against resets that may have run, one for each connection that the upstream gave up silently."""

    async def test() -> None:
        async def once(message: Message, writer: Writer) -> None:
            earlier = [m for m in upstream.asked if m.connection == message.connection]
            await (resets if len(earlier) > 1 else says(answer(200, b"a")))(message, writer)

        def unsafe() -> EncodedRequest:
            return EncodedRequest("POST", "/charge", CIMultiDict(), b"1", lambda: True, may_repeat=False)

        async with Upstream(once) as upstream, Pool() as pool:
            trust = pool._connector.trust
            assert isinstance(await pool.get(upstream), Answer)
            assert await pool.get(upstream) is Outcome.RESET
            for _ in range(9):
                assert isinstance(await pool.get(upstream), Answer)
            monkeypatch.setattr(trust, "_until_s", 0.0)  # the time is over
            assert isinstance(await pool.get(upstream, unsafe()), Answer)
            assert await pool.get(upstream) is Outcome.RESET  # who may be sent twice has tried one
            assert trust._until_s > asyncio.get_running_loop().time() + 1.0  # twice as long
            monkeypatch.setattr(trust, "_until_s", 0.0)
            upstream.behave = says(answer(200, b"a"))
            for _ in range(trust.ENOUGH + 1):
                assert isinstance(await pool.get(upstream), Answer)
            connections = upstream.connections
            assert isinstance(await pool.get(upstream, unsafe()), Answer)
            assert upstream.connections == connections

    run(test())


def test_refused_is_could_not_connect() -> None:
    async def test() -> None:
        async with Upstream(silent) as upstream:
            pass
        async with Pool() as pool:
            assert await pool.get(upstream) is Outcome.CONNECT_FAILED

    run(test())


def test_a_connection_that_never_comes_up_could_not_connect() -> None:
    """Guards against taking the connecting's time-out for an attempt that may have run."""

    async def test() -> None:
        with socket.socket() as full:
            full.bind((HOST, 0))
            full.listen(0)
            address = full.getsockname()
            fillers = [socket.socket() for _ in range(4)]
            for filler in fillers:  # the queue of connections not accepted is full from here on
                filler.setblocking(False)
                filler.connect_ex(address)
            try:
                async with Pool(connect_timeout_ms=50.0) as pool:
                    until_s = asyncio.get_running_loop().time() + FAR_S
                    sent = encoded()
                    assert await pool.ask(0, address, sent, until_s) is Outcome.CONNECT_FAILED
                    assert not sent.written
                    sent = encoded()
                    assert await pool.ask(0, address, sent, until_s - FAR_S) is Outcome.NOT_SENT
            finally:
                for filler in fillers:
                    filler.close()

    run(test())


def test_silence_times_out_and_its_connection_is_closed() -> None:
    """Guards against a late answer that is read as the answer to the next request."""

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


def test_an_attempt_taken_back_closes_its_connection() -> None:
    async def test() -> None:
        async with Upstream(silent) as upstream, Pool() as pool:
            task = asyncio.create_task(pool.get(upstream))
            await within(upstream.arrivals.get())
            task.cancel()
            with pytest.raises(asyncio.CancelledError):
                await task
            assert await within(upstream.ended.get()) == 1

    run(test())


def test_nothing_is_written_when_the_attempt_is_not_wanted_any_more() -> None:
    """Guards against sends after a drain notice, a deadline or the answer, while a connection came up."""

    async def test() -> None:
        async with Upstream(silent) as upstream, Pool() as pool:
            sent = encoded(may_write=False)
            assert await pool.get(upstream, sent) is Outcome.NOT_SENT
            assert await within(upstream.ended.get()) == 1
            assert not upstream.asked
            assert not sent.written

    run(test())


@pytest.mark.parametrize(
    "said",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n",
        b"HTTP/1.1 200 OK\r\nConte",
        b"",
    ],
)
def test_an_answer_that_is_not_whole_is_a_reset(said: bytes) -> None:
    """Guards against serving half an answer: it may have run, and it is no answer."""

    async def half(_: Message, writer: Writer) -> None:
        writer.write(said)
        writer.close()

    async def test() -> None:
        async with Upstream(half) as upstream, Pool() as pool:
            assert await pool.get(upstream) is Outcome.RESET

    run(test())


NO_LENGTH = b"HTTP/1.1 200 OK\r\n\r\nhalf of it"


@pytest.mark.parametrize("passes", [False, True])
@pytest.mark.parametrize("ends", ["reset", "closed here", "closed there"])
def test_only_the_upstreams_end_ends_an_answer_of_no_told_length(
    monkeypatch: pytest.MonkeyPatch, ends: str, passes: bool
) -> None:
    """Guards against serving what came before a reset as the whole answer, held or passing on. The end comes
    once the half has been read."""
    monkeypatch.setattr(transport, "HELD_S", 0.01 if passes else FAR_S)

    async def test() -> None:
        writers: asyncio.Queue[Writer] = asyncio.Queue()

        async def half(_: Message, writer: Writer) -> None:
            writer.write(NO_LENGTH)
            writers.put_nowait(writer)

        async with Upstream(half) as upstream, Pool() as pool:
            sink = Kept()
            sent = to(sink)
            task = asyncio.create_task(pool.get(upstream, sent))
            writer = await within(writers.get())
            while not (sink.parts if passes else sent.connection is not None and sent.connection._body):
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
                assert (got.body, sink.parts) == ((b"", [b"half of it"]) if passes else (b"half of it", []))
            else:
                assert got is Outcome.RESET

    run(test())


def test_redirects_cookies_and_compression_are_left_alone() -> None:
    async def test() -> None:
        packed = gzip.compress(b"x" * 1000)
        replies = (
            answer(302, Location="/elsewhere", Set_Cookie="k=v"),
            answer(200, packed, Content_Encoding="gzip"),
        )
        async with Upstream(says(*replies)) as upstream, Pool() as pool:
            got = await pool.get(upstream)
            assert isinstance(got, Answer)
            assert got.status == 302
            got = await pool.get(upstream)
            assert isinstance(got, Answer)
            assert got.body == packed
            assert [m.start for m in upstream.asked] == ["GET /lookup HTTP/1.1"] * 2
            assert upstream.asked[1].header("Cookie") is None

    run(test())


class Kept:
    """A sink that keeps what it is given, and may be slow or not want it."""

    def __init__(self, wants: bool = True, waits_s: float = 0.0) -> None:
        self.wants, self.waits_s = wants, waits_s
        self.length: int | None = None
        self.parts: list[bytes] = []

    async def begin(self, _: object, length: int | None) -> bool:
        self.length = length
        return self.wants

    async def write(self, part: bytes) -> None:
        await asyncio.sleep(self.waits_s)
        self.parts.append(part)


def to(sink: Kept) -> EncodedRequest:
    return EncodedRequest("GET", "/lookup", CIMultiDict({"X-Trace-Id": "t1"}), b"", lambda: True, sink=sink)


CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def chunks(body: bytes, size: int) -> bytes:
    cut = (body[at : at + size] for at in range(0, len(body), size))
    return b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in cut) + b"0\r\n\r\n"


@pytest.mark.parametrize("chunked", [False, True])
@pytest.mark.parametrize("size", [HELD_ANSWER, HELD_ANSWER + 1, 3_000_000])
def test_long_answers_pass_on_in_pieces_and_short_ones_are_whole(chunked: bool, size: int) -> None:
    async def test() -> None:
        body = (bytes(range(250)) * (size // 250 + 1))[:size]
        said = CHUNKED + chunks(body, 9000) if chunked else answer(200, body)
        async with Upstream(says(said)) as upstream, Pool() as pool:
            for _ in range(2):
                sink = Kept()
                got = await pool.get(upstream, to(sink))
                assert isinstance(got, Answer)
                assert got.body + b"".join(sink.parts) == body
                assert bool(got.body) == (size <= HELD_ANSWER)
                assert sink.length == (None if chunked or got.body else size)
            assert upstream.connections == 1  # it is of use after a long answer too

    run(test())


def test_a_slow_reader_holds_the_upstream_back(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against an answer that is held because its reader is slow, and against calling that a stall."""
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

        class Slow(Kept):
            async def write(self, part: bytes) -> None:
                if not self.parts:
                    await asyncio.sleep(0.5)
                    assert sent < len(body)  # the system's buffers hold some megabytes, and no more
                self.parts.append(part)

        async with Upstream(behave) as upstream, Pool(connect_timeout_ms=100.0) as pool:
            sink = Slow()
            assert isinstance(await pool.get(upstream, to(sink), in_s=0.3), Answer)  # no deadline cuts it off
            assert sum(map(len, sink.parts)) == len(body)
            assert max(map(len, sink.parts)) <= 4 * READ_BUFFER

    run(test())


def test_a_long_answer_that_breaks_off_or_stalls(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(answering, "PASSING_STALL_S", 0.05)

    async def breaks(_: Message, writer: Writer) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 900000\r\n\r\n" + b"x" * 500_000)
        await writer.drain()
        writer.close()

    async def stalls(_: Message, writer: Writer) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 900000\r\n\r\n" + b"x" * 500_000)

    async def test() -> None:
        for behave, outcome in ((breaks, Outcome.RESET), (stalls, Outcome.ERROR)):
            async with Upstream(behave) as upstream, Pool(connect_timeout_ms=50.0) as pool:
                assert await pool.get(upstream, to(Kept())) is outcome

    run(test())


def test_a_long_answer_that_pauses_behind_its_head_is_not_cut_off() -> None:
    """Guards against the bound on short answers' pauses, which runs before this one is known to be long."""

    async def test() -> None:
        class Begun(Kept):
            async def begin(self, headers: object, length: int | None) -> bool:
                began.set()
                return await super().begin(headers, length)

        async def pauses(_: Message, writer: Writer) -> None:
            writer.write(HEAD + b"Content-Length: 900000\r\n\r\n")
            await within(began.wait())
            await asyncio.sleep(0.15)  # three times what a short one may pause
            writer.write(b"x" * 900_000)

        began, sink = asyncio.Event(), Begun()
        async with Upstream(pauses) as upstream, Pool(connect_timeout_ms=50.0) as pool:
            assert isinstance(await pool.get(upstream, to(sink)), Answer)
            assert sum(map(len, sink.parts)) == 900_000

    run(test())


@pytest.mark.parametrize("head", [b"\r\n", b"Content-Length: 120000\r\nConnection: close\r\n\r\n"])
def test_a_long_answer_that_has_come_whole_is_read_to_its_end_after_its_connection_is_gone(
    head: bytes,
) -> None:
    """Guards against a reader that asks for more taking the connection's end for a spoilt answer."""

    async def test() -> None:
        class Late(Kept):
            async def write(self, part: bytes) -> None:
                began.set()
                while sent.connection is None or not sent.connection._connection_lost_called:
                    await asyncio.sleep(0)
                self.parts.append(part)

        async def ends(_: Message, writer: Writer) -> None:
            writer.write(HEAD + head + b"x" * 70_000)
            await within(began.wait())
            writer.write(b"x" * 50_000)  # little enough to be taken in at once, and the end behind it
            writer.close()

        began, sink = asyncio.Event(), Late()
        sent = to(sink)
        async with Upstream(ends) as upstream, Pool() as pool:
            assert isinstance(await pool.get(upstream, sent), Answer)
            assert sum(map(len, sink.parts)) == 120_000

    run(test())


def test_a_long_answer_that_nobody_wants_is_not_read() -> None:
    async def test() -> None:
        for sink, status, is_wanted in ((Kept(wants=False), 200, False), (Kept(), 500, True)):
            async with Upstream(says(answer(status, b"x" * 900_000))) as upstream, Pool() as pool:
                got = await pool.get(upstream, to(sink))
                assert not sink.parts
                assert (
                    isinstance(got, Answer) and got.status == 500 if is_wanted else got is Outcome.CANCELLED
                )
                assert await within(upstream.ended.get()) == 1

    run(test())


def test_an_answer_of_no_told_length_that_comes_slowly_is_not_held_back(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(transport, "HELD_S", 0.05)

    async def test() -> None:
        sink = Kept()

        async def behave(_: Message, writer: Writer) -> None:
            writer.write(CHUNKED + b"3\r\nabc\r\n")
            while not sink.parts:
                await asyncio.sleep(0.01)
            writer.write(b"2;ext=1\r\nde\r\n0\r\nX-Trailer: 1\r\n\r\n")

        async with Upstream(behave) as upstream, Pool() as pool:
            assert isinstance(await pool.get(upstream, to(sink)), Answer)
            assert sink.parts == [b"abc", b"de"]

    run(test())


def test_an_answer_over_the_bound_is_an_error(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(transport, "LONGEST_ANSWER", 200_000)

    async def test() -> None:
        async with Upstream(says(CHUNKED + chunks(b"x" * 300_000, 9000))) as upstream, Pool() as pool:
            assert await pool.get(upstream, to(Kept())) is Outcome.ERROR

    run(test())


def test_a_body_that_broke_before_its_last_byte_never_ran() -> None:
    """Proof that nothing ran: the request may be refused."""

    async def closes(_: asyncio.StreamReader, writer: Writer) -> None:
        await asyncio.sleep(0.05)
        writer.transport.abort()

    async def pieces() -> AsyncIterator[bytes]:
        for _ in range(1000):
            yield b"x" * 100_000

    async def test() -> None:
        server = await asyncio.start_server(closes, HOST, 0)
        async with server, Pool() as pool:
            whole: list[bool] = []
            sent = EncodedRequest(
                *("POST", "/charge", CIMultiDict[str](), b"", lambda: True),
                on_whole=lambda: whole.append(True),
                upload=Upload(pieces(), None),
            )
            until_s = asyncio.get_running_loop().time() + 10.0
            address = server.sockets[0].getsockname()
            assert await pool.ask(0, address, sent, until_s) is Outcome.CONNECT_FAILED
            assert not whole

    run(test())


def test_a_request_given_up_before_its_last_byte_never_gets_it_later() -> None:
    """Guards against one that counts as never run and then reaches its upstream whole: a close would first
    send what waits to be written."""

    async def test() -> None:
        body = b"x" * 12_000_000
        read = asyncio.Queue[int]()

        async def reads_late(reader: asyncio.StreamReader, writer: Writer) -> None:
            await given_up.wait()
            size = 0
            while part := await reader.read(1 << 20):
                size += len(part)
            read.put_nowait(size)
            writer.close()

        given_up = asyncio.Event()
        server = await asyncio.start_server(reads_late, HOST, 0)
        async with server, Pool() as pool:
            until_s = asyncio.get_running_loop().time() + 0.05
            address = server.sockets[0].getsockname()
            sent = encoded("POST", "/charge", body)
            assert await pool.ask(0, address, sent, until_s) is Outcome.CONNECT_FAILED
            given_up.set()
            assert await within(read.get()) < len(body)

    run(test())


def test_a_connection_idle_for_long_is_not_used(monkeypatch: pytest.MonkeyPatch) -> None:
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


def test_a_new_upstream_at_the_address_of_one_that_is_gone_gets_connections_of_its_own() -> None:
    """Guards against connections to the old one that serve the new, and against an end that closes both."""

    async def test() -> None:
        async with Upstream(says(answer(200, b"a"))) as upstream, Pool() as pool:
            for number in (0, 1, 0, 1):
                assert isinstance(await pool.get(upstream, number=number), Answer)
            assert [m.connection for m in upstream.asked] == [1, 2, 1, 2]
            pool.close_idle(0)
            assert isinstance(await pool.get(upstream, number=1), Answer)
            assert upstream.asked[-1].connection == 2

    run(test())


def test_no_more_connections_than_descriptors() -> None:
    """Guards against attempts that take the descriptors that callers' connections need."""

    async def test() -> None:
        async with Upstream(silent) as busy, Upstream(says(answer(200))) as other, Pool(most=2) as pool:
            assert isinstance(await pool.get(other), Answer)  # leaves an idle connection
            out = [asyncio.create_task(pool.get(busy)) for _ in range(2)]
            for _ in out:
                await within(busy.arrivals.get())
            assert await within(other.ended.get()) == 1  # it made way
            assert await pool.get(other) is Outcome.NOT_SENT
            assert len(other.asked) == 1
            for task in out:
                task.cancel()
            await asyncio.gather(*out, return_exceptions=True)
            assert isinstance(await pool.get(other), Answer)

    run(test())


@pytest.mark.parametrize(
    ("number", "outcome"),
    [(errno.EMFILE, Outcome.NOT_SENT), (errno.ECONNREFUSED, Outcome.CONNECT_FAILED)],
)
def test_want_of_descriptors_is_not_the_upstreams_fault(
    monkeypatch: pytest.MonkeyPatch, number: int, outcome: Outcome
) -> None:
    async def fails(*_: object, **__: object) -> None:
        raise OSError(number, "no")

    async def test() -> None:
        async with Upstream(silent) as upstream, Pool() as pool:
            monkeypatch.setattr("aiohttp.connector.aiohappyeyeballs.start_connection", fails)
            assert await pool.get(upstream) is outcome

    run(test())


GOOD = answer(200, b"made for this one")
HEAD = b"HTTP/1.1 200 OK\r\n"


@pytest.mark.parametrize("pieces", [1, 3, 1000])
@pytest.mark.parametrize("behind", [GOOD, b"\x00\xff noise \r\n\r\n", HEAD, b"\r\n"])
def test_what_follows_a_good_answer_neither_spoils_it_nor_serves_the_next(behind: bytes, pieces: int) -> None:
    """Guards against a second copy read as the next answer, and against noise that fails the one before."""

    async def test() -> None:
        async def behave(_: Message, writer: Writer) -> None:
            said = GOOD + behind
            size = -(-len(said) // pieces)
            for at in range(0, len(said), size):
                writer.write(said[at : at + size])
                await asyncio.sleep(0)

        async with Upstream(behave) as upstream, Pool() as pool:
            for number in range(4):
                upstream.behave = behave if number % 2 == 0 else says(answer(200, b"second"))
                got = await pool.get(upstream)
                assert isinstance(got, Answer)
                assert got.body == (b"made for this one" if number % 2 == 0 else b"second")

    run(test())


def test_what_comes_on_an_idle_connection_closes_it() -> None:
    """Guards against the client, which keeps such bytes and reads them as the next request's answer."""

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
                if number == 1:  # read by the loop before the next request, or still unread when it is sent
                    assert await within(upstream.ended.get()) == 1
            assert upstream.connections == 3

    run(test())


@pytest.mark.parametrize(
    "said",
    [
        b"\x00\xff\x16 noise\r\n\r\n",
        b"HTTP/9 what\r\n\r\n",
        b"what is this\r\n\r\n",
        HEAD + b"X-Long: " + b"a" * 70_000,
        HEAD + b"".join(b"X-%d: 1\r\n" % n for n in range(4000)),
        HEAD + b"Content-Length: 3000000000\r\n\r\n" + b"a" * 70_000,
        HEAD + b"Content-Length: %d\r\n\r\n" % (LONGEST_ANSWER + 1),
        HEAD + b"Content-Length: 5\r\nContent-Length: 6\r\n\r\nabcdef",
        HEAD + b"Content-Length: 5\r\nContent-Length: 5\r\n\r\nabcde",
        HEAD + b"Content-Length: -5\r\n\r\nabcde",
        HEAD + b"Content-Length: five\r\n\r\nabcde",
        HEAD + b"Content-Length: 99999999999999999999999\r\n\r\nabcde",
        HEAD + b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n0\r\n\r\n",
        HEAD + b"Transfer-Encoding: chunked\r\n\r\nzz\r\nabcde\r\n",
        HEAD + b"\r\n" + b"a" * 1_100_000,
        b"HTTP/1.1 101 Switching\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
        HEAD + b"Content-Length: 5\r\n\r\nabc",  # and no more
        b"HTTP/1.1 2",  # and no more
    ],
    ids=range(18),
)
def test_a_spoilt_answer_is_an_error_at_once_and_its_connection_is_closed(said: bytes) -> None:
    """Guards against waiting for its end until the deadline, and against taking the upstream for dead."""

    async def test() -> None:
        async with Upstream(says(said)) as upstream, Pool(connect_timeout_ms=200.0) as pool:
            assert await pool.get(upstream) is Outcome.ERROR
            assert await within(upstream.ended.get()) == 1
            upstream.behave = says(GOOD)
            assert isinstance(await pool.get(upstream), Answer)

    run(test())


def test_an_answer_that_was_held_back_goes_on() -> None:
    """Guards against a parser that stopped for want of room, and is never told to go on."""

    async def test() -> None:
        connection = OneAnswer(asyncio.get_running_loop(), 5.0)
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


def test_answers_ahead_are_passed_over_and_may_be_waited_after() -> None:
    async def test() -> None:
        async def behave(_: Message, writer: Writer) -> None:
            writer.write(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nLink: x\r\n\r\n")
            await asyncio.sleep(0.1)  # longer than an answer that has begun may stand still
            writer.write(GOOD)

        async with Upstream(behave) as upstream, Pool(connect_timeout_ms=50.0) as pool:
            got = await pool.get(upstream)
            assert isinstance(got, Answer)
            assert (got.status, got.body) == (200, b"made for this one")

    run(test())
