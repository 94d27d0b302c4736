"""Runs of an experiment on several cores, and their records: one file a run, whole or not there."""

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
from madderwind.testing.simulation.world import Second, World

R = TypeVar("R", bound=msgspec.Struct)


class SecondRecord(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    asked: int
    in_time: int
    late: int
    refused: int
    failed: int


class Record(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What one run came to. `goodput` is the part of wishes served in time; a wish is one client's, however
    often it asks."""

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
    """One run. The same on any machine but for the time that it took."""
    began_s = time.monotonic()
    world = World(variant_of(experiment, chosen), policy, seed)
    world.run()
    times_ms = sorted(t for second in world.seconds for t in second.times_ms)
    sums = {
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
        goodput=sums["in_time"] / world.wishes if world.wishes else 0.0,
        p50_ms=median(times_ms) if times_ms else 0.0,
        p99_ms=quantiles(times_ms, n=100)[98] if len(times_ms) > 1 else 0.0,
        seconds=[_of(second) for second in world.seconds],
        broken=world.checker.broken,
        events=world.timeline.events,
        took_s=round(time.monotonic() - began_s, 3),
        **sums,
    )


def _of(second: Second) -> SecondRecord:
    return SecondRecord(second.asked, second.in_time, second.late, second.refused, second.failed)


def runs(experiment: Experiment) -> Iterator[tuple[str, dict[str, Any], str, int]]:
    """Every run of an experiment: its name, what was chosen, policy and seed."""
    for number, (chosen, _) in enumerate(variants(experiment)):
        for policy in experiment.policies:
            for seed in range(1, experiment.seeds + 1):
                yield f"{number:03d}-{policy}-{seed}", chosen, policy, seed


def play_all(experiment: Experiment, folder: Path, cores: int) -> Iterator[Record]:
    """Play what is not recorded yet, and write each record as it comes."""
    folder.mkdir(parents=True, exist_ok=True)
    with ProcessPoolExecutor(max_workers=cores) as pool:
        waits = {}
        for name, chosen, policy, seed in runs(experiment):
            path = folder / f"{name}.json"
            if not path.exists():
                waits[path] = pool.submit(play, experiment, chosen, policy, seed)
        for path, wait in waits.items():
            record = wait.result()
            write_record(path, record)
            yield record


def write_record(path: Path, record: msgspec.Struct) -> None:
    """In one step: a run that was cut short leaves no record that reads as whole."""
    beside = path.with_suffix(f".{os.getpid()}")
    beside.write_bytes(msgspec.json.encode(record) + b"\n")
    beside.replace(path)


def read_records(folder: Path) -> list[Record]:
    """All records of a folder, in order. ExperimentError names the file that cannot be read."""
    return read_all(folder, Record)


def read_all(folder: Path, kind: type[R]) -> list[R]:
    records = []
    for path in sorted(folder.glob("*.json")):
        try:
            records.append(msgspec.json.decode(path.read_bytes(), type=kind))
        except (OSError, msgspec.DecodeError, ValueError) as error:
            raise ExperimentError(f"{path}: {' '.join(str(error).split())}") from None
    if not records:
        raise ExperimentError(f"{folder}: no records")
    return records
