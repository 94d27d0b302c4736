"""How long a first event takes: a fixed part and a part by tokens to prefill, learned from own answers."""

from __future__ import annotations

PRIOR_FIXED_MS = 110.0
PRIOR_MS_PER_TOKEN = 0.03
# The prior counts as this many answers at each of two sizes.
PRIOR_ANSWERS = 8.0
PRIOR_SIZES = (1000.0, 20000.0)
FORGETTING = 0.995
LOWEST_MS_PER_TOKEN, HIGHEST_MS_PER_TOKEN = 0.002, 1.0
LOWEST_FIXED_MS = 1.0
# An answer further off than this multiple of what was predicted is a disturbance, not a rate.
OUTLIER_FACTOR = 4.0


class FirstEventModel:
    """A least-squares line through (tokens to prefill, ms to the first event) that forgets slowly."""

    def __init__(self) -> None:
        self.fixed_ms = PRIOR_FIXED_MS
        self.ms_per_token = PRIOR_MS_PER_TOKEN
        self._weight = self._tokens = self._ms = self._tokens_squared = self._tokens_ms = 0.0
        for tokens in PRIOR_SIZES:
            self._add(tokens, self.predicted_ms(tokens), PRIOR_ANSWERS)

    def predicted_ms(self, tokens: float) -> float:
        """Milliseconds to a first event when this many tokens are to be prefilled before it."""
        return self.fixed_ms + self.ms_per_token * tokens

    def observe(self, tokens: float, first_ms: float) -> None:
        """Learn from one answer."""
        first_ms = min(first_ms, OUTLIER_FACTOR * self.predicted_ms(tokens))
        self._weight *= FORGETTING
        self._tokens *= FORGETTING
        self._ms *= FORGETTING
        self._tokens_squared *= FORGETTING
        self._tokens_ms *= FORGETTING
        self._add(tokens, first_ms, 1.0)
        self._solve()

    def _add(self, tokens: float, first_ms: float, weight: float) -> None:
        self._weight += weight
        self._tokens += weight * tokens
        self._ms += weight * first_ms
        self._tokens_squared += weight * tokens * tokens
        self._tokens_ms += weight * tokens * first_ms

    def _solve(self) -> None:
        spread = self._weight * self._tokens_squared - self._tokens * self._tokens
        if spread <= 0.0:
            return
        slope = (self._weight * self._tokens_ms - self._tokens * self._ms) / spread
        self.ms_per_token = min(max(slope, LOWEST_MS_PER_TOKEN), HIGHEST_MS_PER_TOKEN)
        self.fixed_ms = max((self._ms - self.ms_per_token * self._tokens) / self._weight, LOWEST_FIXED_MS)
