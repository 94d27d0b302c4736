"""Encoding and decoding of records."""

from __future__ import annotations

import unittest

from madderwind.storage.records import decode_records, encode_records

PAYLOADS = (b"first", b"", b"\x00" * 40, b"last")


class RecordDecoding(unittest.TestCase):
    def test_given_complete_records_then_all_are_decoded(self) -> None:
        data = encode_records(PAYLOADS)
        decoded = decode_records(data)
        self.assertEqual(PAYLOADS, decoded.records)
        self.assertEqual(len(data), decoded.length)

    def test_given_any_prefix_then_its_complete_records_are_decoded(self) -> None:
        ends = [len(encode_records(PAYLOADS[:count])) for count in range(len(PAYLOADS) + 1)]
        data = encode_records(PAYLOADS)
        for length in range(len(data) + 1):
            complete = sum(end <= length for end in ends) - 1
            decoded = decode_records(data[:length])
            self.assertEqual(PAYLOADS[:complete], decoded.records)
            self.assertEqual(ends[complete], decoded.length)

    def test_given_zeros_after_the_records_then_they_decode_as_no_record(self) -> None:
        data = encode_records(PAYLOADS)
        self.assertEqual(PAYLOADS, decode_records(data + b"\x00" * 100).records)

    def test_given_any_changed_byte_then_its_record_and_all_later_ones_are_not_decoded(self) -> None:
        data = encode_records(PAYLOADS)
        for position in range(len(data)):
            damaged = bytearray(data)
            damaged[position] ^= 0x10
            decoded = decode_records(bytes(damaged))
            self.assertLess(decoded.length, len(data))
            self.assertEqual(PAYLOADS[: len(decoded.records)], decoded.records)


if __name__ == "__main__":
    unittest.main()
