"""Tests that preparing a long command in advance changes only when it is parsed, not the outcome."""

from __future__ import annotations

import unittest
from unittest.mock import patch

from madderwind.configuration import command_preparation
from madderwind.configuration.command_preparation import PreparationCache
from madderwind.configuration.history import LONG_COMMAND_BYTES, ConfigurationHistory
from madderwind.replication.commands import Command, CommandKind, CommandOutcome
from tests.controlplane.configurations import replacement, update

ROUTES = 600


class PreparationOfLongCommands(unittest.TestCase):
    def setUp(self) -> None:
        self.history = ConfigurationHistory()
        self.history.apply(replacement(0, 1))
        self.long = replacement(1, 2, ROUTES)
        self.assertGreater(len(self.long.body), LONG_COMMAND_BYTES)

    def prepare(self, command: Command) -> None:
        preparation = self.history.preparation(command)
        assert preparation is not None
        preparation()

    def forbid_parsing(self) -> None:
        """Make any further parsing of a command fail the test."""
        failure = AssertionError("the command was parsed again")
        self.enterContext(patch.object(command_preparation, "_document_after", side_effect=failure))

    def test_command_is_parsed_once_for_the_history_and_its_copies(self) -> None:
        copy = self.history.copy()
        self.prepare(self.long)
        self.forbid_parsing()
        for history in (self.history, copy):
            self.assertIsNone(history.preparation(self.long))
            self.assertIsNone(history.validate(self.long))
            history.apply(self.long)
            self.assertEqual(2, history.version)

    def test_preparation_does_not_change_the_state(self) -> None:
        before = self.history.snapshot()
        self.prepare(self.long)
        self.assertEqual((1, before), (self.history.version, self.history.snapshot()))

    def test_prepared_command_leads_to_the_same_state(self) -> None:
        unprepared = self.history.copy()
        unprepared._preparation_cache = PreparationCache()
        unprepared.apply(self.long)
        self.prepare(self.long)
        self.history.apply(self.long)
        self.assertEqual(unprepared.snapshot(), self.history.snapshot())
        retried = self.history.validate(self.long)
        assert retried is not None
        self.assertIs(CommandOutcome.COMMITTED, retried.outcome)

    def test_prepared_invalid_command_gets_the_same_result(self) -> None:
        body = self.long.body.replace(b'"timeout_ms": 1000', b'"timeout_ms": 0', 1)
        invalid = Command(CommandKind.REPLACE, 1, body)
        expected = self.history.copy().validate(invalid)
        self.history._preparation_cache = PreparationCache()
        self.prepare(invalid)
        self.forbid_parsing()
        self.assertEqual(expected, self.history.validate(invalid))
        assert expected is not None
        self.assertEqual((CommandOutcome.INVALID, "routes[0].timeout_ms"), (expected.outcome, expected.field))

    def test_command_on_another_version_is_not_prepared(self) -> None:
        self.assertIsNone(self.history.preparation(replacement(7, 8, ROUTES)))

    def test_command_prepared_on_an_older_version_is_parsed_again(self) -> None:
        self.prepare(self.long)
        self.history.apply(update(1, 5))
        rebased = Command(CommandKind.REPLACE, 5, self.long.body)
        self.assertIsNotNone(self.history.preparation(rebased))
        result = self.history.validate(rebased)
        assert result is not None
        self.assertEqual((CommandOutcome.INVALID, "version"), (result.outcome, result.field))

    def test_short_command_needs_no_preparation(self) -> None:
        self.assertIsNone(self.history.preparation(update(1, 2)))


if __name__ == "__main__":
    unittest.main()
