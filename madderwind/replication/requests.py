"""Orders and reads that wait at the primary for a proof."""

from __future__ import annotations

import msgspec

from madderwind.replication.api import Action, OrderOutcome, OrderResolved, OrderResult, ReadResolved
from madderwind.replication.rounds import HeartbeatRounds

UNCLEAR = OrderResult(OrderOutcome.UNCLEAR)
# More at once are answered UNCLEAR: every one may hold a body of several MiB.
MOST_WAITING = 64


class _WaitingOrder(msgspec.Struct, frozen=True):
    """`index`: what must be committed first; `round`: what must be confirmed first (0: nothing)."""

    token: int
    result: OrderResult
    index: int
    round: int
    deadline_ms: float


class _WaitingRead(msgspec.Struct, frozen=True):
    token: int
    index: int
    round: int
    deadline_ms: float


class WaitingRequests:
    """Every request gets exactly one end."""

    def __init__(self) -> None:
        self._orders: list[_WaitingOrder] = []
        self._reads: list[_WaitingRead] = []

    @property
    def is_full(self) -> bool:
        """Whether no further order may wait."""
        return len(self._orders) >= MOST_WAITING

    @property
    def needed_round(self) -> int:
        """The newest round that anything waits for."""
        of_orders = max((order.round for order in self._orders), default=0)
        of_reads = max((read.round for read in self._reads), default=0)
        return max(of_orders, of_reads)

    def add_order(
        self, token: int, result: OrderResult, index: int, needed_round: int, deadline_ms: float
    ) -> None:
        """An order whose result holds once an entry is committed and a round confirmed."""
        self._orders.append(_WaitingOrder(token, result, index, needed_round, deadline_ms))

    def add_read(self, token: int, index: int, needed_round: int, deadline_ms: float) -> None:
        """A read that is the newest once an entry is committed and a round confirmed."""
        self._reads.append(_WaitingRead(token, index, needed_round, deadline_ms))

    def resolve(self, now_ms: float, committed_index: int, rounds: HeartbeatRounds) -> list[Action]:
        """The ends of those that are proven or have waited for too long."""
        actions: list[Action] = []
        open_orders, open_reads = [], []
        for order in self._orders:
            if order.index <= committed_index and order.round <= rounds.last_confirmed:
                actions.append(OrderResolved(order.token, order.result))
            elif now_ms >= order.deadline_ms:
                actions.append(OrderResolved(order.token, UNCLEAR))
            else:
                open_orders.append(order)
        for read in self._reads:
            if read.index <= committed_index and read.round <= rounds.last_confirmed:
                actions.append(ReadResolved(read.token, is_newest=True))
            elif now_ms >= read.deadline_ms:
                actions.append(ReadResolved(read.token, is_newest=False))
            else:
                open_reads.append(read)
        self._orders, self._reads = open_orders, open_reads
        return actions

    def give_up(self) -> list[Action]:
        """The role is lost: nothing can be told any more."""
        orders: list[Action] = [OrderResolved(order.token, UNCLEAR) for order in self._orders]
        reads: list[Action] = [ReadResolved(read.token, is_newest=False) for read in self._reads]
        self._orders, self._reads = [], []
        return orders + reads
