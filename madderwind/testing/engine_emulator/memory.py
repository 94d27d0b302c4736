"""A model server's memory: blocks of running sequences and of kept prompt parts."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Sequence

from madderwind.placement.prompts import PromptPart


class KeptPart:
    """One part in memory. It can't give way while a sequence uses it."""

    __slots__ = ("blocks", "users")

    def __init__(self, blocks: int) -> None:
        self.blocks = blocks
        self.users = 0


class EngineMemory:
    """Blocks in use. Parts that nobody uses give way, those unused longest first."""

    def __init__(self, kv_tokens: int, block_tokens: int) -> None:
        self._block_tokens = block_tokens
        self._total = kv_tokens // block_tokens
        self._free = self._total
        self._used: dict[str, KeptPart] = {}
        self._unused: OrderedDict[str, KeptPart] = OrderedDict()
        self._unused_blocks = 0

    @property
    def total_blocks(self) -> int:
        """All blocks there are."""
        return self._total

    @property
    def available_blocks(self) -> int:
        """Blocks that are free or can give way."""
        return self._free + self._unused_blocks

    @property
    def held_tokens(self) -> int:
        """Tokens that can't give way."""
        return (self._total - self.available_blocks) * self._block_tokens

    def blocks_of(self, tokens: int) -> int:
        """Blocks that this many tokens take."""
        return -(-tokens // self._block_tokens)

    def kept_chain(self, parts: Sequence[PromptPart]) -> int:
        """How many parts from the start are kept, none before them missing."""
        for index, part in enumerate(parts):
            if part.id not in self._used and part.id not in self._unused:
                return index
        return len(parts)

    def use(self, parts: Iterable[PromptPart]) -> None:
        """A sequence uses these kept parts from now on."""
        for part in parts:
            kept = self._used.get(part.id)
            if kept is None:
                kept = self._unused.pop(part.id)
                self._unused_blocks -= kept.blocks
                self._used[part.id] = kept
            kept.users += 1

    def release(self, parts: Iterable[PromptPart]) -> None:
        """A sequence no longer uses these parts."""
        for part in parts:
            kept = self._used[part.id]
            kept.users -= 1
            if not kept.users:
                self._unused[part.id] = self._used.pop(part.id)
                self._unused_blocks += kept.blocks

    def take(self, blocks: int) -> bool:
        """Take blocks for a sequence, parts giving way for them; False where they can't be had."""
        if blocks > self.available_blocks:
            return False
        while self._free < blocks:
            _, kept = self._unused.popitem(last=False)
            self._unused_blocks -= kept.blocks
            self._free += kept.blocks
        self._free -= blocks
        return True

    def refund(self, blocks: int) -> None:
        """A sequence's own blocks are free again."""
        self._free += blocks

    def keep(self, part: PromptPart, blocks: int) -> None:
        """Blocks that a sequence has filled become a kept part which it uses; a copy of one is freed."""
        if part.id in self._used or part.id in self._unused:
            self._free += blocks
        else:
            self._unused[part.id] = KeptPart(blocks)
            self._unused_blocks += blocks
        self.use((part,))
