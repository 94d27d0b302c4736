"""Plays one round with control planes: one gets SIGTERM while operators and upstreams call it.

By hand: `python -m tests.shutdown_drill.control_drill [SEEDS [FIRST]]`.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import random
import signal
import sys
import tempfile
from collections.abc import Iterator
from contextlib import AsyncExitStack
from pathlib import Path

import msgspec

from madderwind.testing.fault_tests.plan import take_net
from tests.controlplane.configurations import replacement_body, route
from tests.controlplane.fleet import heartbeat
from tests.shutdown_drill.clients import GIVE_UP_S, read_answer
from tests.shutdown_drill.drill import exit_code, kill, start_program
from tests.shutdown_drill.judge import KILLED, MAX_END_S, READ_WITHIN_S
from tests.shutdown_drill.plans import GRACE_PERIODS_S, SENDING_S

MACHINES = (1, 2, 3)
CALLERS, MAX_CALLS = 12, 40
MAX_PAUSE_S = 0.1
PUBLIC_PORT, INTERNAL_PORT = 8367, 7500
START_TIMEOUT_S, RETRY_S = 30.0, 0.1
OK = 200


class Call(msgspec.Struct):
    """One call, as its caller saw it. Times are on the loop's clock.

    Attributes:
        name: What was called.
        version: The version that an update leads to; 0 for other calls.
        whole_s: When its last byte had been written; None if it never was.
        ended_s: When the answer or the connection ended.
    """

    name: str
    version: int = 0
    whole_s: float | None = None
    status: int = 0
    headers: dict[str, str] = {}
    is_complete: bool = False
    ended_s: float = 0.0


class ControlRound(msgspec.Struct):
    """What one round showed."""

    seed: int
    grace_s: float
    has_majority: bool
    signal_s: float
    exit_s: float
    exit_code: int
    calls: list[Call]
    version_afterwards: int

    def waiting(self) -> int:
        """How many calls were under way at the signal."""
        return sum(
            call.whole_s is not None and call.whole_s <= self.signal_s < call.ended_s for call in self.calls
        )

    def violations(self) -> Iterator[str]:
        """Each rule that the round broke."""
        if self.exit_code not in (0, KILLED):
            yield f"the process ended with {self.exit_code}"
        last_end_s = max(call.ended_s for call in self.calls)
        if self.exit_code == KILLED and self.exit_s - last_end_s > MAX_END_S:
            yield f"the process did not end by itself within its grace period of {self.grace_s} s"
        for call in self.calls:
            was_read = call.whole_s is not None and call.whole_s < self.signal_s - READ_WITHIN_S
            if was_read and not call.is_complete:
                yield f"got no whole answer: {call}, signal {self.signal_s}"
            if call.status == OK and call.version > self.version_afterwards:
                yield f"version {call.version} was acknowledged, {self.version_afterwards} is in force"


class ControlPlanes:
    """Three control planes as processes, each on a loopback address of its own."""

    def __init__(self, folder: Path, grace_s: float) -> None:
        self._folder, self._grace_s = folder, grace_s
        self._net, self._net_lock = take_net(random.Random())
        self.processes: dict[int, asyncio.subprocess.Process] = {}

    async def close(self) -> None:
        """End them all."""
        for process in self.processes.values():
            await kill(process)
        self._net_lock.close()

    def address(self, machine: int) -> str:
        """The loopback address of a machine."""
        return f"127.{self._net}.1.{machine}"

    async def start(self) -> None:
        """Start them and put a first configuration in force."""
        for machine in MACHINES:
            path = self._folder / f"core-{machine}.json"
            path.write_text(json.dumps(self._settings(machine)))
            self.processes[machine] = await start_program(
                "madderwind.controlplane", path, output=asyncio.subprocess.DEVNULL
            )
        await self.until_ok(1, "POST /config/replace", replacement_body(1), "0")

    async def until_ok(self, machine: int, target: str, body: bytes = b"", base: str = "0") -> bytes:
        """Repeat a call until it succeeds; the body of its answer."""
        async with asyncio.timeout(START_TIMEOUT_S):
            while True:
                with contextlib.suppress(OSError, EOFError):
                    reader, writer = await asyncio.open_connection(self.address(machine), PUBLIC_PORT)
                    writer.write(encoded(target, body, base, "Connection: close"))
                    head, _, content = (await reader.read()).partition(b"\r\n\r\n")
                    writer.close()
                    if head.startswith(b"HTTP/1.1 200"):
                        return content
                await asyncio.sleep(RETRY_S)

    def signal_others(self, machine: int, number: signal.Signals) -> None:
        """Send a signal to all but one."""
        for other, process in self.processes.items():
            if other != machine:
                process.send_signal(number)

    def _settings(self, machine: int) -> dict[str, object]:
        folder = self._folder / f"data-{machine}"
        folder.mkdir()
        return {
            "node": f"core-{machine}",
            "ip": self.address(machine),
            "zone": f"z{machine}",
            "listen": {"control": f"{self.address(machine)}:{PUBLIC_PORT}"},
            "internal_ports": [INTERNAL_PORT, INTERNAL_PORT + 15],
            "seeds": [f"{self.address(seed)}:{PUBLIC_PORT}" for seed in MACHINES],
            "bootstrap": True,
            "data_dir": str(folder),
            "fault_tolerance": {"machines": 1},
            "bounds": {"grace_s": self._grace_s},
        }


def encoded(target: str, body: bytes, base: str, *lines: str) -> bytes:
    """A call as it is sent."""
    head = [f"{target} HTTP/1.1", "Host: core", f"X-Base-Version: {base}", f"Content-Length: {len(body)}"]
    return "\r\n".join([*head, *lines, "", ""]).encode() + body


class Caller:
    """Sends drawn calls to one machine, one after the other, until its connection ends."""

    def __init__(self, address: str, rng: random.Random, versions: itertools.count[int]) -> None:
        """`versions` gives a new version for each update."""
        self._address, self._rng, self._versions = address, rng, versions
        self._version = 1
        self.calls: list[Call] = []

    async def run(self) -> None:
        """Send the calls."""
        reader, writer = await asyncio.open_connection(self._address, PUBLIC_PORT)
        try:
            for _ in range(MAX_CALLS):
                call = self._draw()
                self.calls.append(call)
                async with asyncio.timeout(GIVE_UP_S):
                    await self._exchange(reader, writer, call)
                if not call.is_complete or call.headers.get("connection") == "close":
                    return
                await asyncio.sleep(self._rng.uniform(0, MAX_PAUSE_S))
        finally:
            writer.transport.abort()

    def _draw(self) -> Call:
        name = self._rng.choice(["update", "update", "read", "heartbeat", "drain", "deregister"])
        return Call(name, next(self._versions) if name == "update" else 0)

    async def _exchange(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, call: Call) -> None:
        try:
            data = self._data(call)
            middle = self._rng.randrange(len(data))
            writer.write(data[:middle])
            await asyncio.sleep(self._rng.choice([0.0, 0.0, MAX_PAUSE_S]))
            writer.write(data[middle:])
            await writer.drain()
            call.whole_s = asyncio.get_running_loop().time()
            await read_answer(reader, call)
        except (OSError, EOFError):
            pass
        finally:
            call.ended_s = asyncio.get_running_loop().time()
        if call.name == "update" and call.status == OK:
            self._version = call.version

    def _data(self, call: Call) -> bytes:
        instance = f"i-{self._rng.randrange(1000)}"
        match call.name:
            case "update":
                change = {"version": call.version, "upsert": {"routes": [route(0, timeout_ms=call.version)]}}
                return encoded("POST /config/update", json.dumps(change).encode(), str(self._version))
            case "read":
                return encoded("GET /config/read", b"", "0")
            case "deregister":
                return encoded(f"POST /instances/{instance}/deregister", b"", "0")
            case _:
                state = "draining" if call.name == "drain" else "ready"
                return encoded(f"POST /instances/{instance}/heartbeat", heartbeat(1, state), "0")


async def play_control_round(seed: int) -> ControlRound:
    """Play the round of a seed."""
    rng = random.Random(seed)
    grace_s, signal_after_s = rng.choice(GRACE_PERIODS_S), rng.uniform(0.3, SENDING_S)
    machine, has_majority = rng.choice(MACHINES), rng.random() < 0.5
    loop = asyncio.get_running_loop()
    async with AsyncExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        planes = ControlPlanes(folder, grace_s)
        stack.push_async_callback(planes.close)
        await planes.start()
        for other in MACHINES:
            await planes.until_ok(other, "GET /config/read")
        versions = itertools.count(2)
        callers = [
            Caller(planes.address(machine), random.Random(rng.random()), versions) for _ in range(CALLERS)
        ]
        tasks = [asyncio.create_task(caller.run()) for caller in callers]
        await asyncio.sleep(signal_after_s)
        if not has_majority:
            planes.signal_others(machine, signal.SIGSTOP)
            await asyncio.sleep(2 * READ_WITHIN_S)
        signal_s = loop.time()
        planes.processes[machine].terminate()
        code = await exit_code(planes.processes[machine], grace_s)
        exit_s = loop.time()
        planes.signal_others(machine, signal.SIGCONT)
        await asyncio.gather(*tasks)
        document = json.loads(await planes.until_ok(machine % len(MACHINES) + 1, "GET /config/read"))
    return ControlRound(
        seed=seed,
        grace_s=grace_s,
        has_majority=has_majority,
        signal_s=signal_s,
        exit_s=exit_s,
        exit_code=code,
        calls=[call for caller in callers for call in caller.calls],
        version_afterwards=document["version"],
    )


def main() -> int:
    """Play the rounds that the command line names."""
    seeds, first = [*map(int, sys.argv[1:]), *(1, 1)[len(sys.argv) - 1 :]]
    calls = waiting = failed = 0
    for seed in range(first, first + seeds):
        played = asyncio.run(play_control_round(seed))
        found = list(played.violations())
        calls, waiting, failed = calls + len(played.calls), waiting + played.waiting(), failed + bool(found)
        for text in found:
            print(f"seed {seed}: {text}", flush=True)
    print(f"{seeds} seeds, {calls} calls, {waiting} under way at the signal, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
