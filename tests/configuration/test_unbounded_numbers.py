"""A number of any size that passed the door can be stored, restored and published."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from madderwind.configuration.history import ConfigurationHistory
from madderwind.configuration.reading import read_document
from madderwind.errors import ConfigurationError
from madderwind.messages.codec import Codec
from madderwind.messages.distribution import (
    ConfigurationApplied,
    ConfigurationDelta,
    ConfigurationSnapshot,
    FetchConfiguration,
    Freshness,
    Subscribe,
    to_control_plane,
    to_data_plane,
)
from madderwind.messages.message_pack import MAX_INTEGER_DIGITS, MessageType
from madderwind.messages.peering import CommandReply, ForwardCommand, ReadReply, peer_frames
from madderwind.messages.replication import AppendEntries, LogEntry
from madderwind.replication.commands import Command, CommandKind, CommandOutcome
from madderwind.replication.records import EntryRecord, stored_records
from tests.configuration.samples import complete_configuration, encoded

# Date and time down to the microsecond.
MICROSECONDS = 20261204181000123456
LARGEST = 10**MAX_INTEGER_DIGITS - 2  # another version follows it
BOUNDARIES = [(1 << bits) + offset for bits in (31, 53, 63, 64) for offset in (-1, 0, 1)]
versions = st.integers(2, LARGEST) | st.sampled_from([*BOUNDARIES, MICROSECONDS, LARGEST])


def history_with(version: int) -> ConfigurationHistory:
    """A history in which `version` follows version 1, and another one follows it."""
    history = ConfigurationHistory()
    for command in commands_with(version):
        assert history.validate(command) is None
        history.apply(command)
    return history


def commands_with(version: int) -> tuple[Command, ...]:
    return (
        Command(CommandKind.REPLACE, 0, encoded(complete_configuration(1))),
        Command(CommandKind.UPDATE, 1, encoded({"version": version, "delete": {"routes": ["a"]}})),
        Command(CommandKind.UPDATE, version, encoded({"version": version + 1})),
    )


def assert_passes(codec: Codec[MessageType], message: MessageType) -> None:
    assert codec.decode(codec.encode(message)) == message


@given(versions)
def test_a_history_with_it_is_restored_from_its_snapshot(version: int) -> None:
    history = history_with(version)
    restored = ConfigurationHistory.restore(history.snapshot())
    assert restored.version == version + 1
    assert restored.document is not None
    assert history.document is not None
    assert restored.document.raw == history.document.raw
    assert restored.commands_since(1) == history.commands_since(1)
    for command in commands_with(version):
        result = restored.validate(command)
        assert result is not None
        assert result.outcome is CommandOutcome.COMMITTED


@given(versions)
def test_every_message_with_it_reaches_its_receiver(version: int) -> None:
    # Guards against an acknowledged version that no data plane ever puts in force (review/7).
    history = history_with(version)
    commands = history.commands_since(1)
    assert history.document is not None
    assert commands is not None
    for to_plane in (
        Freshness(version, 3, 1.0, True, 2, 5.0),
        ConfigurationSnapshot(version, history.document.raw),
        ConfigurationDelta(1, version + 1, commands),
    ):
        assert_passes(to_data_plane, to_plane)
    for to_control in (
        Subscribe("front-1", "a1", "127.0.0.1:1", "z1", version),
        FetchConfiguration(version),
        ConfigurationApplied(version),
    ):
        assert_passes(to_control_plane, to_control)
    entry = LogEntry(2, 1, "update", version, b"{}")
    for frame in (
        AppendEntries("a", "b", 1, 1, 1, (entry,), 1),
        ForwardCommand(7, "update", version, b"{}"),
        CommandReply(7, "taken", version, "", ""),
        ReadReply(7, True, version, b"{}"),
    ):
        assert_passes(peer_frames, frame)
    assert_passes(stored_records, EntryRecord(entry, 1))


@pytest.mark.parametrize("number", ["9" * (MAX_INTEGER_DIGITS + 1), "1e999", "-1e999"])
def test_a_number_in_an_unknown_section_is_read_in_a_document_as_in_an_update(number: str) -> None:
    # Guards against an acknowledged update that leaves a document which no process can read.
    history = history_with(2)
    added = f'{{"version":9,"upsert":{{"partners":[{{"name":"a","share":{number}}}]}}}}'.encode()
    command = Command(CommandKind.UPDATE, 3, added)
    assert history.validate(command) is None
    history.apply(command)
    restored = ConfigurationHistory.restore(history.snapshot())
    assert restored.document is not None
    assert number.encode() in restored.document.raw


def test_the_document_names_its_version_and_is_read_again() -> None:
    document = history_with(MICROSECONDS).document
    assert document is not None
    assert read_document(document.raw).version == MICROSECONDS + 1


@pytest.mark.parametrize("digits", [MAX_INTEGER_DIGITS + 1, 10 * MAX_INTEGER_DIGITS])
def test_a_version_with_too_many_digits_is_invalid(digits: int) -> None:
    body = b'{"version":' + b"9" * digits + b',"routes":[],"services":[]}'
    with pytest.raises(ConfigurationError, match="version: has more than 4300 digits"):
        read_document(body)
