"""Documents of the operator: read from JSON, checked, and changed by updates.

A document keeps every part as it came, unknown fields included, beside its typed form. It is never changed in
place; what an update or a replacement leaves as it was is shared with the document before, unchecked.
"""

from __future__ import annotations

from collections.abc import Mapping
from functools import cached_property
from typing import Any

import msgspec

from madderwind.configuration.consistency import check_consistency
from madderwind.configuration.documents import ClientLimits, Configuration, Route, Service, Tenant
from madderwind.configuration.json_parts import read_list, read_names, read_object, read_value, write
from madderwind.configuration.sections import Section
from madderwind.configuration.structuring import structure
from madderwind.errors import InvalidConfiguration

# The name of the place where nothing in particular of a document is wrong.
WHOLE_DOCUMENT = "document"

ROUTES, SERVICES, TENANTS, LIMITS = "routes", "services", "tenants", "limits"
_ITEM_TYPES: Mapping[str, type[Any]] = {ROUTES: Route, SERVICES: Service, TENANTS: Tenant}
_REQUIRED = (ROUTES, SERVICES)
_EMPTY_OBJECT = msgspec.Raw(b"{}")


class Document:
    """A whole configuration as the operator has it: `version`, typed `configuration`, and `raw` JSON."""

    def __init__(
        self, version: int, members: dict[str, msgspec.Raw], sections: dict[str, Section[Any]]
    ) -> None:
        """Checked as it is made. `members` holds all of the top level but `version`; those that are in
        `sections` are taken from there."""
        self.version = version
        self._members = members
        self._sections = sections
        self.configuration = self._typed()
        check_consistency(self.configuration)

    @cached_property
    def raw(self) -> bytes:
        """The JSON of the whole document."""
        contents = {name: self._contents(name) for name in self._members}
        return write({"version": self.version, **contents})

    def updated(self, body: bytes) -> Document:
        """This document with an update applied to it. Raises InvalidConfiguration, also where the update's
        version isn't above the present one."""
        return _Update(body).applied_to(self)

    def section(self, name: str) -> Section[Any]:
        """A section by name; an unknown one is read now, an absent one is empty."""
        known = self._sections.get(name)
        if known is not None:
            return known
        empty: Section[Any] = Section(_ITEM_TYPES.get(name))
        if name not in self._members or _is_null(self._members[name]):
            return empty
        return empty.replaced(read_list(self._members[name], name), name)

    @property
    def members(self) -> Mapping[str, msgspec.Raw]:
        """All of the top level but the version. Sections' contents are in `section`."""
        return self._members

    @property
    def sections(self) -> Mapping[str, Section[Any]]:
        """Sections that have been read."""
        return self._sections

    def _contents(self, name: str) -> object:
        section = self._sections.get(name)
        return self._members[name] if section is None else list(section.raw.values())

    def _typed(self) -> Configuration:
        limits = read_value(self._members.get(LIMITS, _EMPTY_OBJECT), LIMITS)
        return Configuration(
            version=self.version,
            routes=tuple(self.section(ROUTES).typed.values()),
            services=tuple(self.section(SERVICES).typed.values()),
            limits=ClientLimits() if limits is None else structure(limits, ClientLimits, LIMITS),
            tenants=tuple(self.section(TENANTS).typed.values()),
        )


def read_document(body: bytes, previous: Document | None = None) -> Document:
    """The document that a whole configuration's JSON describes. Items that `previous` holds in the same words
    are taken from it. Raises InvalidConfiguration; the version is not compared with that of `previous`."""
    members = read_object(body, WHOLE_DOCUMENT)
    version = _take_version(members)
    sections = {}
    for name, item_type in _ITEM_TYPES.items():
        if name in members and not _is_null(members[name]):
            before: Section[Any] = Section(item_type) if previous is None else previous.section(name)
            sections[name] = before.replaced(read_list(members[name], name), name)
        elif name in _REQUIRED:
            raise InvalidConfiguration(name, "is missing")
    for name in members.keys() - _ITEM_TYPES.keys():
        read_value(members[name], name)
    document = Document(version, members, sections)
    document.raw = bytes(body)
    return document


class _Update:
    """A change of named items: lists to upsert and lists of names to delete, by section."""

    def __init__(self, body: bytes) -> None:
        members = read_object(body, WHOLE_DOCUMENT)
        self.version = _take_version(members)
        self._upsert = _optional_object(members, "upsert")
        self._delete = _optional_object(members, "delete")
        for name in (*_ITEM_TYPES, LIMITS):
            if name in members:
                raise InvalidConfiguration(name, "in an update this stands under upsert or delete")

    def applied_to(self, document: Document) -> Document:
        if self.version <= document.version:
            raise InvalidConfiguration("version", f"{self.version} is not above {document.version}")
        members = dict(document.members)
        sections = dict(document.sections)
        for name in dict.fromkeys((*self._upsert, *self._delete)):
            if name == "version":
                raise InvalidConfiguration("upsert.version", "is no list of named items")
            if name == LIMITS:
                members[LIMITS] = self._changed_limits(members)
            else:
                sections[name] = self._changed_section(document, name)
                members.setdefault(name, _EMPTY_OBJECT)
        return Document(self.version, members, sections)

    def _changed_section(self, document: Document, name: str) -> Section[Any]:
        path = f"upsert.{name}"
        upsert = read_list(self._upsert[name], path) if name in self._upsert else []
        return document.section(name).changed(upsert, self._deleted(name), path)

    def _changed_limits(self, members: Mapping[str, msgspec.Raw]) -> msgspec.Raw:
        """The limits are one object, not a list: its fields are what is named, each is set or removed."""
        fields = read_object(members.get(LIMITS, _EMPTY_OBJECT), LIMITS)
        fields |= read_object(self._upsert.get(LIMITS, _EMPTY_OBJECT), f"upsert.{LIMITS}")
        for name in self._deleted(LIMITS):
            fields.pop(name, None)
        return msgspec.Raw(write(fields))

    def _deleted(self, name: str) -> list[str]:
        return read_names(self._delete[name], f"delete.{name}") if name in self._delete else []


def _take_version(members: dict[str, msgspec.Raw]) -> int:
    if "version" not in members:
        raise InvalidConfiguration("version", "is missing")
    version = read_value(members.pop("version"), "version")
    if type(version) is not int or version <= 0:
        raise InvalidConfiguration("version", "must be a whole number above 0")
    return version


def _optional_object(members: Mapping[str, msgspec.Raw], name: str) -> dict[str, msgspec.Raw]:
    if name not in members or _is_null(members[name]):
        return {}
    return read_object(members[name], name)


def _is_null(part: msgspec.Raw) -> bool:
    return bytes(part) == b"null"
