"""Command line of the campaigns: `python -m tests.campaign FIRST_SEED COUNT [--processes N] [--shrink]`."""

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
    """The result of one seed's campaign; `schedule` describes the shrunk schedule that still fails, if any.

    `longest_effect_ms` is the longest time from the last sending of a command until a replica committed it.
    """

    seed: int
    loss_count: LossCount
    longest_effect_ms: float
    violation: str = ""
    schedule: str = ""


def run_seed(seed: int) -> Finding:
    """Run the campaign of a seed."""
    schedule = draw_schedule(seed)
    campaign = Campaign(schedule)
    violation = violation_in(campaign)
    longest_effect_ms = campaign.history.longest_effect_ms
    del campaign
    gc.collect()
    return Finding(seed, schedule.loss_count, longest_effect_ms, violation)


def run_seed_and_shrink(seed: int) -> Finding:
    """Run the campaign of a seed; if it finds a violation, shrink its schedule."""
    finding = run_seed(seed)
    if not finding.violation:
        return finding
    schedule = shrink(draw_schedule(seed))
    return attrs.evolve(
        finding, schedule=f"\n{schedule.describe()}\nshrunk schedule fails with: {violation_of(schedule)}"
    )


def main() -> int:
    """Run many campaigns and print the violations; the exit status is 1 if there were any."""
    parser = argparse.ArgumentParser(prog="python -m tests.campaign")
    parser.add_argument("first", type=int)
    parser.add_argument("count", type=int)
    parser.add_argument("--processes", type=int, default=2)
    parser.add_argument(
        "--shrink",
        action="store_true",
        help="shrink the schedules that lead to a violation (about a minute each)",
    )
    arguments = parser.parse_args()
    began = time.monotonic()
    campaigns: Counter[LossCount] = Counter()
    failures: Counter[LossCount] = Counter()
    effect_delays_ms: list[float] = []
    seeds = range(arguments.first, arguments.first + arguments.count)
    run_one = run_seed_and_shrink if arguments.shrink else run_seed
    with multiprocessing.Pool(arguments.processes, initializer=gc.disable) as pool:
        for finding in pool.imap_unordered(run_one, seeds, chunksize=4):
            campaigns[finding.loss_count] += 1
            effect_delays_ms.append(finding.longest_effect_ms)
            if finding.violation:
                failures[finding.loss_count] += 1
                name = f"seed {finding.seed}, losses counted {finding.loss_count.value}"
                print(f"{name}: {finding.violation}{finding.schedule}", flush=True)
    for count in LossCount:
        print(f"losses counted {count.value}: {campaigns[count]} campaigns, {failures[count]} failed")
    delays_ms = sorted(effect_delays_ms)
    print(
        f"latest effect of a command after its last sending: median {delays_ms[len(delays_ms) // 2]:.0f} ms, "
        f"99% {delays_ms[len(delays_ms) * 99 // 100]:.0f} ms, longest {delays_ms[-1]:.0f} ms"
    )
    print(f"{campaigns.total()} campaigns, {failures.total()} failed, {time.monotonic() - began:.0f} s")
    return 1 if failures else 0


if __name__ == "__main__":
    # Fixed hash seed, so that sets of strings iterate in the same order in each process.
    if os.environ.get("PYTHONHASHSEED") != "0":
        os.environ["PYTHONHASHSEED"] = "0"
        os.execv(sys.executable, [sys.executable, "-m", "tests.campaign", *sys.argv[1:]])
    sys.exit(main())
