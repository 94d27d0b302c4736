"""The log of the system's programs: structlog's events as JSON lines on standard output, written in batches.

A write an event would cost more than most events; a reader that stands still must not hold up the program.
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

FLUSH_S = 0.2
MOST_GATHERED_BYTES = 64 * 1024
# While nobody reads the log, so much of it is kept; more is dropped and counted.
MOST_UNREAD_BYTES = 1024 * 1024

Log = structlog.typing.FilteringBoundLogger


def write_line(log: Log, line: LogLine) -> None:
    """Write one line of a named event."""
    write = log.warning if line.event.level is Level.WARNING else log.info
    write(line.event.name, **line.fields)


class BatchedOutput:
    """Gathers lines and writes them in one go, a few times a second."""

    def __init__(self, descriptor: int = 1) -> None:
        self._descriptor = descriptor
        self._lines: list[bytes] = []
        self._gathered_bytes = self._dropped = 0
        self._planned: asyncio.TimerHandle | None = None

    def write_line(self, line: bytes) -> None:
        """Take a line without its end; it is written within `FLUSH_S`, at once where no loop runs."""
        if self._gathered_bytes > MOST_UNREAD_BYTES:
            self._dropped += 1
            return
        self._lines.append(line + b"\n")
        self._gathered_bytes += len(line) + 1
        if self._gathered_bytes > MOST_GATHERED_BYTES or not self._plan():
            self.flush()

    def flush(self) -> None:
        """Write what is gathered."""
        if self._planned is not None:
            self._planned.cancel()
            self._planned = None
        remaining = self._write(b"".join(self._lines))
        self._lines = [remaining] if remaining else []
        self._gathered_bytes = len(remaining)
        if remaining:
            self._plan()
        elif self._dropped:
            dropped, self._dropped = self._dropped, 0
            self.write_line(msgspec.json.encode({"event": LOG_LINES_DROPPED.name, "count": dropped}))

    def _write(self, data: bytes) -> bytes:
        """Write as much as the reader takes; the rest."""
        try:
            while data:
                data = data[os.write(self._descriptor, data) :]
        except BlockingIOError:
            return data
        except OSError:
            return b""  # nobody reads the log any more: no reason to stop serving
        return b""

    def _plan(self) -> bool:
        if self._planned is None:
            with contextlib.suppress(RuntimeError):
                self._planned = asyncio.get_running_loop().call_later(FLUSH_S, self.flush)
        return self._planned is not None


class _LineLogger:
    """What structlog hands its rendered events to."""

    def __init__(self, output: BatchedOutput) -> None:
        self._output = output

    def msg(self, line: bytes) -> None:
        self._output.write_line(line)

    debug = info = warning = error = critical = exception = msg


def _render(_: Any, __: str, event: structlog.typing.EventDict) -> bytes:
    return msgspec.json.encode(event, enc_hook=repr)


def open_log(node: str, output: BatchedOutput, level: str = "info") -> Log:
    """The log of a process on the machine of that name; `level` is the lowest that is written."""
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
