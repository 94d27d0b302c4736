"""Numbers, addresses and states of upstreams, and the state kept for removed ones."""

from __future__ import annotations

import json

import pytest

from madderwind.standalone.policy.api import UpstreamState
from madderwind.standalone.protocol.listing import read_listing
from madderwind.standalone.routing.directory import MAX_ENDS, MAX_EVER_LISTED, Directory
from tests import examples


def take_listing(
    directory: Directory, *members: dict[str, object], complete: bool = False, revision: int = 41
) -> list[int]:
    text = json.dumps(examples.listing(*members, complete=complete, revision=revision))
    listing = read_listing(text.encode())
    return [entry.upstream for entry in directory.take(listing).entries]


def table_sizes(directory: Directory) -> list[int]:
    tables = (
        directory._numbers,
        directory._ids,
        directory._addresses,
        directory._told,
        directory._outstanding,
    )
    return [len(table) for table in tables]


def test_removed_upstreams_are_forgotten() -> None:
    """Memory stays bounded where upstreams are constantly replaced by new ones."""
    directory = Directory((), ())
    for n in range(100):
        (number,) = take_listing(directory, examples.member(f"s-{n}", 5000))
        assert number >= n  # numbers are never reused
        directory.began(number)
        directory.ended(number)
        take_listing(
            directory,
            examples.member(f"s-{n}", 5000, phase="Gone"),
            examples.member("other", 1, phase="Gone"),
        )
    assert table_sizes(directory) == [0] * 5
    take_listing(directory, *(examples.member(f"t-{n}", 5000) for n in range(9)), complete=True)
    take_listing(directory, examples.member("t-3", 5000), complete=True)
    assert table_sizes(directory) == [1, 1, 1, 1, 0]


def test_a_removed_upstream_keeps_its_name_while_attempts_are_outstanding() -> None:
    directory = Directory((), ())
    (number,) = take_listing(directory, examples.member("s-1", 5000))
    directory.began(number)
    directory.began(number)
    take_listing(directory, examples.member("s-1", 5000, phase="Gone"))
    directory.ended(number)
    assert directory.name(number) == "s-1"
    assert not directory.takes_new(number)
    directory.ended(number)
    assert table_sizes(directory) == [0] * 5
    (again,) = take_listing(directory, examples.member("s-1", 5001))
    assert again != number
    assert directory.address(again) == (examples.HOST, 5001)


@pytest.mark.parametrize("phase", ["Terminating", "Gone"])
@pytest.mark.parametrize("complete", [False, True])
def test_an_older_revision_does_not_bring_back_an_upstream(phase: str, complete: bool) -> None:
    """Rule 3: a delayed or repeated list would send new requests to upstreams that drain or are gone."""
    directory = Directory((), ())
    take_listing(directory, examples.member("s-1", 5000), complete=True, revision=41)
    take_listing(directory, examples.member("s-1", 5000, phase=phase), revision=43)
    (number,) = take_listing(directory, examples.member("s-1", 5000), complete=complete, revision=42)
    assert not directory.takes_new(number)
    (number,) = take_listing(directory, examples.member("s-1", 5000), revision=43)
    assert directory.takes_new(number)


def test_an_older_list_does_not_bring_back_an_upstream_missing_from_a_complete_one() -> None:
    directory = Directory((), ())
    both = examples.member("s-1", 5000), examples.member("s-2", 5001)
    take_listing(directory, *both, complete=True, revision=41)
    take_listing(directory, both[1], complete=True, revision=43)
    numbers = take_listing(directory, *both, complete=True, revision=42)
    assert [directory.takes_new(number) for number in numbers] == [False, True]


def test_a_restarted_upstream_is_ready_at_any_revision() -> None:
    """Discovery may restart its revisions, and a returned upstream must not stay excluded because of it."""
    directory = Directory((), ())
    take_listing(directory, examples.member("s-1", 5000, up_since_ms=1000.0), revision=41)
    take_listing(
        directory, examples.member("s-1", 5000, phase="Terminating", up_since_ms=1000.0), revision=43
    )
    (number,) = take_listing(directory, examples.member("s-1", 5000, up_since_ms=2000.0), revision=1)
    assert directory.takes_new(number)


def test_remembered_ends_are_bounded() -> None:
    directory = Directory((), ())
    for n in range(MAX_ENDS + 50):
        take_listing(directory, examples.member(f"s-{n}", 5000, phase="Gone"))
    assert len(directory._ends) == MAX_ENDS


def test_a_suspension_applies_to_the_id_and_one_restore_ends_it() -> None:
    """Neither a listing, a restart, nor the removal and return of an upstream ends its suspension."""
    directory = Directory((), ())
    (number,) = take_listing(directory, examples.member("s-1", 5000))
    for _ in range(3):
        event = directory.suspend("s-1")
        assert event is not None and event.entries[0].state is UpstreamState.SUSPENDED
    for phase in ("Ready", "Terminating"):
        take_listing(directory, examples.member("s-1", 5000, phase=phase, up_since_ms=900.0), revision=42)
        assert not directory.takes_new(number)
    take_listing(directory, examples.member("s-1", 5000, phase="Gone"), revision=43)
    assert directory.suspend("s-1") is not None  # listed earlier, now gone
    (again,) = take_listing(directory, examples.member("s-1", 5000, up_since_ms=950.0), revision=44)
    assert again != number and not directory.takes_new(again)
    event = directory.restore("s-1", 1000.0)
    assert event is not None and directory.takes_new(again)
    # restarted while suspended, whether the list shows that yet or not
    assert event.entries[0].started_ms == 1000.0
    listing = read_listing(json.dumps(examples.listing(examples.member("s-1", 5000), revision=45)).encode())
    assert directory.take(listing).entries[0].started_ms == 1000.0


def test_a_suspension_holds_for_an_upstream_not_listed_now() -> None:
    directory = Directory((), ())
    take_listing(directory, examples.member("s-1", 5000), complete=True)
    take_listing(directory, complete=True, revision=42)
    event = directory.suspend("s-1")
    assert event is not None and event.entries == ()
    (number,) = take_listing(directory, examples.member("s-1", 5000), complete=True, revision=43)
    assert not directory.takes_new(number)


def test_an_id_that_was_never_listed_is_rejected() -> None:
    directory = Directory((), ())
    assert directory.suspend("s-1") is None and directory.restore("s-1", 1.0) is None
    take_listing(directory, examples.member("s-1", 5000))
    assert directory.restore("s-1", 1.0) is not None


def test_remembered_ids_are_bounded_and_suspensions_permanent() -> None:
    directory = Directory((), ())
    take_listing(directory, examples.member("s-banned", 5000))
    directory.suspend("s-banned")
    for n in range(MAX_EVER_LISTED + 50):
        take_listing(directory, examples.member(f"s-{n}", 5000, phase="Gone"))
    assert len(directory._ever_listed) == MAX_EVER_LISTED
    assert directory.restore("s-0", 1.0) is None
    assert directory.restore("s-banned", 1.0) is not None
