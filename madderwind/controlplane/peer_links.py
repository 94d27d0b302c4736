"""Connections that this control plane opens to its peers; it sends messages to them on these only."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Callable

import aiohttp

from madderwind.controlplane.frames import FrameQueue
from madderwind.controlplane.sockets import connecting_socket
from madderwind.messages.codec import WEBSOCKET_LIMIT_BYTES
from madderwind.messages.peering import Hello, peer_frames

CONNECT_TIMEOUT_S = 0.3
CLOSE_TIMEOUT_S = 0.2
INITIAL_BACKOFF_S, MAX_BACKOFF_S = 0.05, 0.4
# A message that could not be sent within this time is obsolete: its sender sends a new one.
STALE_AFTER_S = 1.0
# A link on which nothing is sent for this long is closed.
IDLE_TIMEOUT_S = 15.0
MAX_QUEUED_BYTES = 24 * 1024 * 1024

ConnectedHandler = Callable[[str], None]


class PeerLink:
    """One peer's queue and connection, which is opened again whenever it ends."""

    def __init__(self, address: str, session: aiohttp.ClientSession, hello: bytes) -> None:
        self._address, self._session, self._hello = address, session, hello
        self._queue = FrameQueue(MAX_QUEUED_BYTES)
        self._backoff_s = INITIAL_BACKOFF_S
        self._is_connected = False
        self.last_queued_s = 0.0

    def send(self, now_s: float, frame: bytes) -> None:
        """Queue a frame; drops the oldest frame of a full queue, and stale frames without a connection."""
        self.last_queued_s = now_s
        if not self._is_connected:
            self._queue.drop_older_than(now_s - STALE_AFTER_S)
        if not self._queue.offer(now_s, frame):
            self._queue.drop_oldest()

    async def run(self, on_connected: ConnectedHandler) -> None:
        """Keep the connection open until cancelled."""
        while True:
            with contextlib.suppress(aiohttp.ClientError, OSError, TimeoutError):
                await self._connect_and_send(on_connected)
            await asyncio.sleep(self._backoff_s * random.uniform(0.5, 1.0))
            self._backoff_s = min(self._backoff_s * 2, MAX_BACKOFF_S)

    async def _connect_and_send(self, on_connected: ConnectedHandler) -> None:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            connection = await self._session.ws_connect(
                f"http://{self._address}/replica",
                compress=0,
                max_msg_size=WEBSOCKET_LIMIT_BYTES,
                timeout=aiohttp.ClientWSTimeout(ws_close=CLOSE_TIMEOUT_S),
            )
        try:
            self._backoff_s = INITIAL_BACKOFF_S
            await connection.send_bytes(self._hello)
            self._queue.drop_older_than(asyncio.get_running_loop().time() - STALE_AFTER_S)
            self._is_connected = True
            on_connected(self._address)
            await self._send_until_closed(connection)
        finally:
            self._is_connected = False
            await connection.close()

    async def _send_until_closed(self, connection: aiohttp.ClientWebSocketResponse) -> None:
        """Send queued frames until the connection closes; no messages are expected on it."""
        sending = asyncio.create_task(self._queue.send_all(connection.send_bytes))
        receiving = asyncio.create_task(_wait_until_closed(connection))
        try:
            await asyncio.wait((sending, receiving), return_when=asyncio.FIRST_COMPLETED)
        finally:
            sending.cancel()
            receiving.cancel()
            await asyncio.gather(sending, receiving, return_exceptions=True)


async def _wait_until_closed(connection: aiohttp.ClientWebSocketResponse) -> None:
    async for _ in connection:
        pass


class PeerLinks:
    """All links; a link is created when a frame is first sent to its address."""

    def __init__(self, own_address: str, on_connected: ConnectedHandler) -> None:
        self._hello = peer_frames.encode(Hello(own_address))
        self._on_connected = on_connected
        self._links: dict[str, PeerLink] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}
        connector = aiohttp.TCPConnector(limit=0, socket_factory=connecting_socket)
        self._session = aiohttp.ClientSession(connector=connector)

    def send(self, address: str, frame: bytes) -> None:
        """Queue a frame for the control plane at this address."""
        link = self._links.get(address)
        if link is None:
            link = PeerLink(address, self._session, self._hello)
            self._links[address] = link
            self._tasks[address] = asyncio.create_task(link.run(self._on_connected))
        link.send(asyncio.get_running_loop().time(), frame)

    def drop_unused(self) -> None:
        """Close links on which nothing was sent recently."""
        idle_since_s = asyncio.get_running_loop().time() - IDLE_TIMEOUT_S
        for address in [peer for peer, link in self._links.items() if link.last_queued_s < idle_since_s]:
            del self._links[address]
            self._tasks.pop(address).cancel()

    async def close(self) -> None:
        """Close all connections."""
        tasks = list(self._tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._session.close()
