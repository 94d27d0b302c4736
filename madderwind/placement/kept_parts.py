"""Which prompt parts an upstream is believed to keep, from what this balancer sent to it."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence

from madderwind.placement.prompts import PromptPart


class KeptParts:
    """Parts by last use, those unused longest dropped once they would not fit `kv_tokens`.

    A part that only this balancer sends (a prompt's last) stands for as many from every other balancer, so it
    weighs `fleet` times its tokens.
    """

    def __init__(self, kv_tokens: int) -> None:
        self._kv_tokens = kv_tokens
        self._weights: OrderedDict[str, float] = OrderedDict()
        self._total = 0.0

    def cached_tokens(self, parts: Sequence[PromptPart]) -> int:
        """Tokens of the longest chain of kept parts from the prompt's start."""
        weights = self._weights
        tokens = 0
        for part in parts:
            if part.id not in weights:
                break
            tokens += part.tokens
        return tokens

    def used(self, parts: Sequence[PromptPart], fleet: int) -> None:
        """A prompt of these parts was sent to the upstream."""
        last = len(parts) - 1
        for index, part in enumerate(parts):
            self._touch(part.id, float(part.tokens * (fleet if index == last else 1)))
        self._evict()

    def _touch(self, part_id: str, weight: float) -> None:
        known = self._weights.pop(part_id, 0.0)
        self._weights[part_id] = weight
        self._total += weight - known

    def _evict(self) -> None:
        while self._total > self._kv_tokens and self._weights:
            _, weight = self._weights.popitem(last=False)
            self._total -= weight
