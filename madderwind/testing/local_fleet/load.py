"""Sends the traffic of a fleet file to a running fleet in an open loop: no request waits for another."""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Sequence
from pathlib import Path

import aiohttp

from madderwind.errors import LocalFleetError
from madderwind.testing.local_fleet.fleet_file import FleetFile
from madderwind.testing.local_fleet.ingress import DataPlaneEndpoint, Ingress
from madderwind.testing.local_fleet.layout import FleetLayout, NodeKind, NodeLayout
from madderwind.testing.local_fleet.load_client import MS_PER_S, LoadClient, now_ms
from madderwind.testing.local_fleet.outcomes import OUTCOMES_FILE, Outcome, write_outcomes
from madderwind.testing.local_fleet.traffic import PlannedRequest, draw_requests
from madderwind.testing.local_fleet.traffic_file import Traffic

PROBE_INTERVAL_S, PROBE_TIMEOUT_S = 0.5, 0.5
START_DELAY_S = 0.3


class Load:
    """One run of a fleet's traffic."""

    def __init__(self, fleet: FleetFile, layout: FleetLayout, traffic: Traffic) -> None:
        self._traffic = traffic
        document = fleet.document()
        self._table = document.routing
        self._api_keys = {tenant.name: tenant.api_keys[0] for tenant in document.tenants if tenant.api_keys}
        self._kinds = {kind.name: kind for kind in traffic.kinds}
        self._data_planes = layout.of_kind(NodeKind.DATA_PLANE)
        self._ingress = Ingress(
            [DataPlaneEndpoint(node.name, node.zone, node.front) for node in self._data_planes]
        )
        self._zones = sorted({node.zone for node in self._data_planes})
        self.outcomes: list[Outcome] = []

    async def run(self) -> list[Outcome]:
        """Send all requests and return their outcomes."""
        requests = draw_requests(self._traffic, secrets.token_hex(4))
        clients = [
            LoadClient(
                f"client-{number}", self._zones[number % len(self._zones)], self._ingress, self._api_key_of
            )
            for number in range(self._traffic.clients)
        ]
        probe_tasks = [asyncio.create_task(self._probe_readiness(node)) for node in self._data_planes]
        try:
            await self._send_all(requests, clients)
        finally:
            for task in probe_tasks:
                task.cancel()
            await asyncio.gather(*probe_tasks, return_exceptions=True)
            await asyncio.gather(*(client.close() for client in clients))
        return self.outcomes

    def _api_key_of(self, tenant: str) -> str:
        return self._api_keys.get(tenant, "")

    async def _send_all(self, requests: Sequence[PlannedRequest], clients: Sequence[LoadClient]) -> None:
        started_ms = now_ms() + START_DELAY_S * MS_PER_S
        async with asyncio.TaskGroup() as group:
            for request in requests:
                at_ms = started_ms + request.at_ms
                await asyncio.sleep(max(0.0, (at_ms - now_ms()) / MS_PER_S))
                group.create_task(self._send_request(clients[request.client], request, at_ms))

    async def _send_request(self, client: LoadClient, request: PlannedRequest, at_ms: float) -> None:
        kind = self._kinds[request.kind]
        route = self._table.match(kind.host, kind.path)
        self.outcomes.append(await client.make(request, kind, route, at_ms))

    async def _probe_readiness(self, node: NodeLayout) -> None:
        """Probe the readiness of a data plane periodically, as the platform does."""
        timeout = aiohttp.ClientTimeout(total=PROBE_TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                try:
                    async with session.get(f"http://{node.ready}/ready") as answer:
                        is_ready = answer.status == 200
                except (aiohttp.ClientError, OSError, TimeoutError):
                    is_ready = False
                self._ingress.record_probe(node.name, is_ready)
                await asyncio.sleep(PROBE_INTERVAL_S)


def traffic_of(fleet: FleetFile) -> Traffic:
    """Return the traffic described by a fleet file; LocalFleetError if it has none."""
    if fleet.traffic is None:
        raise LocalFleetError(f"the file of fleet {fleet.name!r} has no traffic")
    return fleet.traffic


async def run_load(fleet: FleetFile, layout: FleetLayout) -> list[Outcome]:
    """Send the fleet's traffic and store the outcomes in the fleet's folder."""
    outcomes = await Load(fleet, layout, traffic_of(fleet)).run()
    write_outcomes(Path(layout.folder) / OUTCOMES_FILE, outcomes)
    return outcomes
