"""Copies of object graphs, and values that are equal if two graphs are in the same state.

Both traverse all objects that a replica consists of, so they need no change when its classes change.
Immutable values (frozen structs, numbers, text, functions over immutable values) are shared between copies.
"""

from __future__ import annotations

import copy
from collections import deque
from collections.abc import Hashable, Iterator
from enum import Enum
from types import BuiltinMethodType, FunctionType, MethodType, NoneType
from typing import TypeVar, cast

import msgspec

Graph = TypeVar("Graph")

_KNOWN_SLOTS: dict[type, tuple[str, ...]] = {}
_ATOMS = (NoneType, bool, int, float, str, bytes, Enum, type, BuiltinMethodType)


class UnknownGraph(TypeError):
    """An object that can't be copied or compared faithfully."""


def clone(value: Graph) -> Graph:
    """An independent copy; raises UnknownGraph if a function captures a mutable value."""
    return cast(Graph, _clone(value, {}))


def digest(value: object) -> Hashable:
    """A value that is equal for graphs in the same state. The order of mapping entries is significant."""
    return _digest(value, {})


def is_shared(value: object) -> bool:
    """Whether copies may share this value because it is immutable."""
    if isinstance(value, _ATOMS):
        return True
    if isinstance(value, msgspec.Struct):
        return value.__struct_config__.frozen
    if isinstance(value, tuple | frozenset):
        return all(is_shared(item) for item in value)
    if isinstance(value, FunctionType):
        return all(is_shared(captured) for captured in _captured_values(value))
    return isinstance(value, MethodType) and is_shared(value.__self__)


def _clone(value: object, memo: dict[int, object]) -> object:
    if is_shared(value):
        return value
    if id(value) in memo:
        return memo[id(value)]
    if isinstance(value, FunctionType):
        raise UnknownGraph(f"{value.__qualname__} captures a mutable value")
    if isinstance(value, MethodType):
        return MethodType(value.__func__, _clone(value.__self__, memo))
    if isinstance(value, tuple):
        return tuple(_clone(item, memo) for item in value)
    if isinstance(value, list | deque):
        return _clone_sequence(value, memo)
    if isinstance(value, set):
        return memo.setdefault(id(value), {_clone(item, memo) for item in value})
    if isinstance(value, dict):
        return _clone_mapping(value, memo)
    return _clone_object(value, memo)


def _clone_sequence(value: list[object] | deque[object], memo: dict[int, object]) -> object:
    result: list[object] | deque[object] = [] if isinstance(value, list) else deque(maxlen=value.maxlen)
    memo[id(value)] = result
    result.extend(_clone(item, memo) for item in value)
    return result


def _clone_mapping(value: dict[object, object], memo: dict[int, object]) -> object:
    result: dict[object, object] = {}
    memo[id(value)] = result
    for key, item in value.items():
        result[key] = _clone(item, memo)
    return result


def _clone_object(value: object, memo: dict[int, object]) -> object:
    result = (
        copy.copy(value) if isinstance(value, msgspec.Struct) else value.__class__.__new__(value.__class__)
    )
    memo[id(value)] = result
    for name, item in _fields(value):
        setattr(result, name, _clone(item, memo))
    return result


def _digest(value: object, seen: dict[int, int]) -> Hashable:
    if isinstance(value, _ATOMS):
        return value
    if isinstance(value, msgspec.Struct) and value.__struct_config__.frozen:
        return value
    if isinstance(value, tuple):
        return tuple([_digest(item, seen) for item in value])
    if isinstance(value, FunctionType):
        return (value.__qualname__, *[_digest(captured, seen) for captured in _captured_values(value)])
    if isinstance(value, MethodType):
        return (value.__func__.__qualname__, _digest(value.__self__, seen))
    if id(value) in seen:
        return ("seen", seen[id(value)])
    seen[id(value)] = len(seen)
    if isinstance(value, list | deque):
        return ("list", *[_digest(item, seen) for item in value])
    if isinstance(value, set | frozenset):
        return frozenset([_digest(item, seen) for item in value])
    if isinstance(value, dict):
        return ("dict", *[(key, _digest(item, seen)) for key, item in value.items()])
    return (value.__class__.__name__, *[_digest(item, seen) for _, item in _fields(value)])


def _captured_values(function: FunctionType) -> Iterator[object]:
    yield from (cell.cell_contents for cell in function.__closure__ or ())
    yield from function.__defaults__ or ()


def _fields(value: object) -> Iterator[tuple[str, object]]:
    if isinstance(value, msgspec.Struct):
        yield from ((name, getattr(value, name)) for name in value.__struct_fields__)
        return
    yield from getattr(value, "__dict__", {}).items()
    for name in _slots(type(value)):
        if hasattr(value, name):
            yield name, getattr(value, name)


def _slots(kind: type) -> tuple[str, ...]:
    known = _KNOWN_SLOTS.get(kind)
    if known is None:
        names: list[str] = []
        for base in kind.__mro__:
            slots = base.__dict__.get("__slots__", ())
            names += (slots,) if isinstance(slots, str) else slots
        known = tuple(name for name in names if name not in ("__dict__", "__weakref__"))
        _KNOWN_SLOTS[kind] = known
    return known
