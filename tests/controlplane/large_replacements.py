"""Measures the effect of replacing a large configuration on control plane processes on loopback.

Run it with `python -m tests.controlplane.large_replacements [--machines 3] [--running-ms 52]`. It replaces
the complete configuration several times, while an upstream calls each control plane every 20 ms. With
`--running-ms`, each process runs only for that part of every 100 ms, as under a CPU quota: it is stopped and
continued by signals to its process id. The report contains the longest heartbeat, the longest stall of an
event loop, the changes of view and of primary, and the durations of the replacements.
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
STARTUP_TIMEOUT_S = 60.0
IDLE_S = 2.0
RETRY_INTERVAL_S = 0.1
TERMINATION_TIMEOUT_S = 15.0
MS_PER_S = 1000.0
SEEDS = (1, 2, 3)
STALL_MS = re.compile(r'"ms": ?(\d+)')


@attrs.define
class Report:
    """The measured values, times in ms. Counts are by machine and exclude the startup."""

    longest_idle_heartbeat_ms: float = 0.0
    longest_heartbeat_ms: float = 0.0
    failed_heartbeats: int = 0
    replacement_ms: list[float] = attrs.field(factory=list)
    retries: int = 0
    view_changes: list[int] = attrs.field(factory=list)
    primary_changes: list[int] = attrs.field(factory=list)
    longest_stall_ms: list[int] = attrs.field(factory=list)

    def lines(self) -> list[str]:
        """The report as readable lines."""
        times = self.replacement_ms
        return [
            f"longest heartbeat: {self.longest_idle_heartbeat_ms:.0f} ms without replacements, "
            f"{self.longest_heartbeat_ms:.0f} ms during replacements, {self.failed_heartbeats} not accepted",
            f"{len(times)} replacements: median {statistics.median(times):.0f} ms, "
            f"longest {max(times):.0f} ms, {self.retries} retries",
            f"view_changed after the startup: {self.view_changes}, primary_changed: {self.primary_changes}",
            f"longest event_loop_stalled: {self.longest_stall_ms} ms",
        ]


class Machine:
    """One control plane process with its own loopback address."""

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
        self._startup_lines = 0
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process."""
        environment = {**os.environ, SETTINGS_VARIABLE: str(self._settings_path)}
        command = [sys.executable, "-O", "-m", "madderwind.controlplane"]
        with self._log_path.open("wb") as log:
            self.process = subprocess.Popen(command, env=environment, stdout=log, stderr=log)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to this process, if it is running."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def end_startup(self) -> None:
        """Count only the events that are logged from now on."""
        self._startup_lines = len(self._lines())

    def count(self, event: str) -> int:
        """The number of times that an event was logged after the startup."""
        return sum(f'"{event}"' in line for line in self._lines()[self._startup_lines :])

    def longest_stall_ms(self) -> int:
        """The longest stall of the event loop that the process logged."""
        stalls = [line for line in self._lines()[self._startup_lines :] if '"event_loop_stalled"' in line]
        return max((int(found[1]) for line in stalls if (found := STALL_MS.search(line))), default=0)

    def _lines(self) -> list[str]:
        return self._log_path.read_text().splitlines()


class Measurement:
    """Starts the machines, replaces the configuration and reports the results."""

    def __init__(self, machines: list[Machine], routes: int, replacements: int) -> None:
        self._machines, self._replacements = machines, replacements
        self._report = Report()
        self._is_idle = True
        self._version = 0
        # Created in advance, because this work would otherwise add to the times of the control planes.
        self._bodies = [
            replacement_body(version, routes, 1000 + version) for version in range(1, replacements + 2)
        ]

    async def run(self, running_ms: float | None) -> Report:
        """Measure; the processes run for `running_ms` of every 100 ms, or without a limit if it is None."""
        for machine in self._machines:
            machine.start()
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout) as self._session:
            async with asyncio.timeout(STARTUP_TIMEOUT_S):
                await self._replace()
            await asyncio.sleep(IDLE_S)
            for machine in self._machines:
                machine.end_startup()
            self._report = Report()
            background = [asyncio.create_task(self._call_as_upstream(machine)) for machine in self._machines]
            if running_ms is not None:
                background.append(asyncio.create_task(self._enforce_quota(running_ms / MS_PER_S)))
            await asyncio.sleep(IDLE_S)
            self._is_idle = False
            for _ in range(self._replacements):
                await self._replace()
            for task in background:
                task.cancel()
            await asyncio.gather(*background, return_exceptions=True)
        await asyncio.sleep(IDLE_S)
        self._report.view_changes = [machine.count("view_changed") for machine in self._machines]
        self._report.primary_changes = [machine.count("primary_changed") for machine in self._machines]
        self._report.longest_stall_ms = [machine.longest_stall_ms() for machine in self._machines]
        return self._report

    async def _replace(self) -> None:
        """Replace the complete configuration; retry at another machine after a failure, as operators do."""
        body = self._bodies[self._version]
        headers = {"X-Base-Version": str(self._version), "Content-Type": "application/json"}
        start_s = time.monotonic()
        for attempt in range(10_000):
            machine = self._machines[(self._version + attempt) % len(self._machines)]
            if await self._is_committed(machine, body, headers):
                break
            self._report.retries += 1
            await asyncio.sleep(RETRY_INTERVAL_S)
        self._report.replacement_ms.append((time.monotonic() - start_s) * MS_PER_S)
        self._version += 1

    async def _is_committed(self, machine: Machine, body: bytes, headers: dict[str, str]) -> bool:
        try:
            async with self._session.post(
                f"{machine.url}/config/replace", data=body, headers=headers
            ) as answer:
                if answer.status in (400, 412):
                    raise RuntimeError(f"rejected with status {answer.status}: {await answer.text()}")
                return answer.status == 200
        except (aiohttp.ClientError, TimeoutError):
            return False

    async def _call_as_upstream(self, machine: Machine) -> None:
        sequence = 0
        while True:
            sequence += 1
            start_s = time.monotonic()
            is_accepted = await self._send_heartbeat(machine, sequence)
            self._record_heartbeat((time.monotonic() - start_s) * MS_PER_S, is_accepted)
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    async def _send_heartbeat(self, machine: Machine, sequence: int) -> bool:
        url = f"{machine.url}/instances/i-1/heartbeat"
        try:
            async with self._session.post(url, data=heartbeat(sequence)) as answer:
                return answer.status == 200
        except (aiohttp.ClientError, TimeoutError):
            return False

    def _record_heartbeat(self, duration_ms: float, is_accepted: bool) -> None:
        report = self._report
        report.failed_heartbeats += not is_accepted
        if self._is_idle:
            report.longest_idle_heartbeat_ms = max(report.longest_idle_heartbeat_ms, duration_ms)
        else:
            report.longest_heartbeat_ms = max(report.longest_heartbeat_ms, duration_ms)

    async def _enforce_quota(self, running_s: float) -> None:
        """Stop and continue all processes together."""
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
    """Measure with `count` machines; the processes are always terminated."""
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
                    _terminate(machine.process)


def _terminate(process: subprocess.Popen[bytes]) -> None:
    try:
        process.wait(TERMINATION_TIMEOUT_S)
    except subprocess.TimeoutExpired:
        process.kill()
        process.wait()


def main() -> None:
    """Measure once and print the report."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--machines", type=int, default=3)
    parser.add_argument("--running-ms", type=float, default=None)
    parser.add_argument("--routes", type=int, default=ROUTES)
    parser.add_argument("--replacements", type=int, default=REPLACEMENTS)
    arguments = parser.parse_args()
    report = measure(arguments.machines, arguments.running_ms, arguments.routes, arguments.replacements)
    print("\n".join(report.lines()))


if __name__ == "__main__":
    main()
