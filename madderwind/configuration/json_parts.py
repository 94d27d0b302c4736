"""Decoding of JSON one level at a time, so that parts nobody looks at stay the very bytes that came."""

from __future__ import annotations

from typing import TypeVar

import msgspec

from madderwind.errors import ConfigurationError

PartType = TypeVar("PartType")

_objects: msgspec.json.Decoder[dict[str, msgspec.Raw]] = msgspec.json.Decoder(dict[str, msgspec.Raw])
_lists: msgspec.json.Decoder[list[msgspec.Raw]] = msgspec.json.Decoder(list[msgspec.Raw])
_names: msgspec.json.Decoder[list[str]] = msgspec.json.Decoder(list[str])
_values: msgspec.json.Decoder[object] = msgspec.json.Decoder(object)


def read_object(data: bytes | msgspec.Raw, path: str) -> dict[str, msgspec.Raw]:
    """The members of an object, undecoded."""
    return _read(_objects, data, path, "must be an object")


def read_list(data: bytes | msgspec.Raw, path: str) -> list[msgspec.Raw]:
    """The items of a list, undecoded."""
    return _read(_lists, data, path, "must be a list")


def read_names(data: bytes | msgspec.Raw, path: str) -> list[str]:
    """A list of strings."""
    return _read(_names, data, path, "must be a list of names")


def read_value(data: bytes | msgspec.Raw, path: str) -> object:
    """Any value, decoded whole."""
    return _read(_values, data, path, "cannot be read")


def check_text(data: bytes, path: str) -> None:
    """Raises ConfigurationError where the bytes are no UTF-8, in parts that nobody looks at as well."""
    try:
        data.decode()
    except UnicodeDecodeError as error:
        raise ConfigurationError(path, f"is no JSON: {error}") from None


def write(value: object) -> bytes:
    """JSON of a value that may hold undecoded parts."""
    return msgspec.json.encode(value)


def _read(
    decoder: msgspec.json.Decoder[PartType], data: bytes | msgspec.Raw, path: str, reason: str
) -> PartType:
    try:
        return decoder.decode(data)
    except msgspec.ValidationError:
        raise ConfigurationError(path, reason) from None
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as error:
        raise ConfigurationError(path, f"is no JSON: {error}") from None
