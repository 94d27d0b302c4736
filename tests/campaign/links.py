"""Network links of the fleet: delays, packet loss, and cuts that end independently of each other."""

from __future__ import annotations

import random
from collections import Counter
from typing import TYPE_CHECKING
from weakref import WeakSet

from tests.fleet.clock import Clock

if TYPE_CHECKING:
    from tests.campaign.connections import Connection

MIN_DELAY_MS, MAX_DELAY_MS = 0.5, 3.0


class Links:
    """Directed links by address. Cuts are counted: a link delivers again when its last cut has ended."""

    def __init__(self, clock: Clock, rng: random.Random) -> None:
        self.clock = clock
        self.loss = 0.0  # share of packets that are retransmitted
        self._rng = rng
        self.connections: WeakSet[Connection] = WeakSet()
        self._cuts: Counter[tuple[str, str]] = Counter()

    def cut(self, sender: str, receiver: str) -> None:
        """Block this direction."""
        self._cuts[sender, receiver] += 1

    def join(self, sender: str, receiver: str) -> None:
        """End one cut of this direction."""
        if self._cuts[sender, receiver] > 1:
            self._cuts[sender, receiver] -= 1
        else:
            del self._cuts[sender, receiver]

    def reset_connections(self, address: str) -> None:
        """Reset all connections of one address."""
        for connection in list(self.connections):
            if address in (connection.client.process.address, connection.server.process.address):
                connection.reset()

    def heal(self) -> None:
        """End all cuts and packet loss."""
        self._cuts.clear()
        self.loss = 0.0

    def is_cut(self, sender: str, receiver: str) -> bool:
        """Whether this direction is blocked."""
        return (sender, receiver) in self._cuts

    def is_any_cut(self) -> bool:
        """Whether any link is cut."""
        return bool(self._cuts)

    def delay_ms(self) -> float:
        """Draw the transit time of a packet."""
        return self._rng.uniform(MIN_DELAY_MS, MAX_DELAY_MS)

    def loses_packet(self) -> bool:
        """Draw whether a packet is lost and retransmitted."""
        return self.loss > 0.0 and self._rng.random() < self.loss
