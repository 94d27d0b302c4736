"""The `madderwind status` command: the state of a fleet as its control planes report it."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

import msgspec

from madderwind.errors import OperatorCallError
from madderwind.messages.status import ControlPlaneStatus
from madderwind.testing.local_fleet.status_client import NodeStatus, read_status


def status(addresses: Sequence[str], as_json: bool) -> int:
    """Print the status; return 1 if a control plane did not answer or none is primary."""
    node_statuses = asyncio.run(_read_member_statuses(addresses))
    received = [item.status for item in node_statuses if item.status is not None]
    if not received:
        raise OperatorCallError(f"no control plane answered at {', '.join(addresses)}")
    if as_json:
        print(msgspec.json.format(msgspec.json.encode(node_statuses)).decode())
    else:
        print(render_status(node_statuses))
    return int(len(received) < len(node_statuses) or not any(item.is_primary for item in received))


async def _read_member_statuses(addresses: Sequence[str]) -> list[NodeStatus]:
    """Read the status of these control planes and of all members that they list."""
    node_statuses = await read_status(addresses)
    known = {item.address for item in node_statuses} | {
        item.status.address for item in node_statuses if item.status
    }
    members = {member for item in node_statuses if item.status for member in item.status.members}
    return node_statuses + await read_status(sorted(members - known))


def render_status(node_statuses: Sequence[NodeStatus]) -> str:
    """Render the status as tables."""
    received = [item.status for item in node_statuses if item.status is not None]
    latest = max(received, key=lambda item: (item.epoch, item.is_primary, item.committed_version))
    in_sync = ", ".join(_node_name(received, item) for item in latest.in_sync) or "none"
    lines = [
        f"epoch {latest.epoch}, primary {_node_name(received, latest.primary) or 'unknown'}, version "
        f"{latest.committed_version}, in sync: {in_sync}",
        "",
        f"{'control plane':24}{'zone':16}{'role':10}{'epoch':>6}{'version':>9}{'lease age ms':>14}",
    ]
    for item in node_statuses:
        lines.append(_control_plane_row(item))
    lines += ["", f"{'data plane':24}{'zone':16}{'version':>8}{'lag':>5}  state"]
    planes = {plane.node: plane for item in received for plane in item.data_planes}
    for plane in sorted(planes.values(), key=lambda plane: plane.node):
        lag = "?" if plane.lag is None else str(plane.lag)
        lines.append(f"{plane.node:24}{plane.zone:16}{plane.applied_version:8d}{lag:>5}  {plane.state}")
    lines += ["", f"{'upstream':24}{'service':20}{'zone':16}{'address':24}{'state':10}{'silent ms':>10}"]
    for upstream in sorted(latest.upstreams, key=lambda upstream: (upstream.service, upstream.instance)):
        lines.append(
            f"{upstream.instance:24}{upstream.service:20}{upstream.zone:16}{upstream.address:24}"
            f"{upstream.state:10}{upstream.heartbeat_age_ms:10.0f}"
        )
    return "\n".join(lines)


def _control_plane_row(node_status: NodeStatus) -> str:
    status = node_status.status
    if status is None:
        return f"{node_status.address:24}{'':16}no answer"
    role = "primary" if status.is_primary else "backup" if status.address in status.in_sync else "learner"
    age = "?" if status.fresh_age_ms is None else f"{status.fresh_age_ms:.0f}"
    return f"{status.node:24}{status.zone:16}{role:10}{status.epoch:6d}{status.committed_version:9d}{age:>14}"


def _node_name(received: Sequence[ControlPlaneStatus], address: str) -> str:
    """The name of the node with this address, or the address if no status has it."""
    return next((status.node for status in received if status.address == address), address)
