"""The limits of one tenant's quota, and how the tolerance of the fleet-wide limit is divided."""

from __future__ import annotations

import attrs

from madderwind.configuration.documents import Tenant
from madderwind.node_settings import Bounds

# Fractions of the tolerance (what the fleet-wide limit allows beyond rate x window + burst). The rest covers
# what data planes admit before they receive each other's reports.
MARGIN_FRACTION = 0.15
RESTART_FRACTION = 0.10
ISOLATED_FRACTION = 0.30
# The margin is at most this many seconds of the rate, however large the tolerance.
MAX_MARGIN_S = 1.0


@attrs.frozen
class QuotaTerms:
    """A tenant's limit in its own unit.

    `margin`: how far below zero the shared level may go. `restart_level`: the initial level of a process that
    can't know what was spent before. `isolated_allowance`: what the whole fleet may spend beyond its level
    while data planes don't receive each other's reports. `most_per_window`: what the fleet-wide limit allows
    in any window.
    """

    rate_per_s: float
    burst: float
    margin: float
    restart_level: float
    isolated_allowance: float
    most_per_window: float


def quota_terms(tenant: Tenant, bounds: Bounds) -> QuotaTerms | None:
    """The terms of a tenant's quota; None if the tenant has no limit."""
    if tenant.rate_per_s <= 0:
        return None
    nominal_allowance = tenant.rate_per_s * bounds.quota_window_s + tenant.burst
    tolerance = nominal_allowance * bounds.quota_overshoot + bounds.quota_slack
    margin = min(MARGIN_FRACTION * tolerance, MAX_MARGIN_S * tenant.rate_per_s)
    return QuotaTerms(
        rate_per_s=tenant.rate_per_s,
        burst=tenant.burst,
        margin=margin,
        restart_level=min(tenant.burst, RESTART_FRACTION * tolerance) - margin,
        isolated_allowance=ISOLATED_FRACTION * tolerance,
        most_per_window=nominal_allowance + tolerance,
    )
