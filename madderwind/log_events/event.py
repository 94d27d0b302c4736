"""What a log event is, and what one line of the log says."""

from __future__ import annotations

from enum import Enum

import msgspec

FieldValue = str | int | float | bool | None | list[str] | tuple[str, ...]


class Level(Enum):
    """How much an event matters."""

    INFO = "info"
    WARNING = "warning"


class LogLine(msgspec.Struct, frozen=True):
    """One occurrence of an event, with the values of its fields."""

    event: LogEvent
    fields: dict[str, FieldValue]


class LogEvent(msgspec.Struct, frozen=True):
    """An event that a program may log.

    Attributes:
        name: What operators search for, in snake_case.
        fields: Names of the fields that each line carries.
        level: How much it matters.
    """

    name: str
    fields: tuple[str, ...] = ()
    level: Level = Level.INFO

    def line(self, **fields: FieldValue) -> LogLine:
        """A line of this event.

        Raises:
            ValueError: The fields are not those of the event.
        """
        if set(fields) != set(self.fields):
            raise ValueError(f"{self.name} carries {self.fields}, not {tuple(fields)}")
        return LogLine(self, fields)
