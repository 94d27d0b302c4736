"""Tests for reading fleet files: errors name the invalid field and its line."""

from __future__ import annotations

import tempfile
import unittest
from pathlib import Path

from madderwind.errors import FileFormatError
from madderwind.testing.local_fleet.fleet_file import FleetFile, read_fleet_file
from madderwind.testing.local_fleet.yaml_files import line_of, parse_yaml, steps_of

EXAMPLE = Path(__file__).parents[3] / "deploy" / "local" / "workshop.yaml"


class FleetFileTest(unittest.TestCase):
    def read_changed(self, old: str, new: str) -> FileFormatError:
        """Return the error from reading the example file with one text replaced."""
        text = EXAMPLE.read_text()
        self.assertIn(old, text)
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "fleet.yaml"
            path.write_text(text.replace(old, new, 1))
            with self.assertRaises(FileFormatError) as caught:
                read_fleet_file(path)
        return caught.exception

    def test_example_file_is_valid(self) -> None:
        fleet = read_fleet_file(EXAMPLE)
        self.assertEqual(fleet.control_planes, 3)
        assert fleet.traffic is not None
        self.assertEqual([kind.name for kind in fleet.traffic.kinds], ["audit", "question", "stock"])

    def test_error_names_an_unknown_field_and_its_line(self) -> None:
        error = self.read_changed("    count: 4", "    counts: 4")
        self.assertEqual((error.field, error.reason), ("upstreams[0].counts", "is not known here"))
        self.assertEqual(error.line, 10)

    def test_error_names_a_nested_invalid_value_and_its_line(self) -> None:
        error = self.read_changed("      per_s: 6", "      per_s: many")
        self.assertEqual(error.field, "traffic.kinds[1].per_s")
        self.assertIn("a number was expected", error.reason)
        self.assertEqual(EXAMPLE.read_text().splitlines()[error.line - 1].strip(), "per_s: 6")

    def test_operator_configuration_is_validated_as_by_a_control_plane(self) -> None:
        error = self.read_changed("timeout_ms: 8000", "timeout_ms: 0")
        self.assertEqual(error.field, "configuration.routes[1].timeout_ms")
        self.assertGreater(error.line, 1)

    def test_upstreams_of_an_unknown_service_are_rejected(self) -> None:
        error = self.read_changed("  - service: stock", "  - service: stok")
        self.assertEqual(error.field, "upstreams[1].service")

    def test_unknown_fault_kind_is_rejected(self) -> None:
        self.assertEqual(self.read_changed("what: kill", "what: slap").field, "faults[0].what")

    def test_invalid_engine_setting_is_rejected(self) -> None:
        self.assertEqual(self.read_changed("slots: 32", "slots: lots").field, "upstreams[0].engine")

    def test_error_names_a_missing_field(self) -> None:
        with self.assertRaises(FileFormatError) as caught:
            parse_yaml("name: n\nupstreams: []\n", FleetFile, "f")
        self.assertEqual((caught.exception.field, caught.exception.reason), ("configuration", "is missing"))

    def test_error_names_the_line_of_invalid_yaml(self) -> None:
        with self.assertRaises(FileFormatError) as caught:
            parse_yaml("name: n\n  bad: [", FleetFile, "f")
        self.assertEqual(caught.exception.line, 2)


class LineOfTest(unittest.TestCase):
    def test_path_in_json_has_a_line(self) -> None:
        text = '{\n "routes": [\n  {"name": "a"},\n  {"name": "b",\n   "timeout_ms": 0}\n ]\n}'
        self.assertEqual(line_of(text, steps_of("routes[1].timeout_ms")), 5)

    def test_missing_path_gives_the_line_of_the_enclosing_node(self) -> None:
        self.assertEqual(line_of("a:\n  b: 1\n", ["a", "c"]), 2)


if __name__ == "__main__":
    unittest.main()
