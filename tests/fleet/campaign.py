"""Random campaigns over a fleet: a phase with faults, one without, and a check of all observations.

To run many: `python -m tests.fleet.campaign FIRST_SEED COUNT`.
"""

from __future__ import annotations

import random
import sys
import time

from tests.fleet.faults import CATCH_UP_MS, Faults
from tests.fleet.fleet import Fleet
from tests.fleet.freshness import Confirmations, FreshnessWatch
from tests.fleet.history import History, Violation
from tests.fleet.operators import Operator, Reader
from tests.fleet.register import Register, change_of

FAULT_PHASE_MS = 8_000.0
DISK_LOSS_PHASE_MS = 20_000.0
STABLE_MS = 3_000.0
ACKNOWLEDGED_WITHIN_MS = 4_000.0
ROUNDS = 3


class Campaign:
    """A run of one fleet with random faults, determined entirely by the seed."""

    def __init__(self, seed: int) -> None:
        self.seed = seed
        rng = random.Random(seed)
        machines, tolerance = rng.choice([(3, 1), (3, 1), (5, 2), (4, 1)])
        self.fleet = Fleet(machines, tolerance, seed=rng.getrandbits(64))
        self.history = History(tolerance)
        self.faults = Faults(self.fleet, random.Random(rng.getrandbits(64)))
        self.operators = [
            Operator(f"o{number}", self.fleet, self.history, random.Random(rng.getrandbits(64)))
            for number in range(rng.randint(1, 3))
        ]
        self.reader = Reader(self.fleet, self.history, random.Random(rng.getrandbits(64)))
        self._rng = rng
        confirmed = Confirmations(self.fleet.clock)
        self.history.on_acknowledged = lambda each: confirmed.confirm(change_of(each.command.body).version)
        FreshnessWatch(self.fleet.clock, self.fleet.running, confirmed.newest_before)
        self.fleet.observe(self.history.note_committed, self.history.note_view)

    def run(self) -> None:
        """Run the campaign; raises Violation if an invariant is broken."""
        self.fleet.start()
        self.fleet.run(STABLE_MS)
        for _ in range(ROUNDS):
            self._run_with_faults()
            self._run_without_faults()

    def _run_with_faults(self) -> None:
        for operator in self.operators:
            operator.start(self._rng.uniform(50.0, 400.0))
        self.reader.start()
        if self._rng.random() < 0.5:
            self.faults.start(self._rng.uniform(200.0, 1_500.0))
            self.fleet.run(FAULT_PHASE_MS)
        else:
            self.fleet.run(CATCH_UP_MS)
            self.faults.start_disk_losses()
            self.fleet.run(DISK_LOSS_PHASE_MS)

    def _run_without_faults(self) -> None:
        """Heal all faults, then check that commands and reads succeed and all observations are consistent."""
        for operator in self.operators:
            operator.stop()
        self.reader.stop()
        self.faults.heal()
        self.fleet.run(STABLE_MS)
        final = self._read()
        self.history.check(final)
        self._command(final.version)
        self.fleet.run(1_000.0)
        self.history.check(self._read())

    def _command(self, base: int) -> None:
        try:
            self.fleet.submit_and_commit(base, base + 1, f"calm-{base}", ACKNOWLEDGED_WITHIN_MS)
        except TimeoutError as error:
            raise Violation(f"no command is acknowledged without faults: {error}") from None

    def _read(self) -> Register:
        try:
            return self.fleet.read_committed(ACKNOWLEDGED_WITHIN_MS)
        except TimeoutError as error:
            raise Violation(f"no read is proven without faults: {error}") from None


def main() -> None:
    """Run many campaigns and print the violation of each that failed."""
    first, count = int(sys.argv[1]), int(sys.argv[2])
    began = time.monotonic()
    failed = 0
    for seed in range(first, first + count):
        campaign = Campaign(seed)
        try:
            campaign.run()
        except Violation as violation:
            failed += 1
            print(f"seed {seed}: {violation}", flush=True)
    print(f"{count} campaigns, {failed} failed, {time.monotonic() - began:.0f} s")


if __name__ == "__main__":
    main()
