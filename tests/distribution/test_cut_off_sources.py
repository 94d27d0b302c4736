"""A data plane whose control planes are cut off, frozen or late does not pass for current."""

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
from tests.distribution.test_subscriber import FIRST, SECOND, SEEDS, THIRD, Story, body

CUT_MS = 20_000.0
INTERVAL_MS = 250.0


class CutOffStory(Story):
    """Given a data plane at version 5 that is connected to three control planes, the first of them primary.

    The control planes' clocks run as its own, a day ahead."""

    ahead_ms = 86_400_000.0

    def setUp(self) -> None:
        super().setUp()
        self.happens(TimePassed())
        self.connects(*SEEDS)
        for address in SEEDS:
            self.notified(address, 5)
        self.hears(FIRST, ConfigurationSnapshot(5, body(5)))

    def notified(
        self,
        address: str,
        version: int,
        *,
        age_ms: float | None = 50.0,
        epoch: int = 2,
        is_primary: bool | None = None,
        data_planes: int = 6,
        late_ms: float = 0.0,
    ) -> None:
        """A control plane's word arrives that it said `late_ms` ago."""
        is_primary = address == FIRST if is_primary is None else is_primary
        clock_ms = self.now_ms + self.ahead_ms - late_ms
        self.hears(address, Freshness(version, epoch, age_ms, is_primary, data_planes, clock_ms))

    @property
    def is_current(self) -> bool:
        return self.subscriber.is_current(self.now_ms)

    @property
    def is_in_touch(self) -> bool:
        return self.subscriber.is_connected(self.now_ms)


class WhatIsCurrent(CutOffStory):
    def test_given_fresh_control_planes_then_the_version_in_force_is_current(self) -> None:
        self.assertTrue(self.is_current)
        self.assertTrue(self.is_in_touch)

    def test_given_control_planes_that_are_cut_off_then_their_word_ages(self) -> None:
        for since_ms in range(0, int(CUT_MS), int(INTERVAL_MS)):
            for address in SEEDS:
                self.notified(address, 5, age_ms=50.0 + since_ms)
            self.assertEqual(50.0 + since_ms < CURRENT_MS, self.is_current, since_ms)
            self.happens(TimePassed(), INTERVAL_MS)

    def test_given_words_that_were_delayed_then_they_are_old_on_arrival(self) -> None:
        self.happens(TimePassed(), 1_000.0)
        for address in SEEDS:
            self.notified(address, 5, late_ms=900.0)
        self.assertFalse(self.is_current)
        self.assertFalse(self.is_in_touch)
        self.notified(SECOND, 5)
        self.assertTrue(self.is_current)

    def test_given_words_that_wait_longer_and_longer_then_no_timeout_is_needed_to_broadcast(self) -> None:
        for late_ms in range(0, 2_000, 40):
            self.happens(TimePassed(), INTERVAL_MS)
            for address in SEEDS:
                self.notified(address, 5, late_ms=late_ms)
            self.assertEqual(50.0 + late_ms < CURRENT_MS, self.is_current, late_ms)

    def test_given_a_frozen_data_plane_when_it_wakes_then_what_it_reads_first_is_old(self) -> None:
        self.now_ms += CUT_MS
        self.notified(SECOND, 5, late_ms=CUT_MS - 100.0)
        self.assertFalse(self.is_current)

    def test_given_one_that_notified_a_newer_version_then_the_others_prove_nothing(self) -> None:
        self.notified(THIRD, 7)
        self.happens(LinkClosed(THIRD))
        for address in (FIRST, SECOND):
            self.notified(address, 5)
        self.assertFalse(self.is_current)
        self.hears(SECOND, ConfigurationSnapshot(7, body(7)))
        self.notified(FIRST, 7)
        self.assertTrue(self.is_current)

    def test_given_a_control_plane_without_any_lease_in_its_incarnation_then_nothing_is_current(self) -> None:
        for address in SEEDS:
            self.happens(LinkClosed(address))
        self.happens(TimePassed(), 1_000.0)
        self.happens(LinkOpened(FIRST))
        self.notified(FIRST, 5, age_ms=None)
        self.assertFalse(self.is_current)


class WhoIsPrimary(CutOffStory):
    def test_given_a_former_primary_that_speaks_on_then_the_newer_one_counts(self) -> None:
        self.notified(SECOND, 5, epoch=3, is_primary=True)
        self.notified(FIRST, 5, epoch=2, is_primary=True)
        self.assertEqual(SECOND, self.subscriber.primary)

    def test_given_one_that_names_a_former_primary_then_the_one_in_touch_counts(self) -> None:
        self.hears(THIRD, ControlPlanes(SEEDS, THIRD))
        self.assertEqual(FIRST, self.subscriber.primary)

    def test_given_a_primary_that_gave_up_then_the_one_that_is_named_counts(self) -> None:
        self.hears(THIRD, ControlPlanes(SEEDS, SECOND))
        self.notified(FIRST, 5, is_primary=False)
        self.assertFalse(self.is_in_touch)
        self.assertEqual(SECOND, self.subscriber.primary)

    def test_given_a_primary_that_is_cut_off_then_the_named_one_counts_once_its_word_is_old(self) -> None:
        self.hears(THIRD, ControlPlanes(SEEDS, SECOND))
        self.happens(TimePassed(), CURRENT_MS)
        self.assertEqual(SECOND, self.subscriber.primary)


class HowManyShareTheLimits(CutOffStory):
    def test_given_a_backup_that_knows_fewer_then_the_primary_counts(self) -> None:
        self.notified(SECOND, 5, data_planes=1)
        self.assertEqual(6, self.subscriber.data_planes)
        self.notified(FIRST, 5, data_planes=4)
        self.assertEqual(4, self.subscriber.data_planes)

    def test_given_only_one_that_is_cut_off_then_the_number_does_not_fall(self) -> None:
        self.happens(LinkClosed(FIRST))
        self.notified(SECOND, 5, age_ms=CUT_MS, data_planes=1)
        self.assertEqual(6, self.subscriber.data_planes)
        self.notified(SECOND, 5, age_ms=CUT_MS, data_planes=8)
        self.assertEqual(8, self.subscriber.data_planes)


class TheOtherClock(CutOffStory):
    def test_given_a_connection_that_stands_then_the_clock_is_requested_for_less_and_less(self) -> None:
        requested_ms = [0.0]
        opened_ms = self.now_ms
        while self.now_ms - opened_ms < 3 * MAX_CLOCK_INTERVAL_MS:
            self.notified(FIRST, 5)
            for action in self.happens(TimePassed(), 50.0):
                if isinstance(action, Send) and action.address == FIRST:
                    self.assertIsInstance(action.message, ClockRequest)
                    requested_ms.append(self.now_ms - opened_ms)
        pauses_ms = [after - before for before, after in itertools.pairwise(requested_ms)]
        self.assertEqual([250.0, 500.0, 1_000.0, 2_000.0, 4_000.0, 8_000.0, 16_000.0, 20_000.0], pauses_ms)

    def test_given_a_first_answer_that_took_long_then_the_version_is_current_soon(self) -> None:
        self.happens(LinkClosed(SECOND))
        self.happens(TimePassed(), 1_000.0)
        self.happens(LinkOpened(SECOND))
        self.sent.clear()
        self.now_ms += 590.0  # the control plane was busy when the subscription came
        self.notified(SECOND, 5)
        self.assertFalse(self.is_current)
        self.answer_clocks()
        self.notified(SECOND, 5)
        self.assertTrue(self.is_current)

    def answer_clocks(self) -> None:
        """The control planes that were asked for their clock tell it at once."""
        sent, self.sent = self.sent, []
        for address, message in sent:
            if isinstance(message, ClockRequest):
                self.hears(address, ClockReading(message.requested_ms, self.now_ms + self.ahead_ms))

    def test_given_clocks_that_drift_for_an_hour_then_the_version_is_still_current(self) -> None:
        drift = 0.0002  # the control planes' clocks lose a fifth of a second in a thousand
        for _ in range(4 * 60 * 12):
            self.now_ms += MAX_CLOCK_INTERVAL_MS / 16
            self.ahead_ms -= MAX_CLOCK_INTERVAL_MS / 16 * drift
            for address in SEEDS:
                self.notified(address, 5)
            self.answer_clocks()
            self.assertTrue(self.is_current)

    def test_given_a_first_word_long_after_the_connection_opened_then_it_is_as_old_as_that(self) -> None:
        self.happens(LinkClosed(FIRST))
        self.happens(TimePassed(), 1_000.0)
        self.happens(LinkOpened(FIRST))
        opened_ms = self.now_ms
        while self.now_ms - opened_ms < 10_000.0 or not self.sent:
            self.sent.clear()
            self.hears(FIRST, RegistrySnapshot(()), 250.0)
        self.assertIsInstance(self.sent[0][1], ClockRequest)
        self.notified(FIRST, 5, late_ms=self.now_ms - opened_ms)
        self.assertFalse(self.is_current)

    def test_given_a_reading_that_was_delayed_then_it_binds_no_later_than_the_question(self) -> None:
        clock = RemoteClock()
        self.assertIsNone(clock.sent_after_ms(10.0, 5.0))
        clock.handle_reading(now_ms=900.0, requested_ms=100.0, clock_ms=5_000.0)
        self.assertAlmostEqual(100.0, clock.sent_after_ms(900.0, 5_000.0) or 0.0)
        self.assertAlmostEqual(350.0, clock.sent_after_ms(900.0, 5_250.0) or 0.0)

    def test_given_a_slower_round_trip_later_then_the_closer_bound_holds(self) -> None:
        clock = RemoteClock()
        clock.handle_reading(now_ms=110.0, requested_ms=100.0, clock_ms=5_005.0)
        clock.handle_reading(now_ms=1_600.0, requested_ms=1_100.0, clock_ms=6_500.0)
        self.assertAlmostEqual(1_595.0, clock.sent_after_ms(1_600.0, 6_500.0) or 0.0, delta=2.0)


class Mutants(unittest.TestCase):
    """Without its mechanism each story fails."""

    def assert_caught(self, story: CutOffStory) -> None:
        result = unittest.TestResult()
        story.run(result)
        self.assertEqual((1, 1, []), (result.testsRun, len(result.failures), result.errors))

    def test_freshness_that_is_not_aged(self) -> None:
        def notified_age_ms(link: ControlPlaneLink, now_ms: float) -> float | None:
            return None if link.freshness is None else link.freshness.age_ms

        name = "test_given_a_primary_that_is_cut_off_then_the_named_one_counts_once_its_word_is_old"
        with patch.object(ControlPlaneLink, "age_ms", notified_age_ms):
            self.assert_caught(WhoIsPrimary(name))

    def test_freshness_that_counts_from_the_arrival(self) -> None:
        names = (
            "test_given_words_that_were_delayed_then_they_are_old_on_arrival",
            "test_given_words_that_wait_longer_and_longer_then_no_timeout_is_needed_to_broadcast",
            "test_given_a_frozen_data_plane_when_it_wakes_then_what_it_reads_first_is_old",
        )
        with patch.object(RemoteClock, "sent_after_ms", lambda clock, now_ms, clock_ms: now_ms):
            for name in names:
                self.assert_caught(WhatIsCurrent(name))


if __name__ == "__main__":
    unittest.main()
