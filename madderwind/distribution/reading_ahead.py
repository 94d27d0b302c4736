"""Reads what control planes send of the configuration, apart from the subscriber where that takes long."""

from __future__ import annotations

import msgspec

from madderwind.configuration.reading import Document, read_document
from madderwind.errors import ConfigurationError
from madderwind.messages.distribution import ConfigurationDelta, ConfigurationSnapshot
from madderwind.replication.commands import CommandKind

# Reading this much takes about 10 ms of a busy core: shorter than the pauses that a stream's client notices.
LONG_CONFIGURATION_BYTES = 256 * 1024

ConfigurationMessage = ConfigurationSnapshot | ConfigurationDelta


class ReadAhead(msgspec.Struct, frozen=True):
    """What a message makes of the document that was in force when reading began."""

    base: Document | None
    document: Document


def is_long(message: ConfigurationMessage) -> bool:
    """Whether reading it would hold up whatever else there is to do."""
    if isinstance(message, ConfigurationSnapshot):
        return len(message.document) >= LONG_CONFIGURATION_BYTES
    return sum(len(command.body) for command in message.commands) >= LONG_CONFIGURATION_BYTES


def document_after(base: Document | None, message: ConfigurationMessage) -> Document:
    """The document that a message makes of one, which stays as it is: any thread may read.

    Raises ConfigurationError.
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
        raise ConfigurationError("version", f"the commands do not lead to {message.version}")
    return document
