"""Encoding of messages: tagged structs as MessagePack, bounded in length, invalid ones a typed error.

Long messages (whole configurations, which repeat the same names) are compressed: to a tenth, as measured.
They begin with a byte that no MessagePack begins with.
"""

from __future__ import annotations

import zlib
from typing import Generic, TypeVar

import msgspec

from madderwind.errors import MessageError

# A whole configuration is at most 4 MiB; a snapshot holds it with its history.
MAX_MESSAGE_BYTES = 16 * 1024 * 1024
# From this length on the transfer costs more than the compression.
MIN_COMPRESSED_BYTES = 16 * 1024
COMPRESSION_LEVEL = 1
COMPRESSED_PREFIX = b"\xc1"  # never used by MessagePack

MessageType = TypeVar("MessageType")


class Codec(Generic[MessageType]):
    """Encodes and decodes one union of tagged structs."""

    def __init__(self, union: object) -> None:
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder: msgspec.msgpack.Decoder[MessageType] = msgspec.msgpack.Decoder(union)

    def encode(self, message: MessageType) -> bytes:
        """The message's bytes."""
        data = self._encoder.encode(message)
        if len(data) < MIN_COMPRESSED_BYTES:
            return data
        return COMPRESSED_PREFIX + zlib.compress(data, COMPRESSION_LEVEL)

    def decode(self, data: bytes) -> MessageType:
        """The message; MessageError where the bytes are none."""
        if data[:1] == COMPRESSED_PREFIX:
            data = _decompressed(data[1:])
        if len(data) > MAX_MESSAGE_BYTES:
            raise MessageError(f"{len(data)} bytes are more than a message may hold")
        try:
            return self._decoder.decode(data)
        except msgspec.MsgspecError as error:
            raise MessageError(str(error)) from None


def _decompressed(data: bytes) -> bytes:
    """The bytes before compression; MessageError where these are none, or more than a message may hold."""
    decompressor = zlib.decompressobj()
    try:
        data = decompressor.decompress(data, MAX_MESSAGE_BYTES + 1)
    except zlib.error as error:
        raise MessageError(f"a compressed message: {error}") from None
    if len(data) <= MAX_MESSAGE_BYTES and not decompressor.eof:
        raise MessageError("a compressed message that is incomplete")
    return data
