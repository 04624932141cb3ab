//! Callers that run programs of turns and tool calls, and record what they receive.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::deadly::DeadlyRequest;
use crate::fleet::EVENTS;
use crate::impatient::ImpatientProgram;
use crate::standin::caller::{Answer, Connection, Request};
use crate::standin::worker::{PADDING_HEADER, SOFTWARE_HEADER, event, padding, split_software};

/// Tokens counted per event, as in the stand-in's configuration.
pub const TOKENS_PER_EVENT: u64 = 10;

/// Maximum number of tokens that a turn generates.
pub const TURN_TOKENS: u64 = TOKENS_PER_EVENT * EVENTS as u64;

/// Time that a caller waits for an answer; also sent as the request's deadline.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_400);

/// Maximum time before a slow caller starts to read an answer, in milliseconds.
const MAX_READ_DELAY_MS: u64 = 1_200;

/// Padding that a slow caller requests for each event, in bytes, so that a stream exceeds the
/// socket buffers of the operating system.
const PADDING_BYTES: usize = 1024 * 1024;

/// Maximum number of attempts of one turn, each with a new request id.
const MAX_ATTEMPTS: u32 = 4;

/// Pause before another attempt.
pub const RETRY_PAUSE: Duration = Duration::from_millis(120);

/// Kind of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A tool call that may be repeated.
    SafeCall,
    /// A tool call that runs at most once.
    CallOnce,
    /// A turn whose stream may be resumed.
    Turn,
    /// A turn that runs at most once.
    TurnOnce,
    /// A turn that the system stores and that runs at most once.
    StoredTurn,
    /// A turn whose stream may be resumed, at a second worker too.
    TurnAtTwo,
    /// A tool call on a route whose type changes.
    ChangingCall,
    /// A turn on a route that changes between types that may and may not be resumed.
    ChangingTurn,
}

/// Kinds of turns of [`crate::round::Schedule`]s, with repetitions for their share.
pub const TURNS: &[Kind] = &[
    Kind::Turn,
    Kind::Turn,
    Kind::TurnOnce,
    Kind::StoredTurn,
    Kind::StoredTurn,
];

/// Kinds of tool calls.
pub const CALLS: &[Kind] = &[Kind::SafeCall, Kind::CallOnce];

/// Kinds of turns if some routes change.
pub const CHANGING_TURNS: &[Kind] = &[
    Kind::Turn,
    Kind::TurnAtTwo,
    Kind::TurnOnce,
    Kind::TurnOnce,
    Kind::StoredTurn,
    Kind::StoredTurn,
    Kind::ChangingTurn,
];

/// Kinds of tool calls if some routes change.
pub const CHANGING_CALLS: &[Kind] = &[
    Kind::SafeCall,
    Kind::CallOnce,
    Kind::CallOnce,
    Kind::ChangingCall,
];

impl Kind {
    /// Returns the path of the route for requests of this kind.
    pub fn path(self) -> &'static str {
        match self {
            Self::SafeCall => "/safe/x",
            Self::CallOnce => "/once/x",
            Self::Turn => "/stream/x",
            Self::TurnOnce => "/stream-once/x",
            Self::StoredTurn => "/kept/x",
            Self::TurnAtTwo => "/stream-two/x",
            Self::ChangingCall => "/changing/x",
            Self::ChangingTurn => "/changing-stream/x",
        }
    }

    /// Returns whether the request is a tool call.
    pub fn is_call(self) -> bool {
        matches!(self, Self::SafeCall | Self::CallOnce | Self::ChangingCall)
    }

    /// Returns whether a caller takes the stream up again.
    pub fn is_resumable(self) -> bool {
        matches!(self, Self::Turn | Self::TurnAtTwo)
    }

    /// Returns the largest number of workers that one request may go to in any configuration.
    pub fn attempts(self) -> usize {
        match self {
            Self::SafeCall | Self::CallOnce | Self::ChangingCall => 3,
            Self::Turn => 1,
            Self::TurnOnce | Self::StoredTurn | Self::TurnAtTwo | Self::ChangingTurn => 2,
        }
    }

    /// Returns whether a request must run at most once.
    pub fn at_most_once(self) -> bool {
        matches!(self, Self::CallOnce | Self::TurnOnce | Self::StoredTurn)
    }
}

/// One request and its answer.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    pub kind: Kind,
    pub program: String,
    pub input: String,
    pub previous: Option<String>,
    /// Id of the first attempt that brought an event of the stream, if this one takes it up again.
    pub resumes: Option<String>,
    /// Number of events that the caller had when it sent the request.
    pub had: u32,
    /// Software versions of the workers that sent the events of this answer.
    pub versions: BTreeSet<String>,
    /// `None` if the caller timed out or the connection closed without an answer.
    pub answer: Option<Answer>,
}

impl RequestRecord {
    /// Returns whether the request was answered successfully and completely.
    pub fn is_complete_turn(&self) -> bool {
        let answer = self.answer.as_ref();
        answer.is_some_and(|answer| answer.status == 200 && answer.is_whole)
    }

    /// Returns the number of events that the answer brought, or `None` if they don't continue those
    /// that the caller had.
    pub fn events(&self) -> Option<u32> {
        let Some(answer) = &self.answer else {
            return Some(0);
        };
        if answer.status != 200 {
            return Some(0);
        }
        let mut expected = String::new();
        for number in self.had..=EVENTS {
            if answer.body == expected {
                return Some(number - self.had);
            }
            expected.push_str(&event(number + 1));
        }
        None
    }
}

/// What a caller asks for.
struct Order<'a> {
    kind: Kind,
    program: &'a str,
    budget: u64,
    previous: Option<String>,
    /// The stream that is taken up again.
    interrupted: Option<Interrupted>,
}

/// A stream that broke off after some events.
struct Interrupted {
    /// Id of the attempt that brought its first event.
    began: String,
    input: String,
    /// Number of events that the caller has.
    had: u32,
}

impl Interrupted {
    /// Returns the stream that an attempt began or went on with; `None` if the caller has no event.
    fn by(id: &str, record: &RequestRecord) -> Option<Self> {
        let had = record.had + record.events().unwrap_or(0);
        let began = record.resumes.clone().unwrap_or_else(|| id.to_owned());
        (had > 0).then(|| Self {
            began,
            input: record.input.clone(),
            had,
        })
    }
}

/// Requests of all callers by id, and the budget of each program in tokens.
#[derive(Default)]
pub struct Records {
    pub requests: RefCell<BTreeMap<String, RequestRecord>>,
    pub budgets: RefCell<BTreeMap<String, u64>>,
    /// Requests that crash their workers.
    pub deadly: RefCell<Vec<DeadlyRequest>>,
    /// Programs whose callers give up early.
    pub impatient: RefCell<Vec<ImpatientProgram>>,
    last_number: Cell<u64>,
}

impl Records {
    /// Records a request, or its answer.
    pub fn note(&self, id: &str, record: &RequestRecord) {
        let mut requests = self.requests.borrow_mut();
        requests.insert(id.to_owned(), record.clone());
    }

    /// Returns a new number for a program or request.
    pub fn next_number(&self) -> u64 {
        self.last_number.set(self.last_number.get() + 1);
        self.last_number.get()
    }
}

/// Caller that runs programs in sequence until `stop` is set.
pub struct CallerTask {
    pub records: Rc<Records>,
    pub nodes: Vec<SocketAddr>,
    pub stop: Rc<Cell<bool>>,
    pub seed: u64,
    /// Whether it reuses a connection until the server closes it, even if the node is stopping.
    pub reuses_connections: bool,
    /// Whether it requests long streams and delays reading them.
    pub delays_reading: bool,
    /// Kinds of its turns and calls.
    pub turns: &'static [Kind],
    pub calls: &'static [Kind],
    /// Idle connections by node.
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
        let kind = *self.turns.choose(random).expect("some kinds");
        let turns = random.random_range(1..=5);
        // Some budgets do not cover all turns.
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
            previous = (kind == Kind::StoredTurn).then_some(turn);
            let tool = *self.calls.choose(random).expect("some kinds");
            let order = Order {
                kind: tool,
                program: &program,
                budget: 0,
                previous: None,
                interrupted: None,
            };
            self.send(random, order).await;
        }
    }

    /// Runs a turn in up to [`MAX_ATTEMPTS`] attempts and returns the id of the successful request,
    /// or `None` if the program cannot continue. A stream that may be resumed is taken up after its
    /// last event.
    async fn turn(
        &self,
        random: &mut ChaCha8Rng,
        kind: Kind,
        program: &str,
        budget: u64,
        previous: &Option<String>,
    ) -> Option<String> {
        let mut interrupted: Option<Interrupted> = None;
        for _ in 0..MAX_ATTEMPTS {
            let order = Order {
                kind,
                program,
                budget,
                previous: previous.clone(),
                interrupted: interrupted.take(),
            };
            let (id, record) = self.send(random, order).await;
            if record.is_complete_turn() {
                return Some(id);
            }
            let status = record.answer.as_ref().map(|answer| answer.status);
            if status.is_some_and(|status| [402, 404].contains(&status)) {
                return None;
            }
            interrupted = match kind.is_resumable() {
                true => Interrupted::by(&id, &record),
                false => None,
            };
            actix_rt::time::sleep(RETRY_PAUSE).await;
        }
        None
    }

    /// Sends a request to a random node and records it with its answer.
    async fn send(&self, random: &mut ChaCha8Rng, order: Order<'_>) -> (String, RequestRecord) {
        let id = format!("request-{}", self.records.next_number());
        let kind = order.kind;
        let interrupted = order.interrupted;
        let input = match &interrupted {
            Some(interrupted) => interrupted.input.clone(),
            None => format!("input of {id} "),
        };
        let mut request = Request::new("POST", kind.path(), &id)
            .deadline(ANSWER_TIMEOUT.as_millis() as u64)
            .body(&input);
        if !kind.is_call() {
            request = request.turn(order.program, order.budget, TURN_TOKENS);
        }
        if kind.is_resumable() || kind == Kind::TurnOnce {
            request = request.header(SOFTWARE_HEADER, "1");
        }
        if let Some(previous) = &order.previous {
            request = request.previous_turn(previous);
        }
        if let Some(interrupted) = &interrupted {
            request = request
                .header("Last-Event-Id", &interrupted.had.to_string())
                .header("Resumes", &interrupted.began);
        }
        let mut record = RequestRecord {
            kind,
            program: order.program.to_owned(),
            input,
            previous: order.previous,
            had: interrupted.as_ref().map_or(0, |stream| stream.had),
            resumes: interrupted.map(|stream| stream.began),
            versions: BTreeSet::new(),
            answer: None,
        };
        // Recorded before it is sent, since a worker may run it before the answer arrives.
        self.records.note(&id, &record);
        let node = *self.nodes.choose(random).expect("some nodes");
        let is_slow = self.delays_reading && matches!(kind, Kind::Turn | Kind::TurnOnce);
        let answer = match is_slow {
            true => {
                let delay = Duration::from_millis(random.random_range(0..MAX_READ_DELAY_MS));
                exchange_with_read_delay(&request, node, delay).await
            }
            false => self.exchange(&request, node).await,
        };
        let answer = answer.filter(|answer| answer.status != 0);
        record.answer = answer.map(|answer| {
            let (body, versions) = split_software(&answer.body);
            record.versions = versions;
            Answer { body, ..answer }
        });
        self.records.note(&id, &record);
        (id, record)
    }

    /// Sends a request on an idle connection to the node, if there is one, or on a new connection.
    async fn exchange(&self, request: &Request, node: SocketAddr) -> Option<Answer> {
        if !self.reuses_connections {
            return request.try_send(node, ANSWER_TIMEOUT).await;
        }
        let idle = self.connections.borrow_mut().remove(&node);
        let (answer, connection) = request.try_send_on(idle, node, ANSWER_TIMEOUT).await?;
        let closes = answer
            .header("connection")
            .is_some_and(|value| value == "close");
        if answer.is_whole && !closes {
            self.connections.borrow_mut().insert(node, connection);
        }
        Some(answer)
    }
}

/// Requests a padded stream and reads it only after a delay. Complete padding is removed from the
/// answer; truncated padding stays, so that the checks detect it.
async fn exchange_with_read_delay(
    request: &Request,
    node: SocketAddr,
    delay: Duration,
) -> Option<Answer> {
    let bytes = PADDING_BYTES.to_string();
    let request = request.clone().header(PADDING_HEADER, &bytes);
    let answer = request
        .try_send_delayed_read(node, delay, ANSWER_TIMEOUT)
        .await;
    answer.map(|answer| Answer {
        body: answer.body.replace(&padding(PADDING_BYTES), ""),
        ..answer
    })
}
