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

/// Maximum number of keys of requests that a node records in the log.
const MAX_RECORDED: usize = 96;

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

/// The workers that ended or may have ended under a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedRequest {
    /// The request, or one try of it.
    pub request: RequestKey,
    /// What the key stands for.
    pub kind: KeyKind,
    /// Time since the last of the ends.
    pub age: Duration,
    /// The workers that ended.
    pub workers: Vec<WorkerKey>,
    /// The workers at which it was left without an answer and that aren't known to run.
    pub possible: Vec<WorkerKey>,
}

/// A worker at which a request was left without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PossibleEnd {
    /// The worker.
    pub worker: WorkerKey,
    /// When that was, or earlier.
    pub since: Timestamp,
}

#[derive(Clone, Debug)]
struct Entry {
    kind: KeyKind,
    workers: Vec<WorkerKey>,
    possible: Vec<PossibleEnd>,
    /// When the last of them ended or may have ended, to this node's knowledge.
    noted: Timestamp,
    /// Number of reports sent, if this node reports it.
    reports: Option<usize>,
    next_report: Timestamp,
    /// Whether this node noted any of it and keeps it in the log, too.
    is_own: bool,
}

impl Entry {
    fn is_empty(&self) -> bool {
        self.workers.is_empty() && self.possible.is_empty()
    }

    /// Adds a possible end; returns whether it is new.
    fn add_possible(&mut self, end: PossibleEnd) -> bool {
        let is_known = self.workers.contains(&end.worker)
            || self.possible.iter().any(|known| known.worker == end.worker);
        if is_known || self.possible.len() >= MAX_WORKERS {
            return false;
        }
        self.possible.push(end);
        self.noted = self.noted.max(end.since);
        true
    }

    /// Replaces what is known by what another try has met, if that is more. Returns whether it is.
    fn replace_if_more(&mut self, workers: &[WorkerKey], possible: Vec<PossibleEnd>) -> bool {
        let mut others: Vec<PossibleEnd> = Vec::new();
        for end in possible {
            let is_known = workers.contains(&end.worker)
                || others.iter().any(|other| other.worker == end.worker);
            if !is_known {
                others.push(end);
            }
        }
        let known = self.workers.len() + self.possible.len();
        let is_more = workers.len() + others.len() > known;
        if is_more {
            self.workers = workers.to_vec();
            self.possible = others;
        }
        is_more
    }

    fn report_from(&mut self, at: Timestamp) {
        self.is_own = true;
        self.reports = Some(0);
        self.next_report = at;
    }

    fn remove_possible(&mut self, worker: WorkerKey) {
        self.possible.retain(|known| known.worker != worker);
    }
}

/// A request of this node that was left without an answer at a worker, so that the worker may have
/// ended.
#[derive(Clone, Copy, Debug)]
struct Break {
    worker: WorkerKey,
    request: RequestIdentity,
    since: Timestamp,
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
        let Some(known) = self.entries.get(&request.content) else {
            return;
        };
        let (workers, possible) = (known.workers.clone(), known.possible.clone());
        if !workers.is_empty() {
            self.add(now, request.attempt, KeyKind::Attempt, &workers);
        }
        for end in possible {
            let entry = self.entry(now, request.attempt, KeyKind::Attempt);
            entry.add_possible(end);
        }
    }

    /// Records that a request was left without an answer at a worker. The worker counts as one that may
    /// have ended until it is known to run. Other nodes are told from `report_from` on.
    pub fn note_break(
        &mut self,
        now: Timestamp,
        worker: WorkerKey,
        request: &RequestIdentity,
        report_from: Timestamp,
    ) {
        self.breaks
            .retain(|known| known.worker != worker || known.request != *request);
        self.breaks.push(Break {
            worker,
            request: *request,
            since: now,
        });
        let content = (!request.is_shared).then_some((request.content, KeyKind::Content));
        let attempts = [Some(request.attempt), request.resumed];
        let attempts = attempts
            .into_iter()
            .flatten()
            .map(|key| (key, KeyKind::Attempt));
        let end = PossibleEnd { worker, since: now };
        for (key, kind) in content.into_iter().chain(attempts) {
            let entry = self.entry(now, key, kind);
            if entry.add_possible(end) {
                entry.report_from(report_from);
            }
        }
        if request.is_shared {
            self.note_shared_break(now, request, report_from);
        }
    }

    /// Lets content that may belong to other callers stand for the try that met the most.
    fn note_shared_break(
        &mut self,
        now: Timestamp,
        request: &RequestIdentity,
        report_from: Timestamp,
    ) {
        let workers: Vec<WorkerKey> = self.workers(request).into_iter().collect();
        let possible: Vec<PossibleEnd> = self.possible_ends(request).collect();
        let entry = self.entry(now, request.content, KeyKind::SharedContent);
        if entry.replace_if_more(&workers, possible) {
            entry.noted = now;
            entry.report_from(report_from);
        }
    }

    /// Returns whether a break at a worker is still being investigated for a request.
    pub fn has_break(&self, worker: WorkerKey, request: &RequestIdentity) -> bool {
        let mut breaks = self.breaks.iter();
        breaks.any(|known| known.worker == worker && known.request == *request)
    }

    /// Returns whether a worker may have ended under any request.
    pub fn may_have_ended(&self, worker: WorkerKey) -> bool {
        let mut possible = self.entries.values().flat_map(|entry| &entry.possible);
        possible.any(|end| end.worker == worker)
    }

    /// Records that a worker runs and has not ended under any request so far. Returns the number of
    /// breaks at it.
    pub fn note_alive(&mut self, worker: WorkerKey) -> usize {
        let before = self.breaks.len();
        self.breaks.retain(|known| known.worker != worker);
        for entry in self.entries.values_mut() {
            entry.remove_possible(worker);
        }
        self.entries.retain(|_, entry| !entry.is_empty());
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
        self.end_told(now, worker);
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

    /// Turns the possible ends of a worker into ends, also those that other nodes reported.
    fn end_told(&mut self, now: Timestamp, worker: WorkerKey) {
        let of_worker = self.entries.iter_mut().filter(|(_, entry)| {
            let mut possible = entry.possible.iter();
            possible.any(|end| end.worker == worker)
        });
        for (_, entry) in of_worker {
            entry.remove_possible(worker);
            entry.workers.push(worker);
            entry.workers.truncate(MAX_WORKERS);
            entry.noted = entry.noted.max(now);
            entry.report_from(now);
        }
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
        let noted = now - told.age;
        if !told.workers.is_empty() {
            self.merge(noted, told.request, told.kind, &told.workers);
        }
        let (ended, possible): (Vec<WorkerKey>, Vec<WorkerKey>) = told
            .possible
            .iter()
            .partition(|worker| self.ended_workers.contains_key(worker));
        if !ended.is_empty() {
            self.merge(noted, told.request, told.kind, &ended);
        }
        if possible.is_empty() {
            return;
        }
        let since = noted;
        let possible = possible
            .into_iter()
            .map(|worker| PossibleEnd { worker, since });
        let entry = self.entry(noted, told.request, told.kind);
        if told.kind == KeyKind::SharedContent {
            let workers = entry.workers.clone();
            entry.replace_if_more(&workers, possible.collect());
            return;
        }
        for end in possible {
            entry.add_possible(end);
        }
    }

    /// Records that a worker has answered a request: it doesn't end its workers. Returns what was known
    /// of it.
    pub fn note_served(&mut self, request: &RequestIdentity) -> EndCount {
        let known = self.count(request);
        for key in request.keys() {
            self.entries.remove(&key);
        }
        self.breaks.retain(|known| known.request != *request);
        known
    }

    /// Returns how many workers have ended or may have ended under a request.
    pub fn count(&self, request: &RequestIdentity) -> EndCount {
        let ended = self.workers(request);
        let possible = self.possible_ends(request);
        let unsettled: BTreeSet<WorkerKey> = possible.map(|end| end.worker).collect();
        EndCount {
            ended: ended.len(),
            unsettled: unsettled.difference(&ended).count(),
        }
    }

    /// Returns the workers that may have ended under a request.
    pub fn possible_ends(&self, request: &RequestIdentity) -> impl Iterator<Item = PossibleEnd> {
        let entries = self.entries_of(request);
        entries.flat_map(|entry| &entry.possible).copied()
    }

    /// Returns the workers that ended under a request.
    pub fn workers(&self, request: &RequestIdentity) -> BTreeSet<WorkerKey> {
        let entries = self.entries_of(request);
        entries.flat_map(|entry| &entry.workers).copied().collect()
    }

    fn entries_of(&self, request: &RequestIdentity) -> impl Iterator<Item = &Entry> {
        let content = (!request.is_shared).then_some(request.content);
        let keys = [content, Some(request.attempt), request.resumed];
        let keys = keys.into_iter().flatten();
        keys.filter_map(|key| self.entries.get(&key))
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

    /// Returns what this node has to record in the log: the newest of its requests under which workers
    /// ended.
    pub fn to_record(&self, now: Timestamp) -> Vec<EndedRequest> {
        let own = self.entries.iter();
        let mut own: Vec<_> = own
            .filter(|(_, entry)| entry.is_own && !entry.workers.is_empty())
            .collect();
        own.sort_by_key(|(key, entry)| (std::cmp::Reverse(entry.noted), **key));
        own.truncate(MAX_RECORDED);
        own.into_iter()
            .map(|(request, entry)| ended_request(now, *request, entry))
            .collect()
    }

    /// Takes over what this node's process before this one recorded.
    pub fn take_own_recorded(&mut self, now: Timestamp, recorded: &EndedRequest) {
        self.note_told(now, recorded);
        if let Some(entry) = self.entries.get_mut(&recorded.request) {
            entry.is_own = true;
        }
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
        self.breaks
            .retain(|known| now.since(known.since) <= lifetime);
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
            entry.report_from(now);
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
        let entry = self.entry(noted, request, kind);
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
        let Entry {
            workers: ended,
            possible,
            ..
        } = entry;
        possible.retain(|end| !ended.contains(&end.worker));
        let has_grown = entry.workers.len() > before;
        if has_grown {
            entry.noted = entry.noted.max(noted);
        }
        has_grown
    }

    /// Returns the entry of a key, which is created if there is none.
    fn entry(&mut self, noted: Timestamp, request: RequestKey, kind: KeyKind) -> &mut Entry {
        if !self.entries.contains_key(&request) {
            self.make_room();
            self.order.push_back((noted, request));
        }
        self.entries.entry(request).or_insert_with(|| Entry {
            kind,
            workers: Vec::new(),
            possible: Vec::new(),
            noted,
            reports: None,
            next_report: noted,
            is_own: false,
        })
    }

    fn make_room(&mut self) {
        while self.order.len() >= MAX_REQUESTS {
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
        possible: entry.possible.iter().map(|end| end.worker).collect(),
    }
}
