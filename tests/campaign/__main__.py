"""Campaigns by hand: `python -m tests.campaign FIRST_SEED COUNT [--processes N] [--shrink]`."""

from __future__ import annotations

import argparse
import gc
import multiprocessing
import os
import sys
import time
from collections import Counter

import attrs

from tests.campaign.campaign import Campaign, draw_schedule
from tests.campaign.faults import LossCount
from tests.campaign.shrinking import shrink, violation_in, violation_of


@attrs.frozen
class Finding:
    """What the campaign of a seed showed; `schedule` is what is left of it to show something.

    `longest_effect_ms`: from the last sending of a command until a replica had it committed.
    """

    seed: int
    loss_count: LossCount
    longest_effect_ms: float
    violation: str = ""
    schedule: str = ""


def find(seed: int) -> Finding:
    """Run the campaign of a seed."""
    schedule = draw_schedule(seed)
    campaign = Campaign(schedule)
    violation = violation_in(campaign)
    longest_effect_ms = campaign.history.longest_effect_ms
    del campaign
    gc.collect()
    return Finding(seed, schedule.loss_count, longest_effect_ms, violation)


def find_and_shrink(seed: int) -> Finding:
    """Run the campaign of a seed; a schedule that leads to a violation is shrunk."""
    found = find(seed)
    if not found.violation:
        return found
    schedule = shrink(draw_schedule(seed))
    return attrs.evolve(found, schedule=f"\n{schedule.describe()}\nwith which: {violation_of(schedule)}")


def main() -> int:
    """Run many campaigns and tell which found something; the status tells whether any did."""
    parser = argparse.ArgumentParser(prog="python -m tests.campaign")
    parser.add_argument("first", type=int)
    parser.add_argument("count", type=int)
    parser.add_argument("--processes", type=int, default=2)
    parser.add_argument(
        "--shrink", action="store_true", help="shrink what leads to a violation (a minute each)"
    )
    arguments = parser.parse_args()
    began = time.monotonic()
    run: Counter[LossCount] = Counter()
    failed: Counter[LossCount] = Counter()
    latest_effects: list[float] = []
    seeds = range(arguments.first, arguments.first + arguments.count)
    search = find_and_shrink if arguments.shrink else find
    with multiprocessing.Pool(arguments.processes, initializer=gc.disable) as pool:
        for finding in pool.imap_unordered(search, seeds, chunksize=4):
            run[finding.loss_count] += 1
            latest_effects.append(finding.longest_effect_ms)
            if finding.violation:
                failed[finding.loss_count] += 1
                name = f"seed {finding.seed}, losses counted {finding.loss_count.value}"
                print(f"{name}: {finding.violation}{finding.schedule}", flush=True)
    for count in LossCount:
        print(f"losses counted {count.value}: {run[count]} campaigns, {failed[count]} failed")
    latest = sorted(latest_effects)
    print(
        f"latest effect of a command after its last sending: median {latest[len(latest) // 2]:.0f} ms, "
        f"99% {latest[len(latest) * 99 // 100]:.0f} ms, longest {latest[-1]:.0f} ms"
    )
    print(f"{run.total()} campaigns, {failed.total()} failed, {time.monotonic() - began:.0f} s")
    return 1 if failed else 0


if __name__ == "__main__":
    # Sets of strings are gone through in the same order by each process.
    if os.environ.get("PYTHONHASHSEED") != "0":
        os.environ["PYTHONHASHSEED"] = "0"
        os.execv(sys.executable, [sys.executable, "-m", "tests.campaign", *sys.argv[1:]])
    sys.exit(main())
