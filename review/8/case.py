"""The first start of the system: one core machine, the first seed, is killed while it starts and is back within a second."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from stand_ins import Operator, Record, Site, Upstream, ask, configuration, is_ready, route, run_case  # noqa: E402

KILL_AFTER_S, DOWN_S = 0.1, 0.5
# The operator's patience, far more than `ack_ms` + `contact_ms` + `recovery_s`.
OPERATOR_S = 40.0
ASKED = 5


async def main(record: Record, has_trouble: bool) -> bool:
    site = Site(record, core=3, front=3)
    upstream = Upstream(site, "claims", 0)
    try:
        site.start()
        if has_trouble:
            await asyncio.sleep(KILL_AFTER_S)
            await site.core[0].kill()
            await asyncio.sleep(DOWN_S)
            site.core[0].start()
        await upstream.start()
        operator = Operator(site)
        answer = await operator.send("/config/replace", 0, configuration(1, [route("claim", "claims")], ["claims"]), OPERATOR_S)
        record(f"the first configuration: {answer.status}")
        await asyncio.sleep(3.0)
        served = 0
        for front in site.front:
            record(f"{front.name}: running: {front.is_running}, ready: {await is_ready(front)}")
            for _ in range(ASKED):
                _, ran = await ask(site, front, "claim", [upstream])
                served += ran
        record(f"all core processes run: {all(node.is_running for node in site.core)}; served: {served} of {3 * ASKED}")
        return served == 0
    finally:
        await upstream.close()
        site.close()


sys.exit(run_case(main, HERE))
