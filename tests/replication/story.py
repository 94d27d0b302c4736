"""Base class of the fleet tests of replication."""

from __future__ import annotations

import unittest

from madderwind.replication.commands import CommandOutcome, CommandResult
from tests.fleet.fleet import Fleet
from tests.fleet.machine import Machine

# Bounds of the time to an acknowledgement: without faults, and after the loss of one machine.
CALM_ACKNOWLEDGEMENT_MS = 100.0
FAILOVER_MS = 1_500.0


class FleetStory(unittest.TestCase):
    """Base class: a bootstrapped fleet that has committed its first command, at version 3."""

    machines = 3
    tolerance = 1

    def setUp(self) -> None:
        self.fleet = Fleet(self.machines, self.tolerance, seed=17)
        self.fleet.start()
        self.fleet.stabilize()
        self.fleet.submit_and_commit(0, 3)
        self.fleet.run(1_000.0)

    @property
    def primary(self) -> Machine:
        primary = self.fleet.primary()
        assert primary is not None
        return primary

    def backups(self) -> list[Machine]:
        """Return the running machines other than the primary."""
        return [machine for machine in self.fleet.running() if machine is not self.primary]

    def assert_taken(self, results: list[CommandResult]) -> None:
        self.assertEqual([CommandOutcome.COMMITTED], [result.outcome for result in results])

    def assert_unclear(self, results: list[CommandResult]) -> None:
        self.assertEqual([CommandOutcome.UNKNOWN], [result.outcome for result in results])

    def assert_all_follow(self, version: int) -> None:
        """Assert that all running machines know the primary and `version`, and all members are in sync."""
        for machine in self.fleet.running():
            status = machine.status()
            assert status is not None
            self.assertEqual((version, self.primary.address), (status.committed_version, status.primary))
        primary_status = self.primary.status()
        assert primary_status is not None
        self.assertEqual(set(primary_status.members), self.fleet.in_sync())
