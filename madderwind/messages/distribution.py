"""Messages between a control plane and a data plane, over a single connection that the data plane opens.

A data plane subscribes to several control planes at once. Each of them publishes the committed configuration
version (`Freshness`) and pushes registry changes. The data plane fetches a new version from the first control
plane that announces it.
"""

from __future__ import annotations

import msgspec

from madderwind.messages.codec import Codec


class Message(msgspec.Struct, frozen=True, array_like=True):
    """The base of all messages of this module; each message declares its tag on the wire."""


class UpstreamRecord(msgspec.Struct, frozen=True, array_like=True):
    """An upstream as the registry knows it.

    `heartbeat_age_ms`: the time since its last heartbeat when this record was sent.
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
    """An operator's command as received: `kind` is replace or update, `body` is its JSON."""

    version: int
    base_version: int
    kind: str
    body: bytes


# Sent by data planes to control planes.


class Subscribe(Message, frozen=True, tag="Subscribe"):
    """The first message of a connection. `incarnation` is generated at each start of the process."""

    node: str
    incarnation: str
    address: str
    zone: str
    version: int


class FetchConfiguration(Message, frozen=True, tag="FetchConfiguration"):
    """Requests the changes from `base_version` to the newest committed version."""

    base_version: int


class ConfigurationApplied(Message, frozen=True, tag="ConfigurationApplied"):
    """Acknowledges that the data plane has applied this version."""

    version: int


class UsageReport(Message, frozen=True, tag="UsageReport"):
    """The usage by tenants at this data plane, sent only to the primary.

    Attributes:
        sequence: Increases with each report.
        used: Tokens (or requests) admitted since the last report, by tenant.
        demand_per_s: The rate at which each tenant requests more.
    """

    sequence: int
    used: dict[str, float]
    demand_per_s: dict[str, float]


class LoadReport(Message, frozen=True, tag="LoadReport"):
    """The current load of this data plane by instance: waiting prompt tokens, sequences, tokens."""

    load: dict[str, tuple[float, float, float]]


class DispatchedPrompt(msgspec.Struct, frozen=True, array_like=True):
    """A prompt that was sent to an upstream: the IDs and token counts of its chunks, in order."""

    instance: str
    chunk_ids: tuple[str, ...]
    chunk_tokens: tuple[int, ...]


class DispatchReport(Message, frozen=True, tag="SendReport"):
    """The prompts that this data plane sent to upstreams since its last report; sent only to the primary."""

    prompts: tuple[DispatchedPrompt, ...]


class ClockRequest(Message, frozen=True, tag="ClockRequested"):
    """Requests the control plane's monotonic clock.

    `requested_ms`: the data plane's own clock, which the response returns.
    """

    requested_ms: float


class Goodbye(Message, frozen=True, tag="Farewell"):
    """The data plane is shutting down and accepts no more requests."""


# Sent by control planes to data planes.


class Freshness(Message, frozen=True, tag="Freshness"):
    """The committed version, and how recent that information is.

    `age_ms`: the time since the primary of `epoch` was last known to hold its lease; None if unknown.
    `data_planes`: the known number of data planes. `clock_ms`: the sender's monotonic clock when this message
    was sent.
    """

    version: int
    epoch: int
    age_ms: float | None
    is_primary: bool
    data_planes: int
    clock_ms: float


class ClockReading(Message, frozen=True, tag="ClockTold"):
    """The control plane's monotonic clock when it received the request that was sent at `requested_ms`."""

    requested_ms: float
    clock_ms: float


class ConfigurationSnapshot(Message, frozen=True, tag="ConfigurationSnapshot"):
    """A complete configuration document (JSON) and its version."""

    version: int
    document: bytes


class ConfigurationDelta(Message, frozen=True, tag="ConfigurationDelta"):
    """The commands that lead from `base_version` to `version`, in order."""

    base_version: int
    version: int
    commands: tuple[CommandRecord, ...]


class RegistrySnapshot(Message, frozen=True, tag="RegistrySnapshot"):
    """All upstreams that this control plane knows; an upstream that is absent here is not deregistered."""

    upstreams: tuple[UpstreamRecord, ...]


class RegistryDelta(Message, frozen=True, tag="RegistryDelta"):
    """Upstreams whose state changed."""

    upstreams: tuple[UpstreamRecord, ...]


class ControlPlanes(Message, frozen=True, tag="ControlPlanes"):
    """The internal addresses of the control planes; the primary's is the first if it is known."""

    addresses: tuple[str, ...]
    primary: str


class PeerSample(Message, frozen=True, tag="PeerSample"):
    """The internal addresses of some other data planes."""

    addresses: tuple[str, ...]


class PeerUsage(Message, frozen=True, tag="UsageOfOthers"):
    """The usage by tenants at all other data planes, sent only by the primary.

    Attributes:
        used: Tokens (or requests) since the last message of this kind on this connection, by tenant.
        demand_per_s: The rate at which each tenant requests more there.
    """

    used: dict[str, float]
    demand_per_s: dict[str, float]


class PeerLoad(Message, frozen=True, tag="LoadOfOthers"):
    """The sum of the other data planes' load reports, by instance."""

    load: dict[str, tuple[float, float, float]]


class PeerDispatches(Message, frozen=True, tag="SendsOfOthers"):
    """The prompts that other data planes sent since the last message of this kind; it may be empty."""

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
