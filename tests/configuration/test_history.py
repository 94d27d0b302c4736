"""Tests of the replicated configuration history: outcomes, retried commands, snapshots and retention."""

from __future__ import annotations

import unittest
from typing import Any
from unittest.mock import patch

import msgspec

from madderwind.configuration import acceptance
from madderwind.configuration import history as history_module
from madderwind.configuration.acceptance import DOCUMENT_SIZE
from madderwind.configuration.history import ConfigurationHistory
from madderwind.configuration.json_parts import RESERVED_STACK_FRAMES
from madderwind.configuration.reading import Document
from madderwind.errors import ConfigurationError, MessageError
from madderwind.messages.distribution import ConfigurationSnapshot, to_data_plane
from madderwind.messages.message_pack import MAX_INTEGER_DIGITS
from madderwind.messages.peering import ReadReply, peer_frames
from madderwind.replication.commands import Command, CommandKind, CommandOutcome, ReplicatedState
from tests.configuration.samples import complete_configuration, encoded, route, tenant


def replacement(base: int, version: int, **members: Any) -> Command:
    return Command(CommandKind.REPLACE, base, encoded(complete_configuration(version, **members)))


def update(base: int, version: int, **parts: Any) -> Command:
    return Command(CommandKind.UPDATE, base, encoded({"version": version, **parts}))


class HistoryCase(unittest.TestCase):
    def setUp(self) -> None:
        self.history = ConfigurationHistory()

    def outcome(self, command: Command) -> CommandOutcome | None:
        result = self.history.validate(command)
        return None if result is None else result.outcome

    def commit(self, *commands: Command) -> None:
        for command in commands:
            self.assertIsNone(self.history.validate(command))
            self.history.apply(command)


class CommandOutcomes(HistoryCase):
    def test_first_configuration_has_base_version_zero(self) -> None:
        self.assertEqual(self.outcome(replacement(3, 7)), CommandOutcome.STALE_BASE)
        self.commit(replacement(0, 7))
        self.assertEqual(self.history.version, 7)

    def test_update_without_a_configuration_is_invalid(self) -> None:
        self.assertEqual(self.outcome(update(0, 7)), CommandOutcome.INVALID)

    def test_second_command_on_the_same_base_is_rejected(self) -> None:
        self.commit(replacement(0, 7), replacement(7, 9))
        rejected = self.history.validate(replacement(7, 9, routes=[route("x")]))
        assert rejected is not None
        self.assertEqual((rejected.outcome, rejected.version), (CommandOutcome.STALE_BASE, 9))

    def test_retried_command_is_acknowledged_after_later_commands(self) -> None:
        commands = [replacement(0, 7), update(7, 9, delete={"routes": ["a"]}), replacement(9, 12)]
        self.commit(*commands)
        for command in commands:
            result = self.history.validate(command)
            assert result is not None
            self.assertEqual((result.outcome, result.version), (CommandOutcome.COMMITTED, 12))

    def test_command_identity_includes_base_version_and_kind(self) -> None:
        self.commit(replacement(0, 7))
        body = replacement(0, 7).body
        self.assertEqual(self.outcome(Command(CommandKind.REPLACE, 7, body)), CommandOutcome.INVALID)
        self.assertEqual(self.outcome(Command(CommandKind.UPDATE, 0, body)), CommandOutcome.STALE_BASE)

    def test_invalid_command_reports_the_field_and_changes_nothing(self) -> None:
        self.commit(replacement(0, 7))
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

    def test_missing_base_version_is_rejected(self) -> None:
        self.assertEqual(self.outcome(replacement(-1, 7)), CommandOutcome.STALE_BASE)

    def test_applying_an_invalid_command_raises(self) -> None:
        with self.assertRaises(ConfigurationError):
            self.history.apply(update(0, 7))


class HistoryCopies(HistoryCase):
    def test_history_implements_replicated_state(self) -> None:
        state: ReplicatedState = self.history
        state.apply(replacement(0, 7))
        self.assertEqual(ConfigurationHistory.restore(state.copy().snapshot()).version, 7)

    def test_copy_is_independent(self) -> None:
        self.commit(replacement(0, 7))
        copy_with_update = self.history.copy()
        command = update(7, 9, delete={"routes": ["a"]})
        self.assertIsNone(copy_with_update.validate(command))
        copy_with_update.apply(command)
        self.assertEqual((self.history.version, copy_with_update.version), (7, 9))
        self.assertIsNone(self.history.validate(command))
        self.assertEqual(self.history.commands_since(7), ())

    def test_branches_with_the_same_version_number_stay_separate(self) -> None:
        # A former primary's uncommitted version 9 is lost, and another version 9 is committed in its place.
        self.commit(replacement(0, 7))
        other = self.history.copy()
        self.commit(replacement(7, 9))
        competing = replacement(7, 9, routes=[route("a"), route("z")])
        self.assertIsNone(other.validate(competing))
        other.apply(competing)
        following = update(9, 11, delete={"routes": ["b"]})
        self.commit(following)
        self.assertIsNone(other.validate(following))
        other.apply(following)
        self.assertEqual([r.name for r in _configuration(self.history).routes], ["a", "c"])
        self.assertEqual([r.name for r in _configuration(other).routes], ["a", "z"])

    def test_command_is_parsed_once_for_all_copies(self) -> None:
        self.commit(replacement(0, 7))
        committed = self.history.copy()
        command = replacement(7, 9)
        self.commit(command)
        committed.apply(command)
        self.assertIs(committed.document, self.history.document)


class HistorySnapshots(HistoryCase):
    def test_restored_history_returns_the_same_outcomes(self) -> None:
        commands = [replacement(0, 7, note=1.50), update(7, 9, delete={"routes": ["a"]})]
        self.commit(*commands)
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

    def test_empty_history_is_restored(self) -> None:
        restored = ConfigurationHistory.restore(self.history.snapshot())
        self.assertEqual((restored.version, restored.document), (0, None))

    def test_legacy_snapshot_acknowledges_its_retained_commands(self) -> None:
        """The legacy snapshot format stored a list of digests without their base versions."""
        commands = [replacement(version, version + 1) for version in range(6)]
        with patch.object(history_module, "RETAINED_COMMANDS", 3):
            self.commit(*commands)
        document, digests, retained = msgspec.msgpack.decode(self.history.snapshot())
        legacy_snapshot = msgspec.msgpack.encode([document, [digest for _, digest in digests], retained])

        self.history = ConfigurationHistory.restore(legacy_snapshot)

        self.assertEqual(self.history.version, 6)
        self.assertEqual([self.outcome(command) for command in commands[:3]], [CommandOutcome.UNKNOWN] * 3)
        self.assertEqual([self.outcome(command) for command in commands[3:]], [CommandOutcome.COMMITTED] * 3)
        self.assertEqual(self.outcome(replacement(5, 9)), CommandOutcome.STALE_BASE)

    def test_invalid_snapshot_is_rejected(self) -> None:
        for data in (b"", b"\x93", b"hello", self.history.snapshot()[:-1]):
            with self.subTest(data), self.assertRaises(MessageError):
                ConfigurationHistory.restore(data)


class SnapshotTestsDetectMutants(unittest.TestCase):
    def test_missing_digests_are_detected(self) -> None:
        def without_digests(data: bytes) -> ConfigurationHistory:
            history = original_restore(data)
            history._digests.clear()
            return history

        original_restore = ConfigurationHistory.restore
        result = unittest.TestResult()
        with patch.object(ConfigurationHistory, "restore", without_digests):
            HistorySnapshots("test_restored_history_returns_the_same_outcomes").run(result)
        self.assertTrue(result.failures)


class RetainedCommands(HistoryCase):
    def commit_updates(self, count: int, padding: int = 0) -> None:
        self.commit(replacement(0, 1))
        for version in range(1, count):
            changed = route("a", note="x" * padding, number=version)
            self.commit(update(version, version + 1, upsert={"routes": [changed]}))

    def test_commands_since_a_version(self) -> None:
        self.commit_updates(5)
        records = self.history.commands_since(3)
        assert records is not None
        self.assertEqual(
            [(r.base_version, r.version, r.kind) for r in records], [(3, 4, "update"), (4, 5, "update")]
        )
        all_records = self.history.commands_since(0)
        assert all_records is not None
        self.assertEqual(all_records[0].kind, "replace")
        self.assertEqual(self.history.commands_since(5), ())
        self.assertIsNone(self.history.commands_since(99))

    def test_retention_is_limited_by_count(self) -> None:
        self.commit_updates(history_module.RETAINED_COMMANDS + 10)
        self.assertIsNone(self.history.commands_since(3))
        retained = self.history.commands_since(self.history.version - history_module.RETAINED_COMMANDS)
        assert retained is not None
        self.assertEqual(len(retained), history_module.RETAINED_COMMANDS)

    def test_retention_is_limited_by_bytes(self) -> None:
        self.commit_updates(30, padding=history_module.RETAINED_COMMAND_BYTES // 10)
        self.assertIsNone(self.history.commands_since(10))
        retained = self.history.commands_since(25)
        assert retained is not None
        self.assertLessEqual(
            sum(len(record.body) for record in retained), history_module.RETAINED_COMMAND_BYTES
        )

    def test_digests_are_retained_longer_than_commands(self) -> None:
        self.commit_updates(history_module.RETAINED_COMMANDS + 10)
        self.assertEqual(self.outcome(replacement(0, 1)), CommandOutcome.COMMITTED)


class DroppedDigests(HistoryCase):
    def setUp(self) -> None:
        super().setUp()
        self.commands = [replacement(0, 1)]
        self.commands += [update(version, version + 1) for version in range(1, 9)]
        with patch.object(history_module, "RETAINED_DIGESTS", 4):
            self.commit(*self.commands)

    def test_retried_command_with_retained_digest_is_acknowledged(self) -> None:
        for command in self.commands[-4:]:
            self.assertEqual(self.outcome(command), CommandOutcome.COMMITTED)

    def test_retried_command_with_dropped_digest_is_not_rejected(self) -> None:
        for command in self.commands[:-4]:
            self.assertEqual(self.outcome(command), CommandOutcome.UNKNOWN)

    def test_other_command_on_a_retained_base_is_rejected(self) -> None:
        self.assertEqual(self.outcome(update(6, 99)), CommandOutcome.STALE_BASE)
        self.assertEqual(self.outcome(update(99, 100)), CommandOutcome.STALE_BASE)

    def test_other_command_on_a_dropped_base_has_unknown_outcome(self) -> None:
        self.assertEqual(self.outcome(update(2, 99)), CommandOutcome.UNKNOWN)

    def test_snapshot_preserves_all_outcomes(self) -> None:
        outcomes = [self.outcome(command) for command in self.commands]
        self.history = ConfigurationHistory.restore(self.history.snapshot())
        self.assertEqual([self.outcome(command) for command in self.commands], outcomes)


class NestedDocuments(HistoryCase):
    DEPTHS = (10, 200, 400, 600, 800, 850, 900, 950, 1100)

    def test_what_is_accepted_is_restored_by_a_caller_with_a_deeper_stack(self) -> None:
        # Guards against an acknowledged document that a control plane cannot read when it starts.
        accepted = [depth for depth in self.DEPTHS if self.is_accepted_and_restored(depth)]
        self.assertIn(400, accepted)
        self.assertNotIn(1100, accepted)

    def is_accepted_and_restored(self, depth: int) -> bool:
        self.history = ConfigurationHistory()
        nested = msgspec.Raw(b"[" * depth + b"]" * depth)
        command = Command(CommandKind.REPLACE, 0, encoded_with(nested))
        if self.outcome(command) is not None:
            return False
        self.commit(command)
        restored = restored_below(RESERVED_STACK_FRAMES - 50, self.history.snapshot())
        self.assertEqual(_document(restored).raw, command.body)
        return True

    def test_the_result_names_the_document(self) -> None:
        result = self.history.validate(Command(CommandKind.REPLACE, 0, encoded_with(NESTED_TOO_DEEPLY)))
        assert result is not None
        self.assertEqual((result.outcome, result.field), (CommandOutcome.INVALID, "document"))


class DocumentSize(HistoryCase):
    def setUp(self) -> None:
        super().setUp()
        self.commit(replacement(0, 10))
        self.max_bytes = self.bytes_after(self.padded(10, 1000))
        limited = patch.object(acceptance, "MAX_DOCUMENT_BYTES", self.max_bytes)
        limited.start()
        self.addCleanup(limited.stop)

    def padded(self, base: int, padding: int, name: str = "a") -> Command:
        return update(base, base + 1, upsert={"routes": [route(name, note="x" * padding)]})

    def bytes_after(self, command: Command) -> int:
        return len(_document(self.history).updated(command.body).raw)

    def test_an_update_that_leads_to_exactly_the_maximum_is_accepted(self) -> None:
        self.commit(self.padded(10, 1000))
        self.assertEqual(len(_document(self.history).raw), self.max_bytes)

    def test_one_byte_more_is_rejected_with_the_sizes_and_the_state_stays(self) -> None:
        # Guards against a document that no data plane can read, however small its updates are (review/6).
        result = self.history.validate(self.padded(10, 1001))
        assert result is not None
        self.assertEqual((result.outcome, result.field), (CommandOutcome.INVALID, DOCUMENT_SIZE))
        self.assertEqual(result.reason, f"{self.max_bytes + 1} bytes exceed the maximum of {self.max_bytes}")
        self.commit(update(10, 11, delete={"tenants": ["nobody"]}))

    def test_a_replacement_is_bound_too(self) -> None:
        self.assertEqual(self.outcome(replacement(10, 11, note="x" * 2000)), CommandOutcome.INVALID)

    def test_a_stored_document_beyond_the_maximum_can_only_become_smaller(self) -> None:
        self.history.apply(self.padded(10, 5000))
        self.history = ConfigurationHistory.restore(self.history.snapshot())
        self.assertEqual(self.outcome(self.padded(11, 5000)), CommandOutcome.INVALID)
        self.assertEqual(self.outcome(self.padded(11, 9, "new")), CommandOutcome.INVALID)
        self.commit(self.padded(11, 4000), self.padded(12, 900))
        self.assertLessEqual(len(_document(self.history).raw), self.max_bytes)

    def test_a_stored_document_beyond_the_maximum_can_be_replaced(self) -> None:
        self.history.apply(self.padded(10, 5000))
        self.commit(replacement(11, 12))


class LongestDocument(HistoryCase):
    def test_whatever_is_accepted_is_decoded_by_a_data_plane(self) -> None:
        # Guards against updates that lead to a document which no data plane can read (review/6).
        self.commit(replacement(0, 1))
        padding = "x" * 3_600_000
        for version in range(1, 7):
            command = update(version, version + 1, upsert={"routes": [route(f"r-{version}", note=padding)]})
            if self.outcome(command) is CommandOutcome.INVALID:
                break
            self.commit(command)
            document = _document(self.history)
            snapshot = ConfigurationSnapshot(document.version, document.raw)
            self.assertEqual(to_data_plane.decode(to_data_plane.encode(snapshot)), snapshot)
        self.commit(update(version, version + 1, delete={"routes": ["a"]}))

    def test_it_passes_every_message_that_holds_a_document(self) -> None:
        # Guards against an encoder and a decoder with other limits than the check at the door.
        document = b"x" * acceptance.MAX_DOCUMENT_BYTES
        snapshot = ConfigurationSnapshot(10**MAX_INTEGER_DIGITS - 1, document)
        self.assertEqual(to_data_plane.decode(to_data_plane.encode(snapshot)), snapshot)
        reply = ReadReply(1, True, 10**MAX_INTEGER_DIGITS - 1, document)
        self.assertEqual(peer_frames.decode(peer_frames.encode(reply)), reply)


class TenantsThatNoHeaderCanName(HistoryCase):
    def test_are_rejected_with_the_field(self) -> None:
        # Guards against a tenant each of whose requests ends with 500.
        for name in ("a\r\nX-Key: b", "a\n", "\x00"):
            result = self.history.validate(replacement(0, 1, tenants=[tenant("t-0", "k"), tenant(name, "l")]))
            assert result is not None
            self.assertEqual((result.outcome, result.field), (CommandOutcome.INVALID, "tenants[1].name"))

    def test_are_rejected_in_an_update(self) -> None:
        self.commit(replacement(0, 1))
        self.assertEqual(
            self.outcome(update(1, 2, upsert={"tenants": [tenant("a\n", "l")]})), CommandOutcome.INVALID
        )

    def test_that_an_earlier_version_accepted_do_not_prevent_other_changes(self) -> None:
        self.history.apply(replacement(0, 1, tenants=[tenant("a\n", "l")]))
        self.history = ConfigurationHistory.restore(self.history.snapshot())
        self.commit(update(1, 2, delete={"routes": ["a"]}), update(2, 3, delete={"tenants": ["a\n"]}))
        self.assertEqual(_configuration(self.history).tenants, ())


NESTED_TOO_DEEPLY = msgspec.Raw(b"[" * 900 + b"]" * 900)


def encoded_with(member: msgspec.Raw) -> bytes:
    return msgspec.json.encode({**complete_configuration(1), "member": member})


def restored_below(frames: int, snapshot: bytes) -> ConfigurationHistory:
    """The history restored by a caller whose stack is deeper by so many frames."""
    if frames > 0:
        return restored_below(frames - 1, snapshot)
    return ConfigurationHistory.restore(snapshot)


def _document(history: ConfigurationHistory) -> Document:
    assert history.document is not None
    return history.document


def _configuration(history: ConfigurationHistory) -> Any:
    return _document(history).configuration
