"""A section of a document: a list of named items, each kept as it came and, where its kind is known, typed.

Sections are never changed in place: a change makes a new one that shares all untouched items.
"""

from __future__ import annotations

from typing import Generic, TypeVar

import attrs
import msgspec

from madderwind.configuration.json_parts import read_value
from madderwind.configuration.structuring import structure
from madderwind.errors import InvalidConfiguration

ItemType = TypeVar("ItemType")


@attrs.frozen
class Section(Generic[ItemType]):
    """Items by name, in their order. `item_type` is None for a section that this version doesn't know."""

    item_type: type[ItemType] | None
    raw: dict[str, msgspec.Raw] = attrs.field(factory=dict)
    typed: dict[str, ItemType] = attrs.field(factory=dict)

    def replaced(self, items: list[msgspec.Raw], path: str) -> Section[ItemType]:
        """A section of just these items. What is the same as here is not checked again."""
        raw: dict[str, msgspec.Raw] = {}
        typed: dict[str, ItemType] = {}
        self._read_into(raw, typed, items, path)
        return Section(self.item_type, raw, typed)

    def changed(self, upsert: list[msgspec.Raw], delete: list[str], path: str) -> Section[ItemType]:
        """The section with items replaced in place or appended, and others removed. Deleting a name that
        isn't there changes nothing; a name that is both upserted and deleted is refused."""
        changed_raw: dict[str, msgspec.Raw] = {}
        changed_typed: dict[str, ItemType] = {}
        self._read_into(changed_raw, changed_typed, upsert, path)
        for name in delete:
            if name in changed_raw:
                raise InvalidConfiguration(path, f"{name!r} is to be both upserted and deleted")
        raw = {**self.raw, **changed_raw}
        typed = {**self.typed, **changed_typed}
        for name in delete:
            raw.pop(name, None)
            typed.pop(name, None)
        return Section(self.item_type, raw, typed)

    def _read_into(
        self, raw: dict[str, msgspec.Raw], typed: dict[str, ItemType], items: list[msgspec.Raw], path: str
    ) -> None:
        for index, item in enumerate(items):
            place = f"{path}[{index}]"
            name = _name_of(item, place)
            if name in raw:
                raise InvalidConfiguration(f"{place}.name", f"{name!r} is there twice")
            raw[name] = item
            if self.item_type is not None:
                typed[name] = self._typed(self.item_type, name, item, place)

    def _typed(self, item_type: type[ItemType], name: str, item: msgspec.Raw, place: str) -> ItemType:
        if self.raw.get(name) == item:
            return self.typed[name]
        return structure(read_value(item, place), item_type, place)


class _Named(msgspec.Struct):
    name: str


_named_items = msgspec.json.Decoder(_Named)


def _name_of(item: msgspec.Raw, place: str) -> str:
    try:
        return _named_items.decode(item).name
    except (msgspec.DecodeError, UnicodeDecodeError):
        raise InvalidConfiguration(f"{place}.name", "must be there, as a string") from None
