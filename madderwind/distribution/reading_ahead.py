"""Parses configuration messages, so that long ones can be parsed outside the subscriber."""

from __future__ import annotations

import msgspec

from madderwind.configuration.reading import Document, read_document
from madderwind.errors import ConfigurationError
from madderwind.messages.distribution import ConfigurationDelta, ConfigurationSnapshot
from madderwind.replication.commands import CommandKind

# Parsing this much takes about 10 ms on a busy core, less than a pause that the client of a stream notices.
LONG_CONFIGURATION_BYTES = 256 * 1024

ConfigurationMessage = ConfigurationSnapshot | ConfigurationDelta


class ReadAhead(msgspec.Struct, frozen=True):
    """The document after a message, with the base document that was in force when parsing began."""

    base: Document | None
    document: Document


def is_long(message: ConfigurationMessage) -> bool:
    """Whether parsing the message would block the event loop for too long."""
    if isinstance(message, ConfigurationSnapshot):
        return len(message.document) >= LONG_CONFIGURATION_BYTES
    return sum(len(command.body) for command in message.commands) >= LONG_CONFIGURATION_BYTES


def document_after(base: Document | None, message: ConfigurationMessage) -> Document:
    """Return the document that results from applying a message to `base`.

    The base is not modified, so any thread may call this. Raises ConfigurationError.
    """
    if isinstance(message, ConfigurationSnapshot):
        return read_document(message.document, base)
    document = base
    for command in message.commands:
        if command.kind == CommandKind.REPLACE.value or document is None:
            document = read_document(command.body, document)
        else:
            document = document.updated(command.body)
    if document is None or document.version != message.version:
        raise ConfigurationError(
            "version", f"the commands of the delta do not result in version {message.version}"
        )
    return document
