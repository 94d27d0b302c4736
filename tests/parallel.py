"""How tests are shared out among the workers of pytest-xdist.

A file's tests stay on one worker, in their order. Some folders run whole processes in real time, or measure
time: those of one lane are one piece of work, so that their files come one after another, and lanes come
last, when hardly anything else runs beside them.
"""

from __future__ import annotations

from typing import Any

from xdist.scheduler import LoadScopeScheduling

LANES = {
    "tests/testing/fault_tests": "drills",
    "tests/testing/local_fleet": "drills",
    "tests/standalone/program": "programs",
    "tests/testing/simulation": "programs",
}
"""The lane of each folder whose tests depend on real time."""


def piece_of(node_id: str) -> str:
    """The piece of work to which a test belongs: its folder's lane, or its file."""
    file = node_id.partition("::")[0]
    folder = file.rpartition("/")[0]
    return LANES.get(folder, file)


def needs_real_time(node_id: str) -> bool:
    """Whether a test belongs to a lane."""
    return piece_of(node_id) in LANES.values()


class LanesAndFiles(LoadScopeScheduling):
    """Hands whole files and lanes to workers, in the order in which their tests were collected."""

    def __init__(self, config: Any, log: Any) -> None:
        config.option.loadscopereorder = False  # else what has the most tests comes first
        super().__init__(config, log)

    def _split_scope(self, nodeid: str) -> str:
        """The piece of work of a test; the name and its argument are pytest-xdist's."""
        return piece_of(nodeid)
