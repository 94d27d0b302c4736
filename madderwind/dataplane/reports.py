"""Reports this data plane's usage and load to the primary, so that all share the fleet's limits."""

from __future__ import annotations

import asyncio

from madderwind.dataplane.subscriber_links import SubscriberLinks
from madderwind.distribution.subscriber import Subscriber
from madderwind.eventlog import EventLog
from madderwind.limits.budget import FleetRetryBudget
from madderwind.limits.quota import TenantQuota
from madderwind.messages.distribution import DispatchReport, LoadReport, UsageReport
from madderwind.placement.placement import Placement

MS_PER_S = 1000.0
# How often quota usage is reported.
USAGE_REPORT_S = 0.25
# How often dispatches and changes of the load at upstreams are reported: less often with more data planes.
MIN_LOAD_REPORT_S, LOAD_REPORT_S_PER_DATA_PLANE = 0.025, 0.00033


class Reports:
    """Reports to the primary, and tells the limiters how many data planes share the limits."""

    def __init__(
        self,
        subscriber: Subscriber,
        links: SubscriberLinks,
        quota: TenantQuota,
        budget: FleetRetryBudget,
        placement: Placement,
        log: EventLog,
    ) -> None:
        self._subscriber, self._links = subscriber, links
        self._quota, self._budget, self._placement, self._log = quota, budget, placement, log
        self._usage_sequence = 0
        self._was_connected = False

    def share_limits(self, now_ms: float) -> bool:
        """Tell the limiters how many data planes share the limits; whether the primary can be reached."""
        data_planes, is_connected = self._subscriber.data_planes, self._subscriber.is_connected(now_ms)
        if is_connected != self._was_connected:
            self._was_connected = is_connected
            self._log("in_touch_with_primary" if is_connected else "out_of_touch_with_primary")
        self._quota.set_data_planes(now_ms, data_planes, is_connected)
        self._budget.set_data_planes(data_planes)
        self._placement.set_data_planes(data_planes)
        return is_connected

    async def report_usage(self) -> None:
        """Report admitted usage to the primary periodically."""
        while True:
            await asyncio.sleep(USAGE_REPORT_S)
            now_ms = self._now_ms()
            if not self.share_limits(now_ms):
                continue
            usage = self._quota.drain_usage(now_ms)
            if usage.used or usage.demand_per_s:
                self._usage_sequence += 1
                report = UsageReport(self._usage_sequence, dict(usage.used), dict(usage.demand_per_s))
                self._links.send(self._subscriber.primary, report)

    async def report_load(self) -> None:
        """Report dispatches to the primary periodically, and the load at upstreams when it changed."""
        reported, reported_to = LoadReport({}), ""
        while True:
            await asyncio.sleep(
                max(MIN_LOAD_REPORT_S, LOAD_REPORT_S_PER_DATA_PLANE * self._subscriber.data_planes)
            )
            prompts, load = self._placement.drain_dispatches(), LoadReport(self._placement.load())
            primary = self._subscriber.primary
            if not self._subscriber.is_connected(self._now_ms()):
                reported_to = ""
                continue
            if prompts:
                self._links.send(primary, DispatchReport(prompts))
            if load != reported or primary != reported_to:
                self._links.send(primary, load)
                reported, reported_to = load, primary

    def _now_ms(self) -> float:
        return asyncio.get_running_loop().time() * MS_PER_S
