//! Counts the bytes that go between zones, by what they are for.

use std::collections::BTreeMap;

use elderworks_protocol::gateway::GatewayDatagram;
use elderworks_protocol::ledger::{GatewayFrame, LedgerRequest};
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;

/// What bytes between zones are for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TrafficKind {
    /// Requests to workers, with their headers.
    Requests,
    /// Bodies of workers' answers.
    Answers,
    /// Questions to a partition's owner.
    LedgerRequests,
    /// Turns that an owner is to keep.
    KeptTurns,
    /// An owner's replies, with the conversations of turns that begin.
    LedgerReplies,
    /// What readers of the log's streams tell.
    News,
    /// What nodes tell of their load and demand.
    Loads,
    /// What nodes tell of tenants' use.
    Quotas,
    /// The failure detector.
    Gossip,
    /// Anything else between nodes.
    Others,
}

impl TrafficKind {
    const ALL: [Self; 10] = [
        Self::Requests,
        Self::Answers,
        Self::LedgerRequests,
        Self::KeptTurns,
        Self::LedgerReplies,
        Self::News,
        Self::Loads,
        Self::Quotas,
        Self::Gossip,
        Self::Others,
    ];

    fn name(self) -> &'static str {
        match self {
            Self::Requests => "requests",
            Self::Answers => "answers",
            Self::LedgerRequests => "ledger_requests",
            Self::KeptTurns => "kept_turns",
            Self::LedgerReplies => "ledger_replies",
            Self::News => "news",
            Self::Loads => "loads",
            Self::Quotas => "quotas",
            Self::Gossip => "gossip",
            Self::Others => "others",
        }
    }

    /// What a frame is for.
    pub(crate) fn of_frame(frame: &GatewayFrame) -> Self {
        match frame {
            GatewayFrame::Request { request, .. } => match request {
                LedgerRequest::Finish(finish) if finish.kept.is_some() => Self::KeptTurns,
                _ => Self::LedgerRequests,
            },
            GatewayFrame::Reply { .. } | GatewayFrame::Arrived { .. } => Self::LedgerReplies,
            GatewayFrame::FeedAsked { .. } | GatewayFrame::FeedTold { .. } => Self::News,
            _ => Self::Others,
        }
    }

    /// What a datagram is for.
    pub(crate) fn of_datagram(datagram: &GatewayDatagram) -> Self {
        match datagram {
            GatewayDatagram::Gossip(_) => Self::Gossip,
            GatewayDatagram::Load(_) | GatewayDatagram::Parts(_) | GatewayDatagram::Demand(_) => {
                Self::Loads
            }
            GatewayDatagram::Quota(_) => Self::Quotas,
            GatewayDatagram::Beat(_) => Self::News,
            _ => Self::Others,
        }
    }
}

/// Label of bytes between zones.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct FarLabel {
    /// What they are for.
    kind: &'static str,
}

/// Bytes that this process has sent to other zones, and those of workers' answers from there.
#[derive(Clone, Debug, Default)]
pub(crate) struct FarBytes {
    pub(crate) family: Family<FarLabel, Counter>,
}

impl FarBytes {
    /// Counts bytes.
    pub(crate) fn note(&self, kind: TrafficKind, bytes: usize) {
        self.counter(kind).inc_by(bytes as u64);
    }

    /// All bytes so far, by what they were for, without those that were none.
    pub(crate) fn totals(&self) -> BTreeMap<&'static str, u64> {
        let totals = TrafficKind::ALL.map(|kind| (kind.name(), self.counter(kind).get()));
        totals.into_iter().filter(|(_, bytes)| *bytes > 0).collect()
    }

    fn counter(&self, kind: TrafficKind) -> Counter {
        let label = FarLabel { kind: kind.name() };
        self.family.get_or_create(&label).clone()
    }
}
