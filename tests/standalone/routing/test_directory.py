"""Numbers, addresses and states of upstreams, and what is kept of those that are gone."""

from __future__ import annotations

import json

import pytest

from madderwind.standalone.policy.api import UpstreamState
from madderwind.standalone.protocol.listing import read_listing
from madderwind.standalone.routing.directory import ENDS_KEPT, NAMES_KEPT, Directory
from tests import examples


def told(
    directory: Directory, *members: dict[str, object], complete: bool = False, revision: int = 41
) -> list[int]:
    text = json.dumps(examples.listing(*members, complete=complete, revision=revision))
    listing = read_listing(text.encode())
    return [entry.upstream for entry in directory.take(listing).entries]


def kept(directory: Directory) -> list[int]:
    tables = (directory._numbers, directory._ids, directory._addresses, directory._told, directory._out)
    return [len(table) for table in tables]


def test_what_is_gone_is_forgotten() -> None:
    """Guards against growth on days on which upstreams are replaced by ever new ones."""
    directory = Directory((), ())
    for n in range(100):
        (number,) = told(directory, examples.member(f"s-{n}", 5000))
        assert number >= n  # none is given twice
        directory.began(number)
        directory.ended(number)
        told(
            directory,
            examples.member(f"s-{n}", 5000, phase="Gone"),
            examples.member("other", 1, phase="Gone"),
        )
    assert kept(directory) == [0] * 5
    told(directory, *(examples.member(f"t-{n}", 5000) for n in range(9)), complete=True)
    told(directory, examples.member("t-3", 5000), complete=True)
    assert kept(directory) == [1, 1, 1, 1, 0]


def test_what_is_gone_keeps_its_name_while_something_is_out_there() -> None:
    directory = Directory((), ())
    (number,) = told(directory, examples.member("s-1", 5000))
    directory.began(number)
    directory.began(number)
    told(directory, examples.member("s-1", 5000, phase="Gone"))
    directory.ended(number)
    assert directory.name(number) == "s-1"
    assert not directory.takes_new(number)
    directory.ended(number)
    assert kept(directory) == [0] * 5
    (again,) = told(directory, examples.member("s-1", 5001))
    assert again != number
    assert directory.address(again) == (examples.HOST, 5001)


@pytest.mark.parametrize("phase", ["Terminating", "Gone"])
@pytest.mark.parametrize("complete", [False, True])
def test_an_older_revision_revives_nothing(phase: str, complete: bool) -> None:
    """Rule 3: a list that comes late, or again, would send new work to what drains or is gone."""
    directory = Directory((), ())
    told(directory, examples.member("s-1", 5000), complete=True, revision=41)
    told(directory, examples.member("s-1", 5000, phase=phase), revision=43)
    (number,) = told(directory, examples.member("s-1", 5000), complete=complete, revision=42)
    assert not directory.takes_new(number)
    (number,) = told(directory, examples.member("s-1", 5000), revision=43)
    assert directory.takes_new(number)


def test_what_a_whole_list_left_out_is_not_revived_by_an_older_one() -> None:
    directory = Directory((), ())
    both = examples.member("s-1", 5000), examples.member("s-2", 5001)
    told(directory, *both, complete=True, revision=41)
    told(directory, both[1], complete=True, revision=43)
    numbers = told(directory, *both, complete=True, revision=42)
    assert [directory.takes_new(number) for number in numbers] == [False, True]


def test_one_that_started_since_is_ready_under_any_revision() -> None:
    """Guards against a discovery that counts anew and would never bring a returned upstream back."""
    directory = Directory((), ())
    told(directory, examples.member("s-1", 5000, up_since_ms=1000.0), revision=41)
    told(directory, examples.member("s-1", 5000, phase="Terminating", up_since_ms=1000.0), revision=43)
    (number,) = told(directory, examples.member("s-1", 5000, up_since_ms=2000.0), revision=1)
    assert directory.takes_new(number)


def test_ends_are_kept_within_bounds() -> None:
    directory = Directory((), ())
    for n in range(ENDS_KEPT + 50):
        told(directory, examples.member(f"s-{n}", 5000, phase="Gone"))
    assert len(directory._ends) == ENDS_KEPT


def test_a_ban_goes_by_id_and_one_word_ends_it() -> None:
    """Guards against a ban that a listing, a restart, or a going and coming back would end."""
    directory = Directory((), ())
    (number,) = told(directory, examples.member("s-1", 5000))
    for _ in range(3):
        event = directory.suspend("s-1")
        assert event is not None and event.entries[0].state is UpstreamState.SUSPENDED
    for phase in ("Ready", "Terminating"):
        told(directory, examples.member("s-1", 5000, phase=phase, up_since_ms=900.0), revision=42)
        assert not directory.takes_new(number)
    told(directory, examples.member("s-1", 5000, phase="Gone"), revision=43)
    assert directory.suspend("s-1") is not None  # listed once, and gone since
    (again,) = told(directory, examples.member("s-1", 5000, up_since_ms=950.0), revision=44)
    assert again != number and not directory.takes_new(again)
    event = directory.restore("s-1", 1000.0)
    assert event is not None and directory.takes_new(again)
    # it was restarted under the ban, whether the list says so by now or not
    assert event.entries[0].started_ms == 1000.0
    listing = read_listing(json.dumps(examples.listing(examples.member("s-1", 5000), revision=45)).encode())
    assert directory.take(listing).entries[0].started_ms == 1000.0


def test_a_ban_holds_for_what_is_not_listed_at_the_moment() -> None:
    directory = Directory((), ())
    told(directory, examples.member("s-1", 5000), complete=True)
    told(directory, complete=True, revision=42)
    event = directory.suspend("s-1")
    assert event is not None and event.entries == ()
    (number,) = told(directory, examples.member("s-1", 5000), complete=True, revision=43)
    assert not directory.takes_new(number)


def test_an_id_never_listed_is_no_id() -> None:
    directory = Directory((), ())
    assert directory.suspend("s-1") is None and directory.restore("s-1", 1.0) is None
    told(directory, examples.member("s-1", 5000))
    assert directory.restore("s-1", 1.0) is not None


def test_ids_are_remembered_within_bounds_and_bans_for_good() -> None:
    directory = Directory((), ())
    told(directory, examples.member("s-banned", 5000))
    directory.suspend("s-banned")
    for n in range(NAMES_KEPT + 50):
        told(directory, examples.member(f"s-{n}", 5000, phase="Gone"))
    assert len(directory._ever) == NAMES_KEPT
    assert directory.restore("s-0", 1.0) is None
    assert directory.restore("s-banned", 1.0) is not None
