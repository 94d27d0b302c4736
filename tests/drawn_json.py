"""Drawn JSON for the tests of readers: a valid sample in which some places hold other values."""

from __future__ import annotations

import json
import random
from typing import Any

from hypothesis import strategies as st

# Numbers at and beyond the ends of the ranges of integers and floats, which JSON doesn't bound.
NUMBERS = (
    *(
        f"{sign}{(1 << bits) + offset}"
        for bits in (31, 53, 63, 64)
        for offset in (-1, 0, 1)
        for sign in ("", "-")
    ),
    *("1" + "0" * zeros for zeros in (30, 308, 309, 4299, 4300, 9000)),
    *("1e-308", "5e-324", "1.5", "1e19", "1e308", "-1e308", "1e400", "-1e400", "0", "-0.0", "-1"),
)
# Values that are no JSON, or that some readers of JSON take.
INVALID = (
    "NaN",
    "Infinity",
    "-Infinity",
    "nul",
    "01",
    '"\\ud800"',
    '"\\x"',
    '"\x01"',
    '"open',
    "[1,",
    "{",
    "",
)
TEXTS = ('""', '"\\u0000"', '"\\r\\n"', '"\\ud83d\\ude00"', '"' + "x" * 5000 + '"', '"/a/"', '"10.0.0.1:80"')
NESTED = tuple("[" * depth + "]" * depth for depth in (1, 3, 200, 1200))
OTHERS = ("null", "true", "false", "{}", '{"name":"a"}', '{"":{"":0}}', '[{"name":"a"},{"name":"a"}]')
values = st.sampled_from([*NUMBERS, *TEXTS, *NESTED, *OTHERS, *INVALID])
MAX_CHANGES = 2


def changed(sample: Any, changes: list[str], rng: random.Random) -> bytes:
    """The JSON of the sample with these values at places drawn from it, also in place of whole parts."""
    placed = json.loads(json.dumps(sample))
    texts = {}
    for number, value in enumerate(changes):
        marker = f"@{number}@"
        texts[marker] = value
        _place(placed, marker, rng)
    encoded = json.dumps(placed)
    for marker, value in texts.items():
        encoded = encoded.replace(json.dumps(marker), value)
    return encoded.encode(errors="surrogatepass")


def _place(container: Any, marker: str, rng: random.Random) -> None:
    """Put the marker into a drawn place of the container, at any depth."""
    while True:
        keys = list(container) if isinstance(container, dict) else list(range(len(container)))
        key = rng.choice(keys)
        inner = container[key]
        if not isinstance(inner, (dict, list)) or not inner or rng.random() < 0.2:
            container[key] = marker
            return
        container = inner


def json_like(sample: Any) -> st.SearchStrategy[bytes]:
    """JSON like the sample, most of it valid."""
    changes = st.lists(values, min_size=1, max_size=MAX_CHANGES)
    return st.builds(changed, st.just(sample), changes, st.randoms(use_true_random=False))
