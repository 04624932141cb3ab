//! Copies of one request that a node has been sent and has not answered.
//!
//! A connection keeps its messages in order and a node answers each copy that it does not take, so
//! once every copy was refused, none was taken. A copy that can no longer be answered leaves that
//! open.

use std::net::SocketAddr;

/// Unanswered copies of a request, all with one node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Copies {
    node: Option<SocketAddr>,
    unanswered: u32,
}

impl Copies {
    /// Whether any is with the node at `address`.
    pub fn are_with(&self, address: SocketAddr) -> bool {
        self.unanswered > 0 && self.node == Some(address)
    }

    /// Whether none is left without an answer.
    pub fn are_answered(&self) -> bool {
        self.unanswered == 0
    }

    /// Notes a copy sent to `node`. Tells whether copies at another node are left behind, which
    /// may still be taken there.
    pub fn note_sent(&mut self, node: SocketAddr) -> bool {
        let leaves_some = self.unanswered > 0 && !self.are_with(node);
        if leaves_some {
            self.unanswered = 0;
        }
        self.node = Some(node);
        self.unanswered += 1;
        leaves_some
    }

    /// Notes that `node` has answered a copy and not taken it.
    pub fn note_answer(&mut self, node: SocketAddr) {
        if self.are_with(node) {
            self.unanswered -= 1;
        }
    }
}
