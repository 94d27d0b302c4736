"""Tests a small fleet of real processes on loopback, which serves a load and then loses an upstream."""

from __future__ import annotations

import tempfile
import unittest
from pathlib import Path

from madderwind.cli.status_commands import render_status
from madderwind.testing.engine_emulator.records import Started
from madderwind.testing.local_fleet.fleet_file import read_fleet_file
from madderwind.testing.local_fleet.layout import NodeKind
from madderwind.testing.local_fleet.load import Load, traffic_of
from madderwind.testing.local_fleet.operator_load import OperatorLoad
from madderwind.testing.local_fleet.outcomes import OutcomeCategory
from madderwind.testing.local_fleet.run import (
    check_run,
    play_faults,
    read_back,
    start_fleet,
    upstream_records,
)
from madderwind.testing.local_fleet.status_client import primary_of, read_status
from madderwind.testing.local_fleet.supervisor import Supervisor

FLEET = """
name: small
zones: [a]
control_planes: 1
data_planes: 1
tolerance: 0
heartbeat_ms: 200
bounds: {retry_slack: 50}
upstreams:
  - {service: model, count: 2, engine: {slots: 8, stride: 2, step_ms: 2, first_ms: 1}}
configuration:
  version: 1
  routes:
    - {name: chat, host: h.example, path_prefix: /chat/, route_type: streaming, timeout_ms: 8000,
       service: model, max_attempts: 3, resumable: true}
  services: [{name: model, engine: {slots: 8, kv_tokens: 500000, stride: 2}}]
  tenants: [{name: acme, api_keys: [k]}]
traffic:
  for_s: 1.2
  clients: 4
  kinds:
    - {name: chat, host: h.example, path: /chat/, per_s: 15, tenants: {acme: 1}, deadline_ms: 8000,
       generation: {chain: [{tokens: {mean: 200}, count: 2}], prompt: {mean: 50}, output: {mean: 12}}}
faults:
  - {what: kill, nodes: [model-1], at_s: 0, for_s: 0.1}
"""


class LocalFleetTest(unittest.IsolatedAsyncioTestCase):
    async def test_fleet_serves_load_and_keeps_guarantees_after_an_upstream_is_killed(self) -> None:
        folder = Path(self.enterContext(tempfile.TemporaryDirectory())) / "fleet"
        file = folder.with_suffix(".yaml")
        file.write_text(FLEET)
        fleet = read_fleet_file(file)
        async with Supervisor(fleet, file, folder) as supervisor:
            layout = supervisor.layout
            await start_fleet(supervisor, fleet)
            statuses = await read_status([n.status for n in layout.of_kind(NodeKind.CONTROL_PLANE)])
            self.assertEqual(primary_of(statuses), "control-1")
            self.assertIn("data-1", render_status(statuses))

            outcomes = await Load(fleet, layout, traffic_of(fleet)).run()
            self.assertGreater(len(outcomes), 5)
            self.assertTrue(
                {outcome.fate for outcome in outcomes} <= {OutcomeCategory.IN_TIME, OutcomeCategory.LATE},
                outcomes,
            )

            injected, _ = await play_faults(fleet, layout)
            self.assertEqual([fault.nodes for fault in injected], [("model-1",)])
            operator = OperatorLoad(layout, 0.0)
            reads = await read_back(operator)
            self.assertEqual([read.version for read in reads], [1])
            self.assertEqual(check_run(fleet, layout, outcomes, [], reads), [])
        started = [record for record in upstream_records(layout) if isinstance(record, Started)]
        self.assertGreaterEqual(len(started), 2)


if __name__ == "__main__":
    unittest.main()
