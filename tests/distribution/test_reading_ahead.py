"""Long configurations are read apart from the subscriber, which takes them as if it had read them itself."""

from __future__ import annotations

import unittest

from madderwind.distribution.reading_ahead import (
    LONG_CONFIGURATION_BYTES,
    ReadAhead,
    document_after,
    is_long,
)
from madderwind.distribution.subscriber import FETCH_TIMEOUT_MS, READING_TIMEOUT_MS
from madderwind.distribution.subscriber_events import (
    ApplyConfiguration,
    ConfigurationArrived,
    MessageReceived,
    TimePassed,
)
from madderwind.messages.distribution import (
    CommandRecord,
    ConfigurationDelta,
    ConfigurationSnapshot,
)
from tests.distribution.test_subscriber import FIRST, SECOND, Story, body, update

SNAPSHOT = ConfigurationSnapshot(5, body(5))


class LongConfigurations(Story):
    def setUp(self) -> None:
        super().setUp()
        self.happens(TimePassed())
        self.connects(FIRST, SECOND)
        for address in (FIRST, SECOND):
            self.receives_freshness(address, 5)
        ((self.requested, _),) = self.fetches()

    def test_given_one_that_is_being_read_then_nobody_else_is_requested_for_it(self) -> None:
        self.happens(ConfigurationArrived(self.requested))
        for address in (FIRST, SECOND) * 5:
            self.receives_freshness(address, 5, after_ms=FETCH_TIMEOUT_MS / 4)
        self.assertEqual(1, len(self.fetches()))

    def test_given_one_that_is_never_read_to_its_end_then_another_is_requested(self) -> None:
        self.happens(ConfigurationArrived(self.requested))
        for address in (FIRST, SECOND) * 10:
            self.receives_freshness(address, 5, after_ms=READING_TIMEOUT_MS / 15)
        self.assertGreater(len(self.fetches()), 1)

    def test_given_one_that_was_read_then_it_is_put_in_force_as_it_is(self) -> None:
        document = document_after(None, SNAPSHOT)
        actions = self.happens(MessageReceived(self.requested, SNAPSHOT, ReadAhead(None, document)))
        put = [action.document for action in actions if isinstance(action, ApplyConfiguration)]
        self.assertIs(document, put[0])

    def test_given_another_document_in_force_meanwhile_then_it_is_read_on_top_of_that(self) -> None:
        early = document_after(None, SNAPSHOT)
        self.hears(FIRST, ConfigurationSnapshot(4, body(4)))
        actions = self.happens(MessageReceived(SECOND, SNAPSHOT, ReadAhead(None, early)))
        put = [action.document for action in actions if isinstance(action, ApplyConfiguration)]
        self.assertIsNot(early, put[0])
        self.assertEqual([4, 5], self.in_force)

    def test_given_an_older_one_that_was_read_for_long_then_the_version_does_not_fall(self) -> None:
        self.hears(FIRST, ConfigurationSnapshot(6, body(6)))
        self.happens(MessageReceived(SECOND, SNAPSHOT, ReadAhead(None, document_after(None, SNAPSHOT))))
        self.assertEqual([6], self.in_force)


class WhatIsLong(unittest.TestCase):
    def test_by_the_bytes_that_have_to_be_read(self) -> None:
        command = CommandRecord(4, 5, "update", update(5) + b" " * (LONG_CONFIGURATION_BYTES // 2))
        self.assertFalse(is_long(SNAPSHOT))
        self.assertTrue(is_long(ConfigurationSnapshot(5, b" " * LONG_CONFIGURATION_BYTES)))
        self.assertFalse(is_long(ConfigurationDelta(4, 5, (command,))))
        self.assertTrue(is_long(ConfigurationDelta(4, 5, (command, command))))


if __name__ == "__main__":
    unittest.main()
