"""`python -m tests.stream_soak`: runs the soak for several seeds; exit status 1 if a rule was broken."""

from __future__ import annotations

import argparse
import asyncio
import sys
from pathlib import Path

from tests.stream_soak.plan import PLANS
from tests.stream_soak.soak import ROOT, SoakSettings, run_soak
from tests.stream_soak.upstreams import Breaks


def main() -> int:
    """Run the seeds one after the other."""
    arguments = _arguments()
    breaks = Breaks(arguments.breaks, 0.5, arguments.in_order, arguments.extra)
    settings = SoakSettings(
        plan=arguments.plan,
        seconds=arguments.seconds,
        data_planes=arguments.data_planes,
        clients=arguments.clients,
        breaks=breaks,
        checkout=arguments.checkout.resolve(),
        keep=arguments.keep,
    )
    failed = 0
    for seed in range(arguments.first, arguments.first + arguments.seeds):
        result = asyncio.run(run_soak(seed, settings))
        print(result.summary(), flush=True)
        for line in result.details():
            print(line, flush=True)
        failed += bool(result.broken or result.unexpected_exits)
    print(f"{arguments.seeds} seeds, {failed} failed")
    return 1 if failed else 0


def _arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="python -m tests.stream_soak")
    parser.add_argument("--seeds", type=int, default=1, help="how many seeds are run")
    parser.add_argument("--first", type=int, default=1, help="the first seed")
    parser.add_argument("--plan", choices=sorted(PLANS), default="mixed")
    parser.add_argument("--seconds", type=float, default=30.0, help="the length of each run")
    parser.add_argument("--data-planes", type=int, default=9)
    parser.add_argument("--clients", type=int, default=30)
    parser.add_argument("--breaks", type=float, default=0.05, help="share of responses that break off")
    parser.add_argument("--in-order", action="store_true", help="streams also end in order within an event")
    parser.add_argument("--extra", type=float, default=0.0, help="share of responses behind a late extra one")
    parser.add_argument("--checkout", type=Path, default=ROOT, help="whose programs are run")
    parser.add_argument("--keep", type=Path, help="a folder for the logs of each run")
    return parser.parse_args()


if __name__ == "__main__":
    sys.exit(main())
