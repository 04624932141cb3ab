//! Datagrams between gateways.

use elderworks_types::{NodeId, Offset};
use serde::{Deserialize, Serialize};

use crate::feed::FeedHeartbeat;
use crate::gossip::Datagram;

/// A datagram between gateways.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GatewayDatagram {
    /// Of the failure detector.
    Gossip(Datagram),
    /// The sender's load on workers.
    Load(LoadReport),
    /// Asks how lately the receiver's configuration was the newest one. Returned in the answer.
    ProofAsked(u64),
    /// The answer.
    ProofTold(ConfigProofAnswer),
    /// What the sender has sent on for tenants.
    Quota(QuotaReport),
    /// How much the sender's callers ask for first parts of prompts.
    Parts(PrefixReport),
    /// What waits at the sender.
    Demand(DemandReport),
    /// Which zones' workers are to get nothing more, as far as the sender knows. Nodes of versions
    /// before this message pass it over.
    Zones(Vec<ZoneReport>),
    /// How far a reader of the log's streams has read. Passed over by earlier versions as well, which
    /// so are never asked for news.
    Beat(FeedHeartbeat),
    /// What engines that the sender reads keep of prompts. Passed over by earlier versions.
    Memory(MemoryReport),
    /// Whether the log answers the sender. Passed over by earlier versions.
    Log(LogReport),
    /// Between nodes that grant requests within tenants' quotas to each other. Passed over by earlier
    /// versions, which so never say that they grant.
    Lessor(LessorMessage),
}

/// What engines keep of prompts. It takes the place of earlier reports on the same engines.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemoryReport {
    /// The sender.
    pub node: NodeId,
    /// By engine.
    pub engines: Vec<EngineMemoryReport>,
}

/// What one engine keeps.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineMemoryReport {
    /// Stands for the engine's id.
    pub engine: u32,
    /// The start of the engine that this is about.
    pub born: u64,
    /// How long before the report the engine was heard, in milliseconds.
    pub age_ms: u32,
    /// Tokens kept of parts that turns ask for, by what stands for the part's name; 0 of those that
    /// are not kept. Nothing is known of parts that are left out.
    pub parts: Vec<(u32, u64)>,
}

/// What a node knows of the log from its own calls.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogReport {
    /// The sender.
    pub node: NodeId,
    /// For how long its earliest unanswered call has waited, if that is longer than usual, in
    /// microseconds.
    pub waits_us: Option<u64>,
    /// Time since the latest call began that it knows to have been answered, its own or another
    /// node's, in microseconds.
    pub answered_us: Option<u64>,
    /// Whether it takes the log to be silent. If not, it asks the receiver whether it has been
    /// answered since.
    pub is_silent: bool,
}

/// Between nodes that grant requests within tenants' quotas to each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LessorMessage {
    /// The sender grants requests.
    Introduction {
        /// The sender.
        node: NodeId,
        /// Its boot number.
        boot: u64,
        /// Whether the receiver has said the same just now.
        is_answer: bool,
    },
    /// Asks the tenant's lessor for one request.
    Asked {
        /// Returned in the answer.
        question: u64,
        /// The sender.
        node: NodeId,
        /// Stands for the tenant's name.
        tenant: u64,
        /// Whether the request begins a program.
        begins: bool,
    },
    /// The answer.
    Told {
        /// From the question.
        question: u64,
        /// What the lessor has decided.
        verdict: GrantDecision,
    },
}

/// What a lessor has decided on one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GrantDecision {
    /// It may be sent on, and counts.
    Granted,
    /// The quota holds no more now.
    Refused {
        /// When it is likely to hold the request, in milliseconds.
        pause_ms: u32,
        /// Whether there is room, but only for programs that have begun.
        is_held_back: bool,
    },
    /// The sender cannot tell.
    Unready,
}

/// The operator's latest wish for one zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneReport {
    /// The zone.
    pub zone: String,
    /// Position of the record on the log that says so; later wishes have larger ones.
    pub offset: Offset,
    /// Whether its workers are to get nothing more.
    pub is_on: bool,
}

/// How lately the sender's configuration was the newest one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigProofAnswer {
    /// From the question.
    pub question: u64,
    /// Version of the sender's configuration.
    pub version: u64,
    /// Age of the sender's proof when it answered, in microseconds.
    pub age_us: u64,
}

/// What one node has under way at workers. It takes the place of the node's earlier reports.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The sender.
    pub node: NodeId,
    /// Requests under way by key of the worker; workers without any are left out.
    pub counts: Vec<(u32, u32)>,
}

/// What one node has sent on for tenants that have a quota. It takes the place of the node's earlier
/// reports.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaReport {
    /// The sender.
    pub node: NodeId,
    /// By tenant; those with little use are left out.
    pub uses: Vec<TenantUseReport>,
}

/// What one node has sent on for one tenant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TenantUseReport {
    /// Stands for the tenant's name.
    pub tenant: u64,
    /// Requests sent on in the last window of quotas.
    pub sent: u32,
    /// Requests that were asked for in the last second.
    pub asked: u32,
}

/// How much one node's callers ask for first parts of prompts. It takes the place of the node's
/// earlier reports on that service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefixReport {
    /// The sender.
    pub node: NodeId,
    /// The service.
    pub service: String,
    /// By part; those with little demand are left out.
    pub uses: Vec<PrefixUsageReport>,
}

/// How much one part is asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefixUsageReport {
    /// Stands for the part's name.
    pub part: u32,
    /// Its length in tokens.
    pub tokens: u64,
    /// Turns that asked for it lately, in tenths.
    pub turn_tenths: u32,
}

/// What waits at one node for places at engines. It takes the place of the node's earlier reports.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DemandReport {
    /// The sender.
    pub node: NodeId,
    /// Services at which turns wait; none takes the report before back.
    pub services: Vec<ServiceDemandReport>,
    /// Tokens that the sender served lately, by what stands for the tenant's name; those served
    /// most.
    pub served: Vec<(u64, u64)>,
}

/// What waits at one node for one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceDemandReport {
    /// Stands for the service's name.
    pub service: u64,
    /// Turns that wait, by level of urgency; levels without any are left out.
    pub waiting: Vec<(u8, u32)>,
}
