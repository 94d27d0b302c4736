"""Samples of a process's metrics: named values with labels, collected on each scrape."""

from __future__ import annotations

import math
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


def gauge_value(number: int) -> float:
    """A whole number of any size as a metric's value; infinite if it is beyond the largest float."""
    try:
        return float(number)
    except OverflowError:
        return math.inf if number > 0 else -math.inf


Collect = Callable[[], Iterable[Sample]]
