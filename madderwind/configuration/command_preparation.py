"""What commands make of documents: read once, however many copies of the state ask for it."""

from __future__ import annotations

import hashlib

import msgspec

from madderwind.configuration.reading import Document, read_document
from madderwind.errors import ConfigurationError
from madderwind.replication.commands import Command, CommandKind

DIGEST_BYTES = 16


class PreparedCommand(msgspec.Struct, frozen=True):
    """What a command makes of its base, kept so that checking and applying read it once."""

    base: Document | None
    command: Command
    result: Document | ConfigurationError
    digest: bytes


class PreparationCache:
    """The last command's document, shared by a history and its copies.

    A replica checks a command, appends it and commits it, each on a copy of its own. Any thread may prepare:
    documents are never changed, and the last one prepared is replaced at once.
    """

    def __init__(self) -> None:
        self._last: PreparedCommand | None = None

    def document(self, base: Document | None, command: Command) -> Document:
        """What the command makes of the base; raises ConfigurationError."""
        result = self.prepared(base, command).result
        if isinstance(result, ConfigurationError):
            # A new one each time: an error that is kept would keep all that its traceback refers to.
            raise ConfigurationError(result.field, result.reason)
        return result

    def prepared(self, base: Document | None, command: Command) -> PreparedCommand:
        """All that is known of the command on top of the base."""
        found = self.find(base, command)
        if found is None:
            found = PreparedCommand(base, command, _read(base, command), digest_of(command))
            self._last = found
        return found

    def prepare(self, base: Document | None, command: Command) -> None:
        """Have `prepared` at hand."""
        self.prepared(base, command)

    def find(self, base: Document | None, command: Command) -> PreparedCommand | None:
        """The command on top of the base, where it was prepared last."""
        last = self._last
        is_same = last is not None and last.base is base and last.command == command
        return last if is_same else None


def digest_of(command: Command) -> bytes:
    """Names a command by its kind, base version and body."""
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    digest.update(f"{command.kind.value} {command.base_version} ".encode())
    digest.update(command.body)
    return digest.digest()


def _read(base: Document | None, command: Command) -> Document | ConfigurationError:
    """The document that a command makes of the present one, or why it makes none."""
    try:
        return _ordered(base, command)
    except ConfigurationError as error:
        return error.with_traceback(None)


def _ordered(base: Document | None, command: Command) -> Document:
    """The document that a command makes of the present one; raises ConfigurationError."""
    if command.kind is CommandKind.UPDATE:
        if base is None:
            raise ConfigurationError("document", "there is no configuration yet that could be updated")
        return base.updated(command.body)
    document = read_document(command.body, base)
    if base is not None and document.version <= base.version:
        raise ConfigurationError("version", f"{document.version} is not above {base.version}")
    return document
