"""The judge is proven: one program broken on purpose for each rule and each bound is caught, and the sound
program is not. All of it on processes."""

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
# What each broken program is caught by: rules by number, bounds by name. Others may be missed beside.
CAUGHT: dict[str, set[int | str]] = {
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
    """Several drills at a time; each has addresses of its own."""

    folder = tmp_path_factory.mktemp("proof")

    def play(way: str) -> DrillRecord:
        words = (sys.executable, "-B", str(ROOT / "tests" / "testing" / "fault_tests" / "broken.py"), way)
        return run(SCENARIO, 1, Program(way, words, str(ROOT)), folder / way)

    with ThreadPoolExecutor(max_workers=3) as pool:
        yield {way: pool.submit(play, way) for way in ("sound", *CAUGHT)}


def test_the_sound_program_holds(records: dict[str, Future[DrillRecord]]) -> None:
    record = records["sound"].result()
    assert (record.broken, record.missed) == ([], []), record.figures
    assert {f.figure for f in SCENARIO.figures} >= {
        "served",
        "dark_per_s",
        "cold_load",
        "words_per_s",
        "lost",
    }


@pytest.mark.parametrize("way", CAUGHT)
def test_a_broken_one_is_caught(way: str, records: dict[str, Future[DrillRecord]]) -> None:
    record = records[way].result()
    caught: set[int | str] = {b.rule for b in record.broken} | {m.name for m in record.missed}
    assert caught >= CAUGHT[way], (record.figures, record.broken[:3])


def test_every_bound_is_proven() -> None:
    assert {f.name for f in SCENARIO.figures} == {
        c for by in CAUGHT.values() for c in by if isinstance(c, str)
    }
