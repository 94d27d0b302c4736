"""How long a client has waited when its request comes, judged by what is left of its time. No I/O."""

from __future__ import annotations

from collections import OrderedDict, deque

# The deadlines that are remembered of a route, and which of them, in order, is what a client begins with:
# some come back with less, a few are more patient than the rest.
REMEMBERED_DEADLINES = 16
USUAL_PART = 0.75
MAX_ROUTES = 4096


class ClientWaits:
    """Compares a request's deadline with the usual one of its route.

    A client that was refused and comes back has so much less time left as it has waited.
    """

    def __init__(self) -> None:
        self._deadlines_ms: OrderedDict[str, deque[float]] = OrderedDict()

    def waited_ms(self, route: str, deadline_ms: float) -> float:
        """How much less time a request on this route has than is usual; it is remembered."""
        deadlines_ms = self._deadlines_ms.get(route)
        if deadlines_ms is None:
            deadlines_ms = self._remember_route(route)
        deadlines_ms.append(deadline_ms)
        usual_ms = sorted(deadlines_ms)[int(USUAL_PART * (len(deadlines_ms) - 1))]
        return max(0.0, usual_ms - deadline_ms)

    def _remember_route(self, route: str) -> deque[float]:
        if len(self._deadlines_ms) >= MAX_ROUTES:
            self._deadlines_ms.popitem(last=False)
        self._deadlines_ms[route] = deque(maxlen=REMEMBERED_DEADLINES)
        return self._deadlines_ms[route]
