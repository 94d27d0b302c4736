"""The log: one JSON line an event, gathered and written a few times a second."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import os
import time

import orjson

FLUSH_S = 0.2
MOST_HELD = 64 * 1024
# While nobody reads the log, so much of it is kept; more is dropped and counted.
MOST_UNREAD = 1024 * 1024


class JsonLog:
    """Collects lines and writes them in one go: a write an event would cost more than the event.

    Guards against a reader that stands still: requests do not wait for their log.
    """

    def __init__(self, name: str, descriptor: int = 1) -> None:
        self._name, self._descriptor = name, descriptor
        self._lines: list[bytes] = []
        self._held, self._dropped = 0, 0
        self._planned: asyncio.TimerHandle | None = None

    def __call__(self, event: str, /, **fields: object) -> None:
        if self._held > MOST_UNREAD:
            self._dropped += 1
            return
        head = {"at_ms": round(time.time() * 1000, 1), "balancer": self._name, "event": event}
        try:
            line = orjson.dumps({**head, **fields}, default=repr, option=orjson.OPT_APPEND_NEWLINE)
        except TypeError:
            # Text that is no Unicode, or a number that JSON has not: no request may fail by its log.
            line = orjson.dumps({**head, "fields": ascii(fields)}, option=orjson.OPT_APPEND_NEWLINE)
        self._lines.append(line)
        self._held += len(line)
        if MOST_HELD <= self._held < MOST_HELD + len(line) or not self._plan():
            self.flush()

    def _plan(self) -> bool:
        """Whether a flush is to come: there is none without a loop, before the start and after the end."""
        if self._planned is None:
            with contextlib.suppress(RuntimeError):
                self._planned = asyncio.get_running_loop().call_later(FLUSH_S, self.flush)
        return self._planned is not None

    def flush(self) -> None:
        if self._planned is not None:
            self._planned.cancel()
            self._planned = None
        data = b"".join(self._lines)
        self._lines = []
        try:
            while data:
                data = data[os.write(self._descriptor, data) :]
        except BlockingIOError:  # its reader is slow: what is left stays for the next time
            self._lines = [data]
        except OSError:
            data = b""  # nobody reads the log any more: no reason to stop serving
        self._held = len(data)
        if not data and self._dropped:
            dropped, self._dropped = self._dropped, 0
            self("log_lines_dropped", count=dropped)
        elif data:
            self._plan()


class LibraryLog(logging.Handler):
    """What libraries say through the standard logging, as events of this log.

    Guards against a library that says the same thousands of times a second: each place has one line a second.
    """

    def __init__(self, log: JsonLog) -> None:
        super().__init__(logging.WARNING)
        self._log = log
        self._said: dict[tuple[str, int], float] = {}

    def emit(self, record: logging.LogRecord) -> None:
        place = (record.pathname, record.lineno)
        if record.created - self._said.get(place, 0.0) < 1.0:
            return
        self._said[place] = record.created
        error = repr(record.exc_info[1])[:500] if record.exc_info else None  # may quote a caller at length
        self._log("library_says", logger=record.name, text=record.getMessage()[:500], error=error)
