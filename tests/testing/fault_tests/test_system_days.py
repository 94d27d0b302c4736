"""Tests of the script that runs system days, of the day files, and of the variants of users' sites."""

from __future__ import annotations

import collections
import copy
import importlib.util
import json
import sys
import tempfile
import tomllib
from pathlib import Path
from types import ModuleType
from typing import Any
from unittest import TestCase

ROOT = Path(__file__).parents[3]
LEAST_DAYS = 24

CORE_PLACES = {"leader", "reader", "seed", "meet", "race", "hard", "drain"}
CUT_SCOPES = {"all", "near"}
KINDS_OF_CHANGE = {"route", "weights", "timeout", "tenant", "quota", "idle"}
# The kinds of faults, with the variants that `how` may contain.
HOW: dict[str, set[str]] = {
    "burst": set(),
    "hot_key": set(),
    "hot_tenant": set(),
    "retry_abuse": set(),
    "give_up": set(),
    "srv_crash": {"dark", "gone", "across", "all"},
    "srv_slow": {"across", "all"},
    "srv_grey": {"errors", "shed", "busy", "hang", "reset", "mute", "slow", "one_zone"},
    "srv_lying_health": {"hang", "reset", "bad"},
    "srv_flap": set(),
    "srv_cut": {"fronts", "one_way", "reset"},
    "release": {"across", "all"},
    "replace_with_reuse": {"drain", "dark"},
    "scale_out": set(),
    "scale_in": {"spot"},
    "idle_race": set(),
    "answer_lost": {"reset"},
    "garble": {"extra", "late", "unframed", "early"},
    "node_kill": {"power", *CORE_PLACES},
    "node_freeze": CORE_PLACES,
    "node_slow": CORE_PLACES,
    "node_cut": {"servers"},
    "roll_term": {"remove", "busy"},
    "herd_kill": {"power", "taken", "all", *CORE_PLACES},
    "replace_core": {"planned", "oldest", *CORE_PLACES},
    "seed_turnover": set(),
    "after_ack_kill": {"kill", "timed", "taken"},
    "after_ack_wipe": {"timed", "oldest"},
    "disk_slow": CORE_PLACES,
    "disk_full": CORE_PLACES,
    "disk_stall": CORE_PLACES,
    "clock_step": {"back", "ahead"},
    "hup": set(),
    "reset_conns": set(),
    "core_cut": {
        "one_way",
        "seeds",
        "both",
        "lure",
        "oldest",
        "reset",
        "refuse",
        *CUT_SCOPES,
        *CORE_PLACES,
    },
    "config_change": KINDS_OF_CHANGE,
    "config_storm": KINDS_OF_CHANGE,
    "config_race": set(),
    "bad_config": {
        *("cut_short", "unknown_service", "same_place", "no_weight", "no_timeout"),
        *("old_version", "same_version", "stale_match", "shared_key"),
    },
    "big_config": set(),
    "ack_lost": set(),
    "revoke": set(),
}
# Variants that have to occur twice within one day, "" for the plain kind.
TWICE_IN_A_DAY = {
    "retry_abuse": {""},
    "srv_slow": {""},
    "srv_grey": {"errors", "shed", "busy", "hang", "reset", "mute", "slow"},
    "replace_with_reuse": {"", "drain", "dark"},
    "scale_out": {""},
    "scale_in": {"", "spot"},
    "node_slow": {""},
    "replace_core": {"", "planned"},
    "disk_full": {""},
    "clock_step": {"back"},
    "hup": {""},
    "reset_conns": {""},
    "node_cut": {"", "servers"},
}


def load_script(path: str) -> ModuleType:
    """Load a script of the repository that is in no package."""
    spec = importlib.util.spec_from_file_location(Path(path).stem, ROOT / path)
    assert spec is not None and spec.loader is not None
    module = importlib.util.module_from_spec(spec)
    sys.modules[spec.name] = module  # dataclasses look up their module
    spec.loader.exec_module(module)
    return module


system_days = load_script("drills/system_days.py")
lay_system = load_script("deploy/sites/lay_system.py")


def days() -> dict[str, dict[str, Any]]:
    """The repository's day files by file name."""
    files = sorted((ROOT / "deploy" / "days").glob("*.toml"))
    return {path.stem: tomllib.loads(path.read_text()) for path in files}


def entries(day: dict[str, Any]) -> list[dict[str, Any]]:
    """All planned changes and faults of a day."""
    return [*day["plan"], *day["faults"]]


def words(entry: dict[str, Any]) -> set[str]:
    """The words of an entry's `how`."""
    return set(entry.get("how", "").split())


def variants(entry: dict[str, Any]) -> set[str]:
    """The variants of an entry, without the places that it affects; "" for the plain kind."""
    places = CORE_PLACES - TWICE_IN_A_DAY.get(entry["kind"], set())
    return words(entry) - places or {""}


class DayFiles(TestCase):
    def test_each_describes_its_question_and_the_rules_it_tests(self) -> None:
        for path in sorted((ROOT / "deploy" / "days").glob("*.toml")):
            with self.subTest(path.name):
                comment = [line for line in path.read_text().splitlines() if line.startswith("# ")]
                self.assertGreaterEqual(len(comment), 2)
                self.assertTrue(any(line.startswith("# Presses: ") for line in comment))

    def test_there_are_enough_with_their_file_names_and_distinct_seeds(self) -> None:
        found = days()
        self.assertGreaterEqual(len(found), LEAST_DAYS)
        self.assertEqual({name: day["name"] for name, day in found.items()}, {name: name for name in found})
        self.assertEqual(len({day["seed"] for day in found.values()}), len(found))

    def test_kinds_and_variants_are_known_and_no_part_of_a_site_is_named(self) -> None:
        for name, day in days().items():
            for entry in entries(day):
                with self.subTest(name, at=entry["at"], kind=entry["kind"]):
                    self.assertIn(entry["kind"], HOW)
                    self.assertLessEqual(words(entry), HOW[entry["kind"]])
                    self.assertTrue({"class", "service", "zone", "to_zone", "region"}.isdisjoint(entry))

    def test_every_kind_occurs_twice_in_some_day(self) -> None:
        max_counts = collections.Counter[str]()
        for day in days().values():
            counts = collections.Counter(entry["kind"] for entry in entries(day))
            max_counts |= counts
        self.assertEqual({kind for kind in HOW if max_counts[kind] < 2}, set())

    def test_every_required_variant_occurs_twice_in_some_day(self) -> None:
        max_counts = collections.Counter[tuple[str, str]]()
        for day in days().values():
            counts = collections.Counter(
                (entry["kind"], how) for entry in entries(day) for how in variants(entry)
            )
            max_counts |= counts
        wanted = {(kind, how) for kind, hows in TWICE_IN_A_DAY.items() for how in hows}
        self.assertEqual({key for key in wanted if max_counts[key] < 2}, set())


ENTRY: dict[str, Any] = {
    "id": "0a1b2c3d",
    "days": [{"name": "d", "gate": True, "G": 0.8, "served": 0.99, "rules": {}, "short": []}],
}


class SystemDaysScript(TestCase):
    def judged(self, output: str, entry: object) -> Any:
        with tempfile.TemporaryDirectory() as folder:
            (Path(folder) / "20261202T000000-0a1b2c3d.json").write_text(json.dumps(entry))
            return system_days.judged("sites/here.toml", "days/month-end.toml", output, Path(folder))

    def test_passed_day_has_its_figures(self) -> None:
        play = self.judged("...\nsnapshot 0a1b2c3d\n", ENTRY)
        self.assertEqual((play.site, play.day, play.journal), ("here", "month-end", "0a1b2c3d"))
        self.assertEqual((play.verdict, play.worth, play.served), (system_days.Verdict.PASSED, 0.8, 0.99))

    def test_broken_rule_fails_and_is_named(self) -> None:
        entry = copy.deepcopy(ENTRY)
        entry["days"][0].update({"gate": False, "rules": {"TWICE": 2}, "short": ["rule TWICE"]})
        play = self.judged("snapshot 0a1b2c3d", entry)
        self.assertEqual(play.verdict, system_days.Verdict.FAILED)
        self.assertIn("TWICE", play.broken)

    def test_fault_of_a_closed_contract_is_not_a_failure(self) -> None:
        play = self.judged("fleetbench: srv_flap: contract health is not open", ENTRY)
        self.assertEqual(play.verdict, system_days.Verdict.CLOSED)

    def test_missing_entry_gives_no_figures(self) -> None:
        for output, entry in (("", ENTRY), ("snapshot 77777777", ENTRY), ("snapshot 0a1b2c3d", {"days": 3})):
            with self.subTest(output=output, entry=entry):
                self.assertEqual(self.judged(output, entry).verdict, system_days.Verdict.NO_FIGURES)

    def test_bench_command_has_the_given_options(self) -> None:
        bench = system_days.Bench("bench", "a reason", until_s=3.0, seed=7, small=True)
        command = bench.command("site", "day")
        self.assertEqual(command[:4], ["bench", "run", "site", "day"])
        self.assertEqual(
            command[4:], ["--jobs", "1", *["--why", "a reason", "--until", "3.0", "--seed", "7", "--small"]]
        )

    def test_summary_counts_each_verdict(self) -> None:
        passed = self.judged("snapshot 0a1b2c3d", ENTRY)
        closed = self.judged("contract health is not open", ENTRY)
        self.assertEqual(system_days.summary([passed, closed, passed]), "2 passed, 1 closed here")


def site() -> dict[str, Any]:
    """A small site with the fields that variants change."""
    disk = {"mb": 128, "sync_ms": 1, "mb_per_s": 100}
    limits = {"memory_mb": 300, "fds": 4000, "link_mbps": 1000.0, "spare": 1}
    tokens = {"mean": 1000.0, "spread": 0.4, "max": 4000.0}
    zones = ("a", "b", "c")
    mix = {"long": 3.0, "short": 8.0}
    return {
        "name": "here",
        "contracts": ["base", "drain", "config", "engine", "stream", "tenants", "quota"],
        "length_s": 30.0,
        "zones": [{"name": zone, "region": "r"} for zone in zones],
        "machines": [
            *({"class": "front", "zone": zone, "count": 2, **limits} for zone in zones),
            *({"class": "core", "zone": zone, "count": 1, **limits, "disk": dict(disk)} for zone in zones),
        ],
        "services": [
            {
                "name": "llm",
                "model": "llm",
                "slots": 64,
                "conn_cap": 400,
                "llm": {"kv_tokens": 9000, "step_ms": 3.0, "prefill_tokens_per_ms": 60.0},
                "servers": [{"zone": zone, "count": 2} for zone in zones],
            },
            {
                "name": "app",
                "slots": 6,
                "conn_cap": 90,
                "servers": [{"zone": zone, "count": 1} for zone in zones],
            },
        ],
        "classes": [
            {
                "name": "long",
                "kind": "stream",
                "things": 90,
                "service": "llm",
                "stream": {"resume": True, "chain": [{"tokens": tokens, "things": 90}]},
            },
            {"name": "short", "kind": "unsafe", "service": "app"},
        ],
        "traffic": [{"zone": zone, "per_s": 10.0, "clients": 4, "mix": dict(mix)} for zone in zones],
        "net": {"cross_zone_ms": 1.0},
        "bounds": {"drain_ms": 2000},
        "tolerate": {"machines": 1, "zones": 0},
        "tenants": {"count": 5},
        "prices": {"memory_gb_s": 3.0, "cross_zone_gb": 1500.0},
        "troubles": [
            {"kind": "burst"},
            {"kind": "hot_tenant", "x": 3.0},
            {"kind": "config_change", "how": "tenant"},
            {"kind": "bad_config", "how": "shared_key"},
        ],
        "day": [
            {
                "name": "q",
                "goal": {"floor": 0.4},
                "floor_zones": [0.4],
                "one": 0.9,
                "zero": 0.5,
                "faults": [{"at": 1.5, "kind": "burst", "how": ""}],
                "plan": [
                    {"at": 2.0, "kind": "config_change", "how": "quota"},
                    {"at": 3.0, "kind": "config_change", "how": "route"},
                    {"at": 4.0, "kind": "revoke", "count": 1},
                ],
                "traffic": [{"zone": zone, "per_s": 7.0, "clients": 4, "mix": dict(mix)} for zone in zones],
            }
        ],
    }


class SiteVariants(TestCase):
    def test_written_site_parses_to_the_same_site(self) -> None:
        self.assertEqual(tomllib.loads(lay_system.toml_text(site())), site())

    def test_each_variant_differs_from_its_site_and_has_a_docstring(self) -> None:
        for change in lay_system.VARIANTS:
            with self.subTest(change.__name__):
                plain = lay_system.varied(site(), unchanged)
                other = lay_system.varied(site(), change)
                self.assertNotEqual({**other, "name": ""}, {**plain, "name": ""})
                self.assertTrue(change.__doc__)
                self.assertEqual(tomllib.loads(lay_system.toml_text(other)), other)

    def test_no_variant_keeps_faults_of_removed_contracts(self) -> None:
        other = lay_system.varied(site(), lay_system.no_tenants)
        kept = [(entry["kind"], entry.get("how", "")) for entry in other["troubles"]]
        self.assertEqual(kept, [("burst", "")])
        self.assertEqual([entry["kind"] for entry in other["day"][0]["plan"]], ["config_change"])

    def test_no_variant_keeps_the_users_floors(self) -> None:
        for change in lay_system.VARIANTS:
            with self.subTest(change.__name__):
                (day,) = lay_system.varied(site(), change)["day"]
                self.assertTrue({"goal", "floor_zones", "floor_classes"}.isdisjoint(day))

    def test_all_zones_in_use_are_zones_of_the_site(self) -> None:
        for change in lay_system.VARIANTS:
            with self.subTest(change.__name__):
                other = lay_system.varied(site(), change)
                zones = {zone["name"] for zone in other["zones"]}
                used = {entry["zone"] for entry in [*other["machines"], *other["traffic"]]}
                used |= {entry["zone"] for entry in other["day"][0]["traffic"]}
                used |= {entry["zone"] for service in other["services"] for entry in service["servers"]}
                self.assertLessEqual(used, zones)

    def test_single_zone_keeps_all_machines_and_traffic(self) -> None:
        other = lay_system.varied(site(), lay_system.one_zone)
        counts = {entry["class"]: entry["count"] for entry in other["machines"]}
        self.assertEqual(counts, {"front": 6, "core": 3})
        self.assertEqual([entry["per_s"] for entry in other["traffic"]], [30.0])
        self.assertEqual([entry["per_s"] for entry in other["day"][0]["traffic"]], [21.0])

    def test_front_machine_counts(self) -> None:
        for change, wanted in ((lay_system.two_fronts, 2), (lay_system.twenty_fronts, 20)):
            with self.subTest(change.__name__):
                other = lay_system.varied(site(), change)
                fronts = sum(entry["count"] for entry in other["machines"] if entry["class"] == "front")
                self.assertEqual(fronts, wanted)

    def test_folder_without_sites_raises(self) -> None:
        with tempfile.TemporaryDirectory() as folder, self.assertRaises(lay_system.LayError):
            lay_system.lay(Path(folder), Path(folder) / "laid")

    def test_each_site_gives_a_file_per_variant_also_when_repeated(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            sites = Path(folder) / "kit" / "sites"
            sites.mkdir(parents=True)
            (sites / "here.toml").write_text(lay_system.toml_text(site()))
            (sites / "wire.json").write_text("{}")
            for _ in range(2):
                written = lay_system.lay(sites.parent, Path(folder) / "laid")
                self.assertEqual(len(written), len(lay_system.VARIANTS))
                self.assertTrue(all(path.is_file() for path in written))

    def test_sites_with_their_own_wire_file_get_their_own_folder(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            for name in ("sites", "further"):
                sites = Path(folder) / "kit" / name
                sites.mkdir(parents=True)
                (sites / "here.toml").write_text(lay_system.toml_text(site()))
                (sites / "wire.json").write_text(f'{{"of": "{name}"}}')
            written = lay_system.lay(sites.parent, Path(folder) / "laid")
            self.assertEqual(len(written), 2 * len(lay_system.VARIANTS))
            words = {path.parent.name: (path.parent / "wire.json").read_text() for path in written}
            self.assertEqual(words, {"laid": '{"of": "sites"}', "further": '{"of": "further"}'})

    def test_most_frequent_class_becomes_the_rarest(self) -> None:
        other = lay_system.varied(site(), lay_system.other_kinds)
        self.assertEqual(other["traffic"][0]["mix"], {"long": 8.0, "short": 3.0})


def unchanged(site: dict[str, Any]) -> None:
    """No change."""
