"""The processes of the soak, and the actions on them."""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
from collections import Counter
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import aiohttp
import msgspec

from madderwind.testing.engine_emulator.upstream_settings import UpstreamSettings
from madderwind.testing.fault_tests.plan import take_net
from madderwind.testing.local_fleet.fleet_file import FleetFile, UpstreamGroup
from madderwind.testing.local_fleet.layout import NodeKind, NodeLayout, build_layout
from madderwind.testing.local_fleet.node_process import NodeProcess, NodeState
from madderwind.testing.local_fleet.operator_client import OperatorClient
from madderwind.testing.local_fleet.operator_load import OperatorLoad
from tests.stream_soak.clients import CLIENT_HOST
from tests.stream_soak.plan import Action, What
from tests.stream_soak.runs import RequestKind, RunLog
from tests.stream_soak.upstreams import Breaks, ScriptedUpstream

MODEL_SERVICE, PLAIN_SERVICE = "madder-pool", "claims-app"
MODEL_UPSTREAMS, PLAIN_UPSTREAMS = 12, 3
# The kinds of requests of the deployment on which incident 71 was seen.
KINDS = (
    RequestKind("audit-digest", "streaming", MODEL_SERVICE, 14.1, mean_events=30),
    RequestKind("policy-check", "streaming", MODEL_SERVICE, 11.4, 13, is_resumable=True, max_attempts=2),
    RequestKind("receipt-read", "streaming", MODEL_SERVICE, 15.8, mean_events=43),
    RequestKind("claim-status", "unsafe", PLAIN_SERVICE, 10.3),
)
BOUNDS = {"retry_slack": 58, "retry_budget_ratio": 0.2, "budget_window_s": 10, "grace_s": 8, "drain_ms": 2000}
START_TIMEOUT_S, POLL_S = 40.0, 0.05
DRAIN_S = 0.7


class SoakFleet:
    """Control planes and data planes of a checkout, upstreams in this process; an async context manager."""

    def __init__(self, folder: Path, checkout: Path, data_planes: int, breaks: Breaks, seed: int) -> None:
        self.folder, self._breaks, self._rng = folder, breaks, random.Random(seed)
        self.log = RunLog()
        self._fleet = _fleet_file(data_planes)
        net, self._lock = take_net(random.Random())
        self.layout = build_layout(self._fleet, folder / "fleet.yaml", folder, net)
        self._controls = self._processes(NodeKind.CONTROL_PLANE, checkout)
        self._data_planes = self._processes(NodeKind.DATA_PLANE, checkout)
        self._upstreams: list[ScriptedUpstream | None] = []
        self._upstream_settings = [
            msgspec.convert(node.settings, UpstreamSettings) for node in self._nodes(NodeKind.UPSTREAM)
        ]
        self._operator = OperatorLoad(self.layout, 0.0)

    @property
    def fronts(self) -> list[tuple[str, str]]:
        """The name and the address of each data plane."""
        return [(node.name, node.front) for node in self._nodes(NodeKind.DATA_PLANE)]

    @property
    def process_count(self) -> int:
        """The number of processes of the programs."""
        return len(self._controls) + len(self._data_planes)

    @property
    def unexpected_exits(self) -> list[str]:
        """The processes that ended by themselves."""
        return [p.layout.name for p in (*self._controls, *self._data_planes) if p.unexpected_exits]

    async def __aenter__(self) -> SoakFleet:
        try:
            await self._start()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def __aexit__(self, *_: object) -> None:
        await asyncio.gather(*(process.force_stop() for process in (*self._controls, *self._data_planes)))
        await asyncio.gather(*(upstream.crash() for upstream in self._upstreams if upstream is not None))
        self._lock.close()

    async def _start(self) -> None:
        await asyncio.gather(*(process.start() for process in (*self._controls, *self._data_planes)))
        async with OperatorClient(self.layout.control, START_TIMEOUT_S) as client:
            answer = await client.replace(0, self._fleet.document().raw)
        assert answer.is_taken, answer
        for number in range(len(self._upstream_settings)):
            self._upstreams.append(None)
            await self._start_upstream(number)
        async with asyncio.timeout(START_TIMEOUT_S), aiohttp.ClientSession() as session:
            for process in self._data_planes:
                while not await _is_ready(session, process.layout.ready):
                    await asyncio.sleep(POLL_S)
        await asyncio.sleep(2 * self._fleet.heartbeat_ms / 1000)

    async def act(self, action: Action) -> None:
        """Carry out an action and what ends it."""
        match action.what:
            case What.UPSTREAM_CRASHES | What.UPSTREAM_LEAVES:
                await self._end_upstream(action)
            case What.CONFIGURATION_CHANGED:
                async with OperatorClient(self.layout.control) as client:
                    await self._operator._change(client)
            case What.CONTROL_PLANE_KILLED | What.CONTROL_PLANE_PAUSED:
                if all(process.state is NodeState.RUNNING for process in self._controls):
                    await _disturb(self._controls[action.target % len(self._controls)], action)
            case _:
                running = [process for process in self._data_planes if process.state is NodeState.RUNNING]
                if len(running) > 1:
                    await _disturb(running[action.target % len(running)], action)

    async def _end_upstream(self, action: Action) -> None:
        number = action.target % MODEL_UPSTREAMS
        upstream = self._upstreams[number]
        if upstream is None:
            return
        self._upstreams[number] = None
        if action.what is What.UPSTREAM_LEAVES:
            await upstream.leave(DRAIN_S)
        else:
            await upstream.crash()
        await asyncio.sleep(action.for_s)
        await self._start_upstream(number)

    async def _start_upstream(self, number: int) -> None:
        rng = random.Random(self._rng.random())
        upstream = ScriptedUpstream(self._upstream_settings[number], self._breaks, self.log, rng)
        self._upstreams[number] = upstream
        await upstream.start()

    async def terminate_data_planes(self) -> None:
        """End the data planes as planned, so that each logs its last counters."""
        for process in self._data_planes:
            await process.terminate()
        await asyncio.gather(*(process.wait_exited() for process in self._data_planes))

    def log_lines(self, node: str) -> list[dict[str, Any]]:
        """The log lines of a data plane."""
        path = next(n.log_path for n in self.layout.nodes if n.name == node)
        lines = []
        for line in path.read_text(errors="replace").splitlines():
            with contextlib.suppress(ValueError):
                lines.append(json.loads(line))
        return lines

    def counters(self) -> Counter[str]:
        """The last counters that each data plane process logged, summed; fewer of one that was killed."""
        totals: Counter[str] = Counter()
        for node, _ in self.fronts:
            for last in _last_counters(self.log_lines(node)):
                totals.update({name: count for name, count in last.items() if isinstance(count, int)})
        return totals

    def _nodes(self, kind: NodeKind) -> Sequence[NodeLayout]:
        return self.layout.of_kind(kind)

    def _processes(self, kind: NodeKind, checkout: Path) -> list[NodeProcess]:
        return [NodeProcess(node, lambda event: None, checkout) for node in self._nodes(kind)]


def _last_counters(lines: Sequence[dict[str, Any]]) -> list[dict[str, Any]]:
    """The last line with counters of each process of a node."""
    last_lines: list[dict[str, Any]] = []
    for line in lines:
        if line.get("event") == "started":
            last_lines.append({})
        elif line.get("event") in ("counters", "ended") and last_lines:
            last_lines[-1] = line
    return last_lines


async def _disturb(process: NodeProcess, action: Action) -> None:
    match action.what:
        case What.DATA_PLANE_PAUSED | What.CONTROL_PLANE_PAUSED:
            process.pause()
            await asyncio.sleep(action.for_s)
            process.resume()
        case What.DATA_PLANE_TERMINATED:
            await process.terminate()
            await process.wait_exited()
            await process.start()
        case _:
            await process.kill()
            await asyncio.sleep(action.for_s)
            await process.start()


async def _is_ready(session: aiohttp.ClientSession, address: str) -> bool:
    with contextlib.suppress(aiohttp.ClientError, OSError, TimeoutError):
        async with session.get(f"http://{address}/ready") as response:
            return response.status == 200
    return False


def _fleet_file(data_planes: int) -> FleetFile:
    routes = [
        {
            "name": kind.name,
            "host": CLIENT_HOST,
            "path_prefix": f"/{kind.name}/",
            "route_type": kind.route_type,
            "timeout_ms": 6000,
            "target_latency_ms": 800,
            "priority": 1,
            "service": kind.service,
            "max_attempts": kind.max_attempts,
            "public": True,
            "sticky": kind.mean_events > 0,
            "resumable": kind.is_resumable,
        }
        for kind in KINDS
    ]
    services = [
        {"name": name, "health_path": "/health", "max_connections": 370}
        for name in (MODEL_SERVICE, PLAIN_SERVICE)
    ]
    configuration = {"version": 1, "routes": routes, "services": services}
    plain = {"slots": 64}
    upstreams = (
        UpstreamGroup(MODEL_SERVICE, MODEL_UPSTREAMS, plain=plain, max_connections=370),
        UpstreamGroup(PLAIN_SERVICE, PLAIN_UPSTREAMS, plain=plain, max_connections=110),
    )
    return FleetFile(
        "soak",
        configuration,
        upstreams,
        data_planes=data_planes,
        heartbeat_ms=1200.0,
        relays=False,
        bounds=BOUNDS,
    )
