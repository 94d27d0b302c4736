"""The log: one JSON line per event, buffered and written a few times a second."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import os
import time

import orjson

FLUSH_INTERVAL_S = 0.2
FLUSH_THRESHOLD_BYTES = 64 * 1024
# The limit for lines that the reader has not taken yet; further lines are dropped and counted.
MAX_BUFFERED_BYTES = 1024 * 1024


class JsonLog:
    """Buffers lines and writes them in batches: a write per event would cost more than the event itself.

    A reader that stalls does not block requests, since the writes do not block.
    """

    def __init__(self, name: str, descriptor: int = 1) -> None:
        self._name, self._descriptor = name, descriptor
        self._lines: list[bytes] = []
        self._buffered_bytes, self._dropped_lines = 0, 0
        self._scheduled_flush: asyncio.TimerHandle | None = None

    def __call__(self, event: str, /, **fields: object) -> None:
        if self._buffered_bytes > MAX_BUFFERED_BYTES:
            self._dropped_lines += 1
            return
        common_fields = {"at_ms": round(time.time() * 1000, 1), "balancer": self._name, "event": event}
        try:
            line = orjson.dumps({**common_fields, **fields}, default=repr, option=orjson.OPT_APPEND_NEWLINE)
        except TypeError:
            # Text that is not valid Unicode, or a number that JSON cannot express, must not fail a request.
            line = orjson.dumps({**common_fields, "fields": ascii(fields)}, option=orjson.OPT_APPEND_NEWLINE)
        self._lines.append(line)
        self._buffered_bytes += len(line)
        if (
            FLUSH_THRESHOLD_BYTES <= self._buffered_bytes < FLUSH_THRESHOLD_BYTES + len(line)
            or not self._schedule_flush()
        ):
            self.flush()

    def _schedule_flush(self) -> bool:
        """Schedule a flush; returns False if no event loop runs, as before the start and after the end."""
        if self._scheduled_flush is None:
            with contextlib.suppress(RuntimeError):
                self._scheduled_flush = asyncio.get_running_loop().call_later(FLUSH_INTERVAL_S, self.flush)
        return self._scheduled_flush is not None

    def flush(self) -> None:
        if self._scheduled_flush is not None:
            self._scheduled_flush.cancel()
            self._scheduled_flush = None
        data = b"".join(self._lines)
        self._lines = []
        try:
            while data:
                data = data[os.write(self._descriptor, data) :]
        except BlockingIOError:  # the reader is slow: the rest is written at the next flush
            self._lines = [data]
        except OSError:
            data = b""  # the log has no reader any more; the balancer goes on serving
        self._buffered_bytes = len(data)
        if not data and self._dropped_lines:
            dropped, self._dropped_lines = self._dropped_lines, 0
            self("log_lines_dropped", count=dropped)
        elif data:
            self._schedule_flush()


class LibraryLogHandler(logging.Handler):
    """Forwards records of the standard logging module to this log as events.

    Each call site is limited to one line a second, because a library may repeat a record thousands of times
    a second.
    """

    def __init__(self, log: JsonLog) -> None:
        super().__init__(logging.WARNING)
        self._log = log
        self._last_logged_s: dict[tuple[str, int], float] = {}

    def emit(self, record: logging.LogRecord) -> None:
        call_site = (record.pathname, record.lineno)
        if record.created - self._last_logged_s.get(call_site, 0.0) < 1.0:
            return
        self._last_logged_s[call_site] = record.created
        error = repr(record.exc_info[1])[:500] if record.exc_info else None  # may contain long client input
        self._log("library_says", logger=record.name, text=record.getMessage()[:500], error=error)
