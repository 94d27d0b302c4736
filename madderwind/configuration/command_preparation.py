"""A cache for the document that results from a command, so that all copies of the state parse it once."""

from __future__ import annotations

import hashlib

import msgspec

from madderwind.configuration.reading import Document, read_document
from madderwind.errors import ConfigurationError
from madderwind.replication.commands import Command, CommandKind

DIGEST_BYTES = 16


class PreparedCommand(msgspec.Struct, frozen=True):
    """The cached result of a command on its base document, shared by validation and application."""

    base: Document | None
    command: Command
    result: Document | ConfigurationError
    digest: bytes


class PreparationCache:
    """Caches the result of the last prepared command, for a history and all its copies.

    A replica validates, appends and commits a command, each on its own copy of the state. Any thread may
    prepare a command: documents are immutable, and the cached entry is replaced by a single assignment.
    """

    def __init__(self) -> None:
        self._last: PreparedCommand | None = None

    def document(self, base: Document | None, command: Command) -> Document:
        """The document that results from the command on the base; raises ConfigurationError."""
        result = self.get_or_prepare(base, command).result
        if isinstance(result, ConfigurationError):
            # Raises a new exception each time: raising the cached one would attach a traceback to it, which
            # would keep alive every object that its frames refer to.
            raise ConfigurationError(result.field, result.reason)
        return result

    def get_or_prepare(self, base: Document | None, command: Command) -> PreparedCommand:
        """The cached result of the command on the base; computed now if it is not cached."""
        entry = self.cached_result(base, command)
        if entry is None:
            entry = PreparedCommand(base, command, _compute_result(base, command), command_digest(command))
            self._last = entry
        return entry

    def prepare(self, base: Document | None, command: Command) -> None:
        """Compute and cache the result of the command on the base."""
        self.get_or_prepare(base, command)

    def cached_result(self, base: Document | None, command: Command) -> PreparedCommand | None:
        """The cached result, if this command on this base was prepared last; else None."""
        last = self._last
        is_same = last is not None and last.base is base and last.command == command
        return last if is_same else None


def command_digest(command: Command) -> bytes:
    """A digest that identifies a command by its kind, base version and body."""
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    digest.update(f"{command.kind.value} {command.base_version} ".encode())
    digest.update(command.body)
    return digest.digest()


def _compute_result(base: Document | None, command: Command) -> Document | ConfigurationError:
    """The document that results from the command, or the error that rejects it."""
    try:
        return _document_after(base, command)
    except ConfigurationError as error:
        return error.with_traceback(None)


def _document_after(base: Document | None, command: Command) -> Document:
    """The document that results from the command; raises ConfigurationError."""
    if command.kind is CommandKind.UPDATE:
        if base is None:
            raise ConfigurationError("document", "there is no configuration yet that could be updated")
        return base.updated(command.body)
    document = read_document(command.body, base)
    if base is not None and document.version <= base.version:
        raise ConfigurationError("version", f"{document.version} is not above {base.version}")
    return document
