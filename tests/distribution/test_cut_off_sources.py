"""A data plane whose control planes are cut off, paused or delayed does not report itself as current."""

from __future__ import annotations

import itertools
import unittest
from unittest.mock import patch

from madderwind.distribution.link import MAX_CLOCK_INTERVAL_MS, ControlPlaneLink
from madderwind.distribution.remote_clock import RemoteClock
from madderwind.distribution.subscriber import CURRENT_MS
from madderwind.distribution.subscriber_events import LinkClosed, LinkOpened, Send, TimePassed
from madderwind.messages.distribution import (
    ClockReading,
    ClockRequest,
    ConfigurationSnapshot,
    ControlPlanes,
    Freshness,
    RegistrySnapshot,
)
from tests.distribution.test_subscriber import (
    FIRST,
    SECOND,
    SEEDS,
    THIRD,
    SubscriberTestCase,
    configuration_body,
)

CUT_OFF_MS = 20_000.0
INTERVAL_MS = 250.0


class CutOffTestCase(SubscriberTestCase):
    """A data plane at version 5, connected to three control planes of which the first is primary.

    The control planes' clocks run at the same rate as the local one, a day ahead."""

    clock_offset_ms = 86_400_000.0

    def setUp(self) -> None:
        super().setUp()
        self.handle(TimePassed())
        self.connect(*SEEDS)
        for address in SEEDS:
            self.publish_freshness(address, 5)
        self.receive(FIRST, ConfigurationSnapshot(5, configuration_body(5)))

    def publish_freshness(
        self,
        address: str,
        version: int,
        *,
        age_ms: float | None = 50.0,
        epoch: int = 2,
        is_primary: bool | None = None,
        data_planes: int = 6,
        delay_ms: float = 0.0,
    ) -> None:
        """Receive a control plane's freshness that was sent `delay_ms` ago."""
        is_primary = address == FIRST if is_primary is None else is_primary
        clock_ms = self.now_ms + self.clock_offset_ms - delay_ms
        self.receive(address, Freshness(version, epoch, age_ms, is_primary, data_planes, clock_ms))

    @property
    def is_current(self) -> bool:
        return self.subscriber.is_current(self.now_ms)

    @property
    def is_connected(self) -> bool:
        return self.subscriber.is_connected(self.now_ms)


class CurrentVersionTest(CutOffTestCase):
    def test_current_with_fresh_control_planes(self) -> None:
        self.assertTrue(self.is_current)
        self.assertTrue(self.is_connected)

    def test_freshness_of_cut_off_control_planes_ages(self) -> None:
        for cut_ms in range(0, int(CUT_OFF_MS), int(INTERVAL_MS)):
            for address in SEEDS:
                self.publish_freshness(address, 5, age_ms=50.0 + cut_ms)
            self.assertEqual(50.0 + cut_ms < CURRENT_MS, self.is_current, cut_ms)
            self.handle(TimePassed(), INTERVAL_MS)

    def test_delayed_freshness_is_stale_on_arrival(self) -> None:
        self.handle(TimePassed(), 1_000.0)
        for address in SEEDS:
            self.publish_freshness(address, 5, delay_ms=900.0)
        self.assertFalse(self.is_current)
        self.assertFalse(self.is_connected)
        self.publish_freshness(SECOND, 5)
        self.assertTrue(self.is_current)

    def test_increasingly_delayed_freshness_is_stale_without_a_timeout(self) -> None:
        for delay_ms in range(0, 2_000, 40):
            self.handle(TimePassed(), INTERVAL_MS)
            for address in SEEDS:
                self.publish_freshness(address, 5, delay_ms=delay_ms)
            self.assertEqual(50.0 + delay_ms < CURRENT_MS, self.is_current, delay_ms)

    def test_freshness_read_after_a_pause_of_the_process_is_stale(self) -> None:
        self.now_ms += CUT_OFF_MS
        self.publish_freshness(SECOND, 5, delay_ms=CUT_OFF_MS - 100.0)
        self.assertFalse(self.is_current)

    def test_older_version_of_other_control_planes_does_not_prove_current(self) -> None:
        self.publish_freshness(THIRD, 7)
        self.handle(LinkClosed(THIRD))
        for address in (FIRST, SECOND):
            self.publish_freshness(address, 5)
        self.assertFalse(self.is_current)
        self.receive(SECOND, ConfigurationSnapshot(7, configuration_body(7)))
        self.publish_freshness(FIRST, 7)
        self.assertTrue(self.is_current)

    def test_freshness_without_a_known_lease_does_not_prove_current(self) -> None:
        for address in SEEDS:
            self.handle(LinkClosed(address))
        self.handle(TimePassed(), 1_000.0)
        self.handle(LinkOpened(FIRST))
        self.publish_freshness(FIRST, 5, age_ms=None)
        self.assertFalse(self.is_current)


class PrimaryTest(CutOffTestCase):
    def test_newer_primary_overrides_former_primary_that_still_sends(self) -> None:
        self.publish_freshness(SECOND, 5, epoch=3, is_primary=True)
        self.publish_freshness(FIRST, 5, epoch=2, is_primary=True)
        self.assertEqual(SECOND, self.subscriber.primary)

    def test_connected_primary_overrides_a_named_one(self) -> None:
        self.receive(THIRD, ControlPlanes(SEEDS, THIRD))
        self.assertEqual(FIRST, self.subscriber.primary)

    def test_named_primary_replaces_one_that_stepped_down(self) -> None:
        self.receive(THIRD, ControlPlanes(SEEDS, SECOND))
        self.publish_freshness(FIRST, 5, is_primary=False)
        self.assertFalse(self.is_connected)
        self.assertEqual(SECOND, self.subscriber.primary)

    def test_named_primary_replaces_cut_off_primary_once_its_freshness_is_stale(self) -> None:
        self.receive(THIRD, ControlPlanes(SEEDS, SECOND))
        self.handle(TimePassed(), CURRENT_MS)
        self.assertEqual(SECOND, self.subscriber.primary)


class DataPlaneCountTest(CutOffTestCase):
    def test_count_of_the_primary_overrides_that_of_a_backup(self) -> None:
        self.publish_freshness(SECOND, 5, data_planes=1)
        self.assertEqual(6, self.subscriber.data_planes)
        self.publish_freshness(FIRST, 5, data_planes=4)
        self.assertEqual(4, self.subscriber.data_planes)

    def test_count_does_not_decrease_while_only_a_cut_off_backup_is_connected(self) -> None:
        self.handle(LinkClosed(FIRST))
        self.publish_freshness(SECOND, 5, age_ms=CUT_OFF_MS, data_planes=1)
        self.assertEqual(6, self.subscriber.data_planes)
        self.publish_freshness(SECOND, 5, age_ms=CUT_OFF_MS, data_planes=8)
        self.assertEqual(8, self.subscriber.data_planes)


class RemoteClockTest(CutOffTestCase):
    def test_clock_request_interval_doubles_on_an_open_link(self) -> None:
        requested_ms = [0.0]
        opened_ms = self.now_ms
        while self.now_ms - opened_ms < 3 * MAX_CLOCK_INTERVAL_MS:
            self.publish_freshness(FIRST, 5)
            for action in self.handle(TimePassed(), 50.0):
                if isinstance(action, Send) and action.address == FIRST:
                    self.assertIsInstance(action.message, ClockRequest)
                    requested_ms.append(self.now_ms - opened_ms)
        intervals_ms = [after - before for before, after in itertools.pairwise(requested_ms)]
        self.assertEqual([250.0, 500.0, 1_000.0, 2_000.0, 4_000.0, 8_000.0, 16_000.0, 20_000.0], intervals_ms)

    def test_current_after_a_clock_request_when_the_first_response_was_slow(self) -> None:
        self.handle(LinkClosed(SECOND))
        self.handle(TimePassed(), 1_000.0)
        self.handle(LinkOpened(SECOND))
        self.sent.clear()
        self.now_ms += 590.0  # the control plane was busy when it received the subscription
        self.publish_freshness(SECOND, 5)
        self.assertFalse(self.is_current)
        self.answer_clocks()
        self.publish_freshness(SECOND, 5)
        self.assertTrue(self.is_current)

    def answer_clocks(self) -> None:
        """Respond to all clock requests at once."""
        sent, self.sent = self.sent, []
        for address, message in sent:
            if isinstance(message, ClockRequest):
                self.receive(address, ClockReading(message.requested_ms, self.now_ms + self.clock_offset_ms))

    def test_current_with_clocks_that_drift_for_an_hour(self) -> None:
        drift = 0.0002  # the control planes' clocks lose 0.2 s in 1000 s
        for _ in range(4 * 60 * 12):
            self.now_ms += MAX_CLOCK_INTERVAL_MS / 16
            self.clock_offset_ms -= MAX_CLOCK_INTERVAL_MS / 16 * drift
            for address in SEEDS:
                self.publish_freshness(address, 5)
            self.answer_clocks()
            self.assertTrue(self.is_current)

    def test_first_freshness_counts_from_when_the_link_opened(self) -> None:
        self.handle(LinkClosed(FIRST))
        self.handle(TimePassed(), 1_000.0)
        self.handle(LinkOpened(FIRST))
        opened_ms = self.now_ms
        while self.now_ms - opened_ms < 10_000.0 or not self.sent:
            self.sent.clear()
            self.receive(FIRST, RegistrySnapshot(()), 250.0)
        self.assertIsInstance(self.sent[0][1], ClockRequest)
        self.publish_freshness(FIRST, 5, delay_ms=self.now_ms - opened_ms)
        self.assertFalse(self.is_current)

    def test_delayed_reading_is_bounded_by_its_request(self) -> None:
        clock = RemoteClock()
        self.assertIsNone(clock.sent_after_ms(10.0, 5.0))
        clock.handle_reading(now_ms=900.0, requested_ms=100.0, clock_ms=5_000.0)
        self.assertAlmostEqual(100.0, clock.sent_after_ms(900.0, 5_000.0) or 0.0)
        self.assertAlmostEqual(350.0, clock.sent_after_ms(900.0, 5_250.0) or 0.0)

    def test_tighter_bound_is_kept_after_a_slower_round_trip(self) -> None:
        clock = RemoteClock()
        clock.handle_reading(now_ms=110.0, requested_ms=100.0, clock_ms=5_005.0)
        clock.handle_reading(now_ms=1_600.0, requested_ms=1_100.0, clock_ms=6_500.0)
        self.assertAlmostEqual(1_595.0, clock.sent_after_ms(1_600.0, 6_500.0) or 0.0, delta=2.0)


class MutantTest(unittest.TestCase):
    """Each test fails without the mechanism that it covers."""

    def assert_caught(self, test_case: CutOffTestCase) -> None:
        result = unittest.TestResult()
        test_case.run(result)
        self.assertEqual((1, 1, []), (result.testsRun, len(result.failures), result.errors))

    def test_freshness_without_its_age_is_detected(self) -> None:
        def published_age_ms(link: ControlPlaneLink, now_ms: float) -> float | None:
            return None if link.freshness is None else link.freshness.age_ms

        name = "test_named_primary_replaces_cut_off_primary_once_its_freshness_is_stale"
        with patch.object(ControlPlaneLink, "age_ms", published_age_ms):
            self.assert_caught(PrimaryTest(name))

    def test_freshness_counted_from_its_arrival_is_detected(self) -> None:
        names = (
            "test_delayed_freshness_is_stale_on_arrival",
            "test_increasingly_delayed_freshness_is_stale_without_a_timeout",
            "test_freshness_read_after_a_pause_of_the_process_is_stale",
        )
        with patch.object(RemoteClock, "sent_after_ms", lambda clock, now_ms, clock_ms: now_ms):
            for name in names:
                self.assert_caught(CurrentVersionTest(name))


if __name__ == "__main__":
    unittest.main()
