"""Writes variants of the users' sites of the system, to run the bench on deployments that no user has sent.

    python3 deploy/sites/lay_system.py [KIT]

KIT is the users' folder of the system; its `sites/` and `further/` are read. For each of their sites, one
file per variant is written to `deploy/sites/system/`, beside a copy of `wire.json`; those of `further/` go
to a subfolder of that name. Git ignores the output folder: none of it is committed.
The goals and floors of the users' days were set for their own deployment, so the variants have none.
"""

from __future__ import annotations

import copy
import json
import shutil
import sys
import tomllib
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any

HERE = Path(__file__).resolve().parent
KIT = HERE.parents[2] / "given" / "kit" / "more" / "system"
OUTPUT_FOLDER = HERE / "system"
WIRE_FILE = "wire.json"
# The subfolders of the users' folder that contain sites.
SITE_FOLDERS = ("sites", "further")

Site = dict[str, Any]
Table = dict[str, Any]

PLAIN_WORK_MS: Table = {"mean": 150.0, "spread": 0.6, "tail": 0.02, "tail_x": 4, "max": 1500.0}
PLAIN_ANSWER_BYTES: Table = {"mean": 2500.0, "spread": 0.6, "tail": 0.0, "tail_x": 1.0, "max": 20000.0}
"""The sizes of a request that replaces a stream on a site without streams."""

# The faults that are unavailable without a contract, by kind and variant; "" stands for every variant.
FAULTS_BY_CONTRACT: dict[str, frozenset[tuple[str, str]]] = {
    "quota": frozenset({("hot_tenant", ""), ("config_change", "quota"), ("config_storm", "quota")}),
    "tenants": frozenset(
        {
            ("revoke", ""),
            ("config_change", "tenant"),
            ("config_storm", "tenant"),
            ("bad_config", "shared_key"),
        }
    ),
}

DAY_THRESHOLD_FIELDS = ("goal", "floor_classes", "floor_zones", "small")


class LayError(Exception):
    """The users' sites could not be read or the variants could not be written."""


Change = Callable[[Site], None]
"""Changes a site into a variant. Its docstring, one line, is copied to the head of the variant's file."""


def machines(site: Site, machine_class: str) -> list[Table]:
    """The entries of a site's machines of one class."""
    return [entry for entry in site["machines"] if entry["class"] == machine_class]


def traffics(site: Site) -> Iterable[list[Table]]:
    """Every list of traffic per zone: the site's own and those of its days."""
    yield site["traffic"]
    yield from (day["traffic"] for day in site["day"] if "traffic" in day)


def model_services(site: Site) -> list[Table]:
    """The services that run a language model."""
    return [service for service in site["services"] if "llm" in service]


def shared_parts(site: Site) -> Iterable[Table]:
    """Every kind of shared prompt part in the request classes."""
    for request_class in site["classes"]:
        yield from request_class.get("stream", {}).get("chain", [])


def scale_sizes(sizes: Table, factor: float) -> None:
    """Multiply the mean and the maximum of a distribution."""
    sizes["mean"] *= factor
    sizes["max"] *= factor


def one_zone(site: Site) -> None:
    """All machines, servers and clients are in one zone."""
    home = site["zones"][0]["name"]
    site["zones"] = site["zones"][:1]
    merged: list[Table] = []
    for machine_class in dict.fromkeys(entry["class"] for entry in site["machines"]):
        entries = machines(site, machine_class)
        total = {key: sum(entry[key] for entry in entries) for key in ("count", "spare")}
        merged.append({**entries[0], "zone": home, **total})
    site["machines"] = merged
    for service in site["services"]:
        service["servers"] = [{"zone": home, "count": sum(entry["count"] for entry in service["servers"])}]
    for traffic in traffics(site):
        total = {key: sum(entry[key] for entry in traffic) for key in ("per_s", "clients")}
        traffic[:] = [{**traffic[0], "zone": home, **total}]


def four_zones(site: Site) -> None:
    """A fourth zone without a core machine."""
    last = site["zones"][-1]["name"]
    added = f"{last}-2"
    site["zones"].append({**site["zones"][-1], "name": added})
    fronts = [entry for entry in machines(site, "front") if entry["zone"] == last]
    site["machines"] += [{**entry, "zone": added, "count": 2} for entry in fronts]
    for service in site["services"]:
        service["servers"] += [
            {**entry, "zone": added} for entry in service["servers"] if entry["zone"] == last
        ]
    for traffic in traffics(site):
        for entry in [entry for entry in traffic if entry["zone"] == last]:
            entry["per_s"] /= 2
            traffic.append({**copy.deepcopy(entry), "zone": added})


def two_fronts(site: Site) -> None:
    """Two front machines; the remaining zones have none."""
    for index, entry in enumerate(machines(site, "front")):
        entry["count"] = 1 if index < 2 else 0
    site["machines"] = [entry for entry in site["machines"] if entry["count"]]


def twenty_fronts(site: Site) -> None:
    """Quotas and budgets are shared by twenty front machines."""
    entries = machines(site, "front")
    for index, entry in enumerate(entries):
        entry["count"] = len(range(index, 20, len(entries)))


def small_machines(site: Site) -> None:
    """Machines with little memory, few file descriptors and slow links."""
    for entry in site["machines"]:
        entry["memory_mb"] = 140
        entry["fds"] = 1200
    for entry in machines(site, "front"):
        entry["link_mbps"] = 20.0


def slow_disks(site: Site) -> None:
    """Disks of the core machines take 10 ms per sync."""
    for entry in machines(site, "core"):
        entry["disk"].update(sync_ms=10, mb_per_s=20)


def small_disks(site: Site) -> None:
    """Disks of 8 MB: the file has to be rewritten before the disk is full."""
    for entry in machines(site, "core"):
        entry["disk"]["mb"] = 8


def far_zones(site: Site) -> None:
    """Latency of 12 ms between zones."""
    site["net"]["cross_zone_ms"] = 12.0


def tight_bounds(site: Site) -> None:
    """Shorter bounds on drains, configuration versions, contact and grace."""
    site["bounds"].update(drain_ms=1200, config_ms=1200, touch_ms=1500, outer_ms=3000, grace_s=4.0)


def long_bounds(site: Site) -> None:
    """Longer bounds on drains, configuration versions, contact and grace."""
    site["bounds"].update(drain_ms=5000, config_ms=5000, touch_ms=6000, outer_ms=10000, grace_s=15.0)


def five_cores(site: Site) -> None:
    """Five core machines, which tolerate the loss of two."""
    for entry in machines(site, "core")[:2]:
        entry["count"] = 2
    site["tolerate"]["machines"] = 2


def lone_core(site: Site) -> None:
    """One core machine, which tolerates no loss."""
    others = machines(site, "core")[1:]
    site["machines"] = [entry for entry in site["machines"] if entry not in others]
    site["tolerate"]["machines"] = 0


def zone_tolerance(site: Site) -> None:
    """The loss of a whole zone is tolerated."""
    site["tolerate"]["zones"] = 1


def small_prefixes(site: Site) -> None:
    """Many small shared prompt prefixes."""
    for part in shared_parts(site):
        scale_sizes(part["tokens"], 0.05)
        part["things"] *= 30
    for request_class in site["classes"]:
        if "stream" in request_class:
            request_class["things"] *= 30


def giant_prefixes(site: Site) -> None:
    """A few very large shared prompt prefixes."""
    for part in shared_parts(site):
        scale_sizes(part["tokens"], 3.0)
        part["things"] = 3
    for request_class in site["classes"]:
        if "stream" in request_class:
            request_class["things"] = 3


def small_memory_upstreams(site: Site) -> None:
    """Upstreams with a third of the KV cache, which preempt requests and evict prefixes."""
    for service in model_services(site):
        service["llm"]["kv_tokens"] //= 3


def quick_prefill(site: Site) -> None:
    """Prefill is twice as fast."""
    for service in model_services(site):
        service["llm"]["prefill_tokens_per_ms"] *= 2.0


def slow_prefill(site: Site) -> None:
    """Prefill runs at two thirds of the speed."""
    for service in model_services(site):
        service["llm"]["prefill_tokens_per_ms"] /= 1.5


def fewer_larger_upstreams(site: Site) -> None:
    """A third of the model upstreams, each three times as fast, with three times the KV cache."""
    for service in model_services(site):
        for entry in service["servers"]:
            entry["count"] = max(1, entry["count"] // 3)
        engine = service["llm"]
        engine["step_ms"] /= 3.0
        engine["prefill_tokens_per_ms"] *= 3.0
        engine["kv_tokens"] *= 3


def dear_bytes(site: Site) -> None:
    """Memory is cheap and traffic between zones is expensive."""
    site["prices"]["memory_gb_s"] = 0.1
    site["prices"]["cross_zone_gb"] = 6000.0


def other_kinds(site: Site) -> None:
    """The frequencies of the request classes are reversed: the rarest becomes the most frequent."""
    for traffic in traffics(site):
        for entry in traffic:
            names = sorted(entry["mix"], key=entry["mix"].__getitem__)
            shares = sorted(entry["mix"].values(), reverse=True)
            entry["mix"] = dict(zip(names, shares, strict=True))


def few_connections(site: Site) -> None:
    """Upstreams accept a quarter of the connections."""
    for service in site["services"]:
        service["conn_cap"] = max(service["slots"] + 8, service["conn_cap"] // 4)


def without_contracts(site: Site, *contracts: str) -> None:
    """Remove contracts from a site, and the faults that need them from the site and its days."""
    site["contracts"] = [contract for contract in site["contracts"] if contract not in contracts]
    unavailable = frozenset[tuple[str, str]]().union(
        *(FAULTS_BY_CONTRACT.get(name, ()) for name in contracts)
    )
    lists = [site["troubles"], *(day[part] for day in site["day"] for part in ("plan", "faults"))]
    for faults in lists:
        faults[:] = [
            fault
            for fault in faults
            if unavailable.isdisjoint({(fault["kind"], ""), (fault["kind"], fault.get("how", ""))})
        ]


def no_quota(site: Site) -> None:
    """Tenants without quotas."""
    without_contracts(site, "quota")


def no_tenants(site: Site) -> None:
    """No tenants and no API keys."""
    without_contracts(site, "quota", "tenants")
    del site["tenants"]


def no_streams(site: Site) -> None:
    """Only safe and unsafe requests; no streams and no model engines."""
    without_contracts(site, "engine", "stream", "quota")
    for service in model_services(site):
        for field in ("llm", "model"):
            del service[field]
        service["slots"] = 16
        service["queue"] = 64
    for request_class in site["classes"]:
        stream = request_class.pop("stream", None)
        if stream:
            request_class["kind"] = "safe" if stream["resume"] else "unsafe"
            request_class["work_ms"] = {
                "mean": 150.0,
                "spread": 0.6,
                "tail": 0.02,
                "tail_x": 4,
                "max": 1500.0,
            }
            request_class["resp_bytes"] = {
                "mean": 2500.0,
                "spread": 0.6,
                "tail": 0.0,
                "tail_x": 1.0,
                "max": 20000.0,
            }


def many_tenants(site: Site) -> None:
    """150 tenants."""
    site["tenants"]["count"] = 150


def long_day(site: Site) -> None:
    """A day of two and a half minutes."""
    site["length_s"] = 150.0


def several_cores_shown(site: Site) -> None:
    """Processes are shown three cores, so that threads may be switched at any point."""
    site["shown_cores"] = 3


VARIANTS: tuple[Change, ...] = (
    one_zone,
    four_zones,
    two_fronts,
    twenty_fronts,
    small_machines,
    slow_disks,
    small_disks,
    far_zones,
    tight_bounds,
    long_bounds,
    five_cores,
    lone_core,
    zone_tolerance,
    small_prefixes,
    giant_prefixes,
    small_memory_upstreams,
    quick_prefill,
    slow_prefill,
    fewer_larger_upstreams,
    dear_bytes,
    other_kinds,
    few_connections,
    no_quota,
    no_tenants,
    no_streams,
    many_tenants,
    long_day,
    several_cores_shown,
)


def variant_name(change: Change) -> str:
    """The name of a variant in file names."""
    return change.__name__.replace("_", "-")


def varied(site: Site, change: Change) -> Site:
    """A changed copy of a site, with its own name and without the users' goals and floors."""
    variant = copy.deepcopy(site)
    variant["name"] = f"{site['name']}-{variant_name(change)}"
    for day in variant["day"]:
        for field in DAY_THRESHOLD_FIELDS:
            day.pop(field, None)
    change(variant)
    return variant


def toml_value(value: Any) -> str:
    """A value as TOML on one line."""
    if isinstance(value, dict):
        return "{ " + ", ".join(f"{key} = {toml_value(item)}" for key, item in value.items()) + " }"
    if isinstance(value, list):
        return "[" + ", ".join(toml_value(item) for item in value) + "]"
    return json.dumps(value, ensure_ascii=False)


def toml_text(site: Site) -> str:
    """The text of a site file: values and lists with one table per line, then tables, then days."""
    values, tables, days = [], [], []
    for key, value in site.items():
        if key == "day":
            for day in value:
                days.append("\n[[day]]\n" + "".join(f"{name} = {toml_value(day[name])}\n" for name in day))
        elif isinstance(value, dict):
            tables.append(f"\n[{key}]\n" + "".join(f"{name} = {toml_value(value[name])}\n" for name in value))
        elif isinstance(value, list) and value and isinstance(value[0], dict):
            values.append(f"{key} = [\n" + "".join(f"  {toml_value(item)},\n" for item in value) + "]\n")
        else:
            values.append(f"{key} = {toml_value(value)}\n")
    return "".join(values + tables + days)


def lay(kit: Path, output_folder: Path) -> list[Path]:
    """Write all variants of the kit's sites and return their paths; LayError if that fails."""
    folders = [kit / name for name in SITE_FOLDERS if list((kit / name).glob("*.toml"))]
    if not folders:
        raise LayError(f"{kit}: contains no site files")
    written = []
    try:
        for folder in folders:
            written += write_variants(
                folder, output_folder if folder.name == SITE_FOLDERS[0] else output_folder / folder.name
            )
    except OSError as error:
        raise LayError(f"{error.filename}: {error.strerror}") from error
    return written


def write_variants(sites: Path, output_folder: Path) -> list[Path]:
    """Write all variants of the sites of a folder, beside a copy of the folder's wire.json."""
    output_folder.mkdir(parents=True, exist_ok=True)
    (output_folder / WIRE_FILE).unlink(missing_ok=True)  # an earlier copy may be read-only, as the kit's is
    shutil.copyfile(sites / WIRE_FILE, output_folder / WIRE_FILE)
    written = []
    for source in sorted(sites.glob("*.toml")):
        site = tomllib.loads(source.read_text())
        for change in VARIANTS:
            path = output_folder / f"{source.stem}-{variant_name(change)}.toml"
            path.write_text(f"# {change.__doc__}\n{toml_text(varied(site, change))}")
            written.append(path)
    return written


def main(arguments: list[str]) -> int:
    if len(arguments) > 1:
        print("lay_system.py: at most one folder can be given", file=sys.stderr)
        return 1
    try:
        written = lay(Path(arguments[0]) if arguments else KIT, OUTPUT_FOLDER)
    except LayError as error:
        print(f"lay_system.py: {error}", file=sys.stderr)
        return 1
    print(f"{len(written)} sites written to {OUTPUT_FOLDER}")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
