"""Tests for cuts and delays between nodes, applied by relays over loopback addresses."""

from __future__ import annotations

import asyncio
import os
import random
import unittest
from collections.abc import Sequence

from madderwind.testing.fault_tests.plan import take_net
from madderwind.testing.local_fleet.layout import RelayLayout
from madderwind.testing.local_fleet.relays import FleetRelays, LinkCondition

DEADLINE_S = 10.0
# Longer than an undelayed message needs over loopback.
BLOCKED_TIMEOUT_S = 0.3


class FleetRelaysTest(unittest.IsolatedAsyncioTestCase):
    """This process acts as the node `caller`; an echo server acts as the node `echo` behind the relay."""

    async def asyncSetUp(self) -> None:
        net, lock = take_net(random.Random())
        self.addCleanup(lock.close)
        self.address = (f"127.{net}.10.1", 8080)
        target = (f"127.{net}.110.1", 8080)
        server = await asyncio.start_server(self._echo, *target)
        self.addCleanup(server.close)
        layout = RelayLayout("echo", f"{self.address[0]}:8080", f"{target[0]}:8080")
        self.relays = FleetRelays([layout], lambda: {"caller": os.getpid()})
        self.relays.listen()
        self.addAsyncCleanup(self.relays.end)

    async def _echo(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while line := await reader.readline():
            writer.write(line)
        writer.close()

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        reader, writer = await asyncio.open_connection(*self.address)
        self.addCleanup(writer.close)
        return reader, writer

    async def receives_echo(self, reader: asyncio.StreamReader, timeout_s: float = DEADLINE_S) -> bool:
        try:
            async with asyncio.timeout(timeout_s):
                return await reader.readline() == b"hello\n"
        except TimeoutError:
            return False

    async def cut(self, nodes: Sequence[str], between: Sequence[str] = ()) -> None:
        self.relays.set_conditions([LinkCondition("cut", tuple(nodes), tuple(between))])

    async def test_data_passes_without_a_cut(self) -> None:
        reader, writer = await self.connect()
        writer.write(b"hello\n")
        self.assertTrue(await self.receives_echo(reader))

    async def test_cut_blocks_open_and_new_connections_until_it_ends(self) -> None:
        reader, writer = await self.connect()
        writer.write(b"hello\n")
        self.assertTrue(await self.receives_echo(reader))
        await self.cut(["caller"], ["echo"])
        new_reader, new_writer = await self.connect()
        for each in (writer, new_writer):
            each.write(b"hello\n")
        self.assertFalse(await self.receives_echo(reader, BLOCKED_TIMEOUT_S))
        self.assertFalse(await self.receives_echo(new_reader, BLOCKED_TIMEOUT_S))
        self.relays.set_conditions([])
        self.assertTrue(await self.receives_echo(reader))
        self.assertTrue(await self.receives_echo(new_reader))

    async def test_cut_between_other_nodes_has_no_effect(self) -> None:
        await self.cut(["somebody"], ["echo"])
        reader, writer = await self.connect()
        writer.write(b"hello\n")
        self.assertTrue(await self.receives_echo(reader))

    async def test_isolated_node_accepts_no_connections_until_the_cut_ends(self) -> None:
        await self.cut(["echo"])
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(BLOCKED_TIMEOUT_S):
                await self.connect()
        self.relays.set_conditions([])
        reader, writer = await self.connect()
        writer.write(b"hello\n")
        self.assertTrue(await self.receives_echo(reader))

    async def test_slow_link_delays_both_directions(self) -> None:
        self.relays.set_conditions([LinkCondition("slow", ("caller",), ("echo",), late_ms=100.0)])
        reader, writer = await self.connect()
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        writer.write(b"hello\n")
        self.assertTrue(await self.receives_echo(reader))
        self.assertGreaterEqual(loop.time() - started_s, 0.2)


if __name__ == "__main__":
    unittest.main()
