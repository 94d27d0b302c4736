"""Reads hand-written YAML or JSON files into attrs classes. Errors name the field and its line."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path
from typing import Any, TypeVar

import attrs
import cattrs
import yaml
from cattrs import (
    AttributeValidationNote,
    BaseValidationError,
    ForbiddenExtraKeysError,
    IterableValidationNote,
)
from cattrs.gen import make_dict_structure_fn

from madderwind.errors import ConfigurationError, FileFormatError

FileType = TypeVar("FileType")
PathStep = str | int


class _InvalidValue(Exception):
    """A value that is invalid for its field; the message gives the reason."""


def read_yaml(path: Path, file_type: type[FileType]) -> FileType:
    """Read a file into `file_type`. FileFormatError names the invalid field, its line and the reason."""
    try:
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise FileFormatError(str(path), 0, "", str(error)) from None
    return parse_yaml(text, file_type, str(path))


def parse_yaml(text: str, file_type: type[FileType], name: str) -> FileType:
    """Parse text as `read_yaml` does; `name` stands for the file in errors."""
    try:
        raw = yaml.safe_load(text)
    except yaml.MarkedYAMLError as error:
        line = error.problem_mark.line + 1 if error.problem_mark else 0
        raise FileFormatError(name, line, "", error.problem or "is not valid YAML") from None
    try:
        return _converter.structure(raw, file_type)
    except (BaseValidationError, ConfigurationError, _InvalidValue) as error:
        steps, reason = _first_error(error)
        raise FileFormatError(name, line_of(text, steps), field_name(steps), reason) from None


def field_name(steps: Sequence[PathStep]) -> str:
    """Format a path in a document, such as `routes[3].timeout_ms`."""
    name = ""
    for step in steps:
        name += f"[{step}]" if isinstance(step, int) else f".{step}"
    return name.removeprefix(".")


def steps_of(field: str) -> list[PathStep]:
    """Parse a path formatted by `field_name`."""
    steps: list[PathStep] = []
    for part in field.split("."):
        key, *indices = part.split("[")
        steps += [key] if key else []
        steps += [int(index.rstrip("]")) for index in indices]
    return steps


def line_of(text: str, steps: Sequence[PathStep]) -> int:
    """Return the line of a path in YAML or JSON text, or of its nearest enclosing node that exists.

    Returns 0 if the text can't be parsed or is empty.
    """
    try:
        node = yaml.compose(text, Loader=yaml.SafeLoader)
    except yaml.YAMLError:
        return 0
    if node is None:
        return 0
    line = node.start_mark.line + 1
    for step in steps:
        child = _child(node, step)
        if child is None:
            break
        line, node = child.start_mark.line + 1, child
    return line


def _child(node: yaml.Node, step: PathStep) -> yaml.Node | None:
    if isinstance(node, yaml.MappingNode):
        return next((value for key, value in node.value if key.value == str(step)), None)
    if isinstance(node, yaml.SequenceNode) and isinstance(step, int) and step < len(node.value):
        child: yaml.Node = node.value[step]
        return child
    return None


def _first_error(error: BaseException) -> tuple[list[PathStep], str]:
    """Return the path and reason of the first error; cattrs adds a note with the location to each level."""
    steps: list[PathStep] = []
    while isinstance(error, BaseValidationError) and not isinstance(error, ForbiddenExtraKeysError):
        error = error.exceptions[0]
        for note in getattr(error, "__notes__", ()):
            if isinstance(note, AttributeValidationNote):
                steps.append(note.name)
            elif isinstance(note, IterableValidationNote):
                steps.append(note.index)
    if isinstance(error, ForbiddenExtraKeysError):
        unknown = sorted(error.extra_fields)[0]
        return [*steps, unknown], "is not known here"
    if isinstance(error, ConfigurationError):
        return [*steps, *steps_of(error.field)], error.reason
    if isinstance(error, KeyError):
        return steps, "is missing"
    return steps, str(error)


def _number(value: Any, _: object) -> float:
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise _InvalidValue(f"a number was expected, not {value!r}")
    return float(value)


def _integer(value: Any, _: object) -> int:
    if isinstance(value, bool) or not isinstance(value, int):
        raise _InvalidValue(f"an integer was expected, not {value!r}")
    return value


def _text(value: Any, _: object) -> str:
    if not isinstance(value, str):
        raise _InvalidValue(f"a string was expected, not {value!r}")
    return value


def _boolean(value: Any, _: object) -> bool:
    if not isinstance(value, bool):
        raise _InvalidValue(f"true or false was expected, not {value!r}")
    return value


def _object_of(item_type: type[Any]) -> Any:
    structure = make_dict_structure_fn(item_type, _converter, _cattrs_forbid_extra_keys=True)

    def structure_object(value: Any, _: object) -> Any:
        if not isinstance(value, dict):
            raise _InvalidValue("a mapping of fields was expected")
        return structure(value, item_type)

    return structure_object


def _list_of(tuple_type: Any) -> Any:
    item_type = tuple_type.__args__[0]

    def structure_list(value: Any, _: object) -> Any:
        if not isinstance(value, list):
            raise _InvalidValue("a list was expected")
        return tuple(_converter.structure(value, list[item_type]))  # type: ignore[valid-type]

    return structure_list


def _is_tuple(candidate: Any) -> bool:
    return getattr(candidate, "__origin__", None) is tuple


def _make_converter() -> cattrs.Converter:
    converter = cattrs.Converter(detailed_validation=True)
    converter.register_structure_hook(float, _number)
    converter.register_structure_hook(int, _integer)
    converter.register_structure_hook(str, _text)
    converter.register_structure_hook(bool, _boolean)
    converter.register_structure_hook_factory(_is_tuple, _list_of)
    converter.register_structure_hook_factory(attrs.has, _object_of)
    return converter


_converter = _make_converter()
