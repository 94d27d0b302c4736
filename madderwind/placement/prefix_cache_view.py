"""Estimate of the prompt parts in an upstream's prefix cache, from the prompts sent to it."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence

from madderwind.placement.prompts import PromptPart

# The last part of a prompt is never requested again, so only its length matters. Last parts are tracked
# together in blocks of this fraction of the cache's capacity; a block is evicted as a whole.
LAST_PART_BLOCK_FRACTION = 1 / 32


class PrefixCacheView:
    """An LRU model of the cache: the least recently used parts are evicted once the capacity is exceeded.

    A balancer that receives no dispatch reports counts the last part of a prompt `multiple` times, once for
    each balancer that is assumed to send as much.
    """

    def __init__(self) -> None:
        # Tokens of shared parts by part id and of blocks of last parts by block number, least recently used
        # first.
        self._entry_tokens: OrderedDict[str | int, float] = OrderedDict()
        self._total_tokens = 0.0
        self._current_block = 0
        self._is_complete = False

    @property
    def is_complete(self) -> bool:
        """Whether every part that the upstream has cached is tracked here.

        That holds if its cache was empty when tracking began, or if the prompts sent since exceed its
        capacity. Without it, a balancer that has just started would take all caches for empty.
        """
        return self._is_complete

    def mark_started_empty(self) -> None:
        """Record that the upstream started with an empty cache while its prompts are tracked."""
        self._is_complete = True

    def __len__(self) -> int:
        """The number of tracked parts and blocks."""
        return len(self._entry_tokens)

    def cached_tokens(self, parts: Sequence[PromptPart]) -> int:
        """The tokens of the longest cached prefix of the prompt, without its last part."""
        entry_tokens = self._entry_tokens
        tokens = 0
        for part in parts[:-1]:
            if part.id not in entry_tokens:
                break
            tokens += part.tokens
        return tokens

    def add_prompt(self, parts: Sequence[PromptPart], kv_tokens: int, multiple: int = 1) -> None:
        """Record a prompt of these parts, sent to the upstream with a cache capacity of `kv_tokens`."""
        for part in parts[:-1]:
            self._refresh(part.id, float(part.tokens))
        if parts:
            self._add_last_part(float(parts[-1].tokens * multiple), kv_tokens)
        self._evict(kv_tokens)

    def _refresh(self, part_id: str, tokens: float) -> None:
        previous = self._entry_tokens.pop(part_id, 0.0)
        self._entry_tokens[part_id] = tokens
        self._total_tokens += tokens - previous

    def _add_last_part(self, tokens: float, kv_tokens: int) -> None:
        block_tokens = self._entry_tokens.get(self._current_block, 0.0) + tokens
        self._entry_tokens[self._current_block] = block_tokens
        self._total_tokens += tokens
        if block_tokens >= LAST_PART_BLOCK_FRACTION * kv_tokens:
            self._current_block += 1

    def _evict(self, kv_tokens: int) -> None:
        while self._total_tokens > kv_tokens and self._entry_tokens:
            self._is_complete = True
            _, tokens = self._entry_tokens.popitem(last=False)
            self._total_tokens -= tokens
