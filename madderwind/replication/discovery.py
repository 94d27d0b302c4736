"""How replicas find each other: announcements to known addresses, and the founding of the first view."""

from __future__ import annotations

from madderwind.messages.replication import JoinRequest, Member, View
from madderwind.replication.core import ReplicaCore
from madderwind.replication.membership import MembershipRules

# Addresses kept beside the seeds and the members, of replicas that announced themselves.
MOST_OTHERS = 16


class Discovery:
    """Announces this replica while it follows no primary, and collects the identities of the seeds."""

    def __init__(self, core: ReplicaCore, seeds: tuple[str, ...], now_ms: float) -> None:
        self._core = core
        self._started_ms = now_ms
        self._next_ms = now_ms
        self._others: dict[str, None] = {}
        self._unfounded: dict[str, Member] = {core.me.address: core.me}
        self.seeds = seeds

    def take(self, join_request: JoinRequest) -> None:
        """Remember who is there."""
        member = join_request.member
        if member.address == self._core.me.address:
            return
        self._others.pop(member.address, None)
        self._others[member.address] = None
        if len(self._others) > MOST_OTHERS:
            del self._others[next(iter(self._others))]
        if join_request.epoch == 0:
            self._unfounded[member.address] = member

    def search_now(self, now_ms: float) -> None:
        """There is news of whom to ask: do not wait for the next join_request."""
        self._next_ms = now_ms

    def request_join_if_due(self, now_ms: float) -> None:
        """Tell all known addresses that this replica looks for the primary."""
        if now_ms < self._next_ms:
            return
        self._next_ms = now_ms + self._core.times.join_interval_ms
        for address in self._addresses():
            self._core.send(address, self._core.join_request())

    def founding_members(self, now_ms: float, rules: MembershipRules) -> tuple[Member, ...] | None:
        """Who founds the system, where this replica is the one to begin it and the others are known.

        Only the first seed founds, and only with a file that is as old as the system: so it is done once.
        """
        core = self._core
        if not core.bootstrap or core.epoch > 0 or not self.seeds or self.seeds[0] != core.me.address:
            return None
        founders = self.seeds[: rules.goal]
        known = tuple(self._unfounded[address] for address in founders if address in self._unfounded)
        is_all = len(known) == len(founders)
        is_majority = len(known) > len(founders) // 2
        waited_ms = now_ms - self._started_ms
        if is_all or (is_majority and waited_ms > core.times.founding_ms):
            return known
        return None

    def _addresses(self) -> list[str]:
        view: View | None = self._core.view
        members = [member.address for member in view.members] if view is not None else []
        addresses = dict.fromkeys((*self.seeds, *members, *self._others))
        addresses.pop(self._core.me.address, None)
        return list(addresses)
