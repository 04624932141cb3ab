//! Reads that wait for a barrier.

use elderworks_types::{RunId, TenantId};

use crate::event::Connection;

/// Most reads that wait.
const MAX_PENDING_READS: usize = 1_024;

/// A read of a run.
#[derive(Debug)]
pub(crate) struct PendingRead {
    /// Where to reply.
    pub connection: Connection,
    /// Matches the reply.
    pub query: u64,
    /// On whose behalf.
    pub tenant: TenantId,
    /// The run.
    pub run: RunId,
}

/// Reads in two groups: those that the barrier in flight covers, and those that came after it.
#[derive(Debug, Default)]
pub(crate) struct ReadQueue {
    covered: Vec<PendingRead>,
    waiting: Vec<PendingRead>,
}

impl ReadQueue {
    /// Whether no more reads can wait.
    pub fn is_full(&self) -> bool {
        self.covered.len() + self.waiting.len() >= MAX_PENDING_READS
    }

    /// Adds a read.
    pub fn push(&mut self, read: PendingRead) {
        self.waiting.push(read);
    }

    /// Covers all that wait by a new barrier; `false` if one is in flight or nothing waits.
    pub fn begin_barrier(&mut self) -> bool {
        if !self.covered.is_empty() || self.waiting.is_empty() {
            return false;
        }
        self.covered = std::mem::take(&mut self.waiting);
        true
    }

    /// The barrier was read back: these reads can be answered.
    pub fn finish_barrier(&mut self) -> Vec<PendingRead> {
        std::mem::take(&mut self.covered)
    }

    /// Takes all reads out.
    pub fn take_all(&mut self) -> Vec<PendingRead> {
        let mut reads = std::mem::take(&mut self.covered);
        reads.append(&mut self.waiting);
        reads
    }
}
