"""Bounds the memory that the bodies of clients' requests take at the same time."""

from __future__ import annotations

from types import TracebackType

from madderwind.errors import MadderwindError

MIB = 1024 * 1024
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


class BodyMemory:
    """The bytes reserved for bodies by all requests of a process."""

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._reserved_bytes = 0

    def reservation(self) -> BodyReservation:
        """A reservation for one request, empty so far."""
        return BodyReservation(self)

    def fits(self, reserved_bytes: int, more_bytes: int) -> bool:
        """Whether a request that has reserved some bytes may reserve more; a sole request always may."""
        is_short = reserved_bytes + more_bytes <= SHORT_BODY_BYTES
        is_sole = self._reserved_bytes == reserved_bytes
        return is_short or is_sole or self._reserved_bytes + more_bytes <= self._max_bytes

    def add(self, count: int) -> None:
        """Change the reserved bytes, by less than 0 to release some."""
        self._reserved_bytes += count


class BodyReservation:
    """The bytes reserved for the body of one request, until the end of the context."""

    def __init__(self, memory: BodyMemory) -> None:
        self._memory = memory
        self._reserved_bytes = 0

    def extend_to(self, size: int) -> None:
        """Reserve up to `size` bytes in all.

        Raises:
            BodyMemoryFull: Other requests hold too many bytes.
        """
        more_bytes = size - self._reserved_bytes
        if more_bytes <= 0:
            return
        if not self._memory.fits(self._reserved_bytes, more_bytes):
            raise BodyMemoryFull("too many long bodies are held")
        self._memory.add(more_bytes)
        self._reserved_bytes = size

    def __enter__(self) -> BodyReservation:
        return self

    def __exit__(
        self,
        _type: type[BaseException] | None,
        _error: BaseException | None,
        _traceback: TracebackType | None,
    ) -> None:
        self._memory.add(-self._reserved_bytes)
        self._reserved_bytes = 0
