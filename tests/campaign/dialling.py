"""Connection attempts between processes: accepted, refused, or unanswered until the client's timeout."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

from tests.campaign.connections import RETRANSMIT_MS, Connection, End, OnClosed, OnData
from tests.campaign.links import Links
from tests.campaign.process import Process, ProcessState


class DialState(Enum):
    """State of one connection attempt."""

    UNDER_WAY = "under way"
    ENDED = "ended"


class Dial:
    """One connection attempt. `accept` sets up the server's end of the connection in the server's process."""

    def __init__(
        self,
        links: Links,
        client: Process,
        server: Process | None,
        accept: Callable[[Connection], None],
        on_data: OnData,
        on_closed: OnClosed,
        opened: Callable[[Connection], None],
        failed: Callable[[], None],
    ) -> None:
        self._links, self._clock = links, links.clock
        self._client, self._server, self._accept = client, server, accept
        self._on_data, self._on_closed = on_data, on_closed
        self._opened, self._failed = opened, failed
        self._client_incarnation = client.incarnation
        self._state = DialState.UNDER_WAY

    def start(self, timeout_ms: float) -> None:
        """Try to connect until the timeout."""
        self._client.later(timeout_ms, self._fail)
        self._request()

    def _request(self) -> None:
        if self._state is DialState.ENDED or self._server is None:
            return
        has_no_power = self._server.state is ProcessState.NO_POWER
        if has_no_power or self._links.is_cut(self._client.address, self._server.address):
            self._clock.after(RETRANSMIT_MS, self._request)
            return
        self._clock.after(self._links.delay_ms(), lambda: self._arrive(self._server))

    def _arrive(self, server: Process | None) -> None:
        assert server is not None
        if server.state is ProcessState.ENDED:
            self._respond(server, self._fail)
        server.post(server.incarnation, lambda: self._answer(server))

    def _answer(self, server: Process) -> None:
        server_incarnation = server.incarnation
        if self._client.incarnation == self._client_incarnation and self._client.is_up:
            self._respond(server, lambda: self._open(server, server_incarnation))

    def _respond(self, server: Process, action: Callable[[], None]) -> None:
        if self._state is DialState.ENDED:
            return
        if self._links.is_cut(server.address, self._client.address):
            self._clock.after(RETRANSMIT_MS, lambda: self._respond(server, action))
            return
        incarnation = self._client_incarnation
        self._clock.after(self._links.delay_ms(), lambda: self._client.post(incarnation, action))

    def _open(self, server: Process, server_incarnation: int) -> None:
        if self._state is DialState.ENDED or server.incarnation != server_incarnation:
            return
        self._state = DialState.ENDED
        client_end = End(self._client, self._on_data, self._on_closed)
        server_end = End(server, lambda data: None, lambda: None)
        connection = Connection(self._links, client_end, server_end)
        self._accept(connection)
        self._opened(connection)

    def _fail(self) -> None:
        if self._state is DialState.UNDER_WAY:
            self._state = DialState.ENDED
            self._failed()
