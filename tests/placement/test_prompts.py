"""Parsing the prompt parts of an `X-Prompt-Prefix` header."""

from __future__ import annotations

import unittest

from madderwind.errors import MessageError
from madderwind.placement.prompts import MAX_PARTS, PromptPart, parse_prefix


class ParsePrefix(unittest.TestCase):
    def test_parts_keep_their_order(self) -> None:
        parts = parse_prefix("5c1e07a2:800,91bd3f06:410, e4402b7d:250")
        self.assertEqual(
            parts,
            (PromptPart("5c1e07a2", 800), PromptPart("91bd3f06", 410), PromptPart("e4402b7d", 250)),
        )

    def test_an_empty_header_has_no_parts(self) -> None:
        self.assertEqual(parse_prefix(""), ())

    def test_a_malformed_header_is_an_error(self) -> None:
        too_many = ",".join(["a:1"] * (MAX_PARTS + 1))
        malformed = [
            "a",
            "a:",
            ":4",
            "a:-1",
            "a:1.5",
            "a:1,,b:2",
            "a:²",
            "a:" + "9" * 40,
            "a" * 9000 + ":1",
            too_many,
        ]
        for text in malformed:
            with self.subTest(text=text[:20]), self.assertRaises(MessageError):
                parse_prefix(text)
