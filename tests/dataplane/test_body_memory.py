"""The memory of clients' bodies: how much is held at a time, and that it is released with the answer."""

from __future__ import annotations

import asyncio
import gc
from collections.abc import Iterator
from unittest import mock

import pytest

from madderwind.dataplane import service
from madderwind.dataplane.body_memory import (
    MIN_BODY_MEMORY_BYTES,
    SHORT_BODY_BYTES,
    BodyMemoryFull,
    BodyReservation,
    body_memory_bytes,
)
from madderwind.testing.fault_tests.wire import chunk
from madderwind.transport.budget import MIB, Budget
from tests.dataplane.fleet import CLIENT_HOST, Client, Fleet, Message, Writer, document, served, until
from tests.examples import HOST
from tests.standins import run, silent

MAX_BYTES = 60_000
LONG_BODY = b"x" * 40_000


@pytest.fixture
def little_memory() -> Iterator[None]:
    """Data planes hold at most `MAX_BYTES` of bodies."""
    with mock.patch.object(service, "body_memory_bytes", lambda memory_mb: MAX_BYTES):
        yield


@pytest.fixture
def no_collection_of_cycles() -> Iterator[None]:
    gc.collect()
    gc.disable()
    yield
    gc.enable()


async def serve_and_forget(message: Message, writer: Writer) -> None:
    await served()(message, writer)
    message.body = b""


def held_bodies(body: bytes) -> int:
    """How many bodies like this one are referred to by this process's objects."""
    found = {
        id(value)
        for container in gc.get_objects()
        for value in gc.get_referents(container)
        if isinstance(value, bytes) and value is not body and value == body
    }
    return len(found)


@pytest.mark.parametrize("path", ["/safe/x", "/unsafe/x"])
@pytest.mark.usefixtures("no_collection_of_cycles")
def test_a_body_is_released_with_its_answer(path: str) -> None:
    # Guards against a process that grows by each long body, as its request and the connection keep it.
    async def scenario() -> None:
        async with Fleet(serve_and_forget, serve_and_forget, document=document()) as fleet:
            for _ in range(5):
                assert (await fleet.ask(path, body=LONG_BODY)).status == 200
            await until(lambda: not held_bodies(LONG_BODY))

    run(scenario())


@pytest.mark.usefixtures("little_memory")
def test_a_body_for_which_there_is_no_memory_is_refused_before_it_is_read() -> None:
    # Guards against a process that is killed, as many clients send long bodies at the same time.
    async def scenario() -> None:
        async with Fleet(silent, document=document()) as fleet:
            holding = await hold(fleet)
            head = await answer_to_part(fleet, f"Content-Length: {len(LONG_BODY)}")
            assert head.startswith(b"HTTP/1.1 503")
            assert b"Retry-After" in head
            assert len(fleet.upstreams[0].asked) == 1
            holding.caller.writer.transport.abort()
            fleet.upstreams[0].behave = served()
            await until(lambda: fleet.plane._listener.open_requests == 0)
            assert (await fleet.ask("/unsafe/x", body=LONG_BODY)).status == 200

    run(scenario())


@pytest.mark.usefixtures("little_memory")
def test_a_client_that_is_still_sending_receives_the_refusal() -> None:
    # Guards against a reset that overtakes the answer.
    async def scenario() -> None:
        limits = {**document()["limits"], "max_body_bytes": 8 * MIB}
        async with Fleet(silent, document=document(limits=limits)) as fleet:
            await hold(fleet)
            response = await fleet.ask("/unsafe/x", body=b"x" * 4 * MIB)
            assert (response.status, response.header("Connection")) == (503, "close")

    run(scenario())


@pytest.mark.usefixtures("little_memory")
def test_a_body_of_unknown_length_is_refused_once_it_is_too_long() -> None:
    async def scenario() -> None:
        async with Fleet(silent, document=document()) as fleet:
            await hold(fleet)
            head = await answer_to_part(fleet, "Transfer-Encoding: chunked", chunk(LONG_BODY))
            assert head.startswith(b"HTTP/1.1 503")
            assert len(fleet.upstreams[0].asked) == 1

    run(scenario())


@pytest.mark.usefixtures("little_memory")
def test_a_short_body_is_never_refused() -> None:
    async def scenario() -> None:
        async with Fleet(silent, document=document()) as fleet:
            await hold(fleet)
            for count in range(2, 6):
                await hold(fleet, b"x" * SHORT_BODY_BYTES)
                assert len(fleet.upstreams[0].asked) == count

    run(scenario())


async def hold(fleet: Fleet, body: bytes = LONG_BODY) -> Client:
    """A client whose request is at the only upstream, which does not answer."""
    client = await fleet.client()
    client.write("/unsafe/x", body=body)
    await fleet.upstreams[0].arrivals.get()
    return client


async def answer_to_part(fleet: Fleet, framing: str, sent: bytes = b"") -> bytes:
    """The head of the answer to a request of which the first bytes of the body are sent."""
    reader, writer = await asyncio.open_connection(HOST, fleet.port)
    head = ["POST /unsafe/x HTTP/1.1", f"Host: {CLIENT_HOST}", "X-Key: k-acme", "X-Request-Id: r", framing]
    writer.write("\r\n".join([*head, "", ""]).encode() + sent)
    try:
        return await reader.readuntil(b"\r\n\r\n")
    finally:
        writer.transport.abort()


def test_a_sole_request_is_never_refused() -> None:
    memory = Budget(MAX_BYTES)
    with BodyReservation(memory) as sole:
        sole.extend_to(10 * MAX_BYTES)
        with BodyReservation(memory) as other, pytest.raises(BodyMemoryFull):
            other.extend_to(SHORT_BODY_BYTES + 1)
    with BodyReservation(memory) as next_one:
        next_one.extend_to(MAX_BYTES)


def test_reservations_add_up_to_the_maximum() -> None:
    memory = Budget(MAX_BYTES)
    with BodyReservation(memory) as first, BodyReservation(memory) as second:
        first.extend_to(20_000)
        second.extend_to(20_000)
        second.extend_to(MAX_BYTES - 20_000)
        with pytest.raises(BodyMemoryFull):
            first.extend_to(20_001)
        first.extend_to(10_000)


@pytest.mark.parametrize(("memory_mb", "max_bytes"), [(300, 90 * MIB), (64, MIN_BODY_MEMORY_BYTES)])
def test_the_maximum_follows_from_the_memory_of_the_machine(memory_mb: float, max_bytes: int) -> None:
    assert body_memory_bytes(memory_mb) == max_bytes
