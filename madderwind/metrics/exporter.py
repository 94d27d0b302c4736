"""Serves GET /metrics with the Prometheus client library, imported only if an exporter is created."""

from __future__ import annotations

from collections.abc import Iterator
from typing import TYPE_CHECKING

from aiohttp import web

from madderwind.errors import SettingsError
from madderwind.metrics.samples import Collect, SampleKind

if TYPE_CHECKING:
    from prometheus_client.core import Metric

METRICS_LISTENER, METRICS_PATH = "metrics", "/metrics"
PREFIX = "madderwind_"


class MetricsExporter:
    """Serves the samples of one process at one address."""

    def __init__(self, collect: Collect) -> None:
        from prometheus_client import CollectorRegistry

        self._collect = collect
        self._registry = CollectorRegistry()
        self._registry.register(_Collector(collect))

    async def start(self, address: str) -> str:
        """Start listening and return the address, with the port that the system chose if 0 was given.

        Raises:
            SettingsError: `address` is not of the form ip:port.
        """
        ip, _, port = address.rpartition(":")
        if not ip or not port.isdigit():
            raise SettingsError(f"listen.{METRICS_LISTENER}", f"{address!r} is not of the form ip:port")
        application = web.Application()
        application.router.add_get(METRICS_PATH, self._handle_scrape)
        self._runner = web.AppRunner(application, access_log=None, handle_signals=False, shutdown_timeout=0.1)
        await self._runner.setup()
        await web.TCPSite(self._runner, ip, int(port), reuse_address=True).start()
        return f"{ip}:{self._runner.addresses[0][1]}"

    async def close(self) -> None:
        """Stop listening."""
        await self._runner.cleanup()

    async def _handle_scrape(self, _: web.Request) -> web.Response:
        from prometheus_client import CONTENT_TYPE_LATEST, generate_latest

        body = generate_latest(self._registry)
        return web.Response(body=body, headers={"Content-Type": CONTENT_TYPE_LATEST})


async def start_exporter(listen: dict[str, str], collect: Collect) -> MetricsExporter | None:
    """Start an exporter if the settings' `listen` names an address for metrics; otherwise return None."""
    address = listen.get(METRICS_LISTENER)
    if address is None:
        return None
    exporter = MetricsExporter(collect)
    await exporter.start(address)
    return exporter


class _Collector:
    """The collector that the client library calls on each scrape."""

    def __init__(self, collect: Collect) -> None:
        self._collect = collect

    def collect(self) -> Iterator[Metric]:
        """Yield one metric family per sample name, in order of first appearance."""
        from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily

        families: dict[str, CounterMetricFamily | GaugeMetricFamily] = {}
        for sample in self._collect():
            family = families.get(sample.name)
            if family is None:
                family_type = CounterMetricFamily if sample.kind is SampleKind.COUNTER else GaugeMetricFamily
                family = family_type(PREFIX + sample.name, sample.help, labels=list(sample.labels))
                families[sample.name] = family
            family.add_metric(list(sample.labels.values()), sample.value)
        yield from families.values()
