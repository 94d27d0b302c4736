"""Deliberate faults in the handling of responses.

`python -m tests.dataplane.answer_mutants [EXAMPLES]` shows which of them the fuzzer finds, and after how many
scripts.
"""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Callable, Iterator, Mapping
from contextlib import AbstractContextManager, contextmanager
from contextvars import ContextVar
from typing import Any
from unittest.mock import patch
from weakref import WeakKeyDictionary

from aiohttp import web
from aiohttp.client_proto import ResponseHandler
from aiohttp.client_reqrep import ClientRequest
from aiohttp.http_exceptions import HttpProcessingError

from madderwind.dataplane import (
    answer_relay,
    attempt_exchange,
    request_forwarding,
    retrying,
    upstream_pool,
)
from madderwind.dataplane.answer_relay import AnswerRelay
from madderwind.dataplane.attempts import AttemptResult, Progress
from madderwind.dataplane.client_answers import ClientAnswer
from madderwind.dataplane.event_stream import EventSplitter
from madderwind.dataplane.upstream_heads import REQUEST_ID, Head, read_head
from madderwind.transport import answering
from madderwind.transport.answering import SingleResponseHandler
from madderwind.transport.connector import ConnectionOptions
from madderwind.transport.encoded_request import current_request
from madderwind.transport.gated_request import GatedRequest
from tests.dataplane import fuzz_answers
from tests.dataplane.answer_oracle import Broken
from tests.dataplane.answer_player import Player
from tests.dataplane.answer_scripts import Script

DEFAULT_EXAMPLES = 1000


def retry_after_reset(progress: Progress) -> bool:
    return progress.arrivals < progress.max_attempts and not progress.answer_begun


def claim_unexecuted_after_send(progress: Progress) -> bool:
    return not progress.answer_begun


def read_head_without_id(request_id: str | None, status: int, headers: Mapping[str, str]) -> Head:
    others = {name: value for name, value in headers.items() if name.lower() != REQUEST_ID.lower()}
    return read_head(None, status, others)


def require_last_byte(**options: Any) -> ConnectionOptions:
    return ConnectionOptions(**{**options, "starts_when_complete": True})


def leave_stream_open(answer: ClientAnswer) -> web.StreamResponse:
    return answer._response or web.Response(status=502)


class _UnclosableConnection:
    """A connection that its client cannot close."""

    def __init__(self, connection: Any) -> None:
        self.protocol = connection.protocol

    def close(self) -> None:
        pass


async def keep_connection_during_body(
    request: Any, writer: Any, conn: Any, content_length: int | None = None
) -> None:
    current_request.get().write_started = True
    await ClientRequest.write_bytes(request, writer, _UnclosableConnection(conn), content_length)  # type: ignore[arg-type]


async def check_connection_once(
    request: Any, writer: Any, conn: Any, content_length: int | None = None
) -> None:
    current_request.get().write_started = True
    await ClientRequest.write_bytes(request, writer, conn, content_length)


def close_after_flush(transport: asyncio.WriteTransport) -> None:
    transport.close()


def fail_on_surplus_response(connection: SingleResponseHandler, *details: Any) -> None:
    connection.set_exception(HttpProcessingError(message="the response is not for this request"))


@contextmanager
def share_splitter() -> Iterator[None]:
    """Split all responses to a request that begin a stream with one splitter."""
    current_relay: ContextVar[AnswerRelay] = ContextVar("current_relay")
    splitters: WeakKeyDictionary[AnswerRelay, EventSplitter] = WeakKeyDictionary()
    relay = AnswerRelay.relay

    async def remember_and_relay(of_request: AnswerRelay, *arguments: Any) -> AttemptResult:
        current_relay.set(of_request)
        return await relay(of_request, *arguments)

    def splitter_of_request(resumed_after: bytes | None) -> EventSplitter:
        if resumed_after is not None:
            return EventSplitter(resumed_after)
        return splitters.setdefault(current_relay.get(), EventSplitter())

    with (
        patch.object(AnswerRelay, "relay", remember_and_relay),
        patch.object(answer_relay, "EventSplitter", splitter_of_request),
    ):
        yield


@contextmanager
def ignore_partial_events() -> Iterator[None]:
    """Take any end of a response that is no reset for the end of its stream."""
    with (
        patch.object(EventSplitter, "is_within_event", False),
        patch.object(answer_relay, "tells_its_end", lambda headers: True),
    ):
        yield


Mutant = Callable[[], AbstractContextManager[Any]]

MUTANTS: dict[str, Mutant] = {
    "an unsafe request is retried after a reset": lambda: patch.object(
        retrying, "may_be_sent_again", retry_after_reset
    ),
    "a request that was sent is reported as unexecuted": lambda: patch.object(
        request_forwarding, "may_promise", claim_unexecuted_after_send
    ),
    "X-Request-Id is not checked": lambda: patch.object(attempt_exchange, "read_head", read_head_without_id),
    "only the last byte of a request counts as a send": lambda: patch.object(
        upstream_pool, "ConnectionOptions", require_last_byte
    ),
    "an unframed response that was reset passes as complete": lambda: patch.object(
        SingleResponseHandler, "connection_lost", ResponseHandler.connection_lost
    ),
    "a partial event passes as the end of a stream": ignore_partial_events,
    "a partial event passes as the end of a stream that ends in order": lambda: patch.object(
        EventSplitter, "is_within_event", False
    ),
    "a partial event is joined to the next response": share_splitter,
    "a stream that broke off is ended cleanly": lambda: patch.object(
        ClientAnswer, "abort", leave_stream_open
    ),
    "a connection is reused after an early response": lambda: patch.object(
        GatedRequest, "write_bytes", keep_connection_during_body
    ),
    "a connection is checked before, but not when, a body is written": lambda: patch.object(
        GatedRequest, "write_bytes", check_connection_once
    ),
    "a cancelled request is still written": lambda: patch.object(
        answering, "_close_or_abort", close_after_flush
    ),
    "a surplus response fails the next request": lambda: patch.object(
        SingleResponseHandler, "_skip_or_reject", fail_on_surplus_response
    ),
}


def main() -> None:
    """Run the fuzzer on each mutant."""
    examples = int(sys.argv[1]) if len(sys.argv) > 1 else DEFAULT_EXAMPLES
    for name, mutant in MUTANTS.items():
        played_scripts: list[Script] = []

        def record_script(script: Script, played_scripts: list[Script] = played_scripts) -> Player:
            played_scripts.append(script)
            return Player(script)

        found = "not found"
        with mutant(), patch.object(fuzz_answers, "Player", record_script):
            try:
                fuzz_answers.fuzzer(examples, is_shrinking=False)()
            except Broken as violation:
                found = f"found: {violation}"
        print(f"{name}: after {len(played_scripts)} scripts {found}", flush=True)


if __name__ == "__main__":
    main()
