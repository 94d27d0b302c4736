"""Runs an experiment on several cores and stores one record file per run, each written atomically."""

from __future__ import annotations

import os
import time
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from statistics import median, quantiles
from typing import Any, TypeVar

import msgspec

from madderwind.testing.simulation.experiment import Experiment, ExperimentError, variant_of, variants
from madderwind.testing.simulation.rules import Break
from madderwind.testing.simulation.world import SecondResults, World

R = TypeVar("R", bound=msgspec.Struct)


class SecondRecord(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Results of the wishes that were first sent in one second."""

    asked: int
    in_time: int
    late: int
    refused: int
    failed: int


class Record(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The results of one run.

    A wish is one client operation, however often the client retries it. `requests` counts the requests that
    copies received at all tiers, with client retries. `goodput` is the fraction of wishes served in time.
    """

    experiment: str
    chosen: dict[str, Any]
    policy: str
    seed: int
    wishes: int
    in_time: int
    late: int
    refused: int
    failed: int
    requests: int
    tries: int
    handshakes: int
    goodput: float
    p50_ms: float
    p99_ms: float
    seconds: list[SecondRecord]
    broken: list[Break]
    events: int
    took_s: float


def play(experiment: Experiment, chosen: dict[str, Any], policy: str, seed: int) -> Record:
    """Simulates one run. Its result is the same on any machine, except for `took_s`."""
    started_s = time.monotonic()
    world = World(variant_of(experiment, chosen), policy, seed)
    world.run()
    latencies_ms = sorted(t for second in world.seconds for t in second.times_ms)
    totals = {
        name: sum(getattr(s, name) for s in world.seconds)
        for name in ("in_time", "late", "refused", "failed")
    }
    return Record(
        experiment=experiment.name,
        chosen=chosen,
        policy=policy,
        seed=seed,
        wishes=world.wishes,
        requests=world.requests,
        tries=world.tries,
        handshakes=world.handshakes,
        goodput=totals["in_time"] / world.wishes if world.wishes else 0.0,
        p50_ms=median(latencies_ms) if latencies_ms else 0.0,
        p99_ms=quantiles(latencies_ms, n=100)[98] if len(latencies_ms) > 1 else 0.0,
        seconds=[_second_record(second) for second in world.seconds],
        broken=world.checker.broken,
        events=world.timeline.events,
        took_s=round(time.monotonic() - started_s, 3),
        **totals,
    )


def _second_record(second: SecondResults) -> SecondRecord:
    return SecondRecord(second.asked, second.in_time, second.late, second.refused, second.failed)


def runs(experiment: Experiment) -> Iterator[tuple[str, dict[str, Any], str, int]]:
    """Every run of an experiment: its name, the chosen values, the policy and the seed."""
    for number, (chosen, _) in enumerate(variants(experiment)):
        for policy in experiment.policies:
            for seed in range(1, experiment.seeds + 1):
                yield f"{number:03d}-{policy}-{seed}", chosen, policy, seed


def play_all(experiment: Experiment, folder: Path, cores: int) -> Iterator[Record]:
    """Simulates the runs that have no record yet, and writes each record as its run ends."""
    folder.mkdir(parents=True, exist_ok=True)
    with ProcessPoolExecutor(max_workers=cores) as pool:
        futures = {}
        for name, chosen, policy, seed in runs(experiment):
            path = folder / f"{name}.json"
            if not path.exists():
                futures[path] = pool.submit(play, experiment, chosen, policy, seed)
        for path, future in futures.items():
            record = future.result()
            write_record(path, record)
            yield record


def write_record(path: Path, record: msgspec.Struct) -> None:
    """Writes a record atomically, so that an interrupted run leaves no partial record."""
    temporary = path.with_suffix(f".{os.getpid()}")
    temporary.write_bytes(msgspec.json.encode(record) + b"\n")
    temporary.replace(path)


def read_records(folder: Path) -> list[Record]:
    """All records of a folder, by file name. Raises ExperimentError with the file that cannot be read."""
    return read_all(folder, Record)


def read_all(folder: Path, record_type: type[R]) -> list[R]:
    """All records of one type in a folder. Raises ExperimentError if one is unreadable or there are none."""
    records = []
    for path in sorted(folder.glob("*.json")):
        try:
            records.append(msgspec.json.decode(path.read_bytes(), type=record_type))
        except (OSError, msgspec.DecodeError, ValueError) as error:
            raise ExperimentError(f"{path}: {' '.join(str(error).split())}") from None
    if not records:
        raise ExperimentError(f"{folder}: no records")
    return records
