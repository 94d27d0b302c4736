"""Rules for the next view: which replicas leave or join the in-sync set, and which become members."""

from __future__ import annotations

import msgspec

from madderwind.messages.replication import Member, View


class PeerHealth(msgspec.Struct, frozen=True):
    """The health of another replica, as input for the next view.

    Attributes:
        member: The replica.
        is_ready: Whether it holds all entries that are or may be committed, and keeps up.
        is_unhealthy: Whether it delays commits or is about to stop.
        is_replaceable: Whether another machine may replace it as a member.
        idle_ms: Time since its last message.
    """

    member: Member
    is_ready: bool
    is_unhealthy: bool
    is_replaceable: bool
    idle_ms: float = 0.0


class MembershipRules(msgspec.Struct, frozen=True):
    """Size rules for a group of replicas.

    Attributes:
        tolerance: Number of replicas that may be lost at once.
        goal: Target number of members.
    """

    tolerance: int
    goal: int

    @property
    def smallest_in_sync(self) -> int:
        """Minimum number of replicas that must hold a command before it is acknowledged."""
        return self.tolerance + 1


def membership_goal(tolerance: int, seeds: int) -> int:
    """Return the target number of members: an odd number, large enough for the tolerance."""
    largest_odd_number = seeds if seeds % 2 else seeds - 1
    return max(2 * tolerance + 1, largest_odd_number)


def next_view(
    view: View, primary: Member, peers: dict[str, PeerHealth], rules: MembershipRules
) -> View | None:
    """Return the view that the current primary should propose, or None if no change is needed."""
    members = _next_members(view, primary, peers, rules)
    in_sync = _next_in_sync(view, primary, members, peers, rules)
    if members == view.members and set(in_sync) == set(view.in_sync):
        return None
    return View(view.epoch + 1, primary.incarnation, in_sync, members)


def takeover_view(
    view: View,
    successor: Member,
    promised_by: frozenset[str],
    is_transfer: bool,
    rules: MembershipRules,
) -> View:
    """Return the view in which a replica of the in-sync set becomes primary.

    The old primary stays in the set only if it promised and did not transfer leadership, or if the set would
    otherwise be too small.

    Args:
        view: The current view.
        successor: The candidate that is to become primary.
        promised_by: Incarnations of the members that promised.
        is_transfer: Whether the old primary transferred leadership.
        rules: The size rules.
    """
    keeps_primary = view.primary in promised_by and not is_transfer
    in_sync = [name for name in view.in_sync if name != view.primary or keeps_primary]
    if len(in_sync) < rules.smallest_in_sync or successor.incarnation not in in_sync:
        in_sync = list(view.in_sync)
    return View(view.epoch + 1, successor.incarnation, tuple(in_sync), view.members)


def initial_view(primary: Member, members: tuple[Member, ...]) -> View:
    """Return the first view: all given members are in sync, since the log is still empty."""
    return View(1, primary.incarnation, tuple(member.incarnation for member in members), members)


def _next_members(
    view: View, primary: Member, peers: dict[str, PeerHealth], rules: MembershipRules
) -> tuple[Member, ...]:
    """Return the members after at most one ready replica has been added."""
    newcomers = [
        health.member
        for incarnation, health in peers.items()
        if health.is_ready and not view.has_member(incarnation)
    ]
    for newcomer in newcomers:
        replaced = _member_to_replace(newcomer, view, primary, peers)
        if replaced is not None:
            return tuple(newcomer if member == replaced else member for member in view.members)
        if len(view.members) < rules.goal:
            return (*view.members, newcomer)
    return view.members


def _member_to_replace(
    newcomer: Member, view: View, primary: Member, peers: dict[str, PeerHealth]
) -> Member | None:
    """Return the member that a newcomer replaces; None if there is none.

    This is the newcomer's own earlier incarnation, from before it lost its disk, or else the replaceable
    member that has been silent for longest.
    """
    candidates = [member for member in view.members if member != primary]
    for member in candidates:
        if member.address == newcomer.address:
            return member
    healths = [peers[member.incarnation] for member in candidates if member.incarnation in peers]
    replaceable = [health for health in healths if health.is_replaceable]
    longest_idle = max(replaceable, key=lambda health: health.idle_ms, default=None)
    return longest_idle.member if longest_idle is not None else None


def _next_in_sync(
    view: View,
    primary: Member,
    members: tuple[Member, ...],
    peers: dict[str, PeerHealth],
    rules: MembershipRules,
) -> tuple[str, ...]:
    """Return the ready members, and the healthy members of the current set.

    If the set would be too small to acknowledge commands, it keeps unhealthy members up to the minimum size,
    since removing them would gain nothing.
    """
    candidates = [member.incarnation for member in members if member != primary]
    healths = {name: peers[name] for name in candidates if name in peers}
    present = [name for name in candidates if name in view.in_sync]
    healthy = [name for name in present if name in healths and not healths[name].is_unhealthy]
    joining = [name for name in healths if name not in present and healths[name].is_ready]
    in_sync = [primary.incarnation, *healthy, *joining]
    unhealthy = [name for name in present if name not in healthy]
    missing = rules.smallest_in_sync - len(in_sync)
    return (*in_sync, *unhealthy[: max(0, missing)])
