//! What the admission knows of a turn, and the order that follows from it.

use std::time::Duration;

use elderworks_types::Timestamp;

use crate::tenants::TenantKey;

/// Whether work was done for a turn's program already.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ProgramState {
    /// Earlier turns of the program have run, or its caller came back after a refusal: what was
    /// done or waited for is lost if it fails now.
    Started,
    /// Nothing has been done for it.
    New,
}

/// A turn that asks to go to an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Turn {
    /// Its rank; 0 is the most urgent.
    pub urgency: u8,
    /// Whose it is; `None` where the configuration has no tenants.
    pub tenant: Option<TenantKey>,
    /// Whether its program has begun.
    pub program_state: ProgramState,
    /// When the whole program should be over.
    pub finish: Option<Timestamp>,
    /// When the turn is of no use any more if it has not gone: its caller gives up, or its
    /// deadline leaves no time to run it.
    pub latest_start: Timestamp,
    /// Tokens of its prompt.
    pub prompt_tokens: u64,
    /// Memory that it holds while it waits, in bytes.
    pub bytes: usize,
    /// Differs between turns, to spread those who are asked to come back.
    pub seed: u64,
}

/// A turn that waits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueuedTurn {
    pub(super) urgency: u8,
    pub(super) excess: u8,
    pub(super) standing: ProgramState,
    pub(super) finish: Option<Timestamp>,
    pub(super) arrived: Timestamp,
    pub(super) latest_start: Timestamp,
    pub(super) bytes: usize,
    pub(super) spread: u64,
}

/// The order among turns that wait; the least goes first.
///
/// Urgency comes first. Within it, a program that can no longer end in time gives way to those that
/// can; then come tenants that had less than their share, then programs that have begun, then the
/// one whose time is over first.
pub(super) type Order = (u8, bool, u8, ProgramState, Timestamp, Timestamp);

impl QueuedTurn {
    /// `excess` is by how much its tenant has had more than its share.
    pub(super) fn of(turn: &Turn, excess: u8, now: Timestamp) -> Self {
        Self {
            urgency: turn.urgency,
            excess,
            standing: turn.program_state,
            finish: turn.finish,
            arrived: now,
            latest_start: turn.latest_start,
            bytes: turn.bytes,
            spread: turn.seed,
        }
    }

    /// Whether its program surely ends late: even one turn at the least takes longer than is left.
    pub(super) fn is_late(&self, now: Timestamp, least_turn: Duration) -> bool {
        self.finish.is_some_and(|finish| now + least_turn > finish)
    }

    pub(super) fn order(&self, now: Timestamp, least_turn: Duration) -> Order {
        let due = self.finish.unwrap_or(self.latest_start);
        (
            self.urgency,
            self.is_late(now, least_turn),
            self.excess,
            self.standing,
            due,
            self.arrived,
        )
    }

    /// What sets kinds of turns apart, each of which must get some room.
    pub(super) fn group(&self, now: Timestamp, least_turn: Duration) -> (u8, bool, u8) {
        let is_late = self.is_late(now, least_turn);
        (self.urgency, is_late, self.excess)
    }

    /// How much longer it may wait.
    pub(super) fn patience(&self, now: Timestamp) -> Duration {
        self.latest_start.since(now)
    }
}
