"""Validators of single fields in local fleet files. They raise ConfigurationError with the field's name."""

from __future__ import annotations

from collections.abc import Callable, Collection
from typing import Any

import attrs

from madderwind.errors import ConfigurationError

Check = Callable[[Any, "attrs.Attribute[Any]", Any], None]


def between(least: float, most: float = float("inf")) -> Check:
    """Require a number from `least` to `most`."""

    def check(_: Any, attribute: attrs.Attribute[Any], value: float) -> None:
        if not least <= value <= most:
            wanted = f"at least {least:g}" if most == float("inf") else f"from {least:g} to {most:g}"
            raise ConfigurationError(attribute.name, f"must be {wanted}, not {value:g}")

    return check


def above_zero(_: Any, attribute: attrs.Attribute[Any], value: float) -> None:
    """Require a number above 0."""
    if value <= 0:
        raise ConfigurationError(attribute.name, f"must be above 0, not {value:g}")


def one_of(options: Collection[str]) -> Check:
    """Require one of the given strings."""

    def check(_: Any, attribute: attrs.Attribute[Any], value: str) -> None:
        if value not in options:
            raise ConfigurationError(attribute.name, f"must be one of {', '.join(options)}, not {value!r}")

    return check


def not_empty(_: Any, attribute: attrs.Attribute[Any], value: Collection[Any]) -> None:
    """Require at least one item."""
    if not value:
        raise ConfigurationError(attribute.name, "at least one item is required")
