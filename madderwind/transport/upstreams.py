"""Connections to upstreams, on aiohttp's client.

An attempt is written once or not at all: the client's own second tries, redirects, cookies, decompression and
rewriting of targets are off. A connection on which an attempt was given up is closed and never kept; what was
still to be written on it is dropped.
"""

from __future__ import annotations

import asyncio
import functools
import socket
from collections.abc import AsyncIterator, Awaitable, Callable
from contextvars import ContextVar
from typing import Any, NamedTuple, Protocol, TypeVar

import aiohttp
import msgspec
from aiohttp.abc import AbstractStreamWriter
from aiohttp.client_reqrep import ClientRequest, ClientResponse, ConnectionKey
from aiohttp.connector import Connection
from aiohttp.tracing import Trace
from multidict import CIMultiDict, CIMultiDictProxy
from yarl import URL

from madderwind.balancing.outcomes import Outcome
from madderwind.transport.answering import LONGEST_ANSWER, PASSING_STALL_S, Addresses, OneAnswer
from madderwind.transport.limits import OWN_LIMITS

# Idle connections are given up this part of the upstream's idle time: one that it may be closing is not used.
IDLE_PART = 0.8
# An answer up to this is held whole, so that one which is spoilt can still be tried again; the longest hold
# of one whose length nothing tells; and what is read ahead: twice this at most.
HELD_ANSWER, HELD_S, READ_BUFFER = 64 * 1024, 1.0, 64 * 1024
AUTO_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")

Received = TypeVar("Received")


class Answer(msgspec.Struct, frozen=True):
    """A whole answer, with the bytes as they came; no body where that has passed on in pieces."""

    status: int
    headers: CIMultiDictProxy[str]
    body: bytes


class Sink(Protocol):
    """Takes an answer that passes on in pieces."""

    async def begin(self, headers: CIMultiDictProxy[str], length: int | None) -> bool:
        """Whether the answer is wanted."""

    async def write(self, part: bytes) -> None:
        """The next bytes; returns when there is room for more."""


class Upload(NamedTuple):
    """A body that passes on in pieces, and its length where that is told."""

    pieces: AsyncIterator[bytes]
    length: int | None


class EncodedRequest:
    """One attempt's request, and whether its writing has begun.

    `may_write` is asked when the connection is up: what was right to send may by then be wrong. For the same
    reason `headers_at_write` is called then: it gives the headers whose values depend on the time.
    """

    __slots__ = (
        "addresses",
        "begun",
        "body",
        "connection",
        "headers",
        "headers_at_write",
        "limit",
        "may_repeat",
        "may_write",
        "method",
        "on_whole",
        "sink",
        "target",
        "upload",
        "upstream",
        "whole",
        "written",
    )

    def __init__(
        self,
        method: str,
        target: str,
        headers: CIMultiDict[str],
        body: bytes,
        may_write: Callable[[], bool],
        may_repeat: bool = True,
        on_whole: Callable[[], None] = lambda: None,
        upload: Upload | None = None,
        sink: Sink | None = None,
        addresses: Addresses | None = None,
        headers_at_write: Callable[[], dict[str, str]] = dict,
    ) -> None:
        self.method, self.target, self.headers, self.body = method, target, headers, body
        self.may_write = may_write
        self.headers_at_write = headers_at_write
        self.may_repeat = may_repeat  # whether a second copy of it would do no harm
        self.on_whole = on_whole  # called when its last byte has been written
        self.upload = upload  # in the place of `body`
        self.sink = sink  # for an answer that is too long to be held
        self.addresses = addresses  # an answer that is not this request's can't be read
        self.written = False  # decided on: its writing comes next
        self.begun, self.whole = False, False  # whether its first byte may have left, and its last
        self.limit: asyncio.Timeout | None = None
        self.upstream = -1  # the number of the upstream asked
        self.connection: OneAnswer | None = None  # that it is written to

    def was_written(self) -> None:
        """To its last byte."""
        self.whole = True
        self.on_whole()


class _NotWritten(Exception):
    """The connection came up too late for this attempt."""


_encoded: ContextVar[EncodedRequest] = ContextVar("encoded")


class _Target(NamedTuple):
    """Stands where the client looks for a URL's path and query: the target as it came, to the letter."""

    raw_path_qs: str


class _GatedRequest(ClientRequest):
    """Asks the encoded request between the connection's coming up and the first byte.

    Guards against a drain notice, a deadline or an answer that came while the connection came up, against an
    answer that lies on the connection before anything is asked, and against targets that a URL cannot hold
    unchanged, such as one that ends in a bare question mark.
    """

    @property
    def connection_key(self) -> ConnectionKey:
        """Connections belong to an upstream, not to its address.

        Guards against a new upstream at the address of one that is gone, served by connections to the old.
        The client tells pools apart by a proxy's headers too; there is no proxy: the number stands there.
        """
        return super().connection_key._replace(proxy_headers_hash=_encoded.get().upstream)

    async def send(self, conn: Connection) -> ClientResponse:
        encoded, connection = _encoded.get(), conn.protocol
        assert isinstance(connection, OneAnswer)
        if not encoded.may_write() or not connection.clean():
            raise _NotWritten
        encoded.connection, connection.addresses = connection, encoded.addresses
        encoded.written = True
        self.headers.update(encoded.headers_at_write())
        encoded.begun = not self._body  # a head that a body follows leaves with it, in `write_bytes`
        self.url = _Target(encoded.target)  # type: ignore[assignment]
        response = await super().send(conn)
        if self._writer is None and not self._body:
            encoded.was_written()
        return response

    async def write_bytes(
        self, writer: AbstractStreamWriter, conn: Connection, content_length: int | None = None
    ) -> None:
        """The first byte of a request with a body leaves here, a turn of the loop after `send` looked.

        Guards against an end of the connection, or an answer on it, that came in this turn.
        """
        encoded, connection = _encoded.get(), conn.protocol
        if not encoded.begun and isinstance(connection, OneAnswer):
            if connection.heard or not connection.clean():
                conn.close()  # its reader is told that the connection is lost
                return
            encoded.begun = True
        await super().write_bytes(writer, conn, content_length)
        if conn.protocol is not None and conn.protocol.exception() is None:
            _encoded.get().was_written()


class _Trust:
    """Whether kept connections may be used again.

    Guards against upstreams, or what stands between, that give up a kept connection and do not say so: the
    next request on it is a reset that may have run. Nothing shows which ones, so after such a reset requests
    get new connections for a time, which doubles when it happens again. After that only requests that may be
    sent twice try kept ones, until enough of those have gone well.
    """

    BASE_S, CEILING_S, ENOUGH = 1.0, 20.0, 64

    def __init__(self) -> None:
        self._resets, self._went_well, self._until_s = 0, 0, float("-inf")

    def may_reuse(self, now_s: float, may_repeat: bool) -> bool:
        return not self._resets or (may_repeat and now_s >= self._until_s)

    def went_well(self) -> None:
        self._went_well += 1
        if self._went_well >= self.ENOUGH:
            self._resets, self._went_well = 0, 0

    def was_reset(self, now_s: float) -> None:
        if now_s >= self._until_s:  # what else was out by then tells nothing more
            self._until_s = now_s + min(self.CEILING_S, self.BASE_S * 2.0**self._resets)
            self._resets, self._went_well = self._resets + 1, 0


class _Unshaken(_Trust):
    """For upstreams that tell how long they keep a connection: a reset says nothing about the other ones."""

    def was_reset(self, now_s: float) -> None:
        """Kept connections go on being used."""


class ConnectionOptions(NamedTuple):
    """What differs between the programs.

    `stall_s`: the longest silence within an answer, None for the time in which a connection comes up;
    `passing_stall_s`: the same within one that passes on, 0 for no bound of its own;
    `untold_idle_s`: how long a connection is kept whose upstream did not tell, where that is less;
    `starts_when_whole`: whether upstreams start a request only once they have its last byte. Else its first
    byte may be enough, as they answer before they have read the body.
    """

    socket_factory: Callable[[Any], socket.socket] | None = None
    stall_s: float | None = None
    passing_stall_s: float = PASSING_STALL_S
    distrusts_resets: bool = True
    untold_idle_s: float = float("inf")
    starts_when_whole: bool = True


class _BoundedConnector(aiohttp.TCPConnector):
    """Holds no more connections than its part of this machine's descriptors.

    Guards against callers' connections that cannot be accepted for want of a descriptor: their requests would
    be lost. An idle connection makes way for a new one; where none is idle the attempt is not written.
    """

    def __init__(self, most: int, options: ConnectionOptions) -> None:
        super().__init__(limit=0, use_dns_cache=False, socket_factory=options.socket_factory)
        self.most = most
        self.trust = _Trust() if options.distrusts_resets else _Unshaken()
        self._options = options

    def tune(self, idle_s: float, stall_s: float) -> None:
        self._keepalive_timeout = idle_s
        loop, options = asyncio.get_running_loop(), self._options
        stall_s = stall_s if options.stall_s is None else options.stall_s
        factory = functools.partial(OneAnswer, loop, stall_s, options.passing_stall_s)
        self._factory = factory  # type: ignore[assignment]

    async def connect(
        self, req: ClientRequest, traces: list[Trace], timeout: aiohttp.ClientTimeout
    ) -> Connection:
        self._drop_unclean(req.connection_key)
        if not self._conns.get(req.connection_key) and self.held() >= self.most and not self._drop_idle():
            raise _NotWritten
        return await super().connect(req, traces, timeout)

    def _drop_unclean(self, key: ConnectionKey) -> None:
        """Until the next connection to be taken is one to trust, which is neither ended nor written to.

        Guards against an attempt on a connection that has ended unread: a reset that may have run.
        """
        idle = self._conns.get(key)
        may_reuse = self.trust.may_reuse(self._loop.time(), _encoded.get().may_repeat)
        while idle:
            protocol, since_s = idle[0]
            if may_reuse and isinstance(protocol, OneAnswer) and self._is_kept(protocol, since_s):
                return
            idle.popleft()
            protocol.close()
        self._conns.pop(key, None)

    def _is_kept(self, protocol: OneAnswer, since_s: float) -> bool:
        """Whether it is clean, and its upstream still keeps it by what it told."""
        idle_s = self._loop.time() - since_s
        kept_s = self._options.untold_idle_s if protocol.kept_s is None else protocol.kept_s
        return protocol.clean() and idle_s <= kept_s * IDLE_PART

    def held(self) -> int:
        return len(self._acquired) + sum(len(idle) for idle in self._conns.values())

    def _drop_idle(self) -> bool:
        """Close the connection that has been idle for longest; whether there was one."""
        if not self._conns:
            return False
        key = min(self._conns, key=lambda k: self._conns[k][0][1])
        protocol, _ = self._conns[key].popleft()
        protocol.close()
        if not self._conns[key]:
            del self._conns[key]
        return True


class Upstreams:
    """The pool of connections to all upstreams of one balancer."""

    def __init__(
        self,
        connect_timeout_ms: float,
        idle_ms: float,
        most: int,
        options: ConnectionOptions = ConnectionOptions(),  # noqa: B008 (frozen)
    ) -> None:
        self._connector = _BoundedConnector(most, options)
        self._starts_when_whole = options.starts_when_whole
        self.retune(connect_timeout_ms, idle_ms)
        self._session = aiohttp.ClientSession(
            connector=self._connector,
            request_class=_GatedRequest,
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
            trust_env=False,
            skip_auto_headers=AUTO_HEADERS,
            read_bufsize=READ_BUFFER,
        )
        # Guards against a second copy: the client resends a GET by itself when a kept connection breaks.
        self._session._retry_connection = False

    def held(self) -> int:
        """How many connections there are."""
        return self._connector.held()

    def share(self, most: int) -> None:
        """How many connections it may hold from now on."""
        self._connector.most = most

    def retune(self, connect_timeout_ms: float, idle_ms: float) -> None:
        """New times, for connections from now on."""
        self._timeout = aiohttp.ClientTimeout(total=None, connect=(connect_timeout_ms / 1000) or None)
        # An answer that has begun goes on within the time in which a connection comes up.
        self._connector.tune(idle_ms * IDLE_PART / 1000, connect_timeout_ms / 1000)

    async def ask(
        self, upstream: int, address: tuple[str, int], encoded: EncodedRequest, until_s: float
    ) -> Answer | Outcome:
        """One attempt: the upstream's answer, or how it ended without one. `until_s`: the loop's clock."""
        return await self.exchange(
            upstream, address, encoded, until_s, lambda response: self._taken_in(response, encoded)
        )

    async def exchange(
        self,
        upstream: int,
        address: tuple[str, int],
        encoded: EncodedRequest,
        until_s: float,
        receive: Callable[[ClientResponse], Awaitable[Received]],
    ) -> Received | Outcome:
        """One attempt, with what `receive` makes of an answer from its head on, or how it ended without."""
        if self._session.closed:  # the process ends: what waited for its turn is not sent any more
            return Outcome.NOT_SENT
        encoded.upstream = upstream
        _encoded.set(encoded)
        url = URL.build(scheme="http", host=address[0], port=address[1])
        try:
            async with (
                asyncio.timeout_at(until_s) as encoded.limit,
                self._session.request(
                    encoded.method,
                    url,
                    headers=encoded.headers,
                    data=encoded.upload.pieces if encoded.upload is not None else encoded.body or None,
                    allow_redirects=False,
                    timeout=self._timeout,
                ) as response,
            ):
                answer = await receive(response)
                if encoded.connection is not None and encoded.connection.asked > 1:
                    self._connector.trust.went_well()
                return answer
        except _NotWritten:
            return Outcome.NOT_SENT
        except (aiohttp.ConnectionTimeoutError, aiohttp.ClientConnectorError) as error:
            if isinstance(error, aiohttp.ConnectionTimeoutError):
                # Guards against a machine that vanished: a kept connection is silent until the deadline,
                # while one that never comes up proves that nothing ran.
                self.close_idle(upstream)
            own = isinstance(error, OSError) and error.errno in OWN_LIMITS
            # what this machine lacks says nothing of the upstream
            return Outcome.NOT_SENT if own else Outcome.CONNECT_FAILED
        except TimeoutError:
            if not encoded.begun:
                return Outcome.NOT_SENT
            return Outcome.TIMEOUT if self._may_have_run(encoded) else Outcome.CONNECT_FAILED
        except (aiohttp.ClientError, OSError):
            if encoded.written and not encoded.begun:
                return Outcome.NOT_SENT
            if not self._may_have_run(encoded):
                return Outcome.CONNECT_FAILED
            # What cannot be read says that the upstream lives; that a connection ends does not.
            if encoded.connection is not None and encoded.connection.unreadable:
                return Outcome.ERROR
            if encoded.connection is not None and encoded.connection.given_up:
                self._connector.trust.was_reset(asyncio.get_running_loop().time())
            return Outcome.RESET

    def _may_have_run(self, encoded: EncodedRequest) -> bool:
        """Whether the upstream may have started what was written of it. The only such test."""
        return encoded.whole if self._starts_when_whole else encoded.begun

    async def _taken_in(self, response: ClientResponse, encoded: EncodedRequest) -> Answer | Outcome:
        """An answer that is short is held whole; of one that is long, what serves a request passes on."""
        loop = asyncio.get_running_loop()
        length = response.content_length
        hold_until_s = loop.time() + HELD_S if length is None else None
        held, ended = b"", False
        while not ended and len(held) <= HELD_ANSWER and (length or 0) <= HELD_ANSWER:
            try:
                async with asyncio.timeout_at(hold_until_s):
                    part = await response.content.readany()
            except TimeoutError:
                break
            held, ended = held + part, not part
        if ended:
            return Answer(response.status, response.headers, held)
        if response.status != 200:  # whatever else it says, its status says enough
            response.close()
            return Answer(response.status, response.headers, b"")
        if encoded.sink is None:
            response.close()
            return Outcome.ERROR
        return await self._pass_on(response, encoded, encoded.sink, held)

    async def _pass_on(
        self, response: ClientResponse, encoded: EncodedRequest, sink: Sink, held: bytes
    ) -> Answer | Outcome:
        """Piece by piece, as fast as both sides allow. No deadline cuts off what the upstream still gives."""
        if encoded.connection is not None:
            encoded.connection.passes_on()
        if not await sink.begin(response.headers, response.content_length):
            response.close()
            return Outcome.CANCELLED
        if encoded.limit is not None:
            encoded.limit.reschedule(None)
        passed = 0
        while part := held or await response.content.readany():
            held, passed = b"", passed + len(part)
            if passed > LONGEST_ANSWER:
                response.close()
                return Outcome.ERROR
            await sink.write(part)
        return Answer(response.status, response.headers, b"")

    def keeps(self, upstream: int) -> bool:
        """Whether a connection to it stands idle, as far as is known."""
        return any(key.proxy_headers_hash == upstream for key in self._connector._conns)

    def close_idle(self, upstream: int) -> None:
        """Close the idle connections to one upstream."""
        for key in [k for k in self._connector._conns if k.proxy_headers_hash == upstream]:
            for protocol, _ in self._connector._conns.pop(key):
                protocol.close()

    async def close(self) -> None:
        await self._session.close()
