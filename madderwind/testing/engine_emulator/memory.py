"""KV-cache memory of a model server: blocks of running sequences and of cached prompt parts."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Sequence

from madderwind.placement.prompts import PromptPart


class CachedPart:
    """A cached prompt part. It can't be evicted while a sequence has it pinned."""

    __slots__ = ("blocks", "pin_count")

    def __init__(self, blocks: int) -> None:
        self.blocks = blocks
        self.pin_count = 0


class EngineMemory:
    """Block allocator with a prefix cache. Unpinned parts are evicted in least-recently-used order."""

    def __init__(self, kv_tokens: int, block_tokens: int) -> None:
        self._block_tokens = block_tokens
        self._total_blocks = kv_tokens // block_tokens
        self._free_blocks = self._total_blocks
        self._pinned: dict[str, CachedPart] = {}
        self._unpinned: OrderedDict[str, CachedPart] = OrderedDict()
        self._unpinned_blocks = 0

    @property
    def total_blocks(self) -> int:
        """Total number of blocks."""
        return self._total_blocks

    @property
    def available_blocks(self) -> int:
        """Blocks that are free or can be freed by eviction."""
        return self._free_blocks + self._unpinned_blocks

    @property
    def held_tokens(self) -> int:
        """Capacity, in tokens, of the blocks that can't be evicted."""
        return (self._total_blocks - self.available_blocks) * self._block_tokens

    def blocks_for(self, tokens: int) -> int:
        """Number of blocks that this many tokens occupy."""
        return -(-tokens // self._block_tokens)

    def cached_prefix_length(self, parts: Sequence[PromptPart]) -> int:
        """Number of leading parts that are cached, up to the first that is not."""
        for index, part in enumerate(parts):
            if part.id not in self._pinned and part.id not in self._unpinned:
                return index
        return len(parts)

    def pin(self, parts: Iterable[PromptPart]) -> None:
        """Pin these cached parts for one sequence."""
        for part in parts:
            cached = self._pinned.get(part.id)
            if cached is None:
                cached = self._unpinned.pop(part.id)
                self._unpinned_blocks -= cached.blocks
                self._pinned[part.id] = cached
            cached.pin_count += 1

    def unpin(self, parts: Iterable[PromptPart]) -> None:
        """Remove one sequence's pin from these parts."""
        for part in parts:
            cached = self._pinned[part.id]
            cached.pin_count -= 1
            if not cached.pin_count:
                self._unpinned[part.id] = self._pinned.pop(part.id)
                self._unpinned_blocks += cached.blocks

    def allocate(self, blocks: int) -> bool:
        """Allocate blocks, evicting unpinned parts if needed; False if too few are available."""
        if blocks > self.available_blocks:
            return False
        while self._free_blocks < blocks:
            _, cached = self._unpinned.popitem(last=False)
            self._unpinned_blocks -= cached.blocks
            self._free_blocks += cached.blocks
        self._free_blocks -= blocks
        return True

    def free(self, blocks: int) -> None:
        """Free a sequence's own blocks."""
        self._free_blocks += blocks

    def add_to_cache(self, part: PromptPart, blocks: int) -> None:
        """Turn a sequence's filled blocks into a cached part that it pins; a duplicate's blocks are freed."""
        if part.id in self._pinned or part.id in self._unpinned:
            self._free_blocks += blocks
        else:
            self._unpinned[part.id] = CachedPart(blocks)
            self._unpinned_blocks += blocks
        self.pin((part,))
