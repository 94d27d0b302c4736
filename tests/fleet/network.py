"""Links between machines: delay, loss, cuts in one or both directions, and the cost of long messages."""

from __future__ import annotations

import random
from collections.abc import Callable

from tests.fleet.clock import Clock


class Network:
    """Delivers bytes by address, in order for each pair unless told otherwise."""

    def __init__(self, clock: Clock, rng: random.Random) -> None:
        self._clock, self._rng = clock, rng
        self._receivers: dict[str, Callable[[str, bytes], None]] = {}
        self._cuts: set[tuple[str, str]] = set()
        self._held: dict[tuple[str, str], list[bytes]] = {}  # messages on links that delay them until heal()
        self._busy_until: dict[tuple[str, str], float] = {}
        self.loss = 0.0
        self.reorders = False
        self.least_delay_ms, self.most_delay_ms = 0.5, 3.0
        # Bandwidth of each machine's link, shared by all that it sends; None: unlimited.
        self.bytes_per_ms: float | None = None
        # Time per byte for which handling a message keeps its receiver from taking the next.
        self.handling_ms_per_byte = 0.0
        self._sending_until: dict[str, float] = {}
        self._handling_until: dict[str, float] = {}

    def attach(self, address: str, receive: Callable[[str, bytes], None]) -> None:
        """Register the receiver of messages to an address."""
        self._receivers[address] = receive

    def cut(self, sender: str, receiver: str) -> None:
        """Drop all messages in this direction."""
        self._cuts.add((sender, receiver))

    def cut_both(self, one: str, other: str) -> None:
        """Drop all messages between two machines."""
        self.cut(one, other)
        self.cut(other, one)

    def hold(self, sender: str, receiver: str) -> None:
        """Hold messages in this direction until `heal`, which delivers them in order."""
        self._held.setdefault((sender, receiver), [])

    def isolate(self, address: str) -> None:
        """Cut one machine off from all others."""
        for other in self._receivers:
            if other != address:
                self.cut_both(address, other)

    def heal(self) -> None:
        """Restore all links and send the held messages."""
        self._cuts.clear()
        self.loss = 0.0
        held, self._held = self._held, {}
        for (sender, receiver), messages in held.items():
            for data in messages:
                self.send(sender, receiver, data)

    def is_cut(self, sender: str, receiver: str) -> bool:
        """Whether messages in this direction are dropped."""
        return (sender, receiver) in self._cuts

    def send(self, sender: str, receiver: str, data: bytes) -> None:
        """Deliver a message after a delay, unless it is dropped or held."""
        if (sender, receiver) in self._held:
            self._held[sender, receiver].append(data)
            return
        if self.is_cut(sender, receiver) or self._rng.random() < self.loss:
            return
        pair = (sender, receiver)
        arrival_ms = self._sent_ms(sender, len(data))
        arrival_ms += self._rng.uniform(self.least_delay_ms, self.most_delay_ms)
        if not self.reorders:
            arrival_ms = max(arrival_ms, self._busy_until.get(pair, 0.0))
            self._busy_until[pair] = arrival_ms
        self._clock.after(arrival_ms - self._clock.now_ms, lambda: self._arrive(sender, receiver, data))

    def _sent_ms(self, sender: str, size: int) -> float:
        """The time at which the last byte is sent, after all earlier messages."""
        if self.bytes_per_ms is None:
            return self._clock.now_ms
        began_ms = max(self._clock.now_ms, self._sending_until.get(sender, 0.0))
        self._sending_until[sender] = began_ms + size / self.bytes_per_ms
        return self._sending_until[sender]

    def _arrive(self, sender: str, receiver: str, data: bytes) -> None:
        """Deliver at once, or after the earlier messages have been handled."""
        if not self.handling_ms_per_byte:
            self._deliver(sender, receiver, data)
            return
        began_ms = max(self._clock.now_ms, self._handling_until.get(receiver, 0.0))
        self._handling_until[receiver] = began_ms + len(data) * self.handling_ms_per_byte
        done_ms = self._handling_until[receiver]
        self._clock.after(done_ms - self._clock.now_ms, lambda: self._deliver(sender, receiver, data))

    def _deliver(self, sender: str, receiver: str, data: bytes) -> None:
        if not self.is_cut(sender, receiver) and receiver in self._receivers:
            self._receivers[receiver](sender, data)
