"""Encoding of messages: tagged structs as MessagePack, bounded in length, odd ones a typed error."""

from __future__ import annotations

from typing import Generic, TypeVar

import msgspec

from madderwind.errors import MessageError

# A whole configuration is at most 4 MiB; a snapshot holds it with its history.
LONGEST_MESSAGE = 16 * 1024 * 1024

MessageType = TypeVar("MessageType")


class Codec(Generic[MessageType]):
    """Encodes and decodes one union of tagged structs."""

    def __init__(self, union: object) -> None:
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder: msgspec.msgpack.Decoder[MessageType] = msgspec.msgpack.Decoder(union)

    def encode(self, message: MessageType) -> bytes:
        """The message's bytes."""
        return self._encoder.encode(message)

    def decode(self, data: bytes) -> MessageType:
        """The message; MessageError where the bytes are none."""
        if len(data) > LONGEST_MESSAGE:
            raise MessageError(f"{len(data)} bytes are more than a message may hold")
        try:
            return self._decoder.decode(data)
        except msgspec.MsgspecError as error:
            raise MessageError(str(error)) from None
