"""The script that lays the kit's files beside our own site files."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

SITES = Path(__file__).parents[3] / "deploy" / "sites"
WANTED = ["real.json", "unlock.txt", "wire.json"]


@pytest.mark.parametrize("there", [WANTED, WANTED[:1], [], None])
def test_it_lays_all_three_or_says_in_one_line_what_is_missing(
    tmp_path: Path, there: list[str] | None
) -> None:
    kit, sites = tmp_path / "kit", tmp_path / "sites"
    sites.mkdir()
    (sites / "lay.py").write_bytes((SITES / "lay.py").read_bytes())
    if there is not None:
        kit.mkdir()
        for name in there:
            (kit / name).write_text(name)
    for _ in range(2):  # also where an earlier copy lies
        done = subprocess.run(
            [sys.executable, sites / "lay.py", kit], capture_output=True, text=True, timeout=60
        )
        if there == WANTED:
            assert (done.returncode, done.stderr) == (0, "")
            assert sorted(path.name for path in sites.iterdir()) == sorted(["lay.py", *WANTED])
        else:
            assert done.returncode == 1
            (line,) = done.stderr.splitlines()
            assert all((name in line) == (name not in (there or [])) for name in WANTED)
