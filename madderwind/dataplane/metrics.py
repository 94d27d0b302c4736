"""Metrics that a data plane exports to Prometheus."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass

from madderwind.metrics.samples import Sample, SampleKind, gauge_value
from madderwind.registry.known_upstreams import KnownUpstream


@dataclass(frozen=True)
class DataPlaneFigures:
    """The state of a data plane from which its samples are made."""

    is_ready: bool
    configuration_version: int
    control_planes: int
    """The number of control planes with an open link."""
    data_planes: int
    """The number of data planes in the fleet."""
    upstreams: Sequence[KnownUpstream]
    upstream_connections: int
    events: Mapping[str, int]
    """The number of requests and attempts by how they ended."""


def data_plane_samples(figures: DataPlaneFigures) -> Iterator[Sample]:
    """The samples of the current state."""
    version, links = figures.configuration_version, figures.control_planes
    yield Sample("ready", "Whether this data plane takes new connections.", float(figures.is_ready))
    yield Sample("configuration_version", "The version in force here.", gauge_value(version))
    yield Sample("control_planes", "Connected control planes.", float(links))
    yield Sample("data_planes", "Data planes that the fleet has.", float(figures.data_planes))
    upstreams = Counter((known.service, known.state.value) for known in figures.upstreams)
    for (service, state), count in upstreams.items():
        labels = {"service": service, "state": state}
        yield Sample("upstreams", "Upstreams by service and state.", float(count), labels=labels)
    connections = float(figures.upstream_connections)
    yield Sample("upstream_connections", "Connections held to upstreams.", connections)
    for event, count in figures.events.items():
        yield Sample(
            "events",
            "How requests and attempts ended.",
            float(count),
            SampleKind.COUNTER,
            {"event": event.replace(" ", "_")},
        )
