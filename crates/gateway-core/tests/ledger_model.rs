//! Model test: several owners serve one partition on one log, whose calls are refused, lost or
//! carried out late, while owners and witnesses restart. The guarantees of the ledger must hold
//! throughout: no program exceeds its budget, and stored turns are not lost.
//!
//! Without witnesses no owner has an overdraft.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use elderworks_gateway_core::ledger::{
    Action, AppendOutcome, CallNumber, LedgerState, OverdraftStatus, PartitionOwner, ReadOutcome,
    Ticket, WitnessMemory, WitnessQuery,
};
use elderworks_protocol::ledger::{
    BeginTurn, FinishTurn, LedgerRecord, LedgerReply, LedgerRequest, StoredTurn, Witness,
};
use elderworks_types::{NodeId, Offset, Timestamp};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const OWNERS: usize = 3;
/// Number of nodes that can act as witnesses; the owners run on the first ones.
const NODES: usize = 5;
const PROGRAMS: [&str; 4] = ["a", "b", "c", "d"];
const MAX_TOKENS: u64 = 10;
/// Returns the budget of a program. One of them is too small for a turn on an overdraft.
fn budget(program: &str) -> u64 {
    match program {
        "c" => 25,
        _ => 60,
    }
}

/// Returns the maximum tokens of a turn, which alternates between two sizes.
fn turn_tokens(ticket: Ticket) -> u64 {
    match ticket.0 % 3 {
        0 => 4,
        _ => MAX_TOKENS,
    }
}

const STEP: Duration = Duration::from_millis(20);

/// An append that the log may still carry out.
#[derive(Clone)]
struct LateAppend {
    at: Offset,
    records: Vec<LedgerRecord>,
}

/// The platform's log as specified.
#[derive(Default)]
struct Log {
    records: Vec<LedgerRecord>,
    late: Vec<LateAppend>,
}

/// Outcome of a call.
#[derive(Clone, Copy, Debug)]
enum Fate {
    Works,
    Refused,
    DoneButLost,
    LostAndDoneLater,
    Lost,
}

impl Log {
    fn end(&self) -> Offset {
        Offset(self.records.len() as u64)
    }

    fn append_if(&mut self, at: Offset, records: &[LedgerRecord]) -> bool {
        let holds = at == self.end();
        if holds {
            self.records.extend_from_slice(records);
        }
        holds
    }

    fn append(&mut self, fate: Fate, at: Offset, records: Vec<LedgerRecord>) -> AppendOutcome {
        match fate {
            Fate::Works if self.append_if(at, &records) => AppendOutcome::Done,
            Fate::Works => AppendOutcome::Conflict,
            Fate::Refused => AppendOutcome::Refused,
            Fate::DoneButLost => {
                self.append_if(at, &records);
                AppendOutcome::Unknown
            }
            Fate::LostAndDoneLater => {
                self.late.push(LateAppend { at, records });
                AppendOutcome::Unknown
            }
            Fate::Lost => AppendOutcome::Unknown,
        }
    }

    fn read(&self, fate: Fate, from: Offset) -> ReadOutcome {
        if !matches!(fate, Fate::Works) {
            return ReadOutcome::Failed;
        }
        let from = usize::try_from(from.0).expect("a small log");
        ReadOutcome::Records {
            records: self.records[from..].iter().cloned().map(Some).collect(),
            end: self.end(),
        }
    }

    fn carry_out_late(&mut self) {
        for late in std::mem::take(&mut self.late) {
            self.append_if(late.at, &late.records);
        }
    }
}

#[derive(Clone, Debug)]
enum Step {
    /// Request a turn from an owner.
    Begin { owner: usize, program: usize },
    /// Finish a granted turn, reported to its owner or to `other`.
    Finish {
        other: Option<usize>,
        used: u64,
        kept: bool,
    },
    /// Request a stored turn from an owner.
    Query { owner: usize },
    /// Start the next action of an owner; the log handles it according to `fate`.
    Act { owner: usize, fate: Fate },
    /// Report the result of its action to an owner.
    Report { owner: usize },
    /// Restart an owner, which loses its state.
    Restart { owner: usize },
    /// Set whether an owner is preferred.
    Prefer { owner: usize, is_preferred: bool },
    /// Carry out the delayed appends whose condition holds.
    CarryOutLate,
    /// Report the call of an owner as slow.
    Slow { owner: usize },
    /// Deliver a question to its witness if `is_asked`, and its answer to the owner if `is_answered`.
    Inquire { is_asked: bool, is_answered: bool },
    /// Restart a node with its witness memory and its owner, if there is one.
    RestartNode { node: usize },
    /// Advance the clock.
    Pass { steps: u32 },
}

/// Steps of a scenario with overdrafts.
fn step_with_witnesses() -> impl Strategy<Value = Step> {
    prop_oneof![
        20 => step(),
        3 => (0..OWNERS).prop_map(|owner| Step::Slow { owner }),
        8 => (prop::bool::weighted(0.8), prop::bool::weighted(0.8))
            .prop_map(|(is_asked, is_answered)| Step::Inquire { is_asked, is_answered }),
        1 => (0..NODES).prop_map(|node| Step::RestartNode { node }),
        1 => (1_u32..60).prop_map(|steps| Step::Pass { steps }),
    ]
}

fn fate() -> impl Strategy<Value = Fate> {
    prop_oneof![
        6 => Just(Fate::Works),
        1 => Just(Fate::Refused),
        1 => Just(Fate::DoneButLost),
        1 => Just(Fate::LostAndDoneLater),
        1 => Just(Fate::Lost),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (0..OWNERS, 0..PROGRAMS.len())
            .prop_map(|(owner, program)| Step::Begin { owner, program }),
        3 => (prop::option::weighted(0.2, 0..OWNERS), 0..=MAX_TOKENS, any::<bool>())
            .prop_map(|(other, used, kept)| Step::Finish { other, used, kept }),
        9 => (0..OWNERS, fate()).prop_map(|(owner, fate)| Step::Act { owner, fate }),
        9 => (0..OWNERS).prop_map(|owner| Step::Report { owner }),
        1 => (0..OWNERS).prop_map(|owner| Step::Restart { owner }),
        1 => (0..OWNERS, any::<bool>())
            .prop_map(|(owner, is_preferred)| Step::Prefer { owner, is_preferred }),
        2 => (0..OWNERS).prop_map(|owner| Step::Query { owner }),
        1 => Just(Step::CarryOutLate),
    ]
}

/// State as observed by callers.
#[derive(Default)]
struct Seen {
    /// Turns that were granted and have not finished.
    running: Vec<Granted>,
    /// Tokens of finished turns by program.
    used: BTreeMap<&'static str, u64>,
    /// Turns that were confirmed as stored, with their input.
    kept: BTreeMap<String, Bytes>,
    /// Requests without a reply, by ticket.
    asked: BTreeMap<Ticket, Asked>,
}

/// A running turn.
struct Granted {
    owner: usize,
    program: &'static str,
    turn: String,
    max_tokens: u64,
}

enum Asked {
    /// Request for a stored turn with this input.
    Conversation(Bytes),
    Begin {
        program: &'static str,
        turn: String,
        /// Whether the budget had no room for the turn at any time since the request.
        was_full: bool,
    },
    Finish {
        turn: String,
        kept: Option<Bytes>,
    },
}

enum Outcome {
    Append(AppendOutcome),
    /// A read answered by the call of this number.
    Read(CallNumber, ReadOutcome),
}

/// A read that its owner has given up.
#[derive(Clone)]
struct GivenUp {
    call: CallNumber,
    from: Offset,
    answer: ReadOutcome,
}

struct World {
    log: Log,
    owners: Vec<PartitionOwner>,
    /// Result of each owner's action that has not been reported to it.
    unreported: Vec<Option<Outcome>>,
    /// Reads that each owner has given up, which may still be answered.
    given_up: Vec<Vec<GivenUp>>,
    now: Timestamp,
    tickets: u64,
    seen: Seen,
    /// Witness memory of each node; empty in scenarios without witnesses.
    witnesses: Vec<WitnessMemory>,
    /// Unanswered questions, with the owner that asks.
    inquiries: Vec<(usize, WitnessQuery)>,
    boots: u64,
    /// Number of turns granted by an owner whose overdraft was active.
    overdraft_turns: u64,
}

impl World {
    fn with_witnesses() -> Self {
        let mut world = Self::new();
        world.witnesses = (0..NODES as u64).map(WitnessMemory::new).collect();
        world.boots = NODES as u64;
        world
    }

    fn new() -> Self {
        Self {
            witnesses: Vec::new(),
            inquiries: Vec::new(),
            boots: 0,
            overdraft_turns: 0,
            log: Log::default(),
            owners: (0..OWNERS)
                .map(|owner| PartitionOwner::new(format!("owner-{owner}")))
                .collect(),
            unreported: (0..OWNERS).map(|_| None).collect(),
            given_up: vec![Vec::new(); OWNERS],
            now: Timestamp(1_000_000),
            tickets: 0,
            seen: Seen::default(),
        }
    }

    fn next_ticket(&mut self) -> Ticket {
        self.tickets += 1;
        Ticket(self.tickets)
    }

    /// Restarts a node: its owner and its witness lose their memory.
    fn restart(&mut self, node: usize) {
        if node < OWNERS {
            let name = format!("owner-{node}-at-{}", self.now.0);
            self.owners[node] = PartitionOwner::new(name);
            self.unreported[node] = None;
            self.given_up[node].clear();
            self.inquiries.retain(|(owner, _)| *owner != node);
        }
        if let Some(witness) = self.witnesses.get_mut(node) {
            *witness = WitnessMemory::new(self.boots);
            self.boots += 1;
        }
    }

    fn inquire(&mut self, is_asked: bool, is_answered: bool) {
        if self.inquiries.is_empty() {
            return;
        }
        let (owner, inquiry) = self.inquiries.remove(0);
        let node: usize = inquiry.witness.node.as_str().parse().expect("a number");
        let answer = is_asked.then(|| self.witnesses[node].answer(self.now, &inquiry.question));
        let delivered = answer.filter(|_| is_answered);
        self.owners[owner].on_witness_answer(self.now, &inquiry.question, delivered);
    }

    fn update_witnesses(&mut self, owner: usize) {
        let others = self.witnesses.iter().enumerate();
        let others = others.filter(|(node, _)| *node != owner);
        let witnesses = others.map(|(node, witness)| Witness {
            node: NodeId::new(node.to_string()),
            boot: witness.boot(),
        });
        self.owners[owner].set_witnesses(witnesses.collect());
    }

    fn step(&mut self, step: Step) {
        self.now = self.now + STEP;
        for owner in 0..OWNERS {
            self.update_witnesses(owner);
        }
        match step {
            Step::Begin { owner, program } => self.begin(owner, PROGRAMS[program]),
            Step::Finish { other, used, kept } => self.finish(other, used, kept),
            Step::Query { owner } => self.query(owner),
            Step::Act { owner, fate } => self.start_action(owner, fate),
            Step::Report { owner } => self.report(owner),
            Step::Restart { owner } => self.restart(owner),
            Step::RestartNode { node } => self.restart(node),
            Step::Slow { owner } => {
                if self.unreported[owner].is_some() {
                    self.owners[owner].note_slow_call(self.now);
                }
            }
            Step::Inquire {
                is_asked,
                is_answered,
            } => self.inquire(is_asked, is_answered),
            Step::Pass { steps } => self.now = self.now + STEP * steps,
            Step::Prefer {
                owner,
                is_preferred,
            } => self.owners[owner].set_preferred(is_preferred),
            Step::CarryOutLate => self.log.carry_out_late(),
        }
        self.record_full_budgets();
        for owner in 0..OWNERS {
            self.take_replies(owner);
            let asked = self.owners[owner].take_witness_queries();
            let asked = asked.into_iter().map(|inquiry| (owner, inquiry));
            self.inquiries.extend(asked);
        }
        self.check();
    }

    fn begin(&mut self, owner: usize, program: &'static str) {
        let ticket = self.next_ticket();
        let turn = format!("turn-{}", ticket.0);
        let request = LedgerRequest::Begin(BeginTurn {
            program: program.to_owned(),
            turn: turn.clone(),
            budget: Some(budget(program)),
            tokens: turn_tokens(ticket),
            previous: None,
            imported: None,
        });
        self.owners[owner].submit(self.now, ticket, request);
        let was_full = self.is_full(program, turn_tokens(ticket));
        let asked = Asked::Begin {
            program,
            turn,
            was_full,
        };
        self.seen.asked.insert(ticket, asked);
    }

    /// Reports the end of a turn to the owner that granted it, or to another one.
    fn finish(&mut self, other: Option<usize>, used: u64, kept: bool) {
        let Some(granted) = self.seen.running.pop() else {
            return;
        };
        let owner = other.unwrap_or(granted.owner);
        let (program, turn) = (granted.program, granted.turn);
        let used = used.min(granted.max_tokens);
        // The tokens have reached the caller, whether or not the ledger receives the report.
        *self.seen.used.entry(program).or_default() += used;
        let ticket = self.next_ticket();
        let input = Bytes::from(format!("input of {turn}"));
        let content = kept.then(|| StoredTurn {
            previous: None,
            input: input.clone(),
            output: Bytes::new(),
        });
        let request = LedgerRequest::Finish(FinishTurn {
            program: program.to_owned(),
            turn: turn.clone(),
            used,
            kept: content,
            waits: false,
        });
        self.owners[owner].submit(self.now, ticket, request);
        let kept = kept.then_some(input);
        self.seen.asked.insert(ticket, Asked::Finish { turn, kept });
    }

    fn query(&mut self, owner: usize) {
        let Some((turn, input)) = self.seen.kept.last_key_value() else {
            return;
        };
        let question = LedgerRequest::Conversation { turn: turn.clone() };
        let asked = Asked::Conversation(input.clone());
        let ticket = self.next_ticket();
        self.owners[owner].submit(self.now, ticket, question);
        self.seen.asked.insert(ticket, asked);
    }

    fn start_action(&mut self, owner: usize, fate: Fate) {
        if self.unreported[owner].is_some() {
            return;
        }
        self.unreported[owner] = match self.owners[owner].next_action(self.now) {
            Action::Append { at, records } => {
                Some(Outcome::Append(self.log.append(fate, at, records)))
            }
            Action::Read { from } => Some(self.read(owner, fate, from)),
            Action::Wait { .. } => None,
        };
    }

    /// Carries out a read according to `fate`: a delayed read is given up, and a later one that is
    /// refused may receive its answer.
    fn read(&mut self, owner: usize, fate: Fate, from: Offset) -> Outcome {
        let call = self.owners[owner].last_call();
        if matches!(fate, Fate::LostAndDoneLater) {
            let answer = self.log.read(Fate::Works, from);
            self.given_up[owner].push(GivenUp { call, from, answer });
        }
        if matches!(fate, Fate::Refused) {
            let mut given_up = self.given_up[owner].iter();
            if let Some(earlier) = given_up.find(|earlier| earlier.from == from) {
                return Outcome::Read(earlier.call, earlier.answer.clone());
            }
        }
        Outcome::Read(call, self.log.read(fate, from))
    }

    fn report(&mut self, owner: usize) {
        match self.unreported[owner].take() {
            Some(Outcome::Append(outcome)) => self.owners[owner].on_append(self.now, outcome),
            Some(Outcome::Read(call, outcome)) => {
                if outcome != ReadOutcome::Failed {
                    self.given_up[owner].clear();
                }
                self.owners[owner].on_answered_read(self.now, call, outcome);
            }
            None => {}
        }
    }

    fn take_replies(&mut self, owner: usize) {
        for (ticket, reply) in self.owners[owner].take_replies() {
            let Some(asked) = self.seen.asked.remove(&ticket) else {
                panic!("two replies to one request");
            };
            match (asked, reply) {
                (Asked::Begin { program, turn, .. }, LedgerReply::Granted { .. }) => {
                    let status = self.owners[owner].overdraft_status();
                    self.overdraft_turns += u64::from(status == OverdraftStatus::Active);
                    self.seen.running.push(Granted {
                        owner,
                        program,
                        turn,
                        max_tokens: turn_tokens(ticket),
                    });
                }
                (
                    Asked::Begin {
                        program, was_full, ..
                    },
                    LedgerReply::BudgetSpent
                    | LedgerReply::BudgetUnsure
                    | LedgerReply::BudgetInDoubt,
                ) => {
                    assert!(
                        was_full || self.is_full(program, turn_tokens(ticket)),
                        "denied although the budget had room"
                    );
                }
                (Asked::Finish { turn, kept }, LedgerReply::Finished) => {
                    self.seen.kept.extend(kept.map(|input| (turn, input)));
                }
                (Asked::Conversation(input), LedgerReply::Conversation { conversation }) => {
                    assert_eq!(conversation, input);
                }
                (_, LedgerReply::Unavailable) => {}
                (_, reply) => panic!("unexpected {reply:?}"),
            }
        }
    }

    /// Returns whether reservations and generated tokens leave no room for a turn.
    fn is_full(&self, program: &str, tokens: u64) -> bool {
        self.available(program) < tokens
    }

    /// Returns the tokens of a program's budget that are neither reserved nor generated.
    fn available(&self, program: &str) -> u64 {
        let state = self.replayed();
        let account = state.account(program);
        let committed = account.map_or(0, |account| account.committed());
        let overdrawn = state.overdrawn_by_others(program, budget(program), |_| false);
        budget(program).saturating_sub(committed + overdrawn)
    }

    fn record_full_budgets(&mut self) {
        let available = PROGRAMS.map(|program| self.available(program));
        for (ticket, asked) in &mut self.seen.asked {
            if let Asked::Begin {
                program, was_full, ..
            } = asked
            {
                let number = PROGRAMS.iter().position(|known| known == program);
                *was_full |= number.is_some_and(|number| available[number] < turn_tokens(*ticket));
            }
        }
    }

    fn check(&self) {
        for program in PROGRAMS {
            let max_generated = self.max_generated(program);
            assert!(
                max_generated <= budget(program),
                "up to {max_generated} tokens may be generated"
            );
        }
        let state = self.replayed();
        for (turn, input) in &self.seen.kept {
            assert_eq!(state.conversation(turn).as_ref(), Some(input), "{turn}");
        }
    }

    /// Returns the tokens that a program's callers receive if every running turn generates its
    /// maximum.
    fn max_generated(&self, program: &str) -> u64 {
        let used = self.seen.used.get(program).copied().unwrap_or(0);
        let running = self.seen.running.iter();
        let running = running.filter(|granted| granted.program == program);
        used + running.map(|granted| granted.max_tokens).sum::<u64>()
    }

    fn replayed(&self) -> LedgerState {
        let mut state = LedgerState::default();
        for record in &self.log.records {
            state.apply(self.now, record.clone());
        }
        state
    }
}

/// Returns whether each of `count` questions reaches its witness, and its answer the owner.
fn answers(count: usize) -> impl Strategy<Value = Vec<(bool, bool)>> {
    let answer = (prop::bool::weighted(0.7), prop::bool::weighted(0.9));
    prop::collection::vec(answer, count)
}

impl World {
    /// Makes the log unreachable for an owner with a pending request.
    fn isolate(&mut self, owner: usize) {
        self.step(Step::Begin { owner, program: 1 });
        self.step(Step::Act {
            owner,
            fate: Fate::Lost,
        });
        self.step(Step::Slow { owner });
    }

    /// Lets an owner with access to the log do all pending work for two seconds.
    fn serve(&mut self, owner: usize) {
        for _ in 0..2 {
            for _ in 0..4 {
                self.step(Step::Act {
                    owner,
                    fate: Fate::Works,
                });
                self.step(Step::Report { owner });
                self.deliver(vec![(true, true); 8]);
            }
            self.step(Step::Pass { steps: 55 });
        }
    }

    fn deliver(&mut self, answers: Vec<(bool, bool)>) {
        for (is_asked, is_answered) in answers {
            self.step(Step::Inquire {
                is_asked,
                is_answered,
            });
        }
    }

    /// Lets an owner with access to the log grant all turns that it can.
    fn grant_all(&mut self, owner: usize, fencing: Vec<(bool, bool)>) {
        for answers in fencing.chunks(4) {
            for _ in 0..3 {
                self.step(Step::Begin { owner, program: 1 });
                for _ in 0..3 {
                    self.step(Step::Act {
                        owner,
                        fate: Fate::Works,
                    });
                    self.step(Step::Report { owner });
                }
            }
            self.deliver(answers.to_vec());
            self.step(Step::Pass { steps: 55 });
        }
    }
}

/// Lets the first owner open an overdraft.
fn open_overdraft(world: &mut World) {
    world.step(Step::Begin {
        owner: 0,
        program: 0,
    });
    for _ in 0..4 {
        world.step(Step::Act {
            owner: 0,
            fate: Fate::Works,
        });
        world.step(Step::Report { owner: 0 });
    }
    let status = world.owners[0].overdraft_status();
    assert_eq!(status, OverdraftStatus::Standing);
}

/// While the close of an overdraft is unsettled, it may take effect at any time, so the overdraft
/// must not be drawn on.
#[test]
fn an_overdraft_with_an_unsettled_close_is_not_drawn_on() {
    let mut world = World::with_witnesses();
    open_overdraft(&mut world);
    world.isolate(0);
    world.deliver(vec![(true, true); 4]);
    assert_eq!(world.owners[0].overdraft_status(), OverdraftStatus::Active);
    let act_and_report = |world: &mut World, fate| {
        world.step(Step::Act { owner: 0, fate });
        world.step(Step::Report { owner: 0 });
    };
    // The log answers again: the tokens drawn are recorded, and the overdraft is closed a second
    // later.
    for _ in 0..3 {
        act_and_report(&mut world, Fate::Works);
    }
    world.step(Step::Pass { steps: 60 });
    act_and_report(&mut world, Fate::LostAndDoneLater);
    assert_eq!(world.owners[0].overdraft_status(), OverdraftStatus::Closing);
    world.step(Step::Pass { steps: 10 });
    act_and_report(&mut world, Fate::Works);
    assert_eq!(world.owners[0].overdraft_status(), OverdraftStatus::Closing);
    // A later append that is refused says nothing about the close.
    world.step(Step::Begin {
        owner: 0,
        program: 3,
    });
    act_and_report(&mut world, Fate::Refused);
    assert_eq!(world.owners[0].overdraft_status(), OverdraftStatus::Closing);
    // The log becomes silent, and turns are requested.
    for _ in 0..6 {
        world.step(Step::Begin {
            owner: 0,
            program: 1,
        });
        act_and_report(&mut world, Fate::Lost);
        world.step(Step::Slow { owner: 0 });
        world.deliver(vec![(true, true); 4]);
    }
    world.step(Step::CarryOutLate);
    world.restart(0);
    for _ in 0..6 {
        world.step(Step::Begin {
            owner: 1,
            program: 1,
        });
        for _ in 0..3 {
            world.step(Step::Act {
                owner: 1,
                fate: Fate::Works,
            });
            world.step(Step::Report { owner: 1 });
        }
    }
}

/// Ensures that the random scenarios can use overdrafts at all.
#[test]
fn overdrafts_are_used_while_the_log_is_silent() {
    let mut world = World::with_witnesses();
    open_overdraft(&mut world);
    for _ in 0..4 {
        world.step(Step::Begin {
            owner: 0,
            program: 1,
        });
        world.step(Step::Act {
            owner: 0,
            fate: Fate::Lost,
        });
        world.step(Step::Slow { owner: 0 });
        for _ in 0..NODES {
            world.step(Step::Inquire {
                is_asked: true,
                is_answered: true,
            });
        }
    }
    assert!(world.overdraft_turns > 0);
    assert_eq!(world.owners[0].overdraft_status(), OverdraftStatus::Active);
    // Once the log answers, the tokens drawn are recorded and the overdraft is replaced.
    world.step(Step::Report { owner: 0 });
    for _ in 0..8 {
        world.step(Step::Pass { steps: 20 });
        world.step(Step::Act {
            owner: 0,
            fate: Fate::Works,
        });
        world.step(Step::Report { owner: 0 });
    }
    assert_eq!(
        world.owners[0].overdraft_status(),
        OverdraftStatus::Standing
    );
    let state = world.replayed();
    let account = state.account(PROGRAMS[1]).expect("an account");
    assert!(account.committed() >= world.max_generated(PROGRAMS[1]));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1_500,
        rng_seed: RngSeed::Fixed(0x1ed6e5),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn budgets_hold_and_stored_turns_are_retained(steps in prop::collection::vec(step(), 1..160)) {
        let mut world = World::new();
        for step in steps {
            world.step(step);
        }
    }

    #[test]
    fn budgets_hold_with_overdrafts(
        steps in prop::collection::vec(step_with_witnesses(), 1..260),
    ) {
        let mut world = World::with_witnesses();
        for step in steps {
            world.step(step);
        }
    }

    /// One owner has no access to the log for a long time but receives requests, while another
    /// owner has access.
    #[test]
    fn an_isolated_owner_and_its_successor_do_not_exceed_a_budget(
        program in 1..PROGRAMS.len(),
        before in prop::collection::vec(step_with_witnesses(), 0..40),
        isolated_steps in prop::collection::vec((0..10_u8, 0..=MAX_TOKENS), 1..60),
    ) {
        let mut world = World::with_witnesses();
        open_overdraft(&mut world);
        for step in before {
            world.step(step);
        }
        for (kind, used) in isolated_steps {
            world.step(match kind {
                0 | 1 => Step::Begin { owner: 0, program },
                2 => Step::Begin { owner: 1, program },
                3 => Step::Finish { other: None, used, kept: false },
                4 => Step::Act { owner: 0, fate: Fate::Lost },
                5 => Step::Report { owner: 0 },
                6 | 7 => Step::Act { owner: 1, fate: Fate::Works },
                8 => Step::Report { owner: 1 },
                _ => Step::Slow { owner: 0 },
            });
            world.step(Step::Inquire { is_asked: true, is_answered: true });
        }
    }

    /// An isolated owner may activate its overdraft, draw on it, and be lost; witnesses may be lost
    /// too. Its successor may fence the overdraft, and grants all turns that it can.
    #[test]
    fn a_fenced_overdraft_was_never_drawn_on(
        activation in answers(4),
        draws in 0..6_usize,
        lost in prop::collection::vec(0..NODES, 0..3),
        fencing in answers(12),
        late_draws in 0..4_usize,
    ) {
        let mut world = World::with_witnesses();
        open_overdraft(&mut world);
        world.isolate(0);
        world.deliver(activation);
        for _ in 0..draws {
            world.step(Step::Begin { owner: 0, program: 1 });
        }
        let is_first_owner_lost = lost.contains(&0);
        for node in lost {
            world.restart(node);
        }
        world.grant_all(1, fencing);
        if !is_first_owner_lost {
            for _ in 0..late_draws {
                world.step(Step::Begin { owner: 0, program: 1 });
                world.step(Step::Slow { owner: 0 });
                world.deliver(vec![(true, true); 4]);
            }
        }
    }

    /// Owners serve the partition in succession, each until it loses the log and possibly its
    /// memory, while all witnesses lose theirs. The surviving owners keep granting turns.
    #[test]
    fn owners_lost_in_succession_do_not_exceed_a_budget(
        turns in prop::collection::vec((0..OWNERS, 0..PROGRAMS.len()), 30),
        lost in prop::collection::vec(any::<bool>(), OWNERS),
        rounds in 2..6_usize,
    ) {
        let mut world = World::with_witnesses();
        let mut turns = turns.into_iter();
        for (owner, is_lost) in lost.into_iter().enumerate() {
            for _ in 0..rounds {
                world.serve(owner);
                if let Some((_, program)) = turns.next() {
                    world.step(Step::Begin { owner, program });
                }
            }
            world.serve(owner);
            world.isolate(owner);
            world.deliver(vec![(true, true); 8]);
            for (drawing, program) in turns.by_ref().take(5) {
                let owner = drawing.min(owner);
                world.step(Step::Begin { owner, program });
                world.step(Step::Slow { owner });
                world.deliver(vec![(true, true); 4]);
            }
            for node in OWNERS..NODES {
                world.restart(node);
            }
            if is_lost {
                world.restart(owner);
            }
        }
    }

    /// Every request is answered after the log has recovered.
    #[test]
    fn every_request_is_eventually_answered(steps in prop::collection::vec(step(), 1..100)) {
        let mut world = World::new();
        for step in steps {
            if !matches!(step, Step::Restart { .. }) {
                world.step(step);
            }
        }
        for _ in 0..60 {
            for owner in 0..OWNERS {
                world.step(Step::Act { owner, fate: Fate::Works });
                world.step(Step::Report { owner });
            }
        }
        prop_assert!(world.seen.asked.is_empty(), "{} unanswered", world.seen.asked.len());
    }
}
