"""Bounds the memory that the bodies of clients' requests take at the same time."""

from __future__ import annotations

from types import TracebackType

from madderwind.errors import MadderwindError
from madderwind.transport.budget import MIB, Budget

# What a data plane needs besides bodies, with the largest configuration.
PROCESS_MIB = 120
# A body that is being sent is held twice: by its request and by the connection's write buffer.
COPIES_OF_A_BODY = 2
MIN_BODY_MEMORY_BYTES = 16 * MIB
# Bodies up to this length are never refused: all connections together hold few of their bytes.
SHORT_BODY_BYTES = 16 * 1024


class BodyMemoryFull(MadderwindError):
    """There is no memory for a request's body at present; the request was sent to no upstream."""


def body_memory_bytes(memory_mb: float) -> int:
    """How many bytes of bodies a machine with this memory, in MB, may hold."""
    return max(MIN_BODY_MEMORY_BYTES, int((memory_mb - PROCESS_MIB) * MIB / COPIES_OF_A_BODY))


class BodyReservation:
    """The bytes reserved for the body of one request, until the end of the context."""

    def __init__(self, budget: Budget) -> None:
        """Start without bytes; `budget` is shared by all requests of a process."""
        self._budget = budget
        self._reserved_bytes = 0

    def extend_to(self, size: int) -> None:
        """Reserve up to `size` bytes in all; a short body and that of a sole request always fit.

        Raises:
            BodyMemoryFull: Other requests hold too many bytes.
        """
        more_bytes = size - self._reserved_bytes
        if more_bytes <= 0:
            return
        if size <= SHORT_BODY_BYTES or self._is_sole:
            self._budget.reserve(more_bytes)
        elif not self._budget.try_reserve(more_bytes):
            raise BodyMemoryFull("too many long bodies are held")
        self._reserved_bytes = size

    @property
    def _is_sole(self) -> bool:
        """Whether no other request has reserved anything."""
        return self._budget.left + self._reserved_bytes == self._budget.size

    def __enter__(self) -> BodyReservation:
        return self

    def __exit__(
        self,
        _type: type[BaseException] | None,
        _error: BaseException | None,
        _traceback: TracebackType | None,
    ) -> None:
        self._budget.give_back(self._reserved_bytes)
        self._reserved_bytes = 0
