"""Connections to upstreams, on aiohttp's client.

An attempt is sent once or not at all: aiohttp's own retries, redirects, cookies, decompression and rewriting
of targets are disabled. The connection of a cancelled attempt is closed and never reused; its unsent bytes
are discarded.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import AbstractAsyncContextManager
from typing import TypeVar

import aiohttp
import msgspec
from aiohttp.client_reqrep import ClientResponse
from multidict import CIMultiDictProxy
from yarl import URL

from madderwind.balancing.outcomes import Outcome
from madderwind.transport.answering import MAX_RESPONSE_BYTES
from madderwind.transport.connector import IDLE_FRACTION, BoundedConnector, ConnectionOptions
from madderwind.transport.encoded_request import EncodedRequest, Sink, current_request
from madderwind.transport.gated_request import GatedRequest, NotWrittenError
from madderwind.transport.limits import OWN_LIMITS

# A response up to this length is buffered whole, so that the request can still be retried if the response
# fails; the longest buffering of a response without a stated length; and half of the most that is read ahead.
MAX_BUFFERED_BYTES, MAX_BUFFERING_S, READ_BUFFER = 64 * 1024, 1.0, 64 * 1024
SKIPPED_AUTO_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")

Received = TypeVar("Received")


class Answer(msgspec.Struct, frozen=True):
    """A complete response, its body byte for byte as received; the body is empty if it was streamed."""

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
        self._starts_when_complete = options.starts_when_complete
        self.retune(connect_timeout_ms, idle_ms)
        self._session = aiohttp.ClientSession(
            connector=self._connector,
            request_class=GatedRequest,
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
            trust_env=False,
            skip_auto_headers=SKIPPED_AUTO_HEADERS,
            read_bufsize=READ_BUFFER,
        )
        # Guards against a duplicate request: aiohttp resends a GET by itself when a reused connection breaks.
        self._session._retry_connection = False

    def open_connections(self) -> int:
        """The number of open connections."""
        return self._connector.open_connections()

    def share(self, most: int) -> None:
        """Set how many connections the pool may hold from now on."""
        self._connector.most = most

    def retune(self, connect_timeout_ms: float, idle_ms: float) -> None:
        """Set the timeouts of connections from now on."""
        self._timeout = aiohttp.ClientTimeout(total=None, connect=(connect_timeout_ms / 1000) or None)
        # The connect timeout also limits a pause within a response that has started.
        self._connector.tune(idle_ms * IDLE_FRACTION / 1000, connect_timeout_ms / 1000)

    async def ask(
        self, upstream: int, address: tuple[str, int], encoded: EncodedRequest, until_s: float
    ) -> Answer | Outcome:
        """Make one attempt; return the response, or the outcome without one. `until_s` is on the loop's
        clock.
        """
        limit = asyncio.timeout_at(until_s)
        return await self.exchange(
            upstream, address, encoded, limit, lambda response: self._receive(response, encoded)
        )

    async def exchange(
        self,
        upstream: int,
        address: tuple[str, int],
        encoded: EncodedRequest,
        limit: AbstractAsyncContextManager[asyncio.Timeout],
        receive: Callable[[ClientResponse], Awaitable[Received]],
    ) -> Received | Outcome:
        """Make one attempt within `limit`; return what `receive` makes of the response, or the outcome."""
        if self._session.closed:  # the process is shutting down: queued attempts are no longer sent
            return Outcome.NOT_SENT
        encoded.upstream = upstream
        current_request.set(encoded)
        try:
            url = URL.build(scheme="http", host=address[0], port=address[1])
            async with (
                limit as encoded.limit,
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
                if encoded.connection is not None and encoded.connection.request_count > 1:
                    self._connector.trust.record_success()
                return answer
        except NotWrittenError:
            return Outcome.NOT_SENT
        except (aiohttp.ConnectionTimeoutError, aiohttp.ClientConnectorError) as error:
            return self._outcome_of_failed_connect(upstream, error)
        except TimeoutError:
            if not encoded.write_started:
                return Outcome.NOT_SENT
            return Outcome.TIMEOUT if self._may_have_run(encoded) else Outcome.CONNECT_FAILED
        except (aiohttp.ClientError, OSError):
            return self._outcome_of_broken_exchange(encoded)
        except ValueError:  # the address names no host, and nothing was sent
            if encoded.write_approved:
                raise
            return Outcome.CONNECT_FAILED

    def _outcome_of_failed_connect(self, upstream: int, error: Exception) -> Outcome:
        if isinstance(error, aiohttp.ConnectionTimeoutError):
            # Guards against a machine that vanished: a reused connection is silent until the deadline,
            # while a connection that is never established proves that nothing ran.
            self.close_idle(upstream)
        is_local = isinstance(error, OSError) and error.errno in OWN_LIMITS
        # a shortage on this machine says nothing about the upstream
        return Outcome.NOT_SENT if is_local else Outcome.CONNECT_FAILED

    def _outcome_of_broken_exchange(self, encoded: EncodedRequest) -> Outcome:
        if encoded.write_approved and not encoded.write_started:
            return Outcome.NOT_SENT
        if not self._may_have_run(encoded):
            return Outcome.CONNECT_FAILED
        # A response that cannot be parsed shows that the upstream is alive; a closed connection does not.
        if encoded.connection is not None and encoded.connection.unreadable:
            return Outcome.ERROR
        if encoded.connection is not None and encoded.connection.is_stale:
            self._connector.trust.record_reset(asyncio.get_running_loop().time())
        return Outcome.RESET

    def _may_have_run(self, encoded: EncodedRequest) -> bool:
        """Whether the upstream may have started the request. The only place that decides this."""
        return encoded.write_finished if self._starts_when_complete else encoded.write_started

    async def _receive(self, response: ClientResponse, encoded: EncodedRequest) -> Answer | Outcome:
        """Buffer a short response whole; stream a long one if it is a success."""
        loop = asyncio.get_running_loop()
        length = response.content_length
        buffer_until_s = loop.time() + MAX_BUFFERING_S if length is None else None
        buffered, at_end = b"", False
        while not at_end and len(buffered) <= MAX_BUFFERED_BYTES and (length or 0) <= MAX_BUFFERED_BYTES:
            try:
                async with asyncio.timeout_at(buffer_until_s):
                    part = await response.content.readany()
            except TimeoutError:
                break
            buffered, at_end = buffered + part, not part
        if at_end:
            return Answer(response.status, response.headers, buffered)
        if response.status != 200:  # for an error the status suffices
            response.close()
            return Answer(response.status, response.headers, b"")
        if encoded.sink is None:
            response.close()
            return Outcome.ERROR
        return await self._stream(response, encoded, encoded.sink, buffered)

    async def _stream(
        self, response: ClientResponse, encoded: EncodedRequest, sink: Sink, buffered: bytes
    ) -> Answer | Outcome:
        """Stream the response as fast as both sides allow; no deadline cuts off what is still arriving."""
        if encoded.connection is not None:
            encoded.connection.passes_on()
        if not await sink.begin(response.headers, response.content_length):
            response.close()
            return Outcome.CANCELLED
        if encoded.limit is not None:
            encoded.limit.reschedule(None)
        streamed_bytes = 0
        while part := buffered or await response.content.readany():
            buffered, streamed_bytes = b"", streamed_bytes + len(part)
            if streamed_bytes > MAX_RESPONSE_BYTES:
                response.close()
                return Outcome.ERROR
            await sink.write(part)
        return Answer(response.status, response.headers, b"")

    def keeps(self, upstream: int) -> bool:
        """Whether an idle connection to the upstream is known."""
        return any(key.proxy_headers_hash == upstream for key in self._connector._conns)

    def close_idle(self, upstream: int) -> None:
        """Close the idle connections to one upstream."""
        for key in [k for k in self._connector._conns if k.proxy_headers_hash == upstream]:
            for protocol, _ in self._connector._conns.pop(key):
                protocol.close()

    async def close(self) -> None:
        await self._session.close()
