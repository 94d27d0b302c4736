"""The components that all requests of a data plane share."""

from __future__ import annotations

from collections import Counter

import msgspec

from madderwind.dataplane.admission import Admission
from madderwind.dataplane.attempt_log import AttemptLog
from madderwind.dataplane.choosing import UpstreamChooser
from madderwind.dataplane.retrying import Retries, RetryBudget
from madderwind.dataplane.shutdown_deadline import ShutdownDeadline
from madderwind.dataplane.upstream_pool import UpstreamPool
from madderwind.eventlog import EventLog
from madderwind.registry.known_upstreams import KnownUpstreams
from madderwind.transport.budget import Budget

MS_PER_S = 1000.0


class RequestParts(msgspec.Struct):
    """The components of a data plane that serve a request.

    Attributes:
        admission: Applies routes, keys and quotas.
        upstreams: The upstreams published by the control planes.
        chooser: Selects the upstream for an attempt.
        pool: Connections to upstreams.
        retries: Decides whether and when there is another attempt.
        budget: The fleet's retry budget.
        log: Receives log events.
        attempt_log: Receives each attempt if attempt logging is on.
        shutdown: Ends the waits of requests before the process ends.
        body_memory: The bytes that requests' bodies may take.
        counters: The number of requests and attempts by how they ended.
    """

    admission: Admission
    upstreams: KnownUpstreams
    chooser: UpstreamChooser
    pool: UpstreamPool
    retries: Retries
    budget: RetryBudget
    log: EventLog
    attempt_log: AttemptLog
    shutdown: ShutdownDeadline
    body_memory: Budget
    counters: Counter[str]
