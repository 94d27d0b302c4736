"""Stories of answers that cross a request: before its body is in, within a reset, or of another request."""

from __future__ import annotations

import asyncio
import itertools
import unittest
from collections.abc import Callable
from unittest.mock import patch

from madderwind.dataplane.attempts import Attempt, AttemptResult
from madderwind.transport.answering import SingleResponseHandler
from tests.dataplane.fleet import SIGNATURE, Client, event
from tests.dataplane.forwarder import ByteUpstream, ScriptedFleet, run_jumping
from tests.standins import Caller, Message, Writer, answer, read_message, reset, run

# More than the buffers between two sockets hold.
LONG_BODY = bytes(range(256)) * 24_000
PIECE_BYTES = 1 << 16
HEAD_END = b"\r\n\r\n"

Reader = asyncio.StreamReader


class Arrivals:
    """What reached upstreams: the ids of requests, and how many connections they came on."""

    def __init__(self) -> None:
        self.ids: list[str] = []
        self.connections = 0

    async def head(self, reader: Reader) -> str:
        """The id of the next request, of which only the head is read."""
        head = (await reader.readuntil(HEAD_END)).decode("latin-1")
        lines = (line.partition(": ") for line in head.split("\r\n"))
        request_id = next(value for name, _, value in lines if name.lower() == "x-request-id")
        self.ids.append(request_id)
        return request_id

    async def whole(self, reader: Reader) -> Message:
        """The next request."""
        message = await read_message(reader)
        self.ids.append(message.header("X-Request-Id") or "")
        return message


def to(request_id: str, body: bytes = b"yes", status: int = 200, **headers: str) -> bytes:
    """A whole answer to this request, with the upstream's signature."""
    return answer(status, body, X_Request_Id=request_id, X_Upstream_Signature=SIGNATURE, **headers)


def unframed(request_id: str, content_type: str = "text/plain") -> bytes:
    """The head of an answer that only its connection's end ends."""
    lines = (f"X-Request-Id: {request_id}", f"X-Upstream-Signature: {SIGNATURE}")
    return "\r\n".join(("HTTP/1.1 200 OK", f"Content-Type: {content_type}", *lines, "", "")).encode()


async def client_of(fleet: ScriptedFleet) -> Client:
    return Client(await Caller.connect(fleet.port), itertools.count(1))


class ARequestWhoseBodyIsNotIn(unittest.TestCase):
    """The upstream may have begun with it: it answers before it has read a long body."""

    def status_after(self, ends: Callable[[str, Writer], None], path: str = "/unsafe/x") -> tuple[int, int]:
        """The client's status, and how many upstreams saw the request, where each ends it so."""
        arrivals = Arrivals()
        statuses: list[int] = []

        async def serve(reader: Reader, writer: Writer) -> None:
            ends(await arrivals.head(reader), writer)
            await asyncio.Event().wait()  # it never reads on

        async def story() -> None:
            async with ScriptedFleet(ByteUpstream(serve), ByteUpstream(serve)) as fleet:
                statuses.append((await (await client_of(fleet)).ask(path, body=LONG_BODY)).status)

        run_jumping(story())
        return statuses[0], len(arrivals.ids)

    def test_and_is_reset_is_not_sent_again_and_nothing_is_promised(self) -> None:
        self.assertEqual(self.status_after(lambda request_id, writer: reset(writer)), (502, 1))

    def test_and_is_reset_within_its_answer_is_not_sent_again(self) -> None:
        def ends(request_id: str, writer: Writer) -> None:
            writer.write(to(request_id)[:-1])
            asyncio.get_running_loop().call_later(1.0, reset, writer)

        self.assertEqual(self.status_after(ends), (502, 1))

    def test_and_meets_silence_is_not_sent_again_and_nothing_is_promised(self) -> None:
        self.assertEqual(self.status_after(lambda request_id, writer: None), (504, 1))

    def test_and_is_refused_with_proof_is_sent_elsewhere(self) -> None:
        def ends(request_id: str, writer: Writer) -> None:
            writer.write(answer(503, X_Request_Id=request_id, X_Not_Executed="1"))

        self.assertEqual(self.status_after(ends), (503, 2))

    def test_may_go_twice_where_that_does_no_harm(self) -> None:
        self.assertEqual(self.status_after(lambda request_id, writer: reset(writer), "/safe/x"), (502, 2))

    def test_and_is_answered_leaves_the_connection_to_no_other_request(self) -> None:
        arrivals = Arrivals()
        rests: list[bytes] = []

        async def serve(reader: Reader, writer: Writer) -> None:
            arrivals.connections += 1
            writer.write(to(await arrivals.head(reader)))
            if not rests:
                await answered.wait()
                rests.append(await reader.read())

        async def story() -> None:
            async with ScriptedFleet(ByteUpstream(serve)) as fleet:
                client = await client_of(fleet)
                self.assertEqual((await client.ask("/unsafe/x", body=LONG_BODY)).body, b"yes")
                self.assertEqual((await client.ask("/unsafe/x")).body, b"yes")
                answered.set()
                await asyncio.sleep(1.0)
                self.assertEqual(arrivals.connections, 2)
                self.assertTrue(LONG_BODY.startswith(rests[0]))

        answered = asyncio.Event()
        run_jumping(story())

    def test_does_not_go_on_once_its_client_has_left(self) -> None:
        arrivals = Arrivals()
        rests: list[bytes] = []

        async def serve(reader: Reader, writer: Writer) -> None:
            await arrivals.head(reader)
            begun.set()
            await left.wait()
            rests.append(await reader.read())

        async def story() -> None:
            async with ScriptedFleet(ByteUpstream(serve)) as fleet:
                client = await client_of(fleet)
                client.write("/unsafe/x", body=LONG_BODY)
                await begun.wait()
                client.caller.writer.transport.abort()
                await asyncio.sleep(1.0)
                left.set()
                await asyncio.sleep(1.0)
                self.assertLess(len(rests[0]), len(LONG_BODY))

        begun, left = asyncio.Event(), asyncio.Event()
        run_jumping(story())


class AClientThatLeavesBehindAPipelinedRequest(unittest.TestCase):
    def test_has_nothing_sent_for_it_any_more(self) -> None:
        """So long a body holds up the reading of its connection, and so of its end."""
        arrivals = Arrivals()

        async def serve(reader: Reader, writer: Writer) -> None:
            while True:
                request = await arrivals.whole(reader)
                if request.start.startswith("POST /unsafe/"):
                    begun.set()
                else:
                    writer.write(to(request.header("X-Request-Id") or ""))

        async def story() -> None:
            async with ScriptedFleet(ByteUpstream(serve), ByteUpstream(serve)) as fleet:
                client = await client_of(fleet)
                client.write("/unsafe/x", X_Deadline_Ms="1000")
                client.write("/safe/x", body=b"", Content_Length="200000")
                for at in range(0, 200_000, PIECE_BYTES):
                    client.caller.writer.write(LONG_BODY[:200_000][at : at + PIECE_BYTES])
                    await asyncio.sleep(0)
                await begun.wait()
                client.caller.writer.transport.abort()
                other = Client(await Caller.connect(fleet.port), itertools.count(3))
                await other.ask("/safe/x")  # leaves a connection that stands idle
                await asyncio.sleep(10.0)
                self.assertEqual(arrivals.ids, ["r-1", "r-3"])

        begun = asyncio.Event()
        run_jumping(story())


class AnAnswerOfNoToldLength(unittest.TestCase):
    def got(self, said: bytes, is_reset: bool, path: str) -> bytes:
        """What the client has once the upstream said this behind the head and ended."""
        arrivals = Arrivals()
        read = bytearray()
        content_type = "text/event-stream" if path.startswith("/stream") else "text/plain"

        async def serve(reader: Reader, writer: Writer) -> None:
            request = await arrivals.whole(reader)
            writer.write(unframed(request.header("X-Request-Id") or "", content_type) + said)
            await passed.wait()
            if is_reset:
                reset(writer)
            else:
                writer.close()

        async def story() -> None:
            async with ScriptedFleet(ByteUpstream(serve)) as fleet:
                client = await client_of(fleet)
                client.write(path)
                read.extend(await client.caller.reader.readuntil(HEAD_END))
                passed.set()
                try:
                    while part := await client.caller.reader.read(65536):
                        read.extend(part)
                        if read.endswith(b"\r\n0\r\n\r\n"):
                            return
                except ConnectionError:
                    return

        passed = asyncio.Event()
        run(story())
        return bytes(read)

    def test_is_whole_at_its_upstreams_end(self) -> None:
        for path, said in (("/unsafe/x", b"all of it"), ("/stream/x", event(1) + event(2))):
            got = self.got(said, False, path)
            self.assertIn(said, got)
            self.assertTrue(got.endswith(b"\r\n0\r\n\r\n"), path)

    def test_is_not_whole_after_a_reset(self) -> None:
        for path, said in (("/unsafe/x", b"half of it"), ("/stream/x", event(1) + event(2))):
            self.assertFalse(self.got(said, True, path).endswith(b"\r\n0\r\n\r\n"), path)

    def test_is_not_whole_within_an_event(self) -> None:
        got = self.got(event(1) + event(2)[:-3], False, "/stream/x")
        self.assertIn(event(1), got)
        self.assertNotIn(b"id: 2", got)
        self.assertFalse(got.endswith(b"\r\n0\r\n\r\n"))


class AnExtraAnswerInThePlaceOfTheNext(unittest.TestCase):
    def after(self, extra: Callable[[str], bytes], own: bytes = b"mine") -> Message:
        """The second of three requests, whose upstream says this ahead of its own answer, if any."""
        arrivals, got = Arrivals(), []

        async def serve(reader: Reader, writer: Writer) -> None:
            arrivals.connections += 1
            while True:
                request_id = (await arrivals.whole(reader)).header("X-Request-Id") or ""
                is_second = len(arrivals.ids) == 2
                if is_second:
                    writer.write(extra(arrivals.ids[0]))
                if own or not is_second:
                    writer.write(to(request_id, own))

        async def story() -> None:
            async with ScriptedFleet(ByteUpstream(serve)) as fleet:
                client = await client_of(fleet)
                got.extend([await client.ask("/unsafe/x", X_Deadline_Ms="900") for _ in range(3)])

        run_jumping(story())
        self.assertEqual([got[0].status, got[2].status], [200, 200])
        self.assertEqual((arrivals.ids, arrivals.connections), (["r-1", "r-2", "r-3"], 2))
        return got[1]

    def test_is_passed_over_and_the_connection_used_no_further(self) -> None:
        for extra in (
            lambda earlier: to(earlier, b""),
            lambda earlier: to(earlier, b"x" * 60_000),
            lambda earlier: answer(503, X_Request_Id=earlier, X_Not_Executed="1"),
        ):
            got = self.after(extra)
            self.assertEqual((got.status, got.body), (200, b"mine"))

    def test_is_a_failure_where_it_comes_twice_or_its_end_is_not_told_ahead(self) -> None:
        chunked = b"\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
        for extra in (
            lambda earlier: to(earlier) * 2,
            lambda earlier: unframed(earlier).replace(HEAD_END, chunked),
            lambda earlier: to(earlier, b"x" * 70_000),
        ):
            self.assertEqual(self.after(extra).status, 502)

    def test_is_no_answer_where_none_follows(self) -> None:
        self.assertEqual(self.after(to, own=b"").status, 504)


class AStreamWithoutIds(unittest.TestCase):
    def test_is_not_taken_up_elsewhere(self) -> None:
        arrivals = Arrivals()
        said = b"data: a\n\n"

        async def serve(reader: Reader, writer: Writer) -> None:
            request = await arrivals.whole(reader)
            writer.write(unframed(request.header("X-Request-Id") or "", "text/event-stream") + said)
            await passed.wait()
            reset(writer)

        async def story() -> None:
            async with ScriptedFleet(ByteUpstream(serve), ByteUpstream(serve)) as fleet:
                client = await client_of(fleet)
                client.write("/resumable/x")
                await client.caller.reader.readuntil(said)
                passed.set()
                with self.assertRaises((ConnectionError, asyncio.IncompleteReadError)):
                    await client.caller.reader.readuntil(said)
                self.assertEqual(arrivals.ids, ["r-1"])

        passed = asyncio.Event()
        run_jumping(story())


class OddFraming(unittest.TestCase):
    def exchange(self, asked: bytes, said: bytes) -> tuple[bytes, int]:
        """What a client that writes these bytes gets where the upstream says those, and how many requests
        arrive."""
        arrivals = Arrivals()
        got: list[bytes] = []

        async def serve(reader: Reader, writer: Writer) -> None:
            while True:
                await arrivals.whole(reader)
                writer.write(said)

        async def story() -> None:
            async with ScriptedFleet(ByteUpstream(serve)) as fleet:
                caller = await Caller.connect(fleet.port)
                caller.writer.write(asked)
                got.append(await caller.reader.readuntil(HEAD_END))

        run(story())
        return got[0], len(arrivals.ids)

    def asked(self, *lines: str, method: str = "POST", body: bytes = b"") -> bytes:
        head = (
            f"{method} /unsafe/x HTTP/1.1",
            "Host: shop.example",
            "X-Key: k-acme",
            "X-Request-Id: r-1",
            *lines,
        )
        return "\r\n".join((*head, "", "")).encode() + body

    def test_of_a_body_in_a_coding_or_of_a_tunnel_reaches_no_upstream(self) -> None:
        coded = self.asked("Transfer-Encoding: gzip, chunked", body=b"2\r\nhi\r\n0\r\n\r\n")
        for asked in (coded, self.asked(method="CONNECT")):
            got, arrivals = self.exchange(asked, to("r-1"))
            self.assertIn(b" 400 ", got)
            self.assertEqual(arrivals, 0)

    def test_of_an_answer_in_a_coding_is_a_failure(self) -> None:
        for coding in ("gzip, chunked", "gzip", "identity"):
            said = unframed("r-1").replace(b"\r\n\r\n", f"\r\nTransfer-Encoding: {coding}\r\n\r\n".encode())
            got, arrivals = self.exchange(self.asked("Content-Length: 0"), said + b"2\r\nhi\r\n0\r\n\r\n")
            self.assertIn(b" 502 ", got, coding)
            self.assertEqual(arrivals, 1)

    def test_is_none_where_anothers_answer_comes_with_the_last_chunk(self) -> None:
        head = unframed("r-1").replace(b"\r\n\r\n", b"\r\nTransfer-Encoding: chunked\r\n\r\n")
        said = head + b"2\r\nhi\r\n0\r\n\r\n" + to("r-other")
        got, arrivals = self.exchange(self.asked("Content-Length: 0"), said)
        self.assertIn(b" 200 ", got)
        self.assertEqual(arrivals, 1)


class AKeptConnection(unittest.TestCase):
    def crossed(self, crosses: Callable[[Writer], None]) -> tuple[Message, Arrivals]:
        """The second of two requests on one connection, with something done to that just before its first
        byte leaves."""
        arrivals, got = Arrivals(), []

        async def serve(reader: Reader, writer: Writer) -> None:
            arrivals.connections += 1
            while True:
                request = await arrivals.whole(reader)
                writer.write(to(request.header("X-Request-Id") or "", b"mine"))
                writers.append(writer)

        async def story() -> None:
            upstream = ByteUpstream(serve)
            async with ScriptedFleet(upstream) as fleet:
                client = await client_of(fleet)
                self.assertEqual((await client.ask("/unsafe/x")).status, 200)
                looked = SingleResponseHandler.is_reusable

                def cross(connection: SingleResponseHandler) -> bool:
                    is_clean = looked(connection)
                    if not done and connection.requests_written == 2:
                        done.append(True)
                        crosses(writers[0])
                    return is_clean

                with patch.object(SingleResponseHandler, "is_reusable", cross):
                    got.append(await client.ask("/unsafe/x"))

        done: list[bool] = []
        writers: list[Writer] = []
        run(story())
        self.assertTrue(done)
        return got[0], arrivals

    def test_that_ends_as_a_request_is_written_costs_nothing(self) -> None:
        got, arrivals = self.crossed(reset)
        self.assertEqual((got.status, got.body), (200, b"mine"))
        self.assertEqual((arrivals.ids, arrivals.connections), (["r-1", "r-2"], 2))

    def test_on_which_an_answer_comes_first_takes_no_request(self) -> None:
        def late(writer: Writer) -> None:
            writer.write(answer(503, X_Not_Executed="1"))

        got, arrivals = self.crossed(late)
        self.assertEqual((got.status, got.body), (200, b"mine"))
        self.assertEqual((arrivals.ids, arrivals.connections), (["r-1", "r-2"], 2))

    def connections_after_s(self, rest_s: float, **headers: str) -> int:
        """How many connections two requests take, so long after each other."""
        arrivals = Arrivals()

        async def serve(reader: Reader, writer: Writer) -> None:
            arrivals.connections += 1
            while True:
                request = await arrivals.whole(reader)
                writer.write(to(request.header("X-Request-Id") or "", b"yes", 200, **headers))

        async def story() -> None:
            async with ScriptedFleet(ByteUpstream(serve)) as fleet:
                for rests_s in (0.0, rest_s):
                    await asyncio.sleep(rests_s)
                    self.assertEqual((await (await client_of(fleet)).ask("/unsafe/x")).status, 200)

        run_jumping(story())
        return arrivals.connections

    def test_is_used_for_most_of_the_time_that_its_upstream_tells(self) -> None:
        self.assertEqual(self.connections_after_s(7.9, Keep_Alive="timeout=10"), 1)
        self.assertEqual(self.connections_after_s(8.1, Keep_Alive="timeout=10"), 2)

    def test_is_used_for_a_short_time_where_that_is_not_told(self) -> None:
        self.assertEqual(self.connections_after_s(3.1), 1)
        self.assertEqual(self.connections_after_s(3.3), 2)

    def test_is_not_used_again_where_its_upstream_says_so(self) -> None:
        self.assertEqual(self.connections_after_s(0.0, Connection="close"), 2)

    def test_that_ended_is_no_sending(self) -> None:
        self.assertFalse(Attempt("i-0", True, AttemptResult.NOT_SENT).has_left)
        self.assertTrue(Attempt("i-0", True, AttemptResult.REFUSED_FULL).has_left)
        self.assertTrue(Attempt("i-0", True).has_left)
