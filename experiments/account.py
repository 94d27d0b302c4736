"""Prints Markdown tables of a day from the bench's report: `account.py REPORT.json`.

The tables show requests by class and by time window, in parts that add up to the number of requests; the last
outcome of requests that were not served; and the parts of the worth less the prices, down to the net worth.
"""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Any

SMALLEST_PRICE = 0.0005
COLUMNS = ("asked", "in time", "late", "refused", "failed", "not owed", "worth", "p50 ms", "p99 ms")


def table(header: tuple[str, ...], rows: list[list[str]]) -> str:
    """Render a Markdown table."""
    lines = [header, ("---",) * len(header), *rows]
    return "\n".join("| " + " | ".join(line) + " |" for line in lines)


def request_row(name: str, part: dict[str, Any]) -> list[str]:
    """A row of request counts; the five parts add up to the number of requests."""
    parts = [part[key] for key in ("in_aim", "late", "refused", "failed", "not_owed")]
    figures = [f"{part['worth']:.3f}", f"{part['p50_ms']:.0f}", f"{part['p99_ms']:.0f}"]
    return [name, str(sum(parts)), *map(str, parts), *figures]


def window_rows(report: dict[str, Any]) -> list[list[str]]:
    """A row per time window, with the faults that were active in it."""
    rows = []
    width_s = float(report["windows"][1]["name"]) - float(report["windows"][0]["name"])
    for window in report["windows"]:
        begin_s = float(window["name"])
        kinds = [
            event["kind"]
            for event in report["events"]
            if event["at_s"] < begin_s + width_s and event["to_s"] > begin_s
        ]
        rows.append([*request_row(window["name"], window), ", ".join(dict.fromkeys(kinds))])
    return rows


def main(path: str) -> None:
    """Print the tables of one day."""
    report = json.loads(Path(path).read_text())
    print(table(("kind", *COLUMNS), [request_row(part["name"], part) for part in report["classes"]]), "\n")
    print(table(("from s", *COLUMNS, "active faults"), window_rows(report)), "\n")
    outcomes = [[outcome, str(count)] for outcome, count, _ in report["unserved_by"]]
    print(table(("not served, last try", "requests"), outcomes), "\n")
    parts = [
        [name, f"{weight:.2f}", f"{value:.3f}", f"{weight * value:.4f}"]
        for name, weight, value in report["parts"]
    ]
    prices = [
        [name, "", "", f"-{price:.4f}"] for name, _, price in report["prices"] if price >= SMALLEST_PRICE
    ]
    total = [["net worth", "", "", f"{report['G']:.4f}"]]
    print(table(("part", "weight", "value", "worth"), parts + prices + total))


if __name__ == "__main__":
    main(sys.argv[1])
