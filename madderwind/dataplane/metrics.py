"""What a data plane tells Prometheus."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from typing import TYPE_CHECKING

from madderwind.metrics.samples import Sample, SampleKind

if TYPE_CHECKING:
    from madderwind.dataplane.service import DataPlane


def data_plane_samples(plane: DataPlane) -> Iterator[Sample]:
    """The values as they stand now."""
    yield Sample("ready", "Whether this data plane takes new connections.", float(plane.is_ready))
    yield Sample("configuration_version", "The version in force here.", float(plane.subscriber.version))
    yield Sample("control_planes", "Connected control planes.", float(len(plane.subscriber.open_links)))
    yield Sample("data_planes", "Data planes that the fleet has.", float(plane.subscriber.data_planes))
    upstreams = Counter((known.service, known.state.value) for known in plane.upstreams.all())
    for (service, state), count in upstreams.items():
        labels = {"service": service, "state": state}
        yield Sample("upstreams", "Upstreams by service and state.", float(count), labels=labels)
    yield Sample("upstream_connections", "Connections held to upstreams.", float(plane.pool.held()))
    for event, count in plane.counters.items():
        yield Sample(
            "events",
            "How requests and attempts ended.",
            float(count),
            SampleKind.COUNTER,
            {"event": event.replace(" ", "_")},
        )
