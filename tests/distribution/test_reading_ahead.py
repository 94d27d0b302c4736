"""Long configurations are parsed outside the subscriber, which applies them like those it parses itself."""

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
from tests.distribution.test_subscriber import (
    FIRST,
    SECOND,
    SubscriberTestCase,
    configuration_body,
    update_body,
)

SNAPSHOT = ConfigurationSnapshot(5, configuration_body(5))


class LongConfigurationTest(SubscriberTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.handle(TimePassed())
        self.connect(FIRST, SECOND)
        for address in (FIRST, SECOND):
            self.receive_freshness(address, 5)
        ((self.fetch_address, _),) = self.fetches()

    def test_configuration_being_parsed_is_not_fetched_again(self) -> None:
        self.handle(ConfigurationArrived(self.fetch_address))
        for address in (FIRST, SECOND) * 5:
            self.receive_freshness(address, 5, after_ms=FETCH_TIMEOUT_MS / 4)
        self.assertEqual(1, len(self.fetches()))

    def test_fetched_again_when_parsing_times_out(self) -> None:
        self.handle(ConfigurationArrived(self.fetch_address))
        for address in (FIRST, SECOND) * 10:
            self.receive_freshness(address, 5, after_ms=READING_TIMEOUT_MS / 15)
        self.assertGreater(len(self.fetches()), 1)

    def test_parsed_document_is_applied_without_parsing_again(self) -> None:
        document = document_after(None, SNAPSHOT)
        actions = self.handle(MessageReceived(self.fetch_address, SNAPSHOT, ReadAhead(None, document)))
        applied = [action.document for action in actions if isinstance(action, ApplyConfiguration)]
        self.assertIs(document, applied[0])

    def test_parsed_again_when_the_base_document_changed_meanwhile(self) -> None:
        parsed = document_after(None, SNAPSHOT)
        self.receive(FIRST, ConfigurationSnapshot(4, configuration_body(4)))
        actions = self.handle(MessageReceived(SECOND, SNAPSHOT, ReadAhead(None, parsed)))
        applied = [action.document for action in actions if isinstance(action, ApplyConfiguration)]
        self.assertIsNot(parsed, applied[0])
        self.assertEqual([4, 5], self.applied_versions)

    def test_older_parsed_document_does_not_lower_the_version(self) -> None:
        self.receive(FIRST, ConfigurationSnapshot(6, configuration_body(6)))
        self.handle(MessageReceived(SECOND, SNAPSHOT, ReadAhead(None, document_after(None, SNAPSHOT))))
        self.assertEqual([6], self.applied_versions)


class IsLongTest(unittest.TestCase):
    def test_long_by_the_number_of_bytes_to_parse(self) -> None:
        command = CommandRecord(4, 5, "update", update_body(5) + b" " * (LONG_CONFIGURATION_BYTES // 2))
        self.assertFalse(is_long(SNAPSHOT))
        self.assertTrue(is_long(ConfigurationSnapshot(5, b" " * LONG_CONFIGURATION_BYTES)))
        self.assertFalse(is_long(ConfigurationDelta(4, 5, (command,))))
        self.assertTrue(is_long(ConfigurationDelta(4, 5, (command, command))))


if __name__ == "__main__":
    unittest.main()
