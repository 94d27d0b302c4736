"""The replicated state machine: decisions, repeated commands, snapshots, and commands for those who lag."""

from __future__ import annotations

import unittest
from typing import Any
from unittest.mock import patch

import msgspec

from madderwind.configuration import history as history_module
from madderwind.configuration.history import ConfigurationHistory
from madderwind.configuration.reading import Document
from madderwind.errors import ConfigurationError, MessageError
from madderwind.replication.commands import Command, CommandKind, CommandOutcome, ReplicatedState
from tests.configuration.samples import encoded, route, tenant, whole


def replacement(base: int, version: int, **members: Any) -> Command:
    return Command(CommandKind.REPLACE, base, encoded(whole(version, **members)))


def update(base: int, version: int, **parts: Any) -> Command:
    return Command(CommandKind.UPDATE, base, encoded({"version": version, **parts}))


class HistoryCase(unittest.TestCase):
    def setUp(self) -> None:
        self.history = ConfigurationHistory()

    def outcome(self, command: Command) -> CommandOutcome | None:
        result = self.history.validate(command)
        return None if result is None else result.outcome

    def take(self, *commands: Command) -> None:
        for command in commands:
            self.assertIsNone(self.history.validate(command))
            self.history.apply(command)


class Deciding(HistoryCase):
    def test_the_first_configuration_builds_on_nothing(self) -> None:
        self.assertEqual(self.outcome(replacement(3, 7)), CommandOutcome.STALE_BASE)
        self.take(replacement(0, 7))
        self.assertEqual(self.history.version, 7)

    def test_an_update_of_nothing_is_invalid(self) -> None:
        self.assertEqual(self.outcome(update(0, 7)), CommandOutcome.INVALID)

    def test_one_of_two_operators_on_the_same_base_wins(self) -> None:
        self.take(replacement(0, 7), replacement(7, 9))
        loser = self.history.validate(replacement(7, 9, routes=[route("x")]))
        assert loser is not None
        self.assertEqual((loser.outcome, loser.version), (CommandOutcome.STALE_BASE, 9))

    def test_a_taken_command_is_acknowledged_again_also_after_others(self) -> None:
        commands = [replacement(0, 7), update(7, 9, delete={"routes": ["a"]}), replacement(9, 12)]
        self.take(*commands)
        for command in commands:
            result = self.history.validate(command)
            assert result is not None
            self.assertEqual((result.outcome, result.version), (CommandOutcome.COMMITTED, 12))

    def test_the_same_body_on_another_base_or_of_another_kind_is_another_command(self) -> None:
        self.take(replacement(0, 7))
        body = replacement(0, 7).body
        self.assertEqual(self.outcome(Command(CommandKind.REPLACE, 7, body)), CommandOutcome.INVALID)
        self.assertEqual(self.outcome(Command(CommandKind.UPDATE, 0, body)), CommandOutcome.STALE_BASE)

    def test_invalid_commands_name_the_place_and_change_nothing(self) -> None:
        self.take(replacement(0, 7))
        for command, field in (
            (replacement(7, 7), "version"),
            (replacement(7, 5), "version"),
            (update(7, 7), "version"),
            (replacement(7, 9, routes=[route("a", timeout_ms=0)]), "routes[0].timeout_ms"),
            (update(7, 9, upsert={"tenants": [tenant("red", "key-1")]}), "tenants[2].api_keys[0]"),
            (Command(CommandKind.REPLACE, 7, replacement(7, 9).body[:-9]), "document"),
        ):
            with self.subTest(field):
                result = self.history.validate(command)
                assert result is not None
                self.assertEqual((result.outcome, result.field), (CommandOutcome.INVALID, field))
                self.assertTrue(result.reason)
        self.assertEqual(self.history.version, 7)

    def test_a_base_that_was_not_given_is_never_right(self) -> None:
        self.assertEqual(self.outcome(replacement(-1, 7)), CommandOutcome.STALE_BASE)

    def test_an_invalid_command_cannot_be_applied(self) -> None:
        with self.assertRaises(ConfigurationError):
            self.history.apply(update(0, 7))


class Copies(HistoryCase):
    def test_it_is_what_replication_replicates(self) -> None:
        state: ReplicatedState = self.history
        state.apply(replacement(0, 7))
        self.assertEqual(ConfigurationHistory.restore(state.copy().snapshot()).version, 7)

    def test_a_copy_goes_its_own_way(self) -> None:
        self.take(replacement(0, 7))
        ahead = self.history.copy()
        command = update(7, 9, delete={"routes": ["a"]})
        self.assertIsNone(ahead.validate(command))
        ahead.apply(command)
        self.assertEqual((self.history.version, ahead.version), (7, 9))
        self.assertIsNone(self.history.validate(command))
        self.assertEqual(self.history.commands_since(7), ())

    def test_two_branches_on_the_same_number_are_notified_apart(self) -> None:
        # A primary's unacknowledged version 9 is lost and another version 9 is committed in its place.
        self.take(replacement(0, 7))
        other = self.history.copy()
        self.take(replacement(7, 9))
        first = replacement(7, 9, routes=[route("a"), route("z")])
        self.assertIsNone(other.validate(first))
        other.apply(first)
        second = update(9, 11, delete={"routes": ["b"]})
        self.take(second)
        self.assertIsNone(other.validate(second))
        other.apply(second)
        self.assertEqual([r.name for r in _configuration(self.history).routes], ["a", "c"])
        self.assertEqual([r.name for r in _configuration(other).routes], ["a", "z"])

    def test_a_command_is_read_once_for_all_copies(self) -> None:
        self.take(replacement(0, 7))
        committed = self.history.copy()
        command = replacement(7, 9)
        self.take(command)
        committed.apply(command)
        self.assertIs(committed.document, self.history.document)


class Snapshots(HistoryCase):
    def test_a_restored_history_decides_as_the_first_did(self) -> None:
        commands = [replacement(0, 7, note=1.50), update(7, 9, delete={"routes": ["a"]})]
        self.take(*commands)
        restored = ConfigurationHistory.restore(self.history.snapshot())
        self.assertEqual(restored.version, 9)
        for command in commands:
            result = restored.validate(command)
            assert result is not None
            self.assertEqual(result.outcome, CommandOutcome.COMMITTED)
        self.assertEqual(_document(restored).raw, _document(self.history).raw)
        self.assertEqual(_configuration(restored), _configuration(self.history))
        self.assertEqual(restored.commands_since(7), self.history.commands_since(7))
        self.assertEqual(restored.snapshot(), self.history.snapshot())

    def test_an_empty_history(self) -> None:
        restored = ConfigurationHistory.restore(self.history.snapshot())
        self.assertEqual((restored.version, restored.document), (0, None))

    def test_of_the_first_form_knows_the_commands_that_it_keeps(self) -> None:
        """A snapshot on disk from before digests were kept by base version: a list of digests alone."""
        commands = [replacement(version, version + 1) for version in range(6)]
        with patch.object(history_module, "RETAINED_COMMANDS", 3):
            self.take(*commands)
        document, digests, retained = msgspec.msgpack.decode(self.history.snapshot())
        first_form = msgspec.msgpack.encode([document, [digest for _, digest in digests], retained])

        self.history = ConfigurationHistory.restore(first_form)

        self.assertEqual(self.history.version, 6)
        self.assertEqual([self.outcome(command) for command in commands[:3]], [CommandOutcome.UNKNOWN] * 3)
        self.assertEqual([self.outcome(command) for command in commands[3:]], [CommandOutcome.COMMITTED] * 3)
        self.assertEqual(self.outcome(replacement(5, 9)), CommandOutcome.STALE_BASE)

    def test_bytes_that_are_no_snapshot(self) -> None:
        for data in (b"", b"\x93", b"hello", self.history.snapshot()[:-1]):
            with self.subTest(data), self.assertRaises(MessageError):
                ConfigurationHistory.restore(data)


class MutantsAreFound(unittest.TestCase):
    def test_digests_left_out_of_the_snapshot(self) -> None:
        def without_digests(data: bytes) -> ConfigurationHistory:
            history = ordinary(data)
            history._digests.clear()
            return history

        ordinary = ConfigurationHistory.restore
        result = unittest.TestResult()
        with patch.object(ConfigurationHistory, "restore", without_digests):
            Snapshots("test_a_restored_history_decides_as_the_first_did").run(result)
        self.assertTrue(result.failures)


class OrdersForThoseWhoLag(HistoryCase):
    def grow(self, count: int, padding: int = 0) -> None:
        self.take(replacement(0, 1))
        for version in range(1, count):
            changed = route("a", note="x" * padding, number=version)
            self.take(update(version, version + 1, upsert={"routes": [changed]}))

    def test_the_commands_from_a_version_on(self) -> None:
        self.grow(5)
        records = self.history.commands_since(3)
        assert records is not None
        self.assertEqual(
            [(r.base_version, r.version, r.kind) for r in records], [(3, 4, "update"), (4, 5, "update")]
        )
        everything = self.history.commands_since(0)
        assert everything is not None
        self.assertEqual(everything[0].kind, "replace")
        self.assertEqual(self.history.commands_since(5), ())
        self.assertIsNone(self.history.commands_since(99))

    def test_retained_by_count(self) -> None:
        self.grow(history_module.RETAINED_COMMANDS + 10)
        self.assertIsNone(self.history.commands_since(3))
        retained = self.history.commands_since(self.history.version - history_module.RETAINED_COMMANDS)
        assert retained is not None
        self.assertEqual(len(retained), history_module.RETAINED_COMMANDS)

    def test_retained_by_bytes(self) -> None:
        self.grow(30, padding=history_module.RETAINED_COMMAND_BYTES // 10)
        self.assertIsNone(self.history.commands_since(10))
        retained = self.history.commands_since(25)
        assert retained is not None
        self.assertLessEqual(
            sum(len(record.body) for record in retained), history_module.RETAINED_COMMAND_BYTES
        )

    def test_digests_are_retained_much_longer(self) -> None:
        self.grow(history_module.RETAINED_COMMANDS + 10)
        self.assertEqual(self.outcome(replacement(0, 1)), CommandOutcome.COMMITTED)


class OrdersOlderThanAllDigests(HistoryCase):
    def setUp(self) -> None:
        super().setUp()
        self.commands = [replacement(0, 1)]
        self.commands += [update(version, version + 1) for version in range(1, 9)]
        with patch.object(history_module, "RETAINED_DIGESTS", 4):
            self.take(*self.commands)

    def test_given_a_command_whose_digest_is_retained_then_it_is_acknowledged_again(self) -> None:
        for command in self.commands[-4:]:
            self.assertEqual(self.outcome(command), CommandOutcome.COMMITTED)

    def test_given_a_taken_command_whose_digest_is_forgotten_then_it_is_not_refused(self) -> None:
        for command in self.commands[:-4]:
            self.assertEqual(self.outcome(command), CommandOutcome.UNKNOWN)

    def test_given_another_command_on_a_base_that_is_retained_then_it_is_refused(self) -> None:
        self.assertEqual(self.outcome(update(6, 99)), CommandOutcome.STALE_BASE)
        self.assertEqual(self.outcome(update(99, 100)), CommandOutcome.STALE_BASE)

    def test_given_a_command_on_a_base_that_is_forgotten_then_whether_it_was_taken_is_unclear(self) -> None:
        self.assertEqual(self.outcome(update(2, 99)), CommandOutcome.UNKNOWN)

    def test_given_a_snapshot_then_the_same_is_known_and_the_same_forgotten(self) -> None:
        outcomes = [self.outcome(command) for command in self.commands]
        self.history = ConfigurationHistory.restore(self.history.snapshot())
        self.assertEqual([self.outcome(command) for command in self.commands], outcomes)


def _document(history: ConfigurationHistory) -> Document:
    assert history.document is not None
    return history.document


def _configuration(history: ConfigurationHistory) -> Any:
    return _document(history).configuration
