"""Words between copies, as datagrams on loopback."""

from __future__ import annotations

import asyncio
import socket

import pytest

from madderwind.eventlog import Sparing
from madderwind.standalone.routing.peers import HEAD, LONGEST_WORDS, MARK, Peers
from tests.examples import HOST
from tests.standalone.program.harness import KeptLog
from tests.standins import run, within

Heard = asyncio.Queue[tuple[int, bytes]]


def free_ports(count: int) -> list[int]:
    sockets = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(count)]
    for taken in sockets:
        taken.bind((HOST, 0))
    ports = [taken.getsockname()[1] for taken in sockets]
    for taken in sockets:
        taken.close()
    return ports


async def three(log: KeptLog) -> tuple[list[Peers], list[Heard], list[tuple[str, int]]]:
    addresses = [(HOST, port) for port in free_ports(3)]
    heard: list[Heard] = [asyncio.Queue() for _ in addresses]
    copies = []
    for me, queue in enumerate(heard):
        said = Sparing(log, lambda: 0.0)
        peers = Peers(tuple(addresses), me, lambda n, w, queue=queue: queue.put_nowait((n, w)), said)  # type: ignore[misc]
        await peers.start()
        copies.append(peers)
    return copies, heard, addresses


def test_words_reach_every_other_copy_or_one() -> None:
    async def test() -> None:
        copies, heard, _ = await three(KeptLog())
        copies[0].tell(None, b"all")
        copies[0].tell(2, b"one")
        assert await within(heard[1].get()) == (0, b"all")
        assert [await within(heard[2].get()) for _ in range(2)] == [(0, b"all"), (0, b"one")]
        assert heard[0].empty() and heard[1].empty()
        copies[2].close()
        copies[0].tell(None, b"one is down")  # an error that comes back disturbs nobody
        assert await within(heard[1].get()) == (0, b"one is down")
        for peers in copies:
            peers.close()

    run(test())


@pytest.mark.parametrize(
    "data",
    [
        b"mdw1",
        b"noise from elsewhere",
        HEAD.pack(MARK, 2) + b"another's number",
        HEAD.pack(MARK, 1) + b"the hearer's own",
        HEAD.pack(MARK, 99) + b"nobody's",
        HEAD.pack(MARK, 0) + b"x" * (LONGEST_WORDS + 1),
    ],
)
def test_words_that_are_not_a_copys_own_are_passed_over(data: bytes) -> None:
    """Guards against a rate under a wrong number, which would shrink everybody's room."""

    async def test() -> None:
        log = KeptLog()
        copies, heard, addresses = await three(log)
        assert copies[0]._transport is not None
        copies[0]._transport.sendto(data, addresses[1])
        copies[0].tell(1, b"good")
        assert await within(heard[1].get()) == (0, b"good")
        assert heard[1].empty() and len(log.named("odd_words")) == 1
        for peers in copies:
            peers.close()

    run(test())


def test_words_from_another_address_are_passed_over() -> None:
    async def test() -> None:
        log = KeptLog()
        copies, heard, addresses = await three(log)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as stranger:
            stranger.sendto(HEAD.pack(MARK, 0) + b"123", addresses[1])
        copies[0].tell(1, b"good")
        assert await within(heard[1].get()) == (0, b"good")
        assert log.named("odd_words")
        for peers in copies:
            peers.close()

    run(test())
