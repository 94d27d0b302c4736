"""Responses that break off: the client never receives bytes of two upstreams' responses as one piece."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from types import MappingProxyType
from unittest import mock

import pytest

from madderwind.dataplane import event_stream, retrying
from madderwind.testing.fault_tests.relay import reset
from madderwind.testing.fault_tests.wire import chunk
from tests.dataplane.fleet import CLIENT_HOST, Fleet, Message, Writer, document, event, stream_head
from tests.examples import HOST
from tests.standins import run

LAST_CHUNK = b"0\r\n\r\n"
EVENTS = event(1) + event(2)
NO_ID_EVENT = b"data: a\n\n"
MAX_EVENT_BYTES = 100

Ending = Callable[[Writer], None]


def close(writer: Writer) -> None:
    """Close the connection in the regular way, within a chunk."""
    writer.close()


class BrokenOffOnce:
    """Behaviour of all upstreams of a fleet: the first response breaks off, each later one is complete."""

    def __init__(self, first: bytes, ending: Ending, later: bytes) -> None:
        self._first, self._ending, self._later = first, ending, later
        self.last_event_ids: list[str | None] = []  # of each request

    async def __call__(self, message: Message, writer: Writer) -> None:
        self.last_event_ids.append(message.header("Last-Event-Id"))
        writer.write(stream_head(message))
        if len(self.last_event_ids) > 1:
            writer.write(self._later + LAST_CHUNK)
            return
        writer.write(self._first)
        await writer.drain()
        self._ending(writer)


def end_in_order(writer: Writer) -> None:
    """End the response as a complete one ends."""
    writer.write(LAST_CHUNK)


def part_of_chunk(data: bytes, sent_bytes: int) -> bytes:
    """The beginning of a chunk whose sender ends after `sent_bytes` of its data."""
    return b"%x\r\n%s" % (len(data), data[:sent_bytes])


LogLine = tuple[str, dict[str, object]]


def ask(path: str, behaviour: BrokenOffOnce, **headers: str) -> Message:
    """The client's response to a request for which two upstreams are available."""
    return ask_logged(path, behaviour, {}, **headers)[0]


def ask_logged(
    path: str, behaviour: BrokenOffOnce, expected: Mapping[str, int] = MappingProxyType({}), **headers: str
) -> tuple[Message, list[LogLine]]:
    """The client's response, and the log lines about the request, which are counted.

    `expected`: other counters, as they have to be then.
    """
    responses = []
    log: list[LogLine] = []

    async def scenario() -> None:
        async with Fleet(behaviour, behaviour, document=document()) as fleet:
            responses.append(await fleet.ask(path, **headers))
            log.extend(line for line in fleet.log if "request" in line[1])
            expected_counters = {event: 1 for event, _ in log} | dict(expected)
            assert expected_counters.items() <= fleet.plane.counters.items()

    with mock.patch.object(retrying, "TRANSIENT_BASE_MS", 1.0):
        run(scenario())
    return responses[0], log


@pytest.mark.parametrize("path", ["/safe/x", "/resumable/x"])
@pytest.mark.parametrize("ending", [reset, close])
def test_part_of_a_first_event_is_not_joined_to_the_next_response(path: str, ending: Ending) -> None:
    # Guards against an event made of the first upstream's last bytes and the second upstream's first event.
    for sent_bytes in range(len(event(1))):
        behaviour = BrokenOffOnce(part_of_chunk(event(1), sent_bytes), ending, chunk(EVENTS))
        response = ask(path, behaviour)
        assert (response.status, response.body) == (200, EVENTS), sent_bytes
        assert behaviour.last_event_ids == [None, None]


@pytest.mark.parametrize(
    ("path", "before"),
    [
        pytest.param("/safe/x", b"", id="first event, safe"),
        pytest.param("/resumable/x", b"", id="first event, resumable"),
        pytest.param("/resumable/x", event(1), id="later event, resumable"),
    ],
)
def test_a_stream_that_ends_in_order_within_an_event_is_sent_again(path: str, before: bytes) -> None:
    # Guards against part of an event that the client takes for the last one of a complete stream.
    for sent_bytes in range(1, len(event(2))):
        first = chunk(before + EVENTS.removeprefix(before)[:sent_bytes])
        behaviour = BrokenOffOnce(first, end_in_order, chunk(EVENTS.removeprefix(before)))
        response = ask(path, behaviour)
        assert (response.status, response.body) == (200, EVENTS), sent_bytes
        assert behaviour.last_event_ids == [None, "1" if before else None]


def test_a_stream_that_ends_in_order_within_an_event_and_cannot_resume_is_truncated() -> None:
    # Guards against the same fault where no other upstream may continue.
    for sent_bytes in range(1, len(event(2))):
        behaviour = BrokenOffOnce(chunk(event(1) + event(2)[:sent_bytes]), end_in_order, b"")
        with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
            ask("/stream/x", behaviour)
        assert len(behaviour.last_event_ids) == 1


@pytest.mark.parametrize("path", ["/safe/x", "/resumable/x"])
def test_a_first_event_that_is_too_long_is_not_joined_to_the_next_response(path: str) -> None:
    # Guards against the same fault where the first attempt ends because its event exceeds the limit.
    behaviour = BrokenOffOnce(chunk(b"x" * (MAX_EVENT_BYTES + 1)), lambda writer: None, chunk(EVENTS))
    with mock.patch.object(event_stream, "MAX_EVENT_BYTES", MAX_EVENT_BYTES):
        response = ask(path, behaviour)
    assert (response.status, response.body) == (200, EVENTS)


@pytest.mark.parametrize(
    ("first", "headers"),
    [
        pytest.param(NO_ID_EVENT, {"Last_Event_Id": "7"}, id="the client's id"),
        pytest.param(event(1) + NO_ID_EVENT, {}, id="an earlier event's id"),
    ],
)
def test_a_stream_is_not_resumed_after_an_event_without_an_id(first: bytes, headers: dict[str, str]) -> None:
    # Guards against an event that arrives twice: the upstream would resume before it, at an older id.
    behaviour = BrokenOffOnce(chunk(first) + part_of_chunk(event(8), 3), close, chunk(NO_ID_EVENT + event(8)))
    with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
        ask("/resumable/x", behaviour, **headers)
    assert len(behaviour.last_event_ids) == 1


def test_a_stream_is_resumed_after_an_event_with_an_id_that_follows_one_without() -> None:
    first = NO_ID_EVENT + event(1)
    behaviour = BrokenOffOnce(chunk(first) + part_of_chunk(event(2), 3), close, chunk(event(2)))
    response = ask("/resumable/x", behaviour)
    assert (response.status, response.body) == (200, first + event(2))
    assert behaviour.last_event_ids == [None, "1"]


@pytest.mark.parametrize("event_id", ["caf\u00e9", "\U0001f600", "a\tb"])
def test_the_id_after_which_a_stream_resumes_reaches_the_upstream_byte_for_byte(event_id: str) -> None:
    # Guards against a stream that starts anew, as the upstream doesn't know the id that it is asked for.
    first = b"id: %s\ndata: a\n\n" % event_id.encode()
    behaviour = BrokenOffOnce(chunk(first) + part_of_chunk(event(2), 3), close, chunk(event(2)))
    response = ask("/resumable/x", behaviour)
    assert (response.status, response.body) == (200, first + event(2))
    assert behaviour.last_event_ids == [None, event_id.encode().decode("latin-1")]


@pytest.mark.parametrize("event_id", [b"a\x01", b"\x00", b"\x7f", b"\xff"])
def test_a_stream_is_not_resumed_after_an_id_that_no_header_can_hold(event_id: bytes) -> None:
    # Guards against an exception in place of the next attempt, and against another id than the event's.
    first = b"id: %s\ndata: a\n\n" % event_id
    behaviour = BrokenOffOnce(chunk(first) + part_of_chunk(event(2), 3), close, chunk(first + event(2)))
    with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
        ask("/resumable/x", behaviour)
    assert len(behaviour.last_event_ids) == 1


async def read_until_close(port: int, path: str) -> bytes:
    """What a client of HTTP/1.0 receives until its connection is closed."""
    reader, writer = await asyncio.open_connection(HOST, port)
    head = f"POST {path} HTTP/1.0\r\nHost: {CLIENT_HOST}\r\nX-Request-Id: r-1\r\nX-Key: k-acme\r\n"
    writer.write(f"{head}X-Deadline-Ms: 4000\r\nContent-Length: 0\r\n\r\n".encode())
    try:
        return await reader.read()
    finally:
        writer.transport.abort()


def test_a_truncated_stream_resets_the_connection_of_a_client_of_http_1_0() -> None:
    # Guards against a part of a stream that appears complete, as its end is the connection's.
    async def scenario() -> None:
        behaviour = BrokenOffOnce(chunk(event(1)) + part_of_chunk(event(2), 3), close, chunk(EVENTS))
        async with Fleet(behaviour, document=document()) as fleet:
            with pytest.raises(ConnectionResetError):
                await read_until_close(fleet.port, "/stream/x")
            received = await read_until_close(fleet.port, "/stream/x")
            assert received.endswith(b"\r\n\r\n" + EVENTS)

    run(scenario())


@pytest.mark.parametrize(
    "later",
    [pytest.param(event(2)[:-1], id="known event"), pytest.param(event(3)[:-1], id="new event")],
)
def test_a_resumed_stream_that_ends_in_order_within_an_event_is_truncated(later: bytes) -> None:
    # Guards against part of an event at the end of a complete stream, and against an event that comes twice.
    behaviour = BrokenOffOnce(chunk(EVENTS) + part_of_chunk(event(3), 3), close, chunk(later))
    with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
        ask("/resumable/x", behaviour)
    assert behaviour.last_event_ids == [None, "2"]


@pytest.mark.parametrize("rest", [b"\n", b"\r\n", b": end\n", b": end", b": a\n: b"])
def test_comments_and_blank_lines_behind_the_last_event_are_relayed(rest: bytes) -> None:
    behaviour = BrokenOffOnce(chunk(EVENTS + rest), end_in_order, b"")
    response = ask("/stream/x", behaviour)
    assert (response.status, response.body) == (200, EVENTS + rest)


@pytest.mark.parametrize(
    ("before", "event_logged", "details"),
    [
        pytest.param(b"", "retried", {"discarded_bytes": 3}, id="within the first event"),
        pytest.param(
            event(1), "stream_resumed", {"after": "1", "discarded_bytes": 3}, id="within a later event"
        ),
    ],
)
def test_log_tells_where_a_stream_broke_off_that_was_sent_again(
    before: bytes, event_logged: str, details: dict[str, object]
) -> None:
    first = (chunk(before) if before else b"") + part_of_chunk(event(2), 3)
    later = event(2) if before else EVENTS
    response, log = ask_logged("/resumable/x", BrokenOffOnce(first, close, chunk(later)))
    assert response.body == EVENTS
    [(name, fields)] = log
    assert fields.pop("attempts") in (["i-0"], ["i-1"])
    expected = {"request": "r-1", "route": "resumable", "last": "broken", "unsaid_before": 0}
    assert (name, fields) == (event_logged, {**expected, **details})


def test_log_and_counters_tell_that_a_stream_ended_in_order_within_an_event() -> None:
    behaviour = BrokenOffOnce(chunk(event(1) + event(2)[:-1]), end_in_order, chunk(event(2)))
    response, [(name, fields)] = ask_logged("/resumable/x", behaviour, expected={"attempt truncated": 1})
    assert response.body == EVENTS
    assert (name, fields["after"], fields["discarded_bytes"]) == ("stream_resumed", "1", len(event(2)) - 1)
