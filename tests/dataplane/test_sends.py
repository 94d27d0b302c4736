"""The sends of one request: how many upstreams receive it, and that each receives the client's headers."""

from __future__ import annotations

import asyncio
import itertools
import unittest
from typing import Any
from unittest import mock

from madderwind.dataplane import retrying
from madderwind.dataplane.retrying import Retries
from madderwind.testing.fault_tests.wire import chunk
from tests.dataplane.fleet import (
    Fleet,
    Message,
    Writer,
    answer,
    document,
    event,
    refuses,
    served,
    stream_head,
    until,
)
from tests.standins import Behaviour, resets, run

MAX_ATTEMPTS = (1, 2, 3)
GENERATION_HEADERS = {
    "X-Model": "m; q=1",
    "X-Token-Usage": " 1460 ,80",
    "X-Prompt-Prefix": "5c1e07a2:800,91bd3f06:410,E4402B7D:250,",
}


async def misdirects(message: Message, writer: Writer) -> None:
    writer.write(answer(421, X_Request_Id=message.header("X-Request-Id") or ""))


async def answers_another_request(message: Message, writer: Writer) -> None:
    writer.write(answer(200, X_Request_Id="another", X_Upstream_Signature="s"))


async def breaks_off_a_stream(message: Message, writer: Writer) -> None:
    """Send one event after the requested position, then abort within the next one."""
    first = int(message.header("Last-Event-Id") or 0) + 1
    writer.write(stream_head(message) + chunk(event(first) + event(first + 1)[:5]))
    await writer.drain()
    await asyncio.sleep(0)
    writer.transport.abort()


FAILURES: tuple[Behaviour, ...] = (resets, refuses(), refuses(429), misdirects, answers_another_request)
ROUTES = ("safe", "unsafe", "stream", "resumable")


def with_max_attempts(max_attempts: int) -> dict[str, Any]:
    return document(routes=[{**route, "max_attempts": max_attempts} for route in document()["routes"]])


class AttemptLimit(unittest.TestCase):
    """One request is sent to at most `max_attempts` upstreams of its route, however each of them fails."""

    def assert_bounded(self, behaviours: tuple[Behaviour, ...]) -> None:
        async def scenario() -> None:
            for max_attempts in MAX_ATTEMPTS:
                async with Fleet(*behaviours, document=with_max_attempts(max_attempts)) as fleet:
                    with mock.patch.multiple(retrying, TRANSIENT_BASE_MS=1.0, FULL_BASE_MS=1.0):
                        for path in ROUTES:
                            before = sum(len(upstream.asked) for upstream in fleet.upstreams)
                            client = await fleet.client()
                            client.write(f"/{path}/x", X_Deadline_Ms="400")
                            await client.caller.reader.read(1)
                            await until(lambda: not fleet.plane._listener.open_requests)  # noqa: B023
                            sent = sum(len(upstream.asked) for upstream in fleet.upstreams) - before
                            self.assertLessEqual(sent, max_attempts, (path, behaviours))

        run(scenario())

    def test_holds_for_every_pair_of_failures(self) -> None:
        for first, second in itertools.combinations(FAILURES, 2):
            self.assert_bounded((first, second, first, second, first))

    def test_holds_for_streams_that_break_off_repeatedly(self) -> None:
        self.assert_bounded((breaks_off_a_stream,) * 5)

    def test_does_not_count_upstreams_that_refuse_connections(self) -> None:
        async def scenario() -> None:
            async with Fleet(served(), served(), refuses(), document=with_max_attempts(1)) as fleet:
                for upstream in fleet.upstreams[:2]:
                    await upstream.__aexit__()
                for path in ROUTES[:2]:
                    self.assertEqual((await fleet.ask(f"/{path}/x")).status, 503)
                self.assertLessEqual(len(fleet.upstreams[2].asked), 2)

        run(scenario())

    def test_check_detects_unlimited_retries(self) -> None:
        def retry_at_once(retries: Retries, *_: object) -> float:
            return 0.0

        with mock.patch.object(Retries, "wait_ms", retry_at_once), self.assertRaises(AssertionError):
            self.assert_bounded((resets,) * 5)


class GenerationHeaders(unittest.TestCase):
    """Each upstream receives the client's headers on its generation unmodified."""

    def test_are_sent_on_first_attempts_retries_and_resumptions(self) -> None:
        async def scenario() -> None:
            async with Fleet(breaks_off_a_stream, breaks_off_a_stream, document=document()) as fleet:
                for path in ROUTES:
                    client = await fleet.client()
                    client.write(f"/{path}/x", "POST", b"hi", **GENERATION_HEADERS)
                    await client.caller.reader.read(1)
                    await until(lambda: not fleet.plane._listener.open_requests)
                received = [message for upstream in fleet.upstreams for message in upstream.asked]
                self.assertGreater(len(received), len(ROUTES))  # some requests were retried
                self.assertIn("1", [message.header("Last-Event-Id") for message in received])
                for message in received:
                    for name, value in GENERATION_HEADERS.items():
                        self.assertEqual(message.header(name), value.strip())

        run(scenario())

    def test_are_not_added_if_the_client_sends_none(self) -> None:
        async def scenario() -> None:
            async with Fleet(served(), document=document()) as fleet:
                await fleet.ask("/unsafe/x")
                (message,) = fleet.upstreams[0].asked
                self.assertEqual([message.header(name) for name in GENERATION_HEADERS], [None] * 3)

        run(scenario())


if __name__ == "__main__":
    unittest.main()
