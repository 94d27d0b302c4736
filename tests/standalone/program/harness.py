"""A service in this process, with stand-ins round it."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

from madderwind.standalone.program.configuration import read_configuration
from madderwind.standalone.program.log import JsonLog
from madderwind.standalone.program.service import Service
from tests import examples
from tests.standins import Agent, Upstream, within


class KeptLog(JsonLog):
    """A log that a test can read."""

    def __init__(self) -> None:
        super().__init__("n3", -1)
        self.events: list[tuple[str, dict[str, Any]]] = []

    def __call__(self, event: str, /, **fields: object) -> None:
        super().__call__(event, **fields)  # what cannot be written as JSON must fail here too
        self.events.append((event, fields))

    def named(self, event: str) -> list[dict[str, Any]]:
        return [fields for name, fields in self.events if name == event]


async def call(port: int, raw: bytes) -> str:
    """What the second address says to these bytes, until it closes."""
    reader, writer = await asyncio.open_connection(examples.HOST, port)
    try:
        writer.write(raw)
        said: bytes = await within(reader.read())
        return said.decode()
    finally:
        writer.close()


class Running:
    """A service that runs among these upstreams, numbered in order, and follows an agent."""

    def __init__(self, folder: Path, *upstreams: Upstream, **ceilings: Any) -> None:
        self._folder, self._upstreams, self._ceilings = folder, upstreams, ceilings
        self._old: list[asyncio.Task[None]] = []
        self.agent = Agent()
        self.log = KeptLog()

    async def __aenter__(self) -> Running:
        await self.agent.start()
        for upstream in self._upstreams:
            await upstream.start()
        members = [examples.member(f"s-{n}", u.port) for n, u in enumerate(self._upstreams)]
        path = self._folder / "config.json"
        path.write_bytes(
            examples.configuration(examples.listing(*members), self.agent.port, **self._ceilings)
        )
        self.service, self.task = self.new()
        await within(self.service.ready.wait())
        return self

    def new(self) -> tuple[Service, asyncio.Task[None]]:
        """One more process of this balancer."""
        configuration = read_configuration(str(self._folder / "config.json"))
        service = Service(configuration, self.log, str(self._folder))
        return service, asyncio.create_task(service.run())

    async def upgrade(self) -> Service:
        """One more process of this balancer, which serves, in the place of the one before; that one."""
        old = self.service
        self._old.append(self.task)
        self.service, self.task = self.new()
        await within(self.service.ready.wait())
        return old

    @property
    def port(self) -> int:
        return self.service.port

    async def call(self, line: str) -> str:
        """An operator's call at the second address, and all that it answers."""
        return await call(self.service.admin_port, line.encode() + b"\n")

    async def figure(self, name: str) -> int:
        """One of the figures at the second address; -1 where it is not among them."""
        lines = (line.rpartition(" ") for line in (await self.call("METRICS")).splitlines())
        return next((int(value) for said, _, value in lines if said == f"svc_{name}"), -1)

    @property
    def broken(self) -> dict[str, int]:
        return dict(self.service.copy.invariants.broken)

    async def settled(self) -> None:
        """Until no request is open."""
        while self.service.copy.open:
            await asyncio.sleep(0)

    async def __aexit__(self, *_: object) -> None:
        tasks = [self.task, *self._old]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for listener in (self.agent, *self._upstreams):
            await listener.__aexit__()
