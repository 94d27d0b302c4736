"""Messages between a control plane and a data plane, on the one connection that the data plane opens.

The data plane subscribes to several control planes at once. Each publishes which configuration version is
committed (`Freshness`) and pushes registry changes; the data plane fetches a version from the first that
offers it.
"""

from __future__ import annotations

import msgspec

from madderwind.messages.codec import Codec


class Message(msgspec.Struct, frozen=True, array_like=True):
    """The base of all messages of this module; each names its tag on the wire."""


class UpstreamRecord(msgspec.Struct, frozen=True, array_like=True):
    """One upstream as the registry knows it.

    `heartbeat_age_ms`: since its last heartbeat, when this was sent.
    """

    instance: str
    service: str
    address: str
    zone: str
    version: str
    slots: int
    state: str  # ready, draining, gone
    sequence: int
    slow_start_remaining_ms: float
    heartbeat_age_ms: float


class CommandRecord(msgspec.Struct, frozen=True, array_like=True):
    """One operator's change as it came: `kind` is replace or update, `body` its JSON."""

    version: int
    base_version: int
    kind: str
    body: bytes


# --- data plane to control plane ---


class Subscribe(Message, frozen=True, tag="Subscribe"):
    """First message of a connection. `incarnation` is drawn anew at each start of the process."""

    node: str
    incarnation: str
    address: str
    zone: str
    version: int


class FetchConfiguration(Message, frozen=True, tag="FetchConfiguration"):
    """Ask for what leads from `base_version` to the newest committed version."""

    base_version: int


class ConfigurationApplied(Message, frozen=True, tag="ConfigurationApplied"):
    """The acknowledgement: this version is in force at the data plane."""

    version: int


class UsageReport(Message, frozen=True, tag="UsageReport"):
    """What tenants used at this data plane, sent to the primary alone.

    Attributes:
        sequence: Rises with each report.
        used: Tokens (or requests) admitted since the last report, by tenant.
        demand_per_s: The rate at which each tenant asks for more.
    """

    sequence: int
    used: dict[str, float]
    demand_per_s: dict[str, float]


class LoadReport(Message, frozen=True, tag="LoadReport"):
    """What this data plane has at upstreams now, by instance: prompt tokens waiting, sequences, tokens."""

    load: dict[str, tuple[float, float, float]]


class DispatchedPrompt(msgspec.Struct, frozen=True, array_like=True):
    """A prompt that went to an upstream: ids and lengths in tokens of its chunks, in order."""

    instance: str
    chunk_ids: tuple[str, ...]
    chunk_tokens: tuple[int, ...]


class DispatchReport(Message, frozen=True, tag="SendReport"):
    """Prompts that this data plane sent to upstreams since its last report. To the primary alone."""

    prompts: tuple[DispatchedPrompt, ...]


class ClockRequest(Message, frozen=True, tag="ClockRequested"):
    """Ask for the control plane's steady clock. `requested_ms`: the data plane's own, which comes back."""

    requested_ms: float


class Goodbye(Message, frozen=True, tag="Farewell"):
    """The data plane shuts down: it accepts no more requests."""


# --- control plane to data plane ---


class Freshness(Message, frozen=True, tag="Freshness"):
    """What is committed.

    `age_ms`: since the primary of `epoch` was last known to hold its lease; None where that is unknown.
    `data_planes`: how many there are, as far as is known. `clock_ms`: the sender's steady clock when this was
    sent.
    """

    version: int
    epoch: int
    age_ms: float | None
    is_primary: bool
    data_planes: int
    clock_ms: float


class ClockReading(Message, frozen=True, tag="ClockTold"):
    """The control plane's steady clock when it read the request that was sent at `requested_ms`."""

    requested_ms: float
    clock_ms: float


class ConfigurationSnapshot(Message, frozen=True, tag="ConfigurationSnapshot"):
    """A whole configuration document (JSON) and its version."""

    version: int
    document: bytes


class ConfigurationDelta(Message, frozen=True, tag="ConfigurationDelta"):
    """The commands that lead from `base_version` to `version`, in order."""

    base_version: int
    version: int
    commands: tuple[CommandRecord, ...]


class RegistrySnapshot(Message, frozen=True, tag="RegistrySnapshot"):
    """All upstreams that this control plane knows. What is absent here is not gone for that."""

    upstreams: tuple[UpstreamRecord, ...]


class RegistryDelta(Message, frozen=True, tag="RegistryDelta"):
    """Upstreams whose state changed."""

    upstreams: tuple[UpstreamRecord, ...]


class ControlPlanes(Message, frozen=True, tag="ControlPlanes"):
    """Internal addresses of the control planes, the primary's first where it is known."""

    addresses: tuple[str, ...]
    primary: str


class PeerSample(Message, frozen=True, tag="PeerSample"):
    """Internal addresses of some other data planes."""

    addresses: tuple[str, ...]


class PeerUsage(Message, frozen=True, tag="UsageOfOthers"):
    """What tenants used at all other data planes, sent by the primary alone.

    Attributes:
        used: Tokens (or requests) since the last message of this kind on this connection, by tenant.
        demand_per_s: The rate at which each tenant asks for more there.
    """

    used: dict[str, float]
    demand_per_s: dict[str, float]


class PeerLoad(Message, frozen=True, tag="LoadOfOthers"):
    """The sum of the other data planes' load reports, by instance."""

    load: dict[str, tuple[float, float, float]]


class PeerDispatches(Message, frozen=True, tag="SendsOfOthers"):
    """Prompts that other data planes sent since the last message of this kind; it comes without any too."""

    prompts: tuple[DispatchedPrompt, ...]


ToControlPlane = (
    Subscribe
    | FetchConfiguration
    | ConfigurationApplied
    | UsageReport
    | LoadReport
    | DispatchReport
    | ClockRequest
    | Goodbye
)
ToDataPlane = (
    Freshness
    | ClockReading
    | ConfigurationSnapshot
    | ConfigurationDelta
    | RegistrySnapshot
    | RegistryDelta
    | ControlPlanes
    | PeerSample
    | PeerUsage
    | PeerLoad
    | PeerDispatches
)

to_control_plane: Codec[ToControlPlane] = Codec(ToControlPlane)
to_data_plane: Codec[ToDataPlane] = Codec(ToDataPlane)
