"""Events of a `text/event-stream` answer: cut out whole, and counted by their ids. No I/O."""

from __future__ import annotations

from madderwind.errors import MadderwindError

EVENT_STREAM = "text/event-stream"
# No event is anywhere near as long; an upstream that sends no event's end must not fill the memory.
LONGEST_EVENT = 1024 * 1024

_ENDS = (b"\n\n", b"\r\n\r\n")


class EventTooLong(MadderwindError):
    """An upstream sends bytes without an event's end."""


class EventSplitter:
    """Gives out whole events as they become complete, and knows the id of the last one given out.

    Guards against half an event that reaches the client before its upstream breaks off. Guards too, where
    another upstream goes on, against an event that comes twice: those up to `last_id` are dropped then.
    """

    __slots__ = ("_buffer", "_skips_known", "last_id")

    def __init__(self, last_id: bytes | None = None) -> None:
        self.last_id = last_id
        self._buffer = b""
        self._skips_known = False

    def resume(self) -> None:
        """Another upstream's stream begins, which may repeat events; what was half an event is dropped."""
        self._buffer = b""
        self._skips_known = self.last_id is not None

    def feed(self, data: bytes) -> bytes:
        """The events that are whole now, in one piece; EventTooLong where one does not end."""
        buffer = self._buffer + data if self._buffer else data
        end = max(buffer.rfind(mark) + len(mark) if mark in buffer else 0 for mark in _ENDS)
        self._buffer = buffer[end:]
        if len(self._buffer) > LONGEST_EVENT:
            raise EventTooLong(f"{len(self._buffer)} bytes without an event's end")
        whole = buffer[:end]
        if not whole:
            return b""
        if self._skips_known:
            return self._without_known(whole)
        self.last_id = _last_id(whole) or self.last_id
        return whole

    def rest(self) -> bytes:
        """What follows the last whole event: what an answer that ends properly may still hold."""
        rest, self._buffer = self._buffer, b""
        return rest

    def _without_known(self, whole: bytes) -> bytes:
        kept = []
        for event in _split(whole):
            event_id = _last_id(event)
            if self._skips_known and event_id is not None:
                if self.last_id is not None and not _is_after(event_id, self.last_id):
                    continue
                self._skips_known = False
            kept.append(event)
            self.last_id = event_id or self.last_id
        return b"".join(kept)


def _split(whole: bytes) -> list[bytes]:
    events = []
    while whole:
        ends = [whole.find(mark) + len(mark) for mark in _ENDS if mark in whole]
        end = min(ends, default=len(whole))
        events.append(whole[:end])
        whole = whole[end:]
    return events


def _last_id(events: bytes) -> bytes | None:
    """The id that is named last; None where none is."""
    at = events.rfind(b"\nid:")
    if at >= 0:
        begin = at + len(b"\nid:")
    elif events.startswith(b"id:"):
        begin = len(b"id:")
    else:
        return None
    end = events.find(b"\n", begin)
    return events[begin : end if end >= 0 else len(events)].strip() or None


def _is_after(event_id: bytes, known: bytes) -> bool:
    """Ids rise; those that are no numbers can only be told apart."""
    if event_id.isdigit() and known.isdigit():
        return int(event_id) > int(known)
    return event_id != known
