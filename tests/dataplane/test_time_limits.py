"""Stories of a request's time: what upstreams are told of it, and that it ends with a final answer."""

from __future__ import annotations

import asyncio
import contextlib
import unittest
from typing import Any
from unittest import mock

from madderwind.dataplane.attempt_exchange import AttemptExchange
from madderwind.dataplane.retrying import Retries
from madderwind.testing.fault_tests.wire import chunk
from madderwind.transport.connector import BoundedConnector
from madderwind.transport.encoded_request import EncodedRequest
from tests.dataplane.fleet import (
    SIGNATURE,
    Client,
    Fleet,
    Message,
    Writer,
    document,
    event,
    refuses,
    served,
    stream_head,
)
from tests.dataplane.forwarder import run_on_virtual_clock
from tests.standins import Behaviour, Upstream, resets, run, silent, within

MS_PER_S = 1000.0
TIMEOUT_MS = 150
# A final answer is due so long after the time is over; what is handed on may exceed what is left by as much.
SLACK_MS = 500.0
# How late a busy machine may notice what happened; a wait that counts is longer.
MEASURED_WITHIN_MS = 250.0
# Timers may fire early by the resolution of their clock.
CLOCK_STEP_MS = 10.0
LONG_WAIT_MS = 400.0
# Less than the time in which a connection has to come up.
CONNECTING_MS = 200.0
BODY_BEYOND_BUFFERS = 16 * 1024 * 1024


def quick_document() -> dict[str, Any]:
    """All routes end after `TIMEOUT_MS`, and bodies may be long."""
    told = document()
    told["routes"] = [{**route, "timeout_ms": TIMEOUT_MS, "max_attempts": 3} for route in told["routes"]]
    told["limits"] = {**told["limits"], "max_body_bytes": 2 * BODY_BEYOND_BUFFERS}
    return told


def now_ms() -> float:
    return asyncio.get_running_loop().time() * MS_PER_S


def noting(behave: Behaviour, told: list[tuple[float, float]]) -> Behaviour:
    """Keeps when each request came and the time that it was given."""

    async def noted(message: Message, writer: Writer) -> None:
        told.append((now_ms(), float(message.header("X-Deadline-Ms") or "inf")))
        await behave(message, writer)

    return noted


class TheDeadlineHandedOn(unittest.TestCase):
    def test_is_always_told_and_never_beyond_the_clients_or_the_routes(self) -> None:
        async def story() -> None:
            told: list[tuple[float, float]] = []
            async with Fleet(noting(served(), told), document=document()) as fleet:
                for path in ("/safe/x", "/unsafe/x", "/stream/x", "/resumable/x"):
                    for given, most_ms in (
                        ("800", 800.0),
                        ("90000", 5000.0),
                        (None, 5000.0),
                        ("soon", 5000.0),
                    ):
                        await fleet.ask(path, X_Deadline_Ms=given)
                        _, left_ms = told[-1]
                        self.assertTrue(most_ms - SLACK_MS < left_ms <= most_ms, (path, given, left_ms))

        run(story())

    def assert_ends_with_the_first(self, first: Behaviour) -> None:
        """A request that is sent once more, `LONG_WAIT_MS` later, has no more time than it had."""

        async def story() -> None:
            told: list[tuple[float, float]] = []
            async with Fleet(noting(first, told), noting(first, told), document=document()) as fleet:
                with mock.patch.object(Retries, "wait_ms", side_effect=[LONG_WAIT_MS, None]):
                    sent_ms = now_ms()
                    await fleet.ask("/safe/x", X_Deadline_Ms="900")
                (first_ms, first_left), (second_ms, second_left) = told
                self.assertGreater(second_ms, first_ms + LONG_WAIT_MS - CLOCK_STEP_MS)
                self.assertLess(first_ms + first_left, sent_ms + 900 + MEASURED_WITHIN_MS)
                self.assertLess(second_ms + second_left, sent_ms + 900 + MEASURED_WITHIN_MS)

        run(story())

    def test_on_a_second_send_ends_when_the_first_did(self) -> None:
        for first in (refuses(), resets):
            self.assert_ends_with_the_first(first)

    def assert_told_as_it_is_written(self) -> None:
        """A connection that takes `CONNECTING_MS` to come up takes them from the upstream's time."""
        told: list[tuple[float, float]] = []
        ordinary = BoundedConnector.connect

        async def connect_late(*arguments: Any, **named: Any) -> Any:
            await asyncio.sleep(CONNECTING_MS / MS_PER_S)
            return await ordinary(*arguments, **named)

        async def story() -> None:
            async with Fleet(noting(served(), told), document=document()) as fleet:
                with mock.patch.object(BoundedConnector, "connect", connect_late):
                    await fleet.ask("/unsafe/x", X_Deadline_Ms="900")

        run_on_virtual_clock(story())
        self.assertEqual([900.0 - CONNECTING_MS], [left_ms for _, left_ms in told])

    def test_is_what_is_left_when_the_connection_is_up(self) -> None:
        self.assert_told_as_it_is_written()

    def test_of_the_time_before_the_connection_is_up_would_be_noticed(self) -> None:
        ordinary = EncodedRequest.__init__

        def as_it_is_prepared(encoded: EncodedRequest, *arguments: Any, **named: Any) -> None:
            headers = named["headers_at_write"]()
            ordinary(encoded, *arguments, **{**named, "headers_at_write": lambda: headers})

        with mock.patch.object(EncodedRequest, "__init__", as_it_is_prepared):
            self.assertRaises(AssertionError, self.assert_told_as_it_is_written)

    def test_that_begins_anew_with_each_send_would_be_noticed(self) -> None:
        with (
            mock.patch.object(AttemptExchange, "_now_ms", lambda self: self._admitted.until_ms - 900),
            self.assertRaises(AssertionError),
        ):
            self.assert_ends_with_the_first(refuses())


async def begins_a_stream(message: Message, writer: Writer) -> None:
    writer.write(stream_head(message))


async def stops_within_a_stream(message: Message, writer: Writer) -> None:
    writer.write(stream_head(message) + chunk(event(1)))


async def never_ends_a_stream(message: Message, writer: Writer) -> None:
    writer.write(stream_head(message))
    number = 0
    while not writer.is_closing():
        number += 1
        writer.write(chunk(event(number)))
        await writer.drain()
        await asyncio.sleep(0)


async def stops_within_a_long_answer(message: Message, writer: Writer) -> None:
    request_id = message.header("X-Request-Id")
    head = f"HTTP/1.1 200 OK\r\nContent-Length: 900000\r\nX-Request-Id: {request_id}\r\n"
    writer.write(f"{head}X-Upstream-Signature: {SIGNATURE}\r\n\r\n".encode() + b"x" * 100_000)


async def never_reads(upstream: Upstream, reader: asyncio.StreamReader, writer: Writer) -> None:
    upstream._writers.add(writer)
    with contextlib.suppress(ConnectionError):
        await writer.wait_closed()


class TheRoutesTime(unittest.TestCase):
    """A final answer, or the end of the connection where one has begun, comes within half a second of it."""

    async def ended(self, client: Client) -> bytes:
        """All that comes until the answer's or the connection's end; fails where that is late."""
        began_ms = now_ms()
        got = b""
        while not got.startswith(b"HTTP/1.1 50") or b"\r\n\r\n" not in got:
            try:
                part = await within(client.caller.reader.read(65536))
            except ConnectionError:
                break
            if not part:
                break
            got += part
        took_ms = now_ms() - began_ms
        self.assertLess(took_ms, TIMEOUT_MS + SLACK_MS)
        self.assertGreater(took_ms, TIMEOUT_MS - CLOCK_STEP_MS)
        return got

    def assert_ends(self, behave: Behaviour, path: str, status: bytes, **request: Any) -> None:
        async def story() -> None:
            async with Fleet(behave, behave, document=quick_document()) as fleet:
                client = await fleet.client()
                client.write(path, **request)
                got = await self.ended(client)
                self.assertTrue(got.startswith(b"HTTP/1.1 " + status), got[:60])
                self.assertNotIn(b"\r\n0\r\n\r\n", got)  # what has begun is not made to look whole

        run(story())

    def test_given_silence_then_the_request_ends(self) -> None:
        for path in ("/safe/x", "/unsafe/x", "/stream/x", "/resumable/x"):
            self.assert_ends(silent, path, b"504")

    def test_given_a_stream_without_an_event_then_it_ends(self) -> None:
        for path in ("/stream/x", "/resumable/x"):
            self.assert_ends(begins_a_stream, path, b"504")

    def test_given_a_stream_that_has_begun_then_it_is_broken_off(self) -> None:
        for behave in (stops_within_a_stream, never_ends_a_stream):
            for path in ("/stream/x", "/resumable/x"):
                self.assert_ends(behave, path, b"200")

    def test_given_a_long_answer_that_stops_then_it_is_broken_off(self) -> None:
        self.assert_ends(stops_within_a_long_answer, "/safe/x", b"200")

    def test_given_an_upstream_that_does_not_read_then_the_request_ends(self) -> None:
        async def story() -> None:
            async with Fleet(silent, document=quick_document()) as fleet:
                client = await fleet.client()
                began_ms = now_ms()
                client.write("/unsafe/x", body=b"x" * BODY_BEYOND_BUFFERS)
                self.assertIn((await client.read()).status, (502, 503, 504))
                self.assertLess(now_ms() - began_ms, TIMEOUT_MS + SLACK_MS)

        with mock.patch.object(Upstream, "_serve", never_reads):
            run(story())

    def test_given_a_client_that_sends_its_body_slowly_then_the_request_ends_unsent(self) -> None:
        async def story() -> None:
            async with Fleet(served(), document=quick_document()) as fleet:
                client = await fleet.client()
                client.write("/unsafe/x", Content_Length="100", body=b"half")
                began_ms = now_ms()
                self.assertEqual((await client.read()).status, 408)
                self.assertLess(now_ms() - began_ms, TIMEOUT_MS + SLACK_MS)
                self.assertTrue(await client.caller.at_end())
                self.assertEqual(fleet.upstreams[0].asked, [])

        run(story())


if __name__ == "__main__":
    unittest.main()
