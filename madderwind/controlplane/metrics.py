"""The metrics that a control plane exports to Prometheus."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator

from madderwind.messages.status import ControlPlaneStatus
from madderwind.metrics.samples import Sample, gauge_value


def control_plane_samples(status: ControlPlaneStatus) -> Iterator[Sample]:
    """The samples of a control plane's status."""
    yield Sample("primary", "Whether this control plane is the primary.", float(status.is_primary))
    yield Sample("epoch", "The newest epoch known here.", float(status.epoch))
    yield Sample("committed_version", "The committed configuration.", gauge_value(status.committed_version))
    yield Sample("in_sync", "Replicas whose word every commit needs.", float(len(status.in_sync)))
    yield Sample("members", "Members of the view.", float(len(status.members)))
    if status.fresh_age_ms is not None:
        age_s = status.fresh_age_ms / 1000.0
        yield Sample("lease_age_seconds", "Since the primary was last known to hold its lease.", age_s)
    for plane in status.data_planes:
        labels = {"node": plane.node}
        applied = gauge_value(plane.applied_version)
        yield Sample("data_plane_version", "The version in force at a data plane.", applied, labels=labels)
        if plane.lag is not None:
            lag = float(plane.lag)
            yield Sample("data_plane_lag", "Versions that a data plane lacks.", lag, labels=labels)
    upstreams = Counter((upstream.service, upstream.state) for upstream in status.upstreams)
    for (service, state), count in upstreams.items():
        labels = {"service": service, "state": state}
        yield Sample("upstreams", "Upstreams by service and state.", float(count), labels=labels)
