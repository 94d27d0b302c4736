"""Which prompt parts an upstream is believed to keep, from what was sent to it."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence

from madderwind.placement.prompts import PromptPart

# Last parts of prompts are asked for once, so that only their tokens matter: they are remembered together, in
# blocks of this part of the memory, each of which gives way whole.
OWN_BLOCK_PART = 1 / 32


class PrefixCacheView:
    """Shared parts by last use, those unused longest dropped once all would not fit the memory.

    A balancer that hears nothing of the others' sends counts a prompt's last part `multiple` times, once for
    each balancer that sends as much.
    """

    def __init__(self) -> None:
        # Shared parts by their ids, and blocks of last parts by their numbers; those unused longest first.
        self._weights: OrderedDict[str | int, float] = OrderedDict()
        self._total = 0.0
        self._block = 0
        self._is_complete = False

    @property
    def is_complete(self) -> bool:
        """Whether all that the upstream keeps is here: it began empty, or took in a memory's worth since.

        Guards against a balancer that has just started and takes all memories for empty.
        """
        return self._is_complete

    def begin_empty(self) -> None:
        """The upstream began, with an empty memory, while its prompts are followed."""
        self._is_complete = True

    def __len__(self) -> int:
        """How many parts and blocks are remembered."""
        return len(self._weights)

    def cached_tokens(self, parts: Sequence[PromptPart]) -> int:
        """Tokens of the longest chain of kept parts from the prompt's start, its last part left out."""
        weights = self._weights
        tokens = 0
        for part in parts[:-1]:
            if part.id not in weights:
                break
            tokens += part.tokens
        return tokens

    def used(self, parts: Sequence[PromptPart], kv_tokens: int, multiple: int = 1) -> None:
        """A prompt of these parts was sent to the upstream, whose memory holds `kv_tokens`."""
        for part in parts[:-1]:
            self._refresh(part.id, float(part.tokens))
        if parts:
            self._add_own(float(parts[-1].tokens * multiple), kv_tokens)
        self._evict(kv_tokens)

    def _refresh(self, part_id: str, weight: float) -> None:
        known = self._weights.pop(part_id, 0.0)
        self._weights[part_id] = weight
        self._total += weight - known

    def _add_own(self, weight: float, kv_tokens: int) -> None:
        block_weight = self._weights.get(self._block, 0.0) + weight
        self._weights[self._block] = block_weight
        self._total += weight
        if block_weight >= OWN_BLOCK_PART * kv_tokens:
            self._block += 1

    def _evict(self, kv_tokens: int) -> None:
        while self._total > kv_tokens and self._weights:
            self._is_complete = True
            _, weight = self._weights.popitem(last=False)
            self._total -= weight
