"""Records of a replica's file: whatever the state's size, what is written can be read back."""

from __future__ import annotations

import random

import pytest

from madderwind.errors import MessageError
from madderwind.messages.codec import MAX_MESSAGE_BYTES
from madderwind.replication.records import MAX_STORED_RECORD_BYTES, SnapshotRecord, stored_records
from madderwind.storage.records import decode_records, encode_record

# Tag, index, epoch and the length of the state.
HEADER_BYTES = len(stored_records.encode(SnapshotRecord(1, 1, b""))) + 3


def test_a_state_longer_than_a_message_is_read_back() -> None:
    # Guards against a control plane that cannot rewrite its file, or cannot start from it.
    record = SnapshotRecord(1, 1, b"x" * (MAX_MESSAGE_BYTES + 1))
    assert stored_records.decode(stored_records.encode(record)) == record


def test_the_longest_record_fits_into_a_file_however_badly_it_compresses() -> None:
    state = random.Random(1).randbytes(MAX_STORED_RECORD_BYTES - HEADER_BYTES)
    record = SnapshotRecord(1, 1, state)
    (payload,) = decode_records(encode_record(stored_records.encode(record))).records
    assert stored_records.decode(payload) == record


def test_one_byte_more_raises_message_error() -> None:
    state = b"x" * (MAX_STORED_RECORD_BYTES - HEADER_BYTES + 1)
    with pytest.raises(MessageError, match="exceed the maximum"):
        stored_records.encode(SnapshotRecord(1, 1, state))
