"""Runs drills one after another and writes their records: one file per run, written atomically."""

from __future__ import annotations

import asyncio
import shutil
import time
from collections.abc import Iterator, Sequence
from pathlib import Path
from typing import Any

import msgspec

from madderwind.testing.fault_tests.conduct import run_drill
from madderwind.testing.fault_tests.figures import Measured, Missed, Second
from madderwind.testing.fault_tests.fleet import Program
from madderwind.testing.fault_tests.judge import judge
from madderwind.testing.fault_tests.plan import Plan
from madderwind.testing.fault_tests.scenario import Scenario
from madderwind.testing.fault_tests.traces import Traces
from madderwind.testing.simulation.experiment import variant_of, variants
from madderwind.testing.simulation.records import write_record
from madderwind.testing.simulation.rules import Break


class Mark(msgspec.Struct, frozen=True):
    """An occurrence of a fault, for plots."""

    text: str
    begin_s: float
    end_s: float


class DrillRecord(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The result of one drill. `schedule` is the digest of the drawn schedule, the same for the same seed."""

    scenario: str
    chosen: dict[str, Any]
    program: str
    seed: int
    schedule: str
    asked: int
    figures: dict[str, float]
    missed: list[Missed]
    broken: list[Break]
    seconds: list[Second]
    marks: list[Mark]
    times: str  # latencies of the served requests: an HdrHistogram in microseconds, in its own encoding
    lag_p99_ms: float  # sending delay of the rig's own clients
    foreign: int
    took_s: float

    @property
    def held(self) -> bool:
        return not self.missed and not self.broken


def record_of(plan: Plan, seen: Traces, chosen: dict[str, Any], program: str, began_s: float) -> DrillRecord:
    measured = Measured(plan, seen)
    figures, missed = measured.all()
    scenario = plan.scenario
    return DrillRecord(
        scenario=scenario.name,
        chosen=chosen,
        program=program,
        seed=plan.schedule.seed,
        schedule=plan.schedule.digest(),
        asked=len(measured.asked),
        figures=figures,
        missed=missed,
        broken=judge(plan, seen),
        seconds=measured.seconds(),
        marks=[
            Mark(
                scenario.faults[t.fault].name or getattr(scenario.faults[t.fault], "kind", "fault"),
                t.begin_ms / 1000,
                t.end_ms / 1000,
            )
            for t in plan.schedule.turns
        ],
        times=measured.histogram(measured.asked).encode().decode(),
        lag_p99_ms=measured.lag_ms(),
        foreign=seen.foreign,
        took_s=round(time.monotonic() - began_s, 1),
    )


def run(
    scenario: Scenario, seed: int, program: Program, folder: Path, chosen: dict[str, Any] | None = None
) -> DrillRecord:
    """Run one drill and judge it; logs and traces stay in the folder."""
    began_s = time.monotonic()
    plan, seen = asyncio.run(run_drill(scenario, seed, program, folder))
    return record_of(plan, seen, chosen or {}, program.name, began_s)


def run_all(
    scenario: Scenario, programs: Sequence[Program], out: Path, seeds: Sequence[int]
) -> Iterator[DrillRecord]:
    """Run every variant, seed and program that has no record yet. The programs run in turn under one seed, so
    that changing load on the machine affects all of them alike."""
    for number, (chosen, _) in enumerate(variants(scenario)):
        for seed in seeds:
            for program in programs:
                folder = out / program.name
                path = folder / f"{number:03d}-{seed}.json"
                if path.exists():
                    continue
                trace_folder = folder / f"traces-{number:03d}-{seed}"
                if trace_folder.exists():
                    shutil.rmtree(trace_folder)  # of an interrupted run
                record = run(variant_of(scenario, chosen), seed, program, trace_folder, chosen)
                write_record(path, record)
                yield record
