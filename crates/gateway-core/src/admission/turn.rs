//! The properties of a turn that decide its position in the queue.

use std::time::Duration;

use elderworks_types::Timestamp;

use crate::tenants::TenantKey;

/// Whether work has already been done for a turn's program.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ProgramState {
    /// Earlier turns of the program have run, or its caller retries after a refusal; that work or
    /// waiting time would be lost if the turn failed.
    Started,
    /// The program's first turn, on its first try.
    New,
}

/// A turn that requests admission to an engine service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Turn {
    /// Urgency rank; 0 is the most urgent.
    pub urgency: u8,
    /// Tenant of the caller; `None` where the configuration has no tenants.
    pub tenant: Option<TenantKey>,
    /// Whether the program has already run turns.
    pub program_state: ProgramState,
    /// Deadline of the whole program.
    pub finish: Option<Timestamp>,
    /// Time after which the turn must not start any more: its caller gives up, or its deadline
    /// leaves no time to run it.
    pub latest_start: Timestamp,
    /// Length of the prompt in tokens.
    pub prompt_tokens: u64,
    /// Memory that the turn holds while it waits, in bytes.
    pub bytes: usize,
    /// A number that differs between turns; seeds the jitter of their retry times.
    pub seed: u64,
}

/// A turn in the queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueuedTurn {
    pub(super) urgency: u8,
    pub(super) excess: u8,
    pub(super) program_state: ProgramState,
    pub(super) finish: Option<Timestamp>,
    pub(super) arrived: Timestamp,
    pub(super) latest_start: Timestamp,
    pub(super) bytes: usize,
    pub(super) seed: u64,
}

/// Sort key of waiting turns; the smallest is released first.
///
/// Compares the urgency, then whether the program can still meet its deadline, the tenant's excess
/// over its share, whether the program has already run turns, the deadline and the arrival time.
pub(super) type Order = (u8, bool, u8, ProgramState, Timestamp, Timestamp);

impl QueuedTurn {
    /// Creates the queue entry of a turn; `excess` is the level by which its tenant exceeds its
    /// share.
    pub(super) fn of(turn: &Turn, excess: u8, now: Timestamp) -> Self {
        Self {
            urgency: turn.urgency,
            excess,
            program_state: turn.program_state,
            finish: turn.finish,
            arrived: now,
            latest_start: turn.latest_start,
            bytes: turn.bytes,
            seed: turn.seed,
        }
    }

    /// Returns whether the program will miss its deadline even if it needs just one short turn.
    pub(super) fn is_late(&self, now: Timestamp, min_turn_time: Duration) -> bool {
        self.finish
            .is_some_and(|finish| now + min_turn_time > finish)
    }

    pub(super) fn order(&self, now: Timestamp, min_turn_time: Duration) -> Order {
        let due = self.finish.unwrap_or(self.latest_start);
        (
            self.urgency,
            self.is_late(now, min_turn_time),
            self.excess,
            self.program_state,
            due,
            self.arrived,
        )
    }

    /// Returns the part of the sort key by which turns are grouped; the floor keeps each group from
    /// starving.
    pub(super) fn group(&self, now: Timestamp, min_turn_time: Duration) -> (u8, bool, u8) {
        let is_late = self.is_late(now, min_turn_time);
        (self.urgency, is_late, self.excess)
    }

    /// Returns how much longer the turn may wait.
    pub(super) fn patience(&self, now: Timestamp) -> Duration {
        self.latest_start.since(now)
    }
}
