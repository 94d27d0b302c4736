"""What a process tells of itself: named values with labels, read when somebody asks."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from enum import Enum

import msgspec


class SampleKind(Enum):
    """`COUNTER` only rises within a process's life; `GAUGE` goes up and down."""

    COUNTER = "counter"
    GAUGE = "gauge"


class Sample(msgspec.Struct, frozen=True):
    """One value. Samples of one name have the same kind, help and label names."""

    name: str
    help: str
    value: float
    kind: SampleKind = SampleKind.GAUGE
    labels: Mapping[str, str] = {}


Collect = Callable[[], Iterable[Sample]]
