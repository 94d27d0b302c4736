"""Messages between copies, as datagrams on loopback."""

from __future__ import annotations

import asyncio
import socket

import pytest

from madderwind.eventlog import Sparing
from madderwind.standalone.routing.peers import HEAD, MARK, MAX_MESSAGE_BYTES, Peers
from tests.examples import HOST
from tests.standalone.program.harness import KeptLog
from tests.standins import run, within

MessageQueue = asyncio.Queue[tuple[int, bytes]]


def free_ports(count: int) -> list[int]:
    sockets = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(count)]
    for probe in sockets:
        probe.bind((HOST, 0))
    ports = [probe.getsockname()[1] for probe in sockets]
    for probe in sockets:
        probe.close()
    return ports


async def start_three_copies(log: KeptLog) -> tuple[list[Peers], list[MessageQueue], list[tuple[str, int]]]:
    addresses = [(HOST, port) for port in free_ports(3)]
    received: list[MessageQueue] = [asyncio.Queue() for _ in addresses]
    copies = []
    for me, queue in enumerate(received):
        log_sparingly = Sparing(log, lambda: 0.0)
        peers = Peers(tuple(addresses), me, lambda n, w, queue=queue: queue.put_nowait((n, w)), log_sparingly)  # type: ignore[misc]
        await peers.start()
        copies.append(peers)
    return copies, received, addresses


def test_a_message_reaches_every_other_copy_or_one() -> None:
    async def test() -> None:
        copies, received, _ = await start_three_copies(KeptLog())
        copies[0].tell(None, b"all")
        copies[0].tell(2, b"one")
        assert await within(received[1].get()) == (0, b"all")
        assert [await within(received[2].get()) for _ in range(2)] == [(0, b"all"), (0, b"one")]
        assert received[0].empty() and received[1].empty()
        copies[2].close()
        copies[0].tell(None, b"one is down")  # the returned socket error has no effect
        assert await within(received[1].get()) == (0, b"one is down")
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
        HEAD.pack(MARK, 0) + b"x" * (MAX_MESSAGE_BYTES + 1),
    ],
)
def test_invalid_messages_are_ignored(data: bytes) -> None:
    """A rate under a wrong copy number would shrink every copy's room."""

    async def test() -> None:
        log = KeptLog()
        copies, received, addresses = await start_three_copies(log)
        assert copies[0]._transport is not None
        copies[0]._transport.sendto(data, addresses[1])
        copies[0].tell(1, b"good")
        assert await within(received[1].get()) == (0, b"good")
        assert received[1].empty() and len(log.named("odd_words")) == 1
        for peers in copies:
            peers.close()

    run(test())


def test_messages_from_an_unknown_address_are_ignored() -> None:
    async def test() -> None:
        log = KeptLog()
        copies, received, addresses = await start_three_copies(log)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as unknown_socket:
            unknown_socket.sendto(HEAD.pack(MARK, 0) + b"123", addresses[1])
        copies[0].tell(1, b"good")
        assert await within(received[1].get()) == (0, b"good")
        assert log.named("odd_words")
        for peers in copies:
            peers.close()

    run(test())
