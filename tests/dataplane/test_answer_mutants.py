"""Checks that each deliberate fault in the handling of responses makes a test fail."""

from __future__ import annotations

import logging
import random
import unittest
from contextlib import AbstractContextManager
from typing import Any
from unittest.mock import patch

from tests.controlplane import test_core
from tests.dataplane import test_answer_relay, test_answers, test_hazards
from tests.dataplane.answer_mutants import MUTANTS

TESTS_BY_MUTANT: dict[str, unittest.TestCase] = {
    "an unsafe request is retried after a reset": test_answers.IncompleteRequestBodyTests(
        "test_a_reset_is_not_retried_and_not_reported_as_unexecuted"
    ),
    "a request that was sent is reported as unexecuted": test_answers.IncompleteRequestBodyTests(
        "test_a_timeout_is_not_retried_and_not_reported_as_unexecuted"
    ),
    "X-Request-Id is not checked": test_hazards.ResponseToAnotherRequest(
        "test_of_another_request_is_never_passed_on_and_its_connection_never_used_again"
    ),
    "only the last byte of a request counts as a send": test_answers.IncompleteRequestBodyTests(
        "test_a_reset_within_the_response_is_not_retried"
    ),
    "an unframed response that was reset passes as complete": test_answers.ResponseWithoutLengthTests(
        "test_is_incomplete_after_a_reset"
    ),
    "a partial event passes as the end of a stream": test_answers.ResponseWithoutLengthTests(
        "test_is_incomplete_within_an_event"
    ),
    "a partial event passes as the end of a stream that ends in order": unittest.FunctionTestCase(
        test_answer_relay.test_a_stream_that_ends_in_order_within_an_event_and_cannot_resume_is_truncated
    ),
    "a partial event is joined to the next response": unittest.FunctionTestCase(
        lambda: test_answer_relay.test_part_of_a_first_event_is_not_joined_to_the_next_response(
            "/resumable/x", test_answer_relay.close
        )
    ),
    "a stream that broke off is ended cleanly": test_hazards.InterruptedStream(
        "test_is_broken_off_for_the_client_where_it_cannot_go_on"
    ),
    "a connection is reused after an early response": test_answers.IncompleteRequestBodyTests(
        "test_an_early_response_prevents_reuse_of_the_connection"
    ),
    "a connection is checked before, but not when, a body is written": test_answers.ReusedConnectionTests(
        "test_an_unsolicited_response_prevents_reuse"
    ),
    "a cancelled request is still written": test_answers.IncompleteRequestBodyTests(
        "test_sending_stops_when_the_client_disconnects"
    ),
    "a surplus response fails the next request": test_answers.SurplusResponseTests(
        "test_is_skipped_and_the_connection_retired"
    ),
}


class MutantDetectionTests(unittest.TestCase):
    def setUp(self) -> None:
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def assert_detected(self, test_case: unittest.TestCase, mutant: AbstractContextManager[Any]) -> None:
        """Check that the test passes on the code as it is, and fails with the fault."""
        for is_mutated in (False, True):
            result = unittest.TestResult()
            if is_mutated:
                with mutant:
                    test_case.run(result)
            else:
                test_case.run(result)
            self.assertIs(result.wasSuccessful(), not is_mutated, result.failures + result.errors)

    def test_each_mutant_of_response_handling_is_detected(self) -> None:
        self.assertEqual(TESTS_BY_MUTANT.keys(), MUTANTS.keys())
        for name, mutant in MUTANTS.items():
            with self.subTest(name):
                self.assert_detected(TESTS_BY_MUTANT[name], mutant())

    def test_identical_control_plane_tokens_are_detected(self) -> None:
        test_case = test_core.TheOperatorCalls("test_a_reply_to_a_former_incarnation_fits_no_call")
        self.assert_detected(test_case, patch.object(random.Random, "getrandbits", lambda rng, bits: 0))
