"""An immutable hash map whose changed versions share all buckets that the change did not touch."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from typing import Generic, TypeVar

KeyType = TypeVar("KeyType")
ValueType = TypeVar("ValueType")

# A change copies a bucket and the list of buckets: together they stay short at this many entries a bucket.
MAX_PER_BUCKET = 32
_GROWTH = 4


class PersistentMap(Generic[KeyType, ValueType]):
    """A map of hashable keys.

    A change costs by what it changes and by the square root of the map's length at most; the map before it
    stays as it was. Iteration follows no command that means anything.
    """

    __slots__ = ("_buckets", "_length", "_mask")

    def __init__(self, entries: Mapping[KeyType, ValueType] | None = None) -> None:
        """A map of these entries; empty without any."""
        entries = entries or {}
        count = 1
        while count * MAX_PER_BUCKET < len(entries):
            count *= _GROWTH
        self._fill(entries.items(), count)

    def get(self, key: KeyType) -> ValueType | None:
        """The value of a key; None where it is not there."""
        return self._buckets[hash(key) & self._mask].get(key)

    def __contains__(self, key: KeyType) -> bool:
        return key in self._buckets[hash(key) & self._mask]

    def __len__(self) -> int:
        return self._length

    def items(self) -> Iterator[tuple[KeyType, ValueType]]:
        """All entries, in no particular command."""
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
            changed._own_bucket(key, copied).pop(key, None)
        for key, value in assigned.items():
            changed._own_bucket(key, copied)[key] = value
        grown = sum(len(changed._buckets[number]) - len(self._buckets[number]) for number in copied)
        changed._length = self._length + grown
        if changed._length > len(changed._buckets) * MAX_PER_BUCKET:
            changed._fill(list(changed.items()), len(changed._buckets) * _GROWTH)
        return changed

    def _own_bucket(self, key: KeyType, copied: set[int]) -> dict[KeyType, ValueType]:
        """The key's bucket, copied before its first change so that other maps keep theirs."""
        number = hash(key) & self._mask
        if number not in copied:
            copied.add(number)
            self._buckets[number] = self._buckets[number].copy()
        return self._buckets[number]

    def _fill(self, entries: Iterable[tuple[KeyType, ValueType]], count: int) -> None:
        """Distribute the entries over so many buckets, a power of two."""
        self._mask = count - 1
        self._buckets: list[dict[KeyType, ValueType]] = [{} for _ in range(count)]
        for key, value in entries:
            self._buckets[hash(key) & self._mask][key] = value
        self._length = sum(len(bucket) for bucket in self._buckets)
