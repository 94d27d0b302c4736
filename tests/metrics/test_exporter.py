"""Tests of the Prometheus exporter: the samples it serves, and that it listens only if configured."""

from __future__ import annotations

import unittest
from collections.abc import Iterator

import aiohttp
import msgspec

from madderwind.controlplane.metrics import control_plane_samples
from madderwind.errors import SettingsError
from madderwind.messages.status import ControlPlaneStatus, DataPlaneStatus, UpstreamStatus
from madderwind.metrics.exporter import MetricsExporter, start_exporter
from madderwind.metrics.samples import Sample, SampleKind

STATUS = ControlPlaneStatus(
    node="core-1",
    address="a:1",
    zone="z",
    is_primary=True,
    primary="a:1",
    epoch=4,
    committed_version=7,
    members=("a:1", "b:1"),
    in_sync=("a:1",),
    fresh_age_ms=250.0,
    data_planes=(DataPlaneStatus("data-1", "d:1", "z", 5, "following", None),),
    upstreams=(
        UpstreamStatus("i-1", "s", "u:1", "z", "ready", 12.0),
        UpstreamStatus("i-2", "s", "u:2", "z", "ready", 12.0),
    ),
)


class ExporterTest(unittest.IsolatedAsyncioTestCase):
    async def scrape(self, samples: list[Sample]) -> list[str]:
        def collect() -> Iterator[Sample]:
            yield from samples

        exporter = MetricsExporter(collect)
        address = await exporter.start("127.0.0.1:0")
        self.addAsyncCleanup(exporter.close)
        async with aiohttp.ClientSession() as session, session.get(f"http://{address}/metrics") as answer:
            self.assertEqual(answer.status, 200)
            return (await answer.text()).splitlines()

    async def test_exports_gauges_and_counters_with_their_labels(self) -> None:
        lines = await self.scrape(
            [
                Sample("ready", "Whether it is ready.", 1.0),
                Sample("events", "Ends.", 3.0, SampleKind.COUNTER, {"event": "complete"}),
                Sample("events", "Ends.", 1.0, SampleKind.COUNTER, {"event": "refused"}),
            ]
        )
        self.assertIn("madderwind_ready 1.0", lines)
        self.assertIn('madderwind_events_total{event="complete"} 3.0', lines)
        self.assertIn('madderwind_events_total{event="refused"} 1.0', lines)
        self.assertEqual(sum(line.startswith("# TYPE madderwind_events") for line in lines), 1)

    async def test_exports_control_plane_status(self) -> None:
        lines = await self.scrape(list(control_plane_samples(STATUS)))
        self.assertIn("madderwind_primary 1.0", lines)
        self.assertIn("madderwind_lease_age_seconds 0.25", lines)
        self.assertIn('madderwind_data_plane_version{node="data-1"} 5.0', lines)
        self.assertIn('madderwind_upstreams{service="s",state="ready"} 2.0', lines)

    async def test_exports_a_version_beyond_the_largest_float(self) -> None:
        status = msgspec.structs.replace(STATUS, committed_version=10**4000)
        lines = await self.scrape(list(control_plane_samples(status)))
        self.assertIn("madderwind_committed_version +Inf", lines)

    async def test_does_not_listen_without_a_setting(self) -> None:
        self.assertIsNone(await start_exporter({"front": "127.0.0.1:1"}, lambda: ()))

    async def test_rejects_an_invalid_address(self) -> None:
        with self.assertRaises(SettingsError):
            await start_exporter({"metrics": "nowhere"}, lambda: ())


if __name__ == "__main__":
    unittest.main()
