"""The ids of the exchanges that one connection to an upstream has carried. No I/O."""

from __future__ import annotations

# A connection is used for this many exchanges at most, which bounds its memory.
MAX_EXCHANGES = 256


class ExchangeIds:
    """Makes an id name at most one exchange on a connection.

    An upstream may repeat a response late, in the place of a later one, and only its id tells the two apart.
    So a retry, or a client that uses an id again, needs another connection. Nothing is ever forgotten: a
    connection whose ids are full carries no further exchange.

    Hashes are kept, as ids may be as long as a header; two ids with one hash only cost a connection.
    """

    __slots__ = ("_hashes",)

    def __init__(self) -> None:
        self._hashes: set[int] = set()

    def add(self, exchange_id: str) -> None:
        """Record that an exchange begins."""
        self._hashes.add(hash(exchange_id))

    def may_carry(self, exchange_id: str | None) -> bool:
        """Whether an exchange with this id may begin; None for exchanges that no id names."""
        if exchange_id is None:
            return True
        return hash(exchange_id) not in self._hashes and len(self._hashes) < MAX_EXCHANGES
