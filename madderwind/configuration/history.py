"""The replicated state machine of the configuration: the document in force and the commands that led to it.

The digests of commands that were committed are part of the state, so that a command whose answer was lost is
acknowledged again by whichever replica it reaches. Each version was followed by one command alone, so they
are kept by the version that they built on. A command older than all of them can't be told from one that lost
a race: its outcome is unknown, as a command that was committed must never be rejected. Recent commands are
retained for data planes that lag.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from functools import partial
from itertools import islice

import msgspec

from madderwind.configuration.command_preparation import PreparationCache, digest_of
from madderwind.configuration.reading import Document, read_document
from madderwind.errors import ConfigurationError, MessageError
from madderwind.messages.distribution import CommandRecord
from madderwind.replication.commands import Command, CommandKind, CommandOutcome, CommandResult

RETAINED_DIGESTS = 4_000
RETAINED_COMMANDS = 256
RETAINED_COMMAND_BYTES = 2 * 1024 * 1024
NO_VERSION = 0
# Reading this much takes about 10 ms of a busy core.
LONG_COMMAND_BYTES = 128 * 1024


class _Snapshot(msgspec.Struct, frozen=True, array_like=True):
    document: bytes  # empty before the first command
    # By the version that the command built on; the digest alone in a snapshot of the first form.
    digests: tuple[tuple[int, bytes] | bytes, ...]
    commands: tuple[CommandRecord, ...]

    def digests_by_base(self) -> dict[int, bytes]:
        """The digests by base version.

        Of a snapshot of the first form those whose commands are kept are known; older commands count as
        forgotten.
        """
        pairs = [digest for digest in self.digests if not isinstance(digest, bytes)]
        if len(pairs) == len(self.digests):
            return dict(pairs)
        commands = (
            Command(CommandKind(record.kind), record.base_version, record.body) for record in self.commands
        )
        return {command.base_version: digest_of(command) for command in commands}


class ConfigurationHistory:
    """Implements replication.commands.ReplicatedState."""

    def __init__(self) -> None:
        self.document: Document | None = None
        self._digests: dict[int, bytes] = {}  # by base version, which rises
        self._commands: deque[CommandRecord] = deque()
        self._command_bytes = 0
        self._prepared = PreparationCache()

    @property
    def version(self) -> int:
        """The current version; 0 before the first configuration."""
        return NO_VERSION if self.document is None else self.document.version

    def validate(self, command: Command) -> CommandResult | None:
        """None where the command is valid on top of the present state, else its result."""
        if command.base_version != self.version:
            return CommandResult(self._outcome_on_other_base(command), self.version)
        try:
            self._prepared.document(self.document, command)
        except ConfigurationError as error:
            return CommandResult(CommandOutcome.INVALID, self.version, error.field, error.reason)
        return None

    def preparation(self, command: Command) -> Callable[[], None] | None:
        """What reads a long command beforehand; None where it is short, read already, or on another base."""
        is_long = len(command.body) >= LONG_COMMAND_BYTES and command.base_version == self.version
        if not is_long or self._prepared.find(self.document, command) is not None:
            return None
        return partial(self._prepared.prepare, self.document, command)

    def apply(self, command: Command) -> None:
        """Change the state by a command that `validate` let pass on the same state."""
        prepared = self._prepared.prepared(self.document, command)
        document = self._prepared.document(self.document, command)
        record = CommandRecord(document.version, self.version, command.kind.value, command.body)
        self.document = document
        self._digests[command.base_version] = prepared.digest
        if len(self._digests) > RETAINED_DIGESTS:
            del self._digests[next(iter(self._digests))]
        self._retain(record)

    def commands_since(self, version: int) -> tuple[CommandRecord, ...] | None:
        """The commands that lead from a version to the current one.

        None where they are no longer all record.
        """
        if version == self.version:
            return ()
        for index, record in enumerate(self._commands):
            if record.base_version == version:
                return tuple(islice(self._commands, index, None))
        return None

    def snapshot(self) -> bytes:
        """The whole state."""
        document = b"" if self.document is None else self.document.raw
        return msgspec.msgpack.encode(
            _Snapshot(document, tuple(self._digests.items()), tuple(self._commands))
        )

    @classmethod
    def restore(cls, data: bytes) -> ConfigurationHistory:
        """The state that `snapshot` wrote. Raises MessageError where the bytes are none."""
        try:
            snapshot = msgspec.msgpack.decode(data, type=_Snapshot)
        except msgspec.MsgspecError as error:
            raise MessageError(f"no snapshot of the configuration: {error}") from None
        history = cls()
        if snapshot.document:
            history.document = read_document(snapshot.document)
        history._digests = snapshot.digests_by_base()
        for record in snapshot.commands:
            history._retain(record)
        return history

    def copy(self) -> ConfigurationHistory:
        """An independent copy; the document is shared, as it is never changed in place."""
        duplicate = ConfigurationHistory()
        duplicate.document = self.document
        duplicate._digests = self._digests.copy()
        duplicate._commands = self._commands.copy()
        duplicate._command_bytes = self._command_bytes
        duplicate._prepared = self._prepared
        return duplicate

    def _outcome_on_other_base(self, command: Command) -> CommandOutcome:
        """What a command gets that does not build on the current version."""
        followed_by = self._digests.get(command.base_version)
        if followed_by is not None:
            is_same = followed_by == digest_of(command)
            return CommandOutcome.COMMITTED if is_same else CommandOutcome.STALE_BASE
        is_forgotten = NO_VERSION <= command.base_version < next(iter(self._digests), NO_VERSION)
        return CommandOutcome.UNKNOWN if is_forgotten else CommandOutcome.STALE_BASE

    def _retain(self, record: CommandRecord) -> None:
        self._commands.append(record)
        self._command_bytes += len(record.body)
        while len(self._commands) > RETAINED_COMMANDS or self._command_bytes > RETAINED_COMMAND_BYTES:
            self._command_bytes -= len(self._commands.popleft().body)
