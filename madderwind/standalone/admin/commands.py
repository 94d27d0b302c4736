"""Parses admin commands and formats their answers, one line each. Does no I/O."""

from __future__ import annotations

from typing import NamedTuple

# Bounds the length of a command. An upstream's id is a word of discovery's list, and the name of a zone or
# region one of the settings; the client must not choose the length.
MAX_COMMAND_BYTES = 512
COMMANDS_WITH_NAME = frozenset(("SUSPEND", "RESTORE", "LEAVE", "RETURN"))
COMMANDS_WITHOUT_ARGUMENT = frozenset(("STATUS", "METRICS"))


class Command(NamedTuple):
    word: str
    name: str = ""  # id of an upstream, or name of a zone or region


class InvalidCommandError(ValueError):
    """A line that is not a valid command; the message goes to the client."""


def parse_command(line: bytes) -> Command:
    """Parse a line without its line end. Raises InvalidCommandError with the reason if it is invalid."""
    if len(line) > MAX_COMMAND_BYTES:
        raise InvalidCommandError("too long")
    try:
        words = line.decode("utf-8").split(" ")
    except UnicodeDecodeError:
        raise InvalidCommandError("no text") from None
    word, arguments = words[0], words[1:]
    if word in COMMANDS_WITHOUT_ARGUMENT:
        if arguments:
            raise InvalidCommandError(f"{word} takes nothing more")
        return Command(word)
    if word not in COMMANDS_WITH_NAME:
        raise InvalidCommandError("unknown call")
    if len(arguments) != 1 or not arguments[0] or not arguments[0].isprintable():
        raise InvalidCommandError(f"{word} takes one id")
    return Command(word, arguments[0])


def acknowledge(text: str) -> bytes:
    return f"ACK {text}\n".encode()


def reject(reason: str) -> bytes:
    return f"NAK {reason}\n".encode()
