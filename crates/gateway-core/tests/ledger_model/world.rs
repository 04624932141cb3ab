//! Owners, their log and their callers.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use elderworks_gateway_core::ledger::{
    Action, AppendOutcome, CallNumber, LedgerState, OverdraftStatus, PartitionOwner, ProgramTurn,
    ReadOutcome, SentNumber, Ticket, WitnessMemory, WitnessQuery,
};
use elderworks_protocol::ledger::{
    BeginTurn, FinishTurn, LedgerRecord, LedgerReply, LedgerRequest, StoredTurn, TurnStorage,
    Witness,
};
use elderworks_types::{NodeId, Offset, Timestamp};
use proptest::prelude::*;

pub const OWNERS: usize = 3;
/// Number of nodes that can act as witnesses; the owners run on the first ones.
pub const NODES: usize = 5;
pub const PROGRAMS: [&str; 5] = ["a", "b", "c", "d", STORED];
/// The program whose turns are all stored.
pub const STORED: &str = "stored";
pub const MAX_TOKENS: u64 = 10;
/// Returns the budget of a program. One of them is too small for a turn on an overdraft.
pub fn budget(program: &str) -> u64 {
    match program {
        "c" => 25,
        STORED => 3 * MAX_TOKENS,
        _ => 60,
    }
}

/// Returns the maximum tokens of a turn, which alternates between two sizes.
pub fn turn_tokens(ticket: Ticket) -> u64 {
    match ticket.0 % 3 {
        0 => 4,
        _ => MAX_TOKENS,
    }
}

pub const STEP: Duration = Duration::from_millis(20);

/// An append that the log may still carry out.
#[derive(Clone)]
pub struct LateAppend {
    pub at: Offset,
    pub records: Vec<LedgerRecord>,
}

/// The platform's log as specified.
#[derive(Default)]
pub struct Log {
    pub records: Vec<LedgerRecord>,
    pub late: Vec<LateAppend>,
}

/// Outcome of a call.
#[derive(Clone, Copy, Debug)]
pub enum Fate {
    Works,
    Refused,
    DoneButLost,
    LostAndDoneLater,
    Lost,
}

impl Log {
    pub fn end(&self) -> Offset {
        Offset(self.records.len() as u64)
    }

    pub fn append_if(&mut self, at: Offset, records: &[LedgerRecord]) -> bool {
        let holds = at == self.end();
        if holds {
            self.records.extend_from_slice(records);
        }
        holds
    }

    pub fn append(&mut self, fate: Fate, at: Offset, records: Vec<LedgerRecord>) -> AppendOutcome {
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

    pub fn read(&self, fate: Fate, from: Offset) -> ReadOutcome {
        if !matches!(fate, Fate::Works) {
            return ReadOutcome::Failed;
        }
        let from = usize::try_from(from.0).expect("a small log");
        ReadOutcome::Records {
            records: self.records[from..].iter().cloned().map(Some).collect(),
            end: self.end(),
        }
    }

    pub fn carry_out_late(&mut self) {
        for late in std::mem::take(&mut self.late) {
            self.append_if(late.at, &late.records);
        }
    }
}

#[derive(Clone, Debug)]
pub enum Step {
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
    /// Send a start to an owner; it arrives later.
    SendBegin { owner: usize, program: usize },
    /// A caller whose start has no reply gives up: the end of its turn is sent to the owner.
    GiveUp { number: usize },
    /// Deliver a message that was sent, in any order.
    Deliver { number: usize },
}

/// Steps of a scenario in which callers give up, and whose owners are not lost.
pub fn step_with_impatient_callers() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (0..OWNERS, 0..PROGRAMS.len())
            .prop_map(|(owner, program)| Step::SendBegin { owner, program }),
        4 => (0..8_usize).prop_map(|number| Step::GiveUp { number }),
        6 => (0..8_usize).prop_map(|number| Step::Deliver { number }),
        1 => Just(Step::Finish { other: None, used: 0, kept: false }),
        9 => (0..OWNERS, fate()).prop_map(|(owner, fate)| Step::Act { owner, fate }),
        9 => (0..OWNERS).prop_map(|owner| Step::Report { owner }),
        1 => (0..OWNERS, any::<bool>())
            .prop_map(|(owner, is_preferred)| Step::Prefer { owner, is_preferred }),
        1 => (0..OWNERS).prop_map(|owner| Step::Slow { owner }),
        1 => Just(Step::CarryOutLate),
        1 => (1_u32..60).prop_map(|steps| Step::Pass { steps }),
    ]
}

/// Steps of a scenario with overdrafts.
pub fn step_with_witnesses() -> impl Strategy<Value = Step> {
    prop_oneof![
        20 => step(),
        3 => (0..OWNERS).prop_map(|owner| Step::Slow { owner }),
        8 => (prop::bool::weighted(0.8), prop::bool::weighted(0.8))
            .prop_map(|(is_asked, is_answered)| Step::Inquire { is_asked, is_answered }),
        1 => (0..NODES).prop_map(|node| Step::RestartNode { node }),
        1 => (1_u32..60).prop_map(|steps| Step::Pass { steps }),
    ]
}

pub fn fate() -> impl Strategy<Value = Fate> {
    prop_oneof![
        6 => Just(Fate::Works),
        1 => Just(Fate::Refused),
        1 => Just(Fate::DoneButLost),
        1 => Just(Fate::LostAndDoneLater),
        1 => Just(Fate::Lost),
    ]
}

pub fn step() -> impl Strategy<Value = Step> {
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
pub struct Seen {
    /// Turns that were granted and have not finished.
    pub running: Vec<Granted>,
    /// Tokens of finished turns by program.
    pub used: BTreeMap<&'static str, u64>,
    /// Turns that were confirmed as stored, with their input.
    pub kept: BTreeMap<String, Bytes>,
    /// The latest of them of [`STORED`].
    pub latest_stored: Option<String>,
    /// Requests without a reply, by ticket.
    pub asked: BTreeMap<Ticket, Asked>,
}

/// A running turn.
pub struct Granted {
    pub owner: usize,
    pub program: &'static str,
    pub turn: String,
    pub max_tokens: u64,
}

pub enum Asked {
    /// Request for a stored turn with this input.
    Conversation(Bytes),
    Begin {
        program: &'static str,
        storage: TurnStorage,
        turn: String,
        /// Whether the budget had no room for the turn at any time since the request.
        was_full: bool,
        /// Whether the caller has given up, so that nobody runs the turn if it is granted.
        given_up: bool,
    },
    Finish {
        program: &'static str,
        turn: String,
        kept: Option<Bytes>,
    },
}

pub enum Outcome {
    Append(AppendOutcome),
    /// A read answered by the call of this number.
    Read(CallNumber, ReadOutcome),
}

/// A request on its way to an owner.
pub struct Message {
    pub owner: usize,
    pub ticket: Ticket,
    pub request: LedgerRequest,
    pub sent: SentNumber,
}

/// A read that its owner has given up.
#[derive(Clone)]
pub struct GivenUp {
    pub call: CallNumber,
    pub from: Offset,
    pub answer: ReadOutcome,
}

pub struct World {
    pub log: Log,
    pub owners: Vec<PartitionOwner>,
    /// Result of each owner's action that has not been reported to it.
    pub unreported: Vec<Option<Outcome>>,
    /// Reads that each owner has given up, which may still be answered.
    pub given_up: Vec<Vec<GivenUp>>,
    pub now: Timestamp,
    pub tickets: u64,
    pub seen: Seen,
    /// Witness memory of each node; empty in scenarios without witnesses.
    pub witnesses: Vec<WitnessMemory>,
    /// Requests that have been sent and not delivered.
    pub messages: Vec<Message>,
    pub sent: u64,
    /// Unanswered questions, with the owner that asks.
    pub inquiries: Vec<(usize, WitnessQuery)>,
    pub boots: u64,
    /// Number of turns granted by an owner whose overdraft was active.
    pub overdraft_turns: u64,
}

impl World {
    pub fn with_witnesses() -> Self {
        let mut world = Self::new();
        world.witnesses = (0..NODES as u64).map(WitnessMemory::new).collect();
        world.boots = NODES as u64;
        world
    }

    pub fn new() -> Self {
        Self {
            witnesses: Vec::new(),
            messages: Vec::new(),
            sent: 0,
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

    pub fn next_ticket(&mut self) -> Ticket {
        self.tickets += 1;
        Ticket(self.tickets)
    }

    /// Restarts a node: its owner and its witness lose their memory.
    pub fn restart(&mut self, node: usize) {
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

    pub fn inquire(&mut self, is_asked: bool, is_answered: bool) {
        if self.inquiries.is_empty() {
            return;
        }
        let (owner, inquiry) = self.inquiries.remove(0);
        let node: usize = inquiry.witness.node.as_str().parse().expect("a number");
        let answer = is_asked.then(|| self.witnesses[node].answer(self.now, &inquiry.question));
        let delivered = answer.filter(|_| is_answered);
        self.owners[owner].on_witness_answer(self.now, &inquiry.question, delivered);
    }

    pub fn update_witnesses(&mut self, owner: usize) {
        let others = self.witnesses.iter().enumerate();
        let others = others.filter(|(node, _)| *node != owner);
        let witnesses = others.map(|(node, witness)| Witness {
            node: NodeId::new(node.to_string()),
            boot: witness.boot(),
        });
        self.owners[owner].set_witnesses(witnesses.collect());
    }

    pub fn step(&mut self, step: Step) {
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
            Step::SendBegin { owner, program } => self.send_begin(owner, PROGRAMS[program]),
            Step::GiveUp { number } => self.give_up(number),
            Step::Deliver { number } => self.deliver_message(number),
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

    pub fn begin(&mut self, owner: usize, program: &'static str) {
        let (ticket, request) = self.ask_to_begin(program);
        self.owners[owner].submit(self.now, ticket, request);
    }

    pub fn send_begin(&mut self, owner: usize, program: &'static str) {
        let (ticket, request) = self.ask_to_begin(program);
        self.send(owner, ticket, request);
    }

    /// Creates the start of a new turn, which waits for a reply from now on.
    fn ask_to_begin(&mut self, program: &'static str) -> (Ticket, LedgerRequest) {
        let ticket = self.next_ticket();
        let turn = format!("turn-{}", ticket.0);
        let mut begin = BeginTurn {
            program: program.to_owned(),
            turn: turn.clone(),
            budget: Some(budget(program)),
            tokens: turn_tokens(ticket),
            previous: self.seen.latest_stored.clone(),
            imported: None,
        };
        if program != STORED {
            begin.mark_not_stored();
        }
        let storage = begin.storage();
        let request = LedgerRequest::Begin(begin);
        let was_full = self.is_full(program, storage, turn_tokens(ticket));
        let asked = Asked::Begin {
            program,
            storage,
            turn,
            was_full,
            given_up: false,
        };
        self.seen.asked.insert(ticket, asked);
        (ticket, request)
    }

    fn send(&mut self, owner: usize, ticket: Ticket, request: LedgerRequest) {
        self.sent += 1;
        self.messages.push(Message {
            owner,
            ticket,
            request,
            sent: SentNumber(self.sent),
        });
    }

    /// Lets one of the callers that wait for a start give up. Every owner is told, since any of them
    /// may have been asked.
    fn give_up(&mut self, number: usize) {
        let waiting = self
            .seen
            .asked
            .values_mut()
            .filter_map(|asked| match asked {
                Asked::Begin {
                    program,
                    turn,
                    given_up,
                    ..
                } if !*given_up => Some((*program, turn.clone(), given_up)),
                _ => None,
            });
        let mut waiting: Vec<_> = waiting.collect();
        if waiting.is_empty() {
            return;
        }
        let chosen = number % waiting.len();
        let (program, turn, given_up) = waiting.swap_remove(chosen);
        *given_up = true;
        for owner in 0..OWNERS {
            let request = LedgerRequest::Finish(FinishTurn {
                program: program.to_owned(),
                turn: turn.clone(),
                used: 0,
                kept: None,
                waits: false,
            });
            let ticket = self.next_ticket();
            let asked = Asked::Finish {
                program,
                turn: turn.clone(),
                kept: None,
            };
            self.seen.asked.insert(ticket, asked);
            self.send(owner, ticket, request);
        }
    }

    fn deliver_message(&mut self, number: usize) {
        if self.messages.is_empty() {
            return;
        }
        let chosen = number % self.messages.len();
        let message = self.messages.swap_remove(chosen);
        self.owners[message.owner].submit_sent(
            self.now,
            message.ticket,
            message.request,
            message.sent,
        );
    }

    /// Delivers everything that was sent, ends all turns, and lets all owners work with a log that
    /// answers for some 20 seconds.
    pub fn settle(&mut self) {
        while !self.messages.is_empty() {
            self.step(Step::Deliver { number: 0 });
        }
        self.step(Step::CarryOutLate);
        for _ in 0..40 {
            self.step(Step::Finish {
                other: None,
                used: 0,
                kept: false,
            });
            for owner in 0..OWNERS {
                self.step(Step::Act {
                    owner,
                    fate: Fate::Works,
                });
                self.step(Step::Report { owner });
            }
            self.step(Step::Pass { steps: 20 });
        }
    }

    /// Returns the tokens of a program that count as generated or reserved in the log.
    pub fn committed(&self, program: &str) -> u64 {
        let state = self.replayed();
        let account = state.account(program);
        account.map_or(0, |account| account.committed())
    }

    /// Reports the end of a turn to the owner that granted it, or to another one.
    pub fn finish(&mut self, other: Option<usize>, used: u64, kept: bool) {
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
        let asked = Asked::Finish {
            program,
            turn,
            kept,
        };
        self.seen.asked.insert(ticket, asked);
    }

    pub fn query(&mut self, owner: usize) {
        let Some((turn, input)) = self.seen.kept.last_key_value() else {
            return;
        };
        let question = LedgerRequest::Conversation { turn: turn.clone() };
        let asked = Asked::Conversation(input.clone());
        let ticket = self.next_ticket();
        self.owners[owner].submit(self.now, ticket, question);
        self.seen.asked.insert(ticket, asked);
    }

    pub fn start_action(&mut self, owner: usize, fate: Fate) {
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
    pub fn read(&mut self, owner: usize, fate: Fate, from: Offset) -> Outcome {
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

    pub fn report(&mut self, owner: usize) {
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

    pub fn take_replies(&mut self, owner: usize) {
        for (ticket, reply) in self.owners[owner].take_replies() {
            let Some(asked) = self.seen.asked.remove(&ticket) else {
                panic!("two replies to one request");
            };
            match (asked, reply) {
                (Asked::Begin { given_up: true, .. }, _) => {}
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
                        program,
                        storage,
                        was_full,
                        ..
                    },
                    LedgerReply::BudgetSpent
                    | LedgerReply::BudgetUnsure
                    | LedgerReply::BudgetInDoubt,
                ) => {
                    assert!(
                        was_full || self.is_full(program, storage, turn_tokens(ticket)),
                        "denied although the budget had room"
                    );
                }
                (
                    Asked::Finish {
                        program,
                        turn,
                        kept,
                    },
                    LedgerReply::Finished,
                ) => {
                    if program == STORED && kept.is_some() {
                        self.seen.latest_stored = Some(turn.clone());
                    }
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
    pub fn is_full(&self, program: &str, storage: TurnStorage, tokens: u64) -> bool {
        available(&self.replayed(), program, storage) < tokens
    }

    pub fn record_full_budgets(&mut self) {
        let state = self.replayed();
        for (ticket, asked) in &mut self.seen.asked {
            if let Asked::Begin {
                program,
                storage,
                was_full,
                ..
            } = asked
            {
                *was_full |= available(&state, program, *storage) < turn_tokens(*ticket);
            }
        }
    }

    pub fn check(&self) {
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
    pub fn max_generated(&self, program: &str) -> u64 {
        let used = self.seen.used.get(program).copied().unwrap_or(0);
        let running = self.seen.running.iter();
        let running = running.filter(|granted| granted.program == program);
        used + running.map(|granted| granted.max_tokens).sum::<u64>()
    }

    pub fn replayed(&self) -> LedgerState {
        let mut state = LedgerState::default();
        for record in &self.log.records {
            state.apply(self.now, record.clone());
        }
        state
    }
}

/// Returns the tokens of a program's budget that are neither reserved nor generated.
fn available(state: &LedgerState, program: &str, storage: TurnStorage) -> u64 {
    let budget = budget(program);
    let account = state.account(program);
    let committed = account.map_or(0, |account| account.committed());
    let turn = ProgramTurn {
        program,
        budget,
        storage,
    };
    let overdrawn = state.overdrawn_by_others(turn, |_| false);
    budget.saturating_sub(committed + overdrawn)
}
