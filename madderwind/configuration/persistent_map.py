"""An immutable hash map; a changed version shares all unmodified buckets with the original."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from typing import Generic, TypeVar

KeyType = TypeVar("KeyType")
ValueType = TypeVar("ValueType")

# A change copies one bucket and the list of buckets; this limit keeps both short.
MAX_PER_BUCKET = 32
_GROWTH_FACTOR = 4


class PersistentMap(Generic[KeyType, ValueType]):
    """An immutable map with hashable keys.

    The cost of a change grows with the number of changed entries and at most with the square root of the
    map's length. The original map is not modified. The iteration order is undefined.
    """

    __slots__ = ("_buckets", "_length", "_mask")

    def __init__(self, entries: Mapping[KeyType, ValueType] | None = None) -> None:
        """A map of these entries; empty by default."""
        entries = entries or {}
        bucket_count = 1
        while bucket_count * MAX_PER_BUCKET < len(entries):
            bucket_count *= _GROWTH_FACTOR
        self._fill(entries.items(), bucket_count)

    def get(self, key: KeyType) -> ValueType | None:
        """The value of a key; None if it is absent."""
        return self._buckets[hash(key) & self._mask].get(key)

    def __contains__(self, key: KeyType) -> bool:
        return key in self._buckets[hash(key) & self._mask]

    def __len__(self) -> int:
        return self._length

    def items(self) -> Iterator[tuple[KeyType, ValueType]]:
        """All entries, in no particular order."""
        for bucket in self._buckets:
            yield from bucket.items()

    def changed(
        self, assigned: Mapping[KeyType, ValueType], removed: Iterable[KeyType] = ()
    ) -> PersistentMap[KeyType, ValueType]:
        """The map without the removed keys, and then with the assigned entries."""
        changed: PersistentMap[KeyType, ValueType] = PersistentMap.__new__(PersistentMap)
        changed._buckets, changed._mask = self._buckets.copy(), self._mask
        copied: set[int] = set()
        for key in removed:
            changed._writable_bucket(key, copied).pop(key, None)
        for key, value in assigned.items():
            changed._writable_bucket(key, copied)[key] = value
        length_change = sum(len(changed._buckets[number]) - len(self._buckets[number]) for number in copied)
        changed._length = self._length + length_change
        if changed._length > len(changed._buckets) * MAX_PER_BUCKET:
            changed._fill(list(changed.items()), len(changed._buckets) * _GROWTH_FACTOR)
        return changed

    def _writable_bucket(self, key: KeyType, copied: set[int]) -> dict[KeyType, ValueType]:
        """The key's bucket; copied before its first change, because other maps share it."""
        number = hash(key) & self._mask
        if number not in copied:
            copied.add(number)
            self._buckets[number] = self._buckets[number].copy()
        return self._buckets[number]

    def _fill(self, entries: Iterable[tuple[KeyType, ValueType]], bucket_count: int) -> None:
        """Distribute the entries over `bucket_count` buckets, a power of two."""
        self._mask = bucket_count - 1
        self._buckets: list[dict[KeyType, ValueType]] = [{} for _ in range(bucket_count)]
        for key, value in entries:
            self._buckets[hash(key) & self._mask][key] = value
        self._length = sum(len(bucket) for bucket in self._buckets)
