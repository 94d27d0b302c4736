"""What one tenant's quota allows, and how much of the rule's tolerance is used for what."""

from __future__ import annotations

import attrs

from madderwind.configuration.documents import Tenant
from madderwind.node_settings import Bounds

# Parts of the tolerance (what the rule allows beyond rate x window + burst). The rest is for what data planes
# admit before they have heard of each other.
MARGIN_PART = 0.15
NEWBORN_PART = 0.10
ISOLATED_PART = 0.30
# The margin is not above this many seconds of the rate, however large the tolerance.
LONGEST_MARGIN_S = 1.0


@attrs.frozen
class QuotaTerms:
    """A tenant's limit in its own unit.

    `margin`: how far below zero the shared level may go. `newborn_level`: where a process starts that can't
    know what was spent. `isolated_allowance`: what the whole fleet may spend beyond its level while its parts
    don't hear each other.
    """

    rate_per_s: float
    burst: float
    margin: float
    newborn_level: float
    isolated_allowance: float


def quota_terms(tenant: Tenant, bounds: Bounds) -> QuotaTerms | None:
    """The terms of a tenant's quota; None where it has no limit."""
    if tenant.rate_per_s <= 0:
        return None
    promised = tenant.rate_per_s * bounds.quota_window_s + tenant.burst
    tolerance = promised * bounds.quota_overshoot + bounds.quota_slack
    margin = min(MARGIN_PART * tolerance, LONGEST_MARGIN_S * tenant.rate_per_s)
    return QuotaTerms(
        rate_per_s=tenant.rate_per_s,
        burst=tenant.burst,
        margin=margin,
        newborn_level=min(tenant.burst, NEWBORN_PART * tolerance) - margin,
        isolated_allowance=ISOLATED_PART * tolerance,
    )
