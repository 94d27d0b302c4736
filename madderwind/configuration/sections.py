"""A section of a document: a list of named items, each kept as it came and, where its kind is known, typed.

Sections are never changed in place: a change makes a new one that shares all untouched items. The items stand
in chunks, in their order, so that a change copies one chunk and the list of chunks, not the whole section.
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
    """One item: its JSON as it came, and typed; `typed` is None in a section of a kind that isn't known."""

    name: str
    raw: msgspec.Raw
    typed: ItemType | None


@attrs.frozen
class SectionChange(Generic[ItemType]):
    """The section after a change, and how its typed items differ from those before."""

    section: Section[ItemType]
    difference: Difference[ItemType]


class Section(Generic[ItemType]):
    """Items by name, in their order. `item_type` is None for a section that this version doesn't know."""

    def __init__(self, item_type: type[ItemType] | None) -> None:
        """An empty section."""
        self.item_type = item_type
        self._chunks: list[dict[str, SectionItem[ItemType]]] = []
        self._chunk_of: PersistentMap[str, int] = PersistentMap()
        self.raw_bytes = 0  # of all items

    def __len__(self) -> int:
        return len(self._chunk_of)

    def get(self, name: str) -> SectionItem[ItemType] | None:
        """An item by name; None where there is none."""
        number = self._chunk_of.get(name)
        return None if number is None else self._chunks[number][name]

    @cached_property
    def typed(self) -> tuple[ItemType, ...]:
        """All typed items in their order; none in a section of a kind that isn't known."""
        return tuple(item.typed for item in self.values() if item.typed is not None)

    def raw(self) -> list[msgspec.Raw]:
        """All items in their order, as they came."""
        return [item.raw for item in self.values()]

    def replaced(self, items: list[msgspec.Raw], path: str) -> SectionChange[ItemType]:
        """A section of just these items. What is the same as here is not checked again."""
        after = Section(self.item_type)
        before = {item.name: item for item in self.values()}
        read = self._read(items, path, before)
        after._chunk_of = PersistentMap(after._append(read))
        if not before:
            return SectionChange(after, Difference(added=after.typed))
        return SectionChange(after, Difference(_missing(before, read), _missing(read, before)))

    def changed(self, upsert: list[msgspec.Raw], delete: list[str], path: str) -> SectionChange[ItemType]:
        """The section with items replaced in field or appended, and others removed.

        Deleting a name that isn't there changes nothing; a name that is both upserted and deleted is refused.
        """
        read = self._read(upsert, path, self)
        for name in delete:
            if name in read:
                raise ConfigurationError(path, f"{name!r} is to be both upserted and deleted")
        before = {name: item for name in (*read, *delete) if (item := self.get(name)) is not None}
        after = self._with(read, [name for name in dict.fromkeys(delete) if name in before])
        return SectionChange(after, Difference(_missing(before, read), _missing(read, self)))

    def _with(self, upsert: dict[str, SectionItem[ItemType]], delete: list[str]) -> Section[ItemType]:
        """A new section; `delete` names items that are there, each once."""
        after = Section(self.item_type)
        after._chunks, after.raw_bytes = self._chunks.copy(), self.raw_bytes
        own: set[int] = set()
        for name in delete:
            after.raw_bytes -= len(after._own_chunk(self._chunk_number(name), own).pop(name).raw)
        appended: dict[str, SectionItem[ItemType]] = {}
        for name, item in upsert.items():
            if name not in self._chunk_of:
                appended[name] = item
                continue
            chunk = after._own_chunk(self._chunk_number(name), own)
            after.raw_bytes += len(item.raw) - len(chunk[name].raw)
            chunk[name] = item
        chunk_numbers = after._append(appended, own)
        after._chunk_of = self._chunk_of.changed(chunk_numbers, delete)
        if len(after._chunks) * ITEMS_PER_CHUNK > 4 * (len(after) + ITEMS_PER_CHUNK):
            after._close_gaps()
        return after

    def _chunk_number(self, name: str) -> int:
        number = self._chunk_of.get(name)
        assert number is not None
        return number

    def _own_chunk(self, number: int, own: set[int]) -> dict[str, SectionItem[ItemType]]:
        """A chunk, copied before its first change so that other sections keep theirs."""
        if number not in own:
            own.add(number)
            self._chunks[number] = self._chunks[number].copy()
        return self._chunks[number]

    def _append(self, items: dict[str, SectionItem[ItemType]], own: set[int] | None = None) -> dict[str, int]:
        """Put items after all others; the chunks that they are in."""
        own = set() if own is None else own
        remaining = iter(items.items())
        chunk_numbers: dict[str, int] = {}
        while len(chunk_numbers) < len(items):
            if not self._chunks or len(self._chunks[-1]) >= ITEMS_PER_CHUNK:
                self._chunks.append({})
            last = len(self._chunks) - 1
            chunk = self._own_chunk(last, own)
            more = dict(islice(remaining, ITEMS_PER_CHUNK - len(chunk)))
            chunk.update(more)
            chunk_numbers.update(dict.fromkeys(more, last))
        self.raw_bytes += sum(len(item.raw) for item in items.values())
        return chunk_numbers

    def _close_gaps(self) -> None:
        """Fill the chunks anew where deletions have left too many of them nearly empty."""
        items = {item.name: item for item in self.values()}
        self._chunks, self.raw_bytes = [], 0
        self._chunk_of = PersistentMap(self._append(items))

    def values(self) -> Iterator[SectionItem[ItemType]]:
        """All items in their order."""
        for chunk in self._chunks:
            yield from chunk.values()

    def _read(
        self, items: list[msgspec.Raw], path: str, before: _Items[ItemType]
    ) -> dict[str, SectionItem[ItemType]]:
        """The items by name; what is the same as before is taken from there."""
        read: dict[str, SectionItem[ItemType]] = {}
        in_command = iter(before.values())
        for index, raw in enumerate(items):
            field = f"{path}[{index}]"
            candidate = next(in_command, None)  # the same one, where nothing came or went before it
            if candidate is not None and candidate.raw == raw:
                item = SectionItem(candidate.name, raw, candidate.typed)
            else:
                item = self._read_item(raw, field, before)
            if item.name in read:
                raise ConfigurationError(f"{field}.name", f"{item.name!r} is there twice")
            read[item.name] = item
        return read

    def _read_item(self, raw: msgspec.Raw, field: str, before: _Items[ItemType]) -> SectionItem[ItemType]:
        if self.item_type is None:
            return SectionItem(read_name(raw, field), raw, None)
        if len(before):
            name = read_name(raw, field)
            known = before.get(name)
            if known is not None and known.raw == raw:
                return SectionItem(name, raw, known.typed)
        typed = read_item(raw, self.item_type, field)
        return SectionItem(typed.name, raw, typed)


class _Items(Protocol[ItemType]):
    """A section's items, or some of them."""

    def __len__(self) -> int: ...

    def values(self) -> Iterable[SectionItem[ItemType]]:
        """All of them, in their order."""

    def get(self, name: str, /) -> SectionItem[ItemType] | None:
        """An item by name; None where there is none."""


def _missing(items: dict[str, SectionItem[ItemType]], other: _Items[ItemType]) -> tuple[ItemType, ...]:
    """The typed items that aren't the same in the other."""
    missing = []
    for name, item in items.items():
        known = other.get(name)
        if item.typed is not None and (known is None or known.typed is not item.typed):
            missing.append(item.typed)
    return tuple(missing)
