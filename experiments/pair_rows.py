"""Compares the parts and prices of two bench reports: `pair_rows.py BEFORE.json AFTER.json`."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Any

SMALLEST_PRICE = 0.0005


def figures_of(report: dict[str, Any]) -> dict[str, float]:
    """The figures of a report that are compared, by name."""
    figures = {name: float(report[name]) for name in ("G", "served", "unserved", "refused", "failed")}
    figures |= {f"part: {name}": float(value) for name, _, value in report["parts"]}
    figures |= {f"price: {name}": float(value) for name, _, value in report["prices"]}
    return figures


def main(before: str, after: str) -> None:
    """Print one line per figure that is not negligible in both reports."""
    first, second = (figures_of(json.loads(Path(path).read_text())) for path in (before, after))
    for name, value in first.items():
        other = second.get(name, 0.0)
        if max(abs(value), abs(other)) >= SMALLEST_PRICE:
            print(f"{name:48} {value:8.4f} {other:8.4f} {other - value:+8.4f}")


if __name__ == "__main__":
    main(*sys.argv[1:])
