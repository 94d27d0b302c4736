"""The metrics that a data plane exports to Prometheus."""

from __future__ import annotations

import unittest

from madderwind.dataplane.metrics import DataPlaneFigures, data_plane_samples
from madderwind.metrics.samples import Sample
from madderwind.registry.known_upstreams import KnownUpstream
from madderwind.registry.states import UpstreamState
from tests.dataplane.fleet import Fleet, document, served
from tests.standins import run


def upstream(instance: str, state: UpstreamState) -> KnownUpstream:
    """An instance of the service `stock`."""
    return KnownUpstream(
        instance, "stock", "u:1", "z", "1", 4, state, 1, 0.0, timed_out=False, last_heartbeat_ms=0.0
    )


def value(samples: list[Sample], name: str, **labels: str) -> float | None:
    """The value of the only sample with this name and labels; None unless there is exactly one."""
    values = [sample.value for sample in samples if (sample.name, sample.labels) == (name, labels)]
    return values[0] if len(values) == 1 else None


class DataPlaneSamples(unittest.TestCase):
    def test_count_upstreams_by_service_and_state_and_events_by_name(self) -> None:
        ready, draining = UpstreamState.READY, UpstreamState.DRAINING
        figures = DataPlaneFigures(
            is_ready=False,
            configuration_version=7,
            control_planes=2,
            data_planes=5,
            upstreams=[upstream("i-1", ready), upstream("i-2", ready), upstream("i-3", draining)],
            upstream_connections=9,
            events={"rejected 429": 3},
        )
        samples = list(data_plane_samples(figures))
        self.assertEqual(value(samples, "ready"), 0.0)
        self.assertEqual(value(samples, "configuration_version"), 7.0)
        self.assertEqual(value(samples, "control_planes"), 2.0)
        self.assertEqual(value(samples, "data_planes"), 5.0)
        self.assertEqual(value(samples, "upstreams", service="stock", state="ready"), 2.0)
        self.assertEqual(value(samples, "upstreams", service="stock", state="draining"), 1.0)
        self.assertEqual(value(samples, "upstream_connections"), 9.0)
        self.assertEqual(value(samples, "events", event="rejected_429"), 3.0)

    def test_reflect_a_running_data_plane(self) -> None:
        async def scenario() -> None:
            async with Fleet(served(), document=document()) as fleet:
                await fleet.ask()
                samples = list(data_plane_samples(fleet.plane.figures()))
                self.assertEqual(value(samples, "ready"), 1.0)
                self.assertEqual(value(samples, "control_planes"), 1.0)
                self.assertEqual(value(samples, "upstream_connections"), 1.0)
                self.assertEqual(value(samples, "events", event="complete"), 1.0)

        run(scenario())


if __name__ == "__main__":
    unittest.main()
