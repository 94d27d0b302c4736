"""`python -m madderwind.testing.engine_emulator.upstream_process SETTINGS`: runs an emulated upstream."""

from __future__ import annotations

import asyncio
import random
import secrets
import signal
import sys
import time
from pathlib import Path
from typing import Protocol

import aiohttp
import msgspec

from madderwind.testing.engine_emulator.records import RecordWriter, Started
from madderwind.testing.engine_emulator.server import UpstreamServer
from madderwind.testing.engine_emulator.upstream_settings import UpstreamSettings, read_upstream_settings

MS_PER_S = 1000.0
# A call that is not acknowledged within this time is sent to the next control plane.
CALL_TIMEOUT_S = 1.0
# An upstream whose drain is not acknowledged exits after this time.
UNACKNOWLEDGED_DRAIN_TIMEOUT_S = 3.0
# After `drain_ms`, it waits at most this long for open requests.
OPEN_REQUESTS_TIMEOUT_S = 5.0
POLL_INTERVAL_S = 0.05


class RegisteredUpstream(Protocol):
    """What the control planes are told about an upstream."""

    instance: str

    def cold_remaining_ms(self) -> float:
        """Remaining time of the slow phase after the start."""

    def models(self) -> list[dict[str, object]]:
        """The models that it serves, in the format of registrations."""


class Registration:
    """Sends heartbeats to a control plane, and switches to the next one when a call fails."""

    def __init__(self, settings: UpstreamSettings, server: RegisteredUpstream, rng: random.Random) -> None:
        self._settings, self._server = settings, server
        self._control_planes = list(settings.control)
        rng.shuffle(self._control_planes)
        self._heartbeat_target = ""  # address for later heartbeats, from an acknowledgement
        self._sequence = 0
        self._session = aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=CALL_TIMEOUT_S))

    async def run(self) -> None:
        """Send `ready` heartbeats until cancelled."""
        interval_s = self._settings.heartbeat_ms / MS_PER_S
        while True:
            acknowledged = await self._call_any_control_plane("heartbeat", self._body("ready"))
            await asyncio.sleep(interval_s if acknowledged else interval_s / 4)

    async def send_state(self, state: str) -> bool:
        """Send a heartbeat with this state; return whether it was acknowledged."""
        return await self._call_any_control_plane("heartbeat", self._body(state))

    async def deregister(self) -> bool:
        """Send the deregistration; return whether it was acknowledged."""
        return await self._call_any_control_plane("deregister", b"")

    async def close(self) -> None:
        """Close the connections."""
        await self._session.close()

    def _body(self, state: str) -> bytes:
        settings, server = self._settings, self._server
        self._sequence += 1
        fields = {
            "service": settings.service,
            "address": settings.address,
            "zone": settings.zone,
            "version": settings.software,
            "slots": settings.slots,
            "state": state,
            "cold_remaining_ms": round(server.cold_remaining_ms()),
            "stage": "dual",
            "models": server.models(),
            "sequence": self._sequence,
        }
        return msgspec.json.encode(fields)

    async def _call_any_control_plane(self, call: str, body: bytes) -> bool:
        for address in [self._heartbeat_target] if self._heartbeat_target else []:
            if await self._call(address, call, body):
                return True
            self._heartbeat_target = ""
        for _ in range(len(self._control_planes)):
            if await self._call(self._control_planes[0], call, body):
                return True
            self._control_planes.append(self._control_planes.pop(0))
        return False

    async def _call(self, address: str, call: str, body: bytes) -> bool:
        url = f"http://{address}/instances/{self._server.instance}/{call}"
        headers = {"Content-Type": "application/json"}
        try:
            async with self._session.post(url, data=body, headers=headers) as response:
                content = await response.read()
                if response.status // 100 != 2:
                    return False
        except (aiohttp.ClientError, OSError, TimeoutError):
            return False
        if call == "heartbeat":
            self._heartbeat_target = _heartbeat_address(content)
        return True


class _Acknowledgement(msgspec.Struct):
    heartbeat_url: str = ""


def _heartbeat_address(content: bytes) -> str:
    try:
        url = msgspec.json.decode(content, type=_Acknowledgement).heartbeat_url
    except msgspec.MsgspecError:
        return ""
    return url.removeprefix("http://").partition("/")[0]


async def run(settings: UpstreamSettings) -> None:
    """Serve until SIGTERM or SIGINT; then drain, deregister and stop."""
    loop = asyncio.get_running_loop()
    shutdown_requested = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, shutdown_requested.set)
    rng = random.Random(secrets.randbits(64))
    write_record = RecordWriter(Path(settings.records))
    server = UpstreamServer(settings, write_record, rng)
    await server.start()
    write_record(Started(time.monotonic() * MS_PER_S, server.instance, settings.service))
    registration = Registration(settings, server, rng)
    heartbeats = loop.create_task(registration.run())
    await shutdown_requested.wait()
    heartbeats.cancel()
    await asyncio.gather(heartbeats, return_exceptions=True)
    await _drain(settings, server, registration)
    await registration.close()
    await server.stop()
    write_record.close()


async def _drain(settings: UpstreamSettings, server: UpstreamServer, registration: Registration) -> None:
    loop = asyncio.get_running_loop()
    acknowledgement_deadline_s = loop.time() + UNACKNOWLEDGED_DRAIN_TIMEOUT_S
    while not await registration.send_state("draining"):
        if loop.time() > acknowledgement_deadline_s:
            return
        await asyncio.sleep(POLL_INTERVAL_S)
    server.is_draining = True
    await asyncio.sleep(settings.drain_ms / MS_PER_S)
    deadline_s = loop.time() + OPEN_REQUESTS_TIMEOUT_S
    while server.requests_open and loop.time() < deadline_s:
        await asyncio.sleep(POLL_INTERVAL_S)
    await registration.deregister()


def main() -> None:
    """Run the upstream described by the settings file."""
    asyncio.run(run(read_upstream_settings(Path(sys.argv[1]))))


if __name__ == "__main__":
    main()
