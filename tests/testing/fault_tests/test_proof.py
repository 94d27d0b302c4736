"""Tests of the judge: it detects a deliberately broken program for each rule and each bound, and accepts the
correct program. All of them run as processes."""

from __future__ import annotations

import sys
from collections.abc import Iterator
from concurrent.futures import Future, ThreadPoolExecutor
from pathlib import Path

import pytest

from madderwind.testing.fault_tests.fleet import Program
from madderwind.testing.fault_tests.records import DrillRecord, run
from madderwind.testing.fault_tests.scenario import read_scenario

ROOT = Path(__file__).parents[3]
SCENARIO = read_scenario(ROOT / "drills" / "short-proof.yaml")
# The violations by which each broken program is detected: rules by number, bounds by name. There may be
# others.
DETECTED_BY: dict[str, set[int | str]] = {
    "cuts-off": {1, "lost"},
    "answers-late": {1},
    "makes-up": {1},
    "answers-twice": {1},
    "resends": {2},
    "sends-to-drained": {3},
    "pushes-cold-over": {4, "cold load"},
    "ends": {0},
    "refuses": {"refused", "served", "in time", "attempts"},
    "fails": {"failed"},
    "slow": {"late", "p99"},
    "learns-nothing": {"dark"},
    "talks": {"words", "bytes"},
    "burns": {"cpu"},
    "hoards": {"memory"},
}


@pytest.fixture(scope="module")
def records(tmp_path_factory: pytest.TempPathFactory) -> Iterator[dict[str, Future[DrillRecord]]]:
    """Several drills run at a time, each on its own addresses."""

    folder = tmp_path_factory.mktemp("proof")

    def play(way: str) -> DrillRecord:
        command = (sys.executable, "-B", str(ROOT / "tests" / "testing" / "fault_tests" / "broken.py"), way)
        return run(SCENARIO, 1, Program(way, command, str(ROOT)), folder / way)

    with ThreadPoolExecutor(max_workers=3) as pool:
        yield {way: pool.submit(play, way) for way in ("sound", *DETECTED_BY)}


def test_correct_program_passes(records: dict[str, Future[DrillRecord]]) -> None:
    record = records["sound"].result()
    assert (record.broken, record.missed) == ([], []), record.figures
    assert {f.figure for f in SCENARIO.figures} >= {
        "served",
        "dark_per_s",
        "cold_load",
        "words_per_s",
        "lost",
    }


@pytest.mark.parametrize("way", DETECTED_BY)
def test_broken_program_is_detected(way: str, records: dict[str, Future[DrillRecord]]) -> None:
    record = records[way].result()
    detected: set[int | str] = {b.rule for b in record.broken} | {m.name for m in record.missed}
    assert detected >= DETECTED_BY[way], (record.figures, record.broken[:3])


def test_every_bound_has_a_broken_program() -> None:
    assert {f.name for f in SCENARIO.figures} == {
        c for by in DETECTED_BY.values() for c in by if isinstance(c, str)
    }
