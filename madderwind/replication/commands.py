"""Commands of the replicated state machine: configuration changes submitted by the operator."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import Protocol

import msgspec

# Callers try another replica after 1 s without an answer (later for a long body); these keep within that.
ANSWER_TIMEOUT_MS = 800.0
ANSWER_TIMEOUT_BYTES_PER_MS = 2_048


class CommandKind(Enum):
    """How a command changes the configuration."""

    REPLACE = "replace"
    UPDATE = "update"


class Command(msgspec.Struct, frozen=True):
    """One configuration change, as submitted by the operator.

    Attributes:
        kind: Whether the body replaces the configuration or updates it.
        base_version: The configuration version that the change is based on.
        body: JSON in UTF-8.
    """

    kind: CommandKind
    base_version: int
    body: bytes

    @property
    def answer_timeout_ms(self) -> float:
        """How long the caller waits for a definite result; the command is not decided on after that."""
        return ANSWER_TIMEOUT_MS + len(self.body) / ANSWER_TIMEOUT_BYTES_PER_MS


class CommandOutcome(Enum):
    """Outcome of a command. The values are sent on the wire."""

    COMMITTED = "taken"  # durable at as many replicas as the durability guarantee requires
    STALE_BASE = "stale base"  # the base version is not the current version
    INVALID = "invalid"
    UNKNOWN = "unclear"  # this replica can't tell; the caller has to ask another one


class CommandResult(msgspec.Struct, frozen=True):
    """Result of a command.

    Attributes:
        outcome: How the command ended.
        version: The current version of the configuration.
        field: The invalid field of the body; empty otherwise.
        reason: Why that field is invalid.
    """

    outcome: CommandOutcome
    version: int = 0
    field: str = ""
    reason: str = ""


UNKNOWN_RESULT = CommandResult(CommandOutcome.UNKNOWN)


class ReplicatedState(Protocol):
    """The replicated state machine; `madderwind.configuration.history` implements it."""

    @property
    def version(self) -> int:
        """The current version; 0 before the first command."""

    def validate(self, command: Command) -> CommandResult | None:
        """Check a command against the present state.

        Returns:
            None if the command is valid for this state and has to be appended. Else its result: COMMITTED if
            the same command was applied before, STALE_BASE, INVALID or UNKNOWN.
        """

    def preparation(self, command: Command) -> Callable[[], None] | None:
        """Return a function that does the slow part of `validate` and `apply`; None if they are fast.

        Any thread may call the function: it has no visible side effects and raises no exception.
        """

    def apply(self, command: Command) -> None:
        """Apply a command that `validate` accepted for the same state."""

    def snapshot(self) -> bytes:
        """Return the serialized state, including the history."""

    def copy(self) -> ReplicatedState:
        """Return an independent copy; cheap, as documents are never modified in place."""
