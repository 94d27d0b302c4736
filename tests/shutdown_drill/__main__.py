"""`python -m tests.shutdown_drill`: plays rounds of several seeds; exit status 1 if a rule was broken."""

from __future__ import annotations

import argparse
import asyncio
import sys
from pathlib import Path

from tests.shutdown_drill.drill import ROOT, play_round
from tests.shutdown_drill.judge import violations, waited_at_the_signal


def main() -> int:
    """Play the rounds one after the other."""
    arguments = _arguments()
    requests = waiting = failed = 0
    for seed in range(arguments.first, arguments.first + arguments.seeds):
        played = asyncio.run(play_round(seed, arguments.clients, arguments.checkout.resolve()))
        found = list(violations(played))
        requests += len(played.sent)
        waiting += sum(waited_at_the_signal(sent, played) for sent in played.sent)
        failed += bool(found)
        for text in found:
            print(f"seed {seed}: {text}", flush=True)
    print(f"{arguments.seeds} seeds, {requests} requests, {waiting} under way at the signal, {failed} failed")
    return 1 if failed else 0


def _arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="python -m tests.shutdown_drill")
    parser.add_argument("--seeds", type=int, default=1, help="how many seeds are played")
    parser.add_argument("--first", type=int, default=1, help="the first seed")
    parser.add_argument("--clients", type=int, default=40)
    parser.add_argument("--checkout", type=Path, default=ROOT, help="whose programs are run")
    return parser.parse_args()


if __name__ == "__main__":
    sys.exit(main())
