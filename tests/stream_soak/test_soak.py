"""A short soak of the programs, the same seed each time."""

from __future__ import annotations

import asyncio

from tests.stream_soak.soak import SoakSettings, run_soak
from tests.stream_soak.upstreams import Breaks

SEED = 71
BREAKS = Breaks(share=0.1, in_order=True, extra_share=0.03)
SETTINGS = SoakSettings(seconds=60.0, data_planes=3, clients=16, breaks=BREAKS)


def test_streams_of_broken_upstreams_keep_the_rules_during_restarts_and_changes() -> None:
    result = asyncio.run(run_soak(SEED, SETTINGS))
    assert not result.broken, "\n".join(result.details())
    assert not result.unexpected_exits
    # The soak met what it is for.
    assert result.served > result.requests / 2
    assert result.counters["retried"]
    assert result.counters["stream_resumed"]
    assert result.counters["stream_broken_off"]
    assert result.counters["attempt_truncated"]
