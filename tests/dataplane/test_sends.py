"""Stories of one request's sends: to how many upstreams it goes, and that each gets what the client sent."""

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

MOST_ATTEMPTS = (1, 2, 3)
OF_THE_GENERATION = {
    "X-Model": "m; q=1",
    "X-Token-Usage": " 1460 ,80",
    "X-Prompt-Prefix": "5c1e07a2:800,91bd3f06:410,E4402B7D:250,",
}


async def turns_away(message: Message, writer: Writer) -> None:
    writer.write(answer(421, X_Request_Id=message.header("X-Request-Id") or ""))


async def answers_another(message: Message, writer: Writer) -> None:
    writer.write(answer(200, X_Request_Id="another", X_Upstream_Signature="s"))


async def breaks_off_a_stream(message: Message, writer: Writer) -> None:
    """After its first event, or the one after that it is asked for."""
    first = int(message.header("Last-Event-Id") or 0) + 1
    writer.write(stream_head(message) + chunk(event(first) + event(first + 1)[:5]))
    await writer.drain()
    await asyncio.sleep(0)
    writer.transport.abort()


WAYS_TO_FAIL: tuple[Behaviour, ...] = (resets, refuses(), refuses(429), turns_away, answers_another)
ROUTES = ("safe", "unsafe", "stream", "resumable")


def with_attempts(most: int) -> dict[str, Any]:
    return document(routes=[{**route, "max_attempts": most} for route in document()["routes"]])


class TheUpstreamsOfOneRequest(unittest.TestCase):
    """Are no more than its route's `max_attempts`, however each of them fails."""

    def assert_bounded(self, behaviours: tuple[Behaviour, ...]) -> None:
        async def story() -> None:
            for most in MOST_ATTEMPTS:
                async with Fleet(*behaviours, document=with_attempts(most)) as fleet:
                    with mock.patch.multiple(retrying, TRANSIENT_BASE_MS=1.0, FULL_BASE_MS=1.0):
                        for path in ROUTES:
                            before = sum(len(upstream.asked) for upstream in fleet.upstreams)
                            client = await fleet.client()
                            client.write(f"/{path}/x", X_Deadline_Ms="400")
                            await client.caller.reader.read(1)
                            await until(lambda: not fleet.plane._listener.open_requests)  # noqa: B023
                            sent = sum(len(upstream.asked) for upstream in fleet.upstreams) - before
                            self.assertLessEqual(sent, most, (path, behaviours))

        run(story())

    def test_given_any_two_ways_to_fail(self) -> None:
        for first, second in itertools.combinations(WAYS_TO_FAIL, 2):
            self.assert_bounded((first, second, first, second, first))

    def test_given_streams_that_break_off_again_and_again(self) -> None:
        self.assert_bounded((breaks_off_a_stream,) * 5)

    def test_given_addresses_where_nobody_listens_then_those_are_no_upstreams_of_it(self) -> None:
        async def story() -> None:
            async with Fleet(served(), served(), refuses(), document=with_attempts(1)) as fleet:
                for upstream in fleet.upstreams[:2]:
                    await upstream.__aexit__()
                for path in ROUTES[:2]:
                    self.assertEqual((await fleet.ask(f"/{path}/x")).status, 503)
                self.assertLessEqual(len(fleet.upstreams[2].asked), 2)

        run(story())

    def test_that_were_not_counted_would_be_noticed(self) -> None:
        def always(retries: Retries, *_: object) -> float:
            return 0.0

        with mock.patch.object(Retries, "wait_ms", always), self.assertRaises(AssertionError):
            self.assert_bounded((resets,) * 5)


class WhatTheClientSays(unittest.TestCase):
    """Of its generation reaches each upstream to the letter."""

    def test_on_the_first_send_on_a_second_one_and_where_a_stream_goes_on(self) -> None:
        async def story() -> None:
            async with Fleet(breaks_off_a_stream, breaks_off_a_stream, document=document()) as fleet:
                for path in ROUTES:
                    client = await fleet.client()
                    client.write(f"/{path}/x", "POST", b"hi", **OF_THE_GENERATION)
                    await client.caller.reader.read(1)
                    await until(lambda: not fleet.plane._listener.open_requests)
                seen = [message for upstream in fleet.upstreams for message in upstream.asked]
                self.assertGreater(len(seen), len(ROUTES))  # some were sent again
                self.assertIn("1", [message.header("Last-Event-Id") for message in seen])
                for message in seen:
                    for name, value in OF_THE_GENERATION.items():
                        self.assertEqual(message.header(name), value.strip())

        run(story())

    def test_is_not_added_to_where_it_says_nothing(self) -> None:
        async def story() -> None:
            async with Fleet(served(), document=document()) as fleet:
                await fleet.ask("/unsafe/x")
                (seen,) = fleet.upstreams[0].asked
                self.assertEqual([seen.header(name) for name in OF_THE_GENERATION], [None] * 3)

        run(story())


if __name__ == "__main__":
    unittest.main()
