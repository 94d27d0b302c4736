"""Scenarios in which responses cross their requests: early, truncated by a reset, or for another request."""

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
    """Records what reached upstreams: request IDs, and the number of connections."""

    def __init__(self) -> None:
        self.ids: list[str] = []
        self.connections = 0

    async def read_head(self, reader: Reader) -> str:
        """Read only the head of the next request; return its ID."""
        head = (await reader.readuntil(HEAD_END)).decode("latin-1")
        lines = (line.partition(": ") for line in head.split("\r\n"))
        request_id = next(value for name, _, value in lines if name.lower() == "x-request-id")
        self.ids.append(request_id)
        return request_id

    async def read_request(self, reader: Reader) -> Message:
        """Read the next request."""
        message = await read_message(reader)
        self.ids.append(message.header("X-Request-Id") or "")
        return message


def response_to(request_id: str, body: bytes = b"yes", status: int = 200, **headers: str) -> bytes:
    """A complete response to this request, with the upstream's signature."""
    return answer(status, body, X_Request_Id=request_id, X_Upstream_Signature=SIGNATURE, **headers)


def unframed_head(request_id: str, content_type: str = "text/plain") -> bytes:
    """The head of a response that only the end of its connection delimits."""
    lines = (f"X-Request-Id: {request_id}", f"X-Upstream-Signature: {SIGNATURE}")
    return "\r\n".join(("HTTP/1.1 200 OK", f"Content-Type: {content_type}", *lines, "", "")).encode()


async def client_of(fleet: ScriptedFleet) -> Client:
    return Client(await Caller.connect(fleet.port), itertools.count(1))


class IncompleteRequestBodyTests(unittest.TestCase):
    """Requests with a body still being sent: the upstream may have started, as it may respond early."""

    def status_after(
        self, end_exchange: Callable[[str, Writer], None], path: str = "/unsafe/x"
    ) -> tuple[int, int]:
        """The client's status, and the number of upstreams that saw the request, if each ends it this way."""
        arrivals = Arrivals()
        statuses: list[int] = []

        async def serve(reader: Reader, writer: Writer) -> None:
            end_exchange(await arrivals.read_head(reader), writer)
            await asyncio.Event().wait()  # stops reading

        async def scenario() -> None:
            async with ScriptedFleet(ByteUpstream(serve), ByteUpstream(serve)) as fleet:
                statuses.append((await (await client_of(fleet)).ask(path, body=LONG_BODY)).status)

        run_jumping(scenario())
        return statuses[0], len(arrivals.ids)

    def test_a_reset_is_not_retried_and_not_reported_as_unexecuted(self) -> None:
        self.assertEqual(self.status_after(lambda request_id, writer: reset(writer)), (502, 1))

    def test_a_reset_within_the_response_is_not_retried(self) -> None:
        def end_exchange(request_id: str, writer: Writer) -> None:
            writer.write(response_to(request_id)[:-1])
            asyncio.get_running_loop().call_later(1.0, reset, writer)

        self.assertEqual(self.status_after(end_exchange), (502, 1))

    def test_a_timeout_is_not_retried_and_not_reported_as_unexecuted(self) -> None:
        self.assertEqual(self.status_after(lambda request_id, writer: None), (504, 1))

    def test_a_refusal_marked_as_not_executed_is_retried_elsewhere(self) -> None:
        def end_exchange(request_id: str, writer: Writer) -> None:
            writer.write(answer(503, X_Request_Id=request_id, X_Not_Executed="1"))

        self.assertEqual(self.status_after(end_exchange), (503, 2))

    def test_an_idempotent_request_is_retried(self) -> None:
        self.assertEqual(self.status_after(lambda request_id, writer: reset(writer), "/safe/x"), (502, 2))

    def test_an_early_response_prevents_reuse_of_the_connection(self) -> None:
        arrivals = Arrivals()
        received_rests: list[bytes] = []

        async def serve(reader: Reader, writer: Writer) -> None:
            arrivals.connections += 1
            writer.write(response_to(await arrivals.read_head(reader)))
            if not received_rests:
                await answered.wait()
                received_rests.append(await reader.read())

        async def scenario() -> None:
            async with ScriptedFleet(ByteUpstream(serve)) as fleet:
                client = await client_of(fleet)
                self.assertEqual((await client.ask("/unsafe/x", body=LONG_BODY)).body, b"yes")
                self.assertEqual((await client.ask("/unsafe/x")).body, b"yes")
                answered.set()
                await asyncio.sleep(1.0)
                self.assertEqual(arrivals.connections, 2)
                self.assertTrue(LONG_BODY.startswith(received_rests[0]))

        answered = asyncio.Event()
        run_jumping(scenario())

    def test_sending_stops_when_the_client_disconnects(self) -> None:
        arrivals = Arrivals()
        received_rests: list[bytes] = []

        async def serve(reader: Reader, writer: Writer) -> None:
            await arrivals.read_head(reader)
            request_started.set()
            await disconnected.wait()
            received_rests.append(await reader.read())

        async def scenario() -> None:
            async with ScriptedFleet(ByteUpstream(serve)) as fleet:
                client = await client_of(fleet)
                client.write("/unsafe/x", body=LONG_BODY)
                await request_started.wait()
                client.caller.writer.transport.abort()
                await asyncio.sleep(1.0)
                disconnected.set()
                await asyncio.sleep(1.0)
                self.assertLess(len(received_rests[0]), len(LONG_BODY))

        request_started, disconnected = asyncio.Event(), asyncio.Event()
        run_jumping(scenario())


class PipelinedRequestDisconnectTests(unittest.TestCase):
    def test_queued_requests_are_not_sent_after_a_disconnect(self) -> None:
        """Such a long body delays the reading of its connection, and thus the detection of its close."""
        arrivals = Arrivals()

        async def serve(reader: Reader, writer: Writer) -> None:
            while True:
                request = await arrivals.read_request(reader)
                if request.start.startswith("POST /unsafe/"):
                    request_started.set()
                else:
                    writer.write(response_to(request.header("X-Request-Id") or ""))

        async def scenario() -> None:
            async with ScriptedFleet(ByteUpstream(serve), ByteUpstream(serve)) as fleet:
                client = await client_of(fleet)
                client.write("/unsafe/x", X_Deadline_Ms="1000")
                client.write("/safe/x", body=b"", Content_Length="200000")
                for at in range(0, 200_000, PIECE_BYTES):
                    client.caller.writer.write(LONG_BODY[:200_000][at : at + PIECE_BYTES])
                    await asyncio.sleep(0)
                await request_started.wait()
                client.caller.writer.transport.abort()
                other = Client(await Caller.connect(fleet.port), itertools.count(3))
                await other.ask("/safe/x")  # leaves an idle connection
                await asyncio.sleep(10.0)
                self.assertEqual(arrivals.ids, ["r-1", "r-3"])

        request_started = asyncio.Event()
        run_jumping(scenario())


class ResponseWithoutLengthTests(unittest.TestCase):
    def client_bytes(self, raw: bytes, is_reset: bool, path: str) -> bytes:
        """What the client has received once the upstream has sent `raw` after the head and ended."""
        arrivals = Arrivals()
        read = bytearray()
        content_type = "text/event-stream" if path.startswith("/stream") else "text/plain"

        async def serve(reader: Reader, writer: Writer) -> None:
            request = await arrivals.read_request(reader)
            writer.write(unframed_head(request.header("X-Request-Id") or "", content_type) + raw)
            await head_forwarded.wait()
            if is_reset:
                reset(writer)
            else:
                writer.close()

        async def scenario() -> None:
            async with ScriptedFleet(ByteUpstream(serve)) as fleet:
                client = await client_of(fleet)
                client.write(path)
                read.extend(await client.caller.reader.readuntil(HEAD_END))
                head_forwarded.set()
                try:
                    while part := await client.caller.reader.read(65536):
                        read.extend(part)
                        if read.endswith(b"\r\n0\r\n\r\n"):
                            return
                except ConnectionError:
                    return

        head_forwarded = asyncio.Event()
        run(scenario())
        return bytes(read)

    def test_is_complete_when_the_upstream_closes(self) -> None:
        for path, raw in (("/unsafe/x", b"all of it"), ("/stream/x", event(1) + event(2))):
            got = self.client_bytes(raw, False, path)
            self.assertIn(raw, got)
            self.assertTrue(got.endswith(b"\r\n0\r\n\r\n"), path)

    def test_is_incomplete_after_a_reset(self) -> None:
        for path, raw in (("/unsafe/x", b"half of it"), ("/stream/x", event(1) + event(2))):
            self.assertFalse(self.client_bytes(raw, True, path).endswith(b"\r\n0\r\n\r\n"), path)

    def test_is_incomplete_within_an_event(self) -> None:
        got = self.client_bytes(event(1) + event(2)[:-3], False, "/stream/x")
        self.assertIn(event(1), got)
        self.assertNotIn(b"id: 2", got)
        self.assertFalse(got.endswith(b"\r\n0\r\n\r\n"))


class SurplusResponseTests(unittest.TestCase):
    def second_response(self, extra: Callable[[str], bytes], own_body: bytes = b"mine") -> Message:
        """The client's response to the second of three requests, where `extra` precedes the upstream's own.

        Without `own_body` the upstream sends only the extra response.
        """
        arrivals, got = Arrivals(), []

        async def serve(reader: Reader, writer: Writer) -> None:
            arrivals.connections += 1
            while True:
                request_id = (await arrivals.read_request(reader)).header("X-Request-Id") or ""
                is_second = len(arrivals.ids) == 2
                if is_second:
                    writer.write(extra(arrivals.ids[0]))
                if own_body or not is_second:
                    writer.write(response_to(request_id, own_body))

        async def scenario() -> None:
            async with ScriptedFleet(ByteUpstream(serve)) as fleet:
                client = await client_of(fleet)
                got.extend([await client.ask("/unsafe/x", X_Deadline_Ms="900") for _ in range(3)])

        run_jumping(scenario())
        self.assertEqual([got[0].status, got[2].status], [200, 200])
        self.assertEqual((arrivals.ids, arrivals.connections), (["r-1", "r-2", "r-3"], 2))
        return got[1]

    def test_is_skipped_and_the_connection_retired(self) -> None:
        for extra in (
            lambda earlier: response_to(earlier, b""),
            lambda earlier: response_to(earlier, b"x" * 60_000),
            lambda earlier: answer(503, X_Request_Id=earlier, X_Not_Executed="1"),
        ):
            got = self.second_response(extra)
            self.assertEqual((got.status, got.body), (200, b"mine"))

    def test_is_a_failure_if_duplicated_chunked_or_too_long(self) -> None:
        chunked = b"\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
        for extra in (
            lambda earlier: response_to(earlier) * 2,
            lambda earlier: unframed_head(earlier).replace(HEAD_END, chunked),
            lambda earlier: response_to(earlier, b"x" * 70_000),
        ):
            self.assertEqual(self.second_response(extra).status, 502)

    def test_is_not_taken_as_the_response_when_none_follows(self) -> None:
        self.assertEqual(self.second_response(response_to, own_body=b"").status, 504)


class StreamWithoutEventIdsTests(unittest.TestCase):
    def test_is_not_resumed_elsewhere(self) -> None:
        arrivals = Arrivals()
        raw = b"data: a\n\n"

        async def serve(reader: Reader, writer: Writer) -> None:
            request = await arrivals.read_request(reader)
            writer.write(unframed_head(request.header("X-Request-Id") or "", "text/event-stream") + raw)
            await head_forwarded.wait()
            reset(writer)

        async def scenario() -> None:
            async with ScriptedFleet(ByteUpstream(serve), ByteUpstream(serve)) as fleet:
                client = await client_of(fleet)
                client.write("/resumable/x")
                await client.caller.reader.readuntil(raw)
                head_forwarded.set()
                with self.assertRaises((ConnectionError, asyncio.IncompleteReadError)):
                    await client.caller.reader.readuntil(raw)
                self.assertEqual(arrivals.ids, ["r-1"])

        head_forwarded = asyncio.Event()
        run_jumping(scenario())


class UnusualFramingTests(unittest.TestCase):
    def exchange(self, request_bytes: bytes, raw: bytes) -> tuple[bytes, int]:
        """What a client gets for these bytes if the upstream sends `raw`, and how many requests arrive."""
        arrivals = Arrivals()
        got: list[bytes] = []

        async def serve(reader: Reader, writer: Writer) -> None:
            while True:
                await arrivals.read_request(reader)
                writer.write(raw)

        async def scenario() -> None:
            async with ScriptedFleet(ByteUpstream(serve)) as fleet:
                caller = await Caller.connect(fleet.port)
                caller.writer.write(request_bytes)
                got.append(await caller.reader.readuntil(HEAD_END))

        run(scenario())
        return got[0], len(arrivals.ids)

    def encode_request(self, *lines: str, method: str = "POST", body: bytes = b"") -> bytes:
        head = (
            f"{method} /unsafe/x HTTP/1.1",
            "Host: shop.example",
            "X-Key: k-acme",
            "X-Request-Id: r-1",
            *lines,
        )
        return "\r\n".join((*head, "", "")).encode() + body

    def test_an_encoded_body_or_a_connect_request_reaches_no_upstream(self) -> None:
        coded = self.encode_request("Transfer-Encoding: gzip, chunked", body=b"2\r\nhi\r\n0\r\n\r\n")
        for request_bytes in (coded, self.encode_request(method="CONNECT")):
            got, arrivals = self.exchange(request_bytes, response_to("r-1"))
            self.assertIn(b" 400 ", got)
            self.assertEqual(arrivals, 0)

    def test_a_transfer_coded_response_is_a_failure(self) -> None:
        for coding in ("gzip, chunked", "gzip", "identity"):
            raw = unframed_head("r-1").replace(
                b"\r\n\r\n", f"\r\nTransfer-Encoding: {coding}\r\n\r\n".encode()
            )
            got, arrivals = self.exchange(
                self.encode_request("Content-Length: 0"), raw + b"2\r\nhi\r\n0\r\n\r\n"
            )
            self.assertIn(b" 502 ", got, coding)
            self.assertEqual(arrivals, 1)

    def test_another_response_behind_the_last_chunk_is_ignored(self) -> None:
        head = unframed_head("r-1").replace(b"\r\n\r\n", b"\r\nTransfer-Encoding: chunked\r\n\r\n")
        raw = head + b"2\r\nhi\r\n0\r\n\r\n" + response_to("r-other")
        got, arrivals = self.exchange(self.encode_request("Content-Length: 0"), raw)
        self.assertIn(b" 200 ", got)
        self.assertEqual(arrivals, 1)


class ReusedConnectionTests(unittest.TestCase):
    def exchange_with_interference(self, interfere: Callable[[Writer], None]) -> tuple[Message, Arrivals]:
        """The response to the second of two requests on one connection, and what reached the upstream.

        `interfere` is called just before the first byte of that request is sent.
        """
        arrivals, got = Arrivals(), []

        async def serve(reader: Reader, writer: Writer) -> None:
            arrivals.connections += 1
            while True:
                request = await arrivals.read_request(reader)
                writer.write(response_to(request.header("X-Request-Id") or "", b"mine"))
                writers.append(writer)

        async def scenario() -> None:
            upstream = ByteUpstream(serve)
            async with ScriptedFleet(upstream) as fleet:
                client = await client_of(fleet)
                self.assertEqual((await client.ask("/unsafe/x")).status, 200)
                original = SingleResponseHandler.is_reusable

                def interfere_once(connection: SingleResponseHandler) -> bool:
                    is_clean = original(connection)
                    if not interferences and connection.request_count == 2:
                        interferences.append(True)
                        interfere(writers[0])
                    return is_clean

                with patch.object(SingleResponseHandler, "is_reusable", interfere_once):
                    got.append(await client.ask("/unsafe/x"))

        interferences: list[bool] = []
        writers: list[Writer] = []
        run(scenario())
        self.assertTrue(interferences)
        return got[0], arrivals

    def test_a_reset_as_a_request_is_written_loses_nothing(self) -> None:
        got, arrivals = self.exchange_with_interference(reset)
        self.assertEqual((got.status, got.body), (200, b"mine"))
        self.assertEqual((arrivals.ids, arrivals.connections), (["r-1", "r-2"], 2))

    def test_an_unsolicited_response_prevents_reuse(self) -> None:
        def send_refusal(writer: Writer) -> None:
            writer.write(answer(503, X_Not_Executed="1"))

        got, arrivals = self.exchange_with_interference(send_refusal)
        self.assertEqual((got.status, got.body), (200, b"mine"))
        self.assertEqual((arrivals.ids, arrivals.connections), (["r-1", "r-2"], 2))

    def connections_for_two_requests(self, pause_s: float, **headers: str) -> int:
        """How many connections two requests take that are sent this long after each other."""
        arrivals = Arrivals()

        async def serve(reader: Reader, writer: Writer) -> None:
            arrivals.connections += 1
            while True:
                request = await arrivals.read_request(reader)
                writer.write(response_to(request.header("X-Request-Id") or "", b"yes", 200, **headers))

        async def scenario() -> None:
            async with ScriptedFleet(ByteUpstream(serve)) as fleet:
                request_ids = itertools.count(1)
                for delay_s in (0.0, pause_s):
                    await asyncio.sleep(delay_s)
                    client = Client(await Caller.connect(fleet.port), request_ids)
                    self.assertEqual((await client.ask("/unsafe/x")).status, 200)

        run_jumping(scenario())
        return arrivals.connections

    def test_is_reused_for_most_of_the_stated_idle_timeout(self) -> None:
        self.assertEqual(self.connections_for_two_requests(7.9, Keep_Alive="timeout=10"), 1)
        self.assertEqual(self.connections_for_two_requests(8.1, Keep_Alive="timeout=10"), 2)

    def test_is_reused_briefly_without_a_stated_idle_timeout(self) -> None:
        self.assertEqual(self.connections_for_two_requests(3.1), 1)
        self.assertEqual(self.connections_for_two_requests(3.3), 2)

    def test_is_not_reused_after_connection_close(self) -> None:
        self.assertEqual(self.connections_for_two_requests(0.0, Connection="close"), 2)

    def test_an_attempt_that_was_not_sent_has_not_left(self) -> None:
        self.assertFalse(Attempt("i-0", True, AttemptResult.NOT_SENT).has_left)
        self.assertTrue(Attempt("i-0", True, AttemptResult.REFUSED_FULL).has_left)
        self.assertTrue(Attempt("i-0", True).has_left)
