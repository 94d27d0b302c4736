"""The replicated state machine of the configuration: the current document and the commands that led to it.

The digests of committed commands are part of the state, so that any replica can acknowledge a retried command
whose first reply was lost. Exactly one command was committed on top of each version, so the digests are keyed
by base version. A command whose base version is older than all retained digests cannot be distinguished from
one that lost a race against another command; its outcome is reported as unknown, because a committed command
must never be rejected. Recent commands are retained for data planes that lag behind.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from functools import partial
from itertools import islice

import msgspec

from madderwind.configuration.acceptance import check_new_document
from madderwind.configuration.command_preparation import PreparationCache, command_digest
from madderwind.configuration.reading import Document, read_document
from madderwind.errors import ConfigurationError, MessageError
from madderwind.messages.distribution import CommandRecord
from madderwind.messages.message_pack import MessagePack
from madderwind.replication.commands import Command, CommandKind, CommandOutcome, CommandResult

RETAINED_DIGESTS = 4_000
RETAINED_COMMANDS = 256
RETAINED_COMMAND_BYTES = 2 * 1024 * 1024
NO_VERSION = 0
# Commands from this length on are prepared in advance: parsing this much takes about 10 ms of a busy core.
LONG_COMMAND_BYTES = 128 * 1024


class _Snapshot(msgspec.Struct, frozen=True, array_like=True):
    document: bytes  # empty before the first command
    # Pairs of base version and digest; in the legacy format the digest alone.
    digests: tuple[tuple[int, bytes] | bytes, ...]
    commands: tuple[CommandRecord, ...]

    def digests_by_base(self) -> dict[int, bytes]:
        """The digests by base version.

        In a snapshot of the legacy format only the commands that it retains can be assigned to a base
        version. The digests of older commands are dropped, so the outcome of those commands is unknown.
        """
        pairs = [digest for digest in self.digests if not isinstance(digest, bytes)]
        if len(pairs) == len(self.digests):
            return dict(pairs)
        commands = (
            Command(CommandKind(record.kind), record.base_version, record.body) for record in self.commands
        )
        return {command.base_version: command_digest(command) for command in commands}


_snapshots: MessagePack[_Snapshot] = MessagePack(_Snapshot)


class ConfigurationHistory:
    """Implements replication.commands.ReplicatedState."""

    def __init__(self) -> None:
        self.document: Document | None = None
        self._digests: dict[int, bytes] = {}  # by base version, in ascending order
        self._commands: deque[CommandRecord] = deque()
        self._command_bytes = 0
        self._preparation_cache = PreparationCache()

    @property
    def version(self) -> int:
        """The current version; 0 before the first configuration."""
        return NO_VERSION if self.document is None else self.document.version

    def validate(self, command: Command) -> CommandResult | None:
        """None if the command is valid on top of the current state, else its result."""
        if command.base_version != self.version:
            return CommandResult(self._outcome_on_other_base(command), self.version)
        try:
            document = self._preparation_cache.document(self.document, command)
            check_new_document(self.document, document, command.body)
        except ConfigurationError as error:
            return CommandResult(CommandOutcome.INVALID, self.version, error.field, error.reason)
        return None

    def preparation(self, command: Command) -> Callable[[], None] | None:
        """A callable that parses a long command in advance.

        None if the command is short, already prepared, or based on another version.
        """
        is_long = len(command.body) >= LONG_COMMAND_BYTES and command.base_version == self.version
        if not is_long or self._preparation_cache.cached_result(self.document, command) is not None:
            return None
        return partial(self._preparation_cache.prepare, self.document, command)

    def apply(self, command: Command) -> None:
        """Apply a command for which `validate` returned None on the same state."""
        prepared = self._preparation_cache.get_or_prepare(self.document, command)
        document = self._preparation_cache.document(self.document, command)
        record = CommandRecord(document.version, self.version, command.kind.value, command.body)
        self.document = document
        self._digests[command.base_version] = prepared.digest
        if len(self._digests) > RETAINED_DIGESTS:
            del self._digests[next(iter(self._digests))]
        self._retain(record)

    def commands_since(self, version: int) -> tuple[CommandRecord, ...] | None:
        """The commands that lead from a version to the current one; None if not all of them are retained."""
        if version == self.version:
            return ()
        for index, record in enumerate(self._commands):
            if record.base_version == version:
                return tuple(islice(self._commands, index, None))
        return None

    def snapshot(self) -> bytes:
        """The complete state, serialized."""
        document = b"" if self.document is None else self.document.raw
        return _snapshots.encode(_Snapshot(document, tuple(self._digests.items()), tuple(self._commands)))

    @classmethod
    def restore(cls, data: bytes) -> ConfigurationHistory:
        """The state that `snapshot` serialized; raises MessageError if the data is not a valid snapshot."""
        try:
            snapshot = _snapshots.decode(data)
        except MessageError as error:
            raise MessageError(f"invalid configuration snapshot: {error}") from None
        history = cls()
        if snapshot.document:
            history.document = read_document(snapshot.document)
        history._digests = snapshot.digests_by_base()
        for record in snapshot.commands:
            history._retain(record)
        return history

    def copy(self) -> ConfigurationHistory:
        """An independent copy that shares the document, which is immutable."""
        duplicate = ConfigurationHistory()
        duplicate.document = self.document
        duplicate._digests = self._digests.copy()
        duplicate._commands = self._commands.copy()
        duplicate._command_bytes = self._command_bytes
        duplicate._preparation_cache = self._preparation_cache
        return duplicate

    def _outcome_on_other_base(self, command: Command) -> CommandOutcome:
        """The outcome of a command whose base version is not the current version."""
        committed_digest = self._digests.get(command.base_version)
        if committed_digest is not None:
            is_same = committed_digest == command_digest(command)
            return CommandOutcome.COMMITTED if is_same else CommandOutcome.STALE_BASE
        is_digest_dropped = NO_VERSION <= command.base_version < next(iter(self._digests), NO_VERSION)
        return CommandOutcome.UNKNOWN if is_digest_dropped else CommandOutcome.STALE_BASE

    def _retain(self, record: CommandRecord) -> None:
        self._commands.append(record)
        self._command_bytes += len(record.body)
        while len(self._commands) > RETAINED_COMMANDS or self._command_bytes > RETAINED_COMMAND_BYTES:
            self._command_bytes -= len(self._commands.popleft().body)
