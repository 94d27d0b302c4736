"""Turns decoded JSON into the typed classes of `documents`, by cattrs, with the exact place of an error."""

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
    """What stands in a section."""

    @property
    def name(self) -> str:
        """Its name, one of a kind in the section."""


ItemType = TypeVar("ItemType", bound=NamedItem)


class _WrongTypeError(Exception):
    """A value of another type than the field's; the text says which was expected."""


def read_item(raw: msgspec.Raw, item_type: type[ItemType], path: str) -> ItemType:
    """The item of a section that JSON in UTF-8 describes; raises ConfigurationError.

    Nearly all items are decoded into their class at once, which costs a third of the way by cattrs. What that
    refuses is read again by cattrs, which alone decides, takes null for absent, and tells the place.
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
        return _names.decode(raw).name
    except (msgspec.DecodeError, UnicodeDecodeError):
        raise ConfigurationError(f"{path}.name", "must be there, as a string") from None


class _Named(msgspec.Struct):
    name: str


_names = msgspec.json.Decoder(_Named)


@cache
def _decoder(item_type: type[ItemType]) -> msgspec.json.Decoder[ItemType]:
    return msgspec.json.Decoder(item_type)


def structure(value: object, item_type: type[StructuredType], path: str) -> StructuredType:
    """The object that decoded JSON describes. ConfigurationError names the place, starting with `path`."""
    try:
        return _converter.structure(value, item_type)
    except (BaseValidationError, ConfigurationError, _WrongTypeError) as error:
        raise _located(error, path) from None


def _located(error: BaseException, path: str) -> ConfigurationError:
    """The first thing that is wrong, with its place: cattrs notes on each nested error where it arose."""
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


def _integer(value: Any, _: object) -> int:
    if type(value) is int:
        return value
    if type(value) is float and value.is_integer():
        return int(value)
    raise _WrongTypeError("must be a whole number")


def _number(value: Any, _: object) -> float:
    if type(value) not in (int, float):
        raise _WrongTypeError("must be a number")
    try:
        number = float(value)
    except OverflowError:
        number = math.inf
    if not math.isfinite(number):
        raise _WrongTypeError("must be a finite number")
    return number


def _text(value: Any, _: object) -> str:
    if type(value) is not str:
        raise _WrongTypeError("must be a string")
    return value


def _flag(value: Any, _: object) -> bool:
    if type(value) is not bool:
        raise _WrongTypeError("must be true or false")
    return value


def _list_of(item_type: type[StructuredType]) -> Any:
    def structure_list(value: Any, _: object) -> tuple[StructuredType, ...]:
        if type(value) is not list:
            raise _WrongTypeError("must be a list")
        return tuple(_converter.structure(value, list[item_type]))  # type: ignore[valid-type]

    return structure_list


def _object_of(item_type: type[StructuredType]) -> Any:
    """Structures an object into one of our classes; a field that is null counts as absent."""
    structure_fields = make_dict_structure_fn(item_type, _converter)

    def structure_object(value: Any, _: object) -> StructuredType:
        if type(value) is not dict:
            raise _WrongTypeError("must be an object")
        present = {name: field for name, field in value.items() if field is not None}
        return structure_fields(present, item_type)

    return structure_object


def _make_converter() -> Converter:
    converter = Converter(detailed_validation=True)
    converter.register_structure_hook(int, _integer)
    converter.register_structure_hook(float, _number)
    converter.register_structure_hook(str, _text)
    converter.register_structure_hook(bool, _flag)
    converter.register_structure_hook_factory(attrs.has, _object_of)
    converter.register_structure_hook_func(lambda cls: cls == tuple[Backend, ...], _list_of(Backend))
    converter.register_structure_hook_func(lambda cls: cls == tuple[str, ...], _list_of(str))
    return converter


_converter = _make_converter()
