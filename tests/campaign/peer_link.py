"""The outgoing connection from one control plane to another, simulating PeerLink of the host."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from enum import Enum

from madderwind.controlplane.peer_links import (
    CONNECT_TIMEOUT_S,
    INITIAL_BACKOFF_S,
    MAX_BACKOFF_S,
    STALE_AFTER_S,
)
from tests.campaign.connections import Connection
from tests.campaign.process import Process

MS_PER_S = 1000.0
CONNECT_TIMEOUT_MS = CONNECT_TIMEOUT_S * MS_PER_S
STALE_AFTER_MS = STALE_AFTER_S * MS_PER_S

OnOpen = Callable[[Connection], None]
OnFailed = Callable[[], None]
Dial = Callable[[str, OnOpen, OnFailed, Callable[[], None]], None]


class PeerLinkState(Enum):
    """State of the connection; in `IDLE` it waits for its backoff."""

    IDLE = "idle"
    CONNECTING = "connecting"
    OPEN = "open"


class PeerLink:
    """The frame queue and connection to one peer."""

    def __init__(
        self, owner: Process, address: str, dial: Dial, connected: Callable[[str], None], rng: random.Random
    ) -> None:
        self._owner, self._address, self._dial, self._connected, self._rng = (
            owner,
            address,
            dial,
            connected,
            rng,
        )
        self._queue: deque[tuple[float, bytes]] = deque()
        self._state = PeerLinkState.IDLE
        self._connection: Connection | None = None
        self._backoff_ms = INITIAL_BACKOFF_S * MS_PER_S
        self._connect()

    def send(self, frame: bytes) -> None:
        """Send a frame, or queue it until the connection opens; stale frames are dropped."""
        if self._state is PeerLinkState.OPEN and self._connection is not None:
            self._connection.send(self._connection.client, frame)
            return
        self._drop_stale()
        self._queue.append((self._owner.clock.now_ms, frame))

    def _connect(self) -> None:
        self._state = PeerLinkState.CONNECTING
        self._dial(self._address, self._opened, self._failed, self._closed)

    def _opened(self, connection: Connection) -> None:
        self._state, self._connection = PeerLinkState.OPEN, connection
        self._backoff_ms = INITIAL_BACKOFF_S * MS_PER_S
        self._drop_stale()
        frames, self._queue = self._queue, deque()
        for _, frame in frames:
            connection.send(connection.client, frame)
        self._connected(self._address)

    def _closed(self) -> None:
        self._connection = None
        self._failed()

    def _failed(self) -> None:
        self._state = PeerLinkState.IDLE
        self._owner.later(self._backoff_ms * self._rng.uniform(0.5, 1.0), self._connect)
        self._backoff_ms = min(2 * self._backoff_ms, MAX_BACKOFF_S * MS_PER_S)

    def _drop_stale(self) -> None:
        oldest_ms = self._owner.clock.now_ms - STALE_AFTER_MS
        while self._queue and self._queue[0][0] < oldest_ms:
            self._queue.popleft()
