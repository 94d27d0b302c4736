"""When this replica stands for the primary's place. Free of messages."""

from __future__ import annotations

from madderwind.replication.core import ReplicaCore

# Pause of a candidate that met a rival, drawn below it and doubled with each rival met in an epoch: syncs of
# a slow disk may take so long that two candidates keep beating each other.
FIRST_PAUSE_MS = 60.0
LONGEST_PAUSE_MS = 2_000.0


class Election:
    """The moment from which this replica may ask to be primary. All times in ms on the steady clock."""

    def __init__(self, core: ReplicaCore, now_ms: float) -> None:
        self._core = core
        self.due_ms = now_ms + self._first_wait_ms(core)
        self._rivals = 0  # met in this epoch
        self._transfer_epoch = 0  # the epoch whose primary asked this replica to take over

    def _first_wait_ms(self, core: ReplicaCore) -> float:
        """After a start. A primary that was started anew knows that nobody holds the role in its epoch."""
        wait_ms = core.rng.uniform(0.0, 100.0)
        was_primary = core.view is not None and core.view.primary == core.me.incarnation
        return wait_ms if was_primary else core.times.election_min_ms + wait_ms

    @property
    def is_transfer_target(self) -> bool:
        """Whether the primary of the newest view gave its role to this replica."""
        return self._transfer_epoch == self._core.epoch

    def postpone(self, now_ms: float, least_ms: float, most_ms: float) -> None:
        """Stand no sooner than after a wait drawn between two bounds."""
        self.due_ms = now_ms + self._core.rng.uniform(least_ms, most_ms)

    def postpone_by_silence(self, now_ms: float) -> None:
        """The primary is at work: stand once it was silent for the election time."""
        self.postpone(now_ms, self._core.times.election_min_ms, self._core.times.election_max_ms)

    def begin_epoch(self) -> None:
        """Another view is known: rivals for its epoch are of no matter any more."""
        self._rivals = 0

    def draw_pause_ms(self) -> float:
        """How long to leave the place to a rival candidate."""
        longest_ms = min(FIRST_PAUSE_MS * 2.0**self._rivals, LONGEST_PAUSE_MS)
        self._rivals += 1
        return self._core.rng.uniform(10.0, longest_ms)

    def wait_at_least(self, now_ms: float, pause_ms: float) -> None:
        """Do not stand before a pause is over."""
        self.due_ms = max(self.due_ms, now_ms + pause_ms)

    def hasten(self, now_ms: float) -> None:
        """The primary is lost for good: there is nothing to wait for."""
        self.due_ms = min(self.due_ms, now_ms + self._core.rng.uniform(0.0, 50.0))

    def handle_transfer(self, now_ms: float, epoch: int) -> None:
        """The primary of this epoch asks this replica to take its place."""
        self._transfer_epoch = epoch
        self.due_ms = now_ms

    def is_due(self, now_ms: float, is_leaving: bool) -> bool:
        """Whether to stand now: only who holds all that is committed, and can write, may."""
        core = self._core
        if now_ms < self.due_ms or is_leaving or core.epoch == 0:
            return False
        return core.is_in_sync and core.is_member and core.has_sound_disk(now_ms)
