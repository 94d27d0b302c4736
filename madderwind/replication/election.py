"""Timing of elections: when this replica becomes a candidate for primary. Sends no messages."""

from __future__ import annotations

from madderwind.replication.context import ReplicaContext

# Backoff of a candidate that met a rival: drawn below this limit, which doubles with each rival in an epoch.
# With slow disk syncs, two candidates with a short backoff would keep superseding each other's proposals.
INITIAL_BACKOFF_MS = 60.0
MAX_BACKOFF_MS = 2_000.0
MIN_BACKOFF_MS = 10.0
# Upper limits of the random delay of a candidate after a start, and after the primary is permanently lost.
START_JITTER_MS = 100.0
EXPEDITED_JITTER_MS = 50.0


class Election:
    """The election timer. From `due_ms` (monotonic time) on, this replica may become a candidate."""

    def __init__(self, context: ReplicaContext, now_ms: float) -> None:
        self._store, self._times, self._rng = context.store, context.times, context.rng
        self.due_ms = now_ms + self._initial_delay_ms()
        self._rival_count = 0  # number of rivals met in this epoch
        self._transfer_epoch = 0  # epoch whose primary transferred leadership to this replica

    @property
    def is_transfer_target(self) -> bool:
        """Whether the primary of the newest view transferred leadership to this replica."""
        return self._transfer_epoch == self._store.epoch

    def postpone(self, now_ms: float, min_ms: float, max_ms: float) -> None:
        """Restart the timer with a delay drawn at random between two bounds."""
        self.due_ms = now_ms + self._rng.uniform(min_ms, max_ms)

    def restart_timeout(self, now_ms: float) -> None:
        """Restart the timer with the election timeout, as the primary is alive."""
        self.postpone(now_ms, self._times.election_timeout_min_ms, self._times.election_timeout_max_ms)

    def begin_epoch(self) -> None:
        """Forget the rivals of earlier epochs, as a newer view is known."""
        self._rival_count = 0

    def draw_backoff_ms(self) -> float:
        """Draw the delay for which this replica defers to a rival candidate."""
        max_ms = min(INITIAL_BACKOFF_MS * 2.0**self._rival_count, MAX_BACKOFF_MS)
        self._rival_count += 1
        return self._rng.uniform(MIN_BACKOFF_MS, max_ms)

    def wait_at_least(self, now_ms: float, backoff_ms: float) -> None:
        """Delay the candidacy at least until a backoff has ended."""
        self.due_ms = max(self.due_ms, now_ms + backoff_ms)

    def expedite(self, now_ms: float) -> None:
        """Shorten the delay, as the primary is permanently lost and its timeout need not be awaited."""
        self.due_ms = min(self.due_ms, now_ms + self._rng.uniform(0.0, EXPEDITED_JITTER_MS))

    def accept_transfer(self, now_ms: float, epoch: int) -> None:
        """Become due at once, as the primary of this epoch transferred leadership to this replica."""
        self._transfer_epoch = epoch
        self.due_ms = now_ms

    def is_due(self, now_ms: float, is_stopping: bool) -> bool:
        """Whether to become a candidate now; requires all committed entries and a healthy disk."""
        store = self._store
        if now_ms < self.due_ms or is_stopping or store.epoch == 0:
            return False
        return store.is_in_sync and store.is_member and store.is_disk_healthy(now_ms)

    def _initial_delay_ms(self) -> float:
        """The delay after a start.

        A restarted primary does not wait for the election timeout, as no other replica can be primary in its
        epoch.
        """
        jitter_ms = self._rng.uniform(0.0, START_JITTER_MS)
        view = self._store.view
        was_primary = view is not None and view.primary == self._store.me.incarnation
        return jitter_ms if was_primary else self._times.election_timeout_min_ms + jitter_ms
