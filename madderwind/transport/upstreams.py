"""Connections to upstreams, on aiohttp's client.

An attempt is written once or not at all: the client's own second tries, redirects, cookies, decompression and
rewriting of targets are off. A connection on which an attempt was given up is closed and never kept; what was
still to be written on it is dropped.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

import aiohttp
import msgspec
from aiohttp.client_reqrep import ClientResponse
from multidict import CIMultiDictProxy
from yarl import URL

from madderwind.balancing.outcomes import Outcome
from madderwind.transport.answering import LONGEST_ANSWER
from madderwind.transport.connector import IDLE_PART, BoundedConnector, ConnectionOptions
from madderwind.transport.encoded_request import EncodedRequest, Sink, current_request
from madderwind.transport.gated_request import GatedRequest, NotWrittenError
from madderwind.transport.limits import OWN_LIMITS

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


class Upstreams:
    """The pool of connections to all upstreams of one balancer."""

    def __init__(
        self,
        connect_timeout_ms: float,
        idle_ms: float,
        most: int,
        options: ConnectionOptions = ConnectionOptions(),  # noqa: B008 (frozen)
    ) -> None:
        self._connector = BoundedConnector(most, options)
        self._starts_when_whole = options.starts_when_whole
        self.retune(connect_timeout_ms, idle_ms)
        self._session = aiohttp.ClientSession(
            connector=self._connector,
            request_class=GatedRequest,
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
        current_request.set(encoded)
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
        except NotWrittenError:
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
