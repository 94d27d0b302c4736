"""One replica of the configuration: events in, actions out, no input or output of its own."""

from __future__ import annotations

import random
from collections.abc import Callable

from madderwind.replication.api import Action, Event, ReplicatedState, Standing
from madderwind.replication.times import ReplicationTimes
from madderwind.storage.record_file import RecoveredFile


class Replica:
    """A member or learner of the replicated configuration, and a witness of its views."""

    def __init__(
        self,
        *,
        identity_address: str,
        zone: str,
        control_address: str,
        seeds: tuple[str, ...],
        bootstrap: bool,
        tolerance: int,
        recovered: RecoveredFile,
        empty_state: Callable[[], ReplicatedState],
        restore_state: Callable[[bytes], ReplicatedState],
        rng: random.Random,
        now_ms: float,
        times: ReplicationTimes,
    ) -> None:
        self.committed = empty_state()

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        """Take an event; what comes back is to be carried out in order."""
        return []

    def standing(self, now_ms: float) -> Standing:
        """How this replica stands."""
        return Standing(False, "", 0, self.committed.version, None, ())
