"""Mechanisms of the placement that a measurement can turn off, one at a time, to learn what each is worth.

No setting of the service reaches these: only tests and the engine emulator pass anything but the default.
"""

from __future__ import annotations

import msgspec


class Ablation(msgspec.Struct, frozen=True):
    """Which mechanisms work.

    Attributes:
        prefix_homes: A prefix's home by rendezvous hashing; else any upstream may be first.
        popular_prefix_homes: More homes for a prefix that many ask for.
        dispatch_reports: Own dispatches are reported.
        load_reports: Own load is reported.
        dispatches_as_load: A peer's dispatch counts as load until the next load is told.
        peer_load_drains: A peer's load goes down by the learned speed between reports.
        weighs_all: All of up to 64 upstreams are weighed; else those first by rank and a few drawn ones.
        charged_homes: A home that is known not to keep a prefix is charged for reading it.
        learned_first_event: The model of the first event is learned from answers.
        learned_slowness: Each upstream's own slowness is learned.
        failure_memory: Failures of the last seconds make an upstream cost more.
        prefill_priority: Short prefills go before long ones.
    """

    prefix_homes: bool = True
    popular_prefix_homes: bool = True
    dispatch_reports: bool = True
    load_reports: bool = True
    dispatches_as_load: bool = True
    peer_load_drains: bool = True
    weighs_all: bool = True
    charged_homes: bool = True
    learned_first_event: bool = True
    learned_slowness: bool = True
    failure_memory: bool = True
    prefill_priority: bool = True


ALL_WORK = Ablation()


def without(mechanism: str) -> Ablation:
    """All mechanisms but one.

    Raises:
        ValueError: There is no mechanism of that name.
    """
    if mechanism not in Ablation.__struct_fields__:
        raise ValueError(f"{mechanism!r} is none of {', '.join(Ablation.__struct_fields__)}")
    return msgspec.structs.replace(ALL_WORK, **{mechanism: False})
