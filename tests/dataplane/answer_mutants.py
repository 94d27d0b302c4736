"""Faults put into the handling of answers on purpose. By hand, which of them the fuzzer finds, and after how
many scripts: `python -m tests.dataplane.answer_mutants [EXAMPLES]`."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Callable, Mapping
from contextlib import AbstractContextManager
from typing import Any
from unittest.mock import patch

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
from madderwind.dataplane.attempts import Progress
from madderwind.dataplane.client_answers import ClientAnswer
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


def send_again_after_a_reset(progress: Progress) -> bool:
    return progress.arrivals < progress.max_attempts and not progress.answer_begun


def promise_after_a_send(progress: Progress) -> bool:
    return not progress.answer_begun


def without_the_id(request_id: str | None, status: int, headers: Mapping[str, str]) -> Head:
    others = {name: value for name, value in headers.items() if name.lower() != REQUEST_ID.lower()}
    return read_head(None, status, others)


def last_byte_decides(**options: Any) -> ConnectionOptions:
    return ConnectionOptions(**{**options, "starts_when_whole": True})


def leave_open(answer: ClientAnswer) -> web.StreamResponse:
    return answer._response or web.Response(status=502)


class _NeverClosed:
    """A connection that its client can't close."""

    def __init__(self, connection: Any) -> None:
        self.protocol = connection.protocol

    def close(self) -> None:
        pass


async def keep_within_the_body(
    request: Any, writer: Any, conn: Any, content_length: int | None = None
) -> None:
    current_request.get().write_started = True
    await ClientRequest.write_bytes(request, writer, _NeverClosed(conn), content_length)  # type: ignore[arg-type]


async def look_once(request: Any, writer: Any, conn: Any, content_length: int | None = None) -> None:
    current_request.get().write_started = True
    await ClientRequest.write_bytes(request, writer, conn, content_length)


def close_after_writing(transport: asyncio.WriteTransport) -> None:
    transport.close()


def fail_at_an_extra_answer(connection: SingleResponseHandler, *told: Any) -> None:
    connection.set_exception(HttpProcessingError(message="the response is not for this request"))


Mutant = Callable[[], AbstractContextManager[Any]]

MUTANTS: dict[str, Mutant] = {
    "an unsafe request is sent again after a reset": lambda: patch.object(
        retrying, "may_be_sent_again", send_again_after_a_reset
    ),
    "a promise after a send": lambda: patch.object(request_forwarding, "may_promise", promise_after_a_send),
    "X-Request-Id is not checked": lambda: patch.object(attempt_exchange, "read_head", without_the_id),
    "only the last byte of a request counts as a send": lambda: patch.object(
        upstream_pool, "ConnectionOptions", last_byte_decides
    ),
    "an unframed answer that was reset passes as whole": lambda: patch.object(
        SingleResponseHandler, "connection_lost", ResponseHandler.connection_lost
    ),
    "half an event passes as a stream's end": lambda: patch.object(
        answer_relay, "tells_its_end", lambda headers: True
    ),
    "a stream that broke off ends in good command": lambda: patch.object(ClientAnswer, "abort", leave_open),
    "a connection is reused after an early answer": lambda: patch.object(
        GatedRequest, "write_bytes", keep_within_the_body
    ),
    "a connection is looked at before, not as, a body is written": lambda: patch.object(
        GatedRequest, "write_bytes", look_once
    ),
    "what was given up is still written": lambda: patch.object(
        answering, "_close_or_abort", close_after_writing
    ),
    "an extra answer fails the next request": lambda: patch.object(
        SingleResponseHandler, "_skip_or_reject", fail_at_an_extra_answer
    ),
}


def main() -> None:
    """Let the fuzzer look for each mutant."""
    examples = int(sys.argv[1]) if len(sys.argv) > 1 else DEFAULT_EXAMPLES
    for name, mutant in MUTANTS.items():
        played: list[Script] = []

        def counted(script: Script, played: list[Script] = played) -> Player:
            played.append(script)
            return Player(script)

        found = "not found"
        with mutant(), patch.object(fuzz_answers, "Player", counted):
            try:
                fuzz_answers.fuzzer(examples, shrinks=False)()
            except Broken as broken:
                found = f"found: {broken}"
        print(f"{name}: after {len(played)} scripts {found}", flush=True)


if __name__ == "__main__":
    main()
