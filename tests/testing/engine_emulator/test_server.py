"""The emulated upstream over loopback, against the requirements of PROTOCOL for upstreams."""

from __future__ import annotations

import asyncio
import random
import tempfile
import unittest
from collections.abc import Callable
from pathlib import Path
from typing import Any

import aiohttp
import msgspec

from madderwind.testing.engine_emulator.engine import EngineSettings
from madderwind.testing.engine_emulator.records import (
    AnyRecord,
    Ended,
    Ran,
    RecordWriter,
    TurnedAway,
    read_records,
)
from madderwind.testing.engine_emulator.server import UpstreamServer
from madderwind.testing.engine_emulator.upstream_settings import Mishaps, PlainWork, UpstreamSettings

DEADLINE_S = 10.0
ENGINE = EngineSettings(slots=4, queue=2, kv_tokens=16_000, stride=2, step_ms=2.0, first_ms=0.0)
PLAIN = PlainWork(slots=1, queue=1, work_ms=20.0, spread=0.1, body_bytes=100)


class UpstreamTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.records_path = Path(folder) / "records.jsonl"
        self.session = await self.enterAsyncContext(aiohttp.ClientSession())

    async def start(self, **changes: Any) -> UpstreamServer:
        """Start an upstream with these settings; it has an engine unless `plain` is given."""
        fields: dict[str, Any] = {"engine": None if "plain" in changes else ENGINE, **changes}
        settings = UpstreamSettings(
            "model", "z1", "127.0.0.1:0", "127.0.0.1:1", (), str(self.records_path), **fields
        )
        write_record = RecordWriter(self.records_path)
        self.addCleanup(write_record.close)
        server = UpstreamServer(settings, write_record, random.Random(1))
        self.address = await server.start()
        self.addAsyncCleanup(server.stop)
        return server

    def post(self, request_id: str = "r-1", **headers: str) -> Any:
        all_headers = {
            "X-Request-Id": request_id,
            "X-Token-Usage": "20,7",
            "X-Prompt-Prefix": "aa:10,bb:10",
            "X-Deadline-Ms": "5000",
        }
        all_headers |= {name.replace("_", "-"): value for name, value in headers.items()}
        return self.session.post(
            f"http://{self.address}/x", headers={name: value for name, value in all_headers.items() if value}
        )

    async def request(self, request_id: str = "r-1", **headers: str) -> tuple[int, bytes]:
        async with self.post(request_id, **headers) as response:
            return response.status, await response.read()

    def records(self, kind: type[Any]) -> list[Any]:
        all_records: list[AnyRecord] = list(read_records(self.records_path))
        return [record for record in all_records if isinstance(record, kind)]

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        async with asyncio.timeout(DEADLINE_S):
            while not condition():
                await asyncio.sleep(0)


class ModelServerTest(UpstreamTest):
    async def test_streams_events_with_increasing_ids(self) -> None:
        server = await self.start()
        async with self.post(X_Expect_Instance=server.instance, X_Tenant_Id="acme") as response:
            self.assertEqual(response.status, 200)
            self.assertEqual(response.content_type, "text/event-stream")
            self.assertEqual(response.headers["X-Request-Id"], "r-1")
            self.assertTrue(response.headers["X-Upstream-Signature"])
            body = await response.read()
        self.assertEqual(body, b"".join(b"id: %d\ndata: bb %d/4\n\n" % (n, n) for n in (1, 2, 3, 4)))
        (ran,) = self.records(Ran)
        self.assertEqual((ran.request, ran.tenant, ran.instance), ("r-1", "acme", server.instance))
        await self.wait_until(lambda: bool(self.records(Ended)))
        self.assertEqual([(ended.events, ended.how) for ended in self.records(Ended)], [(4, "whole")])

    async def test_resumes_after_the_last_event_id(self) -> None:
        await self.start()
        _, body = await self.request(Last_Event_Id="2")
        self.assertEqual(body, b"id: 3\ndata: bb 3/4\n\nid: 4\ndata: bb 4/4\n\n")
        self.assertEqual(self.records(Ran)[0].resumed_after, 2)

    async def test_rejects_a_request_for_another_instance_or_version(self) -> None:
        server = await self.start()
        async with self.post(X_Expect_Instance="i-other") as response:
            self.assertEqual(response.status, 421)
            self.assertEqual(response.headers["X-Upstream-Instance"], server.instance)
        async with self.post(Expect_Version="2") as response:
            self.assertEqual(response.status, 421)
        self.assertEqual(self.records(Ran), [])

    async def test_rejects_a_request_without_an_id(self) -> None:
        await self.start()
        async with self.post("") as response:
            self.assertEqual((response.status, response.headers["X-Not-Executed"]), (400, "1"))

    async def test_rejects_a_request_that_exceeds_its_memory(self) -> None:
        await self.start()
        async with self.post(X_Prompt_Prefix="aa:99999", X_Token_Usage="99999,7") as response:
            self.assertEqual((response.status, response.headers["X-Not-Executed"]), (503, "1"))

    async def test_rejects_a_request_that_cannot_start_before_its_deadline(self) -> None:
        await self.start(engine=msgspec.structs.replace(ENGINE, first_ms=60_000.0))
        async with self.post(X_Deadline_Ms="20") as response:
            self.assertEqual((response.status, response.headers["X-Not-Executed"]), (503, "1"))
        self.assertEqual(self.records(Ran), [])

    async def test_cancels_a_request_whose_client_disconnected(self) -> None:
        server = await self.start(engine=msgspec.structs.replace(ENGINE, step_ms=20.0))
        async with self.post(X_Token_Usage="20,4000") as response:
            await response.content.readany()
            response.close()
        await self.wait_until(lambda: server.requests_open == 0)
        self.assertEqual([ended.how for ended in self.records(Ended)], ["client left"])

    async def test_an_injected_fault_aborts_a_stream_inside_an_event(self) -> None:
        await self.start(mishaps=Mishaps(break_off=1.0))
        async with self.post() as response:
            with self.assertRaises(aiohttp.ClientError):
                await response.read()

    async def test_reports_its_state_without_using_a_slot(self) -> None:
        await self.start()
        async with self.session.get(f"http://{self.address}/report") as response:
            fields = await response.json()
        self.assertEqual((fields["running"], fields["waiting"], fields["kv_total"]), (0, 0, 16_000))
        self.assertEqual(fields["models"], [{"name": "m", "version": 1, "adapters": []}])


class UpstreamServerTest(UpstreamTest):
    async def test_rejects_requests_beyond_its_slots_and_queue(self) -> None:
        await self.start(plain=PLAIN)
        responses = await asyncio.gather(*(self.request(f"r-{number}") for number in range(3)))
        self.assertEqual(sorted(status for status, _ in responses), [200, 200, 503])
        self.assertEqual([len(body) for status, body in responses if status == 200], [100, 100])
        self.assertEqual([rejected.status for rejected in self.records(TurnedAway)], [503])

    async def test_is_healthy_until_it_drains(self) -> None:
        server = await self.start()
        for draining, status in ((False, 200), (True, 503)):
            server.is_draining = draining
            async with self.session.get(f"http://{self.address}/health") as response:
                self.assertEqual(response.status, status)
                self.assertEqual(response.headers["X-Upstream-Instance"], server.instance)

    async def test_resets_connections_beyond_its_limit(self) -> None:
        await self.start(max_connections=1)
        ip, _, port = self.address.rpartition(":")
        first = await asyncio.open_connection(ip, int(port))
        second = await asyncio.open_connection(ip, int(port))
        async with asyncio.timeout(DEADLINE_S):
            with self.assertRaises(ConnectionResetError):
                if not await second[0].read():
                    raise ConnectionResetError
        first[1].write(b"GET /health HTTP/1.1\r\nHost: x\r\n\r\n")
        async with asyncio.timeout(DEADLINE_S):
            self.assertIn(b"200", await first[0].readline())
        for _, writer in (first, second):
            writer.close()


if __name__ == "__main__":
    unittest.main()
