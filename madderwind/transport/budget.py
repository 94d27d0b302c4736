"""How many bytes of messages this machine may hold at once."""

from __future__ import annotations

import asyncio
from collections import deque

MIB = 1024 * 1024
# What a process takes before it holds a byte, seen to be 26 MB; and the part of the rest that messages may
# take, as buffers of the system and of Python come on top. In an upgrade there are two processes.
PROCESS_MIB, PROCESSES, PART = 28, 2, 0.7
LEAST_MIB = 2


class Budget:
    """Short messages always get their bytes; long ones wait in turn while too few are left.

    Guards against long messages, more at once than memory holds, for which the process would be killed.
    """

    def __init__(self, size: int) -> None:
        self.left = self.size = size
        self._waiting: deque[tuple[int, asyncio.Future[None]]] = deque()

    def resize(self, size: int) -> None:
        """More or less from now on; what is held stays held."""
        self.left, self.size = self.left + size - self.size, size
        self.give_back(0)

    def spend(self, count: int) -> None:
        """For a short message, whatever is left."""
        self.left -= count

    def try_spend(self, count: int) -> bool:
        """For more of a message, if nobody waits and it is there."""
        if self._waiting or self.left < count:
            return False
        self.left -= count
        return True

    async def wait_for(self, count: int) -> None:
        """For a long message, in turn."""
        if self.try_spend(count):
            return
        turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting.append((count, turn))
        try:
            await turn
        except asyncio.CancelledError:
            if turn.done() and not turn.cancelled():
                self.give_back(count)  # its turn came as it left
            raise

    def give_back(self, count: int) -> None:
        self.left += count
        while self._waiting and (self._waiting[0][1].done() or self.left >= self._waiting[0][0]):
            wanted, turn = self._waiting.popleft()
            if not turn.done():
                self.left -= wanted
                turn.set_result(None)


class Budgets:
    """One budget of bytes, half for messages that are held and half for those that pass on in pieces.

    Guards against a standstill: who passes a message on waits for nobody who holds one.
    """

    def __init__(self, memory_mb: float) -> None:
        self._size = int(max(LEAST_MIB, (memory_mb - PROCESSES * PROCESS_MIB) * PART) * MIB)
        self.holding, self.passing = Budget(self._size // 2), Budget(self._size // 2)

    def share(self, processes: int) -> None:
        """So many processes of one balancer share this machine from now on."""
        for budget in (self.holding, self.passing):
            budget.resize(self._size // 2 // processes)
