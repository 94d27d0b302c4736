"""Plays one round: a data plane as a process, among a control plane, upstreams and clients of the drill."""

from __future__ import annotations

import asyncio
import itertools
import os
import signal
import socket
import sys
import tempfile
from collections.abc import Iterator
from contextlib import AsyncExitStack, ExitStack, contextmanager
from pathlib import Path
from typing import Any

import attrs
import msgspec

from madderwind.messages.distribution import UpstreamRecord
from tests.dataplane.fleet import ControlPlane, document, record, settings
from tests.examples import HOST
from tests.shutdown_drill.clients import PlannedClient
from tests.shutdown_drill.judge import Round
from tests.shutdown_drill.plans import LONG_BODY_BYTES, RequestPlan, draw_round
from tests.shutdown_drill.upstreams import PlannedUpstreams
from tests.standins import Upstream

ROOT = Path(__file__).parents[2]
UPSTREAMS = 3
# More than a backlog of 0 takes.
BACKLOG_FILLERS = 3
START_TIMEOUT_S = 20.0
# Retries that wait longer than some grace periods.
PATIENT_TARGET_MS = 30_000


async def play_round(seed: int, clients: int, checkout: Path = ROOT) -> Round:
    """Play the round of a seed with the programs of a checkout."""
    plan = draw_round(seed, clients)
    request_plans: dict[str, RequestPlan] = {}
    behaviour = PlannedUpstreams(request_plans)
    loop = asyncio.get_running_loop()
    async with AsyncExitStack() as stack:
        process, port = await _start(stack, behaviour, plan.grace_s, checkout)
        numbers = itertools.count()
        played = [PlannedClient(port, request_plans, numbers) for _ in plan.clients]
        tasks = [
            asyncio.create_task(client.run(requests))
            for client, requests in zip(played, plan.clients, strict=True)
        ]
        await asyncio.sleep(plan.signal_s)
        signal_s = loop.time()
        process.terminate()
        code = await exit_code(process, plan.grace_s)
        exit_s = loop.time()
        await asyncio.gather(*tasks)
        behaviour.close()
        await asyncio.sleep(0)  # the upstreams' tasks end
    return Round(
        seed=seed,
        grace_s=plan.grace_s,
        signal_s=signal_s,
        exit_s=exit_s,
        exit_code=code,
        sent=[sent for client in played for sent in client.sent],
        arrivals=behaviour.arrivals,
        runs=behaviour.runs,
    )


async def _start(
    stack: AsyncExitStack, behaviour: PlannedUpstreams, grace_s: float, checkout: Path
) -> tuple[asyncio.subprocess.Process, int]:
    """Start everything; the process, and the port of its listener."""
    control = ControlPlane(_document())
    for number in range(UPSTREAMS):
        upstream = Upstream(behaviour.behave)
        await stack.enter_async_context(upstream)
        control.records[f"i-{number}"] = record(upstream, f"i-{number}")
    dark = stack.enter_context(unreachable_port())
    control.records["i-dark"] = UpstreamRecord(
        "i-dark", "app", f"{HOST}:{dark}", "z1", "v1", 8, "ready", 1, 0.0, 0.0
    )
    control_port = await control.start()
    stack.push_async_callback(control.close)
    path = Path(stack.enter_context(tempfile.TemporaryDirectory())) / "node.json"
    path.write_bytes(msgspec.json.encode(_settings(control_port, grace_s)))
    process = await start_program("madderwind.dataplane", path, checkout)
    stack.push_async_callback(kill, process)
    return process, await _port_once_ready(process)


async def start_program(
    module: str, settings_path: Path, checkout: Path = ROOT, output: int = asyncio.subprocess.PIPE
) -> asyncio.subprocess.Process:
    """Start a program of a checkout with a settings file."""
    variables = {"MADDERWIND_CONFIG": str(settings_path), "PYTHONPATH": str(checkout)}
    return await asyncio.create_subprocess_exec(
        sys.executable, "-m", module, cwd=checkout, env={**os.environ, **variables}, stdout=output
    )


@contextmanager
def unreachable_port() -> Iterator[int]:
    """A port at which connections are dialled for ever: its backlog is full, and nobody accepts."""
    with ExitStack() as stack:
        listening = stack.enter_context(socket.create_server((HOST, 0), backlog=0))
        port = int(listening.getsockname()[1])
        for _ in range(BACKLOG_FILLERS):
            filler = stack.enter_context(socket.socket())
            filler.setblocking(False)
            filler.connect_ex((HOST, port))
        yield port


async def exit_code(process: asyncio.subprocess.Process, grace_s: float) -> int:
    """Wait for the end of the process, which is killed after its grace period, as the platform does."""
    try:
        async with asyncio.timeout(grace_s):
            return await process.wait()
    except TimeoutError:
        await kill(process)
        return -signal.SIGKILL


async def kill(process: asyncio.subprocess.Process) -> None:
    """End a process that still runs."""
    if process.returncode is None:
        process.kill()
        await process.wait()


async def _port_once_ready(process: asyncio.subprocess.Process) -> int:
    assert process.stdout is not None
    port = 0
    async with asyncio.timeout(START_TIMEOUT_S):
        while line := await process.stdout.readline():
            logged: dict[str, Any] = msgspec.json.decode(line)
            port = int(logged.get("front", port))
            if logged["event"] == "configuration_in_force":
                return port
    raise RuntimeError("the data plane ended before it was ready")


def _document() -> dict[str, Any]:
    base = document()
    patient = {**base["routes"][1], "name": "patient", "path_prefix": "/patient/"}
    patient |= {"target_latency_ms": PATIENT_TARGET_MS, "timeout_ms": PATIENT_TARGET_MS, "max_attempts": 4}
    limits = {**base["limits"], "max_body_bytes": 2 * LONG_BODY_BYTES}
    return {**base, "routes": [*base["routes"], patient], "limits": limits}


def _settings(control_port: int, grace_s: float) -> dict[str, Any]:
    bounds = {"retry_slack": 1000, "retry_budget_ratio": 1.0, "quota_slack": 0, "grace_s": grace_s}
    raw = attrs.asdict(settings(control_port, bounds=bounds))
    raw["internal_ports"] = list(raw["internal_ports"])
    raw["listen"] = {"front": f"{HOST}:0", "ready": f"{HOST}:0"}
    return raw
