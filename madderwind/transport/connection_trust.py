"""Decides whether pooled connections to upstreams may be reused."""

from __future__ import annotations


class ConnectionTrust:
    """Whether pooled connections may be reused.

    Guards against upstreams, or middleboxes before them, that drop an idle connection without closing it: the
    next request on it ends in a reset and may have run. Nothing shows which connections are affected, so
    after such a reset requests get new connections for a pause, which doubles with each further reset. After
    the pause only repeatable requests reuse pooled connections, until enough of them have succeeded.
    """

    BASE_PAUSE_S, MAX_PAUSE_S, SUCCESSES_TO_RECOVER = 1.0, 20.0, 64

    def __init__(self) -> None:
        self._reset_count, self._successes, self._paused_until_s = 0, 0, float("-inf")

    def may_reuse(self, now_s: float, may_repeat: bool) -> bool:
        return not self._reset_count or (may_repeat and now_s >= self._paused_until_s)

    def record_success(self) -> None:
        self._successes += 1
        if self._successes >= self.SUCCESSES_TO_RECOVER:
            self._reset_count, self._successes = 0, 0

    def record_reset(self, now_s: float) -> None:
        # resets of other open requests during the pause carry no new information
        if now_s >= self._paused_until_s:
            self._paused_until_s = now_s + min(self.MAX_PAUSE_S, self.BASE_PAUSE_S * 2.0**self._reset_count)
            self._reset_count, self._successes = self._reset_count + 1, 0


class UnconditionalTrust(ConnectionTrust):
    """For upstreams that state how long they keep a connection: a reset says nothing about the others."""

    def record_reset(self, now_s: float) -> None:
        """Keep reusing pooled connections."""
