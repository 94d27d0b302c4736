"""An upstream numbers its heartbeats by date and time; a front machine that freezes for 3 s never follows the core again."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from stand_ins import (  # noqa: E402
    BOUNDS,
    CouldNotRun,
    Operator,
    Record,
    Site,
    Upstream,
    ask,
    configuration,
    route,
    run_case,
)

# 4 December 2026, 18:10:00.123456: the sequence of the upstream's first heartbeat; each further one is one more.
MICROSECONDS = 20261204181000123456
FREEZE_S = 3.0
FRONTS = 10  # so that one of them is the share of .1 that the kinds page names
ASKED = 5


async def main(record: Record, has_trouble: bool) -> bool:
    site = Site(record, core=3, front=FRONTS)
    upstream, dated = Upstream(site, "claims", 0), Upstream(site, "photos", 1)
    dated.sequence = MICROSECONDS
    try:
        site.start()
        operator = Operator(site)
        routes = [route("kept", "claims"), route("dropped", "claims"), route("photo", "photos")]
        if (await operator.replace(0, configuration(1, routes, ["claims", "photos"]))).status != 200:
            raise CouldNotRun("the first configuration was not acknowledged")
        await upstream.start()
        await site.wait_ready()
        await asyncio.sleep(2.5)
        for front in site.front:
            if await ask(site, front, "dropped", [upstream]) != (200, True):
                raise CouldNotRun("the fleet does not serve before the change")
        await dated.start()
        await asyncio.sleep(6.0)
        record(f"{dated.id}: {dated.acknowledged} of {dated.called} calls acknowledged")
        frozen = site.front[0]
        if has_trouble:
            frozen.send(signal.SIGSTOP)
            await asyncio.sleep(FREEZE_S)
            frozen.send(signal.SIGCONT)
        await asyncio.sleep(3 * BOUNDS["contact_ms"] / 1000)
        change = {"version": 2, "upsert": {"routes": [route("added", "claims")]}, "delete": {"routes": ["dropped"]}}
        if (await operator.update(1, change)).status != 200:
            raise CouldNotRun("the change was not acknowledged")
        record("the route 'dropped' is no longer there, by an acknowledged version; waiting three times config_apply_ms")
        await asyncio.sleep(3 * BOUNDS["config_apply_ms"] / 1000)
        old = 0
        for front in site.front:
            for _ in range(ASKED):
                _, ran = await ask(site, front, "dropped", [upstream])
                old += ran
            await ask(site, front, "added", [upstream])
            await ask(site, front, "photo", [dated])
        record(f"requests on the dropped route that ran, sent over 6 s after the acknowledgement: {old} of {FRONTS * ASKED}")
        return old > 0
    finally:
        await dated.close()
        await upstream.close()
        site.close()


sys.exit(run_case(main, HERE))
