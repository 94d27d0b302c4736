"""What data planes learn of each other through the primary: what tenants used, and what is at the upstreams.

A participant is one process of a data plane, whatever its connection.
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

# A tenant's rate of demand is sent again once it changed by this share.
RATE_CHANGE = 0.05
MAX_TENANTS = 10_000
# Dispatch reports that are retained for participants that have not been sent them yet.
MAX_DISPATCH_REPORTS = 2_000
# How often a participant is sent that the others dispatched nothing.
EMPTY_INTERVAL_MS = 400.0
# What a participant that is away has at upstreams and demands counts for so long.
AWAY_COUNTS_MS = 2_000.0
# For so long its sequence and what it was sent are retained, so that it goes on where it was.
REMOVE_AFTER_MS = 10_000.0

Load = dict[str, tuple[float, float, float]]


@attrs.define
class _UsageAccount:
    """One participant's usage: all it ever reported, and all that it was sent of the others."""

    sequence: int = -1
    used: dict[str, float] = attrs.field(factory=dict)
    sent: dict[str, float] = attrs.field(factory=dict)
    demand_per_s: dict[str, float] = attrs.field(factory=dict)
    sent_demand_per_s: dict[str, float] = attrs.field(factory=dict)


class UsageExchange:
    """Sums the usage of all participants, and sends each what the others used since the last time."""

    def __init__(self) -> None:
        self._accounts: dict[Hashable, _UsageAccount] = {}
        self._used: dict[str, float] = {}
        self._demand_per_s: dict[str, float] = {}

    def join(self, participant: Hashable) -> None:
        """A new participant is owed nothing of what was before it; one that comes back goes on."""
        if participant not in self._accounts:
            self._accounts[participant] = _UsageAccount(sent=dict(self._used))

    def report(self, participant: Hashable, report: UsageReport) -> None:
        """Add a report; one that comes twice counts once."""
        account = self._accounts.get(participant)
        if account is None or report.sequence <= account.sequence:
            return
        account.sequence = report.sequence
        for tenant, amount in report.used.items():
            if amount > 0 and (tenant in self._used or len(self._used) < MAX_TENANTS):
                self._used[tenant] = self._used.get(tenant, 0.0) + amount
                account.used[tenant] = account.used.get(tenant, 0.0) + amount
        account.demand_per_s = {tenant: rate for tenant, rate in report.demand_per_s.items() if rate > 0}
        self._sum_demand()

    def suspend(self, participant: Hashable) -> None:
        """A participant that is away demands nothing."""
        if (account := self._accounts.get(participant)) is not None and account.demand_per_s:
            account.demand_per_s = {}
            self._sum_demand()

    def remove(self, participant: Hashable) -> None:
        """The participant won't come back; what it used stays owed to the others."""
        self.suspend(participant)
        self._accounts.pop(participant, None)

    def owed(self, participant: Hashable) -> PeerUsage | None:
        """What the others used since the last call, unless there is nothing new."""
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

    def _sum_demand(self) -> None:
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
    """Sums what all participants have at the upstreams, and sends each the sum of the others."""

    def __init__(self) -> None:
        self._accounts: dict[Hashable, _LoadAccount] = {}
        self._total: Load = {}
        self._stale = False

    def join(self, participant: Hashable) -> None:
        """A participant that is new or comes back is sent the whole sum."""
        self._accounts.setdefault(participant, _LoadAccount()).sent = {}

    def report(self, participant: Hashable, report: LoadReport) -> None:
        """Take the participant's present load in place of its last."""
        account = self._accounts.get(participant)
        if account is not None and account.own != report.load:
            account.own = report.load
            self._stale = True

    def suspend(self, participant: Hashable) -> None:
        """What a participant that is away had at upstreams no longer counts."""
        if (account := self._accounts.get(participant)) is not None and account.own:
            account.own = {}
            self._stale = True

    def remove(self, participant: Hashable) -> None:
        """The participant won't come back."""
        self.suspend(participant)
        self._accounts.pop(participant, None)

    def owed(self, participant: Hashable) -> PeerLoad | None:
        """The sum of the others' loads, unless it is what the participant was sent last."""
        if self._stale:
            self._sum()
        account = self._accounts[participant]
        peers: Load = {}
        for instance, total in self._total.items():
            own = account.own.get(instance, (0.0, 0.0, 0.0))
            rest = (round(total[0] - own[0]), round(total[1] - own[1]), round(total[2] - own[2]))
            if any(rest):
                peers[instance] = rest
        if peers == account.sent:
            return None
        account.sent = peers
        return PeerLoad(peers)

    def _sum(self) -> None:
        total: Load = {}
        for account in self._accounts.values():
            for instance, (waiting, sequences, tokens) in account.own.items():
                before = total.get(instance, (0.0, 0.0, 0.0))
                total[instance] = (before[0] + waiting, before[1] + sequences, before[2] + tokens)
        self._total = total
        self._stale = False


class DispatchExchange:
    """Passes on the prompts that each participant dispatched to all others, in order, each once."""

    def __init__(self) -> None:
        self._reports: deque[tuple[Hashable, DispatchReport]] = deque(maxlen=MAX_DISPATCH_REPORTS)
        self._reported = 0
        self._positions: dict[Hashable, int] = {}
        self._sent_ms: dict[Hashable, float] = {}

    def join(self, participant: Hashable) -> None:
        """A participant that is new or comes back is sent what is reported from now on."""
        self._positions[participant] = self._reported

    def report(self, participant: Hashable, report: DispatchReport) -> None:
        """Add what a participant dispatched."""
        if participant in self._positions and report.prompts:
            self._reports.append((participant, report))
            self._reported += 1

    def remove(self, participant: Hashable) -> None:
        """The participant won't come back."""
        self._positions.pop(participant, None)
        self._sent_ms.pop(participant, None)

    def owed(self, now_ms: float, participant: Hashable) -> PeerDispatches | None:
        """What the others dispatched since the last call; that it was nothing is sent seldom."""
        unsent = self._reported - self._positions[participant]
        self._positions[participant] = self._reported
        recent = islice(reversed(self._reports), unsent)
        reports = [report for reporter, report in recent if reporter != participant]
        sent_ms = self._sent_ms.get(participant)
        if not reports and sent_ms is not None and now_ms - sent_ms < EMPTY_INTERVAL_MS:
            return None
        self._sent_ms[participant] = now_ms
        return PeerDispatches(tuple(prompt for report in reversed(reports) for prompt in report.prompts))


def _rates_differ(now: dict[str, float], sent: dict[str, float]) -> bool:
    if now.keys() != sent.keys():
        return True
    return any(abs(rate - sent[tenant]) > RATE_CHANGE * sent[tenant] for tenant, rate in now.items())
