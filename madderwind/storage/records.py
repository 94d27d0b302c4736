"""Encoding of records in a file: length, checksum, payload. Decoding stops at the first incomplete record.

After a power loss, data written since the last sync may be present, missing or torn. The checksum covers the
length as well, so that neither a run of zeros nor part of a record decodes as a record.
"""

from __future__ import annotations

import struct
import zlib
from collections.abc import Iterable

import msgspec

_HEADER = struct.Struct("<II")  # length of the payload, checksum
# Longer than any record; bounds the read that a torn length field asks for.
MAX_RECORD_BYTES = 64 * 1024 * 1024


class DecodedRecords(msgspec.Struct, frozen=True):
    """The complete records at the start of the data, and the number of bytes that they occupy."""

    records: tuple[bytes, ...]
    length: int


def encode_record(payload: bytes) -> bytes:
    """Encode one record."""
    return _HEADER.pack(len(payload), _checksum(payload)) + payload


def encode_records(payloads: Iterable[bytes]) -> bytes:
    """Encode several records, one after the other."""
    return b"".join(encode_record(payload) for payload in payloads)


def decode_records(data: bytes) -> DecodedRecords:
    """Decode all records before the first that is torn, damaged or missing."""
    records: list[bytes] = []
    position = 0
    while (payload := _record_at(data, position)) is not None:
        records.append(payload)
        position += _HEADER.size + len(payload)
    return DecodedRecords(tuple(records), position)


def _record_at(data: bytes, position: int) -> bytes | None:
    start = position + _HEADER.size
    if start > len(data):
        return None
    length, checksum = _HEADER.unpack_from(data, position)
    if length > MAX_RECORD_BYTES or start + length > len(data):
        return None
    payload = data[start : start + length]
    return payload if _checksum(payload) == checksum else None


def _checksum(payload: bytes) -> int:
    # Seeded with the length, and not 0 for an empty payload, so that zeros never decode as a record.
    return zlib.crc32(payload, len(payload) ^ 0x5EED) ^ 0xFFFFFFFF
