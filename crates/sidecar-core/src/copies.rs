//! Tracking of the copies of a request that were sent to a node and not yet answered.
//!
//! Connections preserve message order and a node answers every copy that it rejects. Once all
//! copies have been rejected, the request is therefore known not to have been accepted. If a copy
//! can no longer be answered, whether it was accepted remains unknown.

use std::net::SocketAddr;

/// The unanswered copies of a request, all sent to the same node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UnansweredCopies {
    node: Option<SocketAddr>,
    unanswered: u32,
}

impl UnansweredCopies {
    /// Returns whether the node at `address` still has to answer a copy.
    pub fn has_unanswered_at(&self, address: SocketAddr) -> bool {
        self.unanswered > 0 && self.node == Some(address)
    }

    /// Returns whether every copy has been answered.
    pub fn all_answered(&self) -> bool {
        self.unanswered == 0
    }

    /// Records a copy sent to `node`. Returns whether this abandons unanswered copies at another
    /// node, which that node may still accept.
    pub fn record_sent(&mut self, node: SocketAddr) -> bool {
        let abandons_copies = self.unanswered > 0 && !self.has_unanswered_at(node);
        if abandons_copies {
            self.unanswered = 0;
        }
        self.node = Some(node);
        self.unanswered += 1;
        abandons_copies
    }

    /// Records that `node` has rejected a copy.
    pub fn record_answer(&mut self, node: SocketAddr) {
        if self.has_unanswered_at(node) {
            self.unanswered -= 1;
        }
    }
}
