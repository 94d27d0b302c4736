"""Whether connections that upstreams were asked on before may be used again."""

from __future__ import annotations


class ConnectionTrust:
    """Whether kept connections may be used again.

    Guards against upstreams, or what stands between, that give up a kept connection and do not say so: the
    next request on it is a reset that may have run. Nothing shows which ones, so after such a reset requests
    get new connections for a time, which doubles when it happens again. After that only requests that may be
    sent twice try kept ones, until enough of those have gone well.
    """

    BASE_S, CEILING_S, ENOUGH = 1.0, 20.0, 64

    def __init__(self) -> None:
        self._resets, self._went_well, self._until_s = 0, 0, float("-inf")

    def may_reuse(self, now_s: float, may_repeat: bool) -> bool:
        return not self._resets or (may_repeat and now_s >= self._until_s)

    def went_well(self) -> None:
        self._went_well += 1
        if self._went_well >= self.ENOUGH:
            self._resets, self._went_well = 0, 0

    def was_reset(self, now_s: float) -> None:
        if now_s >= self._until_s:  # what else was out by then tells nothing more
            self._until_s = now_s + min(self.CEILING_S, self.BASE_S * 2.0**self._resets)
            self._resets, self._went_well = self._resets + 1, 0


class UnconditionalTrust(ConnectionTrust):
    """For upstreams that tell how long they keep a connection: a reset says nothing about the other ones."""

    def was_reset(self, now_s: float) -> None:
        """Kept connections go on being used."""
