"""Faults that affect the disks of all machines at once: full disks and power losses."""

from __future__ import annotations

import unittest
from unittest.mock import patch

from madderwind.replication.commands import CommandOutcome, CommandResult
from madderwind.replication.primary import Primary
from tests.fleet.disk import MemoryDisk
from tests.fleet.fleet import Fleet
from tests.fleet.machine import Machine
from tests.fleet.register import command
from tests.replication.story import FAILOVER_MS, FleetStory

# Maximum time until the fleet serves again after disk space or power is back; far less than the `recovery_s`
# of any deployment.
RECOVERY_MS = 4_000.0
STEP_MS = 1.0


class FullDisks(FleetStory):
    def fill_disks(self, *machines: Machine) -> None:
        for machine in machines:
            machine.disk.is_full = True

    def free_disks(self) -> None:
        for machine in self.fleet.machines.values():
            machine.disk.is_full = False

    def assert_nothing_is_acknowledged(self, version: int) -> None:
        """Submit commands to every machine repeatedly and check that none is acknowledged."""
        results: list[CommandResult] = []
        for _ in range(6):
            for machine in self.fleet.running():
                self.fleet.submit_into(machine, 3, version, "operator", results)
            self.fleet.run(500.0)
        self.assertEqual({CommandOutcome.UNKNOWN}, {result.outcome for result in results})

    def assert_serves_again(self, version: int) -> None:
        self.assertLess(self.fleet.submit_and_commit(3, version, most_ms=RECOVERY_MS), RECOVERY_MS)
        self.fleet.run(3_000.0)
        self.assert_all_follow(version)

    def test_given_one_full_disk_at_a_time_then_commands_are_committed_by_the_other_machines(self) -> None:
        version = 3
        for machine in list(self.fleet.machines.values()):
            self.fill_disks(machine)
            self.assertLess(self.fleet.submit_and_commit(version, version + 1), FAILOVER_MS)
            self.assertNotIn(machine.address, self.fleet.in_sync())
            self.free_disks()
            self.fleet.run(3_000.0)
            version += 1
            self.assert_all_follow(version)

    def test_given_all_disks_full_then_no_command_is_acknowledged_until_space_is_free(self) -> None:
        self.fill_disks(*self.fleet.machines.values())
        self.assert_nothing_is_acknowledged(5)
        self.free_disks()
        self.assert_serves_again(5)

    def test_given_all_disks_but_one_full_then_that_machine_acknowledges_no_command_alone(self) -> None:
        for healthy_address in self.fleet.machines:
            self.setUp()
            self.fill_disks(*(m for address, m in self.fleet.machines.items() if address != healthy_address))
            self.assert_nothing_is_acknowledged(5)
            self.free_disks()
            self.assert_serves_again(5)

    def test_given_all_disks_full_when_all_processes_restart_then_they_serve_once_space_is_free(self) -> None:
        self.fill_disks(*self.fleet.machines.values())
        for machine in self.fleet.machines.values():
            machine.kill()
        for machine in self.fleet.machines.values():
            machine.start()
        self.assert_nothing_is_acknowledged(5)
        self.free_disks()
        self.assert_serves_again(5)

    def test_given_full_disks_when_all_machines_lose_power_then_acknowledged_commands_are_retained(
        self,
    ) -> None:
        for machine in list(self.fleet.machines.values()):
            self.fill_disks(machine)
            machine.lose_power()
        for machine in self.fleet.machines.values():
            machine.start()
        self.free_disks()
        self.assertEqual(3, self.fleet.read_committed(most_ms=RECOVERY_MS).version)


class FullDisksAtBootstrap(unittest.TestCase):
    def assert_bootstrapped_once_space_is_free(self, *full: str) -> None:
        fleet = Fleet(3, 1, seed=31)
        for address in full:
            fleet[address].disk.is_full = True
        fleet.start()
        fleet.run(3_000.0)
        for machine in fleet.machines.values():
            machine.disk.is_full = False
        fleet.stabilize(RECOVERY_MS)
        fleet.submit_and_commit(0, 1)
        fleet.run(3_000.0)
        self.assertEqual({"m1", "m2", "m3"}, fleet.in_sync())

    def test_given_any_full_disks_then_the_system_is_bootstrapped_with_all_machines(self) -> None:
        for full in (("m1",), ("m2",), ("m2", "m3"), ("m1", "m2", "m3")):
            self.assert_bootstrapped_once_space_is_free(*full)

    def test_given_one_permanently_full_disk_then_the_other_machines_commit_commands(self) -> None:
        for full in ("m2", "m3"):
            fleet = Fleet(3, 1, seed=31)
            fleet[full].disk.is_full = True
            fleet.start()
            fleet.stabilize(RECOVERY_MS)
            fleet.submit_and_commit(0, 1)
            self.assertNotIn(full, fleet.in_sync())


class PowerLossOfAllMachines(unittest.TestCase):
    """Whenever power is lost, every acknowledged command is retained and the fleet recovers quickly."""

    def setUp(self) -> None:
        self.fleet = Fleet(3, 1, seed=29)
        self.fleet.start()
        self.fleet.stabilize()
        self.version = 0
        self.slowest_ms = 0.0

    def lose_power_everywhere(self) -> None:
        for machine in self.fleet.machines.values():
            machine.lose_power()

    def start_all(self) -> None:
        for machine in self.fleet.machines.values():
            machine.start()

    def command(self, version: int) -> list[CommandResult]:
        primary = self.fleet.primary()
        assert primary is not None
        results: list[CommandResult] = []
        primary.submit(command(self.version, version, "operator"), results.append)
        return results

    def assert_recovered(self, acknowledged: int, submitted: int) -> None:
        """Check that a confirmed read returns the acknowledged version, or the one submitted after it."""
        started_ms = self.fleet.clock.now_ms
        version = self.fleet.read_committed(most_ms=RECOVERY_MS).version
        self.slowest_ms = max(self.slowest_ms, self.fleet.clock.now_ms - started_ms)
        self.assertIn(version, (acknowledged, submitted))
        self.assertGreaterEqual(version, acknowledged)
        self.version = version

    def test_given_a_power_loss_at_any_moment_of_a_command_then_it_is_retained_once_acknowledged(
        self,
    ) -> None:
        acknowledged_total = 0
        for step in range(24):
            results = self.command(self.version + 2)
            self.fleet.run(STEP_MS * step)
            committed = [result for result in results if result.outcome is CommandOutcome.COMMITTED]
            acknowledged_total += len(committed)
            self.lose_power_everywhere()
            self.start_all()
            self.assert_recovered(self.version + 2 if committed else self.version, self.version + 2)
        self.assertTrue(0 < acknowledged_total < 24)  # power was lost before and after the acknowledgement
        self.assertLess(self.slowest_ms, RECOVERY_MS)

    def test_given_a_second_power_loss_at_any_moment_of_the_start_then_all_commands_are_retained(
        self,
    ) -> None:
        for step in range(24):
            results = self.command(self.version + 2)
            self.fleet.run_until(lambda: bool(results), 1_000.0)  # noqa: B023
            self.assertEqual([CommandOutcome.COMMITTED], [result.outcome for result in results])
            acknowledged = self.version + 2
            self.lose_power_everywhere()
            self.start_all()
            self.fleet.run(40.0 * step)
            self.lose_power_everywhere()
            self.start_all()
            self.assert_recovered(acknowledged, acknowledged)

    def test_given_machines_that_restart_one_by_one_then_all_commands_are_retained(self) -> None:
        for step in range(6):
            results = self.command(self.version + 2)
            self.fleet.run_until(lambda: bool(results), 1_000.0)  # noqa: B023
            self.lose_power_everywhere()
            for machine in self.fleet.rng.sample(list(self.fleet.machines.values()), 3):
                machine.start()
                self.fleet.run(100.0 * step)
            self.assert_recovered(self.version + 2, self.version + 2)


class MutantsAreFound(unittest.TestCase):
    def test_an_append_without_a_sync(self) -> None:
        def append_without_sync(disk: MemoryDisk, name: str, data: bytes) -> None:
            disk._write(disk._files[name], data)

        with (
            patch.object(MemoryDisk, "append", append_without_sync),
            self.assertRaises((AssertionError, TimeoutError)),
        ):
            PowerLossOfAllMachines(
                "test_given_a_second_power_loss_at_any_moment_of_the_start_then_all_commands_are_retained"
            ).debug()

    def test_a_commit_rule_that_ignores_other_replicas(self) -> None:
        def synced_index_of_the_primary(primary: Primary, incarnation: str) -> int:
            return primary._store.synced_index

        faulty_commit_rule = patch.object(Primary, "_synced_by", synced_index_of_the_primary)
        with faulty_commit_rule, self.assertRaises(AssertionError):
            FullDisks(
                "test_given_all_disks_but_one_full_then_that_machine_acknowledges_no_command_alone"
            ).debug()


if __name__ == "__main__":
    unittest.main()
