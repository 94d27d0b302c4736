"""Checks that all lint rules apply to finished packages: no exception in pyproject.toml matches them."""

from __future__ import annotations

import re
import tomllib
from fnmatch import fnmatch
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[1]
LINT = tomllib.loads((ROOT / "pyproject.toml").read_text())["tool"]["ruff"]["lint"]
EXCEPTIONS: dict[str, list[str]] = LINT["per-file-ignores"]
REQUIRED_RULES = {"D", "N", "C901", "PLR0913", "PLR2004", "ARG", "ASYNC", "BLE", "PT", "TRY", "RET", "SIM"}
SUPPRESSION = re.compile(r"# noqa(?P<codes>: [A-Z0-9]+(?:, [A-Z0-9]+)*)?(?P<reason> - .+)?")


def finished_packages() -> list[str]:
    """The packages that the glossary's table lists as done."""
    table = (ROOT / "docs" / "glossary.md").read_text().partition("| package | state | left |")[2]
    return re.findall(r"^\| `(madderwind/[a-z_/]+)` \| done \|", table, re.MULTILINE)


def test_finished_packages_exist() -> None:
    assert len(finished_packages()) > 5
    assert all((ROOT / package).is_dir() for package in finished_packages())


@pytest.mark.parametrize("package", finished_packages())
def test_finished_package_has_no_exception(package: str) -> None:
    files = [str(path.relative_to(ROOT)) for path in (ROOT / package).rglob("*.py")]
    assert files
    assert not [pattern for pattern in EXCEPTIONS if any(fnmatch(file, pattern) for file in files)]


def test_exceptions_match_existing_files() -> None:
    source_files = [
        str(path.relative_to(ROOT)) for path in ROOT.glob("*/**/*.py") if ".venv" not in str(path)
    ]
    assert not [pattern for pattern in EXCEPTIONS if not any(fnmatch(file, pattern) for file in source_files)]


def test_required_rules_are_enabled() -> None:
    assert set(LINT["select"]) >= REQUIRED_RULES


@pytest.mark.parametrize("package", finished_packages())
def test_suppressions_in_finished_packages_give_a_reason(package: str) -> None:
    for path in (ROOT / package).rglob("*.py"):
        for suppression in SUPPRESSION.finditer(path.read_text()):
            assert suppression["codes"], path
            assert suppression["reason"], path
