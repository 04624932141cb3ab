//! The connections that wait for a call.

use std::collections::BTreeMap;

use elderworks_protocol::sidecar::{SubmissionId, SubmissionTag};

use crate::event::Connection;

/// The connections that wait for a call, each with the index of the next chunk to send; `None` if
/// only the outcome may be sent.
#[derive(Debug, Default)]
pub(crate) struct Callers {
    next_chunk: BTreeMap<Connection, Option<u32>>,
    /// Connections whose submission may also have been accepted by another node.
    resubmitted: BTreeMap<Connection, SubmissionId>,
}

impl Callers {
    /// Adds a connection or changes its next chunk.
    pub fn attach(&mut self, connection: Connection, next_chunk: Option<u32>) {
        self.next_chunk.insert(connection, next_chunk);
    }

    pub fn detach(&mut self, connection: Connection) {
        self.next_chunk.remove(&connection);
        self.resubmitted.remove(&connection);
    }

    /// Records the submission of a connection if another copy of it may exist.
    pub fn note_submission(&mut self, connection: Connection, submission: SubmissionTag) {
        if let Some(id) = submission.id_if_resubmitted() {
            self.resubmitted.insert(connection, id);
        }
    }

    /// Returns each connection, with its submission if a refusal has to be journalled before it is
    /// sent.
    pub fn with_resubmitted_ids(&self) -> Vec<(Connection, Option<SubmissionId>)> {
        let connections = self.next_chunk.keys();
        connections
            .map(|connection| (*connection, self.resubmitted.get(connection).copied()))
            .collect()
    }

    /// Returns whether no connection waits.
    pub fn is_empty(&self) -> bool {
        self.next_chunk.is_empty()
    }

    pub fn connections(&self) -> Vec<Connection> {
        self.next_chunk.keys().copied().collect()
    }

    /// Returns the connections whose next chunk is `index`, and advances them past it.
    pub fn take_due(&mut self, index: u32) -> Vec<Connection> {
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
