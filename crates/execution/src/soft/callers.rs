//! Connections that wait for one call.

use std::collections::BTreeMap;

use elderworks_protocol::sidecar::{SubmissionId, SubmissionTag};

use crate::event::Connection;

/// Connections that wait for one call, each with the number of the chunk that it needs next;
/// `None` where only the end may be sent.
#[derive(Debug, Default)]
pub(crate) struct Callers {
    next_chunk: BTreeMap<Connection, Option<u32>>,
    /// Connections of which another copy of the submission may have been taken.
    resubmitted: BTreeMap<Connection, SubmissionId>,
}

impl Callers {
    /// Adds a connection, or corrects what it needs.
    pub fn attach(&mut self, connection: Connection, next_chunk: Option<u32>) {
        self.next_chunk.insert(connection, next_chunk);
    }

    /// Removes a connection.
    pub fn detach(&mut self, connection: Connection) {
        self.next_chunk.remove(&connection);
        self.resubmitted.remove(&connection);
    }

    /// Notes which submission a connection waits for.
    pub fn tag(&mut self, connection: Connection, submission: SubmissionTag) {
        if let Some(id) = submission.id_if_resubmitted() {
            self.resubmitted.insert(connection, id);
        }
    }

    /// Each connection, with its submission if a refusal must bind every owner.
    pub fn tagged(&self) -> Vec<(Connection, Option<SubmissionId>)> {
        let connections = self.next_chunk.keys();
        connections
            .map(|connection| (*connection, self.resubmitted.get(connection).copied()))
            .collect()
    }

    /// Whether nobody waits.
    pub fn is_empty(&self) -> bool {
        self.next_chunk.is_empty()
    }

    /// The connections.
    pub fn connections(&self) -> Vec<Connection> {
        self.next_chunk.keys().copied().collect()
    }

    /// The connections that need the chunk `index` now; they are taken to have it.
    pub fn due(&mut self, index: u32) -> Vec<Connection> {
        let mut due = Vec::new();
        for (connection, next) in &mut self.next_chunk {
            if *next == Some(index) {
                *next = Some(index + 1);
                due.push(*connection);
            }
        }
        due
    }
}
