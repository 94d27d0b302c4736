"""Whatever numbers an accepted configuration holds, a data plane puts it in force and serves on."""

from __future__ import annotations

import json
from typing import Any

import pytest

from madderwind.configuration.reading import Document, read_document
from madderwind.distribution.subscriber_events import ApplyConfiguration
from madderwind.errors import ConfigurationError
from madderwind.testing.fault_tests.wire import chunk
from tests.dataplane.fleet import Fleet, Message, Writer, document, event, served, stream_head
from tests.standins import run

Path = tuple[str | int, ...]

NUMBERS = (
    *(str((1 << bits) + offset) for bits in (31, 53, 63, 64) for offset in (-1, 0, 1)),
    *(str(10**digits) for digits in (30, 308, 309, 4299)),
    *("1e-308", "5e-324", "1.5", "1e19", "1e308", "1.7976931348623157e308", "1e400", "NaN", "Infinity"),
    *("0", "-0.0", "-1"),
)
ENGINE = {"slots": 4, "kv_tokens": 1000, "kv_token_bytes": 10, "link_mbps": 100, "stride": 1}
ROUTE_FIELDS = ("timeout_ms", "target_latency_ms", "priority", "max_attempts", "gap_aim_ms")
UNSAFE_ROUTE, RESUMABLE_ROUTE = 1, 3
FIELDS: tuple[Path, ...] = (
    *(("routes", index, field) for index in (UNSAFE_ROUTE, RESUMABLE_ROUTE) for field in ROUTE_FIELDS),
    ("services", 0, "max_connections"),
    *(("services", 0, "engine", field) for field in ENGINE),
    *(("tenants", 0, field) for field in ("priority", "rate_per_s", "burst", "prompt_tokens")),
    *(("limits", field) for field in document()["limits"]),
)
# A limit that no request keeps within, and a time limit that has passed at once.
REFUSALS = (408, 413, 429, 431, 503)
GENERATION = {"X_Model": "m", "X_Token_Usage": "100,20", "X_Prompt_Prefix": "a1:100"}


def configuration(version: int, unit: str) -> dict[str, Any]:
    base = document(version)
    service = {**base["services"][0], "engine": ENGINE}
    tenant = {"name": "acme", "api_keys": ["k-acme"], "unit": unit, "rate_per_s": 1e6, "burst": 1e6}
    return {**base, "services": [service], "tenants": [tenant]}


def with_number(version: int, unit: str, path: Path, number: str) -> Document | None:
    """The configuration with another number in one place; None if it is refused."""
    changed: Any = json.loads(json.dumps(configuration(version, unit)))
    place = changed
    for key in path[:-1]:
        place = place[key]
    place[path[-1]] = "@"
    try:
        return read_document(json.dumps(changed).replace('"@"', number).encode())
    except ConfigurationError:
        return None


async def respond(message: Message, writer: Writer) -> None:
    if "resumable" in message.start:
        writer.write(stream_head(message) + chunk(event(1)) + b"0\r\n\r\n")
    else:
        await served()(message, writer)


async def statuses(fleet: Fleet) -> list[int]:
    """The statuses of a plain request, a stream and a request that generates tokens."""
    answers = (
        await fleet.ask("/unsafe/x"),
        await fleet.ask("/resumable/x", **GENERATION),
        await fleet.ask("/unsafe/x", **GENERATION),
    )
    return [answer.status for answer in answers]


@pytest.mark.parametrize("unit", ["requests", "tokens"])
@pytest.mark.parametrize("path", FIELDS, ids=lambda path: ".".join(map(str, path)))
def test_every_accepted_number_is_served(path: Path, unit: str) -> None:
    # Guards against an acknowledged configuration under which requests end with 500.
    async def scenario() -> None:
        async with Fleet(respond, respond, document=configuration(1, unit)) as fleet:
            for version, number in enumerate(NUMBERS, start=2):
                accepted = with_number(version, unit, path, number)
                if accepted is None:
                    continue
                fleet.plane._apply_configuration(ApplyConfiguration(accepted))
                found = await statuses(fleet)
                assert all(status == 200 or status in REFUSALS for status in found), (number[:20], found)
            restored = with_number(len(NUMBERS) + 2, unit, ("limits", "max_body_bytes"), "100000")
            assert restored is not None
            fleet.plane._apply_configuration(ApplyConfiguration(restored))
            assert await statuses(fleet) == [200, 200, 200]

    run(scenario())
