"""Request deadlines: which deadline upstreams receive, and the final response once it has passed."""

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
# A final response is due this long after the deadline, and the forwarded deadline may be off by as much.
SLACK_MS = 500.0
# How late a busy machine may observe an event; the waits that a test measures are longer.
OBSERVATION_SLACK_MS = 250.0
# Timers may fire early by the resolution of their clock.
CLOCK_RESOLUTION_MS = 10.0
LONG_BACKOFF_MS = 400.0
# Less than the connect timeout.
CONNECTING_MS = 200.0
LONGER_THAN_BUFFERS_BYTES = 16 * 1024 * 1024


def short_timeout_document() -> dict[str, Any]:
    """Return a configuration whose routes all time out after `TIMEOUT_MS`, and that allows long bodies."""
    changed = document()
    changed["routes"] = [
        {**route, "timeout_ms": TIMEOUT_MS, "max_attempts": 3} for route in changed["routes"]
    ]
    changed["limits"] = {**changed["limits"], "max_body_bytes": 2 * LONGER_THAN_BUFFERS_BYTES}
    return changed


def now_ms() -> float:
    return asyncio.get_running_loop().time() * MS_PER_S


def record_deadlines(behave: Behaviour, deadlines: list[tuple[float, float]]) -> Behaviour:
    """Record when each request arrives and the remaining time in its X-Deadline-Ms, in ms."""

    async def record_and_behave(message: Message, writer: Writer) -> None:
        deadlines.append((now_ms(), float(message.header("X-Deadline-Ms") or "inf")))
        await behave(message, writer)

    return record_and_behave


class ForwardedDeadline(unittest.TestCase):
    def test_deadline_is_always_sent_and_never_beyond_the_clients_or_the_routes(self) -> None:
        async def scenario() -> None:
            deadlines: list[tuple[float, float]] = []
            async with Fleet(record_deadlines(served(), deadlines), document=document()) as fleet:
                for path in ("/safe/x", "/unsafe/x", "/stream/x", "/resumable/x"):
                    for client_deadline, max_ms in (
                        ("800", 800.0),
                        ("90000", 5000.0),
                        (None, 5000.0),
                        ("soon", 5000.0),
                    ):
                        await fleet.ask(path, X_Deadline_Ms=client_deadline)
                        _, remaining_ms = deadlines[-1]
                        self.assertTrue(
                            max_ms - SLACK_MS < remaining_ms <= max_ms, (path, client_deadline, remaining_ms)
                        )

        run(scenario())

    def assert_retry_ends_with_the_first(self, first: Behaviour) -> None:
        """Check that a retry `LONG_BACKOFF_MS` later gets no later deadline than the first attempt."""

        async def scenario() -> None:
            deadlines: list[tuple[float, float]] = []
            async with Fleet(
                record_deadlines(first, deadlines), record_deadlines(first, deadlines), document=document()
            ) as fleet:
                with mock.patch.object(Retries, "wait_ms", side_effect=[LONG_BACKOFF_MS, None]):
                    sent_ms = now_ms()
                    await fleet.ask("/safe/x", X_Deadline_Ms="900")
                (first_ms, first_remaining_ms), (second_ms, second_remaining_ms) = deadlines
                self.assertGreater(second_ms, first_ms + LONG_BACKOFF_MS - CLOCK_RESOLUTION_MS)
                self.assertLess(first_ms + first_remaining_ms, sent_ms + 900 + OBSERVATION_SLACK_MS)
                self.assertLess(second_ms + second_remaining_ms, sent_ms + 900 + OBSERVATION_SLACK_MS)

        run(scenario())

    def test_deadline_of_a_retry_is_that_of_the_first_attempt(self) -> None:
        for first in (refuses(), resets):
            self.assert_retry_ends_with_the_first(first)

    def assert_computed_when_written(self) -> None:
        """Check that a connect of `CONNECTING_MS` is deducted from the deadline that the upstream gets."""
        deadlines: list[tuple[float, float]] = []
        original = BoundedConnector.connect

        async def connect_late(*arguments: Any, **options: Any) -> Any:
            await asyncio.sleep(CONNECTING_MS / MS_PER_S)
            return await original(*arguments, **options)

        async def scenario() -> None:
            async with Fleet(record_deadlines(served(), deadlines), document=document()) as fleet:
                with mock.patch.object(BoundedConnector, "connect", connect_late):
                    await fleet.ask("/unsafe/x", X_Deadline_Ms="900")

        run_on_virtual_clock(scenario())
        self.assertEqual([900.0 - CONNECTING_MS], [remaining_ms for _, remaining_ms in deadlines])

    def test_deadline_is_the_time_left_once_the_connection_is_established(self) -> None:
        self.assert_computed_when_written()

    def test_deadline_computed_before_the_connect_is_detected(self) -> None:
        original = EncodedRequest.__init__

        def compute_headers_early(encoded: EncodedRequest, *arguments: Any, **options: Any) -> None:
            headers = options["headers_at_write"]()
            original(encoded, *arguments, **{**options, "headers_at_write": lambda: headers})

        with mock.patch.object(EncodedRequest, "__init__", compute_headers_early):
            self.assertRaises(AssertionError, self.assert_computed_when_written)

    def test_deadline_that_restarts_with_each_attempt_is_detected(self) -> None:
        with (
            mock.patch.object(AttemptExchange, "_now_ms", lambda self: self._admitted.until_ms - 900),
            self.assertRaises(AssertionError),
        ):
            self.assert_retry_ends_with_the_first(refuses())


async def begin_stream(message: Message, writer: Writer) -> None:
    writer.write(stream_head(message))


async def stop_within_stream(message: Message, writer: Writer) -> None:
    writer.write(stream_head(message) + chunk(event(1)))


async def stream_until_closed(message: Message, writer: Writer) -> None:
    writer.write(stream_head(message))
    number = 0
    while not writer.is_closing():
        number += 1
        writer.write(chunk(event(number)))
        await writer.drain()
        await asyncio.sleep(0)


async def stop_within_long_response(message: Message, writer: Writer) -> None:
    request_id = message.header("X-Request-Id")
    head = f"HTTP/1.1 200 OK\r\nContent-Length: 900000\r\nX-Request-Id: {request_id}\r\n"
    writer.write(f"{head}X-Upstream-Signature: {SIGNATURE}\r\n\r\n".encode() + b"x" * 100_000)


async def never_read(upstream: Upstream, reader: asyncio.StreamReader, writer: Writer) -> None:
    upstream._writers.add(writer)
    with contextlib.suppress(ConnectionError):
        await writer.wait_closed()


class RouteTimeout(unittest.TestCase):
    """Within half a second of the timeout the client gets a final response, or a begun one is broken off."""

    async def read_until_end(self, client: Client) -> bytes:
        """Return what is read until the response or the connection ends; fail if that is early or late."""
        started_ms = now_ms()
        response = b""
        while not response.startswith(b"HTTP/1.1 50") or b"\r\n\r\n" not in response:
            try:
                part = await within(client.caller.reader.read(65536))
            except ConnectionError:
                break
            if not part:
                break
            response += part
        elapsed_ms = now_ms() - started_ms
        self.assertLess(elapsed_ms, TIMEOUT_MS + SLACK_MS)
        self.assertGreater(elapsed_ms, TIMEOUT_MS - CLOCK_RESOLUTION_MS)
        return response

    def assert_ends(self, behave: Behaviour, path: str, status: bytes, **request: Any) -> None:
        async def scenario() -> None:
            async with Fleet(behave, behave, document=short_timeout_document()) as fleet:
                client = await fleet.client()
                client.write(path, **request)
                response = await self.read_until_end(client)
                self.assertTrue(response.startswith(b"HTTP/1.1 " + status), response[:60])
                # A response that was broken off must not look complete.
                self.assertNotIn(b"\r\n0\r\n\r\n", response)

        run(scenario())

    def test_request_without_a_response_ends(self) -> None:
        for path in ("/safe/x", "/unsafe/x", "/stream/x", "/resumable/x"):
            self.assert_ends(silent, path, b"504")

    def test_stream_without_an_event_ends(self) -> None:
        for path in ("/stream/x", "/resumable/x"):
            self.assert_ends(begin_stream, path, b"504")

    def test_stream_that_has_begun_is_broken_off(self) -> None:
        for behave in (stop_within_stream, stream_until_closed):
            for path in ("/stream/x", "/resumable/x"):
                self.assert_ends(behave, path, b"200")

    def test_long_response_that_stops_is_broken_off(self) -> None:
        self.assert_ends(stop_within_long_response, "/safe/x", b"200")

    def test_request_to_an_upstream_that_does_not_read_ends(self) -> None:
        async def scenario() -> None:
            async with Fleet(silent, document=short_timeout_document()) as fleet:
                client = await fleet.client()
                started_ms = now_ms()
                client.write("/unsafe/x", body=b"x" * LONGER_THAN_BUFFERS_BYTES)
                self.assertIn((await client.read()).status, (502, 503, 504))
                self.assertLess(now_ms() - started_ms, TIMEOUT_MS + SLACK_MS)

        with mock.patch.object(Upstream, "_serve", never_read):
            run(scenario())

    def test_request_with_a_slow_body_ends_without_being_forwarded(self) -> None:
        async def scenario() -> None:
            async with Fleet(served(), document=short_timeout_document()) as fleet:
                client = await fleet.client()
                client.write("/unsafe/x", Content_Length="100", body=b"half")
                started_ms = now_ms()
                self.assertEqual((await client.read()).status, 408)
                self.assertLess(now_ms() - started_ms, TIMEOUT_MS + SLACK_MS)
                self.assertTrue(await client.caller.at_end())
                self.assertEqual(fleet.upstreams[0].asked, [])

        run(scenario())


if __name__ == "__main__":
    unittest.main()
