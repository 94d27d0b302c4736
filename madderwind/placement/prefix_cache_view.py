"""Which prompt parts an upstream is believed to keep, from what this balancer sent to it."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence

from madderwind.placement.prompts import PromptPart


class PrefixCacheView:
    """Parts by last use, those unused longest dropped once they would not fit the memory.

    A balancer that hears nothing of the others' sends counts a prompt's last part `copies` times, once for
    each balancer that sends as much.
    """

    def __init__(self) -> None:
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

    def used(self, parts: Sequence[PromptPart], kv_tokens: int, copies: int = 1) -> None:
        """A prompt of these parts was sent to the upstream, whose memory holds `kv_tokens`."""
        last = len(parts) - 1
        for index, part in enumerate(parts):
            self._touch(part.id, float(part.tokens * (copies if index == last else 1)))
        self._evict(kv_tokens)

    def _touch(self, part_id: str, weight: float) -> None:
        known = self._weights.pop(part_id, 0.0)
        self._weights[part_id] = weight
        self._total += weight - known

    def _evict(self, kv_tokens: int) -> None:
        while self._total > kv_tokens and self._weights:
            _, weight = self._weights.popitem(last=False)
            self._total -= weight
