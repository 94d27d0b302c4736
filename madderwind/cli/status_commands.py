"""`madderwind status`: how a fleet stands, as its control planes tell."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

import msgspec

from madderwind.errors import OperatorCallError
from madderwind.messages.status import ControlPlaneStatus
from madderwind.testing.local_fleet.status_client import NodeStatus, read_status


def status(addresses: Sequence[str], as_json: bool) -> int:
    """Print the status; 1 where a control plane did not answer or nobody is primary."""
    found = asyncio.run(_with_members(addresses))
    told = [each.status for each in found if each.status is not None]
    if not told:
        raise OperatorCallError(f"no control plane answered at {', '.join(addresses)}")
    if as_json:
        print(msgspec.json.format(msgspec.json.encode(found)).decode())
    else:
        print(render_status(found))
    return int(len(told) < len(found) or not any(each.is_primary for each in told))


async def _with_members(addresses: Sequence[str]) -> list[NodeStatus]:
    """The status of these control planes and of all members that they tell of."""
    found = await read_status(addresses)
    known = {each.address for each in found} | {each.status.address for each in found if each.status}
    members = {member for each in found if each.status for member in each.status.members}
    return found + await read_status(sorted(members - known))


def render_status(found: Sequence[NodeStatus]) -> str:
    """The status as tables."""
    told = [each.status for each in found if each.status is not None]
    best = max(told, key=lambda each: (each.epoch, each.is_primary, each.committed_version))
    in_sync = ", ".join(_name(told, each) for each in best.in_sync) or "none"
    lines = [
        f"epoch {best.epoch}, primary {_name(told, best.primary) or 'unknown'}, version "
        f"{best.committed_version}, in sync: {in_sync}",
        "",
        f"{'control plane':24}{'zone':16}{'role':10}{'epoch':>6}{'version':>9}{'lease age ms':>14}",
    ]
    for each in found:
        lines.append(_control_plane_row(each))
    lines += ["", f"{'data plane':24}{'zone':16}{'version':>8}{'lag':>5}  state"]
    planes = {plane.node: plane for each in told for plane in each.data_planes}
    for plane in sorted(planes.values(), key=lambda plane: plane.node):
        lag = "?" if plane.lag is None else str(plane.lag)
        lines.append(f"{plane.node:24}{plane.zone:16}{plane.applied_version:8d}{lag:>5}  {plane.state}")
    lines += ["", f"{'upstream':24}{'service':20}{'zone':16}{'address':24}{'state':10}{'silent ms':>10}"]
    for upstream in sorted(best.upstreams, key=lambda upstream: (upstream.service, upstream.instance)):
        lines.append(
            f"{upstream.instance:24}{upstream.service:20}{upstream.zone:16}{upstream.address:24}"
            f"{upstream.state:10}{upstream.heartbeat_age_ms:10.0f}"
        )
    return "\n".join(lines)


def _control_plane_row(found: NodeStatus) -> str:
    status = found.status
    if status is None:
        return f"{found.address:24}{'':16}no answer"
    role = "primary" if status.is_primary else "backup" if status.address in status.in_sync else "learner"
    age = "?" if status.fresh_age_ms is None else f"{status.fresh_age_ms:.0f}"
    return f"{status.node:24}{status.zone:16}{role:10}{status.epoch:6d}{status.committed_version:9d}{age:>14}"


def _name(told: Sequence[ControlPlaneStatus], address: str) -> str:
    """The node's name where one of those that told has this address."""
    return next((status.node for status in told if status.address == address), address)
