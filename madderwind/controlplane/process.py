"""The process of a control plane: settings, signals, servers and shutdown."""

from __future__ import annotations

import asyncio
import gc
import os
import random
import signal
import sys
from pathlib import Path
from typing import cast

from aiohttp import web

from madderwind.configuration.history import ConfigurationHistory
from madderwind.controlplane.core import ControlPlaneCore, CoreOptions
from madderwind.controlplane.host import ControlPlaneHost
from madderwind.controlplane.internal_server import InternalServer
from madderwind.controlplane.metrics import control_plane_samples
from madderwind.controlplane.public_server import PublicServer
from madderwind.controlplane.status_handler import add_status
from madderwind.errors import SettingsError, StorageError
from madderwind.log_events.control_plane import (
    CONTROL_PLANE_STARTED,
    CONTROL_PLANE_STOPPED,
    SETTINGS_RELOADED,
    SHUTDOWN_REQUESTED,
)
from madderwind.metrics.exporter import start_exporter
from madderwind.node_settings import CONTROL_PLANE_PORT, SETTINGS_VARIABLE, NodeSettings, read_settings
from madderwind.registry.checkpoint import RegistryCheckpoint
from madderwind.replication.actions import Action
from madderwind.replication.events import Event
from madderwind.replication.replica import Replica, ReplicaOptions
from madderwind.replication.status import ReplicaStatus
from madderwind.replication.store import StateFactory
from madderwind.replication.times import ReplicationTimes
from madderwind.settings_watch import SettingsWatch
from madderwind.storage.disk import FileDisk
from madderwind.storage.record_file import RecordFile, RecoveredFile
from madderwind.structured_log import BatchedOutput, Log, open_log, write_line

# Part of the grace period that is reserved for closing connections and for starting the last write.
SHUTDOWN_RESERVE_S = 1.5
SHUTDOWN_CHECK_S = 0.05
CLOSE_TIMEOUT_S = 0.3
BACKLOG = 1024


class ConfigurationReplica:
    """The replica whose state is the operator's configuration."""

    def __init__(self, replica: Replica) -> None:
        self._replica = replica

    @property
    def committed(self) -> ConfigurationHistory:
        """The committed configuration."""
        return cast(ConfigurationHistory, self._replica.committed)

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        """Handle an event; returns the actions to carry out in order."""
        return self._replica.handle(now_ms, event)

    def status(self, now_ms: float) -> ReplicaStatus:
        """The replica's current status."""
        return self._replica.status(now_ms)


class ControlPlaneProcess:
    """Runs one control plane from startup to shutdown."""

    def __init__(self, settings: NodeSettings, record_file: RecordFile, recovered: RecoveredFile) -> None:
        self._settings = settings
        self._record_file, self._recovered = record_file, recovered
        self._output = BatchedOutput()
        self._log: Log = open_log(settings.node, self._output)
        self._shutdown_requested = asyncio.Event()
        self._runners: list[web.AppRunner] = []

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then transfer leadership and shut down."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.request_shutdown)
        loop.add_signal_handler(signal.SIGINT, self.request_shutdown)
        host = self._create_host()
        watch = self._create_settings_watch(host)
        loop.add_signal_handler(signal.SIGHUP, watch.read_again)
        public_server = PublicServer(host, self._log)
        internal = InternalServer(host, self._log).application()
        add_status(internal, host, self._settings.node, self._settings.zone)
        await self._serve(internal, self._settings.internal_bind_address(CONTROL_PLANE_PORT))
        await self._serve(public_server.application(), self._settings.listen["control"])
        host.start()
        node, zone = self._settings.node, self._settings.zone
        exporter = await start_exporter(
            self._settings.listen, lambda: control_plane_samples(host.status(node, zone))
        )
        watch_task = asyncio.create_task(watch.run())
        write_line(self._log, CONTROL_PLANE_STARTED.line(address=self._own_address()))
        gc.collect()
        gc.freeze()
        await self._shutdown_requested.wait()
        watch_task.cancel()
        public_server.reject_new_calls()
        await self._transfer_leadership(host)
        if exporter is not None:
            await exporter.close()
        await self._close(host)

    def request_shutdown(self) -> None:
        """Request a shutdown with a transfer of leadership, as SIGTERM does."""
        self._shutdown_requested.set()

    def _own_address(self) -> str:
        return self._settings.internal_address(CONTROL_PLANE_PORT)

    def _create_host(self) -> ControlPlaneHost:
        settings = self._settings
        rng = random.Random()
        replica = Replica(
            ReplicaOptions(
                address=self._own_address(),
                control_address=settings.listen["control"],
                zone=settings.zone,
                seeds=settings.seed_addresses(),
                bootstrap=settings.bootstrap,
                tolerance=settings.fault_tolerance.machines,
                times=ReplicationTimes.from_bounds(settings.bounds.ack_ms),
            ),
            self._recovered,
            StateFactory(ConfigurationHistory, ConfigurationHistory.restore),
            rng,
            asyncio.get_running_loop().time() * 1000.0,
        )
        core = ControlPlaneCore(
            ConfigurationReplica(replica),
            CoreOptions(
                self._own_address(),
                settings.seed_addresses(),
                settings.heartbeat_ms,
                settings.fault_tolerance.machines,
            ),
            rng,
        )
        checkpoint = RegistryCheckpoint(FileDisk(settings.data_dir or ""))
        return ControlPlaneHost(core, self._record_file, checkpoint, self._own_address(), self._log)

    async def _serve(self, application: web.Application, address: str) -> None:
        runner = web.AppRunner(
            application, access_log=None, handle_signals=False, shutdown_timeout=CLOSE_TIMEOUT_S
        )
        await runner.setup()
        self._runners.append(runner)
        ip, _, port = address.rpartition(":")
        await web.TCPSite(runner, ip, int(port), backlog=BACKLOG, reuse_address=True).start()

    def _create_settings_watch(self, host: ControlPlaneHost) -> SettingsWatch:
        def apply(settings: NodeSettings) -> None:
            if settings == self._settings:
                return
            self._settings = settings
            host.set_seeds(settings.seed_addresses())
            write_line(self._log, SETTINGS_RELOADED.line(seeds=settings.seeds))

        def log(event: str, /, **fields: object) -> None:
            self._log.warning(event, **fields)

        return SettingsWatch(Path(os.environ.get(SETTINGS_VARIABLE, "")), apply, log)

    async def _transfer_leadership(self, host: ControlPlaneHost) -> None:
        """Transfer leadership if this replica is the primary, and answer the calls in progress.

        While the in-sync set needs this replica, the process waits for as long as the grace period allows.
        """
        write_line(self._log, SHUTDOWN_REQUESTED.line())
        host.request_shutdown()
        grace_s = self._settings.bounds.grace_s - SHUTDOWN_RESERVE_S
        deadline_s = asyncio.get_running_loop().time() + max(grace_s, 0.0)
        while not host.can_stop and asyncio.get_running_loop().time() < deadline_s:  # noqa: ASYNC110 - the core updates it at its ticks
            await asyncio.sleep(SHUTDOWN_CHECK_S)
        await asyncio.sleep(SHUTDOWN_CHECK_S)  # time to send the last messages

    async def _close(self, host: ControlPlaneHost) -> None:
        await host.stop()
        for runner in self._runners:
            await runner.cleanup()
        write_line(self._log, CONTROL_PLANE_STOPPED.line())
        self._output.flush()


async def _run(settings: NodeSettings, record_file: RecordFile, recovered: RecoveredFile) -> None:
    await ControlPlaneProcess(settings, record_file, recovered).run()


def _control_plane_settings() -> NodeSettings:
    """Read the settings file; raises SettingsError if it does not describe a control plane."""
    settings = read_settings()
    if "control" not in settings.listen or not settings.data_dir:
        raise SettingsError("listen.control, data_dir", "a control plane needs both")
    return settings


def main() -> None:
    """Run the control plane of the settings file; exits with 1 if the file or the storage is unusable."""
    try:
        settings = _control_plane_settings()
        record_file = RecordFile(FileDisk(settings.data_dir or ""))
        recovered = record_file.recover()
    except (SettingsError, StorageError) as error:
        print(f"control plane: {error}", file=sys.stderr)
        sys.exit(1)
    asyncio.run(_run(settings, record_file, recovered))
    # Exit without joining threads: one that is blocked by a faulty disk would delay the exit.
    os._exit(0)
