"""Commands: the operator's changes of the configuration, as the replicated state machine takes them."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import Protocol

import msgspec

# A caller turns elsewhere after a second without an answer, later with a long body.
ANSWER_TIMEOUT_MS = 800.0
ANSWER_TIMEOUT_BYTES_PER_MS = 2_048


class CommandKind(Enum):
    """How a command changes the configuration."""

    REPLACE = "replace"
    UPDATE = "update"


class Command(msgspec.Struct, frozen=True):
    """One change of the configuration, as the operator sent it.

    Attributes:
        kind: Whether the body replaces the configuration or updates it.
        base_version: The version that the change builds on.
        body: JSON in UTF-8.
    """

    kind: CommandKind
    base_version: int
    body: bytes

    @property
    def answer_timeout_ms(self) -> float:
        """How long its caller waits for a clear answer; nothing is decided on it later."""
        return ANSWER_TIMEOUT_MS + len(self.body) / ANSWER_TIMEOUT_BYTES_PER_MS


class CommandOutcome(Enum):
    """How a command ended. The values are those on the wire."""

    COMMITTED = "taken"  # on disk at as many replicas as the promise needs
    STALE_BASE = "stale base"  # another version is current
    INVALID = "invalid"
    UNKNOWN = "unclear"  # this replica can't tell: the caller asks again elsewhere


class CommandResult(msgspec.Struct, frozen=True):
    """The end of a command.

    Attributes:
        outcome: How it ended.
        version: The current version of the configuration.
        field: Where the body is invalid; empty otherwise.
        reason: What is invalid there.
    """

    outcome: CommandOutcome
    version: int = 0
    field: str = ""
    reason: str = ""


UNKNOWN_RESULT = CommandResult(CommandOutcome.UNKNOWN)


class ReplicatedState(Protocol):
    """The state machine that is replicated; `madderwind.configuration.history` implements it."""

    @property
    def version(self) -> int:
        """The current version; 0 before the first command."""

    def validate(self, command: Command) -> CommandResult | None:
        """Check a command against the present state.

        Returns:
            None where it is valid on top of the state and is to be appended. Else its result: COMMITTED where
            this very command was applied before, STALE_BASE, INVALID or UNKNOWN.
        """

    def preparation(self, command: Command) -> Callable[[], None] | None:
        """What makes `validate` and `apply` of a command short; None where they are short already.

        Any thread may call it, as it changes nothing that others can see; it raises nothing.
        """

    def apply(self, command: Command) -> None:
        """Change the state by a command that `validate` let pass on the same state."""

    def snapshot(self) -> bytes:
        """The whole state, history included."""

    def copy(self) -> ReplicatedState:
        """An independent copy; cheap, as documents are never changed in place."""
