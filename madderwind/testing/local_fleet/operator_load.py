"""Sends small configuration changes, one after the other, while faults are injected."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

import msgspec

from madderwind.configuration.reading import Document, read_document
from madderwind.errors import ConfigurationError, OperatorCallError
from madderwind.testing.local_fleet.checker import CommandSent, ConfigurationRead
from madderwind.testing.local_fleet.layout import FleetLayout, NodeKind
from madderwind.testing.local_fleet.operator_client import OperatorClient

# Versions increase by more than 1: they need not be consecutive.
VERSION_STEP = 2
COMMAND_TIMEOUT_S, READ_TIMEOUT_S, READ_RETRY_INTERVAL_S = 6.0, 10.0, 0.1
# Name of the route that the first change adds and later changes modify.
CHANGED_ROUTE = "changed-by-the-operator"


class OperatorLoad:
    """Sends a change every `every_s` and records which ones were acknowledged."""

    def __init__(self, layout: FleetLayout, every_s: float) -> None:
        self._layout, self._every_s = layout, every_s
        self.commands: list[CommandSent] = []
        self._sent: dict[int, Document] = {}

    async def run(self) -> None:
        """Send changes until cancelled."""
        async with OperatorClient(self._layout.control, COMMAND_TIMEOUT_S) as client:
            while True:
                await self._change(client)
                await asyncio.sleep(self._every_s)

    async def _change(self, client: OperatorClient) -> None:
        try:
            current = await client.read()
            if not current.is_taken:
                return
            document = read_document(current.body)
            change = _next_change(document)
            changed = document.updated(change)
            self._sent[changed.version] = changed
            self.commands.append(CommandSent(changed.version, False))
            answer = await client.update(document.version, change)
        except (OperatorCallError, ConfigurationError):
            return
        if answer.is_taken:
            self.commands[-1] = CommandSent(changed.version, True)

    async def read_back(self) -> list[ConfigurationRead]:
        """Read the newest configuration from each control plane, retrying until it responds."""
        nodes = self._layout.of_kind(NodeKind.CONTROL_PLANE)
        async with OperatorClient(self._layout.control) as client:
            return list(
                await asyncio.gather(
                    *(
                        self._read_at(client, node.name, address)
                        for node, address in zip(nodes, self._layout.control, strict=True)
                    )
                )
            )

    async def _read_at(self, client: OperatorClient, node: str, address: str) -> ConfigurationRead:
        try:
            async with asyncio.timeout(READ_TIMEOUT_S):
                while True:
                    try:
                        answer = await client.read_at(address)
                    except OperatorCallError:
                        await asyncio.sleep(READ_RETRY_INTERVAL_S)
                        continue
                    document = read_document(answer.body)
                    return ConfigurationRead(node, document.version, self._matches(document))
        except (TimeoutError, ConfigurationError):
            return ConfigurationRead(node, 0)

    def _matches(self, document: Document) -> bool:
        sent = self._sent.get(document.version)
        return sent is None or sent.configuration == document.configuration


def _next_change(document: Document) -> bytes:
    """Encode a change that adds the operator's route or gives it another timeout."""
    first = document.configuration.routes[0]
    version = document.version + VERSION_STEP
    route = {
        "name": CHANGED_ROUTE,
        "host": first.host,
        "path_prefix": f"/{CHANGED_ROUTE}/",
        "route_type": "safe",
        "timeout_ms": 1000 + version,
        "service": first.service_names[0],
        "max_attempts": 1,
    }
    return msgspec.json.encode({"version": version, "upsert": {"routes": [route]}})


def count_acknowledged(commands: Sequence[CommandSent]) -> int:
    """Count the acknowledged commands."""
    return sum(command.acknowledged for command in commands)
