"""Tests of the output and exit code of each command of the system's command line."""

from __future__ import annotations

import contextlib
import io
import json
import tempfile
import unittest
from pathlib import Path
from typing import Any

from madderwind.cli.commands import main
from madderwind.cli.status_commands import render_status
from madderwind.messages.status import ControlPlaneStatus, DataPlaneStatus, UpstreamStatus
from madderwind.testing.local_fleet.status_client import NodeStatus, primary_of

CONFIGURATION: dict[str, Any] = {
    "version": 3,
    "routes": [
        {"name": "a", "host": "h", "path_prefix": "/a/", "timeout_ms": 1000, "service": "s"},
        {"name": "b", "host": "h", "path_prefix": "/b/", "timeout_ms": 1000, "service": "s"},
    ],
    "services": [{"name": "s"}],
    "tenants": [{"name": "acme", "api_keys": ["k"]}],
}


class CommandTestCase(unittest.TestCase):
    def setUp(self) -> None:
        self.folder = Path(self.enterContext(tempfile.TemporaryDirectory()))

    def write_file(self, content: dict[str, Any], name: str = "c.json") -> str:
        path = self.folder / name
        path.write_text(json.dumps(content, indent=1))
        return str(path)

    def run_command(self, *arguments: str) -> tuple[int, str, str]:
        """Run a command and return its exit code, standard output and standard error."""
        out, errors = io.StringIO(), io.StringIO()
        code: Any = 0
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(errors):
            try:
                main(arguments)
            except SystemExit as end:
                code = end.code or 0
        return int(code), out.getvalue(), errors.getvalue()


class ConfigCheckTest(CommandTestCase):
    def test_summarizes_a_valid_configuration(self) -> None:
        code, out, _ = self.run_command("config", "check", self.write_file(CONFIGURATION))
        self.assertEqual(code, 0)
        self.assertIn("version 3, 2 routes, 1 services, 1 tenants", out)

    def test_an_error_names_field_and_line(self) -> None:
        routes = [CONFIGURATION["routes"][0], {**CONFIGURATION["routes"][1], "service": "absent"}]
        path = self.write_file({**CONFIGURATION, "routes": routes})
        code, out, errors = self.run_command("config", "check", path)
        line = next(
            number for number, text in enumerate(Path(path).read_text().splitlines(), 1) if "absent" in text
        )
        self.assertEqual((code, out), (1, ""))
        self.assertIn(f"{path}:{line}: routes[1].service: ", errors)
        self.assertEqual(errors.count("\n"), 1)

    def test_reads_yaml(self) -> None:
        path = self.folder / "c.yaml"
        path.write_text("version: 1\nroutes: []\nservices: [{name: s}]\n")
        self.assertEqual(self.run_command("config", "check", str(path))[0], 0)

    def test_reports_a_missing_file(self) -> None:
        code, _, errors = self.run_command("config", "check", str(self.folder / "none.json"))
        self.assertEqual(code, 1)
        self.assertIn("none.json", errors)


class ConfigDiffTest(CommandTestCase):
    def test_prints_additions_removals_and_changes(self) -> None:
        changed = {
            **CONFIGURATION,
            "version": 5,
            "routes": [{**CONFIGURATION["routes"][0], "timeout_ms": 2000}],
            "tenants": [*CONFIGURATION["tenants"], {"name": "globex", "api_keys": ["g"]}],
        }
        old, new = self.write_file(CONFIGURATION, "old.json"), self.write_file(changed, "new.json")
        code, out, _ = self.run_command("config", "diff", old, new)
        self.assertEqual(code, 1)
        self.assertEqual(
            out.splitlines(),
            [
                "~ routes[a].timeout_ms: 1000.0 -> 2000.0",
                "- routes[b]: present",
                "+ tenants[globex]: present",
            ],
        )

    def test_prints_nothing_for_equal_configurations(self) -> None:
        path = self.write_file(CONFIGURATION)
        self.assertEqual(self.run_command("config", "diff", path, path), (0, "", ""))


def control_plane(node: str, address: str, epoch: int, is_primary: bool) -> NodeStatus:
    status = ControlPlaneStatus(
        node=node,
        address=address,
        zone="z",
        is_primary=is_primary,
        primary="a:1",
        epoch=epoch,
        committed_version=7,
        members=("a:1", "b:1"),
        in_sync=("a:1",),
        fresh_age_ms=None,
        data_planes=(DataPlaneStatus("data-1", "d:1", "z", 5, "lagging", 2),),
        upstreams=(UpstreamStatus("i-1", "s", "u:1", "z", "draining", 12.0),),
    )
    return NodeStatus(address, status)


class StatusTest(CommandTestCase):
    def test_shows_roles_lag_and_upstreams(self) -> None:
        found = [control_plane("core-1", "a:1", 4, True), control_plane("core-2", "b:1", 4, False)]
        text = render_status([*found, NodeStatus("c:1", None)])
        self.assertIn("epoch 4, primary core-1, version 7, in sync: core-1", text)
        rows = {line.split()[0]: line.split() for line in text.splitlines() if line}
        self.assertEqual(rows["core-1"][2], "primary")
        self.assertEqual(rows["core-2"][2], "learner")
        self.assertEqual(rows["c:1"][1:], ["no", "answer"])
        self.assertEqual(rows["data-1"][1:], ["z", "5", "2", "lagging"])
        self.assertEqual(rows["i-1"][4], "draining")

    def test_of_two_claimed_primaries_the_newer_epoch_wins(self) -> None:
        found = [control_plane("core-1", "a:1", 4, True), control_plane("core-2", "b:1", 5, True)]
        self.assertEqual(primary_of(found), "core-2")

    def test_reports_that_no_control_plane_answered(self) -> None:
        code, _, errors = self.run_command("status", "127.0.0.1:1")
        self.assertEqual(code, 1)
        self.assertIn("no control plane answered", errors)


class LocalFleetTest(CommandTestCase):
    def test_reports_that_no_fleet_runs(self) -> None:
        code, _, errors = self.run_command("load", f"--folder={self.folder}")
        self.assertEqual(code, 1)
        self.assertIn("no fleet runs in", errors)

    def test_does_not_empty_a_folder_with_foreign_files(self) -> None:
        (self.folder / "precious.txt").write_text("keep")
        fleet = Path(__file__).parents[2] / "deploy" / "local" / "workshop.yaml"
        code, _, errors = self.run_command("local", "up", str(fleet), f"--folder={self.folder}")
        self.assertEqual(code, 1)
        self.assertIn("contains files that don't belong to a fleet", errors)
        self.assertTrue((self.folder / "precious.txt").exists())

    def test_checks_a_fleet_file(self) -> None:
        fleet = Path(__file__).parents[2] / "deploy" / "local" / "workshop.yaml"
        code, out, _ = self.run_command("local", "check", str(fleet))
        self.assertEqual(code, 0)
        self.assertIn("3 control planes, 3 data planes, 6 upstreams, 3 faults", out)

    def test_an_unknown_command_fails(self) -> None:
        self.assertNotEqual(self.run_command("nothing-such")[0], 0)


if __name__ == "__main__":
    unittest.main()
