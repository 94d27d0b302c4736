"""Measures what reading, changing and looking up a configuration costs the event loop, by its size.

By hand: `python -m tests.configuration.cost_of_change [ROUTES ...]`. Times are medians of processor time in
ms; each row names the step, its columns are the sizes.
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
from tests.configuration.samples import encoded, route, tenant, whole

SIZES = (100, 2_000, 16_000)
ROUTES_PER_HOST = 50
ROUTES_PER_TENANT = 20
REPEATS = 7
NS_PER_MS = 1e6


class EndlessQuota:
    """No tenant has a limit."""

    def admit(self, now_ms: float, tenant_name: str, amount: float, *, is_late: bool = False) -> bool:
        return True

    def refund(self, now_ms: float, tenant_name: str, amount: float, *, is_late: bool = False) -> None:
        return None

    def retry_after_ms(self, now_ms: float, tenant_name: str) -> float:
        return 0.0


def large_configuration(routes: int, version: int = 1) -> bytes:
    """The JSON of a configuration with so many routes, on many hosts, and a tenant for every 20."""
    items = [route(f"r-{number}", host=f"h{number // ROUTES_PER_HOST}.example") for number in range(routes)]
    tenants = [
        tenant(f"t-{number}", f"key-{number}") for number in range(max(1, routes // ROUTES_PER_TENANT))
    ]
    return encoded(whole(version, routes=items, tenants=tenants))


def one_route_update(version: int, number: int) -> bytes:
    """An update that changes the time-out of one route."""
    changed = route(f"r-{number}", host=f"h{number // ROUTES_PER_HOST}.example", timeout_ms=5_000 + version)
    return encoded({"version": version, "upsert": {"routes": [changed]}})


def median_ms(step: Callable[[Any], object], inputs: list[Any]) -> float:
    """The median processor time of a step over its inputs."""
    times = []
    for value in inputs:
        began = time.process_time_ns()
        step(value)
        times.append(time.process_time_ns() - began)
    return statistics.median(times) / NS_PER_MS


class CostOfChange:
    """All steps at one size."""

    def __init__(self, routes: int) -> None:
        self._routes = routes
        self._body = large_configuration(routes)
        self._document = read_document(self._body)

    def rows(self) -> dict[str, float]:
        """The cost of each step in ms, by its name."""
        return {
            "read a whole document": median_ms(read_document, [self._body] * REPEATS),
            "read it again, one route changed": self._replaced(),
            "apply an update of one route": median_ms(self._document.updated, self._updates()),
            "raw after an update": median_ms(lambda changed: changed.raw, self._changed()),
            "primary: decide, append, commit an update": self._primary(),
            "copy of a history": median_ms(lambda history: history.copy(), [self._history()] * REPEATS),
            "snapshot of a history after an update": self._snapshot(),
            "restore a history": median_ms(ConfigurationHistory.restore, [self._history().snapshot()] * 3),
            "data plane: update put in force": self._data_plane(),
        }

    def _updates(self) -> list[bytes]:
        return [one_route_update(2, number * 13 % self._routes) for number in range(REPEATS)]

    def _changed(self) -> list[Document]:
        return [self._document.updated(update) for update in self._updates()]

    def _replaced(self) -> float:
        changed = self._changed()[0].raw
        return median_ms(lambda body: read_document(body, self._document), [changed] * REPEATS)

    def _history(self) -> ConfigurationHistory:
        """With all digests that are kept, and this document at the end."""
        history = ConfigurationHistory()
        for version in range(1, RETAINED_DIGESTS):
            history.apply(Command(CommandKind.REPLACE, version - 1, encoded(whole(version, routes=[]))))
        last = large_configuration(self._routes, version=RETAINED_DIGESTS)
        history.apply(Command(CommandKind.REPLACE, RETAINED_DIGESTS - 1, last))
        return history

    def _primary(self) -> float:
        appended = self._history()
        committed = appended.copy()
        states = [committed]

        def take(version: int) -> None:
            command = Command(
                CommandKind.UPDATE, version - 1, one_route_update(version, version % self._routes)
            )
            assert appended.validate(command) is None
            appended.apply(command)
            states[:] = [appended.copy()]

        return median_ms(take, list(range(RETAINED_DIGESTS + 1, RETAINED_DIGESTS + 1 + REPEATS)))

    def _snapshot(self) -> float:
        history = self._history()

        def change(version: int) -> None:
            history.apply(Command(CommandKind.UPDATE, version - 1, one_route_update(version, 0)))

        versions = range(RETAINED_DIGESTS + 1, RETAINED_DIGESTS + 1 + REPEATS)
        times = []
        for version in versions:
            change(version)
            times.append(median_ms(lambda _: history.snapshot(), [0]))
        return statistics.median(times)

    def _data_plane(self) -> float:
        admission = Admission(EndlessQuota(), lambda: True, random.Random(1))
        admission.configure(self._document)

        def put_in_force(update: bytes) -> None:
            admission.configure(self._document.updated(update))

        return median_ms(put_in_force, self._updates())


def main(sizes: tuple[int, ...]) -> None:
    """Print a table."""
    columns = {size: CostOfChange(size).rows() for size in sizes}
    print(f"{'routes':<44}" + "".join(f"{size:>10,}" for size in sizes))
    for name in columns[sizes[0]]:
        print(f"{name:<44}" + "".join(f"{columns[size][name]:>10.3f}" for size in sizes))


if __name__ == "__main__":
    main(tuple(int(argument) for argument in sys.argv[1:]) or SIZES)
