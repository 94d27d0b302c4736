"""When this replica stands for election as primary. Free of messages."""

from __future__ import annotations

from madderwind.replication.context import ReplicaContext

# Backoff of a candidate that met a rival, drawn below it and doubled with each rival met in an epoch: syncs
# of a slow disk may take so long that two candidates keep beating each other.
INITIAL_BACKOFF_MS = 60.0
MAX_BACKOFF_MS = 2_000.0
MIN_BACKOFF_MS = 10.0
# After a start, and when the primary is lost for good, candidates draw their waits up to these.
START_JITTER_MS = 100.0
EXPEDITED_JITTER_MS = 50.0


class Election:
    """The moment from which this replica may ask to be primary; `due_ms` is on the steady clock."""

    def __init__(self, context: ReplicaContext, now_ms: float) -> None:
        self._store, self._times, self._rng = context.store, context.times, context.rng
        self.due_ms = now_ms + self._first_wait_ms()
        self._rivals = 0  # met in this epoch
        self._transfer_epoch = 0  # the epoch whose primary asked this replica to take over

    @property
    def is_transfer_target(self) -> bool:
        """Whether the primary of the newest view transferred its role to this replica."""
        return self._transfer_epoch == self._store.epoch

    def postpone(self, now_ms: float, min_ms: float, max_ms: float) -> None:
        """Stand no sooner than after a wait drawn between two bounds."""
        self.due_ms = now_ms + self._rng.uniform(min_ms, max_ms)

    def restart_timeout(self, now_ms: float) -> None:
        """The primary is at work: stand once it has timed out."""
        self.postpone(now_ms, self._times.election_timeout_min_ms, self._times.election_timeout_max_ms)

    def begin_epoch(self) -> None:
        """Another view is known: rivals for its epoch no longer matter."""
        self._rivals = 0

    def draw_backoff_ms(self) -> float:
        """How long to leave the place to a rival candidate."""
        max_ms = min(INITIAL_BACKOFF_MS * 2.0**self._rivals, MAX_BACKOFF_MS)
        self._rivals += 1
        return self._rng.uniform(MIN_BACKOFF_MS, max_ms)

    def wait_at_least(self, now_ms: float, backoff_ms: float) -> None:
        """Do not stand before a backoff is over."""
        self.due_ms = max(self.due_ms, now_ms + backoff_ms)

    def expedite(self, now_ms: float) -> None:
        """The primary is lost for good: there is nothing to wait for."""
        self.due_ms = min(self.due_ms, now_ms + self._rng.uniform(0.0, EXPEDITED_JITTER_MS))

    def accept_transfer(self, now_ms: float, epoch: int) -> None:
        """The primary of this epoch asks this replica to take its place."""
        self._transfer_epoch = epoch
        self.due_ms = now_ms

    def is_due(self, now_ms: float, is_stopping: bool) -> bool:
        """Whether to stand now: only a replica that holds all that is committed, and can write, may."""
        store = self._store
        if now_ms < self.due_ms or is_stopping or store.epoch == 0:
            return False
        return store.is_in_sync and store.is_member and store.is_disk_healthy(now_ms)

    def _first_wait_ms(self) -> float:
        """After a start. A primary that was started anew knows that nobody holds the role in its epoch."""
        wait_ms = self._rng.uniform(0.0, START_JITTER_MS)
        view = self._store.view
        was_primary = view is not None and view.primary == self._store.me.incarnation
        return wait_ms if was_primary else self._times.election_timeout_min_ms + wait_ms
