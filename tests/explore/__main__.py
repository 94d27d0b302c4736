"""Explores deeper than CI does: `python -m tests.explore DEPTH` adds DEPTH choices to each plan's depth."""

from __future__ import annotations

import sys

from tests.explore.plans import ALL_PLANS, run_plan

LEAVES = 50


def main() -> None:
    """Print the outcome of each plan; the first violated invariant ends the run."""
    further_depth = int(sys.argv[1]) if len(sys.argv) > 1 else 0
    for plan in ALL_PLANS:
        print(f"{plan.allowance} {run_plan(plan, further_depth, LEAVES)}", flush=True)


if __name__ == "__main__":
    main()
