"""The operator numbers its versions by date and time; a version of 20 digits drops a route and is acknowledged."""

from __future__ import annotations

import asyncio
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
    read_back,
    route,
    run_case,
)

# 4 December 2026, 18:10:00: to the second, and to the microsecond.
SECONDS, MICROSECONDS = 20261204181000, 20261204181000123456
ASKED = 5


async def main(record: Record, has_trouble: bool) -> bool:
    site = Site(record, core=3, front=3)
    upstream = Upstream(site, "claims", 0)
    try:
        site.start()
        operator = Operator(site)
        first = configuration(20261204180000, [route("kept", "claims"), route("dropped", "claims")], ["claims"])
        if (await operator.replace(0, first)).status != 200:
            raise CouldNotRun("the first configuration was not acknowledged")
        await upstream.start()
        await site.wait_ready()
        await asyncio.sleep(2.5)
        for front in site.front:
            if await ask(site, front, "dropped", [upstream]) != (200, True):
                raise CouldNotRun("the fleet does not serve before the change")
        version = MICROSECONDS if has_trouble else SECONDS
        change = {"version": version, "upsert": {"routes": [route("added", "claims")]}, "delete": {"routes": ["dropped"]}}
        answer = await operator.update(operator.version, change)
        if answer.status != 200:
            record(f"not acknowledged: {answer.status}: a configuration that is refused binds nobody")
            return False
        record("the route 'dropped' is no longer there, by an acknowledged version; waiting three times config_apply_ms")
        await asyncio.sleep(3 * BOUNDS["config_apply_ms"] / 1000)
        old = 0
        for front in site.front:
            for _ in range(ASKED):
                _, ran = await ask(site, front, "dropped", [upstream])
                old += ran
            await ask(site, front, "added", [upstream])
        record(f"requests on the dropped route that ran, sent over 6 s after the acknowledgement: {old} of {3 * ASKED}")
        has_come = await read_back(site, operator)
        return old > 0 or not has_come
    finally:
        await upstream.close()
        site.close()


sys.exit(run_case(main, HERE))
