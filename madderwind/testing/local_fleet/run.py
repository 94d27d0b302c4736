"""The steps of the local fleet commands: start, load, fault injection, check and report."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator, Sequence
from pathlib import Path

import msgspec

from madderwind.errors import LocalFleetError
from madderwind.testing.engine_emulator.records import AnyRecord, read_records
from madderwind.testing.local_fleet.baselines import simulate_baselines
from madderwind.testing.local_fleet.cache_figures import cache_figures
from madderwind.testing.local_fleet.checker import CommandSent, ConfigurationRead, Evidence, Violation, check
from madderwind.testing.local_fleet.fault_player import FaultInjector, InjectedFault
from madderwind.testing.local_fleet.fleet_file import FleetFile, read_fleet_file
from madderwind.testing.local_fleet.layout import FleetLayout, read_layout
from madderwind.testing.local_fleet.load import traffic_of
from madderwind.testing.local_fleet.load_figures import all_figures, load_delay
from madderwind.testing.local_fleet.load_process import LoadProcess
from madderwind.testing.local_fleet.node_process import ProcessEvent
from madderwind.testing.local_fleet.operator_client import OperatorClient
from madderwind.testing.local_fleet.operator_load import OperatorLoad, count_acknowledged
from madderwind.testing.local_fleet.outcomes import Outcome
from madderwind.testing.local_fleet.report import RunReport, draw_chart, render_report
from madderwind.testing.local_fleet.supervisor import PROCESS_EVENTS_FILE, Supervisor

PICTURE_FILE, REPORT_FILE = "report.png", "report.txt"
# Time after the last request for the upstreams to write their final records.
RECORD_FLUSH_DELAY_S = 0.3


async def start_fleet(supervisor: Supervisor, fleet: FleetFile) -> None:
    """Wait for the control planes, install the configuration, and wait until the data planes are ready."""
    await supervisor.wait_until_control_answers()
    async with OperatorClient(supervisor.layout.control) as client:
        answer = await client.replace(0, fleet.document().raw)
    if not answer.is_taken:
        raise LocalFleetError(f"the configuration was refused: {answer.status} {answer.body.decode()}")
    await supervisor.wait_until_ready()


def running_fleet(folder: Path) -> tuple[FleetFile, FleetLayout]:
    """Read the file and layout of the fleet running in a folder; LocalFleetError if there is none."""
    try:
        layout = read_layout(folder)
    except (OSError, msgspec.MsgspecError):
        raise LocalFleetError(f"no fleet runs in {folder}: start one with `local up`") from None
    return read_fleet_file(Path(layout.file)), layout


async def load_and_break(
    fleet: FleetFile, layout: FleetLayout
) -> tuple[list[Outcome], list[InjectedFault], OperatorLoad]:
    """Run the load in its own process, together with the file's faults and operator changes."""
    async with LoadProcess(layout) as load:
        fault_task = asyncio.create_task(play_faults(fleet, layout))
        try:
            outcomes = await load.wait()
            injected, operator = await fault_task
        finally:
            fault_task.cancel()
            await asyncio.gather(fault_task, return_exceptions=True)
    return outcomes, injected, operator


async def play_faults(fleet: FleetFile, layout: FleetLayout) -> tuple[list[InjectedFault], OperatorLoad]:
    """Inject the file's faults and send the operator changes, without sending the load."""
    operator = OperatorLoad(layout, fleet.operator.change_every_s)
    async with FaultInjector(layout, fleet.faults, traffic_of(fleet).seed) as injector:
        operator_task = asyncio.create_task(operator.run()) if fleet.operator.change_every_s else None
        try:
            await injector.run()
        finally:
            if operator_task is not None:
                operator_task.cancel()
                await asyncio.gather(operator_task, return_exceptions=True)
    return injector.injected, operator


async def read_back(operator: OperatorLoad) -> list[ConfigurationRead]:
    """Read the newest configuration from each control plane after a short delay."""
    await asyncio.sleep(RECORD_FLUSH_DELAY_S)
    return await operator.read_back()


def check_run(
    fleet: FleetFile,
    layout: FleetLayout,
    outcomes: Sequence[Outcome],
    commands: Sequence[CommandSent],
    reads: Sequence[ConfigurationRead],
) -> list[Violation]:
    """Check the evidence of a run and return the violations."""
    table = fleet.document().routing
    idempotent = set()
    for kind in traffic_of(fleet).kinds:
        route = table.match(kind.host, kind.path)
        if route is not None and (route.route_type == "safe" or route.resumable):
            idempotent.add(kind.name)
    records = list(upstream_records(layout))
    return check(Evidence(outcomes, records, commands, reads, frozenset(idempotent)))


def upstream_records(layout: FleetLayout) -> Iterator[AnyRecord]:
    """Yield the records of all emulated upstreams."""
    for node in layout.nodes:
        if node.records and Path(node.records).exists():
            yield from read_records(Path(node.records))


def make_report(
    fleet: FleetFile,
    layout: FleetLayout,
    outcomes: Sequence[Outcome],
    faults: Sequence[InjectedFault],
    operator: OperatorLoad | None,
    violations: Sequence[Violation] | None,
    with_baselines: bool,
) -> str:
    """Return the report as text; store it in the fleet's folder together with a chart."""
    folder = Path(layout.folder)
    started_ms = min((outcome.at_ms for outcome in outcomes), default=0.0)
    records = [record for record in upstream_records(layout) if record.at_ms >= started_ms]
    requested_tokens = sum(outcome.shared_tokens for outcome in outcomes if outcome.is_served)
    commands = operator.commands if operator is not None else []
    report = RunReport(
        name=layout.name,
        kinds=all_figures(outcomes),
        load_delay=load_delay(outcomes),
        cache=cache_figures(records, requested_tokens, traffic_of(fleet).again_s),
        faults=faults,
        baselines=simulate_baselines(fleet) if with_baselines else [],
        acknowledged_commands=count_acknowledged(commands),
        sent_commands=len(commands),
        own_ends=_count_unexpected_exits(folder),
        violations=violations,
    )
    text = render_report(report)
    (folder / REPORT_FILE).write_text(text)
    if outcomes:
        draw_chart(folder / PICTURE_FILE, outcomes, faults)
    return text


def _count_unexpected_exits(folder: Path) -> int:
    path = folder / PROCESS_EVENTS_FILE
    if not path.exists():
        return 0
    decoder = msgspec.json.Decoder(ProcessEvent)
    events = (decoder.decode(line) for line in path.read_bytes().splitlines())
    return sum(event.what == "ended by itself" for event in events)
