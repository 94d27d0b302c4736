"""How tests are shared out among workers."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.parallel import LANES, needs_real_time, piece_of

ROOT = Path(__file__).parents[1]


def test_a_file_of_no_lane_is_a_piece_of_its_own() -> None:
    assert (
        piece_of("tests/standalone/policy/test_pick.py::test_a[b::c/d]")
        == "tests/standalone/policy/test_pick.py"
    )
    assert piece_of("tests/test_parallel.py::Some::test_a") == "tests/test_parallel.py"


def test_all_files_of_a_lane_are_one_piece() -> None:
    for folder, lane in LANES.items():
        files = sorted((ROOT / folder).glob("test_*.py"))
        assert files, f"no tests lie in {folder}"
        assert {piece_of(f"{folder}/{file.name}::test_a") for file in files} == {lane}


def test_lanes_are_what_needs_real_time() -> None:
    assert needs_real_time("tests/testing/fault_tests/test_drills.py::test_a[x]")
    assert not needs_real_time("tests/standalone/policy/test_pick.py::test_a")


def test_what_needs_real_time_comes_last(request: pytest.FixtureRequest) -> None:
    waits = [needs_real_time(item.nodeid) for item in request.session.items]
    assert waits == sorted(waits)
