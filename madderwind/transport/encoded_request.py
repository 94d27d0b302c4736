"""The request of one attempt, in the form that the upstream connections send."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from contextvars import ContextVar
from typing import NamedTuple, Protocol

from multidict import CIMultiDict, CIMultiDictProxy

from madderwind.transport.answering import AddresseeCheck, SingleResponseHandler


class Sink(Protocol):
    """Receives a streamed response."""

    async def begin(self, headers: CIMultiDictProxy[str], length: int | None) -> bool:
        """Start the response; return whether it is still wanted."""

    async def write(self, part: bytes) -> None:
        """Write the next bytes; return when there is room for more."""


class Upload(NamedTuple):
    """A streamed body, and its length where it is known."""

    pieces: AsyncIterator[bytes]
    length: int | None


class EncodedRequest:
    """The request of one attempt, and how far it has been sent.

    `may_write` is called once the connection is established, as the decision to send may be outdated by then.
    `headers_at_write` is called at the same time and returns the headers whose values depend on the time.
    """

    __slots__ = (
        "addresses",
        "write_started",
        "body",
        "connection",
        "exchange_id",
        "headers",
        "headers_at_write",
        "limit",
        "may_repeat",
        "may_write",
        "method",
        "on_written",
        "sink",
        "target",
        "upload",
        "upstream",
        "write_finished",
        "write_approved",
    )

    def __init__(
        self,
        method: str,
        target: str,
        headers: CIMultiDict[str],
        body: bytes,
        may_write: Callable[[], bool],
        may_repeat: bool = True,
        on_written: Callable[[], None] = lambda: None,
        upload: Upload | None = None,
        sink: Sink | None = None,
        addresses: AddresseeCheck | None = None,
        headers_at_write: Callable[[], dict[str, str]] = dict,
        exchange_id: str | None = None,
    ) -> None:
        self.method, self.target, self.headers, self.body = method, target, headers, body
        self.may_write = may_write
        self.headers_at_write = headers_at_write
        # Tells its response from others on a connection, which carries it once at most; None if nothing does.
        self.exchange_id = exchange_id
        self.may_repeat = may_repeat  # whether a duplicate would do no harm
        self.on_written = on_written  # called when the last byte has been written
        self.upload = upload  # replaces `body`
        self.sink = sink  # receives a response that is too long to buffer
        self.addresses = addresses  # a response that belongs to another request is an error
        self.write_approved = False  # `may_write` has allowed it, and writing comes next
        # whether its first byte may have been sent, and its last
        self.write_started, self.write_finished = False, False
        self.limit: asyncio.Timeout | None = None
        self.upstream = -1  # number of the upstream
        self.connection: SingleResponseHandler | None = None  # the connection that sends it

    def mark_written(self) -> None:
        """Record that the last byte has been written."""
        self.write_finished = True
        self.on_written()


# The request that the current task is sending.
current_request: ContextVar[EncodedRequest] = ContextVar("current_request")
