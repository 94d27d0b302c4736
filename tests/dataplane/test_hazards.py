"""Failing upstreams: which response the client gets, and which upstreams get the request."""

from __future__ import annotations

import asyncio
import unittest

from madderwind.messages.distribution import UpstreamRecord
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


def send_bytes(*raw: bytes) -> Behaviour:
    """Write these bytes, with %ID replaced by the id of the request."""

    async def behave(message: Message, writer: Writer) -> None:
        request_id = (message.header("X-Request-Id") or "").encode()
        for part in raw:
            writer.write(part.replace(b"%ID", request_id))

    return behave


def raw_response(body: bytes = b"yes", request_id: str = "%ID", **headers: str) -> bytes:
    return answer(200, body, X_Request_Id=request_id, X_Upstream_Signature=SIGNATURE, **headers)


def send_and_reset(raw: bytes) -> Behaviour:
    async def behave(message: Message, writer: Writer) -> None:
        await send_bytes(raw)(message, writer)
        await writer.drain()
        await asyncio.sleep(0)  # the bytes are sent before the reset
        writer.transport.abort()

    return behave


class ResponseToAnotherRequest(unittest.TestCase):
    def test_of_another_request_is_never_passed_on_and_its_connection_never_used_again(self) -> None:
        async def scenario() -> None:
            async with Fleet(send_bytes(raw_response(request_id="r-other")), document=document()) as fleet:
                client = await fleet.client()
                response = await client.ask("/unsafe/x")
                self.assertEqual(response.status, 502)
                self.assertIsNone(response.header("X-Upstream-Signature"))
                fleet.upstreams[0].behave = served()
                self.assertEqual((await client.ask("/unsafe/x")).status, 200)
                self.assertEqual(fleet.upstreams[0].connections, 2)

        run(scenario())

    def test_mismatch_for_a_safe_request_is_retried_at_another_upstream(self) -> None:
        async def scenario() -> None:
            mismatched = send_bytes(raw_response(request_id="r-other"))
            async with Fleet(mismatched, mismatched, document=document()) as fleet:
                client = await fleet.client()
                client.write("/safe/x")
                await until(lambda: sum(len(u.asked) for u in fleet.upstreams) >= 1)
                for upstream in fleet.upstreams:
                    upstream.behave = served()
                self.assertEqual((await client.read()).status, 200)
                self.assertEqual([len(u.asked) for u in fleet.upstreams], [1, 1])

        run(scenario())

    def test_encoded_unsigned_or_malformed_response_gives_502(self) -> None:
        async def scenario() -> None:
            async with Fleet(served(), document=document()) as fleet:
                for invalid in (
                    raw_response(Content_Encoding="gzip"),
                    answer(200, b"yes", X_Request_Id="%ID"),
                    answer(200, b"yes", X_Upstream_Signature=SIGNATURE),
                    b"HTP/9 nothing\r\n\r\n",
                ):
                    fleet.upstreams[0].behave = send_bytes(invalid)
                    response = await fleet.ask("/unsafe/x")
                    self.assertEqual(
                        (response.status, response.header("X-Upstream-Signature")), (502, None), invalid
                    )

        run(scenario())

    def test_control_characters_of_a_response_reach_the_client_as_spaces(self) -> None:
        # Guards against a client that gets no answer at all, only the end of its connection.
        async def scenario() -> None:
            async with Fleet(served(), document=document()) as fleet:
                for character in (b"\x01", b"\x0b", b"\x7f"):
                    valid = raw_response(X_Note="a@b").replace(b"200 ", b"200 @", 1)
                    fleet.upstreams[0].behave = send_bytes(valid.replace(b"@", character))
                    for path in ("/unsafe/x", "/safe/x"):
                        response = await fleet.ask(path)
                        self.assertEqual((response.status, response.body), (200, b"yes"))
                        self.assertEqual(response.header("X-Note"), "a b")

        run(scenario())

    def test_bytes_behind_a_response_are_discarded_and_close_the_connection(self) -> None:
        async def scenario() -> None:
            with_surplus = send_bytes(raw_response(b"first") + raw_response(b"late", request_id="r-other"))
            async with Fleet(with_surplus, document=document()) as fleet:
                client = await fleet.client()
                self.assertEqual((await client.ask("/unsafe/x")).body, b"first")
                self.assertEqual((await client.ask("/unsafe/x")).body, b"first")
                self.assertEqual(fleet.upstreams[0].connections, 2)

        run(scenario())


class TruncatedResponse(unittest.TestCase):
    def test_short_response_gives_502(self) -> None:
        async def scenario() -> None:
            complete = raw_response(b"x" * 100)
            async with Fleet(send_and_reset(complete[:-40]), document=document()) as fleet:
                response = await fleet.ask("/unsafe/x")
                self.assertEqual(response.status, 502)

        run(scenario())

    def test_long_response_ends_in_a_connection_error_at_the_client(self) -> None:
        async def scenario() -> None:
            complete = raw_response(b"x" * 300_000)
            async with Fleet(send_and_reset(complete[:-1000]), document=document()) as fleet:
                client = await fleet.client()
                client.write("/unsafe/x")
                with self.assertRaises((asyncio.IncompleteReadError, ConnectionError)):
                    await client.read()

        run(scenario())

    def test_long_complete_response_is_forwarded(self) -> None:
        async def scenario() -> None:
            body = bytes(range(256)) * 2000
            async with Fleet(send_bytes(raw_response(body)), document=document()) as fleet:
                self.assertEqual((await fleet.ask("/unsafe/x")).body, body)

        run(scenario())


class Refusal(unittest.TestCase):
    def test_unsafe_request_is_sent_to_another_upstream(self) -> None:
        async def scenario() -> None:
            async with Fleet(refuses(), served(), document=document()) as fleet:
                for _ in range(4):
                    self.assertEqual((await fleet.ask("/unsafe/x")).status, 200)

        run(scenario())

    def test_refusal_of_each_attempt_gives_503_with_retry_after(self) -> None:
        async def scenario() -> None:
            async with Fleet(refuses(), refuses(429), refuses(), document=document()) as fleet:
                response = await fleet.ask("/unsafe/x")
                self.assertEqual(response.status, 503)
                self.assertIsNone(response.header("X-Upstream-Signature"))
                retry_after = response.header("Retry-After")
                self.assertIsNotNone(retry_after)
                self.assertTrue(0 < float(retry_after or 0) < 1)
                self.assertEqual(sum(len(u.asked) for u in fleet.upstreams), 2)  # max_attempts

        run(scenario())

    def test_refusal_status_without_x_not_executed_gives_502_without_retry_after(self) -> None:
        async def scenario() -> None:
            async with Fleet(served(), served(), document=document()) as fleet:
                for status in (503, 429, 408):
                    for upstream in fleet.upstreams:
                        upstream.behave = served(b"full", status)
                        upstream.asked.clear()
                    response = await fleet.ask("/unsafe/x")
                    self.assertEqual((response.status, response.header("Retry-After")), (502, None))
                    self.assertEqual(sum(len(u.asked) for u in fleet.upstreams), 1)

        run(scenario())

    def test_421_of_another_instance_at_the_address_removes_the_known_instance(self) -> None:
        async def scenario() -> None:
            async def misdirected(message: Message, writer: Writer) -> None:
                request_id = message.header("X-Request-Id") or ""
                writer.write(answer(421, X_Request_Id=request_id, X_Upstream_Instance="i-new"))

            async with Fleet(misdirected, misdirected, document=document()) as fleet:
                response = await fleet.ask("/unsafe/x")
                self.assertEqual((response.status, response.header("Retry-After") is None), (503, False))
                self.assertEqual([len(u.asked) for u in fleet.upstreams], [1, 1])
                self.assertEqual(fleet.ready_instances(), ())
                for upstream in fleet.upstreams:
                    upstream.behave = served()
                await fleet.control.register(record(fleet.upstreams[0], "i-0", sequence=2))  # a late record
                await fleet.control.register(record(fleet.upstreams[0], "i-new"))
                await until(lambda: fleet.ready_instances() == ("i-new",))
                self.assertEqual((await fleet.ask("/unsafe/x")).status, 200)
                self.assertEqual(fleet.upstreams[0].asked[-1].header("X-Expect-Instance"), "i-new")

        run(scenario())


class UpstreamFailure(unittest.TestCase):
    def test_status_500_of_the_upstream_is_forwarded(self) -> None:
        async def scenario() -> None:
            async with Fleet(served(b"oops", 500), document=document()) as fleet:
                response = await fleet.ask("/unsafe/x")
                self.assertEqual((response.status, response.body), (500, b"oops"))
                self.assertEqual(response.header("X-Upstream-Signature"), SIGNATURE)

        run(scenario())

    def test_failed_connect_does_not_count_as_an_attempt(self) -> None:
        async def scenario() -> None:
            async with Fleet(served(), served(), document=document()) as fleet:
                await fleet.upstreams[0].__aexit__()
                await fleet.control.register(record(fleet.upstreams[0], "i-gone-1"))
                await until(lambda: len(fleet.ready_instances()) == 3)
                for _ in range(6):
                    self.assertEqual((await fleet.ask("/unsafe/x")).status, 200)
                self.assertEqual(len(fleet.upstreams[1].asked), 6)

        run(scenario())

    def test_upstream_whose_address_is_no_host_counts_as_a_failed_connect(self) -> None:
        # Guards against requests that end with 500, since no URL can be built for one upstream.
        async def scenario(host: str) -> None:
            async with Fleet(document=document()) as fleet:
                bad = UpstreamRecord("i-bad", "app", f"{host}:80", "z1", "v1", 8, "ready", 1, 0.0, 0.0)
                await fleet.control.register(bad)
                await until(lambda: list(fleet.ready_instances()) == ["i-bad"])
                response = await fleet.ask("/unsafe/x")
                self.assertEqual(response.status, 503)
                self.assertIsNotNone(response.header("Retry-After"))

        for host in ("no host", "a/b", "[::1", "\x00", "a%zz", "\u2100"):
            with self.subTest(host=host):
                run(scenario(host))

    def test_upstream_that_no_header_can_name_is_not_sent_to(self) -> None:
        # Guards against requests that end with 500 for an upstream that an earlier version registered.
        async def scenario() -> None:
            async with Fleet(served(), document=document()) as fleet:
                upstream = fleet.upstreams[0]
                await fleet.control.register(record(upstream, "i\n"), record(upstream, "i-0", "gone", 2))
                await until(lambda: list(fleet.ready_instances()) == ["i\n"])
                self.assertEqual((await fleet.ask("/unsafe/x")).status, 503)
                self.assertFalse(upstream.asked)

        run(scenario())

    def test_reset_after_sending_is_final_for_an_unsafe_request(self) -> None:
        async def scenario() -> None:
            async with Fleet(resets, resets, document=document()) as fleet:
                response = await fleet.ask("/unsafe/x")
                self.assertEqual((response.status, response.header("Retry-After")), (502, None))
                self.assertEqual(sum(len(u.asked) for u in fleet.upstreams), 1)

        run(scenario())

    def test_reset_after_sending_is_retried_for_a_safe_request(self) -> None:
        async def scenario() -> None:
            async with Fleet(resets, served(), document=document()) as fleet:
                for _ in range(4):
                    self.assertEqual((await fleet.ask("/safe/x")).status, 200)

        run(scenario())

    def test_missing_response_gives_504_without_retry_after_at_the_route_timeout(self) -> None:
        async def scenario() -> None:
            async with Fleet(silent, silent, document=document()) as fleet:
                response = await fleet.ask("/quick/x")
                self.assertEqual((response.status, response.header("Retry-After")), (504, None))
                (serving,) = [upstream for upstream in fleet.upstreams if upstream.asked]
                self.assertEqual(await within(serving.ended.get()), 1)

        run(scenario())

    def test_missing_upstream_gives_503_with_retry_after(self) -> None:
        async def scenario() -> None:
            async with Fleet(document=document()) as fleet:
                response = await fleet.ask("/unsafe/x")
                self.assertEqual(response.status, 503)
                self.assertTrue(0 < float(response.header("Retry-After") or 0) < 1)

        run(scenario())


class InterruptedStream(unittest.TestCase):
    def test_is_broken_off_for_the_client_where_it_cannot_go_on(self) -> None:
        async def scenario() -> None:
            async def send_part_and_abort(message: Message, writer: Writer) -> None:
                writer.write(stream_head(message) + chunk(event(1) + event(2)[:9]))
                await writer.drain()
                await event_read.wait()
                writer.transport.abort()

            event_read = asyncio.Event()
            async with Fleet(send_part_and_abort, send_part_and_abort, document=document()) as fleet:
                client = await fleet.client()
                client.write("/stream/x")
                reader = client.caller.reader
                await reader.readuntil(event(1))
                event_read.set()
                with self.assertRaises((asyncio.IncompleteReadError, ConnectionError)):
                    await within(reader.readuntil(b"0\r\n\r\n"))
                self.assertEqual(sum(len(u.asked) for u in fleet.upstreams), 1)

        run(scenario())

    def test_resumable_stream_continues_at_another_upstream_after_its_last_event(self) -> None:
        async def scenario() -> None:
            async def behave(message: Message, writer: Writer) -> None:
                last_event_id = message.header("Last-Event-Id")
                head = stream_head(message)
                if last_event_id is None:
                    writer.write(head + chunk(event(1) + event(2) + event(3)[:6]))
                    await writer.drain()
                    await events_read.wait()
                    writer.transport.abort()
                    return
                resumed_after.append(last_event_id)
                other_head = head.replace(SIGNATURE.encode(), b"another")
                writer.write(other_head + chunk(event(2)) + chunk(event(3) + event(4)) + b"0\r\n\r\n")

            events_read = asyncio.Event()
            resumed_after: list[str] = []
            async with Fleet(behave, behave, document=document()) as fleet:
                client = await fleet.client()
                client.write("/resumable/x")
                reader = client.caller.reader
                first_part = await reader.readuntil(event(2))
                events_read.set()
                resumed = await within(reader.readuntil(b"0\r\n\r\n"))
                self.assertIn(SIGNATURE.encode(), first_part)
                received = first_part + resumed
                self.assertEqual([received.count(event(n)) for n in (1, 2, 3, 4)], [1, 1, 1, 1])
                self.assertNotIn(b"another", received)
                self.assertEqual(resumed_after, ["2"])
                self.assertEqual([len(u.asked) for u in fleet.upstreams], [1, 1])

        run(scenario())

    def test_stream_without_an_event_is_requested_again_with_the_clients_last_event_id(self) -> None:
        async def scenario() -> None:
            async def behave(message: Message, writer: Writer) -> None:
                last_event_ids.append(message.header("Last-Event-Id"))
                writer.write(stream_head(message))
                if len(last_event_ids) == 1:
                    await writer.drain()
                    writer.transport.abort()
                else:
                    writer.write(chunk(event(8)) + b"0\r\n\r\n")

            last_event_ids: list[str | None] = []
            async with Fleet(behave, behave, document=document()) as fleet:
                response = await fleet.ask("/resumable/x", Last_Event_Id="7")
                self.assertEqual((response.status, response.body), (200, event(8)))
                self.assertEqual(last_event_ids, ["7", "7"])

        run(scenario())


class ClientDisconnect(unittest.TestCase):
    def test_ends_the_upstreams_work(self) -> None:
        async def scenario() -> None:
            async def begin_stream(message: Message, writer: Writer) -> None:
                writer.write(stream_head(message) + chunk(event(1)))

            async with Fleet(begin_stream, document=document()) as fleet:
                client = await fleet.client()
                client.write("/stream/x")
                await client.caller.reader.readuntil(event(1))
                client.caller.close()
                self.assertEqual(await within(fleet.upstreams[0].ended.get()), 1)

        run(scenario())


class DrainingUpstream(unittest.TestCase):
    def test_gets_no_new_request_and_completes_its_streams(self) -> None:
        async def scenario() -> None:
            async def begin_stream(message: Message, writer: Writer) -> None:
                writer.write(stream_head(message) + chunk(event(1)))
                writers.append(writer)

            writers: list[Writer] = []
            async with Fleet(begin_stream, document=document()) as fleet:
                client = await fleet.client()
                client.write("/stream/x")
                await client.caller.reader.readuntil(event(1))
                await fleet.control.register(record(fleet.upstreams[0], "i-0", "draining", 2))
                await until(lambda: not fleet.ready_instances())
                self.assertEqual((await fleet.ask("/safe/x")).status, 503)
                writers[0].write(chunk(event(2)) + b"0\r\n\r\n")
                await within(client.caller.reader.readuntil(event(2) + b"\r\n0\r\n\r\n"))
                self.assertEqual(len(fleet.upstreams[0].asked), 1)

        run(scenario())
