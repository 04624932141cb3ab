//! Datagrams exchanged between gateways.
//!
//! Gateways ignore datagrams of kinds that they don't know, so later versions may append variants to
//! [`GatewayDatagram`].

use elderworks_types::{NodeId, Offset};
use serde::{Deserialize, Serialize};

use crate::feed::FeedHeartbeat;
use crate::gossip::Datagram;

/// A datagram between gateways.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GatewayDatagram {
    /// A datagram of the failure detector.
    Gossip(Datagram),
    /// The load that the sender puts on workers.
    Load(LoadReport),
    /// Requests the age of the receiver's proof that its configuration is current. The number is
    /// repeated in the reply.
    ProofAsked(u64),
    /// Reply to [`Self::ProofAsked`].
    ProofTold(ConfigProofAnswer),
    /// Requests that the sender has forwarded for each tenant.
    Quota(QuotaReport),
    /// The demand of the sender's callers for prompt prefixes.
    Parts(PrefixReport),
    /// Turns waiting at the sender.
    Demand(DemandReport),
    /// Evacuation state of zones, as known to the sender. Ignored by versions before this variant.
    Zones(Vec<ZoneReport>),
    /// A log reader's heartbeat. Ignored by earlier versions, which send none and therefore never
    /// receive a [`FeedRequest`](crate::feed::FeedRequest).
    Beat(FeedHeartbeat),
    /// Prompt prefixes held by the engines that the sender polls. Ignored by earlier versions.
    Memory(MemoryReport),
    /// Whether the log responds to the sender. Ignored by earlier versions.
    Log(LogReport),
    /// A message of the protocol by which lessors grant quota. Ignored by earlier versions, which never
    /// introduce themselves as lessors.
    Lessor(LessorMessage),
    /// A message by which a process that has started learns what the process before it forwarded.
    /// Ignored by earlier versions.
    QuotaHistory(QuotaHistoryMessage),
    /// A message about the software versions of workers and of the streams that they began. Ignored by
    /// earlier versions.
    Versions(VersionMessage),
    /// A message about requests under which workers ended. Ignored by earlier versions.
    Requests(RequestMessage),
}

/// A message about requests under which workers ended. Requests and workers are given by their hashes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RequestMessage {
    /// Requests under which workers ended.
    Ended {
        /// The requests.
        requests: Vec<EndedReport>,
    },
    /// Asks for everything that the receiver knows; sent by nodes that have started.
    Asked,
    /// Reply to [`Self::Asked`], in one or several datagrams.
    Told {
        /// Time for which the sender has received reports, in milliseconds.
        known_ms: u64,
        /// The requests.
        requests: Vec<EndedReport>,
    },
    /// The sender has sent such a request to a worker.
    Placed {
        /// The try of the request.
        attempt: u64,
        /// The worker.
        worker: u32,
        /// Number of workers that ended under it.
        ended: u32,
    },
    /// A request reported by [`Self::Placed`] no longer runs at the worker.
    Released {
        /// The try of the request.
        attempt: u64,
        /// The worker.
        worker: u32,
    },
    /// Asks what the receiver knows of these requests; answered by [`Self::Ended`].
    AskedAbout {
        /// The requests.
        requests: Vec<u64>,
    },
    /// Requests that were left without an answer at workers which may have ended. Sent beside
    /// [`Self::Ended`] and [`Self::Told`]; ignored by earlier versions.
    Possible {
        /// The requests.
        requests: Vec<EndedReport>,
    },
    /// Requests that were left without an answer at workers which outlived that, as the node shows that
    /// had the exchanges. Sent beside [`Self::Possible`]; ignored by earlier versions.
    Outlived {
        /// The requests.
        requests: Vec<EndedReport>,
    },
}

/// The workers that ended under a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedReport {
    /// The request, or one try of it.
    pub request: u64,
    /// What the hash stands for.
    pub kind: RequestKind,
    /// Time since the last of the ends, in milliseconds.
    pub age_ms: u32,
    /// The exchanges with the workers: of each the upper bits of the worker's hash, and lower bits that
    /// tell the exchanges with one worker apart. Earlier versions send the worker's whole hash.
    pub workers: Vec<u32>,
}

/// The record in the platform's log of what one node noted of requests under which workers ended.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndRecord {
    /// Requests with the workers that ended.
    pub ended: Vec<EndedReport>,
    /// Requests with workers that may have ended.
    pub possible: Vec<EndedReport>,
}

/// What a hash of a request stands for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RequestKind {
    /// One try of a caller.
    Attempt,
    /// The content of one request.
    Content,
    /// Content that requests of several callers may have.
    SharedContent,
}

/// A message about the software versions of workers and of the streams that they began. Versions,
/// streams, services and workers are given by their hashes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum VersionMessage {
    /// Streams that the sender has begun, with the version of the worker that sent the first event.
    Begun {
        /// Stream and version.
        streams: Vec<(u64, u32)>,
    },
    /// Asks which version began a stream.
    Asked {
        /// Correlation id, repeated in the reply.
        question: u64,
        /// The stream.
        stream: u64,
        /// The service that is to resume it.
        service: u64,
    },
    /// Reply to [`Self::Asked`].
    Told {
        /// Correlation id of the question.
        question: u64,
        /// Version that began the stream, if the sender knows it.
        origin: Option<u32>,
        /// Versions of the service.
        versions: VersionsReport,
    },
    /// A reader's statement to the nodes that do not read the log.
    InUse {
        /// Services and their versions.
        services: Vec<(u64, VersionsReport)>,
    },
    /// Asks a reader for the versions of workers.
    WorkersAsked {
        /// The workers.
        workers: Vec<u32>,
    },
    /// Reply to [`Self::WorkersAsked`].
    WorkersTold {
        /// Names of versions.
        versions: Vec<String>,
        /// Workers and the positions of their versions in `versions`.
        workers: Vec<(u32, u32)>,
    },
}

/// The versions at which a service's streams may have begun, as far as the sender knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum VersionsReport {
    /// The sender doesn't know.
    Unknown,
    /// Only this version was seen, but not for long enough.
    Recent(u32),
    /// Only this version was seen for long enough, but the records of workers were not read lately.
    Stale(u32),
    /// Every stream that can still be resumed began at this version.
    Sole(u32),
    /// Several versions were in use.
    Several,
}

/// A message about the requests that an earlier process of a node forwarded for tenants with a quota.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuotaHistoryMessage {
    /// Asks what the receiver has heard from the process that ran before the sender's.
    Asked {
        /// The sender.
        node: NodeId,
        /// Time since the sender's process started, in milliseconds.
        uptime_ms: u64,
    },
    /// Reply to [`Self::Asked`] of a node that heard from the earlier process.
    Told {
        /// Age of the last report of the earlier process, in milliseconds.
        report_age_ms: u64,
        /// One entry per reported tenant.
        tenants: Vec<TenantHistory>,
    },
}

/// Requests that all nodes forwarded in the last quota window for the tenants of a group, as recorded in the
/// log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaUseRecord {
    /// One entry per tenant that used more than a small part of its quota.
    pub tenants: Vec<TenantHistory>,
}

/// Requests that one or more processes forwarded for one tenant in the last quota window.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TenantHistory {
    /// Hash of the tenant's name.
    pub tenant: u64,
    /// Age in milliseconds and number of requests, oldest first.
    pub sent: Vec<(u32, u32)>,
}

/// Prompt prefixes held by engines. Replaces earlier reports about the same engines.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemoryReport {
    /// The sender.
    pub node: NodeId,
    /// One report per engine.
    pub engines: Vec<EngineMemoryReport>,
}

/// Prompt prefixes held by one engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineMemoryReport {
    /// Hash of the engine's id.
    pub engine: u32,
    /// The start of the engine to which the report applies; larger for later starts.
    pub born: u64,
    /// Age of the engine's data when the report was sent, in milliseconds.
    pub age_ms: u32,
    /// Hash of a prefix's name and the number of its tokens that the engine holds, 0 if it holds none.
    /// Nothing is known about prefixes that aren't listed.
    pub parts: Vec<(u32, u64)>,
}

/// What a node has observed about the log's responsiveness.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogReport {
    /// The sender.
    pub node: NodeId,
    /// How long the earliest unanswered call has been pending, in microseconds; set only if that is
    /// longer than usual.
    pub waits_us: Option<u64>,
    /// Time since the start of the latest call, by this or another node, that is known to have been
    /// answered, in microseconds.
    pub answered_us: Option<u64>,
    /// Whether the sender considers the log unresponsive. If not, the report asks the receiver whether
    /// the log has answered the receiver since.
    pub is_silent: bool,
}

/// A message between nodes that grant each other requests within tenants' quotas.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LessorMessage {
    /// Announces that the sender grants requests.
    Introduction {
        /// The sender.
        node: NodeId,
        /// Identifies the sender's process start.
        boot: u64,
        /// Whether this replies to an introduction by the receiver.
        is_answer: bool,
    },
    /// Asks the tenant's lessor to grant one request.
    Asked {
        /// Correlation id, repeated in the reply.
        question: u64,
        /// The sender.
        node: NodeId,
        /// Hash of the tenant's name.
        tenant: u64,
        /// Whether it is the first request of a program.
        begins: bool,
    },
    /// Reply to [`Self::Asked`].
    Told {
        /// Correlation id of the request.
        question: u64,
        /// The lessor's decision.
        verdict: GrantDecision,
    },
}

/// A lessor's decision on one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GrantDecision {
    /// The request may be forwarded and counts towards the quota.
    Granted,
    /// The quota currently has no room for the request.
    Refused {
        /// Time after which the request is likely to fit, in milliseconds.
        pause_ms: u32,
        /// Whether the remaining quota is reserved for programs that have already started.
        is_held_back: bool,
    },
    /// The sender cannot decide, for example because it doesn't know the tenant's quota yet.
    Unready,
}

/// The latest evacuation state of one zone, as set by the operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneReport {
    /// The zone.
    pub zone: String,
    /// Offset of the record that sets this state; a larger offset takes precedence.
    pub offset: Offset,
    /// Whether the zone is evacuated, that is, its workers receive no further work.
    pub is_on: bool,
}

/// Proof of how recently the sender's configuration was known to be current.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigProofAnswer {
    /// Correlation id of the request.
    pub question: u64,
    /// Version of the sender's configuration.
    pub version: u64,
    /// Age of the sender's proof at the time of the reply, in microseconds.
    pub age_us: u64,
}

/// One node's open requests at workers. Replaces the node's earlier reports.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The sender.
    pub node: NodeId,
    /// Hash of a worker's id and the number of open requests; workers without any are omitted.
    pub counts: Vec<(u32, u32)>,
}

/// Requests that one node has forwarded for tenants with a quota. Replaces the node's earlier
/// reports.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaReport {
    /// The sender.
    pub node: NodeId,
    /// One report per tenant; tenants with low usage are omitted.
    pub uses: Vec<TenantUseReport>,
}

/// Requests that one node has received and forwarded for one tenant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TenantUseReport {
    /// Hash of the tenant's name.
    pub tenant: u64,
    /// Requests forwarded within the last quota window.
    pub sent: u32,
    /// Requests received in the last second, including refused ones.
    pub asked: u32,
}

/// The demand of one node's callers for prompt prefixes. Replaces the node's earlier reports about
/// the same service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefixReport {
    /// The sender.
    pub node: NodeId,
    /// The service.
    pub service: String,
    /// One report per prefix; prefixes with little demand are omitted.
    pub uses: Vec<PrefixUsageReport>,
}

/// Demand for one prompt prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefixUsageReport {
    /// Hash of the prefix's name.
    pub part: u32,
    /// Length of the prefix in tokens.
    pub tokens: u64,
    /// Decaying count of recent turns that use the prefix, in tenths of a turn.
    pub turn_tenths: u32,
}

/// Turns waiting at one node for a slot at an engine. Replaces the node's earlier reports.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DemandReport {
    /// The sender.
    pub node: NodeId,
    /// Services with waiting turns; an empty list withdraws the previous report.
    pub services: Vec<ServiceDemandReport>,
    /// Hash of a tenant's name and the number of tokens that the sender served to it recently, for the
    /// tenants with the most tokens.
    pub served: Vec<(u64, u64)>,
}

/// Turns waiting at one node for one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceDemandReport {
    /// Hash of the service's name.
    pub service: u64,
    /// Priority level and the number of waiting turns; levels without any are omitted.
    pub waiting: Vec<(u8, u32)>,
}
