"""`python -m madderwind.testing.engine_emulator.upstream_process SETTINGS`: a stand-in upstream's process."""

from __future__ import annotations

import asyncio
import random
import secrets
import signal
import sys
import time
from pathlib import Path

import aiohttp
import msgspec

from madderwind.testing.engine_emulator.records import RecordWriter, Started
from madderwind.testing.engine_emulator.server import UpstreamServer
from madderwind.testing.engine_emulator.upstream_settings import UpstreamSettings, read_upstream_settings

MS_PER_S = 1000.0
# A call that is not acknowledged within this goes to the next control plane.
CALL_TIMEOUT_S = 1.0
# Without an acknowledgement of its drain, an upstream ends after so long all the same.
UNACKNOWLEDGED_END_S = 3.0
# Beyond `drain_ms`, it goes on for what is still open, at most so long.
LONGEST_AFTER_DRAIN_S = 5.0
LOOK_S = 0.05


class Registration:
    """Heartbeats to the control planes: to one that answered, else to the next."""

    def __init__(self, settings: UpstreamSettings, server: UpstreamServer, rng: random.Random) -> None:
        self._settings, self._server = settings, server
        self._control = list(settings.control)
        rng.shuffle(self._control)
        self._told = ""  # an address that an acknowledgement named for later heartbeats
        self._sequence = 0
        self._session = aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=CALL_TIMEOUT_S))

    async def run(self) -> None:
        """Tell the control planes that this upstream is ready, until cancelled."""
        interval_s = self._settings.heartbeat_ms / MS_PER_S
        while True:
            acknowledged = await self._call_anyone("heartbeat", self._body("ready"))
            await asyncio.sleep(interval_s if acknowledged else interval_s / 4)

    async def tell(self, state: str) -> bool:
        """Tell a state; whether it was acknowledged."""
        return await self._call_anyone("heartbeat", self._body(state))

    async def deregister(self) -> bool:
        """Tell the end."""
        return await self._call_anyone("deregister", b"")

    async def close(self) -> None:
        """Let go of connections."""
        await self._session.close()

    def _body(self, state: str) -> bytes:
        settings, server = self._settings, self._server
        self._sequence += 1
        told = {
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
        return msgspec.json.encode(told)

    async def _call_anyone(self, call: str, body: bytes) -> bool:
        for address in [self._told] if self._told else []:
            if await self._call(address, call, body):
                return True
            self._told = ""
        for _ in range(len(self._control)):
            if await self._call(self._control[0], call, body):
                return True
            self._control.append(self._control.pop(0))
        return False

    async def _call(self, address: str, call: str, body: bytes) -> bool:
        url = f"http://{address}/instances/{self._server.instance}/{call}"
        headers = {"Content-Type": "application/json"}
        try:
            async with self._session.post(url, data=body, headers=headers) as answer:
                content = await answer.read()
                if answer.status // 100 != 2:
                    return False
        except (aiohttp.ClientError, OSError, TimeoutError):
            return False
        if call == "heartbeat":
            self._told = _heartbeat_address(content)
        return True


class _Acknowledgement(msgspec.Struct):
    heartbeat_url: str = ""


def _heartbeat_address(content: bytes) -> str:
    try:
        told = msgspec.json.decode(content, type=_Acknowledgement).heartbeat_url
    except msgspec.MsgspecError:
        return ""
    return told.removeprefix("http://").partition("/")[0]


async def run(settings: UpstreamSettings) -> None:
    """Serve until SIGTERM; then drain, deregister and end."""
    loop = asyncio.get_running_loop()
    asked_to_end = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, asked_to_end.set)
    rng = random.Random(secrets.randbits(64))
    note = RecordWriter(Path(settings.records))
    server = UpstreamServer(settings, note, rng)
    await server.start()
    note(Started(time.monotonic() * MS_PER_S, server.instance, settings.service))
    registration = Registration(settings, server, rng)
    beating = loop.create_task(registration.run())
    await asked_to_end.wait()
    beating.cancel()
    await asyncio.gather(beating, return_exceptions=True)
    await _drain(settings, server, registration)
    await registration.close()
    await server.stop()
    note.close()


async def _drain(settings: UpstreamSettings, server: UpstreamServer, registration: Registration) -> None:
    loop = asyncio.get_running_loop()
    give_up_s = loop.time() + UNACKNOWLEDGED_END_S
    while not await registration.tell("draining"):
        if loop.time() > give_up_s:
            return
        await asyncio.sleep(LOOK_S)
    server.is_leaving = True
    await asyncio.sleep(settings.drain_ms / MS_PER_S)
    until_s = loop.time() + LONGEST_AFTER_DRAIN_S
    while server.requests_open and loop.time() < until_s:
        await asyncio.sleep(LOOK_S)
    await registration.deregister()


def main() -> None:
    """Run the upstream that the named settings file describes."""
    asyncio.run(run(read_upstream_settings(Path(sys.argv[1]))))


if __name__ == "__main__":
    main()
