"""Numbers, addresses and states of upstreams, and what is kept of those that are gone."""

from __future__ import annotations

import json

from madderwind.protocol.listing import read_listing
from madderwind.routing.directory import Directory
from tests import examples


def told(directory: Directory, *members: dict[str, object], complete: bool = False) -> list[int]:
    listing = read_listing(json.dumps(examples.listing(*members, complete=complete)).encode())
    return [entry.upstream for entry in directory.take(listing).entries]


def kept(directory: Directory) -> list[int]:
    tables = (directory._numbers, directory._ids, directory._addresses, directory._states, directory._out)
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
