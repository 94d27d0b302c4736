"""The YAML description of a placement experiment: fleet, engines, traffic and faults."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import attrs
import cattrs
import msgspec
import yaml

from madderwind.testing.engine_emulator.engine import EngineSettings
from madderwind.testing.engine_emulator.workload import Burst, Kind


@attrs.frozen
class Crash:
    """From `at_s`, `count` upstreams are down for `for_s`; new instances with empty caches replace them."""

    at_s: float
    for_s: float
    count: int = 1


@attrs.frozen
class Release:
    """From `at_s`, one upstream every `gap_s` is replaced by one with an empty cache, `count` in total."""

    at_s: float
    gap_s: float
    count: int


@attrs.frozen
class Restart:
    """At `at_s`, `count` data planes restart without state of the other data planes or the upstreams."""

    at_s: float
    count: int


@attrs.frozen
class Experiment:
    """One experiment.

    `report_ms` and `dispatch_ms`: interval at which data planes exchange load and dispatches; 0 disables it.
    """

    name: str
    question: str
    data_planes: int
    upstreams: int
    kinds: list[Kind]
    zones: int = 3
    slowness: list[float] = attrs.field(factory=lambda: [1.0])
    engine: dict[str, Any] = attrs.field(factory=dict)
    bursts: list[Burst] = attrs.field(factory=list)
    crashes: list[Crash] = attrs.field(factory=list)
    releases: list[Release] = attrs.field(factory=list)
    restarts: list[Restart] = attrs.field(factory=list)
    policies: list[str] = attrs.field(factory=lambda: ["placement", "random"])
    for_s: float = 34.0
    seeds: int = 3
    load: float = 1.0
    report_ms: float = 250.0
    dispatch_ms: float = 250.0
    delay_ms: float = 0.5
    again_s: float = 10.0
    reread_price_per_k: float = 0.09

    @property
    def engine_settings(self) -> EngineSettings:
        """The engine's settings, with defaults for those not given."""
        return msgspec.convert(self.engine, EngineSettings)


def read_experiment(path: Path) -> Experiment:
    """Read an experiment from a YAML file."""
    return cattrs.Converter(forbid_extra_keys=True).structure(yaml.safe_load(path.read_text()), Experiment)
