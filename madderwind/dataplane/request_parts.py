"""What all requests of a data plane share."""

from __future__ import annotations

from collections import Counter

import msgspec

from madderwind.dataplane.admission import Admission
from madderwind.dataplane.attempt_log import AttemptLog
from madderwind.dataplane.choosing import UpstreamChooser
from madderwind.dataplane.retrying import Retries, RetryBudget
from madderwind.dataplane.upstream_pool import UpstreamPool
from madderwind.eventlog import EventLog
from madderwind.registry.known_upstreams import KnownUpstreams

MS_PER_S = 1000.0


class RequestParts(msgspec.Struct):
    """The parts of a data plane that serve a request.

    Attributes:
        admission: Routes, keys and quotas.
        upstreams: What control planes published.
        chooser: Picks an upstream for an attempt.
        pool: Connections to upstreams.
        retries: Whether and when there is another attempt.
        budget: The fleet's retry budget.
        log: Takes events.
        attempt_log: Takes each attempt where that is on.
        counters: How requests and attempts ended, by name.
    """

    admission: Admission
    upstreams: KnownUpstreams
    chooser: UpstreamChooser
    pool: UpstreamPool
    retries: Retries
    budget: RetryBudget
    log: EventLog
    attempt_log: AttemptLog
    counters: Counter[str]
