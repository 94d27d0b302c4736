"""The bans file: damaged, or with a failure at each step of writing."""

from __future__ import annotations

from pathlib import Path

import pytest

from madderwind.standalone.handover.bans import VERSION, Bans, read_bans, write_bans

BANS = Bans(["s-1"], {"s-2": 7.0})


def test_bans_round_trip(tmp_path: Path) -> None:
    path = tmp_path / "bans.json"
    assert read_bans(path) == (Bans(), "")
    assert write_bans(path, BANS) == ""
    assert read_bans(path) == (BANS, "")
    assert [entry.name for entry in tmp_path.iterdir()] == ["bans.json"]


@pytest.mark.parametrize("raw", [b"", b"{", b'{"suspended":[1]}', b'{"version":%d}' % (VERSION + 1), b"\xff"])
def test_a_damaged_file_is_ignored_and_reported(tmp_path: Path, raw: bytes) -> None:
    path = tmp_path / "bans.json"
    path.write_bytes(raw)
    bans, error = read_bans(path)
    assert bans == Bans() and error


@pytest.mark.parametrize("step", ["write_bytes", "replace"])
def test_the_old_file_stays_intact_when_writing_fails(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, step: str
) -> None:
    path = tmp_path / "bans.json"
    write_bans(path, BANS)

    def fail(self: Path, _: object) -> None:
        if step == "write_bytes":
            self.open("wb").write(b"half")
        raise OSError("disk full")

    monkeypatch.setattr(Path, step, fail)
    assert write_bans(path, Bans()) == "disk full"
    monkeypatch.undo()
    assert read_bans(path) == (BANS, "")
    assert [entry.name for entry in tmp_path.iterdir()] == ["bans.json"]
