"""The data plane process: wires its components and handles startup, signals and shutdown."""

from __future__ import annotations

import asyncio
import random
import secrets
import signal
from collections import Counter
from enum import Enum
from pathlib import Path

from madderwind.balancing.retry_quota import RetryQuota
from madderwind.configuration.reading import Document
from madderwind.dataplane.admission import Admission
from madderwind.dataplane.attempt_log import AttemptLog
from madderwind.dataplane.body_memory import body_memory_bytes
from madderwind.dataplane.choosing import UpstreamChooser
from madderwind.dataplane.forwarder import Forwarder
from madderwind.dataplane.metrics import DataPlaneFigures, data_plane_samples
from madderwind.dataplane.readiness import ReadyListener
from madderwind.dataplane.reports import Reports
from madderwind.dataplane.request_parts import RequestParts
from madderwind.dataplane.retrying import Retries
from madderwind.dataplane.shutdown_deadline import ShutdownDeadline
from madderwind.dataplane.subscriber_links import SubscriberLinks
from madderwind.dataplane.upstream_pool import UpstreamPool
from madderwind.distribution.subscriber import Subscriber
from madderwind.distribution.subscriber_events import (
    ApplyConfiguration,
    Deliver,
    Identity,
    SeedsChanged,
    ShutdownRequested,
)
from madderwind.errors import SettingsError
from madderwind.eventlog import EventLog, Sparing
from madderwind.limits.budget import FleetRetryBudget
from madderwind.limits.quota import TenantQuota
from madderwind.messages.distribution import (
    Freshness,
    PeerDispatches,
    PeerLoad,
    PeerUsage,
    RegistryDelta,
    RegistrySnapshot,
)
from madderwind.metrics.exporter import start_exporter
from madderwind.node_settings import DATA_PLANE_PORT, NodeSettings
from madderwind.placement.placement import Placement
from madderwind.registry.known_upstreams import KnownUpstreams
from madderwind.settings_watch import SettingsWatch
from madderwind.transport.budget import Budget
from madderwind.transport.listening import CallerTimes, Listener

MS_PER_S = 1000.0
FRONT, READY = "front", "ready"
# File descriptors for all but client and upstream connections: files, control planes, the ready endpoint.
RESERVED_DESCRIPTORS = 264
MAX_LINE_BYTES = 64 * 1024
# A client may reuse a connection slightly after its idle timeout.
IDLE_SLACK_S = 1.0
COUNTERS_S = 10.0
# The platform probes readiness every second and needs two failures, so new connections arrive until then.
STILL_ACCEPTING_S = 2.5
# The part of `grace_s` reserved for the shutdown of the process itself.
SHUTDOWN_RESERVE_S = 0.7
# The part of the remaining time in which the last answers reach their clients.
LAST_ANSWERS_S = 0.3
# Upper bounds for these as shares of `grace_s`, so that a short one is mostly left to running requests.
STILL_ACCEPTING_SHARE, SHUTDOWN_RESERVE_SHARE, LAST_ANSWERS_SHARE = 1 / 3, 0.1, 0.1
# Time for the last messages to the control planes to be sent.
SHUTDOWN_FLUSH_S = 0.02
# Links to control planes in addition to the number of machines that may fail at once.
SPARE_LINKS = 2


class Phase(Enum):
    """The phases of the process, in order."""

    SERVING = "serving"
    DRAINING = "draining"  # not ready; new connections and requests are still served
    FINISHING = "finishing"  # accepts no new connections


class DataPlane:
    """The data plane of one process."""

    def __init__(
        self,
        settings: NodeSettings,
        log: EventLog,
        rng: random.Random,
        still_accepting_s: float = STILL_ACCEPTING_S,
        debug_log: EventLog | None = None,
    ) -> None:
        """Build all components; needs a running loop.

        Args:
            settings: The process's settings.
            log: Receives log events.
            rng: Source of randomness.
            still_accepting_s: How long new connections are accepted after shutdown has begun.
            debug_log: Receives each attempt; None in production.
        """
        self._still_accepting_s = still_accepting_s
        self._settings, self._log, self._rng = settings, log, rng
        self._loop = asyncio.get_running_loop()
        self._phase = Phase.SERVING
        self._ended = asyncio.Event()
        now_ms = self._now_ms()
        bounds = settings.bounds
        self.upstreams = KnownUpstreams(settings.heartbeat_ms)
        self.placement = Placement(rng, settings.zone)
        connections = max(16, settings.limits.max_fds - RESERVED_DESCRIPTORS) // 2
        self.pool = UpstreamPool(connections)
        self.chooser = UpstreamChooser(
            rng, self.upstreams, self.placement, settings.zone, self._has_capacity, self.pool.keeps
        )
        self.quota = TenantQuota(bounds, rng, is_founding=settings.bootstrap)
        self.budget = FleetRetryBudget(
            bounds.retry_budget_ratio, bounds.retry_slack, bounds.budget_window_s * MS_PER_S
        )
        identity = Identity(
            settings.node,
            secrets.token_hex(8),
            settings.internal_address(DATA_PLANE_PORT),
            settings.zone,
        )
        link_count = settings.fault_tolerance.machines + SPARE_LINKS
        self.subscriber = Subscriber(now_ms, identity, settings.seed_addresses(), link_count, rng)
        self.links = SubscriberLinks(self.subscriber, log, self._apply_configuration, self._handle_message)
        self.reports = Reports(self.subscriber, self.links, self.quota, self.budget, self.placement, log)
        self.admission = Admission(self.quota, lambda: self.subscriber.is_current(self._now_ms()), rng)
        retries = Retries(RetryQuota(rng, refund_on_success=False), self.budget)
        self._shutdown = ShutdownDeadline()
        self.counters: Counter[str] = Counter()
        parts = RequestParts(
            admission=self.admission,
            upstreams=self.upstreams,
            chooser=self.chooser,
            pool=self.pool,
            retries=retries,
            budget=self.budget,
            log=Sparing(log, self._now_ms),
            attempt_log=AttemptLog(debug_log),
            shutdown=self._shutdown,
            body_memory=Budget(body_memory_bytes(settings.limits.memory_mb)),
            counters=self.counters,
        )
        self._listener = Listener(
            Forwarder(parts).serve, connections, log, self.pool.open_connections, longest_line=MAX_LINE_BYTES
        )
        self._ready_listener = ReadyListener(lambda: self.is_ready)
        self._document: Document | None = None
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def is_ready(self) -> bool:
        """Whether the platform should send new connections here."""
        return self._phase is Phase.SERVING and self.subscriber.is_ready

    def figures(self) -> DataPlaneFigures:
        """The current state of this data plane, for its metrics."""
        return DataPlaneFigures(
            is_ready=self.is_ready,
            configuration_version=self.subscriber.version,
            control_planes=len(self.subscriber.open_links),
            data_planes=self.subscriber.data_planes,
            upstreams=tuple(self.upstreams.all()),
            upstream_connections=self.pool.open_connections(),
            events=self.counters,
        )

    async def start(self) -> tuple[int, int]:
        """Start listening; the ports of `front` and `ready`."""
        front_host, front_port = _host_and_port(self._settings, FRONT)
        ready_host, ready_port = _host_and_port(self._settings, READY)
        front_port = await self._listener.start(front_host, front_port)
        ready_port = await self._ready_listener.start(ready_host, ready_port)
        self.links.start()
        self._tasks = [
            self._loop.create_task(self.reports.report_usage()),
            self._loop.create_task(self.reports.report_load()),
            self._loop.create_task(self._log_counters()),
        ]
        self._log("started", front=front_port, ready=ready_port)
        return front_port, ready_port

    def apply_settings(self, settings: NodeSettings) -> None:
        """Apply a changed settings file; changed seeds take effect at once."""
        if settings.seed_addresses() != self._settings.seed_addresses():
            self.links.handle(SeedsChanged(settings.seed_addresses()))
            self._log("seeds_changed", seeds=list(settings.seeds))
        self._settings = settings

    async def drain(self) -> None:
        """Shut down gracefully: not ready at once, no request lost, within the platform's grace period."""
        if self._phase is not Phase.SERVING:
            return
        began_s, grace_s = self._loop.time(), self._settings.bounds.grace_s
        until_s = began_s + grace_s - min(SHUTDOWN_RESERVE_S, SHUTDOWN_RESERVE_SHARE * grace_s)
        self._change_phase(Phase.DRAINING)
        self._shutdown.begin(until_s - min(LAST_ANSWERS_S, LAST_ANSWERS_SHARE * grace_s))
        self._listener.begin_ending()
        await asyncio.sleep(min(self._still_accepting_s, STILL_ACCEPTING_SHARE * grace_s))
        self._change_phase(Phase.FINISHING)
        left_open = await self._listener.finish(until_s - self._loop.time())
        self._log("ended", left_open=left_open, **_log_fields(self.counters))
        await self.close()

    async def close(self) -> None:
        """Close all connections and stop all tasks immediately."""
        for task in self._tasks:
            task.cancel()
        self.links.handle(ShutdownRequested())
        await asyncio.sleep(SHUTDOWN_FLUSH_S)
        await self.links.close()
        await self.pool.close()
        await self._ready_listener.close()
        self._ended.set()

    async def wait_until_ended(self) -> None:
        """Return once the process may exit."""
        await self._ended.wait()

    def _apply_configuration(self, action: ApplyConfiguration) -> None:
        previous, document = self._document, action.document
        self._document = document
        now_ms = self._now_ms()
        self.admission.configure(document)
        if previous is None or document.services is not previous.services:
            self.chooser.configure(document.services)
        if previous is None or document.tenants is not previous.tenants:
            self.quota.configure(now_ms, document.tenants)
        self.reports.share_limits(now_ms)
        limits = document.limits
        self._listener.tune(
            CallerTimes(
                idle_s=limits.idle_timeout_ms / MS_PER_S + IDLE_SLACK_S,
                first_request_timeout_s=limits.header_timeout_ms / MS_PER_S,
            )
        )
        self._log("configuration_in_force", version=document.version, routes=document.route_count)

    def _handle_message(self, action: Deliver) -> None:
        now_ms = self._now_ms()
        match action.message:
            case RegistrySnapshot(upstreams) | RegistryDelta(upstreams):
                changed = self.upstreams.merge(now_ms, upstreams)
                self.chooser.changed(now_ms, changed)
                for instance in changed:
                    if not self.upstreams.takes_new(instance):
                        self.pool.forget(instance)
            case PeerUsage(used, asked):
                self.quota.handle_peer_usage(now_ms, used, asked)
            case PeerLoad(load):
                self.placement.handle_peer_load(now_ms, load)
            case PeerDispatches(prompts):
                self.placement.handle_peer_dispatches(now_ms, prompts)
            case Freshness():
                pass
            case _:
                pass

    async def _log_counters(self) -> None:
        while True:
            await asyncio.sleep(COUNTERS_S)
            if self.counters:
                self._log("counters", **_log_fields(self.counters))

    def _has_capacity(self, instance: str, service: str) -> bool:
        """Whether this data plane's share of the upstream's connection limit allows another connection."""
        limit = self.admission.max_connections(service)
        return limit is None or self.pool.in_use(instance) < max(1, limit // self.subscriber.data_planes)

    def _change_phase(self, phase: Phase) -> None:
        """Change the phase of the process; no other code does."""
        self._phase = phase
        self._log("phase", phase=phase.value)

    def _now_ms(self) -> float:
        return self._loop.time() * MS_PER_S


async def serve(settings: NodeSettings, path: Path, log: EventLog, debug_log: EventLog | None = None) -> None:
    """Run a data plane until it has shut down after SIGTERM or SIGINT."""
    loop = asyncio.get_running_loop()
    plane = DataPlane(settings, log, random.Random(secrets.randbits(64)), debug_log=debug_log)
    await plane.start()
    shutdown_tasks: list[asyncio.Task[None]] = []

    def begin_shutdown() -> None:
        shutdown_tasks.append(loop.create_task(plane.drain()))

    watch = SettingsWatch(path, plane.apply_settings, log)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, begin_shutdown)
    loop.add_signal_handler(signal.SIGHUP, watch.read_again)
    watching = loop.create_task(watch.run())
    exporter = await start_exporter(settings.listen, lambda: data_plane_samples(plane.figures()))
    await plane.wait_until_ended()
    watching.cancel()
    if exporter is not None:
        await exporter.close()


def _host_and_port(settings: NodeSettings, name: str) -> tuple[str, int]:
    address = settings.listen.get(name)
    if address is None:
        raise SettingsError(f"listen.{name}", "is missing")
    host, _, port = address.rpartition(":")
    try:
        return host, int(port)
    except ValueError:
        raise SettingsError(f"listen.{name}", f"{address!r} is no ip:port") from None


def _log_fields(counters: Counter[str]) -> dict[str, int]:
    return {name.replace(" ", "_"): count for name, count in counters.items()}
