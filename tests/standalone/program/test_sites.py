"""The script that copies the files of the kit next to the site files of this repository."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

SITES = Path(__file__).parents[3] / "deploy" / "sites"
REQUIRED_FILES = ["real.json", "unlock.txt", "wire.json"]


@pytest.mark.parametrize("present_files", [REQUIRED_FILES, REQUIRED_FILES[:1], [], None])
def test_all_files_are_copied_or_the_missing_ones_named_in_one_line(
    tmp_path: Path, present_files: list[str] | None
) -> None:
    kit, sites = tmp_path / "kit", tmp_path / "sites"
    sites.mkdir()
    (sites / "lay.py").write_bytes((SITES / "lay.py").read_bytes())
    if present_files is not None:
        kit.mkdir()
        for name in present_files:
            (kit / name).write_text(name)
    for _ in range(2):  # the second run replaces earlier copies
        result = subprocess.run(
            [sys.executable, sites / "lay.py", kit], capture_output=True, text=True, timeout=60
        )
        if present_files == REQUIRED_FILES:
            assert (result.returncode, result.stderr) == (0, "")
            assert sorted(path.name for path in sites.iterdir()) == sorted(["lay.py", *REQUIRED_FILES])
        else:
            assert result.returncode == 1
            (line,) = result.stderr.splitlines()
            assert all((name in line) == (name not in (present_files or [])) for name in REQUIRED_FILES)
