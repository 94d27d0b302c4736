"""The figures as text, in the form and under the names that operators asked for. No input or output."""

from __future__ import annotations

import msgspec

from madderwind.routing.tally import Tally

PREFIX, END = "svc_", "--"


class Fleet(msgspec.Struct, frozen=True):
    """The upstreams as the balancer sees them now."""

    known: int
    skipped: int


def figures(tally: Tally, fleet: Fleet) -> bytes:
    """Every figure on a line of its own, then the line that ends them."""
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
    return "".join(f"{PREFIX}{line}\n" for line in lines).encode() + f"{END}\n".encode()


def _label(text: str) -> str:
    return text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
