"""The life of a data plane: requests that it rejects itself, its configuration and its shutdown."""

from __future__ import annotations

import asyncio
import os
import signal
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

import attrs
import msgspec

from madderwind.messages.distribution import ConfigurationApplied, Goodbye, Subscribe, UsageReport
from madderwind.testing.fault_tests.wire import chunk
from tests.dataplane.fleet import (
    ControlPlane,
    Fleet,
    Message,
    Writer,
    document,
    event,
    record,
    served,
    settings,
    stream_head,
    until,
)
from tests.examples import HOST
from tests.standins import Caller, Upstream, run, within

ROOT = Path(__file__).parents[2]


class RejectedRequests(unittest.TestCase):
    def test_unknown_route_unknown_key_and_oversized_request_get_their_status(self) -> None:
        async def scenario() -> None:
            async with Fleet(served(), document=document()) as fleet:
                self.assertEqual((await fleet.ask("/nowhere/x")).status, 404)
                self.assertEqual((await fleet.ask("/safe/x", X_Key="k-unknown")).status, 401)
                self.assertEqual((await fleet.ask("/safe/x", body=b"x" * 100_001)).status, 413)
                self.assertEqual((await fleet.ask("/safe/x", X_Long="x" * 17_000)).status, 431)
                self.assertEqual(fleet.upstreams[0].asked, [])

        run(scenario())

    def test_request_over_quota_is_not_sent_and_gets_retry_after(self) -> None:
        async def scenario() -> None:
            async with Fleet(served(), document=document()) as fleet:
                statuses = []
                while 429 not in statuses:
                    response = await fleet.ask("/unsafe/x", X_Key="k-thrifty")
                    statuses.append(response.status)
                self.assertIsNotNone(response.header("Retry-After"))
                self.assertEqual(len(fleet.upstreams[0].asked), len(statuses) - 1)
                used = [m for m in fleet.control.received if isinstance(m, UsageReport) and m.used]
                if not used:
                    await until(
                        lambda: any(isinstance(m, UsageReport) and m.used for m in fleet.control.received)
                    )

        run(scenario())

    def test_possibly_outdated_configuration_gives_503_with_retry_after(self) -> None:
        async def scenario() -> None:
            async with Fleet(served(), document=document()) as fleet:
                await fleet.control.close()
                await until(lambda: not fleet.plane.subscriber.open_links)
                for path, key in (("/nowhere/x", "k-acme"), ("/safe/x", "k-unknown")):
                    response = await fleet.ask(path, X_Key=key)
                    self.assertEqual(response.status, 503)
                    self.assertIsNotNone(response.header("Retry-After"))
                self.assertEqual((await fleet.ask("/safe/x")).status, 200)  # valid requests are still served

        run(scenario())


class Configuration(unittest.TestCase):
    def test_first_configuration_makes_ready_and_a_new_one_applies_at_once(self) -> None:
        async def scenario() -> None:
            async with Fleet(served(), document=None) as fleet:
                await until(lambda: any(isinstance(m, Subscribe) for m in fleet.control.received))
                self.assertEqual(await fleet.readiness_status(), 503)
                self.assertEqual((await fleet.ask("/safe/x")).status, 503)
                await fleet.control.publish(document(1))
                await until(lambda: fleet.plane.is_ready)
                self.assertEqual(await fleet.readiness_status(), 200)
                self.assertEqual((await fleet.ask("/safe/x")).status, 200)
                changed = document(4)
                changed["routes"] = [
                    {**r, "path_prefix": "/new" + r["path_prefix"]} for r in changed["routes"]
                ]
                await fleet.control.publish(changed)
                await until(lambda: ConfigurationApplied(4) in fleet.control.received)
                self.assertEqual((await fleet.ask("/safe/x")).status, 404)
                self.assertEqual((await fleet.ask("/new/safe/x")).status, 200)

        run(scenario())


class PlannedShutdown(unittest.TestCase):
    def test_loses_no_request_and_completes_by_itself(self) -> None:
        async def scenario() -> None:
            async def respond(message: Message, writer: Writer) -> None:
                if "stream" in message.start:
                    writer.write(stream_head(message) + chunk(event(1)))
                    writers.append(writer)
                else:
                    await served()(message, writer)

            writers: list[Writer] = []
            async with Fleet(respond, document=document()) as fleet:
                idle, streaming, unused = [await fleet.client() for _ in range(3)]
                self.assertEqual((await idle.ask()).status, 200)
                streaming.write("/stream/x")
                await streaming.caller.reader.readuntil(event(1))
                fleet.plane._still_accepting_s = 0.3
                shutdown = asyncio.get_running_loop().create_task(fleet.plane.drain())
                await until(lambda: not fleet.plane.is_ready)
                self.assertEqual(await fleet.readiness_status(), 503)
                for client in (idle, unused, await fleet.client()):
                    response = await client.ask()
                    self.assertEqual((response.status, response.header("Connection")), (200, "close"))
                    self.assertTrue(await client.caller.at_end())
                writers[0].write(chunk(event(2)) + b"0\r\n\r\n")
                await within(streaming.caller.reader.readuntil(event(2) + b"\r\n0\r\n\r\n"))
                await within(shutdown)
                await within(fleet.plane.wait_until_ended())
                self.assertIn(Goodbye(), fleet.control.received)

        run(scenario())

    def test_closes_idle_connections(self) -> None:
        async def scenario() -> None:
            async with Fleet(served(), document=document()) as fleet:
                client = await fleet.client()
                self.assertEqual((await client.ask()).status, 200)
                await fleet.plane.drain()
                self.assertTrue(await client.caller.at_end())

        run(scenario())


class DataPlaneProcess(unittest.TestCase):
    def command(self, path: str, *arguments: str) -> list[str]:
        return [sys.executable, "-m", "madderwind.dataplane", *arguments]

    def environment(self, path: str) -> dict[str, str]:
        return {**os.environ, "MADDERWIND_CONFIG": path, "PYTHONPATH": str(ROOT)}

    def test_reports_unusable_settings_in_one_line(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = str(Path(folder) / "node.json")
            for text in (None, "{", '{"node": 3}', '{"node": "n", "ip": "127.0.0.1"}'):
                if text is not None:
                    Path(path).write_text(text)
                completed = subprocess.run(
                    self.command(path), cwd=ROOT, env=self.environment(path), capture_output=True, text=True
                )
                self.assertEqual(completed.returncode, 1, completed.stderr)
                self.assertEqual(len(completed.stderr.splitlines()), 1, completed.stderr)

    def test_serves_reloads_its_settings_and_exits_on_sigterm(self) -> None:
        async def scenario() -> None:
            control = ControlPlane(document())
            upstream = Upstream(served())
            await upstream.start()
            control.records["i-0"] = record(upstream, "i-0")
            port = await control.start()
            with tempfile.TemporaryDirectory() as folder:
                path = Path(folder) / "node.json"
                path.write_bytes(msgspec.json.encode(_raw_settings(port)))
                process = await asyncio.create_subprocess_exec(
                    *self.command(str(path)),
                    cwd=ROOT,
                    env=self.environment(str(path)),
                    stdout=asyncio.subprocess.PIPE,
                )
                assert process.stdout is not None
                try:
                    started = await self.next_event(process.stdout, "started")
                    await self.next_event(process.stdout, "configuration_in_force")
                    process.send_signal(signal.SIGHUP)
                    changed = _raw_settings(port, seeds=["127.0.0.9:1"])
                    path.write_bytes(msgspec.json.encode(changed))
                    await self.next_event(process.stdout, "seeds_changed")
                    caller = await Caller.connect(started["front"])
                    process.terminate()
                    await self.next_event(process.stdout, "phase")
                    caller.write(
                        "POST /safe/x", b"hi", Host="shop.example", X_Key="k-acme", X_Request_Id="r-1"
                    )
                    self.assertEqual((await caller.read()).status, 200)
                    self.assertEqual(await within(process.wait()), 0)
                finally:
                    if process.returncode is None:
                        process.kill()
                        await process.wait()
            await control.close()
            await upstream.__aexit__()

        run(scenario())

    async def next_event(self, output: asyncio.StreamReader, name: str) -> dict[str, int]:
        """Return the next line of the log with this event."""
        while True:
            log_line = msgspec.json.decode(await within(output.readline()))
            if log_line["event"] == name:
                return dict(log_line)


def _raw_settings(control_port: int, **changes: object) -> dict[str, object]:
    raw = attrs.asdict(settings(control_port))
    raw["internal_ports"] = list(raw["internal_ports"])
    raw["listen"] = {"front": f"{HOST}:0", "ready": f"{HOST}:0"}
    return {**raw, **changes}
