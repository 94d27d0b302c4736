"""Decodes JSON one level at a time, so that parts that are not interpreted are preserved byte for byte."""

from __future__ import annotations

from typing import TypeVar

import msgspec

from madderwind.errors import ConfigurationError

PartType = TypeVar("PartType")

# The depth of nesting that can be read depends on the depth of the caller's stack. What is accepted can also
# be read by a caller whose stack is deeper by this many frames.
RESERVED_STACK_FRAMES = 300

_object_decoder: msgspec.json.Decoder[dict[str, msgspec.Raw]] = msgspec.json.Decoder(dict[str, msgspec.Raw])
_list_decoder: msgspec.json.Decoder[list[msgspec.Raw]] = msgspec.json.Decoder(list[msgspec.Raw])
_name_list_decoder: msgspec.json.Decoder[list[str]] = msgspec.json.Decoder(list[str])
_value_decoder: msgspec.json.Decoder[object] = msgspec.json.Decoder(object)
_syntax_checker: msgspec.json.Decoder[msgspec.Raw] = msgspec.json.Decoder(msgspec.Raw)


def read_object(data: bytes | msgspec.Raw, path: str) -> dict[str, msgspec.Raw]:
    """The members of an object, undecoded."""
    return _read(_object_decoder, data, path, "must be an object")


def read_list(data: bytes | msgspec.Raw, path: str) -> list[msgspec.Raw]:
    """The items of a list, undecoded."""
    return _read(_list_decoder, data, path, "must be a list")


def read_names(data: bytes | msgspec.Raw, path: str) -> list[str]:
    """A list of strings."""
    return _read(_name_list_decoder, data, path, "must be a list of names")


def read_value(data: bytes | msgspec.Raw, path: str) -> object:
    """Any value, fully decoded."""
    return _read(_value_decoder, data, path, "cannot be read")


def check_utf8(data: bytes, path: str) -> None:
    """Raise ConfigurationError if the data is not valid UTF-8, also in parts that are never decoded."""
    try:
        data.decode()
    except UnicodeDecodeError as error:
        raise ConfigurationError(path, f"is no JSON: {error}") from None


def check_nesting(data: bytes, path: str) -> None:
    """Raise ConfigurationError if a reader with a deeper call stack could not read the data."""
    try:
        _check_syntax_below(RESERVED_STACK_FRAMES, data)
    except RecursionError:
        raise ConfigurationError(path, "is nested too deeply") from None


def _check_syntax_below(frames: int, data: bytes) -> None:
    if frames > 0:
        _check_syntax_below(frames - 1, data)
    else:
        _syntax_checker.decode(data)


def encode_json(value: object) -> bytes:
    """The JSON of a value that may contain undecoded parts."""
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
