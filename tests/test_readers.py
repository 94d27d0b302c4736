"""Every reader of the outside world takes what it is given or refuses it with its own error.

What is taken passes on: it is encoded, decoded, stored and restored unchanged.
"""

from __future__ import annotations

import json
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from madderwind.configuration.history import ConfigurationHistory
from madderwind.configuration.lookup import RoutingTable, choose_backend
from madderwind.configuration.reading import read_document
from madderwind.dataplane.headers import milliseconds, token_usage
from madderwind.errors import ConfigurationError, MessageError, SettingsError
from madderwind.messages.distribution import ConfigurationDelta, ConfigurationSnapshot, to_data_plane
from madderwind.node_settings import parse_settings
from madderwind.placement.prompts import parse_prefix
from madderwind.replication.commands import Command, CommandKind, CommandOutcome
from tests.configuration.samples import complete_configuration, encoded, route, tenant
from tests.drawn_json import json_like
from tests.test_node_settings import settings_text

# The same examples each time, however busy the machine is.
DRAWN = settings(max_examples=400, derandomize=True, deadline=None)
# Members that this version doesn't know, in which anything is taken that can be read.
NOTES: dict[str, Any] = {"text": "a", "count": 1, "list": [1, {"deep": [0.5]}], "items": [{"name": "a"}]}
CONFIGURATION = complete_configuration(1, notes=NOTES)
CONFIGURATION["routes"][0]["notes"] = NOTES
UPDATE: dict[str, Any] = {
    "version": 2,
    "upsert": {
        "routes": [route("new", notes=NOTES)],
        "tenants": [tenant("new", "k-new")],
        "limits": {"max_body_bytes": 5000},
        "partners": [{"name": "a", "notes": NOTES}],
    },
    "delete": {"routes": ["a"], "partners": ["b"]},
}
HEADER_TEXTS = st.text(max_size=40) | st.sampled_from(
    [
        "9" * 400,
        "1e309",
        "1e308,1",
        "-1",
        "nan",
        "inf",
        "1,1",
        "9" * 12 + "," + "9" * 12,
        "a1:" + "9" * 400,
        "a:1,b",
    ]
)


def use(table: RoutingTable) -> None:
    """Look up what requests look up."""
    for path in ("/", "/a/x", "/new/x", "*"):
        found = table.match("api.example", path)
        if found is not None:
            for draw in (0.0, 0.5, 0.999):
                assert table.service(choose_backend(found, draw)).name


@DRAWN
@given(json_like(CONFIGURATION), json_like(UPDATE))
def test_every_accepted_configuration_is_stored_restored_and_published(body: bytes, change: bytes) -> None:
    history = ConfigurationHistory()
    commands = (
        Command(CommandKind.REPLACE, 0, body),
        Command(CommandKind.REPLACE, 0, encoded(CONFIGURATION)),
        Command(CommandKind.UPDATE, 1, change),
    )
    for command in commands:
        if history.validate(command) is None:
            history.apply(command)
    document = history.document
    assert document is not None
    use(document.routing)
    assert document.raw_bytes == len(document.raw)

    restored = ConfigurationHistory.restore(history.snapshot()).document
    assert restored is not None
    assert (restored.version, restored.configuration) == (document.version, document.configuration)

    snapshot = ConfigurationSnapshot(document.version, document.raw)
    received = to_data_plane.decode(to_data_plane.encode(snapshot))
    assert isinstance(received, ConfigurationSnapshot)
    published = read_document(received.document)
    assert published.configuration == document.configuration

    records = history.commands_since(1) or ()
    delta = ConfigurationDelta(1, document.version, records)
    assert to_data_plane.decode(to_data_plane.encode(delta)) == delta
    json.loads(document.raw.decode(), parse_int=str)  # a number may have more digits than an int takes


@DRAWN
@given(json_like(CONFIGURATION))
def test_a_configuration_is_refused_with_its_field(body: bytes) -> None:
    result = ConfigurationHistory().validate(Command(CommandKind.REPLACE, 0, body))
    if result is not None:
        assert result.outcome is CommandOutcome.INVALID
        assert result.field
        assert result.reason


@DRAWN
@given(json_like(json.loads(settings_text())))
def test_settings_are_taken_or_refused_with_their_field(text: bytes) -> None:
    try:
        taken = parse_settings(text)
    except SettingsError as error:
        assert error.field
        return
    assert taken.internal_address(0).startswith(taken.ip)
    assert len(taken.seed_addresses()) == len(taken.seeds)


@DRAWN
@given(HEADER_TEXTS)
def test_a_request_header_is_taken_or_ignored(text: str) -> None:
    headers = {"X-Deadline-Ms": text, "X-Token-Usage": text}
    remaining_ms = milliseconds(headers, "X-Deadline-Ms")
    assert remaining_ms is None or 0 < remaining_ms < float("inf")
    usage = token_usage(headers)
    assert usage is None or all(0 <= count < 10**12 for count in usage)
    try:
        parse_prefix(text)
    except MessageError as error:
        assert str(error)


@DRAWN
@given(st.binary(max_size=300))
def test_bytes_that_are_no_json_are_refused(data: bytes) -> None:
    for read, error in ((read_document, ConfigurationError), (parse_settings, SettingsError)):
        try:
            read(data)
        except error:
            continue
        raise AssertionError(f"{read.__name__} took {data!r}")
