"""What the stories about replicas have in common."""

from __future__ import annotations

import unittest

from madderwind.replication.commands import CommandOutcome, CommandResult
from tests.fleet.fleet import Fleet
from tests.fleet.machine import Machine

# In calm times, and after one machine was lost.
CALM_ACKNOWLEDGEMENT_MS = 100.0
FAILOVER_MS = 1_500.0


class FleetStory(unittest.TestCase):
    """Given a fleet that was founded and has taken its first command, at version 3."""

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
        """The machines that run and are not the primary."""
        return [machine for machine in self.fleet.running() if machine is not self.primary]

    def assert_taken(self, results: list[CommandResult]) -> None:
        self.assertEqual([CommandOutcome.COMMITTED], [result.outcome for result in results])

    def assert_unclear(self, results: list[CommandResult]) -> None:
        self.assertEqual([CommandOutcome.UNKNOWN], [result.outcome for result in results])

    def assert_all_follow(self, version: int) -> None:
        """All that run know the same primary and version, and all members are in sync."""
        for machine in self.fleet.running():
            status = machine.status()
            assert status is not None
            self.assertEqual((version, self.primary.address), (status.committed_version, status.primary))
        members = self.primary.status()
        assert members is not None
        self.assertEqual(set(members.members), self.fleet.in_sync())
