"""Structs as MessagePack, with integers of any size.

MessagePack's own integers have 64 bits, while neither an operator's versions nor an upstream's sequence
numbers have an upper bound. A larger integer is an extension of type `INTEGER_EXTENSION`, with its two's
complement in big-endian order. Data without such an integer has exactly the bytes that msgspec produces.
"""

from __future__ import annotations

from typing import Generic, TypeVar

import msgspec

from madderwind.errors import MessageError

INTEGER_EXTENSION = 1
# The most digits of an integer that Python converts from and to text by default.
MAX_INTEGER_DIGITS = 4300
# Holds any integer of so many digits and its sign.
MAX_INTEGER_BYTES = 1792
_MIN_NATIVE, _MAX_NATIVE = -(1 << 63), (1 << 64) - 1

MessageType = TypeVar("MessageType")


class MessagePack(Generic[MessageType]):
    """Encodes and decodes values of one type."""

    def __init__(self, message_type: object) -> None:
        """Create an encoder and a decoder; `message_type` may be a union of tagged structs."""
        self._message_type = message_type
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder: msgspec.msgpack.Decoder[MessageType] = msgspec.msgpack.Decoder(message_type)

    def encode(self, message: MessageType) -> bytes:
        """Serialize a message; raises MessageError if it holds text that is not Unicode."""
        try:
            return self._encode(message)
        except UnicodeEncodeError as error:
            raise MessageError(f"{type(message).__name__} holds text that is not Unicode: {error}") from None

    def decode(self, data: bytes) -> MessageType:
        """Parse a message; raises MessageError if the data is not a valid message."""
        try:
            return self._decoder.decode(data)
        except msgspec.ValidationError as error:
            return self._decode_with_extensions(data, error)
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            raise MessageError(str(error)) from None

    def _encode(self, message: MessageType) -> bytes:
        try:
            return self._encoder.encode(message)
        except OverflowError:
            plain = msgspec.to_builtins(message, builtin_types=(bytes,))
            return self._encoder.encode(_with_extensions(plain))

    def _decode_with_extensions(self, data: bytes, error: msgspec.ValidationError) -> MessageType:
        """Parse data that the decoder rejected with `error`, in case it holds integers beyond 64 bits."""
        integers: list[int] = []

        def read_extension(code: int, content: memoryview) -> int:
            integers.append(_read_integer(code, content))
            return integers[-1]

        try:
            plain = msgspec.msgpack.decode(data, ext_hook=read_extension)
            if not integers:
                raise MessageError(str(error))
            message: MessageType = msgspec.convert(plain, self._message_type, builtin_types=(bytes,))
        except (msgspec.MsgspecError, UnicodeDecodeError) as conversion_error:
            raise MessageError(str(conversion_error)) from None
        return message


def _with_extensions(value: object) -> object:
    """The value with each integer beyond 64 bits as an extension."""
    if type(value) is int and not _MIN_NATIVE <= value <= _MAX_NATIVE:
        return _integer_extension(value)
    if isinstance(value, (list, tuple)):
        return [_with_extensions(item) for item in value]
    if isinstance(value, dict):
        return {key: _with_extensions(item) for key, item in value.items()}
    return value


def _integer_extension(value: int) -> msgspec.msgpack.Ext:
    size = value.bit_length() // 8 + 1
    if size > MAX_INTEGER_BYTES:
        raise MessageError(f"an integer of {size} bytes exceeds the maximum of {MAX_INTEGER_BYTES}")
    return msgspec.msgpack.Ext(INTEGER_EXTENSION, value.to_bytes(size, "big", signed=True))


def _read_integer(code: int, content: memoryview) -> int:
    if code != INTEGER_EXTENSION or len(content) > MAX_INTEGER_BYTES:
        raise MessageError(f"unknown extension {code} of {len(content)} bytes")
    return int.from_bytes(content, "big", signed=True)
