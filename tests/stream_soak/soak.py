"""One run of the soak, and its report."""

from __future__ import annotations

import asyncio
import json
import random
import tempfile
from collections import Counter
from collections.abc import Iterator
from pathlib import Path

import msgspec

from tests.stream_soak.clients import SoakClient, is_served
from tests.stream_soak.fleet import KINDS, SoakFleet
from tests.stream_soak.plan import PLANS, Action
from tests.stream_soak.runs import Received, RunLog, violations
from tests.stream_soak.upstreams import Breaks

ROOT = Path(__file__).parents[2]
# The log lines and counters that tell what became of requests.
REPORTED_EVENTS = ("retried", "stream_resumed", "failed", "stream_broken_off")
REPORTED_PREFIXES = ("attempt_", "head_", "complete", "client_gone", "refused", "rejected_", *REPORTED_EVENTS)


class SoakSettings(msgspec.Struct, frozen=True):
    """What one run does, but for its seed. `keep` is where the logs of each run are kept, if anywhere."""

    plan: str = "mixed"
    seconds: float = 30.0
    data_planes: int = 9
    clients: int = 30
    breaks: Breaks = Breaks()
    checkout: Path = ROOT
    keep: Path | None = None


class SoakResult(msgspec.Struct):
    """What one run showed: the broken rules with their requests and log lines, and the figures."""

    seed: int
    processes: int
    broken: list[tuple[Received, str]]
    served: int
    requests: int
    runs: int
    counters: Counter[str]
    unexpected_exits: list[str]
    trace: list[str]

    def summary(self) -> str:
        """One line."""
        counters = {n: c for n, c in sorted(self.counters.items()) if n.startswith(REPORTED_PREFIXES)}
        return (
            f"seed {self.seed}: {self.processes} processes, {self.requests} requests, {self.served} served,"
            f" {self.runs} runs, {len(self.broken)} broken rules, ended by themselves"
            f" {self.unexpected_exits or 'none'}; {counters}"
        )

    def details(self) -> Iterator[str]:
        """A line for each broken rule, and the log lines about it."""
        for received, text in self.broken:
            yield f"  {received.kind.name} {received.request_id} at {received.node}: {text}"
        yield from self.trace


async def run_soak(seed: int, settings: SoakSettings) -> SoakResult:
    """Run the soak once."""
    if settings.keep is not None:
        folder = settings.keep / f"seed-{seed}"
        folder.mkdir(parents=True)
        return await _run(seed, settings, folder)
    with tempfile.TemporaryDirectory(prefix="stream-soak-") as temporary:
        return await _run(seed, settings, Path(temporary))


async def _run(seed: int, settings: SoakSettings, folder: Path) -> SoakResult:
    actions = PLANS[settings.plan](random.Random(seed), settings.seconds)
    fleet = SoakFleet(folder, settings.checkout, settings.data_planes, settings.breaks, seed)
    clients = [SoakClient(fleet.fronts, KINDS, seed * 1000 + number) for number in range(settings.clients)]
    async with fleet:
        tasks = [asyncio.create_task(client.run()) for client in clients]
        await asyncio.gather(_play(fleet, actions), asyncio.sleep(settings.seconds))
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await fleet.terminate_data_planes()
    received = [each for client in clients for each in client.received]
    broken = list(broken_rules(received, fleet.log))
    return SoakResult(
        seed=seed,
        processes=fleet.process_count,
        broken=broken,
        served=sum(is_served(each) for each in received),
        requests=len(received),
        runs=fleet.log.count,
        counters=fleet.counters(),
        unexpected_exits=fleet.unexpected_exits,
        trace=[*_run_lines(fleet.log, broken), *_log_lines(fleet, broken)],
    )


def _run_lines(log: RunLog, broken: list[tuple[Received, str]]) -> Iterator[str]:
    """The runs of each request that broke a rule, and how their responses ended."""
    for received, _ in broken:
        for run in log.of(received.request_id):
            yield f"  run {run.number} of {run.request_id} at {run.instance} after {run.after}: {run.ending}"


def _log_lines(fleet: SoakFleet, broken: list[tuple[Received, str]]) -> Iterator[str]:
    """The lines that name a request that broke a rule, and the counters of its data plane."""
    requests = {received.request_id for received, _ in broken}
    for node in sorted({received.node for received, _ in broken}):
        for line in fleet.log_lines(node):
            if line.get("request") in requests or line.get("event") in ("counters", "ended"):
                yield f"  {json.dumps(line)}"


async def _play(fleet: SoakFleet, actions: list[Action]) -> None:
    loop = asyncio.get_running_loop()
    began_s = loop.time()

    async def play(action: Action) -> None:
        await asyncio.sleep(max(0.0, began_s + action.at_s - loop.time()))
        await fleet.act(action)

    await asyncio.gather(*(play(action) for action in actions))


def broken_rules(received: list[Received], log: RunLog) -> Iterator[tuple[Received, str]]:
    """Each rule that a response breaks."""
    for each in received:
        for text in violations(each, log):
            yield each, text
