"""Discovery of other replicas: join requests to known addresses, and the bootstrap of the first view."""

from __future__ import annotations

from madderwind.messages.replication import JoinRequest, Member
from madderwind.replication.context import ReplicaContext
from madderwind.replication.membership import MembershipRules

# Maximum number of addresses kept besides the seeds and members, from replicas that sent join requests.
MAX_REQUESTER_ADDRESSES = 16


class Discovery:
    """Sends join requests while this replica follows no primary, and collects the seeds' identities.

    Attributes:
        seeds: Internal addresses of the control planes listed in the settings file.
    """

    def __init__(self, context: ReplicaContext, seeds: tuple[str, ...], now_ms: float) -> None:
        self._store, self._outbox, self._times = context.store, context.outbox, context.times
        self._started_ms = now_ms
        self._due_ms = now_ms
        self._requester_addresses: dict[str, None] = {}
        self._bootstrap_candidates: dict[str, Member] = {context.me.address: context.me}
        self.seeds = seeds

    def handle_join_request(self, request: JoinRequest) -> None:
        """Record the address of the sender, and its identity if it knows no view yet."""
        member = request.member
        if member.address == self._store.me.address:
            return
        self._requester_addresses.pop(member.address, None)
        self._requester_addresses[member.address] = None
        if len(self._requester_addresses) > MAX_REQUESTER_ADDRESSES:
            del self._requester_addresses[next(iter(self._requester_addresses))]
        if request.epoch == 0:
            self._bootstrap_candidates[member.address] = member

    def request_join_now(self, now_ms: float) -> None:
        """Make the next join request due at once, since a new view names the replicas to ask."""
        self._due_ms = now_ms

    def request_join_if_due(self, now_ms: float) -> None:
        """Send join requests to all known addresses, at most once per interval."""
        if now_ms < self._due_ms:
            return
        self._due_ms = now_ms + self._times.join_interval_ms
        for address in self._addresses():
            self._outbox.send(address, self._store.join_request)

    def bootstrap_members(self, now_ms: float, rules: MembershipRules) -> tuple[Member, ...] | None:
        """Return the members of the first view, or None if this replica may not bootstrap the system now.

        Only the first seed bootstraps, and only if its file was created at the first start of the system.
        This ensures that the system is bootstrapped once.
        """
        store = self._store
        if not store.bootstrap or store.epoch > 0 or not self.seeds or self.seeds[0] != store.me.address:
            return None
        required = self.seeds[: rules.goal]
        known = tuple(
            self._bootstrap_candidates[address]
            for address in required
            if address in self._bootstrap_candidates
        )
        has_all = len(known) == len(required)
        has_majority = len(known) > len(required) // 2
        waited_ms = now_ms - self._started_ms
        if has_all or (has_majority and waited_ms > self._times.bootstrap_timeout_ms):
            return known
        return None

    def _addresses(self) -> list[str]:
        view = self._store.view
        members = [member.address for member in view.members] if view is not None else []
        addresses = dict.fromkeys((*self.seeds, *members, *self._requester_addresses))
        addresses.pop(self._store.me.address, None)
        return list(addresses)
