//! Tests of starts whose callers give up: whatever becomes of the append in progress, such a turn
//! holds no tokens once its end has been reported.

use std::time::Duration;

use elderworks_gateway_core::ledger::{
    Action, AppendOutcome, IDLE_BEFORE_SETTLING, LedgerState, PartitionOwner, ReadOutcome,
    SETTLEMENT_DELAY, SentNumber, Ticket,
};
use elderworks_protocol::ledger::{LedgerRecord, LedgerReply};
use elderworks_types::{Offset, Timestamp};

use crate::fixtures::{START, begin, finish, synced_owner};

const BUDGET: u64 = 500;

/// A turn that needs more than half of the budget: a second one fits only if the first holds
/// nothing.
const TOKENS: u64 = 288;

const GIVEN_UP: Ticket = Ticket(1);

/// The caller sends the start of its turn, the end, and the start of a turn of the same name.
const SENT_START: SentNumber = SentNumber(1);
const SENT_END: SentNumber = SentNumber(2);
const SENT_AGAIN: SentNumber = SentNumber(3);

/// Time in which an owner whose log works returns the tokens of a turn that never ran.
const SETTLES_WITHIN: Duration = IDLE_BEFORE_SETTLING
    .saturating_add(SETTLEMENT_DELAY)
    .saturating_add(Duration::from_secs(2));

const STEP: Duration = Duration::from_millis(20);

/// What becomes of the append that reserves the turn's tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fate {
    Done,
    Conflict,
    Refused,
    /// Not answered and not carried out.
    Lost,
    /// Carried out, but not answered.
    DoneUnanswered,
    /// Not answered, and carried out after the owner has read the log again.
    DoneLate,
}

const FATES: [Fate; 6] = [
    Fate::Done,
    Fate::Conflict,
    Fate::Refused,
    Fate::Lost,
    Fate::DoneUnanswered,
    Fate::DoneLate,
];

/// When the caller gives up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum GivesUp {
    /// The end arrives before the start.
    BeforeStart,
    BeforeAppend,
    DuringAppend,
    /// During the append, after the log has been reported as slow.
    DuringSlowAppend,
    AfterAppend,
}

const MOMENTS: [GivesUp; 5] = [
    GivesUp::BeforeStart,
    GivesUp::BeforeAppend,
    GivesUp::DuringAppend,
    GivesUp::DuringSlowAppend,
    GivesUp::AfterAppend,
];

/// An owner and its log.
struct Partition {
    owner: PartitionOwner,
    log: Vec<LedgerRecord>,
    now: Timestamp,
    replies: Vec<(Ticket, LedgerReply)>,
}

impl Partition {
    fn new() -> Self {
        Self {
            owner: synced_owner(),
            log: Vec::new(),
            now: START,
            replies: Vec::new(),
        }
    }

    fn end(&self) -> Offset {
        Offset(self.log.len() as u64)
    }

    fn take_replies(&mut self) {
        self.replies.extend(self.owner.take_replies());
    }

    fn report_end(&mut self, ticket: u64) {
        let end = finish("given-up", 0, None);
        let now = self.now;
        self.owner.submit_sent(now, Ticket(ticket), end, SENT_END);
        self.take_replies();
    }

    /// Carries out one action with a working log.
    fn act(&mut self) {
        self.now = self.now + STEP;
        match self.owner.next_action(self.now) {
            Action::Append { at, records } => {
                let holds = at == self.end();
                if holds {
                    self.log.extend(records);
                }
                let outcome = match holds {
                    true => AppendOutcome::Done,
                    false => AppendOutcome::Conflict,
                };
                self.owner.on_append(self.now, outcome);
            }
            Action::Read { from } => {
                let from = usize::try_from(from.0).expect("a small log");
                let records = self.log[from..].iter().cloned().map(Some).collect();
                let end = self.end();
                let read = ReadOutcome::Records { records, end };
                self.owner.on_read(self.now, read);
            }
            Action::Wait { .. } => {}
        }
        self.take_replies();
    }

    fn act_for(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.act();
        }
    }

    /// Starts the turn that is given up at `moment`, and reports its end then.
    fn play(&mut self, moment: GivesUp, fate: Fate) {
        if moment == GivesUp::BeforeStart {
            self.report_end(2);
        }
        let start = begin("given-up", BUDGET, TOKENS);
        self.owner
            .submit_sent(self.now, GIVEN_UP, start, SENT_START);
        if moment == GivesUp::BeforeAppend {
            self.report_end(2);
        }
        let Action::Append { at, records } = self.owner.next_action(self.now) else {
            self.take_replies();
            return;
        };
        assert_eq!(at, self.end());
        match moment {
            GivesUp::DuringAppend => self.report_end(2),
            GivesUp::DuringSlowAppend => {
                self.report_end(2);
                self.owner.note_slow_call(self.now);
            }
            _ => {}
        }
        self.complete_append(fate, &records);
        if moment == GivesUp::AfterAppend {
            self.report_end(2);
        }
        self.carry_out_late(fate, at, records);
    }

    fn complete_append(&mut self, fate: Fate, records: &[LedgerRecord]) {
        self.now = self.now + STEP;
        let outcome = match fate {
            Fate::Done => AppendOutcome::Done,
            Fate::Conflict => AppendOutcome::Conflict,
            Fate::Refused => AppendOutcome::Refused,
            Fate::Lost | Fate::DoneUnanswered | Fate::DoneLate => AppendOutcome::Unknown,
        };
        match fate {
            Fate::Done | Fate::DoneUnanswered => self.log.extend_from_slice(records),
            Fate::Conflict => self.log.push(other_record()),
            Fate::Refused | Fate::Lost | Fate::DoneLate => {}
        }
        self.owner.on_append(self.now, outcome);
        self.take_replies();
    }

    fn carry_out_late(&mut self, fate: Fate, at: Offset, records: Vec<LedgerRecord>) {
        if fate == Fate::DoneLate {
            self.act_for(Duration::from_secs(1));
            if at == self.end() {
                self.log.extend(records);
            }
        }
    }

    /// Returns the reply to the start of another turn of the program.
    fn start_retry(&mut self) -> Option<LedgerReply> {
        let retry = begin("retry", BUDGET, TOKENS);
        self.owner.submit(self.now, Ticket(3), retry);
        self.act_for(Duration::from_secs(1));
        self.reply_to(Ticket(3))
    }

    fn reply_to(&self, ticket: Ticket) -> Option<LedgerReply> {
        let mut replies = self.replies.iter();
        let found = replies.find(|(other, _)| *other == ticket);
        found.map(|(_, reply)| reply.clone())
    }

    fn committed(&self) -> u64 {
        let mut state = LedgerState::default();
        for record in &self.log {
            state.apply(self.now, record.clone());
        }
        state.account("p").map_or(0, |account| account.committed())
    }
}

/// A record of another owner for another program.
fn other_record() -> LedgerRecord {
    LedgerRecord::Reserved {
        program: "other".to_owned(),
        reservation: "someone/1".to_owned(),
        tokens: 1,
    }
}

fn is_granted(reply: &Option<LedgerReply>) -> bool {
    matches!(reply, Some(LedgerReply::Granted { .. }))
}

fn cases() -> impl Iterator<Item = (GivesUp, Fate)> {
    let moments = MOMENTS.into_iter();
    moments.flat_map(|moment| FATES.into_iter().map(move |fate| (moment, fate)))
}

/// A start that was given up while its append was in progress used to stay queued, and was started
/// again for nobody after a conflict or a failure: the caller's next try found the budget spent.
#[test]
fn a_turn_that_was_given_up_does_not_hold_the_budget() {
    for (moment, fate) in cases() {
        let case = format!("given up {moment:?}, append {fate:?}");
        let mut partition = Partition::new();
        partition.play(moment, fate);
        let of_retry = partition.start_retry();
        assert!(is_granted(&of_retry), "{case}: {of_retry:?}");
    }
}

/// A node that is killed while it waits for a permit reports no end.
#[test]
fn a_start_whose_requester_has_gone_does_not_hold_the_budget() {
    for fate in FATES {
        let mut partition = Partition::new();
        let start = begin("given-up", BUDGET, TOKENS);
        partition.owner.submit(START, GIVEN_UP, start);
        let Action::Append { at, records } = partition.owner.next_action(START) else {
            panic!("a reservation must be appended");
        };
        partition.owner.withdraw(GIVEN_UP);
        partition.complete_append(fate, &records);
        partition.carry_out_late(fate, at, records);
        assert_eq!(partition.reply_to(GIVEN_UP), None, "{fate:?}");
        let of_retry = partition.start_retry();
        assert!(is_granted(&of_retry), "{fate:?}: {of_retry:?}");
    }
}

/// The requester may only have replaced its connection and asked once more.
#[test]
fn a_start_that_was_asked_for_once_more_is_not_withdrawn() {
    let again = Ticket(9);
    for fate in FATES {
        let mut partition = Partition::new();
        let start = || begin("given-up", BUDGET, TOKENS);
        partition.owner.submit(START, GIVEN_UP, start());
        let Action::Append { at, records } = partition.owner.next_action(START) else {
            panic!("a reservation must be appended");
        };
        partition.owner.submit(START, again, start());
        partition.owner.withdraw(GIVEN_UP);
        partition.complete_append(fate, &records);
        partition.carry_out_late(fate, at, records);
        partition.act_for(Duration::from_secs(1));
        let of_repeated = partition.reply_to(again);
        assert!(is_granted(&of_repeated), "{fate:?}: {of_repeated:?}");
        let of_retry = partition.start_retry();
        assert!(
            !is_granted(&of_retry),
            "{fate:?}: the budget holds one turn"
        );
    }
}

/// The caller has gone, so that a second reply would go to a ticket that no longer exists.
#[test]
fn a_turn_that_was_given_up_is_answered_once() {
    for (moment, fate) in cases() {
        let mut partition = Partition::new();
        partition.play(moment, fate);
        partition.act_for(SETTLES_WITHIN);
        let answers = partition
            .replies
            .iter()
            .filter(|(ticket, _)| *ticket == GIVEN_UP);
        assert_eq!(answers.count(), 1, "given up {moment:?}, append {fate:?}");
    }
}

/// A start that is asked for twice, on two connections, may arrive once more after its turn has
/// ended.
#[test]
fn a_repeated_start_that_arrives_after_its_end_is_refused() {
    let mut partition = Partition::new();
    let start = || begin("given-up", BUDGET, TOKENS);
    let owner = &mut partition.owner;
    owner.submit_sent(START, Ticket(1), start(), SENT_START);
    partition.act_for(Duration::from_secs(1));
    partition.report_end(2);
    let now = partition.now;
    let owner = &mut partition.owner;
    owner.submit_sent(now, Ticket(3), start(), SENT_START);
    partition.act_for(SETTLES_WITHIN);
    let replies: Vec<_> = partition.replies.iter().map(|(_, reply)| reply).collect();
    assert!(
        matches!(
            replies.as_slice(),
            [
                LedgerReply::Granted { .. },
                LedgerReply::Finished,
                LedgerReply::Unavailable
            ]
        ),
        "{replies:?}"
    );
}

/// A caller may repeat a refused request under the same name.
#[test]
fn a_turn_may_be_started_again_after_its_end() {
    let other_process = SentNumber(1 << 60);
    for sent in [SENT_AGAIN, other_process] {
        let mut partition = Partition::new();
        partition.report_end(2);
        let start = begin("given-up", BUDGET, TOKENS);
        let owner = &mut partition.owner;
        owner.submit_sent(START, Ticket(3), start, sent);
        partition.act_for(Duration::from_secs(1));
        let last = partition.replies.last();
        let granted = matches!(last, Some((Ticket(3), LedgerReply::Granted { .. })));
        assert!(granted, "{sent:?}: {last:?}");
    }
}

/// Other owners count the reservation of a turn that never ran until it is settled.
#[test]
fn the_reservation_of_a_turn_that_was_given_up_is_returned() {
    for is_preferred in [true, false] {
        for (moment, fate) in cases() {
            let mut partition = Partition::new();
            partition.owner.set_preferred(is_preferred);
            partition.play(moment, fate);
            partition.report_end(4);
            partition.act_for(SETTLES_WITHIN);
            let case = format!("preferred {is_preferred}, given up {moment:?}, append {fate:?}");
            assert_eq!(partition.committed(), 0, "{case}");
        }
    }
}
