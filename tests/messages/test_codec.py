"""Tests of the message codec: round trips, compression, and MessageError for invalid data."""

from __future__ import annotations

import random
import unittest
import zlib

from hypothesis import given
from hypothesis import strategies as st

from madderwind.errors import MessageError
from madderwind.messages.codec import (
    COMPRESSED_PREFIX,
    MAX_MESSAGE_BYTES,
    MIN_COMPRESSED_BYTES,
    WEBSOCKET_LIMIT_BYTES,
)
from madderwind.messages.distribution import ConfigurationSnapshot, to_control_plane, to_data_plane
from madderwind.messages.peering import peer_frames


class RoundTrips(unittest.TestCase):
    def test_long_message_is_compressed(self) -> None:
        message = ConfigurationSnapshot(7, b'{"name":"a route"}' * 10_000)
        data = to_data_plane.encode(message)
        self.assertLess(len(data), len(message.document) / 5)
        self.assertEqual(to_data_plane.decode(data), message)

    def test_incompressible_message_is_decoded(self) -> None:
        incompressible = random.Random(1).randbytes(MIN_COMPRESSED_BYTES)
        message = ConfigurationSnapshot(7, incompressible)
        self.assertEqual(to_data_plane.decode(to_data_plane.encode(message)), message)

    def test_short_message_is_not_compressed(self) -> None:
        data = to_data_plane.encode(ConfigurationSnapshot(7, b"x" * 100))
        self.assertNotEqual(data[:1], COMPRESSED_PREFIX)


class InvalidData(unittest.TestCase):
    @given(st.binary(max_size=200))
    def test_arbitrary_bytes_raise_message_error(self, data: bytes) -> None:
        for codec in (to_data_plane, to_control_plane, peer_frames):
            for frame in (data, COMPRESSED_PREFIX + data, COMPRESSED_PREFIX + zlib.compress(data)):
                with self.assertRaises(MessageError):
                    codec.decode(frame + b"\xc1")

    def test_decompression_beyond_the_size_limit_raises_message_error(self) -> None:
        decompression_bomb = COMPRESSED_PREFIX + zlib.compress(b"\x00" * (4 * MAX_MESSAGE_BYTES))
        self.assertLess(len(decompression_bomb), MAX_MESSAGE_BYTES)
        with self.assertRaises(MessageError):
            to_data_plane.decode(decompression_bomb)

    def test_truncated_compressed_message_raises_message_error(self) -> None:
        data = to_data_plane.encode(ConfigurationSnapshot(7, b'{"name":"a route"}' * 10_000))
        with self.assertRaises(MessageError):
            to_data_plane.decode(data[:-20])


class LongestMessage(unittest.TestCase):
    """An encoder never produces what a decoder or a connection refuses."""

    OVERHEAD_BYTES = len(to_data_plane.encode(ConfigurationSnapshot(7, b"")))

    def snapshot(self, message_bytes: int) -> ConfigurationSnapshot:
        """An incompressible message of this length."""
        length_field_bytes = 3  # beyond that of an empty document
        document_bytes = message_bytes - self.OVERHEAD_BYTES - length_field_bytes
        return ConfigurationSnapshot(7, random.Random(1).randbytes(document_bytes))

    def test_it_is_decoded_and_fits_into_a_frame(self) -> None:
        message = self.snapshot(MAX_MESSAGE_BYTES)
        frame = to_data_plane.encode(message)
        self.assertGreater(len(frame), MAX_MESSAGE_BYTES)
        self.assertLess(len(frame), WEBSOCKET_LIMIT_BYTES)
        self.assertEqual(to_data_plane.decode(frame), message)

    def test_one_byte_more_raises_message_error_at_the_sender(self) -> None:
        # Guards against a message whose receiver closes the connection, again and again.
        with self.assertRaises(MessageError):
            to_data_plane.encode(self.snapshot(MAX_MESSAGE_BYTES + 1))


if __name__ == "__main__":
    unittest.main()
