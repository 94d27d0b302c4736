"""Which view a primary would rather have: who leaves the in-sync set, who joins it, who becomes a member."""

from __future__ import annotations

import msgspec

from madderwind.messages.replication import Member, View


class PeerHealth(msgspec.Struct, frozen=True):
    """What counts about another replica.

    Attributes:
        member: The replica.
        is_ready: Whether it holds all that is or may be committed, and keeps up.
        is_lost: Whether it holds commits up, or is about to stop.
        is_replaceable: Whether another machine may take its place.
        idle_ms: Time since its last message.
    """

    member: Member
    is_ready: bool
    is_lost: bool
    is_replaceable: bool
    idle_ms: float = 0.0


class MembershipRules(msgspec.Struct, frozen=True):
    """How large a group of replicas is to be.

    Attributes:
        tolerance: How many replicas may be lost at once.
        goal: How many members there are to be.
    """

    tolerance: int
    goal: int

    @property
    def smallest_in_sync(self) -> int:
        """A command is acknowledged only when this many replicas hold it."""
        return self.tolerance + 1


def membership_goal(tolerance: int, seeds: int) -> int:
    """How many members there are to be: enough for the tolerance, and never an even number."""
    largest_odd_number = seeds if seeds % 2 else seeds - 1
    return max(2 * tolerance + 1, largest_odd_number)


def next_view(
    view: View, primary: Member, peers: dict[str, PeerHealth], rules: MembershipRules
) -> View | None:
    """The view to propose, by the primary of the present one; None where that is as good as any."""
    members = _with_newcomer(view, primary, peers, rules)
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
    """The view under which a replica of the in-sync set takes the primary's place.

    The old primary stays in the set only where it answered and did not transfer its role, or where the set
    would be too small without it.

    Args:
        view: The present view.
        successor: The replica that is to be primary.
        promised_by: Incarnations of the members that promised.
        is_transfer: Whether the old primary transferred its role.
        rules: The sizes to keep.
    """
    keeps_primary = view.primary in promised_by and not is_transfer
    in_sync = [name for name in view.in_sync if name != view.primary or keeps_primary]
    if len(in_sync) < rules.smallest_in_sync or successor.incarnation not in in_sync:
        in_sync = list(view.in_sync)
    return View(view.epoch + 1, successor.incarnation, tuple(in_sync), view.members)


def founding_view(founder: Member, members: tuple[Member, ...]) -> View:
    """The first view: all seeds are members and in sync, with nothing to be in sync about yet."""
    return View(1, founder.incarnation, tuple(member.incarnation for member in members), members)


def _with_newcomer(
    view: View, primary: Member, peers: dict[str, PeerHealth], rules: MembershipRules
) -> tuple[Member, ...]:
    """The members, with at most one replica that is ready taken in."""
    newcomers = [
        health.member
        for incarnation, health in peers.items()
        if health.is_ready and not view.has_member(incarnation)
    ]
    for newcomer in newcomers:
        replaced = _replaced_by(newcomer, view, primary, peers)
        if replaced is not None:
            return tuple(newcomer if member == replaced else member for member in view.members)
        if len(view.members) < rules.goal:
            return (*view.members, newcomer)
    return view.members


def _replaced_by(
    newcomer: Member, view: View, primary: Member, peers: dict[str, PeerHealth]
) -> Member | None:
    """The member whose place a newcomer takes: its own before it lost its disk, else one that is away."""
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
    """All that are ready, and those of the present set that are not lost.

    A set that would be too small to acknowledge anything keeps lost ones instead: nothing is gained without
    them.
    """
    candidates = [member.incarnation for member in members if member != primary]
    healths = {name: peers[name] for name in candidates if name in peers}
    present = [name for name in candidates if name in view.in_sync]
    healthy = [name for name in present if name in healths and not healths[name].is_lost]
    joining = [name for name in healths if name not in present and healths[name].is_ready]
    in_sync = [primary.incarnation, *healthy, *joining]
    lost = [name for name in present if name not in healthy]
    missing = rules.smallest_in_sync - len(in_sync)
    return (*in_sync, *lost[: max(0, missing)])
