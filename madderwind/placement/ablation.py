"""Placement mechanisms that can be disabled one at a time to measure the contribution of each.

The service has no setting for them: only tests and the engine emulator pass anything but the default.
"""

from __future__ import annotations

import msgspec


class Ablation(msgspec.Struct, frozen=True):
    """Which placement mechanisms are enabled.

    Attributes:
        prefix_homes: Rendezvous hashing assigns each prefix a home; otherwise any upstream may rank first.
        popular_prefix_homes: A frequently requested prefix has more than one home.
        dispatch_reports: This balancer reports its dispatches to its peers.
        load_reports: This balancer reports its load to its peers.
        dispatches_as_load: A peer's dispatch counts as load until the next load report.
        peer_load_drains: Between reports the peers' load decreases at the learned prefill speed.
        weighs_all: Up to 64 upstreams are all evaluated; otherwise the first by rank and a few random ones.
        charged_homes: The cost of a home includes prefilling a prefix that it is known not to have cached.
        learned_first_event: The time to the first event is learned from responses.
        learned_slowness: Each upstream's slowness factor is learned.
        failure_memory: Recent failures, of the last seconds, raise the cost of an upstream.
        prefill_priority: Short prefills have priority over long ones.
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


ALL_ENABLED = Ablation()


def without(mechanism: str) -> Ablation:
    """All mechanisms enabled except one.

    Raises:
        ValueError: No mechanism has that name.
    """
    if mechanism not in Ablation.__struct_fields__:
        raise ValueError(
            f"unknown mechanism {mechanism!r}, expected one of {', '.join(Ablation.__struct_fields__)}"
        )
    return msgspec.structs.replace(ALL_ENABLED, **{mechanism: False})
