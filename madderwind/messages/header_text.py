"""Which texts a header of HTTP can hold."""

from __future__ import annotations

import re

_CONTROL_CHARACTERS = "\\x00-\\x08\\x0a-\\x1f\\x7f"  # except the tab
_CONTROL_CHARACTER = re.compile(f"[{_CONTROL_CHARACTERS}]")
# Surrogates have no encoding.
_FORBIDDEN = re.compile(f"[{_CONTROL_CHARACTERS}\\ud800-\\udfff]")


def is_header_text(text: str) -> bool:
    """Whether a header's value can hold the text."""
    return _FORBIDDEN.search(text) is None


def without_control_characters(text: str) -> str:
    """The text with a space for each control character, as RFC 9110 (5.5) asks of who forwards a header."""
    return _CONTROL_CHARACTER.sub(" ", text)
