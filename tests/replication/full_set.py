"""When the set of members of a fleet is full."""

from __future__ import annotations

from tests.fleet.fleet import Fleet


def is_full(fleet: Fleet, goal: int = 3) -> bool:
    """Whether there are as many members as there are to be, all of them run, are in sync, and are known to
    the primary to hold everything that is committed under the newest view's epoch."""
    primary = fleet.primary()
    replica = primary.replica if primary is not None else None
    view = replica.view if replica is not None else None
    role = replica._roles.primary if replica is not None else None
    if replica is None or view is None or role is None or len(view.members) != goal:
        return False
    running = {machine.replica.incarnation for machine in fleet.running() if machine.replica is not None}
    needed = {member.incarnation for member in view.members}
    if not needed <= running or set(view.in_sync) != needed:
        return False
    committed = replica._store.committed_index
    others = [role.peers.get(incarnation) for incarnation in needed - {replica.incarnation}]
    return all(peer is not None and peer.is_in_epoch and peer.match_index >= committed for peer in others)
