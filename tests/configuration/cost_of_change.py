"""Benchmark of parsing, changing and looking up a configuration, by the number of routes.

Run manually: `python -m tests.configuration.cost_of_change [ROUTES ...]`. Prints the median processor time of
each step in ms, with one row per step and one column per number of routes.
"""

from __future__ import annotations

import random
import statistics
import sys
import time
from collections.abc import Callable
from typing import Any

from madderwind.configuration.history import RETAINED_DIGESTS, ConfigurationHistory
from madderwind.configuration.reading import Document, read_document
from madderwind.dataplane.admission import Admission
from madderwind.replication.commands import Command, CommandKind
from tests.configuration.samples import complete_configuration, encoded, route, tenant

SIZES = (100, 2_000, 16_000)
ROUTES_PER_HOST = 50
ROUTES_PER_TENANT = 20
REPEATS = 7
NS_PER_MS = 1e6


class UnlimitedQuota:
    """A quota that admits every request."""

    def admit(self, now_ms: float, tenant_name: str, amount: float, *, is_late: bool = False) -> bool:
        return True

    def refund(self, now_ms: float, tenant_name: str, amount: float, *, is_late: bool = False) -> None:
        return None

    def retry_after_ms(self, now_ms: float, tenant_name: str) -> float:
        return 0.0


def large_configuration(routes: int, version: int = 1) -> bytes:
    """The JSON of a configuration with `routes` routes on many hosts, and a tenant for every 20 routes."""
    items = [route(f"r-{number}", host=f"h{number // ROUTES_PER_HOST}.example") for number in range(routes)]
    tenants = [
        tenant(f"t-{number}", f"key-{number}") for number in range(max(1, routes // ROUTES_PER_TENANT))
    ]
    return encoded(complete_configuration(version, routes=items, tenants=tenants))


def one_route_update(version: int, number: int) -> bytes:
    """An update that changes the time-out of one route."""
    changed = route(f"r-{number}", host=f"h{number // ROUTES_PER_HOST}.example", timeout_ms=5_000 + version)
    return encoded({"version": version, "upsert": {"routes": [changed]}})


def median_ms(step: Callable[[Any], object], inputs: list[Any]) -> float:
    """The median processor time in ms of a step over its inputs."""
    times = []
    for value in inputs:
        start_ns = time.process_time_ns()
        step(value)
        times.append(time.process_time_ns() - start_ns)
    return statistics.median(times) / NS_PER_MS


class CostOfChange:
    """The benchmark of all steps for one number of routes."""

    def __init__(self, routes: int) -> None:
        self._routes = routes
        self._body = large_configuration(routes)
        self._document = read_document(self._body)

    def rows(self) -> dict[str, float]:
        """The cost of each step in ms, by its name."""
        return {
            "parse a complete document": median_ms(read_document, [self._body] * REPEATS),
            "parse it again, one route changed": self._time_replacement(),
            "apply an update of one route": median_ms(self._document.updated, self._updates()),
            "raw JSON after an update": median_ms(lambda changed: changed.raw, self._changed_documents()),
            "primary: validate, append, commit an update": self._time_primary(),
            "copy a history": median_ms(lambda history: history.copy(), [self._full_history()] * REPEATS),
            "snapshot of a history after an update": self._time_snapshot(),
            "restore a history": median_ms(
                ConfigurationHistory.restore, [self._full_history().snapshot()] * 3
            ),
            "data plane: apply an update": self._time_data_plane(),
        }

    def _updates(self) -> list[bytes]:
        return [one_route_update(2, number * 13 % self._routes) for number in range(REPEATS)]

    def _changed_documents(self) -> list[Document]:
        return [self._document.updated(update) for update in self._updates()]

    def _time_replacement(self) -> float:
        changed = self._changed_documents()[0].raw
        return median_ms(lambda body: read_document(body, self._document), [changed] * REPEATS)

    def _full_history(self) -> ConfigurationHistory:
        """A history with the maximum number of retained digests and this document as its last version."""
        history = ConfigurationHistory()
        for version in range(1, RETAINED_DIGESTS):
            history.apply(
                Command(CommandKind.REPLACE, version - 1, encoded(complete_configuration(version, routes=[])))
            )
        last = large_configuration(self._routes, version=RETAINED_DIGESTS)
        history.apply(Command(CommandKind.REPLACE, RETAINED_DIGESTS - 1, last))
        return history

    def _time_primary(self) -> float:
        appended = self._full_history()
        committed = appended.copy()
        states = [committed]

        def commit_update(version: int) -> None:
            command = Command(
                CommandKind.UPDATE, version - 1, one_route_update(version, version % self._routes)
            )
            assert appended.validate(command) is None
            appended.apply(command)
            states[:] = [appended.copy()]

        return median_ms(commit_update, list(range(RETAINED_DIGESTS + 1, RETAINED_DIGESTS + 1 + REPEATS)))

    def _time_snapshot(self) -> float:
        history = self._full_history()

        def update_first_route(version: int) -> None:
            history.apply(Command(CommandKind.UPDATE, version - 1, one_route_update(version, 0)))

        versions = range(RETAINED_DIGESTS + 1, RETAINED_DIGESTS + 1 + REPEATS)
        times = []
        for version in versions:
            update_first_route(version)
            times.append(median_ms(lambda _: history.snapshot(), [0]))
        return statistics.median(times)

    def _time_data_plane(self) -> float:
        admission = Admission(UnlimitedQuota(), lambda: True, random.Random(1))
        admission.configure(self._document)

        def apply_update(update: bytes) -> None:
            admission.configure(self._document.updated(update))

        return median_ms(apply_update, self._updates())


def main(sizes: tuple[int, ...]) -> None:
    """Print the table of costs."""
    columns = {size: CostOfChange(size).rows() for size in sizes}
    print(f"{'routes':<44}" + "".join(f"{size:>10,}" for size in sizes))
    for name in columns[sizes[0]]:
        print(f"{name:<44}" + "".join(f"{columns[size][name]:>10.3f}" for size in sizes))


if __name__ == "__main__":
    main(tuple(int(argument) for argument in sys.argv[1:]) or SIZES)
