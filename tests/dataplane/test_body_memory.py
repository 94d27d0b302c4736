"""The memory of clients' bodies: it is released with the answer."""

from __future__ import annotations

import gc
from collections.abc import Iterator

import pytest

from tests.dataplane.fleet import Fleet, Message, Writer, document, served, until
from tests.standins import run

LONG_BODY = b"x" * 40_000


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
