//! A caller whose requests crash every worker that runs them.

use std::cell::Cell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::callers::{ANSWER_TIMEOUT, Kind, RETRY_PAUSE, Records, RequestRecord, TURN_TOKENS};
use crate::fleet::{CRASH_MARK, Fleet};
use crate::standin::caller::Request;

/// Maximum time between two such requests, in milliseconds.
const MAX_PAUSE_MS: u64 = 1_500;

/// Time after a try in which a node finds out that a worker ended, and reports it.
const REPORT_TIME: Duration = Duration::from_millis(100);

/// Number of tries: two of each of three starts.
const TRIES: u32 = 6;

/// One such request, over all its tries.
#[derive(Clone, Debug)]
pub struct DeadlyRequest {
    /// Ids of its tries.
    pub ids: Vec<String>,
    tries: Vec<Try>,
}

/// One try at one node.
#[derive(Clone, Copy, Debug)]
struct Try {
    node: usize,
    started: Instant,
    ended: Instant,
}

/// One such request as observed.
#[derive(Clone, Debug)]
pub struct ObservedDeadly {
    /// Ids of its tries.
    pub ids: Vec<String>,
    /// Whether each process ran throughout the tries that it handled, so that it could see and report
    /// the ends under them, and some process ran throughout all tries, so that this was not lost.
    pub is_known: bool,
}

impl DeadlyRequest {
    /// Returns the request with what the fleet's processes did meanwhile.
    pub fn observe(&self, fleet: &Fleet) -> ObservedDeadly {
        let started = self.tries.first().map(|first| first.started);
        let ended = self.tries.last().map(|last| last.ended);
        let is_kept = started.zip(ended).is_some_and(|(started, ended)| {
            let mut nodes = fleet.nodes.iter();
            nodes.any(|node| node.ran_throughout(started, ended))
        });
        let mut tries = self.tries.iter();
        let is_seen = tries.all(|sent| {
            let node = &fleet.nodes[sent.node];
            node.ran_throughout(sent.started, sent.ended + REPORT_TIME)
        });
        ObservedDeadly {
            ids: self.ids.clone(),
            is_known: is_kept && is_seen,
        }
    }
}

/// Caller that sends one such request after another until `stop` is set.
pub struct DeadlyCaller {
    pub records: Rc<Records>,
    pub nodes: Vec<SocketAddr>,
    pub stop: Rc<Cell<bool>>,
    pub seed: u64,
}

impl DeadlyCaller {
    pub async fn run(self) {
        let mut random = ChaCha8Rng::seed_from_u64(self.seed ^ u64::MAX);
        while !self.stop.get() {
            let pause = Duration::from_millis(random.random_range(0..MAX_PAUSE_MS));
            actix_rt::time::sleep(pause).await;
            let sent = self.send(&mut random).await;
            self.records.deadly.borrow_mut().push(sent);
        }
    }

    /// Sends one request over all its tries, each at a random node.
    async fn send(&self, random: &mut ChaCha8Rng) -> DeadlyRequest {
        let program = format!("deadly-{}", self.records.next_number());
        let kinds = [Kind::Turn, Kind::Turn, Kind::TurnOnce, Kind::SafeCall];
        let kind = *kinds.choose(random).expect("some kinds");
        let budget = TURN_TOKENS * u64::from(2 * TRIES);
        let budgets = &self.records.budgets;
        budgets.borrow_mut().insert(program.clone(), budget);
        let mut tries = Vec::new();
        let mut ids = Vec::new();
        // Id of the attempt that brought the first event, and number of events.
        let mut began: Option<(String, u32)> = None;
        for number in 0..TRIES {
            if number % 2 == 0 {
                began = None;
            }
            let id = format!("request-{}", self.records.next_number());
            let node = random.random_range(0..self.nodes.len());
            let started = Instant::now();
            let record = self
                .send_try(node, kind, &program, budget, &id, &began)
                .await;
            let events = record.events().unwrap_or(0);
            began = match began {
                Some((first, had)) => Some((first, had + events)),
                None => (events > 0 && kind == Kind::Turn).then(|| (id.clone(), events)),
            };
            ids.push(id);
            tries.push(Try {
                node,
                started,
                ended: Instant::now(),
            });
            actix_rt::time::sleep(RETRY_PAUSE).await;
        }
        DeadlyRequest { ids, tries }
    }

    async fn send_try(
        &self,
        node: usize,
        kind: Kind,
        program: &str,
        budget: u64,
        id: &str,
        began: &Option<(String, u32)>,
    ) -> RequestRecord {
        let input = format!("{CRASH_MARK} input of {program} ");
        let mut request = Request::new("POST", kind.path(), id)
            .deadline(ANSWER_TIMEOUT.as_millis() as u64)
            .body(&input)
            .turn(program, budget, TURN_TOKENS);
        if let Some((first, had)) = began {
            request = request
                .header("Last-Event-Id", &had.to_string())
                .header("Resumes", first);
        }
        let mut record = RequestRecord {
            kind,
            program: program.to_owned(),
            input,
            previous: None,
            had: began.as_ref().map_or(0, |(_, had)| *had),
            resumes: began.as_ref().map(|(first, _)| first.clone()),
            versions: BTreeSet::new(),
            answer: None,
        };
        self.records.note(id, &record);
        let answer = request.try_send(self.nodes[node], ANSWER_TIMEOUT).await;
        record.answer = answer.filter(|answer| answer.status != 0);
        self.records.note(id, &record);
        record
    }
}
