//! Callers that run programs of turns and tools, and what they see.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::fleet::EVENTS;
use crate::standin::caller::{Answer, Connection, Request};
use crate::standin::worker::{PADDING_HEADER, event, padding};

/// Tokens that an event stands for in the stand-in's configuration.
pub const TOKENS_PER_EVENT: u64 = 10;

/// The most that a turn generates.
pub const TURN_TOKENS: u64 = TOKENS_PER_EVENT * EVENTS as u64;

/// How long a caller waits for an answer.
const PATIENCE: Duration = Duration::from_millis(1_400);

/// Longest time for which a caller that stops reading does so.
const MOST_UNREAD_MS: u64 = 1_200;

/// What such a caller asks of each event in bytes: a stream is then longer than the system's own
/// buffers between two sockets.
const PADDING_BYTES: usize = 1024 * 1024;

/// Tries of one turn or call, each under an id of its own.
const TRIES: u32 = 4;

/// Pause before another try.
const RETRY_PAUSE: Duration = Duration::from_millis(120);

/// What a request asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A tool call that may be repeated.
    SafeCall,
    /// A tool call that runs at most once.
    CallOnce,
    /// A turn whose stream may be taken up again.
    Turn,
    /// A turn that runs at most once.
    TurnOnce,
    /// A turn that the system keeps, at most once.
    KeptTurn,
}

impl Kind {
    fn path(self) -> &'static str {
        match self {
            Self::SafeCall => "/safe/x",
            Self::CallOnce => "/once/x",
            Self::Turn => "/stream/x",
            Self::TurnOnce => "/stream-once/x",
            Self::KeptTurn => "/kept/x",
        }
    }

    /// Whether a request runs once at most.
    pub fn at_most_once(self) -> bool {
        matches!(self, Self::CallOnce | Self::TurnOnce | Self::KeptTurn)
    }
}

/// One request and what became of it.
#[derive(Clone, Debug)]
pub struct Seen {
    pub kind: Kind,
    pub program: String,
    pub input: String,
    pub previous: Option<String>,
    /// `None` if the caller gave up or the connection ended without an answer.
    pub answer: Option<Answer>,
}

impl Seen {
    /// Whether a turn was answered whole.
    pub fn is_whole_turn(&self) -> bool {
        let answer = self.answer.as_ref();
        answer.is_some_and(|answer| answer.status == 200 && answer.is_whole)
    }

    /// Events that have reached the caller; `None` if the answer is not a beginning of the
    /// worker's stream.
    pub fn events(&self) -> Option<u32> {
        let Some(answer) = &self.answer else {
            return Some(0);
        };
        if answer.status != 200 {
            return Some(0);
        }
        let mut expected = String::new();
        for number in 0..=EVENTS {
            if answer.body == expected {
                return Some(number);
            }
            expected.push_str(&event(number + 1));
        }
        None
    }
}

/// Everything that callers have sent and seen, by request id.
#[derive(Default)]
pub struct Records {
    pub requests: RefCell<BTreeMap<String, Seen>>,
    pub budgets: RefCell<BTreeMap<String, u64>>,
    next: Cell<u64>,
}

impl Records {
    fn next_number(&self) -> u64 {
        self.next.set(self.next.get() + 1);
        self.next.get()
    }
}

/// One caller, which runs programs one after the other until it is told to stop.
pub struct CallerTask {
    pub records: Rc<Records>,
    pub nodes: Vec<SocketAddr>,
    pub stop: Rc<Cell<bool>>,
    pub seed: u64,
    /// Whether it sends one request after the other on a connection until that ends, also to a node
    /// that is stopping.
    pub keeps_connections: bool,
    /// Whether it asks for long streams and leaves them unread for a while.
    pub stops_reading: bool,
    /// Its connections at rest, by node.
    pub connections: RefCell<BTreeMap<SocketAddr, Connection>>,
}

impl CallerTask {
    pub async fn run(self) {
        let mut random = ChaCha8Rng::seed_from_u64(self.seed);
        while !self.stop.get() {
            self.run_program(&mut random).await;
        }
    }

    async fn run_program(&self, random: &mut ChaCha8Rng) {
        let program = format!("program-{}", self.records.next_number());
        let kinds = [Kind::Turn, Kind::TurnOnce, Kind::KeptTurn, Kind::KeptTurn];
        let kind = *kinds.choose(random).expect("some kinds");
        let turns = random.random_range(1..=5);
        // Some budgets do not hold all turns.
        let budget = TURN_TOKENS * random.random_range(1..=6);
        self.records
            .budgets
            .borrow_mut()
            .insert(program.clone(), budget);
        let mut previous = None;
        for _ in 0..turns {
            if self.stop.get() {
                return;
            }
            let ended = self.turn(random, kind, &program, budget, &previous).await;
            let Some(turn) = ended else { return };
            previous = (kind == Kind::KeptTurn).then_some(turn);
            let tool = [Kind::SafeCall, Kind::CallOnce];
            let tool = *tool.choose(random).expect("some kinds");
            self.send(random, tool, &program, 0, None).await;
        }
    }

    /// Runs a turn, with a few tries; `None` if the program cannot go on.
    async fn turn(
        &self,
        random: &mut ChaCha8Rng,
        kind: Kind,
        program: &str,
        budget: u64,
        previous: &Option<String>,
    ) -> Option<String> {
        for _ in 0..TRIES {
            let previous = previous.clone();
            let (id, answer) = self.send(random, kind, program, budget, previous).await;
            match answer {
                Some(answer) if answer.status == 200 && answer.is_whole => return Some(id),
                Some(answer) if [402, 404].contains(&answer.status) => return None,
                _ => actix_rt::time::sleep(RETRY_PAUSE).await,
            }
        }
        None
    }

    async fn send(
        &self,
        random: &mut ChaCha8Rng,
        kind: Kind,
        program: &str,
        budget: u64,
        previous: Option<String>,
    ) -> (String, Option<Answer>) {
        let id = format!("request-{}", self.records.next_number());
        let input = format!("input of {id} ");
        let mut request = Request::new("POST", kind.path(), &id)
            .deadline(PATIENCE.as_millis() as u64)
            .body(&input);
        if !matches!(kind, Kind::SafeCall | Kind::CallOnce) {
            request = request.turn(program, budget, TURN_TOKENS);
        }
        if let Some(previous) = &previous {
            request = request.previous_turn(previous);
        }
        let seen = Seen {
            kind,
            program: program.to_owned(),
            input,
            previous,
            answer: None,
        };
        // Known before it is sent: a worker may run it before the caller hears of it.
        self.records.requests.borrow_mut().insert(id.clone(), seen);
        let node = *self.nodes.choose(random).expect("some nodes");
        let is_long = self.stops_reading && matches!(kind, Kind::Turn | Kind::TurnOnce);
        let answer = match is_long {
            true => {
                let unread = Duration::from_millis(random.random_range(0..MOST_UNREAD_MS));
                leave_unread(&request, node, unread).await
            }
            false => self.exchange(&request, node).await,
        };
        let answer = answer.filter(|answer| answer.status != 0);
        if let Some(seen) = self.records.requests.borrow_mut().get_mut(&id) {
            seen.answer.clone_from(&answer);
        }
        (id, answer)
    }

    /// Sends a request on a connection at rest, if one is kept, or on a new one.
    async fn exchange(&self, request: &Request, node: SocketAddr) -> Option<Answer> {
        if !self.keeps_connections {
            return request.try_send(node, PATIENCE).await;
        }
        let kept = self.connections.borrow_mut().remove(&node);
        let (answer, connection) = request.try_send_on(kept, node, PATIENCE).await?;
        let closes = answer
            .header("connection")
            .is_some_and(|value| value == "close");
        if answer.is_whole && !closes {
            self.connections.borrow_mut().insert(node, connection);
        }
        Some(answer)
    }
}

/// Asks for a long stream and leaves it unread for a while. The answer is judged without what its
/// events were made longer with; a piece of that which is missing stays to be seen.
async fn leave_unread(request: &Request, node: SocketAddr, unread: Duration) -> Option<Answer> {
    let bytes = PADDING_BYTES.to_string();
    let request = request.clone().header(PADDING_HEADER, &bytes);
    let answer = request.try_send_delayed_read(node, unread, PATIENCE).await;
    answer.map(|answer| Answer {
        body: answer.body.replace(&padding(PADDING_BYTES), ""),
        ..answer
    })
}
