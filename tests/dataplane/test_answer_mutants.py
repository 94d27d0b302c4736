"""Each fault put into the handling of answers makes a story fail."""

from __future__ import annotations

import logging
import random
import unittest
from contextlib import AbstractContextManager
from typing import Any
from unittest.mock import patch

from tests.controlplane import test_core
from tests.dataplane import test_answers, test_hazards
from tests.dataplane.answer_mutants import MUTANTS

STORIES: dict[str, unittest.TestCase] = {
    "an unsafe request is sent again after a reset": test_answers.ARequestWhoseBodyIsNotIn(
        "test_and_is_reset_is_not_sent_again_and_nothing_is_promised"
    ),
    "a promise after a send": test_answers.ARequestWhoseBodyIsNotIn(
        "test_and_meets_silence_is_not_sent_again_and_nothing_is_promised"
    ),
    "X-Request-Id is not checked": test_hazards.AnAnswerThatIsNotThisRequests(
        "test_of_another_request_is_never_passed_on_and_its_connection_never_used_again"
    ),
    "only the last byte of a request counts as a send": test_answers.ARequestWhoseBodyIsNotIn(
        "test_and_is_reset_within_its_answer_is_not_sent_again"
    ),
    "an unframed answer that was reset passes as whole": test_answers.AnAnswerOfNoToldLength(
        "test_is_not_whole_after_a_reset"
    ),
    "half an event passes as a stream's end": test_answers.AnAnswerOfNoToldLength(
        "test_is_not_whole_within_an_event"
    ),
    "a stream that broke off ends in good command": test_hazards.AStreamThatBreaksOff(
        "test_is_broken_off_for_the_client_where_it_cannot_go_on"
    ),
    "a connection is reused after an early answer": test_answers.ARequestWhoseBodyIsNotIn(
        "test_and_is_answered_leaves_the_connection_to_no_other_request"
    ),
    "a connection is looked at before, not as, a body is written": test_answers.AKeptConnection(
        "test_on_which_an_answer_comes_first_takes_no_request"
    ),
    "what was given up is still written": test_answers.ARequestWhoseBodyIsNotIn(
        "test_does_not_go_on_once_its_client_has_left"
    ),
    "an extra answer fails the next request": test_answers.AnExtraAnswerInThePlaceOfTheNext(
        "test_is_passed_over_and_the_connection_used_no_further"
    ),
}


class StoriesFindMutants(unittest.TestCase):
    def setUp(self) -> None:
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def assert_found(self, story: unittest.TestCase, mutant: AbstractContextManager[Any]) -> None:
        """The story passes as the code is, and fails with the fault."""
        for is_mutated in (False, True):
            result = unittest.TestResult()
            if is_mutated:
                with mutant:
                    story.run(result)
            else:
                story.run(result)
            self.assertIs(result.wasSuccessful(), not is_mutated, result.failures + result.errors)

    def test_each_on_the_way_of_an_answer(self) -> None:
        self.assertEqual(STORIES.keys(), MUTANTS.keys())
        for name, mutant in MUTANTS.items():
            with self.subTest(name):
                self.assert_found(STORIES[name], mutant())

    def test_a_control_planes_tokens_are_the_same_in_each_life(self) -> None:
        story = test_core.TheOperatorCalls("test_a_reply_to_a_former_incarnation_fits_no_call")
        self.assert_found(story, patch.object(random.Random, "getrandbits", lambda rng, bits: 0))
