"""The figures as text, in the form and under the names that operators asked for. No input or output."""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from madderwind.standalone.routing.tally import Tally

PREFIX, END = "svc_", "--"
PEERS = "fellows_"
AREAS = (
    "left", "returned", "relapsed", "not_left", "tries", "alone", "odd", "unfounded", "unknown_area",
)  # fmt: skip
PASSED_OVER = ("short", "long", "foreign", "version", "damaged", "repeated", "flood", "strangers")


class Fleet(msgspec.Struct, frozen=True):
    """The upstreams as the balancer sees them now."""

    known: int
    skipped: int


class Areas(msgspec.Struct, frozen=True):
    """Zones and regions that are left, with their steps, and what was counted of it."""

    left: list[tuple[str, int]]
    counts: Mapping[str, int]


def figures(
    tally: Tally, fleet: Fleet, words: Mapping[str, int] | None = None, areas: Areas | None = None
) -> bytes:
    """Every figure on a line of its own, then the line that ends them. `words`: of a fleet whose copies pass
    news on; `areas`: of one that leaves zones together."""
    lines = [
        f'handled_total{{category="{_label(category)}",outcome="{outcome}"}} {count}'
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
    if words is not None:
        lines += [f"{PEERS}{state} {words[f'{PEERS}{state}']}" for state in ("alive", "suspect", "dead")]
        lines += [
            f"words_{what}_total {words[what]}" for what in ("sent", "sent_bytes", "heard", "held_back")
        ]
        lines += [f'words_passed_over_total{{reason="{why}"}} {words[why]}' for why in PASSED_OVER]
    if areas is not None:
        lines += [f'area_step{{area="{_label(area)}"}} {step}' for area, step in areas.left]
        lines.append(f"withheld_upstreams {areas.counts.get('withheld', 0)}")
        lines += [f"areas_{what}_total {areas.counts.get(what, 0)}" for what in AREAS]
    return "".join(f"{PREFIX}{line}\n" for line in lines).encode() + f"{END}\n".encode()


def _label(text: str) -> str:
    return text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
