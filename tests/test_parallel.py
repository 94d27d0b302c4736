"""Tests of the distribution of tests among workers."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.parallel import REAL_TIME_GROUPS, needs_real_time, work_unit_of

ROOT = Path(__file__).parents[1]


def test_a_file_outside_the_groups_is_a_unit_of_its_own() -> None:
    assert (
        work_unit_of("tests/standalone/policy/test_pick.py::test_a[b::c/d]")
        == "tests/standalone/policy/test_pick.py"
    )
    assert work_unit_of("tests/test_parallel.py::Some::test_a") == "tests/test_parallel.py"


def test_all_files_of_a_group_are_one_unit() -> None:
    for folder, group in REAL_TIME_GROUPS.items():
        files = sorted((ROOT / folder).glob("test_*.py"))
        assert files, f"no tests in {folder}"
        assert {work_unit_of(f"{folder}/{file.name}::test_a") for file in files} == {group}


def test_only_grouped_tests_need_real_time() -> None:
    assert needs_real_time("tests/testing/fault_tests/test_drills.py::test_a[x]")
    assert not needs_real_time("tests/standalone/policy/test_pick.py::test_a")


def test_real_time_tests_come_last(request: pytest.FixtureRequest) -> None:
    real_time_flags = [needs_real_time(item.nodeid) for item in request.session.items]
    assert real_time_flags == sorted(real_time_flags)
