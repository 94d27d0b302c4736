"""Injects the faults of a fleet file into a running fleet and records what was injected when."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Sequence
from pathlib import Path

import aiohttp
import msgspec

from madderwind.errors import LocalFleetError
from madderwind.testing.local_fleet.fault_file import Fault
from madderwind.testing.local_fleet.fault_schedule import PRIMARY, Action, PlannedFault, plan_fault
from madderwind.testing.local_fleet.layout import FleetLayout, NodeKind
from madderwind.testing.local_fleet.relays import LinkCondition
from madderwind.testing.local_fleet.status_client import primary_of, read_status

FAULTS_FILE = "faults.jsonl"
MS_PER_S = 1000.0
# A fault on the primary waits this long for a primary to be elected.
PRIMARY_TIMEOUT_S, PRIMARY_POLL_INTERVAL_S = 4.0, 0.1


class InjectedFault(msgspec.Struct, frozen=True):
    """A fault with its begin and end on the monotonic clock.

    `not_played` holds the reason if the fault could not be injected.
    """

    what: str
    nodes: tuple[str, ...]
    begin_ms: float
    end_ms: float
    not_played: str = ""


class FaultInjector:
    """Injects each fault at its time after the start of `run`. Use as an async context manager."""

    def __init__(self, layout: FleetLayout, faults: Sequence[Fault], seed: int) -> None:
        self._layout, self._faults = layout, faults
        self._rng = random.Random(seed)
        self._conditions: list[LinkCondition] = []
        self.injected: list[InjectedFault] = []

    async def __aenter__(self) -> FaultInjector:
        self._session = aiohttp.ClientSession(trust_env=False)
        return self

    async def __aexit__(self, *_: object) -> None:
        await self._session.close()

    async def run(self) -> None:
        """Inject all faults and return after the last one has ended."""
        started_s = time.monotonic()
        tasks = [asyncio.create_task(self._inject(fault, started_s)) for fault in self._faults]
        try:
            await asyncio.gather(*tasks)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
        path = Path(self._layout.folder) / FAULTS_FILE
        path.write_bytes(b"".join(msgspec.json.encode(injected) + b"\n" for injected in self.injected))

    async def _inject(self, fault: Fault, started_s: float) -> None:
        await _sleep_until(started_s + fault.at_s)
        begin_ms = time.monotonic() * MS_PER_S
        try:
            planned = await self._plan(fault)
        except LocalFleetError as error:
            self.injected.append(InjectedFault(fault.what, fault.nodes, begin_ms, begin_ms, str(error)))
            return
        begin_ms = time.monotonic() * MS_PER_S
        await self._begin(planned)
        await _sleep_until(started_s + planned.end_s)
        await self._end(planned)
        end_ms = time.monotonic() * MS_PER_S
        self.injected.append(InjectedFault(planned.what, planned.nodes, begin_ms, end_ms))

    async def _plan(self, fault: Fault) -> PlannedFault:
        names = [node.name for node in self._layout.nodes]
        primary = await self._primary() if PRIMARY in (*fault.nodes, *fault.between) else ""
        return plan_fault(fault, names, primary, self._rng)

    async def _primary(self) -> str:
        addresses = [node.status for node in self._layout.of_kind(NodeKind.CONTROL_PLANE)]
        deadline_s = time.monotonic() + PRIMARY_TIMEOUT_S
        while time.monotonic() < deadline_s:
            if primary := primary_of(await read_status(addresses)):
                return primary
            await asyncio.sleep(PRIMARY_POLL_INTERVAL_S)
        return ""

    async def _begin(self, planned: PlannedFault) -> None:
        if planned.actions is not None:
            await self._act_on_nodes(planned.nodes, planned.actions[0])
        elif planned.condition is not None:
            self._conditions.append(planned.condition)
            await self._set_links()

    async def _end(self, planned: PlannedFault) -> None:
        if planned.actions is not None:
            await self._act_on_nodes(planned.nodes, planned.actions[1])
        elif planned.condition is not None:
            self._conditions.remove(planned.condition)
            await self._set_links()

    async def _act_on_nodes(self, nodes: Sequence[str], action: Action) -> None:
        await asyncio.gather(*(self._post(f"/nodes/{node}/{action.value}", b"") for node in nodes))

    async def _set_links(self) -> None:
        await self._post("/links", msgspec.json.encode(self._conditions))

    async def _post(self, path: str, body: bytes) -> None:
        url = f"http://{self._layout.supervisor}{path}"
        try:
            async with self._session.post(url, data=body) as answer:
                if answer.status != 200:
                    raise LocalFleetError(f"{path}: {answer.status} {await answer.text()}")
        except (aiohttp.ClientError, OSError) as error:
            raise LocalFleetError(f"the fleet's supervisor does not answer: {error}") from None


def read_faults(folder: Path) -> list[InjectedFault]:
    """Read the faults injected by the last run; empty if there is no record."""
    path = folder / FAULTS_FILE
    if not path.exists():
        return []
    decoder = msgspec.json.Decoder(InjectedFault)
    return [decoder.decode(line) for line in path.read_bytes().splitlines()]


async def _sleep_until(at_s: float) -> None:
    await asyncio.sleep(max(0.0, at_s - time.monotonic()))
