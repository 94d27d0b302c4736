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


class InvalidConfiguration(MadderwindError):
    """An operator's configuration breaks a rule. `field` names the place, such as `routes[3].timeout_ms`."""

    def __init__(self, field: str, reason: str) -> None:
        super().__init__(f"{field}: {reason}")
        self.field, self.reason = field, reason


class InvalidHeartbeat(MadderwindError):
    """An upstream's heartbeat cannot be read."""
