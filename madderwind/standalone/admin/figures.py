"""Formats the metrics as text, under the names that operators asked for. Does no I/O."""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from madderwind.standalone.routing.tally import Tally

PREFIX, END_LINE = "svc_", "--"
MEMBER_PREFIX = "fellows_"
AREA_COUNTERS = (
    "left", "returned", "relapsed", "not_left", "tries", "alone", "odd", "unfounded", "unknown_area",
)  # fmt: skip
IGNORED_REASONS = ("short", "long", "foreign", "version", "damaged", "repeated", "flood", "strangers")


class FleetMetrics(msgspec.Struct, frozen=True):
    """Numbers of upstreams as the balancer sees them now."""

    known: int
    skipped: int


class AreaMetrics(msgspec.Struct, frozen=True):
    """Evacuated zones and regions with their steps, and the counters of evacuation."""

    left: list[tuple[str, int]]
    counts: Mapping[str, int]


def metrics_text(
    tally: Tally,
    fleet: FleetMetrics,
    gossip_counts: Mapping[str, int] | None = None,
    areas: AreaMetrics | None = None,
) -> bytes:
    """Each metric on its own line, then the end line.

    `gossip_counts`: given if the copies of the fleet gossip. `areas`: given if the fleet evacuates zones.
    """
    lines = [
        f'handled_total{{category="{_escape_label(category)}",outcome="{outcome}"}} {count}'
        for category, outcome, count in tally.handled()
    ]
    lines += [
        f"in_progress {tally.in_progress}",
        f"upstream_tries_total {tally.tries}",
        f"known_upstreams {fleet.known}",
        f"skipped_upstreams {fleet.skipped}",
        f"loads_total {tally.loads}",
        f"load_errors_total {tally.load_errors}",
    ]
    if tally.version is not None:
        lines.append(f"settings_version {tally.version}")
    if gossip_counts is not None:
        lines += [
            f"{MEMBER_PREFIX}{state} {gossip_counts[f'{MEMBER_PREFIX}{state}']}"
            for state in ("alive", "suspect", "dead")
        ]
        lines += [
            f"words_{counter}_total {gossip_counts[counter]}"
            for counter in ("sent", "sent_bytes", "heard", "held_back")
        ]
        lines += [
            f'words_passed_over_total{{reason="{reason}"}} {gossip_counts[reason]}'
            for reason in IGNORED_REASONS
        ]
    if areas is not None:
        lines += [f'area_step{{area="{_escape_label(area)}"}} {step}' for area, step in areas.left]
        lines.append(f"withheld_upstreams {areas.counts.get('withheld', 0)}")
        lines += [f"areas_{counter}_total {areas.counts.get(counter, 0)}" for counter in AREA_COUNTERS]
    return "".join(f"{PREFIX}{line}\n" for line in lines).encode() + f"{END_LINE}\n".encode()


def _escape_label(text: str) -> str:
    return text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
