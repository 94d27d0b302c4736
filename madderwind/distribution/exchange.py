"""Exchange of tenant usage, upstream load and dispatched prompts between data planes through the primary.

A participant is one process of a data plane, independent of the connection that it uses.
"""

from __future__ import annotations

from collections import defaultdict, deque
from collections.abc import Hashable
from itertools import islice

import attrs

from madderwind.messages.distribution import (
    DispatchReport,
    LoadReport,
    PeerDispatches,
    PeerLoad,
    PeerUsage,
    UsageReport,
)

# A tenant's demand rate is sent again once it has changed by more than this fraction.
RATE_CHANGE_THRESHOLD = 0.05
MAX_TENANTS = 10_000
# Dispatch reports retained for participants that they have not been sent to yet.
MAX_DISPATCH_REPORTS = 2_000
# Interval of empty messages while the other participants dispatch nothing.
EMPTY_DISPATCHES_INTERVAL_MS = 400.0
# The load and the demand of a disconnected participant still count for this long.
SUSPEND_AFTER_MS = 2_000.0
# The sequence number and the sent totals of a disconnected participant are retained for this long, so that it
# resumes where it left off when it reconnects.
REMOVE_AFTER_MS = 10_000.0

Load = dict[str, tuple[float, float, float]]


@attrs.define
class _UsageAccount:
    """One participant's usage: the totals that it reported, and the totals of its peers that it was sent."""

    sequence: int = -1
    used: dict[str, float] = attrs.field(factory=dict)
    sent: dict[str, float] = attrs.field(factory=dict)
    demand_per_s: dict[str, float] = attrs.field(factory=dict)
    sent_demand_per_s: dict[str, float] = attrs.field(factory=dict)


class UsageExchange:
    """Sums the usage of all participants, and sends each the increase of its peers' usage."""

    def __init__(self) -> None:
        self._accounts: dict[Hashable, _UsageAccount] = {}
        self._used: dict[str, float] = {}
        self._demand_per_s: dict[str, float] = {}

    def join(self, participant: Hashable) -> None:
        """Add a participant; a new one is not sent earlier usage, a returning one resumes where it was."""
        if participant not in self._accounts:
            self._accounts[participant] = _UsageAccount(sent=dict(self._used))

    def report(self, participant: Hashable, report: UsageReport) -> None:
        """Add a report; a duplicate is ignored by its sequence number."""
        account = self._accounts.get(participant)
        if account is None or report.sequence <= account.sequence:
            return
        account.sequence = report.sequence
        for tenant, amount in report.used.items():
            if amount > 0 and (tenant in self._used or len(self._used) < MAX_TENANTS):
                self._used[tenant] = self._used.get(tenant, 0.0) + amount
                account.used[tenant] = account.used.get(tenant, 0.0) + amount
        account.demand_per_s = {tenant: rate for tenant, rate in report.demand_per_s.items() if rate > 0}
        self._update_demand_sum()

    def suspend(self, participant: Hashable) -> None:
        """Remove the demand of a disconnected participant."""
        if (account := self._accounts.get(participant)) is not None and account.demand_per_s:
            account.demand_per_s = {}
            self._update_demand_sum()

    def remove(self, participant: Hashable) -> None:
        """Remove a participant that will not return; its usage is still sent to its peers."""
        self.suspend(participant)
        self._accounts.pop(participant, None)

    def owed(self, participant: Hashable) -> PeerUsage | None:
        """Return the peers' usage since the last call; None if there is nothing new."""
        account = self._accounts[participant]
        used = {}
        for tenant, total in self._used.items():
            peers = total - account.used.get(tenant, 0.0)
            if (amount := peers - account.sent.get(tenant, 0.0)) > 0:
                used[tenant] = amount
                account.sent[tenant] = peers
        demand_per_s = {
            tenant: rate
            for tenant, total in self._demand_per_s.items()
            if (rate := total - account.demand_per_s.get(tenant, 0.0)) > 0
        }
        if not used and not _rates_differ(demand_per_s, account.sent_demand_per_s):
            return None
        account.sent_demand_per_s = demand_per_s
        return PeerUsage(used, demand_per_s)

    def _update_demand_sum(self) -> None:
        total: defaultdict[str, float] = defaultdict(float)
        for account in self._accounts.values():
            for tenant, rate in account.demand_per_s.items():
                total[tenant] += rate
        self._demand_per_s = dict(total)


@attrs.define
class _LoadAccount:
    own: Load = attrs.field(factory=dict)
    sent: Load = attrs.field(factory=dict)


class LoadExchange:
    """Sums the load of all participants at the upstreams, and sends each the sum of its peers' loads."""

    def __init__(self) -> None:
        self._accounts: dict[Hashable, _LoadAccount] = {}
        self._total: Load = {}
        self._stale = False

    def join(self, participant: Hashable) -> None:
        """Add a participant; the complete sum is sent to it whether it is new or returns."""
        self._accounts.setdefault(participant, _LoadAccount()).sent = {}

    def report(self, participant: Hashable, report: LoadReport) -> None:
        """Replace the participant's load by the reported one."""
        account = self._accounts.get(participant)
        if account is not None and account.own != report.load:
            account.own = report.load
            self._stale = True

    def suspend(self, participant: Hashable) -> None:
        """Remove the load of a disconnected participant."""
        if (account := self._accounts.get(participant)) is not None and account.own:
            account.own = {}
            self._stale = True

    def remove(self, participant: Hashable) -> None:
        """Remove a participant that will not return."""
        self.suspend(participant)
        self._accounts.pop(participant, None)

    def owed(self, participant: Hashable) -> PeerLoad | None:
        """Return the sum of the peers' loads; None if it equals the last one sent to the participant."""
        if self._stale:
            self._update_sum()
        account = self._accounts[participant]
        peers: Load = {}
        for instance, total in self._total.items():
            own = account.own.get(instance, (0.0, 0.0, 0.0))
            peer_load = (round(total[0] - own[0]), round(total[1] - own[1]), round(total[2] - own[2]))
            if any(peer_load):
                peers[instance] = peer_load
        if peers == account.sent:
            return None
        account.sent = peers
        return PeerLoad(peers)

    def _update_sum(self) -> None:
        total: Load = {}
        for account in self._accounts.values():
            for instance, (waiting, sequences, tokens) in account.own.items():
                before = total.get(instance, (0.0, 0.0, 0.0))
                total[instance] = (before[0] + waiting, before[1] + sequences, before[2] + tokens)
        self._total = total
        self._stale = False


class DispatchExchange:
    """Forwards the prompts that a participant dispatched to all its peers, in order and each once."""

    def __init__(self) -> None:
        self._reports: deque[tuple[Hashable, DispatchReport]] = deque(maxlen=MAX_DISPATCH_REPORTS)
        self._reported = 0
        self._positions: dict[Hashable, int] = {}
        self._sent_ms: dict[Hashable, float] = {}

    def join(self, participant: Hashable) -> None:
        """Add a participant; only later reports are sent to it whether it is new or returns."""
        self._positions[participant] = self._reported

    def report(self, participant: Hashable, report: DispatchReport) -> None:
        """Add a report of dispatched prompts."""
        if participant in self._positions and report.prompts:
            self._reports.append((participant, report))
            self._reported += 1

    def remove(self, participant: Hashable) -> None:
        """Remove a participant that will not return."""
        self._positions.pop(participant, None)
        self._sent_ms.pop(participant, None)

    def owed(self, now_ms: float, participant: Hashable) -> PeerDispatches | None:
        """Return the peers' dispatches since the last call.

        An empty message is returned at most once per EMPTY_DISPATCHES_INTERVAL_MS, otherwise None.
        """
        unsent = self._reported - self._positions[participant]
        self._positions[participant] = self._reported
        recent = islice(reversed(self._reports), unsent)
        reports = [report for reporter, report in recent if reporter != participant]
        sent_ms = self._sent_ms.get(participant)
        if not reports and sent_ms is not None and now_ms - sent_ms < EMPTY_DISPATCHES_INTERVAL_MS:
            return None
        self._sent_ms[participant] = now_ms
        return PeerDispatches(tuple(prompt for report in reversed(reports) for prompt in report.prompts))


def _rates_differ(now: dict[str, float], sent: dict[str, float]) -> bool:
    if now.keys() != sent.keys():
        return True
    return any(
        abs(rate - sent[tenant]) > RATE_CHANGE_THRESHOLD * sent[tenant] for tenant, rate in now.items()
    )
