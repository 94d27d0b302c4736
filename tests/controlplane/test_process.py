"""Tests of complete control planes over loopback in one process, each with its own replica and files."""

from __future__ import annotations

import asyncio
import contextlib
import io
import json
import os
import tempfile
import unittest
from collections.abc import Callable, Mapping
from pathlib import Path
from unittest import mock

import aiohttp

from madderwind.controlplane.core import ControlPlaneCore
from madderwind.controlplane.effects import Effect
from madderwind.controlplane.process import ControlPlaneProcess, main
from madderwind.messages.message_pack import MAX_INTEGER_DIGITS
from madderwind.node_settings import CONTROL_PLANE_PORT, SETTINGS_VARIABLE, NodeSettings, parse_settings
from madderwind.storage.disk import FileDisk
from madderwind.storage.record_file import RecordFile
from tests.controlplane.configurations import replacement_body
from tests.controlplane.fleet import heartbeat
from tests.controlplane.test_hosts import free_address

DEADLINE_S = 30.0
# A process that the in-sync set needs keeps running for this time, less the time reserved for shutdown.
GRACE_S = 2.0
FIRST_BASE = {"X-Base-Version": "0"}
# Date and time down to the microsecond, beyond 64 bits.
MICROSECONDS = 20261204181000123456


class ProcessTestCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.ports = [int(free_address().rpartition(":")[2]) for _ in range(2)]
        self.tasks: dict[int, asyncio.Task[None]] = {}
        self.processes: dict[int, ControlPlaneProcess] = {}
        self.session = aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=2.0))

    async def asyncTearDown(self) -> None:
        for number in list(self.tasks):
            await self.stop(number)
        await self.session.close()

    def settings(self, number: int, bootstrap: bool) -> NodeSettings:
        """The settings of a machine with its own loopback address; all machines use the same ports."""
        public, internal = self.ports
        folder = self.folder / f"core-{number}"
        folder.mkdir(exist_ok=True)
        return parse_settings(
            json.dumps(
                {
                    "node": f"core-{number}",
                    "ip": f"127.0.0.{number}",
                    "zone": f"z{number}",
                    "listen": {"control": f"127.0.0.{number}:{public}"},
                    "internal_ports": [internal, internal + 15],
                    "seeds": [f"127.0.0.{seed}:{public}" for seed in (1, 2, 3)],
                    "bootstrap": bootstrap,
                    "data_dir": str(folder),
                    "fault_tolerance": {"machines": 1},
                    "bounds": {"grace_s": GRACE_S},
                }
            ).encode()
        )

    def start(self, number: int, bootstrap: bool = False) -> None:
        settings = self.settings(number, bootstrap)
        record_file = RecordFile(FileDisk(settings.data_dir or ""))
        process = ControlPlaneProcess(settings, record_file, record_file.recover())
        self.processes[number] = process
        self.tasks[number] = asyncio.create_task(process.run())

    async def stop(self, number: int) -> None:
        self.processes[number].request_shutdown()
        async with asyncio.timeout(DEADLINE_S):
            await self.tasks.pop(number)

    def url(self, number: int, path: str) -> str:
        return f"http://127.0.0.{number}:{self.ports[0]}{path}"

    async def call_until_resolved(
        self, method: str, url: str, base: int = 0, body: bytes = b""
    ) -> tuple[int, bytes]:
        """Repeat a call until its outcome is known, as operators do."""
        headers = {"X-Base-Version": str(base)}
        async with asyncio.timeout(DEADLINE_S):
            while True:
                with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                    async with self.session.request(method, url, data=body, headers=headers) as response:
                        if response.status < 500:
                            return response.status, await response.read()

    async def status_of(self, method: str, path: str, headers: Mapping[str, str] = FIRST_BASE) -> int:
        """The status that machine 1 answers a call with, as soon as it listens."""
        async with asyncio.timeout(DEADLINE_S):
            while True:
                with contextlib.suppress(aiohttp.ClientConnectorError):
                    async with self.session.request(method, self.url(1, path), headers=headers) as response:
                        return response.status

    async def command(self, number: int, base: int, version: int) -> int:
        url = self.url(number, "/config/replace")
        return (await self.call_until_resolved("POST", url, base, replacement_body(version)))[0]

    async def read(self, number: int) -> tuple[int, bytes]:
        return await self.call_until_resolved("GET", self.url(number, "/config/read"))

    async def primary(self) -> int:
        """The number of the primary, once all running machines report the same one."""
        async with asyncio.timeout(DEADLINE_S):
            while True:
                primaries = set()
                for number in self.tasks:
                    internal = self.settings(number, False).internal_address(CONTROL_PLANE_PORT)
                    async with self.session.get(f"http://{internal}/status") as response:
                        primaries.add((await response.json())["primary"])
                if len(primaries) == 1 and (address := primaries.pop()):
                    return int(address.partition(":")[0].rpartition(".")[2])


class ThreeControlPlanesTest(ProcessTestCase):
    async def test_the_primary_transfers_leadership_at_shutdown_and_rejoins(self) -> None:
        for number in (1, 2, 3):
            self.start(number, bootstrap=True)
        self.assertEqual(await self.command(2, 0, 5), 200)
        primary = await self.primary()
        await self.stop(primary)
        other = primary % 3 + 1
        self.assertEqual(await self.command(other, 5, 6), 200)
        self.assertNotEqual(await self.primary(), primary)
        self.start(primary)
        self.assertEqual(await self.read(primary), (200, replacement_body(6)))
        await self.stop(await self.primary())
        self.assertEqual(await self.command(next(iter(self.tasks)), 6, 7), 200)

    async def test_all_control_planes_restart_with_the_configuration(self) -> None:
        for number in (1, 2, 3):
            self.start(number, bootstrap=True)
        self.assertEqual(await self.command(1, 0, 5), 200)
        for number in (1, 2, 3):
            await self.stop(number)
        for number in (3, 1, 2):
            self.start(number)
        self.assertEqual(await self.read(2), (200, replacement_body(5)))
        self.assertEqual(await self.command(3, 5, 6), 200)

    async def test_calls_in_progress_are_answered_before_the_process_ends(self) -> None:
        # Guards against connections that close without an answer at a SIGTERM, with a short grace period.
        self.start(1, bootstrap=True)
        waiting: asyncio.Queue[str] = asyncio.Queue()

        def never_decide(name: str) -> Callable[..., list[Effect]]:
            def start_call(*_: object) -> list[Effect]:
                waiting.put_nowait(name)
                return []

            return start_call

        for name in ("submit", "handle_heartbeat", "deregister"):
            self.enterContext(mock.patch.object(ControlPlaneCore, name, never_decide(name)))
        calls = [
            asyncio.create_task(self.status_of(method, path))
            for method, path in (
                ("POST", "/config/replace"),
                ("GET", "/config/read"),
                ("POST", "/instances/i-1/heartbeat"),
                ("POST", "/instances/i-1/deregister"),
            )
        ]
        async with asyncio.timeout(DEADLINE_S):
            for _ in calls:
                await waiting.get()
        await self.stop(1)
        self.assertEqual(await asyncio.gather(*calls), [503] * len(calls))

    async def test_a_version_beyond_64_bits_is_in_force_everywhere_and_takes_the_next_change(self) -> None:
        # Guards against an acknowledged version that other machines never learn of (review/7).
        for number in (1, 2, 3):
            self.start(number, bootstrap=True)
        self.assertEqual(await self.command(1, 0, 5), 200)
        self.assertEqual(await self.command(2, 5, MICROSECONDS), 200)
        for number in (1, 2, 3):
            self.assertEqual(await self.read(number), (200, replacement_body(MICROSECONDS)))
        self.assertEqual(await self.command(3, MICROSECONDS, MICROSECONDS + 1), 200)
        for number in (1, 2, 3):
            await self.stop(number)
        for number in (3, 1, 2):
            self.start(number)
        self.assertEqual(await self.read(2), (200, replacement_body(MICROSECONDS + 1)))

    async def test_a_base_version_with_too_many_digits_is_rejected(self) -> None:
        self.start(1, bootstrap=True)
        headers = {"X-Base-Version": "9" * (MAX_INTEGER_DIGITS + 1)}
        self.assertEqual(await self.status_of("POST", "/config/replace", headers), 400)

    async def test_heartbeats_are_acknowledged_before_there_is_a_primary(self) -> None:
        self.start(1, bootstrap=True)
        url = self.url(1, "/instances/i-1/heartbeat")
        self.assertEqual((await self.call_until_resolved("POST", url, body=heartbeat(1)))[0], 200)


class UnusableSettingsTest(unittest.TestCase):
    def error_output_of(self, settings: bytes | None) -> str:
        """Standard error of a start with these settings, which must exit with 1."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "node.json"
            if settings is not None:
                path.write_bytes(settings)
            error_output = io.StringIO()
            with (
                mock.patch.dict(os.environ, {SETTINGS_VARIABLE: str(path)}),
                contextlib.redirect_stderr(error_output),
                self.assertRaises(SystemExit) as exited,
            ):
                main()
        self.assertEqual(exited.exception.code, 1)
        return error_output.getvalue()

    def test_unusable_settings_print_one_line_and_exit_with_1(self) -> None:
        for settings in (None, b"{", b'{"node": 3}', b'{"node":"n","ip":"1.2.3.4","zone":"z"}'):
            with self.subTest(settings):
                error_output = self.error_output_of(settings)
                self.assertEqual(error_output.count("\n"), 1)
                self.assertTrue(error_output.startswith("control plane: "))

    def test_settings_without_a_control_address_are_rejected(self) -> None:
        settings = {
            "node": "n",
            "ip": "127.0.0.1",
            "zone": "z",
            "listen": {"front": "127.0.0.1:1"},
            "internal_ports": [7500, 7515],
            "seeds": [],
        }
        self.assertIn("listen.control", self.error_output_of(json.dumps(settings).encode()))


if __name__ == "__main__":
    unittest.main()
