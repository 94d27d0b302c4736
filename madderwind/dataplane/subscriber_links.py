"""WebSocket connections to the control planes, driven by the subscriber's state machine."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable

import aiohttp

from madderwind.distribution.reading_ahead import (
    ConfigurationMessage,
    ReadAhead,
    document_after,
    is_long,
)
from madderwind.distribution.subscriber import Subscriber
from madderwind.distribution.subscriber_events import (
    Action,
    ApplyConfiguration,
    ConfigurationArrived,
    Connect,
    Deliver,
    Disconnect,
    Event,
    LinkClosed,
    LinkOpened,
    MessageReceived,
    Send,
    TimePassed,
)
from madderwind.errors import ConfigurationError, MessageError
from madderwind.eventlog import EventLog
from madderwind.log_events.event import LogLine
from madderwind.messages.codec import WEBSOCKET_LIMIT_BYTES
from madderwind.messages.distribution import ToControlPlane, to_control_plane, to_data_plane

SUBSCRIBE_PATH = "/subscribe"
CONNECT_TIMEOUT_S = 0.3
TICK_S = 0.05
MS_PER_S = 1000.0
# How long the peer may take to answer a close frame.
CLOSE_TIMEOUT_S = 0.2


class SubscriberLinks:
    """Runs a subscriber: its connections, its timer and its actions."""

    def __init__(
        self,
        subscriber: Subscriber,
        log: EventLog,
        on_configuration: Callable[[ApplyConfiguration], None],
        on_message: Callable[[Deliver], None],
    ) -> None:
        self._subscriber, self._log = subscriber, log
        self._on_configuration, self._on_message = on_configuration, on_message
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._outgoing: dict[str, asyncio.Queue[ToControlPlane]] = {}
        self._tick_timer: asyncio.TimerHandle | None = None
        self._session: aiohttp.ClientSession | None = None

    def start(self) -> None:
        """Start connecting; needs a running loop."""
        connector = aiohttp.TCPConnector(limit=0, force_close=True)
        timeout = aiohttp.ClientTimeout(total=None, connect=CONNECT_TIMEOUT_S)
        self._session = aiohttp.ClientSession(
            connector=connector, timeout=timeout, cookie_jar=aiohttp.DummyCookieJar(), trust_env=False
        )
        self._tick()

    async def close(self) -> None:
        """Close all connections."""
        if self._tick_timer is not None:
            self._tick_timer.cancel()
        for task in self._tasks.values():
            task.cancel()
        await asyncio.gather(*self._tasks.values(), return_exceptions=True)
        if self._session is not None:
            await self._session.close()

    def handle(self, event: Event) -> None:
        """Pass an event to the subscriber and carry out the resulting actions."""
        now_ms = asyncio.get_running_loop().time() * MS_PER_S
        for action in self._subscriber.handle(now_ms, event):
            self._carry_out(action)

    def send(self, address: str, message: ToControlPlane) -> None:
        """Send a message on an open connection; dropped if there is none."""
        outgoing = self._outgoing.get(address)
        if outgoing is not None:
            outgoing.put_nowait(message)

    def _tick(self) -> None:
        self._tick_timer = asyncio.get_running_loop().call_later(TICK_S, self._tick)
        self.handle(TimePassed())

    def _carry_out(self, action: Action) -> None:
        match action:
            case Connect(address):
                self._end(address)
                self._tasks[address] = asyncio.get_running_loop().create_task(self._run(address))
            case Disconnect(address):
                self._end(address)
            case Send(address, message):
                self.send(address, message)
            case ApplyConfiguration():
                self._on_configuration(action)
            case Deliver():
                self._on_message(action)
            case LogLine(event, fields):
                self._log(event.name, **fields)

    def _end(self, address: str) -> None:
        self._outgoing.pop(address, None)
        task = self._tasks.pop(address, None)
        if task is not None:
            task.cancel()

    async def _run(self, address: str) -> None:
        """Run one connection. A cancelled one reports no LinkClosed: the subscriber has dropped it."""
        try:
            await self._run_connection(address)
        except (aiohttp.ClientError, OSError, TimeoutError):
            pass  # the subscriber logs lost links and reconnects
        except MessageError as error:
            self._log("control_plane_message_unusable", address=address, error=str(error))
        if self._tasks.get(address) is asyncio.current_task():
            self._outgoing.pop(address, None)
            del self._tasks[address]
            self.handle(LinkClosed(address))

    async def _run_connection(self, address: str) -> None:
        assert self._session is not None
        async with asyncio.timeout(2 * CONNECT_TIMEOUT_S):
            socket = await self._session.ws_connect(
                f"http://{address}{SUBSCRIBE_PATH}",
                compress=0,
                max_msg_size=WEBSOCKET_LIMIT_BYTES,
                timeout=aiohttp.ClientWSTimeout(ws_close=CLOSE_TIMEOUT_S),
            )
        outgoing = self._outgoing[address] = asyncio.Queue()
        sender = asyncio.get_running_loop().create_task(_send_all(socket, outgoing))
        try:
            self.handle(LinkOpened(address))
            async for frame in socket:
                if frame.type is not aiohttp.WSMsgType.BINARY:
                    break
                message = to_data_plane.decode(frame.data)
                if isinstance(message, ConfigurationMessage) and is_long(message):
                    await self._handle_long_configuration(address, message)
                else:
                    self.handle(MessageReceived(address, message))
        finally:
            sender.cancel()
            await socket.close()

    async def _handle_long_configuration(self, address: str, message: ConfigurationMessage) -> None:
        """Parse a long configuration in a thread, so that requests and streams are not delayed.

        Later messages on this connection wait for it.
        """
        self.handle(ConfigurationArrived(address))
        base = self._subscriber.document
        read_ahead = None
        with contextlib.suppress(ConfigurationError):  # the subscriber detects and reports the same error
            read_ahead = ReadAhead(base, await asyncio.to_thread(document_after, base, message))
        self.handle(MessageReceived(address, message, read_ahead))


async def _send_all(socket: aiohttp.ClientWebSocketResponse, outgoing: asyncio.Queue[ToControlPlane]) -> None:
    """Send queued messages in order until the connection ends, which its reader detects."""
    try:
        while True:
            await socket.send_bytes(to_control_plane.encode(await outgoing.get()))
    except (aiohttp.ClientError, ConnectionError):
        return
