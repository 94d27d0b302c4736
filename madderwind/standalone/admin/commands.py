"""Operators' calls: one line each way. No input or output."""

from __future__ import annotations

from typing import NamedTuple

# An upstream's id is a word of a list, a zone's or region's name one of the settings. Guards against ids as
# long as a caller likes.
LONGEST_CALL = 512
WITH_ID = frozenset(("SUSPEND", "RESTORE", "LEAVE", "RETURN"))
ALONE = frozenset(("STATUS", "METRICS"))


class Call(NamedTuple):
    word: str
    name: str = ""  # of an upstream, a zone or a region


class BadCall(ValueError):
    """A line that is no call; the text is for its caller."""


def read_call(line: bytes) -> Call:
    """The call that a line makes, its end stripped. BadCall says what is wrong with it."""
    if len(line) > LONGEST_CALL:
        raise BadCall("too long")
    try:
        words = line.decode("utf-8").split(" ")
    except UnicodeDecodeError:
        raise BadCall("no text") from None
    word, rest = words[0], words[1:]
    if word in ALONE:
        if rest:
            raise BadCall(f"{word} takes nothing more")
        return Call(word)
    if word not in WITH_ID:
        raise BadCall("unknown call")
    if len(rest) != 1 or not rest[0] or not rest[0].isprintable():
        raise BadCall(f"{word} takes one id")
    return Call(word, rest[0])


def yes(text: str) -> bytes:
    return f"ACK {text}\n".encode()


def no(reason: str) -> bytes:
    return f"NAK {reason}\n".encode()
