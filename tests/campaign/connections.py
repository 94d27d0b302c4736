"""Simulated TCP connections: ordered delivery, delayed by a partition and broken by a long one."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from enum import Enum

from madderwind.controlplane.sockets import (
    ACKNOWLEDGEMENT_TIMEOUT_MS,
    PROBE_AFTER_S,
    PROBE_INTERVAL_S,
    PROBES,
)
from tests.campaign.links import Links
from tests.campaign.process import Process, ProcessState

RETRANSMIT_MS = 100.0
# Time until TCP keepalive reports an unreachable peer on an idle connection.
KEEPALIVE_TIMEOUT_MS = 1000.0 * (PROBE_AFTER_S + PROBES * PROBE_INTERVAL_S)

OnData = Callable[[bytes], None]
OnClosed = Callable[[], None]


class ConnectionState(Enum):
    """State of both ends together: after either end closes, nothing is delivered in either direction."""

    OPEN = "open"
    CLOSED = "closed"


class End:
    """One end of a connection: an incarnation of a process and its handlers for received data and closing."""

    def __init__(self, process: Process, on_data: OnData, on_closed: OnClosed) -> None:
        self.process, self.incarnation = process, process.incarnation
        self.on_data, self.on_closed = on_data, on_closed
        self.pending: deque[bytes] = deque()  # sent by this end, not yet transmitted
        self.blocked_since_ms: float | None = None
        self.busy_until_ms = 0.0

    @property
    def is_alive(self) -> bool:
        """Whether the incarnation that owns this end is still up."""
        return self.process.is_up and self.process.incarnation == self.incarnation


class Connection:
    """A connection between two processes; frames are delivered in order or not at all."""

    def __init__(self, links: Links, client: End, server: End) -> None:
        self.client, self.server = client, server
        self.state = ConnectionState.OPEN
        self._links, self._clock = links, links.clock
        links.connections.add(self)
        client.process.end_hooks[id(self)] = lambda: self.lose_end(client)
        server.process.end_hooks[id(self)] = lambda: self.lose_end(server)

    @property
    def is_open(self) -> bool:
        """Whether neither end has closed the connection."""
        return self.state is ConnectionState.OPEN

    def send(self, sender: End, data: bytes) -> None:
        """Send a frame from one end to the other."""
        if not self.is_open or not sender.is_alive:
            return
        sender.pending.append(data)
        if len(sender.pending) == 1:
            self._transmit(sender)

    def close(self, closer: End) -> None:
        """Close one end; the other end is notified as soon as it is reachable."""
        if not self.is_open:
            return
        self.state = ConnectionState.CLOSED
        for end in (self.client, self.server):
            if end.is_alive:
                end.process.end_hooks.pop(id(self), None)
        self._notify_closed(closer, self._other(closer), self._clock.now_ms + KEEPALIVE_TIMEOUT_MS)

    def reset(self) -> None:
        """Break the connection and notify each end that is reachable."""
        self._report_loss(self.client)

    def lose_end(self, lost: End) -> None:
        """Handle the end of one end's process; a machine that still has power resets the connection."""
        if lost.process.state is not ProcessState.NO_POWER:
            self.close(lost)
            return
        other = self._other(lost)
        self._clock.after(KEEPALIVE_TIMEOUT_MS, lambda: self._report_loss(other))

    def _other(self, end: End) -> End:
        return self.server if end is self.client else self.client

    def _is_blocked(self, sender: End, receiver: End) -> bool:
        if receiver.process.state is ProcessState.NO_POWER:
            return True
        return self._links.is_cut(sender.process.address, receiver.process.address)

    def _transmit(self, sender: End) -> None:
        """Send pending frames; if the link is blocked, retry until the acknowledgement timeout."""
        if not self.is_open or not sender.is_alive:
            return
        receiver, now_ms = self._other(sender), self._clock.now_ms
        if self._is_blocked(sender, receiver):
            if sender.blocked_since_ms is None:
                sender.blocked_since_ms = now_ms
            if now_ms - sender.blocked_since_ms >= ACKNOWLEDGEMENT_TIMEOUT_MS:
                self._report_loss(sender)
            else:
                self._clock.after(RETRANSMIT_MS, lambda: self._transmit(sender))
            return
        sender.blocked_since_ms = None
        while sender.pending:
            self._schedule_arrival(sender, receiver, sender.pending.popleft())

    def _schedule_arrival(self, sender: End, receiver: End, data: bytes) -> None:
        delay_ms = self._links.delay_ms()
        if self._links.loses_packet():
            delay_ms += RETRANSMIT_MS
        arrival_ms = max(self._clock.now_ms + delay_ms, sender.busy_until_ms)
        sender.busy_until_ms = arrival_ms
        self._clock.after(arrival_ms - self._clock.now_ms, lambda: self._arrive(sender, receiver, data))

    def _arrive(self, sender: End, receiver: End, data: bytes) -> None:
        if not self.is_open:
            return
        if not receiver.is_alive:
            if receiver.process.state is not ProcessState.NO_POWER:
                self.close(receiver)
            return
        receiver.process.post(receiver.incarnation, lambda: receiver.on_data(data) if self.is_open else None)

    def _report_loss(self, end: End) -> None:
        """Report the loss to this end and close it; the other end is notified once it is reachable."""
        if self.is_open and end.is_alive:
            end.process.post(end.incarnation, end.on_closed)
            self.close(end)

    def _notify_closed(self, closer: End, other: End, deadline_ms: float) -> None:
        if not other.is_alive:
            return
        if self._is_blocked(closer, other) and self._clock.now_ms < deadline_ms:
            self._clock.after(RETRANSMIT_MS, lambda: self._notify_closed(closer, other, deadline_ms))
            return
        self._clock.after(
            self._links.delay_ms(), lambda: other.process.post(other.incarnation, other.on_closed)
        )
