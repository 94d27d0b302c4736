"""Encodes messages as MessagePack of tagged structs, with a maximum length; invalid data raises MessageError.

Long messages are compressed. These are complete configurations, in which the same names repeat and which
shrink to a tenth of their size. Compressed messages start with a byte that never occurs in MessagePack.
"""

from __future__ import annotations

import zlib
from typing import Generic

from madderwind.errors import MessageError
from madderwind.messages.message_pack import MessagePack, MessageType

# The longest messages hold a complete configuration (configuration.acceptance.MAX_DOCUMENT_BYTES).
MAX_MESSAGE_BYTES = 16 * 1024 * 1024
# Compression may lengthen a message, by less than this share of it. A WebSocket's limit is exclusive.
_COMPRESSION_OVERHEAD = 1 / 1024
WEBSOCKET_LIMIT_BYTES = int(MAX_MESSAGE_BYTES * (1 + _COMPRESSION_OVERHEAD)) + 1
# From this length on, transferring the uncompressed message costs more than compressing it.
MIN_COMPRESSED_BYTES = 16 * 1024
COMPRESSION_LEVEL = 1
COMPRESSED_PREFIX = b"\xc1"  # unused in MessagePack


class Codec(Generic[MessageType]):
    """Encodes and decodes one union of tagged structs."""

    def __init__(self, union: object, max_bytes: int = MAX_MESSAGE_BYTES) -> None:
        """Create a codec for messages of at most `max_bytes` before their compression."""
        self._format: MessagePack[MessageType] = MessagePack(union)
        self._max_bytes = max_bytes

    def encode(self, message: MessageType) -> bytes:
        """Serialize a message; raises MessageError if it is too long or holds text that is not Unicode."""
        data = self._format.encode(message)
        self._check_size(data)
        if len(data) < MIN_COMPRESSED_BYTES:
            return data
        return COMPRESSED_PREFIX + zlib.compress(data, COMPRESSION_LEVEL)

    def decode(self, data: bytes) -> MessageType:
        """Parse a message; raises MessageError if the data is not a valid message."""
        if data[:1] == COMPRESSED_PREFIX:
            data = _decompress(data[1:], self._max_bytes)
        self._check_size(data)
        return self._format.decode(data)

    def _check_size(self, data: bytes) -> None:
        if len(data) > self._max_bytes:
            raise MessageError(f"{len(data)} bytes exceed the maximum of {self._max_bytes}")


def _decompress(data: bytes, max_bytes: int) -> bytes:
    """Decompress data up to a byte more than the maximum; raises MessageError if it is invalid."""
    decompressor = zlib.decompressobj()
    try:
        data = decompressor.decompress(data, max_bytes + 1)
    except zlib.error as error:
        raise MessageError(f"invalid compressed message: {error}") from None
    if len(data) <= max_bytes and not decompressor.eof:
        raise MessageError("incomplete compressed message")
    return data
