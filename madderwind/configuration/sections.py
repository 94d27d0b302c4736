"""A section of a document: a list of named items, as raw JSON and, for known kinds of section, in typed form.

Sections are immutable: a change creates a new section that shares all unchanged items. The items are stored
in order in chunks, so that a change copies one chunk and the list of chunks, not the complete section.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from functools import cached_property
from itertools import islice
from typing import Generic, Protocol

import attrs
import msgspec

from madderwind.configuration.index import Difference
from madderwind.configuration.persistent_map import PersistentMap
from madderwind.configuration.structuring import ItemType, read_item, read_name
from madderwind.errors import ConfigurationError

ITEMS_PER_CHUNK = 128


class SectionItem(msgspec.Struct, Generic[ItemType], frozen=True, gc=False):
    """One item: its original JSON and its typed form, which is None in a section of unknown kind."""

    name: str
    raw: msgspec.Raw
    typed: ItemType | None


@attrs.frozen
class SectionChange(Generic[ItemType]):
    """The section after a change, and the difference in its typed items."""

    section: Section[ItemType]
    difference: Difference[ItemType]


class Section(Generic[ItemType]):
    """Items by name, in order. `item_type` is None for a kind of section that this version does not know."""

    def __init__(self, item_type: type[ItemType] | None) -> None:
        """Create an empty section."""
        self.item_type = item_type
        self._chunks: list[dict[str, SectionItem[ItemType]]] = []
        self._chunk_number_by_name: PersistentMap[str, int] = PersistentMap()
        self._item_bytes = 0

    def __len__(self) -> int:
        return len(self._chunk_number_by_name)

    @property
    def raw_bytes(self) -> int:
        """The length of the section's JSON: its items, the commas between them and the brackets."""
        return self._item_bytes + max(len(self) - 1, 0) + 2

    def get(self, name: str) -> SectionItem[ItemType] | None:
        """An item by name; None if it is absent."""
        number = self._chunk_number_by_name.get(name)
        return None if number is None else self._chunks[number][name]

    @cached_property
    def typed(self) -> tuple[ItemType, ...]:
        """All typed items in order; empty in a section of unknown kind."""
        return tuple(item.typed for item in self.values() if item.typed is not None)

    def raw(self) -> list[msgspec.Raw]:
        """The original JSON of all items, in order."""
        return [item.raw for item in self.values()]

    def replaced(self, items: list[msgspec.Raw], path: str) -> SectionChange[ItemType]:
        """A section with exactly these items; those identical in this section are not validated again."""
        after = Section(self.item_type)
        before = {item.name: item for item in self.values()}
        read = self._read(items, path, before)
        after._chunk_number_by_name = PersistentMap(after._append(read))
        if not before:
            return SectionChange(after, Difference(added=after.typed))
        return SectionChange(
            after, Difference(_typed_differences(before, read), _typed_differences(read, before))
        )

    def changed(self, upsert: list[msgspec.Raw], delete: list[str], path: str) -> SectionChange[ItemType]:
        """The section with items replaced in place or appended, and others deleted.

        Deleting an absent name has no effect; a name that is both upserted and deleted is rejected.
        """
        read = self._read(upsert, path, self)
        for name in delete:
            if name in read:
                raise ConfigurationError(path, f"{name!r} is to be both upserted and deleted")
        before = {name: item for name in (*read, *delete) if (item := self.get(name)) is not None}
        after = self._with_changes(read, [name for name in dict.fromkeys(delete) if name in before])
        return SectionChange(
            after, Difference(_typed_differences(before, read), _typed_differences(read, self))
        )

    def _with_changes(self, upsert: dict[str, SectionItem[ItemType]], delete: list[str]) -> Section[ItemType]:
        """A new section; `delete` holds the names of existing items, without duplicates."""
        after = Section(self.item_type)
        after._chunks, after._item_bytes = self._chunks.copy(), self._item_bytes
        copied: set[int] = set()
        for name in delete:
            after._item_bytes -= len(after._writable_chunk(self._chunk_number(name), copied).pop(name).raw)
        appended: dict[str, SectionItem[ItemType]] = {}
        for name, item in upsert.items():
            if name not in self._chunk_number_by_name:
                appended[name] = item
                continue
            chunk = after._writable_chunk(self._chunk_number(name), copied)
            after._item_bytes += len(item.raw) - len(chunk[name].raw)
            chunk[name] = item
        chunk_numbers = after._append(appended, copied)
        after._chunk_number_by_name = self._chunk_number_by_name.changed(chunk_numbers, delete)
        if len(after._chunks) * ITEMS_PER_CHUNK > 4 * (len(after) + ITEMS_PER_CHUNK):
            after._compact()
        return after

    def _chunk_number(self, name: str) -> int:
        number = self._chunk_number_by_name.get(name)
        assert number is not None
        return number

    def _writable_chunk(self, number: int, copied: set[int]) -> dict[str, SectionItem[ItemType]]:
        """A chunk; copied before its first change, because other sections share it."""
        if number not in copied:
            copied.add(number)
            self._chunks[number] = self._chunks[number].copy()
        return self._chunks[number]

    def _append(
        self, items: dict[str, SectionItem[ItemType]], copied: set[int] | None = None
    ) -> dict[str, int]:
        """Append items; returns the chunk number of each."""
        copied = set() if copied is None else copied
        remaining = iter(items.items())
        chunk_numbers: dict[str, int] = {}
        while len(chunk_numbers) < len(items):
            if not self._chunks or len(self._chunks[-1]) >= ITEMS_PER_CHUNK:
                self._chunks.append({})
            last = len(self._chunks) - 1
            chunk = self._writable_chunk(last, copied)
            batch = dict(islice(remaining, ITEMS_PER_CHUNK - len(chunk)))
            chunk.update(batch)
            chunk_numbers.update(dict.fromkeys(batch, last))
        self._item_bytes += sum(len(item.raw) for item in items.values())
        return chunk_numbers

    def _compact(self) -> None:
        """Rebuild the chunks after deletions have left too many of them nearly empty."""
        items = {item.name: item for item in self.values()}
        self._chunks, self._item_bytes = [], 0
        self._chunk_number_by_name = PersistentMap(self._append(items))

    def values(self) -> Iterator[SectionItem[ItemType]]:
        """All items in order."""
        for chunk in self._chunks:
            yield from chunk.values()

    def _read(
        self, items: list[msgspec.Raw], path: str, before: _ItemCollection[ItemType]
    ) -> dict[str, SectionItem[ItemType]]:
        """Parse items by name; items that are identical in `before` are taken from it."""
        read: dict[str, SectionItem[ItemType]] = {}
        in_previous_order = iter(before.values())
        for index, raw in enumerate(items):
            field = f"{path}[{index}]"
            # The item at the same position is identical unless an earlier item was inserted or deleted.
            candidate = next(in_previous_order, None)
            if candidate is not None and candidate.raw == raw:
                item = SectionItem(candidate.name, raw, candidate.typed)
            else:
                item = self._read_item(raw, field, before)
            if item.name in read:
                raise ConfigurationError(f"{field}.name", f"{item.name!r} is there twice")
            read[item.name] = item
        return read

    def _read_item(
        self, raw: msgspec.Raw, field: str, before: _ItemCollection[ItemType]
    ) -> SectionItem[ItemType]:
        if self.item_type is None:
            return SectionItem(read_name(raw, field), raw, None)
        if len(before):
            name = read_name(raw, field)
            known = before.get(name)
            if known is not None and known.raw == raw:
                return SectionItem(name, raw, known.typed)
        typed = read_item(raw, self.item_type, field)
        return SectionItem(typed.name, raw, typed)


class _ItemCollection(Protocol[ItemType]):
    """Some or all items of a section."""

    def __len__(self) -> int: ...

    def values(self) -> Iterable[SectionItem[ItemType]]:
        """All items in order."""

    def get(self, name: str, /) -> SectionItem[ItemType] | None:
        """An item by name; None if it is absent."""


def _typed_differences(
    items: dict[str, SectionItem[ItemType]], other: _ItemCollection[ItemType]
) -> tuple[ItemType, ...]:
    """The typed items of `items` that are absent or different in `other`."""
    differing = []
    for name, item in items.items():
        known = other.get(name)
        if item.typed is not None and (known is None or known.typed is not item.typed):
            differing.append(item.typed)
    return tuple(differing)
