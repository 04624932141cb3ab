//! The requests under which workers ended, as this node knows them: from its own attempts and from the
//! reports of other nodes.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::time::Duration;

use elderworks_types::Timestamp;

use super::identity::{RequestIdentity, RequestKey};
use super::{EndCount, MAX_ENDED_WORKERS};
use crate::peer_loads::WorkerKey;

/// Maximum number of requests that are remembered; the oldest are forgotten first.
const MAX_REQUESTS: usize = 16_384;

/// Maximum number of workers that are remembered for a request. More than [`MAX_ENDED_WORKERS`] can end
/// if tries of one request run at the same time.
const MAX_WORKERS: usize = 2 * MAX_ENDED_WORKERS;

/// Pauses after which a report is sent again, since datagrams can be lost and nodes cut off for a
/// moment.
const REPORT_PAUSES: [Duration; 3] = [
    Duration::from_millis(60),
    Duration::from_millis(400),
    Duration::from_millis(1_500),
];

/// What a key of a request stands for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyKind {
    /// One try.
    Attempt,
    /// The content of one request.
    Content,
    /// Content that requests of several callers may have.
    SharedContent,
}

impl KeyKind {
    fn of_content(request: &RequestIdentity) -> Self {
        match request.is_shared {
            true => Self::SharedContent,
            false => Self::Content,
        }
    }
}

/// The workers that ended under a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedRequest {
    /// The request, or one try of it.
    pub request: RequestKey,
    /// What the key stands for.
    pub kind: KeyKind,
    /// Time since the last of the ends.
    pub age: Duration,
    /// The workers.
    pub workers: Vec<WorkerKey>,
}

#[derive(Clone, Debug)]
struct Entry {
    kind: KeyKind,
    workers: Vec<WorkerKey>,
    /// When the last of them ended, to this node's knowledge.
    noted: Timestamp,
    /// Number of reports sent, if this node reports it.
    reports: Option<usize>,
    next_report: Timestamp,
}

/// A request whose exchange with a worker broke off, so that the worker may have ended.
#[derive(Clone, Copy, Debug)]
struct Break {
    worker: WorkerKey,
    request: RequestIdentity,
}

#[derive(Clone, Copy, Debug)]
struct EndedWorker {
    noted: Timestamp,
    /// Whether its record may come back: it did not answer, and its record disappeared.
    may_return: bool,
}

/// A request under which a worker was found to have ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NewEnd {
    /// The request.
    pub request: RequestIdentity,
    /// Number of workers that ended under it so far.
    pub ended: usize,
}

/// What is known of requests under which workers ended.
#[derive(Clone, Debug, Default)]
pub struct EndTable {
    entries: HashMap<RequestKey, Entry>,
    /// Requests in the order in which they were first noted.
    order: VecDeque<(Timestamp, RequestKey)>,
    breaks: Vec<Break>,
    /// Workers that are known to have ended.
    ended_workers: HashMap<WorkerKey, EndedWorker>,
}

impl EndTable {
    /// Lets a try begin. A try whose content may belong to other callers takes over what is known of
    /// the content; later ends of similar requests don't count for it.
    pub fn begin(&mut self, now: Timestamp, request: &RequestIdentity) {
        if !request.is_shared {
            return;
        }
        if let Some(known) = self.entries.get(&request.content) {
            let workers = known.workers.clone();
            self.add(now, request.attempt, KeyKind::Attempt, &workers);
        }
    }

    /// Records that an exchange with a worker broke off.
    pub fn note_break(&mut self, worker: WorkerKey, request: &RequestIdentity) {
        self.breaks
            .retain(|known| known.worker != worker || known.request != *request);
        self.breaks.push(Break {
            worker,
            request: *request,
        });
    }

    /// Returns whether a break at a worker is still being investigated for a request.
    pub fn has_break(&self, worker: WorkerKey, request: &RequestIdentity) -> bool {
        let mut breaks = self.breaks.iter();
        breaks.any(|known| known.worker == worker && known.request == *request)
    }

    /// Records that a worker runs: the breaks were of connections. Returns their number.
    pub fn note_alive(&mut self, worker: WorkerKey) -> usize {
        let before = self.breaks.len();
        self.breaks.retain(|known| known.worker != worker);
        before - self.breaks.len()
    }

    /// Records that a worker has ended; returns the requests that it was running.
    pub fn note_ended(
        &mut self,
        now: Timestamp,
        worker: WorkerKey,
        may_return: bool,
    ) -> Vec<NewEnd> {
        let ended = EndedWorker {
            noted: now,
            may_return,
        };
        self.ended_workers.insert(worker, ended);
        let (of_worker, others) = std::mem::take(&mut self.breaks)
            .into_iter()
            .partition(|known: &Break| known.worker == worker);
        self.breaks = others;
        let of_worker: Vec<Break> = of_worker;
        let requests = of_worker.into_iter().map(|known| known.request);
        requests
            .map(|request| {
                self.add_end(now, &request, worker);
                let ended = self.count(&request).ended;
                NewEnd { request, ended }
            })
            .collect()
    }

    /// Records that the record of a worker which was taken for ended is back.
    pub fn note_back(&mut self, worker: WorkerKey) {
        let known = self.ended_workers.get(&worker);
        if !known.is_some_and(|known| known.may_return) {
            return;
        }
        self.ended_workers.remove(&worker);
        for entry in self.entries.values_mut() {
            entry.workers.retain(|known| *known != worker);
        }
    }

    /// Records what another node knows of a request.
    pub fn note_told(&mut self, now: Timestamp, told: &EndedRequest) {
        for worker in &told.workers {
            let ended = EndedWorker {
                noted: now,
                may_return: false,
            };
            self.ended_workers.entry(*worker).or_insert(ended);
        }
        self.merge(now - told.age, told.request, told.kind, &told.workers);
    }

    /// Records that a worker has answered a request: it doesn't end its workers.
    pub fn note_served(&mut self, request: &RequestIdentity) {
        for key in request.keys() {
            self.entries.remove(&key);
        }
        self.breaks.retain(|known| known.request != *request);
    }

    /// Returns how many workers have ended or may have ended under a request.
    pub fn count(&self, request: &RequestIdentity) -> EndCount {
        let ended = self.workers(request);
        let same = |known: &&Break| {
            known.request.attempt == request.attempt
                || !request.is_shared && known.request.content == request.content
        };
        let unsettled = self.breaks.iter().filter(same).map(|known| known.worker);
        let unsettled: BTreeSet<WorkerKey> =
            unsettled.filter(|worker| !ended.contains(worker)).collect();
        EndCount {
            ended: ended.len(),
            unsettled: unsettled.len(),
        }
    }

    /// Returns the workers that ended under a request.
    pub fn workers(&self, request: &RequestIdentity) -> BTreeSet<WorkerKey> {
        let content = (!request.is_shared).then_some(request.content);
        let keys = [content, Some(request.attempt), request.resumed];
        let entries = keys.into_iter().flatten();
        let entries = entries.filter_map(|key| self.entries.get(&key));
        entries.flat_map(|entry| &entry.workers).copied().collect()
    }

    /// Returns the position of a request among those that met as many ends and the same last one, in an
    /// order that all nodes share.
    pub fn turn_among_alike(&self, request: &RequestIdentity) -> usize {
        let own = self.workers(request);
        let alike = self.entries.iter().filter(|(key, entry)| {
            entry.kind == KeyKind::Attempt
                && **key < request.attempt
                && Some(**key) != request.resumed
                && entry.workers.len() == own.len()
                && entry.workers.iter().all(|worker| own.contains(worker))
        });
        alike.count()
    }

    /// Returns whether a worker is known to have ended.
    pub fn has_ended(&self, worker: WorkerKey) -> bool {
        self.ended_workers.contains_key(&worker)
    }

    /// Returns the reports that are due, which count as sent from then on.
    pub fn take_due(&mut self, now: Timestamp) -> Vec<EndedRequest> {
        let mut due = Vec::new();
        for (request, entry) in &mut self.entries {
            let Some(reports) = entry.reports.filter(|_| entry.next_report <= now) else {
                continue;
            };
            entry.reports = match REPORT_PAUSES.get(reports) {
                Some(pause) => {
                    entry.next_report = now + *pause;
                    Some(reports + 1)
                }
                None => None,
            };
            due.push(ended_request(now, *request, entry));
        }
        due
    }

    /// Returns what is known of some requests.
    pub fn get(&self, now: Timestamp, requests: &[RequestKey]) -> Vec<EndedRequest> {
        let known = requests
            .iter()
            .filter_map(|request| Some((request, self.entries.get(request)?)));
        known
            .map(|(request, entry)| ended_request(now, *request, entry))
            .collect()
    }

    /// Returns everything that is known.
    pub fn all(&self, now: Timestamp) -> Vec<EndedRequest> {
        let known = self.entries.iter();
        known
            .map(|(request, entry)| ended_request(now, *request, entry))
            .collect()
    }

    /// Forgets requests whose last end is longer than `lifetime` ago.
    pub fn drop_old(&mut self, now: Timestamp, lifetime: Duration) {
        self.ended_workers
            .retain(|_, ended| now.since(ended.noted) <= lifetime);
        while let Some((noted, request)) = self.order.front().copied() {
            if now.since(noted) <= lifetime {
                break;
            }
            self.order.pop_front();
            let last = self.entries.get(&request).map(|entry| entry.noted);
            match last.filter(|last| now.since(*last) <= lifetime) {
                Some(last) => self.order.push_back((last, request)),
                None => {
                    self.entries.remove(&request);
                }
            }
        }
    }

    /// Returns the number of requests that are remembered.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no request is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn add_end(&mut self, now: Timestamp, request: &RequestIdentity, worker: WorkerKey) {
        let known = self.workers(request);
        let mut workers: Vec<WorkerKey> = known.into_iter().collect();
        if !workers.contains(&worker) {
            workers.push(worker);
        }
        self.add(now, request.content, KeyKind::of_content(request), &workers);
        self.add(now, request.attempt, KeyKind::Attempt, &workers);
        if let Some(resumed) = request.resumed {
            self.add(now, resumed, KeyKind::Attempt, &workers);
        }
    }

    /// Adds workers to a request of this node, which has to be reported then.
    fn add(&mut self, now: Timestamp, request: RequestKey, kind: KeyKind, workers: &[WorkerKey]) {
        if self.merge(now, request, kind, workers)
            && let Some(entry) = self.entries.get_mut(&request)
        {
            entry.reports = Some(0);
            entry.next_report = now;
        }
    }

    /// Adds workers to a request; returns whether that has changed it. A key that may stand for
    /// several requests keeps the largest number that one of them met.
    fn merge(
        &mut self,
        noted: Timestamp,
        request: RequestKey,
        kind: KeyKind,
        workers: &[WorkerKey],
    ) -> bool {
        let Some(entry) = self.entries.get_mut(&request) else {
            self.insert(noted, request, kind, workers);
            return true;
        };
        let before = entry.workers.len();
        if kind != KeyKind::SharedContent {
            for worker in workers {
                if !entry.workers.contains(worker) {
                    entry.workers.push(*worker);
                }
            }
        } else if workers.len() > before {
            entry.workers = workers.to_vec();
        }
        entry.workers.truncate(MAX_WORKERS);
        let has_grown = entry.workers.len() > before;
        if has_grown {
            entry.noted = entry.noted.max(noted);
        }
        has_grown
    }

    fn insert(
        &mut self,
        noted: Timestamp,
        request: RequestKey,
        kind: KeyKind,
        workers: &[WorkerKey],
    ) {
        let entry = Entry {
            kind,
            workers: workers.to_vec(),
            noted,
            reports: None,
            next_report: noted,
        };
        self.entries.insert(request, entry);
        self.order.push_back((noted, request));
        while self.order.len() > MAX_REQUESTS {
            if let Some((_, oldest)) = self.order.pop_front() {
                self.entries.remove(&oldest);
            }
        }
    }
}

fn ended_request(now: Timestamp, request: RequestKey, entry: &Entry) -> EndedRequest {
    EndedRequest {
        request,
        kind: entry.kind,
        age: now.since(entry.noted),
        workers: entry.workers.clone(),
    }
}
