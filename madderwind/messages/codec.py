"""Encoding of messages: tagged structs as MessagePack, bounded in length, odd ones a typed error.

Long messages (whole configurations, which repeat the same names) are compressed: to a tenth, as measured.
They begin with a byte that no MessagePack begins with.
"""

from __future__ import annotations

import zlib
from typing import Generic, TypeVar

import msgspec

from madderwind.errors import MessageError

# A whole configuration is at most 4 MiB; a snapshot holds it with its history.
LONGEST_MESSAGE = 16 * 1024 * 1024
# From this length on the transfer costs more than the compression.
COMPRESSED_FROM_BYTES = 16 * 1024
COMPRESSION_LEVEL = 1
COMPRESSED_MARK = b"\xc1"  # never used by MessagePack

MessageType = TypeVar("MessageType")


class Codec(Generic[MessageType]):
    """Encodes and decodes one union of tagged structs."""

    def __init__(self, union: object) -> None:
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder: msgspec.msgpack.Decoder[MessageType] = msgspec.msgpack.Decoder(union)

    def encode(self, message: MessageType) -> bytes:
        """The message's bytes."""
        data = self._encoder.encode(message)
        if len(data) < COMPRESSED_FROM_BYTES:
            return data
        return COMPRESSED_MARK + zlib.compress(data, COMPRESSION_LEVEL)

    def decode(self, data: bytes) -> MessageType:
        """The message; MessageError where the bytes are none."""
        if data[:1] == COMPRESSED_MARK:
            data = _decompressed(data[1:])
        if len(data) > LONGEST_MESSAGE:
            raise MessageError(f"{len(data)} bytes are more than a message may hold")
        try:
            return self._decoder.decode(data)
        except msgspec.MsgspecError as error:
            raise MessageError(str(error)) from None


def _decompressed(data: bytes) -> bytes:
    """The bytes before compression; MessageError where these are none, or more than a message may hold."""
    decompressor = zlib.decompressobj()
    try:
        whole = decompressor.decompress(data, LONGEST_MESSAGE + 1)
    except zlib.error as error:
        raise MessageError(f"a compressed message: {error}") from None
    if len(whole) <= LONGEST_MESSAGE and not decompressor.eof:
        raise MessageError("a compressed message that is not whole")
    return whole
