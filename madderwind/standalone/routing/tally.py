"""Counters of the process since its start, for the metrics."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Iterator

from madderwind.standalone.protocol.answers import REFUSED

PASSED, DROPPED, BAD_GATEWAY = "passed", "dropped", "bad_gateway"
OUTCOMES = (PASSED, DROPPED, BAD_GATEWAY)


class Tally:
    """Counts requests. Each accepted one ends once: with an outcome, or because its client disconnected."""

    def __init__(self, categories: Iterable[str]) -> None:
        self._handled: dict[str, Counter[str]] = {}
        self.taken, self.client_gone = 0, 0
        self.tries = 0  # attempts whose last byte was written to an upstream
        self.loads, self.load_errors = 0, 0
        self.version: int | None = None  # of the settings in force, if their file gives one
        self.add_classes(categories)

    def add_classes(self, categories: Iterable[str]) -> None:
        """Add classes that are in use from now on. Earlier classes keep their counts."""
        for category in categories:
            self._handled.setdefault(category, Counter())

    @property
    def ended(self) -> int:
        return self.client_gone + sum(counts.total() for counts in self._handled.values())

    @property
    def in_progress(self) -> int:
        return self.taken - self.ended

    def count_attempt(self) -> None:
        self.tries += 1

    def count_answer(self, category: str, status: int) -> None:
        outcome = PASSED if status == 200 else DROPPED if status in (429, REFUSED) else BAD_GATEWAY
        self._handled[category][outcome] += 1

    def handled(self) -> Iterator[tuple[str, str, int]]:
        for category, counts in self._handled.items():
            for outcome in OUTCOMES:
                yield category, outcome, counts[outcome]
