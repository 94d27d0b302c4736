"""The error hierarchy of the system's programs: every kind of failure has its own type."""

from __future__ import annotations


class MadderwindError(Exception):
    """Base class of all errors that the system's own code raises."""


class SettingsError(MadderwindError):
    """A process's settings file cannot be used. `field` is the field's path, such as `limits.max_fds`."""

    def __init__(self, field: str, reason: str) -> None:
        super().__init__(f"{field}: {reason}")
        self.field, self.reason = field, reason


class MessageError(MadderwindError):
    """Bytes from another process are not a message of this version, or exceed the length limit."""


class StorageError(MadderwindError):
    """A file of the system's own state cannot be written or read."""


class ConfigurationError(MadderwindError):
    """An operator's configuration is invalid. `field` is the path, such as `routes[3].timeout_ms`."""

    def __init__(self, field: str, reason: str) -> None:
        super().__init__(f"{field}: {reason}")
        self.field, self.reason = field, reason


class HeartbeatError(MadderwindError):
    """An upstream's heartbeat cannot be read."""


class FileFormatError(MadderwindError):
    """A user-written file cannot be used. `line` counts from 1; it is 0 if the line is unknown."""

    def __init__(self, path: str, line: int, field: str, reason: str) -> None:
        location = f"{path}:{line}" if line else path
        super().__init__(f"{location}: {field}: {reason}" if field else f"{location}: {reason}")
        self.path, self.line, self.field, self.reason = path, line, field, reason


class LocalFleetError(MadderwindError):
    """A fleet on this machine cannot be started, or is not in the state that a command requires."""


class OperatorCallError(MadderwindError):
    """A control plane refused an operator's request, or none answered it."""
