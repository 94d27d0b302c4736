"""Reads exactly one response for each request from an upstream connection.

Replaces aiohttp's own `ResponseHandler`, which keeps surplus bytes for the parser of the next request and
discards a valid response when the bytes behind it cannot be parsed.
"""

from __future__ import annotations

import asyncio
import re
from collections.abc import Callable, Mapping, Sequence
from enum import Enum
from typing import Any

from aiohttp import ClientPayloadError
from aiohttp.client_proto import ResponseHandler
from aiohttp.http_exceptions import HttpProcessingError

from madderwind.transport.exchange_ids import ExchangeIds
from madderwind.transport.unread import has_unread

HEAD_END = b"\r\n\r\n"
BODILESS_STATUSES = frozenset((204, 304))
# Messages hold at most 32 MB; the margin admits slightly longer ones and rejects those that are far longer.
MAX_RESPONSE_BYTES = 40 * 1024 * 1024
# Longest wait for the next byte of a streamed response, whose peers may take seconds to write.
PASSING_STALL_S = 10.0


# The idle timeout that an upstream states in its Keep-Alive header.
KEEP_ALIVE_TIMEOUT = re.compile(r"(?:^|[,;\s])timeout\s*=\s*(\d{1,6})")


# The longest body of a response to another request that is read and discarded.
MAX_SKIPPED_BODY_BYTES = 64 * 1024


class Addressee(Enum):
    """Which request a response belongs to, judged by its head."""

    THIS_REQUEST = "this request"
    ANOTHER_REQUEST = "another request"
    NOBODY = "nobody"  # the head does not identify a request


# Determines the addressee from the status and the headers of a response.
AddresseeCheck = Callable[[int, Mapping[str, str]], Addressee]


class _Expected(Enum):
    NOTHING = "nothing"
    HEAD = "head"
    BODY = "body"


class SingleResponseHandler(ResponseHandler):
    """Accepts one response for each request and closes the connection on any unsolicited bytes.

    Guards against a duplicate response, or garbage, behind a valid response: it would be read as the next
    response, or invalidate the one before it. Guards also against a response that starts and never ends: once
    it has started, `stall_s` without another byte fails it, so that its request need not wait for its
    deadline.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, stall_s: float, passing_stall_s: float = PASSING_STALL_S
    ) -> None:
        """`passing_stall_s`: as `stall_s`, for a streamed response; 0 disables the limit."""
        super().__init__(loop)
        self.unreadable = False
        self.request_count = 0  # requests written to this connection
        self.response_started = False  # whether a byte of the current response has arrived
        self._is_streaming = False
        self._stall_s, self._passing_stall_s = stall_s, passing_stall_s
        self.keep_alive_s: float | None = None  # the idle timeout that the upstream stated, if any
        self.addresses: AddresseeCheck | None = None  # checks the head of the current response
        self.exchange_ids = ExchangeIds()
        self._is_skipping = False  # whether the current response belongs to another request
        self._has_skipped = False  # whether a response to another request was skipped before the current one
        self._expects_body = True  # false for HEAD requests, whose responses have no body
        self._stall_timer: asyncio.TimerHandle | None = None
        self._expected = _Expected.NOTHING
        self._body_bytes_left: float = 0  # infinite where the framing determines the end
        self._partial_head = b""  # the last bytes of an incomplete head
        self._body: Any = None
        self._received_eof = False  # the upstream has closed its sending side

    def set_response_params(self, **params: Any) -> None:
        self._expected = _Expected.HEAD
        self.request_count, self.response_started, self._is_streaming = self.request_count + 1, False, False
        self._is_skipping = self._has_skipped = False
        self._expects_body = not params.get("skip_payload", False)
        super().set_response_params(**params)

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Determine the body's length from a complete head; reject one that is ambiguous or too long.

        Guards against a second head in the bytes that end a chunked response, which would invalidate it.
        """
        if self._expected is _Expected.BODY:
            self.force_close()
            return
        message, body = data
        if 100 <= message.code < 200 and message.code != 101:
            super().feed_data(data, size)
            return  # an interim response; the final one follows
        if keep_alive := KEEP_ALIVE_TIMEOUT.search(message.headers.get("Keep-Alive", "")):
            self.keep_alive_s = float(keep_alive[1])
        lengths = message.headers.getall("Content-Length", ())
        addressee = Addressee.THIS_REQUEST
        if self.addresses is not None:
            addressee = self.addresses(message.code, message.headers)
        if addressee is not Addressee.THIS_REQUEST:
            self._skip_or_reject(addressee, message, body, lengths)
        elif (
            message.code == 101
            or len(lengths) + message.chunked > 1
            or _has_unsupported_coding(message.headers)
        ):
            self.set_exception(HttpProcessingError(message="the response has an ambiguous length"))
        elif lengths and not (lengths[0].isdecimal() and int(lengths[0]) <= MAX_RESPONSE_BYTES):
            self.set_exception(HttpProcessingError(message="the response exceeds the size limit"))
        else:
            super().feed_data(data, size)
            self._expected, self._body = _Expected.BODY, body
            if message.code in BODILESS_STATUSES or not self._expects_body:
                self._body_bytes_left = 0
            else:  # without a length, the framing or the connection's end delimits the body
                self._body_bytes_left = int(lengths[0]) if lengths else float("inf")

    def _skip_or_reject(self, addressee: Addressee, message: Any, body: Any, lengths: Sequence[str]) -> None:
        """Skip one surplus response to an earlier request and retire the connection; fail any other.

        Guards against failing a request, which may not be safe to retry, because a late response arrived in
        place of its own. On a connection without an earlier request there can be no such response.
        """
        is_short = len(lengths) == 1 and lengths[0].isdecimal() and int(lengths[0]) <= MAX_SKIPPED_BODY_BYTES
        is_extra = addressee is Addressee.ANOTHER_REQUEST and self.request_count > 1 and not self._has_skipped
        if not is_extra or not is_short or message.chunked or message.should_close:
            self.set_exception(HttpProcessingError(message="the response is not for this request"))
            return
        self.force_close()
        self._is_skipping = self._has_skipped = True
        self._expected, self._body = _Expected.BODY, body
        self._body_bytes_left = (
            int(lengths[0]) if self._expects_body and message.code not in BODILESS_STATUSES else 0
        )

    def data_received(self, data: bytes) -> None:
        """Handle bytes from the upstream; empty `data` means that aiohttp resumes its paused parser."""
        if self._connection_lost_called:
            return  # what was received completely can still be read, although the connection is lost
        if not data:
            self._feed(data)
            self._restart_stall_timer()
            return
        self.response_started = True
        while data and self.transport is not None and not self.unreadable:
            if self._expected is _Expected.NOTHING:
                self._close_transport()
                return
            if self._expected is _Expected.HEAD:
                cut = (self._partial_head + data).find(HEAD_END)
                size = len(data) if cut < 0 else cut + len(HEAD_END) - len(self._partial_head)
            else:
                size = int(min(self._body_bytes_left, len(data)))
            part, data = data[:size], data[size:]
            if self._expected is _Expected.HEAD:
                self._partial_head = (self._partial_head + part)[-len(HEAD_END) + 1 :] if cut < 0 else b""
            elif data:
                # surplus bytes: retire the connection before the end of the response returns it to the pool
                self.force_close()
            self._feed(part)
        self._restart_stall_timer()

    def passes_on(self) -> None:
        """Stream the current response from here on, under the longer stall limit.

        Guards against the shorter limit, which runs since the last byte, cutting off a response whose
        upstream is merely slow to continue.
        """
        self._is_streaming = True
        self._restart_stall_timer()

    def _restart_stall_timer(self) -> None:
        self._stop_stall_timer()
        if (
            (self._expected is _Expected.BODY or self._partial_head)
            and self.transport is not None
            and self._stall_s
        ):
            stall_s = self._stall_s
            if self._is_streaming:
                if not self._passing_stall_s:
                    return
                stall_s = max(self._passing_stall_s, stall_s)
            self._stall_timer = self._loop.call_later(stall_s, self._on_stall)

    def _feed(self, part: bytes) -> None:
        was_in_body = self._expected is _Expected.BODY
        super().data_received(part)
        if was_in_body:
            self._body_bytes_left -= len(part)
        if self.exception() is not None or (self._body is not None and self._body.exception() is not None):
            self._fail_response("the response cannot be parsed")
        elif self._expected is _Expected.BODY and (self._body_bytes_left <= 0 or self._body.is_eof()):
            self._expected = _Expected.HEAD if self._is_skipping else _Expected.NOTHING
            self._body, self._is_skipping = None, False

    def _fail_response(self, reason: str) -> None:
        """Fail the request at once, where aiohttp would wait for a body whose framing is broken."""
        self.unreadable = True
        if self._body is not None:
            self._body.set_exception(ClientPayloadError(reason))
        if self.exception() is None:
            self.set_exception(HttpProcessingError(message=reason))
        self._close_transport()

    def _close_transport(self) -> None:
        self.force_close()
        if self.transport is not None:
            _close_or_abort(self.transport)

    def _stop_stall_timer(self) -> None:
        if self._stall_timer is not None:
            self._stall_timer.cancel()
            self._stall_timer = None

    def _on_stall(self) -> None:
        self._stall_timer = None
        if self.transport is None or (self._expected is not _Expected.BODY and not self._partial_head):
            return
        if self._reading_paused:
            return  # the response's reader is slow, not the upstream; the timer restarts when reading resumes
        self._fail_response("the response stalled before its end")

    @property
    def is_stale(self) -> bool:
        """Whether the connection was reused from the pool and no byte of the current response arrived."""
        return self.request_count > 1 and not self.response_started

    def close(self) -> None:
        """As in aiohttp, but without writing what is still buffered."""
        if self.transport is not None:
            _close_or_abort(self.transport)
        super().close()

    def eof_received(self) -> None:
        self._received_eof = True
        super().eof_received()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail a response without a stated length that the upstream did not end itself.

        Guards against taking a truncated response for a complete one: the parser accepts any loss of the
        connection as the end of such a response, but only the upstream's closing of its sending side is one.
        A reset, or a close from this side, is not.
        """
        self._stop_stall_timer()
        if self._expected is _Expected.BODY and not self._received_eof:
            self._body.set_exception(ClientPayloadError("the connection was lost within the response"))
        super().connection_lost(exc)

    def is_reusable(self) -> bool:
        """Whether the connection is open and has no unsolicited bytes to read."""
        transport = self.transport
        return (
            transport is not None
            and not transport.is_closing()
            and not self.should_close
            and not has_unread(transport)
        )


def _has_unsupported_coding(headers: Mapping[str, str]) -> bool:
    """Whether a body has a transfer coding that is not decoded here."""
    return headers.get("Transfer-Encoding", "chunked").strip().lower() != "chunked"


def _close_or_abort(transport: asyncio.WriteTransport) -> None:
    """Close the connection without writing what is still buffered.

    Guards against a request that reaches its upstream after it was cancelled: a plain close would first send
    the buffered bytes.
    """
    if transport.get_write_buffer_size():
        transport.abort()
    else:
        transport.close()
