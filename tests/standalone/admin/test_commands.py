"""Admin commands, parsed from arbitrary bytes."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from madderwind.standalone.admin.commands import (
    COMMANDS_WITH_NAME,
    COMMANDS_WITHOUT_ARGUMENT,
    MAX_COMMAND_BYTES,
    Command,
    InvalidCommandError,
    acknowledge,
    parse_command,
    reject,
)


@pytest.mark.parametrize(
    ("line", "command"),
    [
        (b"STATUS", Command("STATUS")),
        (b"METRICS", Command("METRICS")),
        (b"SUSPEND s-1", Command("SUSPEND", "s-1")),
        ("RESTORE ñandú".encode(), Command("RESTORE", "ñandú")),
    ],
)
def test_valid_commands(line: bytes, command: Command) -> None:
    assert parse_command(line) == command


@pytest.mark.parametrize(
    "line",
    [
        b"",
        b"status",
        b"STATUS now",
        b"METRICS ",
        b" STATUS",
        b"SUSPEND",
        b"SUSPEND ",
        b"SUSPEND a b",
        b"SUSPEND \x00",
        b"RESTORE \xff",
        b"GET / HTTP/1.1",
        b"SUSPEND " + b"x" * MAX_COMMAND_BYTES,
    ],
)
def test_invalid_commands(line: bytes) -> None:
    with pytest.raises(InvalidCommandError):
        parse_command(line)


@given(st.one_of(st.binary(max_size=2 * MAX_COMMAND_BYTES), st.binary(max_size=40).map(b"SUSPEND ".__add__)))
def test_any_bytes_are_either_valid_or_rejected(line: bytes) -> None:
    try:
        command = parse_command(line)
    except InvalidCommandError as error:
        assert reject(str(error)).startswith(b"NAK ") and reject(str(error)).count(b"\n") == 1
        return
    assert (command.word in COMMANDS_WITHOUT_ARGUMENT) == (command.name == "")
    assert command.word in COMMANDS_WITHOUT_ARGUMENT | COMMANDS_WITH_NAME
    # an answer that contains the id is still a single line
    assert acknowledge(command.name).count(b"\n") == 1
