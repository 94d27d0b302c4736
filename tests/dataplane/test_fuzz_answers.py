"""Runs a fixed number of scripts of the response fuzzer, and scripts that once broke a rule."""

from __future__ import annotations

import unittest

from tests.dataplane.answer_scripts import ClientConnection, Disconnect, RequestSpec, Route, Script, Turn
from tests.dataplane.fuzz_answers import fuzzer, play

EXAMPLES = 80


class ResponseFuzzTests(unittest.TestCase):
    def test_responses_reach_their_own_requests_and_no_request_runs_too_often(self) -> None:
        fuzzer(EXAMPLES)()


class RegressionScriptTests(unittest.TestCase):
    def test_a_client_disconnects_behind_a_long_pipelined_body(self) -> None:
        specs = (RequestSpec(route=Route.SAFE), RequestSpec(route=Route.SAFE, size=200_000))
        disconnecting = ClientConnection(specs, is_pipelined=True, disconnect=Disconnect.AFTER_WRITING)
        another = ClientConnection((RequestSpec(route=Route.SAFE),))  # leaves an idle connection
        play(Script((disconnecting, another), (Turn(reply=None),)))
