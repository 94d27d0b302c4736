"""The figures as text, in the form and under the names that operators asked for. No input or output."""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from madderwind.routing.tally import Tally

PREFIX, END = "svc_", "--"
FELLOWS = "fellows_"
PASSED_OVER = ("short", "long", "foreign", "version", "damaged", "repeated", "flood", "strangers")


class Fleet(msgspec.Struct, frozen=True):
    """The upstreams as the balancer sees them now."""

    known: int
    skipped: int


def figures(tally: Tally, fleet: Fleet, words: Mapping[str, int] | None = None) -> bytes:
    """Every figure on a line of its own, then the line that ends them. `words`: of a fleet whose copies pass
    news on."""
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
    if words is not None:
        lines += [f"{FELLOWS}{state} {words[f'{FELLOWS}{state}']}" for state in ("alive", "suspect", "dead")]
        lines += [
            f"words_{what}_total {words[what]}" for what in ("sent", "sent_bytes", "heard", "held_back")
        ]
        lines += [f'words_passed_over_total{{reason="{why}"}} {words[why]}' for why in PASSED_OVER]
    return "".join(f"{PREFIX}{line}\n" for line in lines).encode() + f"{END}\n".encode()


def _label(text: str) -> str:
    return text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
