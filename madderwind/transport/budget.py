"""Limits how many bytes of messages this machine holds at once."""

from __future__ import annotations

import asyncio
from collections import deque

MIB = 1024 * 1024
# A process without messages takes about 26 MB. During an upgrade two processes run. Messages may take only a
# fraction of the remaining memory, as system and Python buffers come on top.
PROCESS_MIB, MAX_PROCESSES, MESSAGE_FRACTION = 28, 2, 0.7
MIN_BUDGET_MIB = 2


class Budget:
    """Short messages always get their bytes; long ones queue in order while too few bytes are available.

    Guards against more long messages at once than memory holds: the process would be killed.
    """

    def __init__(self, size: int) -> None:
        self.left = self.size = size
        self._waiters: deque[tuple[int, asyncio.Future[None]]] = deque()

    def resize(self, size: int) -> None:
        """Change the total; bytes that are reserved stay reserved."""
        self.left, self.size = self.left + size - self.size, size
        self.give_back(0)

    def reserve(self, size_bytes: int) -> None:
        """Reserve for a short message, even beyond the limit."""
        self.left -= size_bytes

    def try_reserve(self, size_bytes: int) -> bool:
        """Reserve more for a message if nobody is queued and enough is available."""
        if self._waiters or self.left < size_bytes:
            return False
        self.left -= size_bytes
        return True

    async def wait_for(self, size_bytes: int) -> None:
        """Reserve for a long message, in order of arrival."""
        if self.try_reserve(size_bytes):
            return
        turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiters.append((size_bytes, turn))
        try:
            await turn
        except asyncio.CancelledError:
            if turn.done() and not turn.cancelled():
                self.give_back(size_bytes)  # cancelled after its reservation was granted
            raise

    def give_back(self, size_bytes: int) -> None:
        self.left += size_bytes
        while self._waiters and (self._waiters[0][1].done() or self.left >= self._waiters[0][0]):
            wanted_bytes, turn = self._waiters.popleft()
            if not turn.done():
                self.left -= wanted_bytes
                turn.set_result(None)


class Budgets:
    """Two budgets of equal size: for messages that are buffered whole, and for those that are streamed.

    Guards against a deadlock: a streamed message never waits for one that is buffered.
    """

    def __init__(self, memory_mb: float) -> None:
        self._size = int(
            max(MIN_BUDGET_MIB, (memory_mb - MAX_PROCESSES * PROCESS_MIB) * MESSAGE_FRACTION) * MIB
        )
        self.holding, self.passing = Budget(self._size // 2), Budget(self._size // 2)

    def share(self, processes: int) -> None:
        """Divide the memory between this many processes of one balancer on this machine."""
        for budget in (self.holding, self.passing):
            budget.resize(self._size // 2 // processes)
