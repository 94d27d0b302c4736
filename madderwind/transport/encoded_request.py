"""One attempt's request, as it is handed to the connections to upstreams."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from contextvars import ContextVar
from typing import NamedTuple, Protocol

from multidict import CIMultiDict, CIMultiDictProxy

from madderwind.transport.answering import Addresses, OneAnswer


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


# The request that the present task is making.
current_request: ContextVar[EncodedRequest] = ContextVar("current_request")
