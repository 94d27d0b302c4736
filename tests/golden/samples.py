"""One sample of each message between the system's processes; the golden files contain their encodings."""

from __future__ import annotations

from madderwind.messages.distribution import (
    ClockReading,
    ClockRequest,
    CommandRecord,
    ConfigurationApplied,
    ConfigurationDelta,
    ConfigurationSnapshot,
    ControlPlanes,
    DispatchedPrompt,
    DispatchReport,
    FetchConfiguration,
    Freshness,
    Goodbye,
    LoadReport,
    PeerDispatches,
    PeerLoad,
    PeerSample,
    PeerUsage,
    RegistryDelta,
    RegistrySnapshot,
    Subscribe,
    ToControlPlane,
    ToDataPlane,
    UpstreamRecord,
    UsageReport,
)
from madderwind.messages.peering import (
    CommandReply,
    FinalStateConfirmed,
    FinalStateNotice,
    ForwardCommand,
    ForwardRead,
    Hello,
    Liveness,
    LivenessReport,
    PeerFrame,
    ReadReply,
    RegistryGossip,
    RegistryRequest,
)
from madderwind.messages.replication import (
    Accept,
    Accepted,
    AcceptedBroadcast,
    AppendAck,
    AppendEntries,
    AppendRejected,
    Heartbeat,
    HeartbeatAck,
    InstallSnapshot,
    JoinRequest,
    LogEntry,
    Member,
    PeerStatus,
    Prepare,
    Promise,
    ProposalNumber,
    Rejected,
    SnapshotAck,
    TransferLeadership,
    View,
    ViewNotice,
)
from madderwind.messages.status import ControlPlaneStatus, DataPlaneStatus, UpstreamStatus

FIRST_MEMBER = Member("incarnation-1", "10.0.0.1:7500", "10.0.0.1:7000", "zone-a")
SECOND_MEMBER = Member("incarnation-2", "10.0.0.2:7500", "10.0.0.2:7000", "zone-b")
VIEW = View(
    7,
    FIRST_MEMBER.incarnation,
    (FIRST_MEMBER.incarnation, SECOND_MEMBER.incarnation),
    (FIRST_MEMBER, SECOND_MEMBER),
)
NEXT_VIEW = View(8, SECOND_MEMBER.incarnation, (SECOND_MEMBER.incarnation,), (FIRST_MEMBER, SECOND_MEMBER))
LOWER_PROPOSAL = ProposalNumber(3, FIRST_MEMBER.incarnation, "process-1")
HIGHER_PROPOSAL = ProposalNumber(4, SECOND_MEMBER.incarnation, "process-2")
PEERS = (PeerStatus(SECOND_MEMBER, 12.5, True, False),)
ENTRY = LogEntry(41, 7, "update", 17, b'{"version":18}')
UPSTREAM = UpstreamRecord("i-1", "chat", "10.0.1.1:8000", "zone-a", "v3", 16, "draining", 9, 250.0, 1500.0)
PROMPT = DispatchedPrompt("i-1", ("part-1", "part-2"), (128, 64))

REPLICATION_SAMPLES: tuple[PeerFrame, ...] = (
    JoinRequest(FIRST_MEMBER.incarnation, "", FIRST_MEMBER, 7, True),
    ViewNotice(FIRST_MEMBER.incarnation, SECOND_MEMBER.incarnation, VIEW),
    Prepare(FIRST_MEMBER.incarnation, SECOND_MEMBER.incarnation, VIEW, LOWER_PROPOSAL, True),
    Promise(
        SECOND_MEMBER.incarnation,
        FIRST_MEMBER.incarnation,
        8,
        HIGHER_PROPOSAL,
        LOWER_PROPOSAL,
        NEXT_VIEW,
        PEERS,
    ),
    Accept(FIRST_MEMBER.incarnation, SECOND_MEMBER.incarnation, VIEW, LOWER_PROPOSAL, NEXT_VIEW),
    Accepted(SECOND_MEMBER.incarnation, FIRST_MEMBER.incarnation, 8, LOWER_PROPOSAL),
    AcceptedBroadcast(SECOND_MEMBER.incarnation, FIRST_MEMBER.incarnation, LOWER_PROPOSAL, NEXT_VIEW),
    Rejected(SECOND_MEMBER.incarnation, FIRST_MEMBER.incarnation, 8, LOWER_PROPOSAL, HIGHER_PROPOSAL, True),
    Heartbeat(FIRST_MEMBER.incarnation, SECOND_MEMBER.incarnation, 7, 99, 41, 3.5, 98, PEERS),
    HeartbeatAck(SECOND_MEMBER.incarnation, FIRST_MEMBER.incarnation, 7, 99, 8, 40, True, False),
    AppendEntries(FIRST_MEMBER.incarnation, SECOND_MEMBER.incarnation, 7, 40, 6, (ENTRY,), 39),
    AppendAck(SECOND_MEMBER.incarnation, FIRST_MEMBER.incarnation, 7, 41),
    AppendRejected(SECOND_MEMBER.incarnation, FIRST_MEMBER.incarnation, 7, 40, 38),
    InstallSnapshot(FIRST_MEMBER.incarnation, SECOND_MEMBER.incarnation, 7, 6, 40, 6, 128, 256, b"state"),
    SnapshotAck(SECOND_MEMBER.incarnation, FIRST_MEMBER.incarnation, 7, 40, 133),
    TransferLeadership(FIRST_MEMBER.incarnation, SECOND_MEMBER.incarnation, 7),
)

PEERING_SAMPLES: tuple[PeerFrame, ...] = (
    Hello("10.0.0.1:7500"),
    RegistryGossip((UPSTREAM,)),
    FinalStateNotice(UPSTREAM),
    FinalStateConfirmed("i-1", "gone"),
    RegistryRequest(),
    LivenessReport((Liveness("i-1", 9, 15.0),)),
    ForwardCommand(5, "replace", 17, b'{"version":18}'),
    CommandReply(5, "stale base", 18, "version", "18 is not above 18"),
    ForwardRead(6),
    ReadReply(6, True, 18, b'{"version":18}'),
)

TO_CONTROL_PLANE_SAMPLES: tuple[ToControlPlane, ...] = (
    Subscribe("front-1", "process-1", "10.0.2.1:7501", "zone-a", 17),
    FetchConfiguration(17),
    ConfigurationApplied(18),
    UsageReport(3, {"tenant-1": 12.5}, {"tenant-1": 2.5}),
    LoadReport({"i-1": (100.0, 3.0, 900.0)}),
    DispatchReport((PROMPT,)),
    ClockRequest(1234.5),
    Goodbye(),
)

TO_DATA_PLANE_SAMPLES: tuple[ToDataPlane, ...] = (
    Freshness(18, 7, 3.5, True, 89, 5678.5),
    ClockReading(1234.5, 5678.5),
    ConfigurationSnapshot(18, b'{"version":18}'),
    ConfigurationDelta(17, 18, (CommandRecord(18, 17, "update", b'{"version":18}'),)),
    RegistrySnapshot((UPSTREAM,)),
    RegistryDelta((UPSTREAM,)),
    ControlPlanes(("10.0.0.1:7500", "10.0.0.2:7500"), "10.0.0.1:7500"),
    PeerSample(("10.0.2.2:7501",)),
    PeerUsage({"tenant-1": 100.0}, {"tenant-1": 20.0}),
    PeerLoad({"i-1": (50.0, 2.0, 450.0)}),
    PeerDispatches((PROMPT,)),
)

STATUS = ControlPlaneStatus(
    node="core-1",
    address="10.0.0.1:7500",
    zone="zone-a",
    is_primary=True,
    primary="10.0.0.1:7500",
    epoch=7,
    committed_version=18,
    members=("10.0.0.1:7500", "10.0.0.2:7500"),
    in_sync=("10.0.0.1:7500",),
    fresh_age_ms=3.5,
    data_planes=(DataPlaneStatus("front-1", "10.0.2.1:7501", "zone-a", 17, "following", 1),),
    upstreams=(UpstreamStatus("i-1", "chat", "10.0.1.1:8000", "zone-a", "ready", 15.0),),
)
