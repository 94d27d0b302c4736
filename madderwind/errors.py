"""The tree of errors of the system's programs. Every failure has a type; none is a bare string."""

from __future__ import annotations


class MadderwindError(Exception):
    """The root of every error that the system's own code raises."""


class SettingsError(MadderwindError):
    """A process's settings file cannot be used. `field` names the place, such as `limits.max_fds`."""

    def __init__(self, field: str, reason: str) -> None:
        super().__init__(f"{field}: {reason}")
        self.field, self.reason = field, reason


class MessageError(MadderwindError):
    """Bytes from another process that are no message of this version, or are longer than any may be."""


class StorageError(MadderwindError):
    """A file of the system's own state cannot be written or read."""


class ConfigurationError(MadderwindError):
    """An operator's configuration breaks a rule. `field` names the place, such as `routes[3].timeout_ms`."""

    def __init__(self, field: str, reason: str) -> None:
        super().__init__(f"{field}: {reason}")
        self.field, self.reason = field, reason


class HeartbeatError(MadderwindError):
    """An upstream's heartbeat cannot be read."""


class FileFormatError(MadderwindError):
    """A file that somebody wrote cannot be used. `line` counts from 1, 0 where none can be named."""

    def __init__(self, path: str, line: int, field: str, reason: str) -> None:
        place = f"{path}:{line}" if line else path
        super().__init__(f"{place}: {field}: {reason}" if field else f"{place}: {reason}")
        self.path, self.line, self.field, self.reason = path, line, field, reason


class LocalFleetError(MadderwindError):
    """A fleet on this machine cannot be started, or is not in the state that a command needs."""


class OperatorCallError(MadderwindError):
    """A control plane refused an operator's call, or none answered it."""
