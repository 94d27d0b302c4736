"""Distribution of tests among the workers of pytest-xdist.

The tests of a file run on one worker, in their order. Some folders' tests run complete processes in real
time, or measure time. Such folders form groups: the files of a group run one after another on one worker,
and groups are scheduled last, when hardly anything else runs at the same time.
"""

from __future__ import annotations

from typing import Any

from xdist.scheduler import LoadScopeScheduling

REAL_TIME_GROUPS = {
    "tests/testing/fault_tests": "drills",
    "tests/testing/local_fleet": "drills",
    "tests/standalone/program": "programs",
    "tests/testing/simulation": "programs",
    "tests/stream_soak": "drills",
}
"""The group of each folder whose tests depend on real time."""


def work_unit_of(node_id: str) -> str:
    """The unit of work to which a test belongs: its folder's group, or its file."""
    file = node_id.partition("::")[0]
    folder = file.rpartition("/")[0]
    return REAL_TIME_GROUPS.get(folder, file)


def needs_real_time(node_id: str) -> bool:
    """Whether a test belongs to a real-time group."""
    return work_unit_of(node_id) in REAL_TIME_GROUPS.values()


class GroupAndFileScheduling(LoadScopeScheduling):
    """Assigns whole files and groups to workers, in the order in which their tests were collected."""

    def __init__(self, config: Any, log: Any) -> None:
        config.option.loadscopereorder = False  # otherwise units with the most tests come first
        super().__init__(config, log)

    def _split_scope(self, nodeid: str) -> str:
        """The work unit of a test; pytest-xdist prescribes the method's name and argument."""
        return work_unit_of(nodeid)
