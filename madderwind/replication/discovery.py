"""How replicas find each other: join requests to known addresses, and the founding of the first view."""

from __future__ import annotations

from madderwind.messages.replication import JoinRequest, Member
from madderwind.replication.context import ReplicaContext
from madderwind.replication.membership import MembershipRules

# Addresses remembered beside the seeds and the members, of replicas that sent join requests.
MAX_REMEMBERED_ADDRESSES = 16


class Discovery:
    """Sends join requests while this replica follows no primary, and collects the identities of the seeds.

    Attributes:
        seeds: Internal addresses of control planes, from the settings file.
    """

    def __init__(self, context: ReplicaContext, seeds: tuple[str, ...], now_ms: float) -> None:
        self._store, self._outbox, self._times = context.store, context.outbox, context.times
        self._started_ms = now_ms
        self._due_ms = now_ms
        self._remembered: dict[str, None] = {}
        self._unfounded: dict[str, Member] = {context.me.address: context.me}
        self.seeds = seeds

    def handle_join_request(self, request: JoinRequest) -> None:
        """Remember who is there."""
        member = request.member
        if member.address == self._store.me.address:
            return
        self._remembered.pop(member.address, None)
        self._remembered[member.address] = None
        if len(self._remembered) > MAX_REMEMBERED_ADDRESSES:
            del self._remembered[next(iter(self._remembered))]
        if request.epoch == 0:
            self._unfounded[member.address] = member

    def search_now(self, now_ms: float) -> None:
        """A new view tells whom to ask: do not wait for the next interval."""
        self._due_ms = now_ms

    def request_join_if_due(self, now_ms: float) -> None:
        """Tell all known addresses that this replica looks for the primary."""
        if now_ms < self._due_ms:
            return
        self._due_ms = now_ms + self._times.join_interval_ms
        for address in self._addresses():
            self._outbox.send(address, self._store.join_request)

    def founding_members(self, now_ms: float, rules: MembershipRules) -> tuple[Member, ...] | None:
        """Who founds the system; None where this replica is not to begin it, or not yet.

        Only the first seed founds, and only with a file that is as old as the system: so it is done once.
        """
        store = self._store
        if not store.bootstrap or store.epoch > 0 or not self.seeds or self.seeds[0] != store.me.address:
            return None
        founders = self.seeds[: rules.goal]
        known = tuple(self._unfounded[address] for address in founders if address in self._unfounded)
        has_all = len(known) == len(founders)
        has_majority = len(known) > len(founders) // 2
        waited_ms = now_ms - self._started_ms
        if has_all or (has_majority and waited_ms > self._times.founding_timeout_ms):
            return known
        return None

    def _addresses(self) -> list[str]:
        view = self._store.view
        members = [member.address for member in view.members] if view is not None else []
        addresses = dict.fromkeys((*self.seeds, *members, *self._remembered))
        addresses.pop(self._store.me.address, None)
        return list(addresses)
