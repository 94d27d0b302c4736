"""Log events and the log lines that report their occurrences."""

from __future__ import annotations

from enum import Enum

import msgspec

FieldValue = str | int | float | bool | None | list[str] | tuple[str, ...]


class Level(Enum):
    """The severity of an event."""

    INFO = "info"
    WARNING = "warning"


class LogLine(msgspec.Struct, frozen=True):
    """One occurrence of an event, with the values of its fields."""

    event: LogEvent
    fields: dict[str, FieldValue]


class LogEvent(msgspec.Struct, frozen=True):
    """An event that a program may log.

    Attributes:
        name: The name that operators search for, in snake_case.
        fields: Names of the fields that each line has.
        level: Its severity.
    """

    name: str
    fields: tuple[str, ...] = ()
    level: Level = Level.INFO

    def line(self, **fields: FieldValue) -> LogLine:
        """Create a log line of this event.

        Raises:
            ValueError: The fields are not those of the event.
        """
        if set(fields) != set(self.fields):
            raise ValueError(f"{self.name} carries {self.fields}, not {tuple(fields)}")
        return LogLine(self, fields)
