"""Samples of a process's metrics: named values with labels, collected on each scrape."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from enum import Enum

import msgspec


class SampleKind(Enum):
    """`COUNTER` only increases during a process's lifetime; `GAUGE` may go up and down."""

    COUNTER = "counter"
    GAUGE = "gauge"


class Sample(msgspec.Struct, frozen=True):
    """One value of a metric. All samples of a name have the same kind, help text and label names."""

    name: str
    help: str
    value: float
    kind: SampleKind = SampleKind.GAUGE
    labels: Mapping[str, str] = {}


Collect = Callable[[], Iterable[Sample]]
