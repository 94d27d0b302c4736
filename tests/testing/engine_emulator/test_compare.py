"""Comparison of policies on the same seeds, by the mean of their paired differences."""

from __future__ import annotations

from pathlib import Path

import pytest
import yaml

from madderwind.testing.engine_emulator.compare import compare

EXPERIMENT = {
    "name": "tiny",
    "question": "Is one better?",
    "data_planes": 3,
    "upstreams": 4,
    "for_s": 3.0,
    "kinds": [
        {
            "name": "ask",
            "per_s": 20,
            "chain": [{"tokens": {"mean": 3000}, "count": 6}],
            "prompt": {"mean": 500},
            "output": {"mean": 20},
            "aim_ms": 400,
            "gap_aim_ms": 300,
            "worth": 1,
            "late_worth": 0.3,
        }
    ],
}


def test_the_baseline_has_no_difference_and_random_is_worse(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    file = tmp_path / "tiny.yaml"
    file.write_text(yaml.safe_dump(EXPERIMENT))
    compare(str(file), seeds=3, cores=2, others="random,whole-knowledge")
    rows = [line.split() for line in capsys.readouterr().out.splitlines()]
    assert rows[0] == ["tiny:", "3", "seeds"]
    assert [row[0] for row in rows[1:]] == ["placement", "random", "whole-knowledge"]
    assert rows[1][3:5] == ["+0.0000", "+-0.0000"]
    assert float(rows[2][3]) < 0.0
