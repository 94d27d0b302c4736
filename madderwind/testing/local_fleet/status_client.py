"""Reads how control planes stand, from the status that each gives at its internal address."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

import aiohttp
import msgspec

from madderwind.messages.status import ControlPlaneStatus

STATUS_PATH = "/status"
TIMEOUT_S = 1.0


class NodeStatus(msgspec.Struct, frozen=True):
    """What one control plane told; `status` None where it did not answer."""

    address: str
    status: ControlPlaneStatus | None


async def read_status(addresses: Sequence[str]) -> list[NodeStatus]:
    """The status of the control planes at these internal addresses."""
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
    """The node that is the primary, by who says so under the highest epoch; empty where nobody does."""
    claiming = [found.status for found in statuses if found.status is not None and found.status.is_primary]
    if not claiming:
        return ""
    return max(claiming, key=lambda status: status.epoch).node
