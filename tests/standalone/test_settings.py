"""Lines and nested JSON of the same START object give equal settings."""

from __future__ import annotations

from typing import Any

import pytest

from madderwind.standalone.settings import SettingsError, read_host_settings, read_settings
from tests import examples

LINES = b"""Ceilings.MaxAttempts=4
Ceilings.SecondCopies=true
Ceilings.Cancel=true
Ceilings.Probes=true
Ceilings.RetryAfter=true
Ceilings.MaxRetryAfterMs=2000.0
Ceilings.ConnectTimeoutMs=250.0
Customers.count=2
Customers.0.Fraction=0.75
Customers.0.QuotaPerS=590.0
Customers.1.Fraction=0.25
Customers.1.QuotaPerS=200.0
Discovery=pushed
NInstances=1
Obligations.AnswerSlackMs=20.0
Obligations.DrainGraceMs=2000.0
Obligations.FallMs=1500.0
Obligations.FallMultiple=2.5
Obligations.StartCapacity=0.12
Obligations.WarmAfterMs=24000.0
Profiles.count=3
Profiles.0.DeadlineMs=40000.0
Profiles.0.Effect=read_like
Profiles.0.GoalTimeMs=30000.0
Profiles.1.DeadlineMs=4000.0
Profiles.1.Effect=non_idempotent
Profiles.1.GoalTimeMs=1500.0
Profiles.2.DeadlineMs=4000.0
Profiles.2.Effect=idempotency_key
Profiles.2.GoalTimeMs=1500.0
Profiles.2.Group=all
Profiles.2.WindowMs=5000.0
Reporting.Columns=inflight,queue
Reporting.How=inline
Tiers=front
Weights=nominal
Zones=a,b
"""


def test_lines_and_json_give_equal_settings() -> None:
    assert read_host_settings(examples.SETTINGS).settings == read_settings(LINES)


def test_host_settings_hold_the_names() -> None:
    host = read_host_settings(examples.SETTINGS)
    assert host.class_names == ("lookup", "charge", "checkout")
    assert host.tenant_names == ("acme", "rueda, andina")
    assert (host.zone_names, host.kind_names) == (("a", "b"), ("m1", "m2"))
    assert host.report_names == ("inflight", "queue")
    assert host.idle_ms == 30000.0


@pytest.mark.parametrize(
    ("tree", "message"),
    [
        ([], "not a JSON object"),
        ({}, "lack"),
        ({**examples.SETTINGS, "Discovery": "shouted"}, "Discovery"),
        ({**examples.SETTINGS, "Profiles": [{"Effect": "read_like"}, 3]}, "mixes"),
        ({**examples.SETTINGS, "NInstances": "few"}, "NInstances"),
        ({**examples.SETTINGS, "NInstances": None}, "NInstances"),
    ],
)
def test_errors_name_the_setting_at_fault(tree: Any, message: str) -> None:
    with pytest.raises(SettingsError, match=message):
        read_host_settings(tree)
