"""Responses that an upstream repeats late: each belongs to one exchange, and no other takes it."""

from __future__ import annotations

import tracemalloc
from collections.abc import Callable, Iterator
from contextlib import AbstractContextManager, contextmanager
from typing import Any
from unittest.mock import patch

import pytest

from madderwind.dataplane import attempt_exchange
from madderwind.transport import connector, exchange_ids
from madderwind.transport.answering import SingleResponseHandler
from madderwind.transport.connector import BoundedConnector
from madderwind.transport.exchange_ids import MAX_EXCHANGES, ExchangeIds
from tests.dataplane.answer_mutants import read_head_without_id
from tests.dataplane.forwarder import ByteUpstream, ScriptedFleet, run_jumping
from tests.dataplane.repeated_responses import Arrival, Broken, Kind, Script, checker, play
from tests.dataplane.test_answers import Arrivals, client_of, response_to
from tests.standins import Writer

EXAMPLES, SEED = 150, 1
# Enough scripts to find each of the faults below.
MUTANT_EXAMPLES = 500
# What the ids of one connection may take: some 2,000 connections then take a fifth of a data plane's memory.
MAX_ID_MEMORY_BYTES = 40 * 1024


def test_no_exchange_takes_a_response_that_was_given_to_another() -> None:
    checker(EXAMPLES, SEED)()


@pytest.mark.parametrize(
    "script",
    [
        pytest.param(
            Script(1, 3, (("unsafe", 1),), (Arrival(Kind.REFUSE), Arrival(Kind.RUN, repeats=0))),
            id="a retry at the same upstream",
        ),
        pytest.param(
            Script(1, 1, (("unsafe", 1), ("unsafe", 1)), (Arrival(Kind.RUN), Arrival(Kind.RUN, repeats=0))),
            id="a client that uses an id again",
        ),
        pytest.param(
            Script(
                1,
                1,
                (("safe", 1), ("safe", 2), ("unsafe", 1)),
                (Arrival(Kind.REFUSE), Arrival(Kind.RUN), Arrival(Kind.RUN, repeats=1)),
            ),
            id="with another exchange between",
        ),
    ],
)
def test_a_late_repetition_is_not_taken_for_the_response_to_the_same_id(script: Script) -> None:
    # Guards against an unsafe request that runs twice, and against another request's response.
    play(script)


@contextmanager
def forget_at_return_to_the_pool() -> Iterator[None]:
    """Clear the ids of a connection that returns to the pool."""
    release = BoundedConnector._release

    def forget_and_release(pool: BoundedConnector, key: Any, protocol: Any, **options: Any) -> None:
        if isinstance(protocol, SingleResponseHandler):
            protocol.exchange_ids = ExchangeIds()
        release(pool, key, protocol, **options)

    with patch.object(connector.BoundedConnector, "_release", forget_and_release):
        yield


MUTANTS: dict[str, Callable[[], AbstractContextManager[Any]]] = {
    "the id is not compared": lambda: patch.object(attempt_exchange, "read_head", read_head_without_id),
    "the ids are not remembered": lambda: patch.object(ExchangeIds, "add", lambda *_: None),
    "the ids are forgotten at the return to the pool": forget_at_return_to_the_pool,
}


@pytest.mark.parametrize("mutant", MUTANTS)
def test_scripts_find_a_fault(mutant: str) -> None:
    with MUTANTS[mutant](), pytest.raises(Broken):
        checker(MUTANT_EXAMPLES, SEED, is_shrinking=False)()


def test_ids_are_remembered_until_the_connection_is_full() -> None:
    ids = ExchangeIds()
    for number in range(MAX_EXCHANGES):
        assert ids.may_carry(f"r-{number}")
        ids.add(f"r-{number}")
    assert not ids.may_carry("r-new")
    assert ids.may_carry(None)


def test_long_ids_take_no_more_memory_than_short_ones() -> None:
    # Guards against a client that fills the memory of a data plane by the length of its ids.
    tracemalloc.start()
    try:
        ids = ExchangeIds()
        for number in range(MAX_EXCHANGES):
            ids.add(f"{number}" + "x" * 8000)
        used_bytes, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert used_bytes < MAX_ID_MEMORY_BYTES


def test_a_connection_is_retired_after_its_last_exchange() -> None:
    # Guards against ids that use memory without a bound, and against a last exchange that isn't sent.
    arrivals = Arrivals()

    async def serve(reader: Any, writer: Writer) -> None:
        arrivals.connections += 1
        while True:
            request = await arrivals.read_request(reader)
            writer.write(response_to(request.header("X-Request-Id") or "", b"yes", 200))

    async def scenario() -> None:
        async with ScriptedFleet(ByteUpstream(serve)) as fleet:
            client = await client_of(fleet)
            for _ in range(7):
                assert (await client.ask("/unsafe/x")).status == 200
            assert fleet.counters == {"complete": 7}

    with patch.object(exchange_ids, "MAX_EXCHANGES", 3):
        run_jumping(scenario())
    assert arrivals.connections == 3
