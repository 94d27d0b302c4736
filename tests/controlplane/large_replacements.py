"""Measures what replacements of a large configuration do to control planes as processes on loopback.

By hand: `python -m tests.controlplane.large_replacements [--machines 3] [--running-ms 52]`. One configuration
after another replaces the whole, while an upstream calls each control plane every 20 ms. With `--running-ms`
each process runs for that part of every 100 ms alone, as under a quota of a core: it is stopped and continued
by its process id. The report tells the longest heartbeat, the longest stall of an event loop, changes of view
and of primary, and how long the replacements took.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import re
import signal
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import aiohttp
import attrs

from madderwind.node_settings import SETTINGS_VARIABLE
from tests.controlplane.configurations import replacement_body
from tests.controlplane.fleet import heartbeat
from tests.free_ports import free_port

ROUTES = 14_000
REPLACEMENTS = 20
HEARTBEAT_INTERVAL_S = 0.02
QUOTA_PERIOD_S = 0.1
CALL_TIMEOUT_S = 5.0
STARTED_WITHIN_S = 60.0
CALM_S = 2.0
RETRY_S = 0.1
END_TIMEOUT_S = 15.0
MS_PER_S = 1000.0
SEEDS = (1, 2, 3)
STALL = re.compile(r'"ms": ?(\d+)')


@attrs.define
class Report:
    """What was measured, times in ms. Counts are by machine, the founding's aside."""

    longest_heartbeat_calm_ms: float = 0.0
    longest_heartbeat_ms: float = 0.0
    failed_heartbeats: int = 0
    replacement_ms: list[float] = attrs.field(factory=list)
    retries: int = 0
    view_changes: list[int] = attrs.field(factory=list)
    primary_changes: list[int] = attrs.field(factory=list)
    longest_stall_ms: list[int] = attrs.field(factory=list)

    def lines(self) -> list[str]:
        """The report to be read."""
        times = self.replacement_ms
        return [
            f"longest heartbeat: {self.longest_heartbeat_calm_ms:.0f} ms in calm, "
            f"{self.longest_heartbeat_ms:.0f} ms beside replacements, {self.failed_heartbeats} not accepted",
            f"{len(times)} replacements: median {statistics.median(times):.0f} ms, "
            f"longest {max(times):.0f} ms, {self.retries} retries",
            f"view_changed after the founding: {self.view_changes}, primary_changed: {self.primary_changes}",
            f"longest event_loop_stalled: {self.longest_stall_ms} ms",
        ]


class Machine:
    """One control plane's process, at a loopback address of its own."""

    def __init__(self, number: int, folder: Path, public_port: int, internal_port: int, count: int) -> None:
        self.url = f"http://127.0.0.{number}:{public_port}"
        self._log_path = folder / f"core-{number}.log"
        data = folder / f"core-{number}"
        data.mkdir()
        settings = {
            "node": f"core-{number}",
            "ip": f"127.0.0.{number}",
            "zone": f"z{number}",
            "listen": {"control": f"127.0.0.{number}:{public_port}"},
            "internal_ports": [internal_port, internal_port + 15],
            "seeds": [f"127.0.0.{seed}:{public_port}" for seed in SEEDS],
            "bootstrap": True,
            "data_dir": str(data),
            "fault_tolerance": {"machines": 2 if count > len(SEEDS) else 1},
        }
        self._settings_path = folder / f"core-{number}.json"
        self._settings_path.write_text(json.dumps(settings))
        self._founding_lines = 0
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process."""
        environment = {**os.environ, SETTINGS_VARIABLE: str(self._settings_path)}
        command = [sys.executable, "-O", "-m", "madderwind.controlplane"]
        with self._log_path.open("wb") as log:
            self.process = subprocess.Popen(command, env=environment, stdout=log, stderr=log)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to this process alone, while it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def end_founding(self) -> None:
        """Events from here on count."""
        self._founding_lines = len(self._lines())

    def count(self, event: str) -> int:
        """How often an event was logged after the founding."""
        return sum(f'"{event}"' in line for line in self._lines()[self._founding_lines :])

    def longest_stall_ms(self) -> int:
        """Of its event loop, as it logged it."""
        stalls = [line for line in self._lines()[self._founding_lines :] if '"event_loop_stalled"' in line]
        return max((int(found[1]) for line in stalls if (found := STALL.search(line))), default=0)

    def _lines(self) -> list[str]:
        return self._log_path.read_text().splitlines()


class Measurement:
    """Starts the machines, replaces the configuration, and reports."""

    def __init__(self, machines: list[Machine], routes: int, replacements: int) -> None:
        self._machines, self._replacements = machines, replacements
        self._report = Report()
        self._is_calm = True
        self._version = 0
        # Made beforehand: what this process does meanwhile would count as the control planes' time.
        self._bodies = [
            replacement_body(version, routes, 1000 + version) for version in range(1, replacements + 2)
        ]

    async def run(self, running_ms: float | None) -> Report:
        """Measure; `running_ms` of each 100 ms, all the time where it is None."""
        for machine in self._machines:
            machine.start()
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout) as self._session:
            async with asyncio.timeout(STARTED_WITHIN_S):
                await self._replace()
            await asyncio.sleep(CALM_S)
            for machine in self._machines:
                machine.end_founding()
            self._report = Report()
            beside = [asyncio.create_task(self._call_as_upstream(machine)) for machine in self._machines]
            if running_ms is not None:
                beside.append(asyncio.create_task(self._keep_to_quota(running_ms / MS_PER_S)))
            await asyncio.sleep(CALM_S)
            self._is_calm = False
            for _ in range(self._replacements):
                await self._replace()
            for task in beside:
                task.cancel()
            await asyncio.gather(*beside, return_exceptions=True)
        await asyncio.sleep(CALM_S)
        self._report.view_changes = [machine.count("view_changed") for machine in self._machines]
        self._report.primary_changes = [machine.count("primary_changed") for machine in self._machines]
        self._report.longest_stall_ms = [machine.longest_stall_ms() for machine in self._machines]
        return self._report

    async def _replace(self) -> None:
        """Replace the whole configuration; as the operator does, elsewhere after a failure."""
        body = self._bodies[self._version]
        headers = {"X-Base-Version": str(self._version), "Content-Type": "application/json"}
        began_s = time.monotonic()
        for attempt in range(10_000):
            machine = self._machines[(self._version + attempt) % len(self._machines)]
            if await self._is_taken(machine, body, headers):
                break
            self._report.retries += 1
            await asyncio.sleep(RETRY_S)
        self._report.replacement_ms.append((time.monotonic() - began_s) * MS_PER_S)
        self._version += 1

    async def _is_taken(self, machine: Machine, body: bytes, headers: dict[str, str]) -> bool:
        try:
            async with self._session.post(
                f"{machine.url}/config/replace", data=body, headers=headers
            ) as answer:
                if answer.status in (400, 412):
                    raise RuntimeError(f"refused with {answer.status}: {await answer.text()}")
                return answer.status == 200
        except (aiohttp.ClientError, TimeoutError):
            return False

    async def _call_as_upstream(self, machine: Machine) -> None:
        sequence = 0
        while True:
            sequence += 1
            began_s = time.monotonic()
            is_accepted = await self._beats(machine, sequence)
            self._record_heartbeat((time.monotonic() - began_s) * MS_PER_S, is_accepted)
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    async def _beats(self, machine: Machine, sequence: int) -> bool:
        url = f"{machine.url}/instances/i-1/heartbeat"
        try:
            async with self._session.post(url, data=heartbeat(sequence)) as answer:
                return answer.status == 200
        except (aiohttp.ClientError, TimeoutError):
            return False

    def _record_heartbeat(self, took_ms: float, is_accepted: bool) -> None:
        report = self._report
        report.failed_heartbeats += not is_accepted
        if self._is_calm:
            report.longest_heartbeat_calm_ms = max(report.longest_heartbeat_calm_ms, took_ms)
        else:
            report.longest_heartbeat_ms = max(report.longest_heartbeat_ms, took_ms)

    async def _keep_to_quota(self, running_s: float) -> None:
        """All processes run and stand still together."""
        try:
            while True:
                await asyncio.sleep(running_s)
                for machine in self._machines:
                    machine.signal(signal.SIGSTOP)
                await asyncio.sleep(QUOTA_PERIOD_S - running_s)
                for machine in self._machines:
                    machine.signal(signal.SIGCONT)
        finally:
            for machine in self._machines:
                machine.signal(signal.SIGCONT)


def measure(count: int, running_ms: float | None, routes: int, replacements: int) -> Report:
    """Measure with so many machines; the processes are ended in any case."""
    with tempfile.TemporaryDirectory() as name:
        public_port, internal_port = free_port(), free_port()
        machines = [
            Machine(number, Path(name), public_port, internal_port, count) for number in range(1, count + 1)
        ]
        try:
            return asyncio.run(Measurement(machines, routes, replacements).run(running_ms))
        finally:
            for machine in machines:
                machine.signal(signal.SIGTERM)
            for machine in machines:
                if machine.process is not None:
                    _end(machine.process)


def _end(process: subprocess.Popen[bytes]) -> None:
    try:
        process.wait(END_TIMEOUT_S)
    except subprocess.TimeoutExpired:
        process.kill()
        process.wait()


def main() -> None:
    """Measure once, and print the report."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--machines", type=int, default=3)
    parser.add_argument("--running-ms", type=float, default=None)
    parser.add_argument("--routes", type=int, default=ROUTES)
    parser.add_argument("--replacements", type=int, default=REPLACEMENTS)
    chosen = parser.parse_args()
    report = measure(chosen.machines, chosen.running_ms, chosen.routes, chosen.replacements)
    print("\n".join(report.lines()))


if __name__ == "__main__":
    main()
