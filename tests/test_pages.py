"""Checks that the pages for engineers refer only to files, events and metrics that exist."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

from madderwind.log_events import control_plane, shared
from madderwind.log_events.event import LogEvent

ROOT = Path(__file__).parents[1]
PAGES = (
    "CONTRIBUTING.md",
    "docs/architecture.md",
    "docs/dataplane.md",
    "docs/glossary.md",
    "docs/hardening.md",
    "docs/on-call-fleet.md",
    "docs/operating-system.md",
    "docs/system.md",
)
FILE_NAME = re.compile(r"`([a-z_/]+\.py)`")
LINK_TARGET = re.compile(r"\]\(([^)#:]+\.md)")
QUOTED_NAME = re.compile(r"`([a-z]+_[a-z_0-9]+)`")


@pytest.mark.parametrize("page", PAGES)
def test_files_named_on_a_page_exist(page: str) -> None:
    for name in FILE_NAME.findall((ROOT / page).read_text()):
        candidates = (ROOT / name, ROOT / "madderwind" / name)
        package_files = [path for root in ("madderwind", "tests") for path in (ROOT / root).rglob(name)]
        assert any(path.is_file() for path in (*candidates, *package_files)), name


@pytest.mark.parametrize("page", PAGES)
def test_link_targets_of_a_page_exist(page: str) -> None:
    for target in LINK_TARGET.findall((ROOT / page).read_text()):
        assert ((ROOT / page).parent / target).is_file(), target


def test_on_call_page_names_known_events_metrics_and_states() -> None:
    event_constants = {**vars(control_plane), **vars(shared)}.values()
    known = {value.name for value in event_constants if isinstance(value, LogEvent)}
    source_code = "".join(path.read_text() for path in (ROOT / "madderwind").rglob("*.py"))
    known |= set(re.findall(r"Sample\(\s*\"([a-z_]+)\"", source_code))
    known |= set(QUOTED_NAME.findall((ROOT / "docs" / "dataplane.md").read_text()))
    page = (ROOT / "docs" / "on-call-fleet.md").read_text()
    rows = "\n".join(
        line.split("|")[2] for line in page.splitlines() if line.startswith("| ") and line.count("|") > 4
    )
    quoted_names = set(QUOTED_NAME.findall(rows))
    assert len(quoted_names) > 20
    assert quoted_names - known - {"in_sync"} <= {"attempt_reset", "attempt_timeout"}


def test_every_control_plane_event_that_needs_action_is_on_the_on_call_page() -> None:
    page = (ROOT / "docs" / "on-call-fleet.md").read_text()
    table = (ROOT / "docs" / "operating-system.md").read_text().partition("| event | fields | was |")[2]
    for line in table.partition("\n\n")[0].splitlines():
        cells = [cell.strip() for cell in line.split("|")]
        if len(cells) > 6 and cells[1].startswith("`") and cells[5] != "-":
            assert cells[1] in page, cells[1]
