//! Counts the bytes sent between zones by purpose.

use std::collections::BTreeMap;

use elderworks_protocol::gateway::GatewayDatagram;
use elderworks_protocol::ledger::{GatewayFrame, LedgerRequest};
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;

/// The purpose of bytes sent between zones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TrafficKind {
    /// Requests to workers, including headers.
    Requests,
    /// Response bodies of workers.
    Answers,
    /// Requests to a partition's owner.
    LedgerRequests,
    /// Requests that finish a turn and carry its content to be kept by the owner.
    KeptTurns,
    /// Replies of an owner, including the conversations of turns that start.
    LedgerReplies,
    /// Heartbeats and answers of the readers of the log's streams.
    StreamUpdates,
    /// Reports of load and demand.
    Loads,
    /// Reports of tenants' quota use.
    Quotas,
    /// Versions that began streams.
    StreamOrigins,
    /// Requests under which workers ended.
    WorkerEnds,
    /// Datagrams of the failure detector.
    Gossip,
    /// All other traffic between nodes.
    Others,
}

impl TrafficKind {
    const ALL: [Self; 12] = [
        Self::Requests,
        Self::Answers,
        Self::LedgerRequests,
        Self::KeptTurns,
        Self::LedgerReplies,
        Self::StreamUpdates,
        Self::Loads,
        Self::Quotas,
        Self::StreamOrigins,
        Self::WorkerEnds,
        Self::Gossip,
        Self::Others,
    ];

    /// Returns the value of the metric label.
    fn name(self) -> &'static str {
        match self {
            Self::Requests => "requests",
            Self::Answers => "answers",
            Self::LedgerRequests => "ledger_requests",
            Self::KeptTurns => "kept_turns",
            Self::LedgerReplies => "ledger_replies",
            Self::StreamUpdates => "news",
            Self::Loads => "loads",
            Self::Quotas => "quotas",
            Self::StreamOrigins => "stream_origins",
            Self::WorkerEnds => "worker_ends",
            Self::Gossip => "gossip",
            Self::Others => "others",
        }
    }

    /// Returns the purpose of a frame.
    pub(crate) fn of_frame(frame: &GatewayFrame) -> Self {
        match frame {
            GatewayFrame::Request { request, .. } => match request {
                LedgerRequest::Finish(finish) if finish.kept.is_some() => Self::KeptTurns,
                _ => Self::LedgerRequests,
            },
            GatewayFrame::Reply { .. } | GatewayFrame::Arrived { .. } => Self::LedgerReplies,
            GatewayFrame::FeedAsked { .. } | GatewayFrame::FeedTold { .. } => Self::StreamUpdates,
            _ => Self::Others,
        }
    }

    /// Returns the purpose of a datagram.
    pub(crate) fn of_datagram(datagram: &GatewayDatagram) -> Self {
        match datagram {
            GatewayDatagram::Gossip(_) => Self::Gossip,
            GatewayDatagram::Load(_) | GatewayDatagram::Parts(_) | GatewayDatagram::Demand(_) => {
                Self::Loads
            }
            GatewayDatagram::Quota(_) | GatewayDatagram::QuotaHistory(_) => Self::Quotas,
            GatewayDatagram::Beat(_) => Self::StreamUpdates,
            GatewayDatagram::Versions(_) => Self::StreamOrigins,
            GatewayDatagram::Requests(_) => Self::WorkerEnds,
            _ => Self::Others,
        }
    }
}

/// Metric label of bytes sent between zones.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct CrossZoneLabel {
    /// Purpose of the bytes.
    kind: &'static str,
}

/// Counters of the bytes that this process has sent to other zones, and of worker responses received
/// from there.
#[derive(Clone, Debug, Default)]
pub(crate) struct CrossZoneBytes {
    pub(crate) family: Family<CrossZoneLabel, Counter>,
}

impl CrossZoneBytes {
    /// Adds bytes to a counter.
    pub(crate) fn note(&self, kind: TrafficKind, bytes: usize) {
        self.counter(kind).inc_by(bytes as u64);
    }

    /// Returns the nonzero totals by purpose.
    pub(crate) fn totals(&self) -> BTreeMap<&'static str, u64> {
        let totals = TrafficKind::ALL.map(|kind| (kind.name(), self.counter(kind).get()));
        totals.into_iter().filter(|(_, bytes)| *bytes > 0).collect()
    }

    fn counter(&self, kind: TrafficKind) -> Counter {
        let label = CrossZoneLabel { kind: kind.name() };
        self.family.get_or_create(&label).clone()
    }
}
