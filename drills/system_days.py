"""Runs days of the system's bench on sites and prints the result of each.

    .venv-ci/bin/python drills/system_days.py BENCH SITE [SITE...] --why="..." [--days=FILE,...] [--jobs=3]

BENCH is the bench's program, SITE a site file. Without `--days` all days of deploy/days are run; a day may
also be the name of one of the site's own days. Each line has the site, the day, its worth, the share served,
the verdict of the gate, the journal entry and the broken rules. `--out=FOLDER` keeps the bench's complete
output. A day with faults that the site does not allow is reported as closed. The exit code is 1 if a gate
failed or the bench gave no figures.
"""

from __future__ import annotations

import re
import subprocess
import sys
from collections.abc import Iterable, Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from enum import Enum
from pathlib import Path

import fire
import msgspec

ROOT = Path(__file__).resolve().parents[1]
DAYS = ROOT / "deploy" / "days"
JOURNAL = ROOT / "journal"
SNAPSHOT = re.compile(r"^snapshot (?P<id>[0-9a-f]+)$", re.MULTILINE)
CLOSED_CONTRACT_TEXT = "is not open"
MAX_REASON_CHARACTERS = 119
"""The maximum length of a reason that the bench accepts, in characters."""


class Verdict(Enum):
    """The result of running a day on a site."""

    PASSED = "passed"
    FAILED = "FAILED"
    CLOSED = "closed here"
    NO_FIGURES = "NO FIGURES"


class DayFigures(msgspec.Struct):
    """The figures of one day in a journal entry."""

    name: str
    gate: bool
    worth: float = msgspec.field(name="G")
    """The share earned of what was owed, less prices."""
    served: float
    rules: dict[str, object]
    short: list[str]
    fault: str | None = None


class Entry(msgspec.Struct):
    """A journal entry."""

    id: str
    days: list[DayFigures]


@dataclass(frozen=True)
class Play:
    """The result and figures of a day that was run on a site."""

    site: str
    day: str
    verdict: Verdict
    worth: float = 0.0
    served: float = 0.0
    broken: str = ""
    journal: str = ""


@dataclass(frozen=True)
class Bench:
    """The bench's program and the options that it is called with."""

    program: str
    why: str
    until_s: float | None = None
    seed: int | None = None
    small: bool = False

    def command(self, site: str, day: str) -> list[str]:
        """The command line that runs one day."""
        command_line = [self.program, "run", site, day, "--jobs", "1", "--why", self.why]
        if self.until_s is not None:
            command_line += ["--until", str(self.until_s)]
        if self.seed is not None:
            command_line += ["--seed", str(self.seed)]
        if self.small:
            command_line.append("--small")
        return command_line

    def run_day(self, site: str, day: str) -> str:
        """Run a day and return the bench's output."""
        process = subprocess.run(
            self.command(site, day), cwd=ROOT, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, check=False
        )
        return process.stdout.decode(errors="replace")


def judged(site: str, day: str, output: str, journal: Path) -> Play:
    """Determine the result of a run from the bench's output and the journal entry that it names."""
    site, day = Path(site).stem, Path(day).stem
    snapshot = SNAPSHOT.search(output)
    if snapshot is None:
        verdict = Verdict.CLOSED if CLOSED_CONTRACT_TEXT in output else Verdict.NO_FIGURES
        return Play(site, day, verdict, broken=last_line(output))
    entry = read_entry(snapshot["id"], journal)
    if entry is None or not entry.days:
        return Play(site, day, Verdict.NO_FIGURES, broken=last_line(output), journal=snapshot["id"])
    figures = entry.days[0]
    return Play(
        site,
        day,
        Verdict.PASSED if figures.gate else Verdict.FAILED,
        figures.worth,
        figures.served,
        "; ".join([*figures.rules, *figures.short]),
        entry.id,
    )


def read_entry(entry_id: str, journal: Path) -> Entry | None:
    """Read an entry by its id; None if it is missing or invalid."""
    for path in journal.glob(f"*-{entry_id}.json"):
        try:
            return msgspec.json.decode(path.read_bytes(), type=Entry)
        except msgspec.DecodeError:
            return None
    return None


def last_line(output: str) -> str:
    """The last line of the output that is not empty."""
    lines = [line.strip() for line in output.splitlines() if line.strip()]
    return lines[-1] if lines else "the bench printed nothing"


def table_line(result: Play) -> str:
    """Render a run as one line of the table."""
    return (
        f"{result.site:38} {result.day:28} {result.worth:6.3f} {result.served:6.3f}  "
        f"{result.verdict.value:11} {result.journal:8}  {result.broken}"
    )


def summary(plays: Sequence[Play]) -> str:
    """The number of runs per verdict."""
    counts = ((verdict, sum(result.verdict is verdict for result in plays)) for verdict in Verdict)
    return ", ".join(f"{count} {verdict.value}" for verdict, count in counts if count)


def selected_days(days: str | Sequence[str] | None) -> list[str]:
    """The days named on the command line, or all days of deploy/days."""
    if not days:
        return [str(path) for path in sorted(DAYS.glob("*.toml"))]
    return days.split(",") if isinstance(days, str) else [str(day) for day in days]


def run_pairs(bench: Bench, pairs: Iterable[tuple[str, str]], jobs: int, out: Path | None) -> list[Play]:
    """Run every pair of site and day, `jobs` at a time, and print each result as it arrives."""

    def run_pair(pair: tuple[str, str]) -> Play:
        site, day = pair
        output = bench.run_day(site, day)
        result = judged(site, day, output, JOURNAL)
        if out is not None:
            (out / f"{result.site}--{result.day}.txt").write_text(output)
        print(table_line(result), flush=True)
        return result

    with ThreadPoolExecutor(jobs) as pool:
        return list(pool.map(run_pair, pairs))


def main(
    bench: str,
    *sites: str,
    why: str,
    days: str | Sequence[str] | None = None,
    jobs: int = 3,
    out: str | None = None,
    until: float | None = None,
    seed: int | None = None,
    small: bool = False,
) -> None:
    """Run days on sites; see the module's docstring."""
    if not sites:
        sys.exit("system_days.py: at least one site file is required")
    if not 0 < len(why) <= MAX_REASON_CHARACTERS:
        sys.exit(f"system_days.py: --why takes 1 to {MAX_REASON_CHARACTERS} characters")
    folder = Path(out) if out else None
    if folder is not None:
        folder.mkdir(parents=True, exist_ok=True)
    program = Bench(str(Path(bench).resolve()), why, until, seed, small)
    pairs = [(str(Path(site).resolve()), day) for site in sites for day in selected_days(days)]
    plays = run_pairs(program, pairs, jobs, folder)
    print(summary(plays))
    sys.exit(any(result.verdict in (Verdict.FAILED, Verdict.NO_FIGURES) for result in plays))


if __name__ == "__main__":
    fire.Fire(main)
