"""Configuration documents: parsed from JSON, validated, and changed by updates.

A document keeps every part both as the original JSON, unknown fields included, and in typed form. It is
immutable. Parts that an update or a replacement does not change are shared with the previous document and are
not validated again.
"""

from __future__ import annotations

from collections.abc import Mapping
from functools import cached_property
from typing import Any

import msgspec

from madderwind.configuration.consistency import check_consistency
from madderwind.configuration.documents import ClientLimits, Configuration, Route, Service, Tenant
from madderwind.configuration.index import ConfigurationChange, ConfigurationIndex, ConflictingPartsError
from madderwind.configuration.json_parts import (
    check_utf8,
    encode_json,
    read_list,
    read_names,
    read_object,
    read_value,
)
from madderwind.configuration.lookup import RoutingTable
from madderwind.configuration.sections import Section, SectionChange
from madderwind.configuration.structuring import structure
from madderwind.errors import ConfigurationError
from madderwind.messages.message_pack import MAX_INTEGER_DIGITS

# The field name for errors that concern no particular part of a document.
ENTIRE_DOCUMENT = "document"

ROUTES, SERVICES, TENANTS, LIMITS = "routes", "services", "tenants", "limits"
_ITEM_TYPES: Mapping[str, type[Any]] = {ROUTES: Route, SERVICES: Service, TENANTS: Tenant}
_REQUIRED = (ROUTES, SERVICES)
_EMPTY = msgspec.Raw(b"")
_EMPTY_OBJECT = msgspec.Raw(b"{}")
_NULL = msgspec.Raw(b"null")
_EMPTY_SECTIONS: Mapping[str, Section[Any]] = {name: Section(kind) for name, kind in _ITEM_TYPES.items()}


class Document:
    """A complete configuration: its `version`, the typed `configuration` and the `raw` JSON."""

    def __init__(
        self,
        version: int,
        members: dict[str, msgspec.Raw],
        sections: dict[str, Section[Any]],
        change: ConfigurationChange,
        previous: Document | None,
    ) -> None:
        """Build and validate a document.

        Args:
            version: Its version.
            members: All top-level members except `version`; `sections` takes precedence over them.
            sections: The parsed sections by name.
            change: The difference from the previous document, or from an empty configuration.
            previous: The previous document, with which unchanged parts are shared.
        """
        self.version = version
        self._members = members
        self._sections = sections
        self.limits = self._limits_after(previous)
        self._index = self._index_after(change, previous)

    @cached_property
    def raw(self) -> bytes:
        """The JSON of the complete document."""
        contents = {name: self._member_contents(name) for name in self._members}
        return encode_json({"version": self.version, **contents})

    @cached_property
    def raw_bytes(self) -> int:
        """The length of `raw`, computed without building it."""
        if "raw" in vars(self):
            return len(self.raw)
        empty_members = dict.fromkeys(self._members, _EMPTY)
        frame_bytes = len(encode_json({"version": self.version, **empty_members}))
        return frame_bytes + sum(self._member_bytes(name) for name in self._members)

    @cached_property
    def configuration(self) -> Configuration:
        """All parts in typed form, with items in document order."""
        return Configuration(self.version, self.routes, self.services, self.limits, self.tenants)

    @cached_property
    def routing(self) -> RoutingTable:
        """Look-ups in this document."""
        return RoutingTable(self._index)

    @property
    def route_count(self) -> int:
        """The number of routes."""
        return len(self.section(ROUTES))

    @property
    def routes(self) -> tuple[Route, ...]:
        """All routes in document order.

        If no route changed, this is the same tuple object as in the previous document. The same holds for
        `services` and `tenants`.
        """
        return self.section(ROUTES).typed

    @property
    def services(self) -> tuple[Service, ...]:
        """All services in document order."""
        return self.section(SERVICES).typed

    @property
    def tenants(self) -> tuple[Tenant, ...]:
        """All tenants in document order."""
        return self.section(TENANTS).typed

    def updated(self, body: bytes) -> Document:
        """This document with an update applied to it.

        Raises ConfigurationError, also if the update's version is not above the current one.
        """
        return _Update(body).applied_to(self)

    def section(self, name: str) -> Section[Any]:
        """A section by name; one of unknown kind is parsed on demand, an absent one is empty."""
        known = self._sections.get(name)
        if known is not None:
            return known
        if name in _ITEM_TYPES:
            return _EMPTY_SECTIONS[name]
        empty: Section[Any] = Section(None)
        if _is_absent(self._members, name):
            return empty
        return empty.replaced(read_list(self._members[name], name), name).section

    @property
    def members(self) -> Mapping[str, msgspec.Raw]:
        """All top-level members except the version. `section` returns the contents of the sections."""
        return self._members

    @property
    def sections(self) -> Mapping[str, Section[Any]]:
        """The sections that have been parsed."""
        return self._sections

    def _member_contents(self, name: str) -> object:
        section = self._sections.get(name)
        return self._members[name] if section is None else section.raw()

    def _member_bytes(self, name: str) -> int:
        section = self._sections.get(name)
        return len(self._members[name]) if section is None else section.raw_bytes

    def _limits_after(self, previous: Document | None) -> ClientLimits:
        raw_limits = self._members.get(LIMITS, _EMPTY_OBJECT)
        if previous is not None and previous._members.get(LIMITS, _EMPTY_OBJECT) is raw_limits:
            return previous.limits
        limits = read_value(raw_limits, LIMITS)
        return ClientLimits() if limits is None else structure(limits, ClientLimits, LIMITS)

    def _index_after(self, change: ConfigurationChange, previous: Document | None) -> ConfigurationIndex:
        """The index after the change, validated at a cost in proportion to the change.

        Only after a conflict is the complete document validated, to find the path of the error.
        """
        index = ConfigurationIndex() if previous is None else previous._index
        try:
            return index.changed(change)
        except ConflictingPartsError:
            check_consistency(self.configuration)
            raise ConfigurationError(ENTIRE_DOCUMENT, "its parts do not fit together") from None


def read_document(body: bytes, previous: Document | None = None) -> Document:
    """Parse the JSON of a complete configuration.

    Items whose JSON is identical in `previous` are taken from it. Raises ConfigurationError; the version is
    not compared with that of `previous`.
    """
    check_utf8(body, ENTIRE_DOCUMENT)
    members = read_object(body, ENTIRE_DOCUMENT)
    version = _read_version(members)
    changes = {}
    for name in _ITEM_TYPES:
        is_absent = _is_absent(members, name)
        if is_absent and name in _REQUIRED:
            raise ConfigurationError(name, "is missing")
        previous_section = _EMPTY_SECTIONS[name] if previous is None else previous.section(name)
        changes[name] = previous_section.replaced([] if is_absent else read_list(members[name], name), name)
    sections = {name: change.section for name, change in changes.items() if not _is_absent(members, name)}
    document = Document(version, members, sections, _configuration_change(changes), previous)
    document.raw = bytes(body)
    return document


def _configuration_change(changes: Mapping[str, SectionChange[Any]]) -> ConfigurationChange:
    differences = {name: change.difference for name, change in changes.items() if name in _ITEM_TYPES}
    return ConfigurationChange(**differences)


class _Update:
    """A change of named items: by section, the items to upsert and the names to delete."""

    def __init__(self, body: bytes) -> None:
        check_utf8(body, ENTIRE_DOCUMENT)
        members = read_object(body, ENTIRE_DOCUMENT)
        self.version = _read_version(members)
        self._upsert = _optional_object(members, "upsert")
        self._delete = _optional_object(members, "delete")
        for name in (*_ITEM_TYPES, LIMITS):
            if name in members:
                raise ConfigurationError(name, "in an update this stands under upsert or delete")

    def applied_to(self, document: Document) -> Document:
        if self.version <= document.version:
            raise ConfigurationError("version", f"{self.version} is not above {document.version}")
        members = dict(document.members)
        changes = {}
        for name in dict.fromkeys((*self._upsert, *self._delete)):
            if name == "version":
                raise ConfigurationError("upsert.version", "is no list of named items")
            if name == LIMITS:
                members[LIMITS] = self._changed_limits(members)
            else:
                changes[name] = self._changed_section(document, name)
                members.setdefault(name, _EMPTY_OBJECT)
        sections = {**document.sections, **{name: change.section for name, change in changes.items()}}
        return Document(self.version, members, sections, _configuration_change(changes), document)

    def _changed_section(self, document: Document, name: str) -> SectionChange[Any]:
        path = f"upsert.{name}"
        upsert = read_list(self._upsert[name], path) if name in self._upsert else []
        return document.section(name).changed(upsert, self._names_to_delete(name), path)

    def _changed_limits(self, members: Mapping[str, msgspec.Raw]) -> msgspec.Raw:
        """The limits after the update; they are a single object, whose fields are set or removed by name."""
        fields = read_object(members.get(LIMITS, _EMPTY_OBJECT), LIMITS)
        fields |= read_object(self._upsert.get(LIMITS, _EMPTY_OBJECT), f"upsert.{LIMITS}")
        for name in self._names_to_delete(LIMITS):
            fields.pop(name, None)
        return msgspec.Raw(encode_json(fields))

    def _names_to_delete(self, name: str) -> list[str]:
        return read_names(self._delete[name], f"delete.{name}") if name in self._delete else []


def _read_version(members: dict[str, msgspec.Raw]) -> int:
    if "version" not in members:
        raise ConfigurationError("version", "is missing")
    raw_version = members.pop("version")
    if len(raw_version) > MAX_INTEGER_DIGITS:
        raise ConfigurationError("version", f"has more than {MAX_INTEGER_DIGITS} digits")
    version = read_value(raw_version, "version")
    if type(version) is not int or version <= 0:
        raise ConfigurationError("version", "must be a whole number above 0")
    return version


def _optional_object(members: Mapping[str, msgspec.Raw], name: str) -> dict[str, msgspec.Raw]:
    return {} if _is_absent(members, name) else read_object(members[name], name)


def _is_absent(members: Mapping[str, msgspec.Raw], name: str) -> bool:
    """Whether a member is missing or null."""
    return name not in members or members[name] == _NULL
