"""Stories of troubles that strike the disks of all machines at once: they are full, or power is lost."""

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

# A full disk that has space again, or a machine that has power again, serves within this: far less than any
# deployment's `recovery_s`.
RECOVERY_MS = 4_000.0
STEP_MS = 1.0


class FullDisks(FleetStory):
    def fill(self, *machines: Machine) -> None:
        for machine in machines:
            machine.disk.is_full = True

    def make_space(self) -> None:
        for machine in self.fleet.machines.values():
            machine.disk.is_full = False

    def assert_nothing_is_acknowledged(self, version: int) -> None:
        """Wherever a command is sent to, and however often."""
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

    def test_given_one_after_the_other_full_then_commands_go_through_at_those_that_are_not(self) -> None:
        version = 3
        for machine in list(self.fleet.machines.values()):
            self.fill(machine)
            self.assertLess(self.fleet.submit_and_commit(version, version + 1), FAILOVER_MS)
            self.assertNotIn(machine.address, self.fleet.in_sync())
            self.make_space()
            self.fleet.run(3_000.0)
            version += 1
            self.assert_all_follow(version)

    def test_given_all_full_then_nothing_is_acknowledged_until_there_is_space(self) -> None:
        self.fill(*self.fleet.machines.values())
        self.assert_nothing_is_acknowledged(5)
        self.make_space()
        self.assert_serves_again(5)

    def test_given_all_full_but_one_then_that_one_acknowledges_nothing_alone(self) -> None:
        for spared in self.fleet.machines:
            self.setUp()
            self.fill(*(m for address, m in self.fleet.machines.items() if address != spared))
            self.assert_nothing_is_acknowledged(5)
            self.make_space()
            self.assert_serves_again(5)

    def test_given_all_full_when_they_are_killed_and_start_then_they_serve_once_there_is_space(self) -> None:
        self.fill(*self.fleet.machines.values())
        for machine in self.fleet.machines.values():
            machine.kill()
        for machine in self.fleet.machines.values():
            machine.start()
        self.assert_nothing_is_acknowledged(5)
        self.make_space()
        self.assert_serves_again(5)

    def test_given_a_full_disk_when_its_machine_loses_power_then_what_was_acknowledged_is_there(self) -> None:
        for machine in list(self.fleet.machines.values()):
            self.fill(machine)
            machine.lose_power()
        for machine in self.fleet.machines.values():
            machine.start()
        self.make_space()
        self.assertEqual(3, self.fleet.read_committed(most_ms=RECOVERY_MS).version)


class FullDisksAtTheFirstStart(unittest.TestCase):
    def assert_founded_once_there_is_space(self, *full: str) -> None:
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

    def test_given_any_of_them_full_then_a_system_is_founded_with_all(self) -> None:
        for full in (("m1",), ("m2",), ("m2", "m3"), ("m1", "m2", "m3")):
            self.assert_founded_once_there_is_space(*full)

    def test_given_one_beside_the_first_that_stays_full_then_the_others_take_commands(self) -> None:
        for full in ("m2", "m3"):
            fleet = Fleet(3, 1, seed=31)
            fleet[full].disk.is_full = True
            fleet.start()
            fleet.stabilize(RECOVERY_MS)
            fleet.submit_and_commit(0, 1)
            self.assertNotIn(full, fleet.in_sync())


class PowerIsLostEverywhere(unittest.TestCase):
    """Each command that was acknowledged is there, whenever that happens, and the fleet serves soon."""

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

    def assert_is_back(self, acknowledged: int, sent: int) -> None:
        """A proven read gives what was acknowledged, or what was sent on top of it."""
        began_ms = self.fleet.clock.now_ms
        version = self.fleet.read_committed(most_ms=RECOVERY_MS).version
        self.slowest_ms = max(self.slowest_ms, self.fleet.clock.now_ms - began_ms)
        self.assertIn(version, (acknowledged, sent))
        self.assertGreaterEqual(version, acknowledged)
        self.version = version

    def test_given_any_moment_of_a_command_then_it_is_there_once_it_was_acknowledged(self) -> None:
        acknowledged_in_all = 0
        for step in range(24):
            results = self.command(self.version + 2)
            self.fleet.run(STEP_MS * step)
            taken = [result for result in results if result.outcome is CommandOutcome.COMMITTED]
            acknowledged_in_all += len(taken)
            self.lose_power_everywhere()
            self.start_all()
            self.assert_is_back(self.version + 2 if taken else self.version, self.version + 2)
        self.assertTrue(0 < acknowledged_in_all < 24)  # before and after the acknowledgement
        self.assertLess(self.slowest_ms, RECOVERY_MS)

    def test_given_a_second_loss_at_any_moment_of_the_start_then_all_is_there(self) -> None:
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
            self.assert_is_back(acknowledged, acknowledged)

    def test_given_machines_that_come_back_one_by_one_then_all_is_there(self) -> None:
        for step in range(6):
            results = self.command(self.version + 2)
            self.fleet.run_until(lambda: bool(results), 1_000.0)  # noqa: B023
            self.lose_power_everywhere()
            for machine in self.fleet.rng.sample(list(self.fleet.machines.values()), 3):
                machine.start()
                self.fleet.run(100.0 * step)
            self.assert_is_back(self.version + 2, self.version + 2)


class MutantsAreFound(unittest.TestCase):
    def test_a_sync_left_out(self) -> None:
        def unsynced(disk: MemoryDisk, name: str, data: bytes) -> None:
            disk._write(disk._files[name], data)

        with patch.object(MemoryDisk, "append", unsynced), self.assertRaises((AssertionError, TimeoutError)):
            PowerIsLostEverywhere(
                "test_given_a_second_loss_at_any_moment_of_the_start_then_all_is_there"
            ).debug()

    def test_a_machine_that_acknowledges_alone(self) -> None:
        def as_if_synced_everywhere(primary: Primary, incarnation: str) -> int:
            return primary._store.synced_index

        alone = patch.object(Primary, "_synced_by", as_if_synced_everywhere)
        with alone, self.assertRaises(AssertionError):
            FullDisks("test_given_all_full_but_one_then_that_one_acknowledges_nothing_alone").debug()


if __name__ == "__main__":
    unittest.main()
