"""Estimates how long a client has waited when its request arrives, from its remaining deadline. No I/O."""

from __future__ import annotations

from collections import OrderedDict, deque

# How many deadlines are kept for each route, and which quantile of them counts as the deadline of a first
# try: clients that retry have less time left, and a few clients send longer deadlines than the rest.
REMEMBERED_DEADLINES = 16
USUAL_DEADLINE_QUANTILE = 0.75
MAX_ROUTES = 4096


class ClientWaits:
    """Compares a request's deadline with the usual one of its route.

    The deadline of a client that retries after a refusal is shorter by the time it has waited.
    """

    def __init__(self) -> None:
        self._deadlines_ms: OrderedDict[str, deque[float]] = OrderedDict()

    def waited_ms(self, route: str, deadline_ms: float) -> float:
        """Record a request's deadline; by how much it is shorter than the usual one of its route."""
        deadlines_ms = self._deadlines_ms.get(route)
        if deadlines_ms is None:
            deadlines_ms = self._remember_route(route)
        deadlines_ms.append(deadline_ms)
        usual_ms = sorted(deadlines_ms)[int(USUAL_DEADLINE_QUANTILE * (len(deadlines_ms) - 1))]
        return max(0.0, usual_ms - deadline_ms)

    def _remember_route(self, route: str) -> deque[float]:
        if len(self._deadlines_ms) >= MAX_ROUTES:
            self._deadlines_ms.popitem(last=False)
        self._deadlines_ms[route] = deque(maxlen=REMEMBERED_DEADLINES)
        return self._deadlines_ms[route]
