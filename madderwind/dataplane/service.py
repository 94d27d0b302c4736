"""The data plane's process: what belongs together, its start, its signals and its end."""

from __future__ import annotations

import asyncio
import random
import secrets
import signal
from collections import Counter
from enum import Enum
from pathlib import Path

from madderwind.balancing.retry_quota import RetryQuota
from madderwind.dataplane.admission import Admission
from madderwind.dataplane.choosing import UpstreamChooser
from madderwind.dataplane.forwarding import Forwarder, Shared
from madderwind.dataplane.readiness import ReadyListener
from madderwind.dataplane.retrying import Retries
from madderwind.dataplane.subscriber_links import SubscriberLinks
from madderwind.dataplane.upstream_pool import UpstreamPool
from madderwind.distribution.subscriber import (
    Deliver,
    Identity,
    Leaving,
    PutInForce,
    SeedsChanged,
    Subscriber,
)
from madderwind.errors import SettingsError
from madderwind.eventlog import EventLog, Sparing
from madderwind.limits.budget import FleetRetryBudget
from madderwind.limits.quota import TenantQuota
from madderwind.messages.distribution import (
    Freshness,
    LoadOfOthers,
    LoadReport,
    RegistryDelta,
    RegistrySnapshot,
    SendReport,
    SendsOfOthers,
    UsageOfOthers,
    UsageReport,
)
from madderwind.node_settings import DATA_PLANE_PORT, NodeSettings, read_settings
from madderwind.placement.placement import Placement
from madderwind.registry.upstreams import KnownUpstreams
from madderwind.transport.listening import CallerTimes, Listener

MS_PER_S = 1000.0
FRONT, READY = "front", "ready"
# Descriptors that are neither callers' nor upstreams' connections: files, control planes, the ready address.
OWN_DESCRIPTORS = 264
LONGEST_LINE = 64 * 1024
# A client may take up a connection a little after its idle time.
IDLE_SLACK_S = 1.0
# How often usage and load are reported, and how often it is looked whether the settings file has changed.
REPORT_S, WATCH_S = 0.25, 1.0
# How often the other data planes are told of own sends and of what is at upstreams.
LOAD_REPORT_S = 0.075
COUNTERS_S = 10.0
# The platform asks every second and needs two misses, so new connections still come for a while.
STILL_ACCEPTING_S = 2.5
# What is kept of `grace_s` for the process's own end.
END_RESERVE_S = 0.7
END_LOOK_S = 0.02
# Links to control planes beyond those that may be lost at once.
SPARE_LINKS = 2


class Phase(Enum):
    """The states of the process, in order."""

    SERVING = "serving"
    DRAINING = "draining"  # not ready; requests that come are still served
    FINISHING = "finishing"  # takes no new connections


class DataPlane:
    """One process."""

    def __init__(
        self,
        settings: NodeSettings,
        log: EventLog,
        rng: random.Random,
        still_accepting_s: float = STILL_ACCEPTING_S,
    ) -> None:
        """Needs a running loop. `still_accepting_s`: how long connections are taken once the end began."""
        self._still_accepting_s = still_accepting_s
        self._settings, self._log, self._rng = settings, log, rng
        self._loop = asyncio.get_running_loop()
        self._phase = Phase.SERVING
        self._ended = asyncio.Event()
        now_ms = self._now_ms()
        bounds = settings.bounds
        self.upstreams = KnownUpstreams(settings.heartbeat_ms)
        self.placement = Placement(rng, settings.zone)
        connections = max(16, settings.limits.max_fds - OWN_DESCRIPTORS) // 2
        self.pool = UpstreamPool(connections)
        self.chooser = UpstreamChooser(rng, self.upstreams, self.placement, self._has_room)
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
        wanted = settings.fault_tolerance.machines + SPARE_LINKS
        self.subscriber = Subscriber(now_ms, identity, settings.seed_addresses(), wanted, rng)
        self.links = SubscriberLinks(self.subscriber, log, self._put_in_force, self._deliver)
        self.admission = Admission(self.quota, lambda: self.subscriber.is_current(self._now_ms()), rng)
        retries = Retries(RetryQuota(rng, refund_on_success=False), self.budget)
        self.counters: Counter[str] = Counter()
        shared = Shared(
            admission=self.admission,
            upstreams=self.upstreams,
            chooser=self.chooser,
            pool=self.pool,
            retries=retries,
            budget=self.budget,
            log=Sparing(log, self._now_ms),
            counters=self.counters,
        )
        self._listener = Listener(
            Forwarder(shared).serve, connections, log, self.pool.held, longest_line=LONGEST_LINE
        )
        self._ready_listener = ReadyListener(lambda: self.is_ready)
        self._usage_sequence = 0
        self._was_in_touch = False
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def is_ready(self) -> bool:
        """Whether the platform should send new connections here."""
        return self._phase is Phase.SERVING and self.subscriber.is_ready

    async def start(self) -> tuple[int, int]:
        """Listen; the ports of `front` and `ready`."""
        front_host, front_port = _host_and_port(self._settings, FRONT)
        ready_host, ready_port = _host_and_port(self._settings, READY)
        front_port = await self._listener.start(front_host, front_port)
        ready_port = await self._ready_listener.start(ready_host, ready_port)
        self.links.start()
        self._tasks = [
            self._loop.create_task(self._report_usage()),
            self._loop.create_task(self._report_load()),
            self._loop.create_task(self._log_counters()),
        ]
        self._log("started", front=front_port, ready=ready_port)
        return front_port, ready_port

    def take_settings(self, settings: NodeSettings) -> None:
        """The settings file changed: other seeds, from now on."""
        if settings.seed_addresses() != self._settings.seed_addresses():
            self.links.handle(SeedsChanged(settings.seed_addresses()))
            self._log("seeds_changed", seeds=list(settings.seeds))
        self._settings = settings

    async def drain(self) -> None:
        """The planned end: not ready at once, no request lost, over before the platform's grace is."""
        if self._phase is not Phase.SERVING:
            return
        began_s = self._loop.time()
        self._change_phase(Phase.DRAINING)
        self._listener.begin_ending()
        await asyncio.sleep(self._still_accepting_s)
        self._change_phase(Phase.FINISHING)
        until_s = began_s + self._settings.bounds.grace_s - END_RESERVE_S
        left_open = await self._listener.finish(until_s - self._loop.time())
        self._log("ended", left_open=left_open, **_plain(self.counters))
        await self.close()

    async def close(self) -> None:
        """Let go of everything, at once."""
        for task in self._tasks:
            task.cancel()
        self.links.handle(Leaving())
        await asyncio.sleep(END_LOOK_S)
        await self.links.close()
        await self.pool.close()
        await self._ready_listener.close()
        self._ended.set()

    async def wait_until_ended(self) -> None:
        """Return once the process may end."""
        await self._ended.wait()

    # --- what comes from control planes ---

    def _put_in_force(self, action: PutInForce) -> None:
        configuration = action.document.configuration
        self.admission.configure(configuration)
        self.chooser.configure(configuration)
        now_ms = self._now_ms()
        self.quota.configure(now_ms, configuration.tenants)
        self._share_limits(now_ms)
        limits = configuration.limits
        self._listener.tune(
            CallerTimes(
                idle_s=limits.idle_timeout_ms / MS_PER_S + IDLE_SLACK_S,
                silent_s=limits.header_timeout_ms / MS_PER_S,
            )
        )
        self._log("configuration_in_force", version=configuration.version, routes=len(configuration.routes))

    def _deliver(self, action: Deliver) -> None:
        now_ms = self._now_ms()
        match action.message:
            case RegistrySnapshot(upstreams) | RegistryDelta(upstreams):
                changed = self.upstreams.merge(now_ms, upstreams)
                self.chooser.changed(changed)
                for instance in changed:
                    if not self.upstreams.takes_new(instance):
                        self.pool.forget(instance)
            case UsageOfOthers(used, asked):
                self.quota.others(now_ms, used, asked)
            case LoadOfOthers(load):
                self.placement.others(load)
            case SendsOfOthers(prompts):
                self.placement.heard(now_ms, prompts)
            case Freshness():
                pass
            case _:
                pass

    def _share_limits(self, now_ms: float) -> bool:
        """Tell all limits how many share them; whether the primary hears of what is used here."""
        fleet, in_touch = self.subscriber.data_planes, self.subscriber.is_in_touch(now_ms)
        if in_touch != self._was_in_touch:
            self._was_in_touch = in_touch
            self._log("in_touch_with_primary" if in_touch else "out_of_touch_with_primary")
        self.quota.set_fleet(now_ms, fleet, in_touch)
        self.budget.set_fleet(fleet)
        self.placement.set_fleet(fleet)
        return in_touch

    async def _report_usage(self) -> None:
        """Tell the primary what was admitted."""
        while True:
            await asyncio.sleep(REPORT_S)
            now_ms = self._now_ms()
            if not self._share_limits(now_ms):
                continue
            usage = self.quota.drain_usage(now_ms)
            if usage.used or usage.asked:
                self._usage_sequence += 1
                report = UsageReport(self._usage_sequence, dict(usage.used), dict(usage.asked))
                self.links.send(self.subscriber.primary, report)

    async def _report_load(self) -> None:
        """Tell the primary what was sent to upstreams, and what is there where that changed."""
        told, told_to = LoadReport({}), ""
        while True:
            await asyncio.sleep(LOAD_REPORT_S)
            prompts, load = self.placement.take_sent(), LoadReport(self.placement.load())
            primary = self.subscriber.primary
            if not self.subscriber.is_in_touch(self._now_ms()):
                told_to = ""
                continue
            if prompts:
                self.links.send(primary, SendReport(prompts))
            if load != told or primary != told_to:
                self.links.send(primary, load)
                told, told_to = load, primary

    async def _log_counters(self) -> None:
        while True:
            await asyncio.sleep(COUNTERS_S)
            if self.counters:
                self._log("counters", **_plain(self.counters))

    def _has_room(self, instance: str, service: str) -> bool:
        """Whether the upstream's limit on connections leaves this data plane another one."""
        most = self.admission.max_connections(service)
        return most is None or self.pool.in_use(instance) < max(1, most // self.subscriber.data_planes)

    def _change_phase(self, phase: Phase) -> None:
        """The one place where the process's phase changes."""
        self._phase = phase
        self._log("phase", phase=phase.value)

    def _now_ms(self) -> float:
        return self._loop.time() * MS_PER_S


async def serve(settings: NodeSettings, path: Path, log: EventLog) -> None:
    """Run a data plane until SIGTERM or SIGINT has ended it."""
    loop = asyncio.get_running_loop()
    plane = DataPlane(settings, log, random.Random(secrets.randbits(64)))
    await plane.start()
    ending: list[asyncio.Task[None]] = []

    def end() -> None:
        ending.append(loop.create_task(plane.drain()))

    watch = SettingsWatch(plane, path, log)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, end)
    loop.add_signal_handler(signal.SIGHUP, watch.read_again)
    watching = loop.create_task(watch.run())
    await plane.wait_until_ended()
    watching.cancel()


class SettingsWatch:
    """Reads the settings file again when it is told to, or when the file has changed."""

    def __init__(self, plane: DataPlane, path: Path, log: EventLog) -> None:
        self._plane, self._path, self._log = plane, path, log
        self._seen = self._mark()

    async def run(self) -> None:
        """Look at the file from time to time."""
        while True:
            await asyncio.sleep(WATCH_S)
            if (mark := self._mark()) != self._seen:
                self._seen = mark
                self.read_again()

    def read_again(self) -> None:
        """Take what the file says now; one that can't be read changes nothing."""
        try:
            self._plane.take_settings(read_settings(str(self._path)))
        except SettingsError as error:
            self._log("settings_unusable", error=str(error))

    def _mark(self) -> tuple[int, int]:
        try:
            known = self._path.stat()
        except OSError:
            return 0, 0
        return known.st_mtime_ns, known.st_size


def _host_and_port(settings: NodeSettings, name: str) -> tuple[str, int]:
    address = settings.listen.get(name)
    if address is None:
        raise SettingsError(f"listen.{name}", "is missing")
    host, _, port = address.rpartition(":")
    try:
        return host, int(port)
    except ValueError:
        raise SettingsError(f"listen.{name}", f"{address!r} is no ip:port") from None


def _plain(counters: Counter[str]) -> dict[str, int]:
    return {name.replace(" ", "_"): count for name, count in counters.items()}
