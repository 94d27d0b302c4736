"""Prints the parts and prices of two reports of the bench: `pair_rows.py BEFORE.json AFTER.json`."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Any

SMALLEST_PRICE = 0.0005


def rows(report: dict[str, Any]) -> dict[str, float]:
    """What of a report is compared, by name."""
    found = {name: float(report[name]) for name in ("G", "served", "unserved", "refused", "failed")}
    found |= {f"part: {name}": float(value) for name, _, value in report["parts"]}
    found |= {f"price: {name}": float(value) for name, _, value in report["prices"]}
    return found


def main(before: str, after: str) -> None:
    """Print a line a figure that is not small in both."""
    first, second = (rows(json.loads(Path(path).read_text())) for path in (before, after))
    for name, value in first.items():
        other = second.get(name, 0.0)
        if max(abs(value), abs(other)) >= SMALLEST_PRICE:
            print(f"{name:48} {value:8.4f} {other:8.4f} {other - value:+8.4f}")


if __name__ == "__main__":
    main(*sys.argv[1:])
