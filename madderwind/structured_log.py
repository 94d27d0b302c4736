"""The log of the system's programs: structlog events as JSON lines on standard output, written in batches.

One write per event would cost more than handling most events. A stalled reader of the log must not block
the program.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
from typing import Any

import msgspec
import structlog

from madderwind.log_events.event import Level, LogLine
from madderwind.log_events.shared import LOG_LINES_DROPPED

FLUSH_INTERVAL_S = 0.2
MAX_BATCH_BYTES = 64 * 1024
# The limit of output buffered while nobody reads the log; further lines are dropped and counted.
MAX_BUFFERED_BYTES = 1024 * 1024

Log = structlog.typing.FilteringBoundLogger


def write_line(log: Log, line: LogLine) -> None:
    """Write one line of a named event."""
    write = log.warning if line.event.level is Level.WARNING else log.info
    write(line.event.name, **line.fields)


class BatchedOutput:
    """Buffers lines and writes them in batches, a few times a second."""

    def __init__(self, descriptor: int = 1) -> None:
        self._descriptor = descriptor
        self._lines: list[bytes] = []
        self._buffered_bytes = self._dropped = 0
        self._flush_timer: asyncio.TimerHandle | None = None

    def write_line(self, line: bytes) -> None:
        """Buffer a line without its line end; it is written within `FLUSH_INTERVAL_S`.

        Without a running event loop it is written immediately.
        """
        if self._buffered_bytes > MAX_BUFFERED_BYTES:
            self._dropped += 1
            return
        self._lines.append(line + b"\n")
        self._buffered_bytes += len(line) + 1
        if self._buffered_bytes > MAX_BATCH_BYTES or not self._schedule_flush():
            self.flush()

    def flush(self) -> None:
        """Write the buffered lines."""
        if self._flush_timer is not None:
            self._flush_timer.cancel()
            self._flush_timer = None
        remaining = self._write(b"".join(self._lines))
        self._lines = [remaining] if remaining else []
        self._buffered_bytes = len(remaining)
        if remaining:
            self._schedule_flush()
        elif self._dropped:
            dropped, self._dropped = self._dropped, 0
            self.write_line(msgspec.json.encode({"event": LOG_LINES_DROPPED.name, "count": dropped}))

    def _write(self, data: bytes) -> bytes:
        """Write as much as the descriptor accepts and return the rest."""
        try:
            while data:
                data = data[os.write(self._descriptor, data) :]
        except BlockingIOError:
            return data
        except OSError:
            return b""  # the log's reader is gone; the program keeps serving
        return b""

    def _schedule_flush(self) -> bool:
        if self._flush_timer is None:
            with contextlib.suppress(RuntimeError):
                self._flush_timer = asyncio.get_running_loop().call_later(FLUSH_INTERVAL_S, self.flush)
        return self._flush_timer is not None


class _LineLogger:
    """The logger to which structlog passes its rendered events."""

    def __init__(self, output: BatchedOutput) -> None:
        self._output = output

    def msg(self, line: bytes) -> None:
        self._output.write_line(line)

    debug = info = warning = error = critical = exception = msg


def _render(_: Any, __: str, event: structlog.typing.EventDict) -> bytes:
    try:
        return msgspec.json.encode(event, enc_hook=repr)
    except UnicodeEncodeError:
        return msgspec.json.encode({name: _as_unicode(value) for name, value in event.items()}, enc_hook=repr)


def _as_unicode(value: object) -> object:
    """The value, its surrogates as escapes: bytes of a path or a header that are not UTF-8 become those."""
    if isinstance(value, str):
        return value.encode(errors="backslashreplace").decode()
    if isinstance(value, (list, tuple)):
        return [_as_unicode(item) for item in value]
    return value


def open_log(node: str, output: BatchedOutput, level: str = "info") -> Log:
    """Create the log of a process on the machine `node`; `level` is the lowest level that is written."""
    log: Log = structlog.wrap_logger(
        _LineLogger(output),
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            _render,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(level),
        cache_logger_on_first_use=True,
        node=node,
    )
    return log
