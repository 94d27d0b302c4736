"""A small replicated state machine with the operator's rules: one order on top of each version."""

from __future__ import annotations

import msgspec

from madderwind.replication.api import Order, OrderKind, OrderOutcome, OrderResult


class Change(msgspec.Struct, frozen=True, array_like=True):
    """An order's body: which version it makes, and who sent it."""

    version: int
    name: str
    padding: str = ""


def order(base_version: int, version: int, name: str, padding: str = "") -> Order:
    """An order that leads from one version to another."""
    body = msgspec.msgpack.encode(Change(version, name, padding))
    return Order(OrderKind.REPLACE, base_version, body)


def change_of(body: bytes) -> Change:
    """What an order's body says."""
    return msgspec.msgpack.decode(body, type=Change)


class _Snapshot(msgspec.Struct, frozen=True, array_like=True):
    bodies: tuple[tuple[int, bytes], ...]


class Register:
    """Implements madderwind.replication.api.ReplicatedState. `taken`: base version and body of all orders."""

    def __init__(self) -> None:
        self.taken: list[tuple[int, bytes]] = []

    @property
    def version(self) -> int:
        return change_of(self.taken[-1][1]).version if self.taken else 0

    def decide(self, order: Order) -> OrderResult | None:
        if (order.base_version, order.body) in self.taken:
            return OrderResult(OrderOutcome.TAKEN, self.version)
        if order.base_version != self.version:
            return OrderResult(OrderOutcome.STALE_BASE, self.version)
        if change_of(order.body).version <= self.version:
            return OrderResult(OrderOutcome.INVALID, self.version, "version", "not above the current one")
        return None

    def apply(self, order: Order) -> None:
        if self.decide(order) is not None:
            raise ValueError(f"{order} does not follow version {self.version}")
        self.taken.append((order.base_version, order.body))

    def snapshot(self) -> bytes:
        return msgspec.msgpack.encode(_Snapshot(tuple(self.taken)))

    @classmethod
    def restore(cls, data: bytes) -> Register:
        register = cls()
        register.taken = list(msgspec.msgpack.decode(data, type=_Snapshot).bodies)
        return register

    def copy(self) -> Register:
        register = Register()
        register.taken = self.taken.copy()
        return register
