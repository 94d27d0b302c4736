"""Stories of long commands that are read beforehand: nothing but the time at which they are read differs."""

from __future__ import annotations

import unittest
from unittest.mock import patch

from madderwind.configuration import command_preparation
from madderwind.configuration.command_preparation import PreparationCache
from madderwind.configuration.history import LONG_COMMAND_BYTES, ConfigurationHistory
from madderwind.replication.commands import Command, CommandKind, CommandOutcome
from tests.controlplane.configurations import replacement, update

ROUTES = 600


class ALongCommand(unittest.TestCase):
    def setUp(self) -> None:
        self.history = ConfigurationHistory()
        self.history.apply(replacement(0, 1))
        self.long = replacement(1, 2, ROUTES)
        self.assertGreater(len(self.long.body), LONG_COMMAND_BYTES)

    def prepare(self, command: Command) -> None:
        preparation = self.history.preparation(command)
        assert preparation is not None
        preparation()

    def refuse_to_read(self) -> None:
        """From here on reading would show."""
        failure = AssertionError("it was read again")
        self.enterContext(patch.object(command_preparation, "_ordered", side_effect=failure))

    def test_is_read_once_for_the_state_and_its_copies(self) -> None:
        copy = self.history.copy()
        self.prepare(self.long)
        self.refuse_to_read()
        for history in (self.history, copy):
            self.assertIsNone(history.preparation(self.long))
            self.assertIsNone(history.validate(self.long))
            history.apply(self.long)
            self.assertEqual(2, history.version)

    def test_changes_nothing_that_can_be_seen_before_it_is_applied(self) -> None:
        before = self.history.snapshot()
        self.prepare(self.long)
        self.assertEqual((1, before), (self.history.version, self.history.snapshot()))

    def test_leads_to_the_same_state_as_without(self) -> None:
        other = self.history.copy()
        other._prepared = PreparationCache()
        other.apply(self.long)
        self.prepare(self.long)
        self.history.apply(self.long)
        self.assertEqual(other.snapshot(), self.history.snapshot())
        again = self.history.validate(self.long)
        assert again is not None
        self.assertIs(CommandOutcome.COMMITTED, again.outcome)

    def test_that_is_invalid_is_refused_with_the_same_words(self) -> None:
        body = self.long.body.replace(b'"timeout_ms": 1000', b'"timeout_ms": 0', 1)
        invalid = Command(CommandKind.REPLACE, 1, body)
        expected = self.history.copy().validate(invalid)
        self.history._prepared = PreparationCache()
        self.prepare(invalid)
        self.refuse_to_read()
        self.assertEqual(expected, self.history.validate(invalid))
        assert expected is not None
        self.assertEqual((CommandOutcome.INVALID, "routes[0].timeout_ms"), (expected.outcome, expected.field))

    def test_on_another_version_is_refused_unread(self) -> None:
        self.assertIsNone(self.history.preparation(replacement(7, 8, ROUTES)))

    def test_prepared_on_an_older_version_is_read_anew_on_the_present_one(self) -> None:
        self.prepare(self.long)
        self.history.apply(update(1, 5))
        rebased = Command(CommandKind.REPLACE, 5, self.long.body)
        self.assertIsNotNone(self.history.preparation(rebased))
        result = self.history.validate(rebased)
        assert result is not None
        self.assertEqual((CommandOutcome.INVALID, "version"), (result.outcome, result.field))

    def test_that_is_short_needs_no_preparation(self) -> None:
        self.assertIsNone(self.history.preparation(update(1, 2)))


if __name__ == "__main__":
    unittest.main()
