"""Stories of upstreams in trouble: what the client gets, and what is sent where."""

from __future__ import annotations

import asyncio
import unittest

from madderwind.testing.fault_tests.wire import chunk
from tests.dataplane.fleet import (
    SIGNATURE,
    Fleet,
    Message,
    Writer,
    answer,
    document,
    event,
    record,
    refuses,
    served,
    stream_head,
    until,
)
from tests.standins import Behaviour, resets, run, silent, within


def says(*raw: bytes) -> Behaviour:
    """These bytes, with the request's id where %ID stands."""

    async def behave(message: Message, writer: Writer) -> None:
        request_id = (message.header("X-Request-Id") or "").encode()
        for part in raw:
            writer.write(part.replace(b"%ID", request_id))

    return behave


def raw_answer(body: bytes = b"yes", request_id: str = "%ID", **headers: str) -> bytes:
    return answer(200, body, X_Request_Id=request_id, X_Upstream_Signature=SIGNATURE, **headers)


def then_resets(raw: bytes) -> Behaviour:
    async def behave(message: Message, writer: Writer) -> None:
        await says(raw)(message, writer)
        await writer.drain()
        await asyncio.sleep(0)  # the bytes leave before the reset
        writer.transport.abort()

    return behave


class AnAnswerThatIsNotThisRequests(unittest.TestCase):
    def test_of_another_request_is_never_passed_on_and_its_connection_never_used_again(self) -> None:
        async def story() -> None:
            async with Fleet(says(raw_answer(request_id="r-other")), document=document()) as fleet:
                client = await fleet.client()
                got = await client.ask("/unsafe/x")
                self.assertEqual(got.status, 502)
                self.assertIsNone(got.header("X-Upstream-Signature"))
                fleet.upstreams[0].behave = served()
                self.assertEqual((await client.ask("/unsafe/x")).status, 200)
                self.assertEqual(fleet.upstreams[0].connections, 2)

        run(story())

    def test_is_no_reason_not_to_ask_another_upstream_where_that_does_no_harm(self) -> None:
        async def story() -> None:
            odd = says(raw_answer(request_id="r-other"))
            async with Fleet(odd, odd, document=document()) as fleet:
                client = await fleet.client()
                client.write("/safe/x")
                await until(lambda: sum(len(u.asked) for u in fleet.upstreams) >= 1)
                for upstream in fleet.upstreams:
                    upstream.behave = served()
                self.assertEqual((await client.read()).status, 200)
                self.assertEqual([len(u.asked) for u in fleet.upstreams], [1, 1])

        run(story())

    def test_with_an_encoding_or_without_a_signature_is_a_failure(self) -> None:
        async def story() -> None:
            async with Fleet(served(), document=document()) as fleet:
                for odd in (
                    raw_answer(Content_Encoding="gzip"),
                    answer(200, b"yes", X_Request_Id="%ID"),
                    answer(200, b"yes", X_Upstream_Signature=SIGNATURE),
                    b"HTP/9 nothing\r\n\r\n",
                ):
                    fleet.upstreams[0].behave = says(odd)
                    got = await fleet.ask("/unsafe/x")
                    self.assertEqual((got.status, got.header("X-Upstream-Signature")), (502, None), odd)

        run(story())

    def test_with_more_bytes_behind_it_ends_the_connection_and_spoils_nothing(self) -> None:
        async def story() -> None:
            odd = says(raw_answer(b"first") + raw_answer(b"late", request_id="r-other"))
            async with Fleet(odd, document=document()) as fleet:
                client = await fleet.client()
                self.assertEqual((await client.ask("/unsafe/x")).body, b"first")
                self.assertEqual((await client.ask("/unsafe/x")).body, b"first")
                self.assertEqual(fleet.upstreams[0].connections, 2)

        run(story())


class AnAnswerThatBreaksOff(unittest.TestCase):
    def test_is_a_failure_where_it_is_short(self) -> None:
        async def story() -> None:
            head = raw_answer(b"x" * 100)
            async with Fleet(then_resets(head[:-40]), document=document()) as fleet:
                got = await fleet.ask("/unsafe/x")
                self.assertEqual(got.status, 502)

        run(story())

    def test_cannot_be_taken_for_whole_where_it_is_long(self) -> None:
        async def story() -> None:
            whole = raw_answer(b"x" * 300_000)
            async with Fleet(then_resets(whole[:-1000]), document=document()) as fleet:
                client = await fleet.client()
                client.write("/unsafe/x")
                with self.assertRaises((asyncio.IncompleteReadError, ConnectionError)):
                    await client.read()

        run(story())

    def test_is_passed_on_whole_where_it_is_long_and_whole(self) -> None:
        async def story() -> None:
            body = bytes(range(256)) * 2000
            async with Fleet(says(raw_answer(body)), document=document()) as fleet:
                self.assertEqual((await fleet.ask("/unsafe/x")).body, body)

        run(story())


class ARefusal(unittest.TestCase):
    def test_sends_an_unsafe_request_elsewhere(self) -> None:
        async def story() -> None:
            async with Fleet(refuses(), served(), document=document()) as fleet:
                for _ in range(4):
                    self.assertEqual((await fleet.ask("/unsafe/x")).status, 200)

        run(story())

    def test_by_all_that_may_be_asked_is_a_promise_of_our_own(self) -> None:
        async def story() -> None:
            async with Fleet(refuses(), refuses(429), refuses(), document=document()) as fleet:
                got = await fleet.ask("/unsafe/x")
                self.assertEqual(got.status, 503)
                self.assertIsNone(got.header("X-Upstream-Signature"))
                retry_after = got.header("Retry-After")
                self.assertIsNotNone(retry_after)
                self.assertTrue(0 < float(retry_after or 0) < 1)
                self.assertEqual(sum(len(u.asked) for u in fleet.upstreams), 2)  # max_attempts

        run(story())

    def test_without_its_proof_promises_nothing(self) -> None:
        async def story() -> None:
            async with Fleet(served(), served(), document=document()) as fleet:
                for status in (503, 429, 408):
                    for upstream in fleet.upstreams:
                        upstream.behave = served(b"full", status)
                        upstream.asked.clear()
                    got = await fleet.ask("/unsafe/x")
                    self.assertEqual((got.status, got.header("Retry-After")), (502, None))
                    self.assertEqual(sum(len(u.asked) for u in fleet.upstreams), 1)

        run(story())

    def test_by_another_instance_at_that_address_ends_the_one_that_was_known(self) -> None:
        async def story() -> None:
            async def elsewhere(message: Message, writer: Writer) -> None:
                request_id = message.header("X-Request-Id") or ""
                writer.write(answer(421, X_Request_Id=request_id, X_Upstream_Instance="i-new"))

            async with Fleet(elsewhere, elsewhere, document=document()) as fleet:
                got = await fleet.ask("/unsafe/x")
                self.assertEqual((got.status, got.header("Retry-After") is None), (503, False))
                self.assertEqual([len(u.asked) for u in fleet.upstreams], [1, 1])
                self.assertEqual(fleet.ready_instances(), ())
                for upstream in fleet.upstreams:
                    upstream.behave = served()
                await fleet.control.register(record(fleet.upstreams[0], "i-0", sequence=2))  # a late record
                await fleet.control.register(record(fleet.upstreams[0], "i-new"))
                await until(lambda: fleet.ready_instances() == ("i-new",))
                self.assertEqual((await fleet.ask("/unsafe/x")).status, 200)
                self.assertEqual(fleet.upstreams[0].asked[-1].header("X-Expect-Instance"), "i-new")

        run(story())


class AFailure(unittest.TestCase):
    def test_of_the_upstreams_own_is_passed_on(self) -> None:
        async def story() -> None:
            async with Fleet(served(b"oops", 500), document=document()) as fleet:
                got = await fleet.ask("/unsafe/x")
                self.assertEqual((got.status, got.body), (500, b"oops"))
                self.assertEqual(got.header("X-Upstream-Signature"), SIGNATURE)

        run(story())

    def test_to_connect_is_no_attempt(self) -> None:
        async def story() -> None:
            async with Fleet(served(), served(), document=document()) as fleet:
                await fleet.upstreams[0].__aexit__()
                await fleet.control.register(record(fleet.upstreams[0], "i-gone-1"))
                await until(lambda: len(fleet.ready_instances()) == 3)
                for _ in range(6):
                    self.assertEqual((await fleet.ask("/unsafe/x")).status, 200)
                self.assertEqual(len(fleet.upstreams[1].asked), 6)

        run(story())

    def test_after_sending_is_final_for_what_may_run_only_once(self) -> None:
        async def story() -> None:
            async with Fleet(resets, resets, document=document()) as fleet:
                got = await fleet.ask("/unsafe/x")
                self.assertEqual((got.status, got.header("Retry-After")), (502, None))
                self.assertEqual(sum(len(u.asked) for u in fleet.upstreams), 1)

        run(story())

    def test_after_sending_is_mended_for_what_may_run_twice(self) -> None:
        async def story() -> None:
            async with Fleet(resets, served(), document=document()) as fleet:
                for _ in range(4):
                    self.assertEqual((await fleet.ask("/safe/x")).status, 200)

        run(story())

    def test_by_silence_ends_at_the_routes_time_with_no_promise(self) -> None:
        async def story() -> None:
            async with Fleet(silent, silent, document=document()) as fleet:
                got = await fleet.ask("/quick/x")
                self.assertEqual((got.status, got.header("Retry-After")), (504, None))
                (asked,) = [upstream for upstream in fleet.upstreams if upstream.asked]
                self.assertEqual(await within(asked.ended.get()), 1)

        run(story())

    def test_to_find_an_upstream_is_told_at_once_with_a_time_to_come_back(self) -> None:
        async def story() -> None:
            async with Fleet(document=document()) as fleet:
                got = await fleet.ask("/unsafe/x")
                self.assertEqual(got.status, 503)
                self.assertTrue(0 < float(got.header("Retry-After") or 0) < 1)

        run(story())


class AStreamThatBreaksOff(unittest.TestCase):
    def test_is_broken_off_for_the_client_where_it_cannot_go_on(self) -> None:
        async def story() -> None:
            async def breaks(message: Message, writer: Writer) -> None:
                writer.write(stream_head(message) + chunk(event(1) + event(2)[:9]))
                await writer.drain()
                await fleet_heard.wait()
                writer.transport.abort()

            fleet_heard = asyncio.Event()
            async with Fleet(breaks, breaks, document=document()) as fleet:
                client = await fleet.client()
                client.write("/stream/x")
                reader = client.caller.reader
                await reader.readuntil(event(1))
                fleet_heard.set()
                with self.assertRaises((asyncio.IncompleteReadError, ConnectionError)):
                    await within(reader.readuntil(b"0\r\n\r\n"))
                self.assertEqual(sum(len(u.asked) for u in fleet.upstreams), 1)

        run(story())

    def test_goes_on_elsewhere_after_its_last_event_where_it_may(self) -> None:
        async def story() -> None:
            async def behave(message: Message, writer: Writer) -> None:
                told = message.header("Last-Event-Id")
                head = stream_head(message)
                if told is None:
                    writer.write(head + chunk(event(1) + event(2) + event(3)[:6]))
                    await writer.drain()
                    await first_heard.wait()
                    writer.transport.abort()
                    return
                resumed_after.append(told)
                other = head.replace(SIGNATURE.encode(), b"another")
                writer.write(other + chunk(event(2)) + chunk(event(3) + event(4)) + b"0\r\n\r\n")

            first_heard = asyncio.Event()
            resumed_after: list[str] = []
            async with Fleet(behave, behave, document=document()) as fleet:
                client = await fleet.client()
                client.write("/resumable/x")
                reader = client.caller.reader
                begun = await reader.readuntil(event(2))
                first_heard.set()
                rest = await within(reader.readuntil(b"0\r\n\r\n"))
                self.assertIn(SIGNATURE.encode(), begun)
                whole = begun + rest
                self.assertEqual([whole.count(event(n)) for n in (1, 2, 3, 4)], [1, 1, 1, 1])
                self.assertNotIn(b"another", whole)
                self.assertEqual(resumed_after, ["2"])
                self.assertEqual([len(u.asked) for u in fleet.upstreams], [1, 1])

        run(story())

    def test_before_its_first_event_is_asked_for_again_as_it_was(self) -> None:
        async def story() -> None:
            async def behave(message: Message, writer: Writer) -> None:
                told.append(message.header("Last-Event-Id"))
                writer.write(stream_head(message))
                if len(told) == 1:
                    await writer.drain()
                    writer.transport.abort()
                else:
                    writer.write(chunk(event(8)) + b"0\r\n\r\n")

            told: list[str | None] = []
            async with Fleet(behave, behave, document=document()) as fleet:
                got = await fleet.ask("/resumable/x", Last_Event_Id="7")
                self.assertEqual((got.status, got.body), (200, event(8)))
                self.assertEqual(told, ["7", "7"])

        run(story())


class AClientThatLeaves(unittest.TestCase):
    def test_ends_the_upstreams_work(self) -> None:
        async def story() -> None:
            async def streams(message: Message, writer: Writer) -> None:
                writer.write(stream_head(message) + chunk(event(1)))

            async with Fleet(streams, document=document()) as fleet:
                client = await fleet.client()
                client.write("/stream/x")
                await client.caller.reader.readuntil(event(1))
                client.caller.close()
                self.assertEqual(await within(fleet.upstreams[0].ended.get()), 1)

        run(story())


class AnUpstreamThatDrains(unittest.TestCase):
    def test_takes_nothing_new_and_ends_its_streams(self) -> None:
        async def story() -> None:
            async def streams(message: Message, writer: Writer) -> None:
                writer.write(stream_head(message) + chunk(event(1)))
                writers.append(writer)

            writers: list[Writer] = []
            async with Fleet(streams, document=document()) as fleet:
                client = await fleet.client()
                client.write("/stream/x")
                await client.caller.reader.readuntil(event(1))
                await fleet.control.register(record(fleet.upstreams[0], "i-0", "draining", 2))
                await until(lambda: not fleet.ready_instances())
                self.assertEqual((await fleet.ask("/safe/x")).status, 503)
                writers[0].write(chunk(event(2)) + b"0\r\n\r\n")
                await within(client.caller.reader.readuntil(event(2) + b"\r\n0\r\n\r\n"))
                self.assertEqual(len(fleet.upstreams[0].asked), 1)

        run(story())
