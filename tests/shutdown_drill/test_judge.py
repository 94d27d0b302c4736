"""The drill's judge finds each kind of violation, and accepts what is allowed."""

from __future__ import annotations

from collections import Counter
from typing import Any

import pytest

from tests.shutdown_drill.clients import Sent
from tests.shutdown_drill.judge import KILLED, Round, violations
from tests.shutdown_drill.plans import RequestPlan, Sending, Step

GRACE_S, SIGNAL_S = 2.0, 10.0
SERVED = {"status": 200, "is_complete": True}
REFUSED = {"status": 503, "is_complete": True}


def found(
    route: str = "unsafe",
    steps: tuple[Step, ...] = (Step.SERVE,),
    runs: int = 1,
    exit_code: int = 0,
    exit_s: float = SIGNAL_S + 1.8,
    **answer: Any,
) -> list[str]:
    """The violations in a round of one request, which waited when the signal came."""
    plan = RequestPlan(route, Sending.AT_ONCE, steps, 0.0, 3, 0.0, False)
    request = {"whole_s": SIGNAL_S - 1.0, "ended_s": SIGNAL_S + 0.5, **answer}
    sent = Sent("r-1", plan, **request)
    arrivals, all_runs = Counter({"r-1": runs}), Counter({"r-1": runs})
    played = Round(1, GRACE_S, SIGNAL_S, exit_s, exit_code, [sent], arrivals, all_runs)
    return list(violations(played))


@pytest.mark.parametrize(
    ("changes", "text"),
    [
        ({"runs": 0}, "got no answer"),
        ({"runs": 1, "whole_s": SIGNAL_S + 0.1}, "got no answer"),
        ({"runs": 2, **SERVED}, "ran 2 times"),
        ({"runs": 1, **REFUSED}, "was promised the contrary"),
        ({"runs": 0, **SERVED}, "never ran"),
        ({"status": 200}, "was cut"),
        ({"route": "stream", "status": 200}, "was cut"),
        ({"exit_code": 1, **SERVED}, "ended with 1"),
        ({"exit_code": KILLED, "exit_s": SIGNAL_S + GRACE_S, **SERVED}, "did not end by itself"),
    ],
)
def test_a_violation_is_found(changes: dict[str, Any], text: str) -> None:
    (violation,) = found(**changes)
    assert text in violation


@pytest.mark.parametrize(
    "changes",
    [
        SERVED,
        {"runs": 0, **REFUSED},
        {"route": "safe", "runs": 3, **SERVED},
        {"route": "resumable", "runs": 2, **REFUSED},
        {"runs": 0, "whole_s": SIGNAL_S + 0.1},
        {"runs": 0, "whole_s": None},
        {"route": "stream", "status": 200, "ended_s": SIGNAL_S + 1.7},
        {"route": "stream", "status": 200, "steps": (Step.BREAK_OFF,)},
        {"exit_code": KILLED, "exit_s": SIGNAL_S + GRACE_S, "ended_s": SIGNAL_S + 1.7, **SERVED},
    ],
)
def test_what_is_allowed_is_accepted(changes: dict[str, Any]) -> None:
    assert found(**changes) == []
