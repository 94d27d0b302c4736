"""What data planes tell each other through the primary: what tenants used, and what is at the upstreams.

A participant is one life of a data plane, whatever its connection.
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

# A tenant's rate of demand is told again once it changed by this part.
RATE_CHANGE = 0.05
MOST_TENANTS = 10_000
# Reports of sends that are kept for participants that have not been told of them yet.
MAX_DISPATCH_REPORTS = 2_000
# How often a participant is told that the others sent nothing.
NOTHING_SENT_INTERVAL_MS = 400.0
# What a participant that is away has at upstreams and asks for counts for so long.
AWAY_COUNTS_MS = 2_000.0
# For so long its sequence and what it was told are kept, so that it goes on where it was.
FORGET_AFTER_MS = 10_000.0

Load = dict[str, tuple[float, float, float]]


@attrs.define
class _UsageAccount:
    """One participant's usage: all it ever reported, and all that it was told of the others."""

    sequence: int = -1
    used: dict[str, float] = attrs.field(factory=dict)
    told: dict[str, float] = attrs.field(factory=dict)
    asked: dict[str, float] = attrs.field(factory=dict)
    told_asked: dict[str, float] = attrs.field(factory=dict)


class UsageExchange:
    """Sums the usage of all participants, and tells each what the others used since it was last told."""

    def __init__(self) -> None:
        self._accounts: dict[Hashable, _UsageAccount] = {}
        self._used: dict[str, float] = {}
        self._asked: dict[str, float] = {}

    def join(self, participant: Hashable) -> None:
        """A new participant is owed nothing of what was before it; one that comes back goes on."""
        if participant not in self._accounts:
            self._accounts[participant] = _UsageAccount(told=dict(self._used))

    def report(self, participant: Hashable, report: UsageReport) -> None:
        """Take a report; one that was taken before counts once."""
        account = self._accounts.get(participant)
        if account is None or report.sequence <= account.sequence:
            return
        account.sequence = report.sequence
        for tenant, amount in report.used.items():
            if amount > 0 and (tenant in self._used or len(self._used) < MOST_TENANTS):
                self._used[tenant] = self._used.get(tenant, 0.0) + amount
                account.used[tenant] = account.used.get(tenant, 0.0) + amount
        account.asked = {tenant: rate for tenant, rate in report.demand_per_s.items() if rate > 0}
        self._sum_asked()

    def pause(self, participant: Hashable) -> None:
        """A participant that is away asks for nothing."""
        if (account := self._accounts.get(participant)) is not None and account.asked:
            account.asked = {}
            self._sum_asked()

    def forget(self, participant: Hashable) -> None:
        """The participant won't come back; what it used stays owed to the others."""
        self.pause(participant)
        self._accounts.pop(participant, None)

    def owed(self, participant: Hashable) -> PeerUsage | None:
        """What the others used since the last call, unless there is nothing new."""
        account = self._accounts[participant]
        used = {}
        for tenant, total in self._used.items():
            others = total - account.used.get(tenant, 0.0)
            if (amount := others - account.told.get(tenant, 0.0)) > 0:
                used[tenant] = amount
                account.told[tenant] = others
        asked = {
            tenant: rate
            for tenant, total in self._asked.items()
            if (rate := total - account.asked.get(tenant, 0.0)) > 0
        }
        if not used and not _rates_differ(asked, account.told_asked):
            return None
        account.told_asked = asked
        return PeerUsage(used, asked)

    def _sum_asked(self) -> None:
        total: defaultdict[str, float] = defaultdict(float)
        for account in self._accounts.values():
            for tenant, rate in account.asked.items():
                total[tenant] += rate
        self._asked = dict(total)


@attrs.define
class _LoadAccount:
    own: Load = attrs.field(factory=dict)
    told: Load = attrs.field(factory=dict)


class LoadExchange:
    """Sums what all participants have at the upstreams, and tells each the sum of the others."""

    def __init__(self) -> None:
        self._accounts: dict[Hashable, _LoadAccount] = {}
        self._total: Load = {}
        self._stale = False

    def join(self, participant: Hashable) -> None:
        """A participant that is new or comes back is told the whole sum."""
        self._accounts.setdefault(participant, _LoadAccount()).told = {}

    def report(self, participant: Hashable, report: LoadReport) -> None:
        """Take the participant's present load in place of its last."""
        account = self._accounts.get(participant)
        if account is not None and account.own != report.load:
            account.own = report.load
            self._stale = True

    def pause(self, participant: Hashable) -> None:
        """What a participant that is away had at upstreams no longer counts."""
        if (account := self._accounts.get(participant)) is not None and account.own:
            account.own = {}
            self._stale = True

    def forget(self, participant: Hashable) -> None:
        """The participant won't come back."""
        self.pause(participant)
        self._accounts.pop(participant, None)

    def owed(self, participant: Hashable) -> PeerLoad | None:
        """The sum of the others' loads, unless it is what the participant was told last."""
        if self._stale:
            self._sum()
        account = self._accounts[participant]
        others: Load = {}
        for instance, total in self._total.items():
            own = account.own.get(instance, (0.0, 0.0, 0.0))
            rest = (round(total[0] - own[0]), round(total[1] - own[1]), round(total[2] - own[2]))
            if any(rest):
                others[instance] = rest
        if others == account.told:
            return None
        account.told = others
        return PeerLoad(others)

    def _sum(self) -> None:
        total: Load = {}
        for account in self._accounts.values():
            for instance, (waiting, sequences, held) in account.own.items():
                before = total.get(instance, (0.0, 0.0, 0.0))
                total[instance] = (before[0] + waiting, before[1] + sequences, before[2] + held)
        self._total = total
        self._stale = False


class DispatchExchange:
    """Passes on what each participant sent to upstreams to all others, in order, each once."""

    def __init__(self) -> None:
        self._reports: deque[tuple[Hashable, DispatchReport]] = deque(maxlen=MAX_DISPATCH_REPORTS)
        self._reported = 0
        self._positions: dict[Hashable, int] = {}
        self._told_ms: dict[Hashable, float] = {}

    def join(self, participant: Hashable) -> None:
        """A participant that is new or comes back is told what is reported from now on."""
        self._positions[participant] = self._reported

    def report(self, participant: Hashable, report: DispatchReport) -> None:
        """Take what a participant sent."""
        if participant in self._positions and report.prompts:
            self._reports.append((participant, report))
            self._reported += 1

    def forget(self, participant: Hashable) -> None:
        """The participant won't come back."""
        self._positions.pop(participant, None)
        self._told_ms.pop(participant, None)

    def owed(self, now_ms: float, participant: Hashable) -> PeerDispatches | None:
        """What the others sent since this participant was last told; that it was nothing is told seldom."""
        unheard = self._reported - self._positions[participant]
        self._positions[participant] = self._reported
        recent = islice(reversed(self._reports), unheard)
        reports = [report for reporter, report in recent if reporter != participant]
        told_ms = self._told_ms.get(participant)
        if not reports and told_ms is not None and now_ms - told_ms < NOTHING_SENT_INTERVAL_MS:
            return None
        self._told_ms[participant] = now_ms
        return PeerDispatches(tuple(prompt for report in reversed(reports) for prompt in report.prompts))


def _rates_differ(now: dict[str, float], told: dict[str, float]) -> bool:
    if now.keys() != told.keys():
        return True
    return any(abs(rate - told[tenant]) > RATE_CHANGE * told[tenant] for tenant, rate in now.items())
