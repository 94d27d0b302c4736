"""Converts decoded JSON into the typed classes of `documents` with cattrs; errors carry the exact path."""

from __future__ import annotations

import math
from functools import cache
from typing import Any, Protocol, TypeVar, cast

import attrs
import msgspec
from cattrs import AttributeValidationNote, BaseValidationError, Converter, IterableValidationNote
from cattrs.gen import make_dict_structure_fn

from madderwind.configuration.documents import Backend
from madderwind.configuration.json_parts import read_value
from madderwind.errors import ConfigurationError

StructuredType = TypeVar("StructuredType")


class NamedItem(Protocol):
    """An item of a section."""

    @property
    def name(self) -> str:
        """Its name, unique in the section."""


ItemType = TypeVar("ItemType", bound=NamedItem)


class _WrongTypeError(Exception):
    """A value whose type is not that of the field; the message names the expected type."""


def read_item(raw: msgspec.Raw, item_type: type[ItemType], path: str) -> ItemType:
    """Parse an item of a section from JSON in UTF-8; raises ConfigurationError.

    msgspec decodes nearly all items directly into their class, at a third of the cost of cattrs. An item that
    msgspec rejects is parsed again with cattrs, whose result is authoritative: it treats null as absent and
    reports the path of an error.
    """
    try:
        item: ItemType = _decoder(item_type).decode(raw)
    except (msgspec.MsgspecError, ConfigurationError):
        read_name(raw, path)
        return structure(read_value(raw, path), item_type, path)
    return item


def read_name(raw: msgspec.Raw, path: str) -> str:
    """The name of an item of any kind; raises ConfigurationError."""
    try:
        return _name_decoder.decode(raw).name
    except (msgspec.DecodeError, UnicodeDecodeError):
        raise ConfigurationError(f"{path}.name", "must be there, as a string") from None


class _NameOnly(msgspec.Struct):
    name: str


_name_decoder = msgspec.json.Decoder(_NameOnly)


@cache
def _decoder(item_type: type[ItemType]) -> msgspec.json.Decoder[ItemType]:
    return msgspec.json.Decoder(item_type)


def structure(value: object, item_type: type[StructuredType], path: str) -> StructuredType:
    """Build an object from decoded JSON; the ConfigurationError has the path of the error, below `path`."""
    try:
        return _converter.structure(value, item_type)
    except (BaseValidationError, ConfigurationError, _WrongTypeError) as error:
        raise _with_path(error, path) from None


def _with_path(error: BaseException, path: str) -> ConfigurationError:
    """The first error with its full path, which cattrs attaches to the nested errors as notes."""
    while isinstance(error, BaseValidationError):
        error = cast(BaseException, error.exceptions[0])
        for note in getattr(error, "__notes__", ()):
            if isinstance(note, AttributeValidationNote):
                path = f"{path}.{note.name}"
            elif isinstance(note, IterableValidationNote):
                path = f"{path}[{note.index}]"
    if isinstance(error, ConfigurationError):
        return ConfigurationError(f"{path}.{error.field}", error.reason)
    if isinstance(error, KeyError):
        return ConfigurationError(path, "is missing")
    return ConfigurationError(path, str(error))


def _structure_integer(value: Any, _: object) -> int:
    if type(value) is int:
        return value
    if type(value) is float and value.is_integer():
        return int(value)
    raise _WrongTypeError("must be a whole number")


def _structure_number(value: Any, _: object) -> float:
    if type(value) not in (int, float):
        raise _WrongTypeError("must be a number")
    try:
        number = float(value)
    except OverflowError:
        number = math.inf
    if not math.isfinite(number):
        raise _WrongTypeError("must be a finite number")
    return number


def _structure_string(value: Any, _: object) -> str:
    if type(value) is not str:
        raise _WrongTypeError("must be a string")
    return value


def _structure_boolean(value: Any, _: object) -> bool:
    if type(value) is not bool:
        raise _WrongTypeError("must be true or false")
    return value


def _list_hook(item_type: type[StructuredType]) -> Any:
    def structure_list(value: Any, _: object) -> tuple[StructuredType, ...]:
        if type(value) is not list:
            raise _WrongTypeError("must be a list")
        return tuple(_converter.structure(value, list[item_type]))  # type: ignore[valid-type]

    return structure_list


def _object_hook(item_type: type[StructuredType]) -> Any:
    """Structures an object into an attrs class; a field that is null counts as absent."""
    structure_fields = make_dict_structure_fn(item_type, _converter)

    def structure_object(value: Any, _: object) -> StructuredType:
        if type(value) is not dict:
            raise _WrongTypeError("must be an object")
        present = {name: field for name, field in value.items() if field is not None}
        return structure_fields(present, item_type)

    return structure_object


def _make_converter() -> Converter:
    converter = Converter(detailed_validation=True)
    converter.register_structure_hook(int, _structure_integer)
    converter.register_structure_hook(float, _structure_number)
    converter.register_structure_hook(str, _structure_string)
    converter.register_structure_hook(bool, _structure_boolean)
    converter.register_structure_hook_factory(attrs.has, _object_hook)
    converter.register_structure_hook_func(lambda cls: cls == tuple[Backend, ...], _list_hook(Backend))
    converter.register_structure_hook_func(lambda cls: cls == tuple[str, ...], _list_hook(str))
    return converter


_converter = _make_converter()
