"""Calls of operators and upstreams over HTTP: each ends by its answer or by the caller's patience."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Generic, TypeVar

from tests.campaign.connections import RETRANSMIT_MS
from tests.campaign.links import Links
from tests.campaign.process import Process, ProcessState

PATIENCE_MS = 1_000.0

Answer = TypeVar("Answer")
Serve = Callable[[Callable[[Answer | None], None]], None]


class HttpCall(Generic[Answer]):
    """One call. `on_end` gets the answer, or None where there is none within the caller's patience."""

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
        self._clock.after(PATIENCE_MS, lambda: self._end(None))

    def start(self, rng: random.Random, answer_loss: float) -> None:
        """Send the request; the answer is lost with that probability."""
        self.loses_answer = rng.random() < answer_loss
        self._request()

    def _request(self) -> None:
        if self._has_ended:
            return
        is_timed_out = self._server.state is ProcessState.NO_POWER
        if is_timed_out or self._links.is_cut(self._caller, self._server.address):
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
