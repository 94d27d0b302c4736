"""Linear model of the time to the first event by tokens to prefill, learned from own responses."""

from __future__ import annotations

PRIOR_FIXED_MS = 110.0
PRIOR_MS_PER_TOKEN = 0.03
# The prior has the weight of this many responses at each of two prompt sizes (in tokens).
PRIOR_SAMPLES_PER_SIZE = 8.0
PRIOR_SIZES = (1000.0, 20000.0)
DECAY_PER_SAMPLE = 0.995
MIN_MS_PER_TOKEN, MAX_MS_PER_TOKEN = 0.002, 1.0
MIN_FIXED_MS = 1.0
# Observations are capped at this multiple of the prediction: a longer one is a disturbance and says
# nothing about the prefill rate.
OUTLIER_FACTOR = 4.0


class FirstEventModel:
    """A least-squares line through (tokens to prefill, ms to the first event) with exponential decay."""

    def __init__(self) -> None:
        self.fixed_ms = PRIOR_FIXED_MS
        self.ms_per_token = PRIOR_MS_PER_TOKEN
        self._weight = self._tokens = self._ms = self._tokens_squared = self._tokens_ms = 0.0
        for tokens in PRIOR_SIZES:
            self._add(tokens, self.predicted_ms(tokens), PRIOR_SAMPLES_PER_SIZE)

    def predicted_ms(self, tokens: float) -> float:
        """The predicted milliseconds to the first event after a prefill of this many tokens."""
        return self.fixed_ms + self.ms_per_token * tokens

    def observe(self, tokens: float, first_ms: float) -> None:
        """Update the model with one response."""
        first_ms = min(first_ms, OUTLIER_FACTOR * self.predicted_ms(tokens))
        self._weight *= DECAY_PER_SAMPLE
        self._tokens *= DECAY_PER_SAMPLE
        self._ms *= DECAY_PER_SAMPLE
        self._tokens_squared *= DECAY_PER_SAMPLE
        self._tokens_ms *= DECAY_PER_SAMPLE
        self._add(tokens, first_ms, 1.0)
        self._solve()

    def _add(self, tokens: float, first_ms: float, weight: float) -> None:
        self._weight += weight
        self._tokens += weight * tokens
        self._ms += weight * first_ms
        self._tokens_squared += weight * tokens * tokens
        self._tokens_ms += weight * tokens * first_ms

    def _solve(self) -> None:
        determinant = self._weight * self._tokens_squared - self._tokens * self._tokens
        if determinant <= 0.0:
            return
        slope = (self._weight * self._tokens_ms - self._tokens * self._ms) / determinant
        self.ms_per_token = min(max(slope, MIN_MS_PER_TOKEN), MAX_MS_PER_TOKEN)
        self.fixed_ms = max((self._ms - self.ms_per_token * self._tokens) / self._weight, MIN_FIXED_MS)
