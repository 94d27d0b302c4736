"""The ids of the exchanges that one connection to an upstream has carried. No I/O."""

from __future__ import annotations

from array import array
from bisect import bisect_left

# A connection is used for this many exchanges at most, which bounds its memory to 32 KiB.
MAX_EXCHANGES = 4096
# The array's type of 64 unsigned bits.
_UNSIGNED_64 = "Q"
_MASK_64 = (1 << 64) - 1


class ExchangeIds:
    """Makes an id name at most one exchange on a connection.

    An upstream may repeat a response late, in the place of a later one, and only its id tells the two apart.
    So a retry, or a client that uses an id again, needs another connection. Nothing is ever forgotten: a
    connection whose ids are full carries no further exchange.

    Hashes are kept in ascending order, as ids may be as long as a header; two ids with one hash only cost a
    connection.
    """

    __slots__ = ("_hashes",)

    def __init__(self) -> None:
        self._hashes = array(_UNSIGNED_64)

    def add(self, exchange_id: str) -> None:
        """Record that an exchange begins."""
        id_hash = _hash(exchange_id)
        self._hashes.insert(bisect_left(self._hashes, id_hash), id_hash)

    def may_carry(self, exchange_id: str | None) -> bool:
        """Whether an exchange with this id may begin; None for exchanges that no id names."""
        if exchange_id is None:
            return True
        return len(self._hashes) < MAX_EXCHANGES and not self._contains(_hash(exchange_id))

    def _contains(self, id_hash: int) -> bool:
        index = bisect_left(self._hashes, id_hash)
        return index < len(self._hashes) and self._hashes[index] == id_hash


def _hash(exchange_id: str) -> int:
    return hash(exchange_id) & _MASK_64
