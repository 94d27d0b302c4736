"""Check whether a fleet has its full set of members."""

from __future__ import annotations

from tests.fleet.fleet import Fleet


def is_member_set_full(fleet: Fleet, member_count: int = 3) -> bool:
    """Whether the fleet has `member_count` members, all of which run, are in sync and are up to date.

    A member is up to date if the primary knows that it holds all committed entries in the epoch of the newest
    view.
    """
    primary = fleet.primary()
    replica = primary.replica if primary is not None else None
    view = replica.view if replica is not None else None
    primary_role = replica._roles.primary if replica is not None else None
    if replica is None or view is None or primary_role is None or len(view.members) != member_count:
        return False
    running = {machine.replica.incarnation for machine in fleet.running() if machine.replica is not None}
    expected = {member.incarnation for member in view.members}
    if not expected <= running or set(view.in_sync) != expected:
        return False
    committed = replica._store.committed_index
    backups = [primary_role.peers.get(incarnation) for incarnation in expected - {replica.incarnation}]
    return all(peer is not None and peer.is_in_epoch and peer.match_index >= committed for peer in backups)
