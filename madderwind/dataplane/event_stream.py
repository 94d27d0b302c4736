"""Splits a `text/event-stream` response into complete events and tracks their ids. No I/O."""

from __future__ import annotations

from madderwind.errors import MadderwindError

EVENT_STREAM = "text/event-stream"
# Far longer than any real event; bounds the memory used for an upstream that never ends an event.
MAX_EVENT_BYTES = 1024 * 1024

# A line ends with LF, CRLF or CR, and a blank line ends an event.
_EVENT_TERMINATORS = (b"\n\n", b"\n\r\n", b"\r\r")
# How a block may begin that is no event to the client: a comment or a blank line.
_COMMENT_OR_BLANK = (b":", b"\r", b"\n")


class EventTooLong(MadderwindError):
    """An upstream sent too many bytes without ending an event."""


class EventSplitter:
    """Returns the events of one response once they are complete, and keeps the id of the last one returned.

    The client thereby never receives part of an event when its upstream fails. An incomplete event belongs to
    its response alone, so each response needs a splitter of its own. In a response that resumes a stream,
    events up to the one before it are dropped, so that none is delivered twice.

    Attributes:
        last_id: The id of the last event returned, or else of the last one before this response. None if that
            event has none: a stream that resumes at an older id would repeat it.
    """

    __slots__ = ("_buffer", "_known_id", "last_id")

    def __init__(self, resumed_after: bytes | None = None) -> None:
        """Start before the first byte of a response.

        Args:
            resumed_after: The id of the event after which the response resumes a stream, and up to which it
                may repeat events; None if it begins one.
        """
        self.last_id = resumed_after
        self._buffer = b""
        self._known_id = resumed_after  # events up to this id are dropped; None once a newer one has come

    def feed(self, data: bytes) -> bytes:
        """The events that are now complete, concatenated; EventTooLong if one does not end."""
        buffer = self._buffer + data if self._buffer else data
        end = _end_of_last_event(buffer)
        self._buffer = buffer[end:]
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise EventTooLong(f"{len(self._buffer)} bytes without the end of an event")
        complete = buffer[:end]
        if not complete:
            return b""
        if self._known_id is not None:
            complete = self._drop_known(complete)
        self._record_last_id(complete)
        return complete

    @property
    def is_within_event(self) -> bool:
        """Whether part of an event has arrived since the end of the last one.

        A client discards such a part at the end of a stream (HTML standard, "Server-sent events"), so a
        stream that ends here has been truncated. Comments and blank lines are no events.
        """
        return _has_fields(self._buffer)

    @property
    def rest(self) -> bytes:
        """The bytes that have arrived since the end of the last event."""
        return self._buffer

    def _drop_known(self, complete: bytes) -> bytes:
        kept = []
        for event in _split(complete):
            event_id = _last_id(event)
            if self._known_id is not None and event_id is not None:
                if not _is_after(event_id, self._known_id):
                    continue
                self._known_id = None
            kept.append(event)
        return b"".join(kept)

    def _record_last_id(self, complete: bytes) -> None:
        event = _last_block(complete)
        if not event or event.startswith(_COMMENT_OR_BLANK):
            with_fields = [event for event in _split(complete) if _has_fields(event)]
            if not with_fields:
                return
            event = with_fields[-1]
        self.last_id = _last_id(event)


def _end_of_last_event(data: bytes) -> int:
    """The number of bytes up to the end of the last complete event; 0 if there is none."""
    if data.endswith(_EVENT_TERMINATORS):
        return len(data)
    return max(
        data.rfind(terminator) + len(terminator) if terminator in data else 0
        for terminator in _EVENT_TERMINATORS
    )


def _split(complete: bytes) -> list[bytes]:
    events = []
    while complete:
        ends = [
            complete.find(terminator) + len(terminator)
            for terminator in _EVENT_TERMINATORS
            if terminator in complete
        ]
        end = min(ends, default=len(complete))
        events.append(complete[:end])
        complete = complete[end:]
    return events


def _last_block(complete: bytes) -> bytes:
    """The bytes between the last two terminators; all bytes if there is but one terminator."""
    before_end = len(complete) - 1
    begin = 0
    for terminator in _EVENT_TERMINATORS:
        at = complete.rfind(terminator, 0, before_end)
        if at >= 0:
            begin = max(begin, at + len(terminator))
    return complete[begin:]


def _has_fields(event: bytes) -> bool:
    """Whether this is an event to the client, and not only a comment or a blank line."""
    return any(line and not line.startswith(b":") for line in event.splitlines())


def _last_id(events: bytes) -> bytes | None:
    """The last event id in the bytes; None if there is none."""
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
    """Whether an event is newer; ids that are not numbers can only be compared for equality."""
    if event_id.isdigit() and known.isdigit():
        return _numeric_order(event_id) > _numeric_order(known)
    return event_id != known


def _numeric_order(digits: bytes) -> tuple[int, bytes]:
    """Sorts as the number does; `int` refuses numbers of thousands of digits."""
    significant = digits.lstrip(b"0")
    return len(significant), significant
