//! Tests of owners whose partition has moved to another node.

use std::time::Duration;

use elderworks_gateway_core::ledger::{Action, AppendOutcome, PartitionOwner, ReadOutcome, Ticket};
use elderworks_protocol::ledger::{LedgerRecord, LedgerReply, LedgerRequest};
use elderworks_types::{Offset, Timestamp};

use crate::fixtures::{START, begin, carry_out, finish, kept, synced_owner};

/// Number of appends that the owner loses, each followed by a read.
const ROUNDS: u64 = 30;

/// Returns a record that another owner appends.
fn foreign_record(number: u64) -> LedgerRecord {
    LedgerRecord::Reserved {
        program: "other".to_owned(),
        reservation: format!("other/{number}"),
        tokens: 1,
    }
}

/// An owner that competes with one that appends before each of its appends.
struct Race {
    owner: PartitionOwner,
    now: Timestamp,
    foreign: u64,
    appends: Vec<Vec<LedgerRecord>>,
    replies: Vec<(Ticket, LedgerReply)>,
}

impl Race {
    fn new(owner: PartitionOwner) -> Self {
        Self {
            owner,
            now: START,
            foreign: 0,
            appends: Vec::new(),
            replies: Vec::new(),
        }
    }

    /// Carries out the owner's next action; every append conflicts.
    fn act(&mut self) {
        let end = self.owner.end().0;
        match self.owner.next_action(self.now) {
            Action::Read { .. } => {
                self.foreign += 1;
                let records = vec![Some(foreign_record(self.foreign))];
                let end = Offset(end + 1);
                let outcome = ReadOutcome::Records { records, end };
                self.owner.on_read(self.now, outcome);
            }
            Action::Append { records, .. } => {
                self.appends.push(records);
                self.owner.on_append(self.now, AppendOutcome::Conflict);
            }
            Action::Wait { until } => self.now = until.unwrap_or(self.now),
        }
        self.now = self.now + Duration::from_millis(20);
        self.replies.extend(self.owner.take_replies());
    }

    fn act_for_rounds(&mut self) {
        for _ in 0..2 * ROUNDS {
            self.act();
        }
    }
}

fn owner_of_running_turn() -> PartitionOwner {
    let mut owner = synced_owner();
    carry_out(&mut owner, begin("one", 1_000, 10));
    owner
}

fn stored_turn() -> LedgerRequest {
    finish("one", 4, Some(kept(None, b"in", b"out")))
}

#[test]
fn a_preferred_owner_keeps_requests_after_a_conflict() {
    let mut race = Race::new(owner_of_running_turn());
    race.owner.submit(START, Ticket(1), stored_turn());
    race.act_for_rounds();
    assert_eq!(race.replies, []);
    assert!(race.appends.len() > 1, "it goes on trying");
}

#[test]
fn a_former_owner_goes_on_settling_what_only_it_can_settle() {
    let mut race = Race::new(owner_of_running_turn());
    race.owner.set_preferred(false);
    race.owner.submit(START, Ticket(1), stored_turn());
    race.act_for_rounds();
    let last = race.appends.last().expect("it appends");
    let settles = |record: &LedgerRecord| matches!(record, LedgerRecord::Settled { program, used, .. } if program == "p" && *used == 4);
    assert!(last.iter().any(settles), "{last:?}");
}

#[test]
fn a_former_owner_stores_a_turn_if_no_other_appends() {
    let mut owner = owner_of_running_turn();
    owner.set_preferred(false);
    assert_eq!(carry_out(&mut owner, stored_turn()), LedgerReply::Finished);
}
