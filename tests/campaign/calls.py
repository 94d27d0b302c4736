"""HTTP calls of operators and upstreams: each ends with its answer or with the caller's timeout."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Generic, TypeVar

from tests.campaign.connections import RETRANSMIT_MS
from tests.campaign.links import Links
from tests.campaign.process import Process, ProcessState

CALLER_TIMEOUT_MS = 1_000.0

Answer = TypeVar("Answer")
Serve = Callable[[Callable[[Answer | None], None]], None]


class HttpCall(Generic[Answer]):
    """One call. `on_end` receives the answer, or None if there is none before the caller's timeout."""

    def __init__(
        self,
        links: Links,
        caller: str,
        server: Process,
        serve: Serve[Answer],
        on_end: Callable[[Answer | None], None],
    ) -> None:
        self._links, self._clock = links, links.clock
        self._caller, self._server, self._serve, self._on_end = caller, server, serve, on_end
        self._has_ended = False
        self.loses_answer = False
        self._clock.after(CALLER_TIMEOUT_MS, lambda: self._end(None))

    def start(self, rng: random.Random, answer_loss: float) -> None:
        """Send the request; its answer is lost with probability `answer_loss`."""
        self.loses_answer = rng.random() < answer_loss
        self._request()

    def _request(self) -> None:
        if self._has_ended:
            return
        has_no_power = self._server.state is ProcessState.NO_POWER
        if has_no_power or self._links.is_cut(self._caller, self._server.address):
            self._clock.after(RETRANSMIT_MS, self._request)
            return
        self._clock.after(self._links.delay_ms(), self._arrive)

    def _arrive(self) -> None:
        server = self._server
        if server.state is ProcessState.ENDED:
            self._reply(None)
        server.post(server.incarnation, lambda: self._serve(self._reply))

    def _reply(self, answer: Answer | None) -> None:
        if self._has_ended or self.loses_answer:
            return
        if self._links.is_cut(self._server.address, self._caller):
            self._clock.after(RETRANSMIT_MS, lambda: self._reply(answer))
            return
        self._clock.after(self._links.delay_ms(), lambda: self._end(answer))

    def _end(self, answer: Answer | None) -> None:
        if not self._has_ended:
            self._has_ended = True
            self._on_end(answer)
