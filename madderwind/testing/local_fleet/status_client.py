"""Reads the status that each control plane serves at its internal address."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

import aiohttp
import msgspec

from madderwind.messages.status import ControlPlaneStatus

STATUS_PATH = "/status"
TIMEOUT_S = 1.0


class NodeStatus(msgspec.Struct, frozen=True):
    """The status of one control plane; `status` is None without a valid response."""

    address: str
    status: ControlPlaneStatus | None


async def read_status(addresses: Sequence[str]) -> list[NodeStatus]:
    """Read the status of the control planes at these internal addresses."""
    timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
    async with aiohttp.ClientSession(timeout=timeout, trust_env=False) as session:
        return list(await asyncio.gather(*(_read(session, address) for address in addresses)))


async def _read(session: aiohttp.ClientSession, address: str) -> NodeStatus:
    try:
        async with session.get(f"http://{address}{STATUS_PATH}") as answer:
            content = await answer.read()
            if answer.status != 200:
                return NodeStatus(address, None)
    except (aiohttp.ClientError, OSError, TimeoutError):
        return NodeStatus(address, None)
    try:
        return NodeStatus(address, msgspec.json.decode(content, type=ControlPlaneStatus))
    except msgspec.MsgspecError:
        return NodeStatus(address, None)


def primary_of(statuses: Sequence[NodeStatus]) -> str:
    """The node that claims to be primary with the highest epoch; empty if no node claims it."""
    claiming = [
        node_status.status
        for node_status in statuses
        if node_status.status is not None and node_status.status.is_primary
    ]
    if not claiming:
        return ""
    return max(claiming, key=lambda status: status.epoch).node
