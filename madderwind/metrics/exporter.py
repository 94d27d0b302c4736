"""GET /metrics for Prometheus, by its client library, which is imported only where this is used."""

from __future__ import annotations

from collections.abc import Iterator
from typing import TYPE_CHECKING

from aiohttp import web

from madderwind.errors import SettingsError
from madderwind.metrics.samples import Collect, SampleKind

if TYPE_CHECKING:
    from prometheus_client.core import Metric

METRICS, METRICS_PATH = "metrics", "/metrics"
PREFIX = "madderwind_"


class MetricsExporter:
    """Serves the samples of one process at one address."""

    def __init__(self, collect: Collect) -> None:
        from prometheus_client import CollectorRegistry

        self._collect = collect
        self._registry = CollectorRegistry()
        self._registry.register(_Collector(collect))

    async def start(self, address: str) -> str:
        """Listen; the address, with the port that was chosen for 0. SettingsError where it is none."""
        ip, _, port = address.rpartition(":")
        if not ip or not port.isdigit():
            raise SettingsError(f"listen.{METRICS}", f"{address!r} is no ip:port")
        application = web.Application()
        application.router.add_get(METRICS_PATH, self._answer)
        self._runner = web.AppRunner(application, access_log=None, handle_signals=False, shutdown_timeout=0.1)
        await self._runner.setup()
        await web.TCPSite(self._runner, ip, int(port), reuse_address=True).start()
        return f"{ip}:{self._runner.addresses[0][1]}"

    async def close(self) -> None:
        """Listen no more."""
        await self._runner.cleanup()

    async def _answer(self, _: web.Request) -> web.Response:
        from prometheus_client import CONTENT_TYPE_LATEST, generate_latest

        body = generate_latest(self._registry)
        return web.Response(body=body, headers={"Content-Type": CONTENT_TYPE_LATEST})


async def start_exporter(listen: dict[str, str], collect: Collect) -> MetricsExporter | None:
    """An exporter where the settings' `listen` names an address for metrics; else none."""
    address = listen.get(METRICS)
    if address is None:
        return None
    exporter = MetricsExporter(collect)
    await exporter.start(address)
    return exporter


class _Collector:
    """What the client library asks for all values."""

    def __init__(self, collect: Collect) -> None:
        self._collect = collect

    def collect(self) -> Iterator[Metric]:
        """One family for each name, in the order in which the names come."""
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
