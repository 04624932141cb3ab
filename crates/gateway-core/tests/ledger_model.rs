//! Several owners act for one partition on one log, whose calls are refused, lost or carried out
//! late, while owners lose their memory. What the ledger promises must hold throughout.
//!
//! Without witnesses no owner has an overdraft. A program never exceeds its budget, with them or
//! without.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use elderworks_gateway_core::ledger::{
    Action, AppendOutcome, CallNumber, LedgerState, OverdraftStatus, PartitionOwner, ReadOutcome,
    Ticket, WitnessMemory, WitnessQuery,
};
use elderworks_protocol::ledger::{
    BeginTurn, FinishTurn, KeptTurn, LedgerRecord, LedgerReply, LedgerRequest, Witness,
};
use elderworks_types::{NodeId, Offset, Timestamp};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const OWNERS: usize = 3;
/// Nodes that can witness: the owners' own, and others.
const NODES: usize = 5;
const PROGRAMS: [&str; 4] = ["a", "b", "c", "d"];
const MOST: u64 = 10;
/// The budget of a program: one is too small for a turn on an overdraft.
fn budget(program: &str) -> u64 {
    match program {
        "c" => 25,
        _ => 60,
    }
}

/// What a turn generates at most: turns of two sizes take turns.
fn most(ticket: Ticket) -> u64 {
    match ticket.0 % 3 {
        0 => 4,
        _ => MOST,
    }
}

const STEP: Duration = Duration::from_millis(20);

/// A call that the log has not carried out yet and may carry out later.
#[derive(Clone)]
struct LateAppend {
    at: Offset,
    records: Vec<LedgerRecord>,
}

/// The platform's log as its pages describe it.
#[derive(Default)]
struct Log {
    records: Vec<LedgerRecord>,
    late: Vec<LateAppend>,
}

/// What becomes of a call.
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
    /// A turn begins at an owner.
    Begin { owner: usize, program: usize },
    /// A granted turn ends; kept or not.
    Finish {
        other: Option<usize>,
        used: u64,
        kept: bool,
    },
    /// An owner is asked for a turn that was answered as kept.
    Ask { owner: usize },
    /// An owner begins its next action, and the log carries it out.
    Act { owner: usize, fate: Fate },
    /// An owner learns how its action has ended.
    Learn { owner: usize },
    /// An owner loses its memory.
    Restart { owner: usize },
    /// Requests go to an owner, or no longer.
    Prefer { owner: usize, is_preferred: bool },
    /// Lost calls are carried out now, if their condition holds.
    Late,
    /// The call of an owner takes long.
    Slow { owner: usize },
    /// A question reaches its witness or not, and its answer the owner or not.
    Inquire { is_asked: bool, is_heard: bool },
    /// A node forgets what it has witnessed, with the owner that runs there if there is one.
    RestartNode { node: usize },
    /// Time passes.
    Pass { steps: u32 },
}

/// The steps of days on which owners have overdrafts.
fn step_with_witnesses() -> impl Strategy<Value = Step> {
    prop_oneof![
        20 => step(),
        3 => (0..OWNERS).prop_map(|owner| Step::Slow { owner }),
        8 => (prop::bool::weighted(0.8), prop::bool::weighted(0.8))
            .prop_map(|(is_asked, is_heard)| Step::Inquire { is_asked, is_heard }),
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
        3 => (prop::option::weighted(0.2, 0..OWNERS), 0..=MOST, any::<bool>())
            .prop_map(|(other, used, kept)| Step::Finish { other, used, kept }),
        9 => (0..OWNERS, fate()).prop_map(|(owner, fate)| Step::Act { owner, fate }),
        9 => (0..OWNERS).prop_map(|owner| Step::Learn { owner }),
        1 => (0..OWNERS).prop_map(|owner| Step::Restart { owner }),
        1 => (0..OWNERS, any::<bool>())
            .prop_map(|(owner, is_preferred)| Step::Prefer { owner, is_preferred }),
        2 => (0..OWNERS).prop_map(|owner| Step::Ask { owner }),
        1 => Just(Step::Late),
    ]
}

/// What the callers have seen.
#[derive(Default)]
struct Seen {
    /// Turns granted and not ended.
    running: Vec<Granted>,
    /// Tokens of ended turns by program.
    used: BTreeMap<&'static str, u64>,
    /// Turns that were answered as kept, with their input.
    kept: BTreeMap<String, Bytes>,
    /// Requests without a reply, by ticket.
    asked: BTreeMap<Ticket, Asked>,
}

/// A turn that runs.
struct Granted {
    owner: usize,
    program: &'static str,
    turn: String,
    most: u64,
}

enum Asked {
    /// For a kept turn with this input.
    Conversation(Bytes),
    Begin {
        program: &'static str,
        turn: String,
        /// Whether the log left no room for the turn at some time since.
        was_full: bool,
    },
    Finish {
        turn: String,
        kept: Option<Bytes>,
    },
}

enum Outcome {
    Append(AppendOutcome),
    /// By the call of that number.
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
    /// How each owner's action has ended, which it has not learnt yet.
    under_way: Vec<Option<Outcome>>,
    /// Reads that each owner has given up, whose answers may come yet.
    given_up: Vec<Vec<GivenUp>>,
    now: Timestamp,
    tickets: u64,
    seen: Seen,
    /// What each node witnesses; empty if there are no witnesses.
    witnesses: Vec<WitnessMemory>,
    /// Questions that have not been answered, with who asks.
    inquiries: Vec<(usize, WitnessQuery)>,
    boots: u64,
    /// Turns that were granted by an owner whose overdraft was in use.
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
            under_way: (0..OWNERS).map(|_| None).collect(),
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

    /// Loses the memory of an owner and of the witness on its node.
    fn restart(&mut self, node: usize) {
        if node < OWNERS {
            let name = format!("owner-{node}-at-{}", self.now.0);
            self.owners[node] = PartitionOwner::new(name);
            self.under_way[node] = None;
            self.given_up[node].clear();
            self.inquiries.retain(|(owner, _)| *owner != node);
        }
        if let Some(witness) = self.witnesses.get_mut(node) {
            *witness = WitnessMemory::new(self.boots);
            self.boots += 1;
        }
    }

    fn inquire(&mut self, is_asked: bool, is_heard: bool) {
        if self.inquiries.is_empty() {
            return;
        }
        let (owner, inquiry) = self.inquiries.remove(0);
        let node: usize = inquiry.witness.node.as_str().parse().expect("a number");
        let answer = is_asked.then(|| self.witnesses[node].answer(self.now, &inquiry.question));
        let heard = answer.filter(|_| is_heard);
        self.owners[owner].on_witness_answer(self.now, &inquiry.question, heard);
    }

    fn tell_witnesses(&mut self, owner: usize) {
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
            self.tell_witnesses(owner);
        }
        match step {
            Step::Begin { owner, program } => self.begin(owner, PROGRAMS[program]),
            Step::Finish { other, used, kept } => self.finish(other, used, kept),
            Step::Ask { owner } => self.ask(owner),
            Step::Act { owner, fate } => self.act(owner, fate),
            Step::Learn { owner } => self.learn(owner),
            Step::Restart { owner } => self.restart(owner),
            Step::RestartNode { node } => self.restart(node),
            Step::Slow { owner } => {
                if self.under_way[owner].is_some() {
                    self.owners[owner].note_slow_call(self.now);
                }
            }
            Step::Inquire { is_asked, is_heard } => self.inquire(is_asked, is_heard),
            Step::Pass { steps } => self.now = self.now + STEP * steps,
            Step::Prefer {
                owner,
                is_preferred,
            } => self.owners[owner].set_preferred(is_preferred),
            Step::Late => self.log.carry_out_late(),
        }
        self.note_whether_full();
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
            tokens: most(ticket),
            previous: None,
            imported: None,
        });
        self.owners[owner].submit(self.now, ticket, request);
        let was_full = self.is_full(program, most(ticket));
        let asked = Asked::Begin {
            program,
            turn,
            was_full,
        };
        self.seen.asked.insert(ticket, asked);
    }

    /// The end of a turn is reported to its granter, or to another owner.
    fn finish(&mut self, other: Option<usize>, used: u64, kept: bool) {
        let Some(granted) = self.seen.running.pop() else {
            return;
        };
        let owner = other.unwrap_or(granted.owner);
        let (program, turn) = (granted.program, granted.turn);
        let used = used.min(granted.most);
        // Its tokens have reached the caller, whether or not the ledger learns of it.
        *self.seen.used.entry(program).or_default() += used;
        let ticket = self.next_ticket();
        let input = Bytes::from(format!("input of {turn}"));
        let content = kept.then(|| KeptTurn {
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

    fn ask(&mut self, owner: usize) {
        let Some((turn, input)) = self.seen.kept.last_key_value() else {
            return;
        };
        let question = LedgerRequest::Conversation { turn: turn.clone() };
        let asked = Asked::Conversation(input.clone());
        let ticket = self.next_ticket();
        self.owners[owner].submit(self.now, ticket, question);
        self.seen.asked.insert(ticket, asked);
    }

    fn act(&mut self, owner: usize, fate: Fate) {
        if self.under_way[owner].is_some() {
            return;
        }
        self.under_way[owner] = match self.owners[owner].next_action(self.now) {
            Action::Append { at, records } => {
                Some(Outcome::Append(self.log.append(fate, at, records)))
            }
            Action::Read { from } => Some(self.read(owner, fate, from)),
            Action::Wait { .. } => None,
        };
    }

    /// A read as its fate has it: one that is answered later is given up, and a later one that is
    /// refused may be answered in its place.
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

    fn learn(&mut self, owner: usize) {
        match self.under_way[owner].take() {
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
                    let present = self.owners[owner].overdraft_status();
                    self.overdraft_turns += u64::from(present == OverdraftStatus::Active);
                    self.seen.running.push(Granted {
                        owner,
                        program,
                        turn,
                        most: most(ticket),
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
                        was_full || self.is_full(program, most(ticket)),
                        "denied while there was room"
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

    /// Whether what is set aside and generated leaves no room for a turn.
    fn is_full(&self, program: &str, tokens: u64) -> bool {
        self.room(program) < tokens
    }

    /// Tokens of a program's budget that are neither set aside nor generated.
    fn room(&self, program: &str) -> u64 {
        let state = self.replayed();
        let account = state.account(program);
        let committed = account.map_or(0, |account| account.committed());
        let overdrawn = state.overdrawn_by_others(program, budget(program), |_| false);
        budget(program).saturating_sub(committed + overdrawn)
    }

    fn note_whether_full(&mut self) {
        let room = PROGRAMS.map(|program| self.room(program));
        for (ticket, asked) in &mut self.seen.asked {
            if let Asked::Begin {
                program, was_full, ..
            } = asked
            {
                let number = PROGRAMS.iter().position(|known| known == program);
                *was_full |= number.is_some_and(|number| room[number] < most(*ticket));
            }
        }
    }

    fn check(&self) {
        for program in PROGRAMS {
            let most = self.most_generated(program);
            assert!(most <= budget(program), "{most} tokens may be generated");
        }
        let state = self.replayed();
        for (turn, input) in &self.seen.kept {
            assert_eq!(state.conversation(turn).as_ref(), Some(input), "{turn}");
        }
    }

    /// Tokens that a program's callers get if every running turn generates its most.
    fn most_generated(&self, program: &str) -> u64 {
        let used = self.seen.used.get(program).copied().unwrap_or(0);
        let running = self.seen.running.iter();
        let running = running.filter(|granted| granted.program == program);
        used + running.map(|granted| granted.most).sum::<u64>()
    }

    fn replayed(&self) -> LedgerState {
        let mut state = LedgerState::default();
        for record in &self.log.records {
            state.apply(self.now, record.clone());
        }
        state
    }
}

/// Whether each of `count` questions reaches its witness, and its answer the owner.
fn answers(count: usize) -> impl Strategy<Value = Vec<(bool, bool)>> {
    let answer = (prop::bool::weighted(0.7), prop::bool::weighted(0.9));
    prop::collection::vec(answer, count)
}

impl World {
    /// Takes the log away from an owner that is asked for a turn.
    fn cut_off(&mut self, owner: usize) {
        self.step(Step::Begin { owner, program: 1 });
        self.step(Step::Act {
            owner,
            fate: Fate::Lost,
        });
        self.step(Step::Slow { owner });
    }

    /// An owner that the log serves does all that it has to do, for two seconds.
    fn serve(&mut self, owner: usize) {
        for _ in 0..2 {
            for _ in 0..4 {
                self.step(Step::Act {
                    owner,
                    fate: Fate::Works,
                });
                self.step(Step::Learn { owner });
                self.hear(vec![(true, true); 8]);
            }
            self.step(Step::Pass { steps: 55 });
        }
    }

    fn hear(&mut self, answers: Vec<(bool, bool)>) {
        for (is_asked, is_heard) in answers {
            self.step(Step::Inquire { is_asked, is_heard });
        }
    }

    /// An owner that the log serves lets all turns run that it can.
    fn let_run_all(&mut self, owner: usize, fencing: Vec<(bool, bool)>) {
        for answers in fencing.chunks(4) {
            for _ in 0..3 {
                self.step(Step::Begin { owner, program: 1 });
                for _ in 0..3 {
                    self.step(Step::Act {
                        owner,
                        fate: Fate::Works,
                    });
                    self.step(Step::Learn { owner });
                }
            }
            self.hear(answers.to_vec());
            self.step(Step::Pass { steps: 55 });
        }
    }
}

/// Has the first owner open an overdraft.
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
        world.step(Step::Learn { owner: 0 });
    }
    let present = world.owners[0].overdraft_status();
    assert_eq!(present, OverdraftStatus::Standing);
}

/// While the close of an overdraft is in doubt, nothing may be drawn on it: it can be carried out
/// at any time.
#[test]
fn an_overdraft_whose_close_is_in_doubt_is_not_drawn_on() {
    let mut world = World::with_witnesses();
    open_overdraft(&mut world);
    world.cut_off(0);
    world.hear(vec![(true, true); 4]);
    assert_eq!(world.owners[0].overdraft_status(), OverdraftStatus::Active);
    let act = |world: &mut World, fate| {
        world.step(Step::Act { owner: 0, fate });
        world.step(Step::Learn { owner: 0 });
    };
    // The log answers again: what was drawn is recorded, and a second later the overdraft closed.
    for _ in 0..3 {
        act(&mut world, Fate::Works);
    }
    world.step(Step::Pass { steps: 60 });
    act(&mut world, Fate::LostAndDoneLater);
    assert_eq!(world.owners[0].overdraft_status(), OverdraftStatus::Closing);
    world.step(Step::Pass { steps: 10 });
    act(&mut world, Fate::Works);
    assert_eq!(world.owners[0].overdraft_status(), OverdraftStatus::Closing);
    // A later append that the log refuses says nothing of the close.
    world.step(Step::Begin {
        owner: 0,
        program: 3,
    });
    act(&mut world, Fate::Refused);
    assert_eq!(world.owners[0].overdraft_status(), OverdraftStatus::Closing);
    // The log falls silent, and turns are asked for.
    for _ in 0..6 {
        world.step(Step::Begin {
            owner: 0,
            program: 1,
        });
        act(&mut world, Fate::Lost);
        world.step(Step::Slow { owner: 0 });
        world.hear(vec![(true, true); 4]);
    }
    world.step(Step::Late);
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
            world.step(Step::Learn { owner: 1 });
        }
    }
}

/// The random days do use overdrafts: one that never did would prove nothing.
#[test]
fn turns_run_on_an_overdraft_while_the_log_is_silent() {
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
                is_heard: true,
            });
        }
    }
    assert!(world.overdraft_turns > 0);
    assert_eq!(world.owners[0].overdraft_status(), OverdraftStatus::Active);
    // Once the log answers, what was drawn is recorded and the overdraft replaced.
    world.step(Step::Learn { owner: 0 });
    for _ in 0..8 {
        world.step(Step::Pass { steps: 20 });
        world.step(Step::Act {
            owner: 0,
            fate: Fate::Works,
        });
        world.step(Step::Learn { owner: 0 });
    }
    assert_eq!(
        world.owners[0].overdraft_status(),
        OverdraftStatus::Standing
    );
    let state = world.replayed();
    let account = state.account(PROGRAMS[1]).expect("an account");
    assert!(account.committed() >= world.most_generated(PROGRAMS[1]));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1_500,
        rng_seed: RngSeed::Fixed(0x1ed6e5),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn budgets_hold_and_kept_turns_stay(steps in prop::collection::vec(step(), 1..160)) {
        let mut world = World::new();
        for step in steps {
            world.step(step);
        }
    }

    #[test]
    fn budgets_hold_where_turns_run_on_overdrafts(
        steps in prop::collection::vec(step_with_witnesses(), 1..260),
    ) {
        let mut world = World::with_witnesses();
        for step in steps {
            world.step(step);
        }
    }

    /// The same with an owner that is cut off from the log for a long time and is asked all the
    /// while, beside one that the log serves.
    #[test]
    fn an_owner_that_is_cut_off_and_its_successor_keep_a_budget_together(
        program in 1..PROGRAMS.len(),
        before in prop::collection::vec(step_with_witnesses(), 0..40),
        cut_off in prop::collection::vec((0..10_u8, 0..=MOST), 1..60),
    ) {
        let mut world = World::with_witnesses();
        open_overdraft(&mut world);
        for step in before {
            world.step(step);
        }
        for (kind, used) in cut_off {
            world.step(match kind {
                0 | 1 => Step::Begin { owner: 0, program },
                2 => Step::Begin { owner: 1, program },
                3 => Step::Finish { other: None, used, kept: false },
                4 => Step::Act { owner: 0, fate: Fate::Lost },
                5 => Step::Learn { owner: 0 },
                6 | 7 => Step::Act { owner: 1, fate: Fate::Works },
                8 => Step::Learn { owner: 1 },
                _ => Step::Slow { owner: 0 },
            });
            world.step(Step::Inquire { is_asked: true, is_heard: true });
        }
    }

    /// An owner that is cut off from the log activates its overdraft or not, draws on it or not, is
    /// lost or not; witnesses may be lost too. Its successor fences the overdraft or not, and lets
    /// run all that it can.
    #[test]
    fn a_fenced_overdraft_was_never_drawn_on(
        activation in answers(4),
        draws in 0..6_usize,
        lost in prop::collection::vec(0..NODES, 0..3),
        fencing in answers(12),
        last_draws in 0..4_usize,
    ) {
        let mut world = World::with_witnesses();
        open_overdraft(&mut world);
        world.cut_off(0);
        world.hear(activation);
        for _ in 0..draws {
            world.step(Step::Begin { owner: 0, program: 1 });
        }
        let is_first_lost = lost.contains(&0);
        for node in lost {
            world.restart(node);
        }
        world.let_run_all(1, fencing);
        if !is_first_lost {
            for _ in 0..last_draws {
                world.step(Step::Begin { owner: 0, program: 1 });
                world.step(Step::Slow { owner: 0 });
                world.hear(vec![(true, true); 4]);
            }
        }
    }

    /// Owners act one after the other, each until it loses the log and then perhaps its memory,
    /// while all witnesses lose theirs. Those that live go on asking and letting run what they can.
    #[test]
    fn owners_lost_one_after_the_other_keep_a_budget_together(
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
            world.cut_off(owner);
            world.hear(vec![(true, true); 8]);
            for (drawing, program) in turns.by_ref().take(5) {
                let owner = drawing.min(owner);
                world.step(Step::Begin { owner, program });
                world.step(Step::Slow { owner });
                world.hear(vec![(true, true); 4]);
            }
            for node in OWNERS..NODES {
                world.restart(node);
            }
            if is_lost {
                world.restart(owner);
            }
        }
    }

    /// Once the log works again, every request gets its answer.
    #[test]
    fn every_request_is_answered_in_the_end(steps in prop::collection::vec(step(), 1..100)) {
        let mut world = World::new();
        for step in steps {
            if !matches!(step, Step::Restart { .. }) {
                world.step(step);
            }
        }
        for _ in 0..60 {
            for owner in 0..OWNERS {
                world.step(Step::Act { owner, fate: Fate::Works });
                world.step(Step::Learn { owner });
            }
        }
        prop_assert!(world.seen.asked.is_empty(), "{} unanswered", world.seen.asked.len());
    }
}
