//! Queue of reads that wait for a barrier record to be read back.

use elderworks_types::{RunId, TenantId};

use crate::event::Connection;

/// Maximum number of waiting reads.
const MAX_PENDING_READS: usize = 1_024;

/// A request to read a run.
#[derive(Debug)]
pub(crate) struct PendingRead {
    /// Connection for the reply.
    pub connection: Connection,
    /// Identifier of the query, repeated in the reply.
    pub query: u64,
    /// The tenant that makes the request.
    pub tenant: TenantId,
    /// The run to read.
    pub run: RunId,
}

/// Waiting reads: those covered by the barrier in flight, and those that arrived after it.
#[derive(Debug, Default)]
pub(crate) struct ReadQueue {
    covered: Vec<PendingRead>,
    waiting: Vec<PendingRead>,
}

impl ReadQueue {
    /// Returns whether the maximum number of reads is waiting.
    pub fn is_full(&self) -> bool {
        self.covered.len() + self.waiting.len() >= MAX_PENDING_READS
    }

    /// Adds a read that the barrier in flight does not cover.
    pub fn push(&mut self, read: PendingRead) {
        self.waiting.push(read);
    }

    /// Covers all waiting reads by a new barrier; returns whether the barrier has to be appended.
    /// Returns `false` if a barrier is in flight or no read waits.
    pub fn start_barrier(&mut self) -> bool {
        if !self.covered.is_empty() || self.waiting.is_empty() {
            return false;
        }
        self.covered = std::mem::take(&mut self.waiting);
        true
    }

    /// Removes and returns the reads that can be answered after the barrier was read back.
    pub fn finish_barrier(&mut self) -> Vec<PendingRead> {
        std::mem::take(&mut self.covered)
    }

    /// Removes and returns all reads.
    pub fn take_all(&mut self) -> Vec<PendingRead> {
        let mut reads = std::mem::take(&mut self.covered);
        reads.append(&mut self.waiting);
        reads
    }
}
