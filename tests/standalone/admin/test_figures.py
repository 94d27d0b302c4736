"""The format of the metrics, and the invariant between the request counters."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from madderwind.standalone.admin.figures import FleetMetrics, metrics_text
from madderwind.standalone.routing.tally import Tally


def test_format_requested_by_operators() -> None:
    tally = Tally(("lookup", 'odd "one"'))
    tally.taken = 5
    for status in (200, 200, 503, 504):
        tally.count_answer("lookup", status)
    tally.count_attempt()
    assert metrics_text(tally, FleetMetrics(9, 2)).decode().splitlines() == [
        'svc_handled_total{category="lookup",outcome="passed"} 2',
        'svc_handled_total{category="lookup",outcome="dropped"} 1',
        'svc_handled_total{category="lookup",outcome="bad_gateway"} 1',
        'svc_handled_total{category="odd \\"one\\"",outcome="passed"} 0',
        'svc_handled_total{category="odd \\"one\\"",outcome="dropped"} 0',
        'svc_handled_total{category="odd \\"one\\"",outcome="bad_gateway"} 0',
        "svc_in_progress 1",
        "svc_upstream_tries_total 1",
        "svc_known_upstreams 9",
        "svc_skipped_upstreams 2",
        "svc_loads_total 0",
        "svc_load_errors_total 0",
        "--",
    ]


@given(st.lists(st.sampled_from([200, 429, 503, 502, 504, 500, 400, 0])))
def test_every_request_is_counted_once(statuses: list[int]) -> None:
    """Status 0 stands for a client that disconnected."""
    tally = Tally(("a",))
    for index, status in enumerate(statuses):
        tally.taken += 2
        if status:
            tally.count_answer("a", status)
        else:
            tally.client_gone += 1
        assert tally.ended == index + 1
        assert tally.in_progress == index + 1
    assert sum(count for _, _, count in tally.handled()) + tally.client_gone == len(statuses)


def test_a_class_added_again_keeps_its_counts() -> None:
    tally = Tally(("a",))
    tally.count_answer("a", 200)
    tally.add_classes(("b", "a"))
    assert ("a", "passed", 1) in set(tally.handled())
    assert ("b", "passed", 0) in set(tally.handled())
