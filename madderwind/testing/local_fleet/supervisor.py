"""Starts all processes of a fleet, keeps them running, and serves requests to act on them."""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
from collections.abc import Awaitable, Callable
from pathlib import Path

import aiohttp
import msgspec
from aiohttp import web

from madderwind.errors import LocalFleetError
from madderwind.testing.fault_tests.plan import take_net
from madderwind.testing.local_fleet.fleet_file import FleetFile
from madderwind.testing.local_fleet.layout import STATE_FILE, FleetLayout, NodeKind, build_layout
from madderwind.testing.local_fleet.node_process import NodeProcess, ProcessEvent
from madderwind.testing.local_fleet.relays import FleetRelays, LinkCondition

PROCESS_EVENTS_FILE = "lives.jsonl"
# Time for a process to start and become ready; a busy machine starts many processes at once.
START_TIMEOUT_S = 60.0
POLL_INTERVAL_S = 0.05
# A process that exits this often before it is up is considered unable to start.
MAX_FAILED_STARTS = 3
ACTIONS = ("start", "kill", "term", "pause", "resume", "wipe", "fill_disk", "free_disk")


class Supervisor:
    """One fleet and its processes. Use as an async context manager, which starts and ends all of them."""

    def __init__(self, fleet: FleetFile, file: Path, folder: Path) -> None:
        self._fleet = fleet
        net, self._lock = _reserve_loopback_network()
        self.layout: FleetLayout = build_layout(fleet, file, folder, net)
        self._folder = folder
        self._nodes = {node.name: NodeProcess(node, self._record_event) for node in self.layout.nodes}
        self._runner: web.AppRunner | None = None

    async def __aenter__(self) -> Supervisor:
        self._folder.mkdir(parents=True, exist_ok=True)
        self._relays = FleetRelays(self.layout.relays, self._pids)
        self._relays.listen()
        await self._serve()
        (self._folder / STATE_FILE).write_bytes(msgspec.json.encode(self.layout))
        for node in self._nodes.values():
            node.write_settings()
        await asyncio.gather(*(node.start() for node in self._nodes.values()))
        return self

    async def __aexit__(self, *_: object) -> None:
        (self._folder / STATE_FILE).unlink(missing_ok=True)
        await asyncio.gather(*(node.force_stop() for node in self._nodes.values()))
        await self._relays.end()
        if self._runner is not None:
            await self._runner.cleanup()
        self._lock.close()

    async def wait_until_control_answers(self) -> None:
        """Wait until every control plane accepts connections; LocalFleetError if one does not."""
        for node in self.layout.of_kind(NodeKind.CONTROL_PLANE):
            await self._wait_until(node.name, lambda address=node.status: _listens(address))  # type: ignore[misc]

    async def wait_until_ready(self) -> None:
        """Wait until all data planes are ready; LocalFleetError if one is not."""
        async with aiohttp.ClientSession() as session:
            for node in self.layout.of_kind(NodeKind.DATA_PLANE):
                url = f"http://{node.ready}/ready"
                await self._wait_until(node.name, lambda url=url: _answers_200(session, url))  # type: ignore[misc]

    async def _wait_until(self, name: str, condition: Callable[[], Awaitable[bool]]) -> None:
        try:
            async with asyncio.timeout(START_TIMEOUT_S):
                while not await condition():
                    if self._nodes[name].unexpected_exits >= MAX_FAILED_STARTS:
                        raise LocalFleetError(f"{name} does not start: {self._nodes[name].log_tail()}")
                    await asyncio.sleep(POLL_INTERVAL_S)
        except TimeoutError:
            tail = self._nodes[name].log_tail()
            raise LocalFleetError(f"{name} did not come up within {START_TIMEOUT_S:g} s: {tail}") from None

    def _pids(self) -> dict[str, int]:
        return {name: node.pid for name, node in self._nodes.items() if node.pid}

    def _record_event(self, event: ProcessEvent) -> None:
        with (self._folder / PROCESS_EVENTS_FILE).open("ab") as file:
            file.write(msgspec.json.encode(event) + b"\n")

    async def _serve(self) -> None:
        application = web.Application()
        application.router.add_post("/nodes/{name}/{action}", self._act)
        application.router.add_post("/links", self._set_links)
        application.router.add_get("/nodes", self._list_nodes)
        self._runner = web.AppRunner(application, access_log=None, handle_signals=False, shutdown_timeout=0.2)
        await self._runner.setup()
        ip, _, port = self.layout.supervisor.rpartition(":")
        await web.TCPSite(self._runner, ip, int(port), reuse_address=True).start()

    async def _act(self, request: web.Request) -> web.Response:
        node = self._nodes.get(request.match_info["name"])
        action = request.match_info["action"]
        if node is None or action not in ACTIONS:
            raise web.HTTPNotFound
        match action:
            case "start":
                await node.wait_exited_if_stopping()
                await node.start()
            case "kill":
                await node.kill()
            case "term":
                await node.terminate()
            case "pause":
                node.pause()
            case "resume":
                node.resume()
            case "wipe":
                await node.wipe()
            case "fill_disk":
                node.refuse_writes(True)
            case "free_disk":
                node.refuse_writes(False)
        return web.Response()

    async def _set_links(self, request: web.Request) -> web.Response:
        conditions = msgspec.json.decode(await request.read(), type=tuple[LinkCondition, ...])
        if conditions and not self._fleet.relays:
            raise web.HTTPConflict(text="this fleet runs without relays")
        self._relays.set_conditions(conditions)
        return web.Response()

    async def _list_nodes(self, _: web.Request) -> web.Response:
        states = {name: {"state": node.state.value, "pid": node.pid} for name, node in self._nodes.items()}
        return web.Response(body=msgspec.json.encode(states), content_type="application/json")


def _reserve_loopback_network() -> tuple[int, socket.socket]:
    try:
        return take_net(random.Random())
    except OSError as error:
        raise LocalFleetError(str(error)) from None


async def _listens(address: str) -> bool:
    ip, _, port = address.rpartition(":")
    with contextlib.suppress(OSError):
        _, writer = await asyncio.open_connection(ip, int(port))
        writer.close()
        return True
    return False


async def _answers_200(session: aiohttp.ClientSession, url: str) -> bool:
    try:
        async with session.get(url, timeout=aiohttp.ClientTimeout(total=1.0)) as answer:
            return answer.status == 200
    except (aiohttp.ClientError, OSError, TimeoutError):
        return False
