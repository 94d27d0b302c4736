"""A balancer service in the test process, with stand-ins for its upstreams and discovery."""

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
    """A log that also records its events for assertions."""

    def __init__(self) -> None:
        super().__init__("n3", -1)
        self.events: list[tuple[str, dict[str, Any]]] = []

    def __call__(self, event: str, /, **fields: object) -> None:
        super().__call__(event, **fields)  # so that fields that JSON cannot express fail here too
        self.events.append((event, fields))

    def named(self, event: str) -> list[dict[str, Any]]:
        return [fields for name, fields in self.events if name == event]


async def call(port: int, raw: bytes) -> str:
    """Send bytes to the admin address and return everything it answers until it closes."""
    reader, writer = await asyncio.open_connection(examples.HOST, port)
    try:
        writer.write(raw)
        received: bytes = await within(reader.read())
        return received.decode()
    finally:
        writer.close()


class Running:
    """A running service with these upstreams, numbered in order, and a discovery agent."""

    def __init__(self, folder: Path, *upstreams: Upstream, **settings: Any) -> None:
        self._folder, self._upstreams, self._settings = folder, upstreams, settings
        self._old_tasks: list[asyncio.Task[None]] = []
        self.agent = Agent()
        self.log = KeptLog()

    async def __aenter__(self) -> Running:
        await self.agent.start()
        for upstream in self._upstreams:
            await upstream.start()
        members = [examples.member(f"s-{n}", u.port) for n, u in enumerate(self._upstreams)]
        path = self._folder / "config.json"
        path.write_bytes(
            examples.configuration(examples.listing(*members), self.agent.port, **self._settings)
        )
        self.service, self.task = self.new()
        await within(self.service.ready.wait())
        return self

    def new(self) -> tuple[Service, asyncio.Task[None]]:
        """Start another process of this balancer."""
        configuration = read_configuration(str(self._folder / "config.json"))
        service = Service(configuration, self.log, str(self._folder))
        return service, asyncio.create_task(service.run())

    async def upgrade(self) -> Service:
        """Start another process of this balancer, wait until it serves, and return the previous one."""
        old = self.service
        self._old_tasks.append(self.task)
        self.service, self.task = self.new()
        await within(self.service.ready.wait())
        return old

    @property
    def port(self) -> int:
        return self.service.port

    async def call(self, line: str) -> str:
        """Send an operator command to the admin address and return its answer."""
        return await call(self.service.admin_port, line.encode() + b"\n")

    async def figure(self, name: str) -> int:
        """The value of one metric at the admin address; -1 if it is absent."""
        lines = (line.rpartition(" ") for line in (await self.call("METRICS")).splitlines())
        return next((int(value) for metric, _, value in lines if metric == f"svc_{name}"), -1)

    @property
    def broken(self) -> dict[str, int]:
        return dict(self.service.copy.invariants.broken)

    async def settled(self) -> None:
        """Wait until no request is open."""
        while self.service.copy.open:
            await asyncio.sleep(0)

    async def __aexit__(self, *_: object) -> None:
        tasks = [self.task, *self._old_tasks]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for listener in (self.agent, *self._upstreams):
            await listener.__aexit__()
