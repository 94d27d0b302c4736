"""The adapter's settings at START, its batch loop, and its exit on invalid input."""

from __future__ import annotations

import io
import struct
import subprocess
import sys

import pytest

from madderwind.standalone.policy.api import Effect, Group
from madderwind.standalone.policy.balancer import Balancer
from madderwind.standalone.settings import SettingsError, read_settings
from madderwind.testing.bench_adapter.host import Host, main

SETUP = """Ceilings.Cancel=true
Ceilings.MaxAttempts=4
Ceilings.MaxRetryAfterMs=2000.0
Ceilings.Probes=true
Ceilings.RetryAfter=true
Ceilings.SecondCopies=true
Customers.count=2
Customers.0.Fraction=0.75
Customers.0.Name=one
Customers.0.QuotaPerS=102.0
Customers.1.Fraction=0.25
Customers.1.QuotaPerS=34.0
Discovery=on_request
GranularityMs=5.0
NInstances=8
Obligations.AnswerSlackMs=20.0
Obligations.DrainGraceMs=2000.0
Obligations.FallMs=1500.0
Obligations.FallMultiple=2.5
Obligations.StartCapacity=0.12
Obligations.WarmAfterMs=23000.0
Profiles.count=1
Profiles.0.DeadlineMs=6000.0
Profiles.0.Effect=idempotency_key
Profiles.0.GoalTimeMs=2500.0
Profiles.0.Group=zone
Profiles.0.Importance=2.0
Profiles.0.WindowMs=10000.0
Reporting.Columns=err_rps,active
Reporting.How=inline
Something.New=7
Tier=1
Tiers=a,b,c
Weights=nominal
Zones=x,y
"""


def batch(number: int, *records: bytes, clock_ms: float = 1000.0) -> bytes:
    body = b"".join(records)
    return struct.pack("<IIId", number, len(records), len(body) + 8, clock_ms) + body


def target(instance: int) -> bytes:
    return struct.pack("<BI", 4, instance)


def start(setup: str = SETUP, seed: int = 7) -> bytes:
    return struct.pack("<BQI", 8, seed, len(setup)) + setup.encode()


FLEET_LISTED = struct.pack("<BIIIHBHBfd", 7, 0, 1, 41, 0, 0, 0, 1, 1.0, 0.0) + struct.pack(
    "<BBQI", 2, 2, 1, 0
)
REQUEST_ARRIVED = struct.pack("<BIBIQddB", 1, 5, 0, 0, 0, 4000.0, 0.0, 0)


def run(data: bytes) -> tuple[int, bytes, str]:
    sink, errors = io.BytesIO(), io.StringIO()
    code = main(io.BytesIO(data), sink, errors)
    return code, sink.getvalue(), errors.getvalue()


def test_settings_are_read_by_path_and_unknown_keys_are_ignored() -> None:
    settings = read_settings(SETUP.encode())
    assert settings.classes[0].effect is Effect.KEYED and settings.classes[0].group is Group.ZONE
    assert settings.classes[0].window_ms == 10000.0 and settings.classes[0].aim_ms == 2500.0
    assert [t.quota_per_s for t in settings.tenants] == [102.0, 34.0]
    assert (settings.tier, settings.tiers, settings.copies, settings.zones) == (1, 3, 8, 2)
    assert settings.must_ask and settings.reports_on_answers and settings.ratings_tell_size
    assert settings.report_columns == ("errors_per_s", "in_flight")


@pytest.mark.parametrize(
    "key", ["NInstances", "Discovery", "Profiles.0.Effect", "Profiles.0.WindowMs", "Ceilings.MaxAttempts"]
)
def test_the_error_names_a_required_key_that_is_missing_or_invalid(key: str) -> None:
    lines = SETUP.splitlines()
    without = [line for line in lines if not line.startswith(f"{key}=")]
    with pytest.raises(SettingsError, match=f"lack {key}"):
        read_settings("\n".join(without).encode())
    with pytest.raises(SettingsError, match=f"{key} cannot be read: 'many'"):
        read_settings("\n".join([*without, f"{key}=many"]).encode())


def test_invalid_settings_are_rejected() -> None:
    with pytest.raises(SettingsError, match="line 2 has no '='"):
        read_settings(b"Tier=1\nhello\n")
    with pytest.raises(SettingsError, match="not UTF-8"):
        read_settings(b"Tier=\xff")
    with pytest.raises(SettingsError, match="cannot be read: 'nan'"):
        read_settings(SETUP.replace("=23000.0", "=nan").encode())


def test_a_request_is_sent_to_a_listed_upstream() -> None:
    code, out, stderr = run(
        batch(1) + batch(2, target(3), start(), FLEET_LISTED[:35], FLEET_LISTED[35:], REQUEST_ARRIVED)
    )
    assert (code, stderr) == (0, "")
    assert out[:12] == struct.pack("<III", 1, 0, 0)
    assert struct.pack("<BIId", 5, 5, 41, 0.0) in out


def test_a_kill_and_a_start_in_one_batch_create_a_new_balancer() -> None:
    host = Host()
    first = target(3) + start()
    host.answer(1, 2, 1000.0, first)
    before = host._balancers[3]
    restart = target(3) + b"\x05" + start(seed=8)
    host.answer(2, 3, 1005.0, restart)
    assert host._balancers[3] is not before


def test_events_for_a_killed_instance_are_ignored() -> None:
    data = batch(
        1, target(3), start(), FLEET_LISTED[:35], FLEET_LISTED[35:], b"\x05", b"\x06\x4d\x00\x00\x00"
    )
    code, _, stderr = run(data)
    assert (code, stderr) == (0, "")


def test_an_event_for_an_unknown_instance_exits_with_one_error_line() -> None:
    code, _, stderr = run(batch(9, target(3), b"\x0b\x01\x00\x00\x00"))
    assert code == 1
    assert stderr.count("\n") == 1 and "batch 9" in stderr and "instance 3, which never started" in stderr


def test_an_exception_of_the_balancer_is_reported_in_the_reply(monkeypatch: pytest.MonkeyPatch) -> None:
    def failing_handle(self: Balancer, now: float, event: object) -> list[object]:
        raise RuntimeError("no idea")

    monkeypatch.setattr(Balancer, "handle", failing_handle)
    _, out, _ = run(batch(1, target(3), start(), REQUEST_ARRIVED))
    assert b"\x04\x15\x00RuntimeError: no idea" in out


@pytest.mark.parametrize(
    ("data", "code", "message"),
    [
        (b"", 0, ""),
        (batch(1), 0, ""),
        (b"\x01\x02", 1, "inside a batch header"),
        (batch(4, target(1), b"\x63"), 1, "code 99"),
        (batch(4, target(1), start("Tier=1\n")), 1, "START settings lack"),
    ],
)
def test_invalid_input_exits_with_one_error_line_and_no_traceback(
    data: bytes, code: int, message: str
) -> None:
    process = subprocess.run(
        [sys.executable, "-m", "madderwind.testing.bench_adapter"], input=data, capture_output=True
    )
    assert process.returncode == code
    assert message in process.stderr.decode() and "Traceback" not in process.stderr.decode()
    assert process.stderr.count(b"\n") == (1 if code else 0)
