//! A caller that gives up early and comes back under a new id. The budgets of its programs hold one
//! turn, so that whatever a start that was given up leaves behind refuses the next one.

use std::cell::Cell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::callers::{ANSWER_TIMEOUT, Kind, Records, RequestRecord, TURN_TOKENS};
use crate::fleet::Fleet;
use crate::standin::caller::Request;

/// Minimum time for which the caller waits for an answer, in milliseconds.
const MIN_TIMEOUT_MS: u64 = 200;

/// Pause before another attempt, in which the end of the one before reaches every node.
const PAUSE: Duration = Duration::from_millis(1_200);

/// Maximum number of attempts of one program.
const MAX_ATTEMPTS: u32 = 6;

/// A program of one turn, over all its attempts.
#[derive(Clone, Debug)]
pub struct ImpatientProgram {
    /// Ids of its attempts.
    pub ids: Vec<String>,
    /// Whether the last attempt was refused because the budget is spent.
    pub is_refused: bool,
    pub started: Instant,
    pub ended: Instant,
}

impl ImpatientProgram {
    /// Returns whether every process ran throughout the program, so that none took what it had
    /// reserved along.
    pub fn is_known(&self, fleet: &Fleet) -> bool {
        let mut nodes = fleet.nodes.iter();
        nodes.all(|node| node.ran_throughout(self.started, self.ended))
    }
}

/// Caller that runs one such program after another until `stop` is set.
pub struct ImpatientCaller {
    pub records: Rc<Records>,
    pub nodes: Vec<SocketAddr>,
    pub stop: Rc<Cell<bool>>,
    pub seed: u64,
}

impl ImpatientCaller {
    pub async fn run(self) {
        let mut random = ChaCha8Rng::seed_from_u64(self.seed ^ u64::from(u32::MAX));
        while !self.stop.get() {
            let program = self.run_program(&mut random).await;
            self.records.impatient.borrow_mut().push(program);
        }
    }

    async fn run_program(&self, random: &mut ChaCha8Rng) -> ImpatientProgram {
        let program = format!("impatient-{}", self.records.next_number());
        let kinds = [Kind::StoredTurn, Kind::StoredTurn, Kind::TurnOnce];
        let kind = *kinds.choose(random).expect("some kinds");
        let budgets = &self.records.budgets;
        budgets.borrow_mut().insert(program.clone(), TURN_TOKENS);
        let started = Instant::now();
        let mut ids = Vec::new();
        let mut is_refused = false;
        for _ in 0..MAX_ATTEMPTS {
            let id = format!("request-{}", self.records.next_number());
            let status = self.send(random, kind, &program, &id).await;
            ids.push(id);
            is_refused = status == Some(402);
            if is_refused || status == Some(200) || self.stop.get() {
                break;
            }
            actix_rt::time::sleep(PAUSE).await;
        }
        ImpatientProgram {
            ids,
            is_refused,
            started,
            ended: Instant::now(),
        }
    }

    /// Sends one attempt to a random node. Returns the status of the answer, `None` if the caller
    /// gave up.
    async fn send(
        &self,
        random: &mut ChaCha8Rng,
        kind: Kind,
        program: &str,
        id: &str,
    ) -> Option<u16> {
        let input = format!("input of {id} ");
        let longest = ANSWER_TIMEOUT.as_millis() as u64;
        let timeout = Duration::from_millis(random.random_range(MIN_TIMEOUT_MS..longest));
        let request = Request::new("POST", kind.path(), id)
            .deadline(longest)
            .body(&input)
            .turn(program, TURN_TOKENS, TURN_TOKENS);
        let mut record = RequestRecord {
            kind,
            program: program.to_owned(),
            input,
            previous: None,
            had: 0,
            resumes: None,
            versions: BTreeSet::new(),
            answer: None,
        };
        // Recorded before it is sent, since a worker may run it before the answer arrives.
        self.records.note(id, &record);
        let node = *self.nodes.choose(random).expect("some nodes");
        let answer = request.try_send(node, timeout).await;
        record.answer = answer.filter(|answer| answer.status != 0);
        self.records.note(id, &record);
        record.answer.map(|answer| answer.status)
    }
}
