"""Which texts a header of HTTP can hold."""

from __future__ import annotations

import re

# Control characters except the tab, and surrogates, which have no encoding.
_FORBIDDEN = re.compile("[\x00-\x08\x0a-\x1f\x7f\ud800-\udfff]")


def is_header_text(text: str) -> bool:
    """Whether a header's value can hold the text."""
    return _FORBIDDEN.search(text) is None
