//! The requests under which workers ended, as this node knows them: from its own attempts and from the
//! reports of other nodes.

mod reports;

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::time::Duration;

use elderworks_types::Timestamp;

use super::EndCount;
use super::entry::Entry;
pub use super::entry::{EndedRequest, KeyKind, PossibleEnd};
use super::exchanges::{Exchange, ExchangeKey, SignOfLife, WorkerPart};
use super::identity::{RequestIdentity, RequestKey};
use crate::peer_loads::WorkerKey;

/// Maximum number of requests that are remembered; those without an end are forgotten first, then the
/// oldest.
const MAX_REQUESTS: usize = 16_384;

/// An exchange of this node that was left without an answer, so that the worker may have ended.
#[derive(Clone, Copy, Debug)]
struct Break {
    exchange: Exchange,
    request: RequestIdentity,
    since: Timestamp,
    /// Whether a process of the worker's id has answered since.
    is_undecided: bool,
}

impl Break {
    fn key(&self) -> ExchangeKey {
        ExchangeKey::of(&self.exchange, self.request.attempt)
    }
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
    /// Workers of whose ids no process is known to run. Says nothing of the requests that they ran.
    ended_workers: HashMap<WorkerPart, EndedWorker>,
    /// Number of sends in progress, by content.
    in_progress: HashMap<RequestKey, usize>,
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
        let (ended, possible) = (known.ended.clone(), known.possible.clone());
        if !ended.is_empty() {
            self.add(now, request.attempt, KeyKind::Attempt, &ended);
        }
        for end in possible {
            let entry = self.entry(now, request.attempt, KeyKind::Attempt);
            entry.add_possible(end);
        }
    }

    /// Records that a request is sent to a worker, until [`Self::end_send`].
    pub fn begin_send(&mut self, request: &RequestIdentity) {
        *self.in_progress.entry(request.content).or_default() += 1;
    }

    /// Records that a request is no longer at a worker.
    pub fn end_send(&mut self, request: &RequestIdentity) {
        let Some(count) = self.in_progress.get_mut(&request.content) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            self.in_progress.remove(&request.content);
        }
    }

    /// Records that an exchange was left without an answer. Its worker counts as one that may have ended
    /// until it is known to have outlived the exchange. Other nodes are told from `report_from` on.
    pub fn note_break(
        &mut self,
        now: Timestamp,
        exchange: Exchange,
        request: &RequestIdentity,
        report_from: Timestamp,
    ) {
        let new = Break {
            exchange,
            request: *request,
            since: now,
            is_undecided: false,
        };
        self.breaks
            .retain(|known| known.exchange != exchange || known.request != *request);
        self.breaks.push(new);
        let content = (!request.is_shared).then_some((request.content, KeyKind::Content));
        let attempts = [Some(request.attempt), request.resumed];
        let attempts = attempts
            .into_iter()
            .flatten()
            .map(|key| (key, KeyKind::Attempt));
        let end = PossibleEnd::new(new.key(), now);
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
        let ended: Vec<ExchangeKey> = self.ended(request).into_iter().collect();
        let possible: Vec<PossibleEnd> = self.possible_ends(request).collect();
        let entry = self.entry(now, request.content, KeyKind::SharedContent);
        if entry.replace_if_more(&ended, possible.into_iter()) {
            entry.noted = now;
            entry.report_from(report_from);
        }
    }

    /// Returns whether an exchange of a request with a worker is unsettled at this node.
    pub fn has_break(&self, worker: WorkerKey, request: &RequestIdentity) -> bool {
        let mut breaks = self.breaks.iter();
        breaks.any(|known| known.exchange.worker == worker && known.request == *request)
    }

    /// Returns whether an answer on a connection to a worker that was open at `opened` may show that the
    /// worker outlived an exchange of this node.
    pub fn needs_sign_of_life(&self, worker: WorkerKey, opened: Timestamp) -> bool {
        let mut breaks = self.breaks.iter();
        breaks.any(|known| known.exchange.worker == worker && opened <= known.exchange.sent)
    }

    /// Returns whether a worker may have ended under any request.
    pub fn may_have_ended(&self, worker: WorkerKey) -> bool {
        let mut possible = self.entries.values().flat_map(|entry| &entry.possible);
        possible.any(|end| end.exchange.is_with(worker))
    }

    /// Records that the process at a worker's address has answered. Returns the number of exchanges of
    /// this node that it is now known to have outlived.
    pub fn note_answer(&mut self, now: Timestamp, sign: &SignOfLife) -> usize {
        let outlived: Vec<Break> = self
            .breaks
            .extract_if(.., |known| sign.outlives(&known.exchange, known.since))
            .collect();
        for known in &outlived {
            let exchange = known.key();
            for key in known.request.keys() {
                if let Some(entry) = self.entries.get_mut(&key)
                    && entry.outlive(exchange)
                {
                    entry.report_outlived(now);
                }
            }
        }
        let shared = outlived.iter().filter(|known| known.request.is_shared);
        for exchange in shared.map(Break::key) {
            self.outlive_inherited(exchange);
        }
        outlived.len()
    }

    /// Removes an exchange that was outlived from tries which took it over with shared content.
    fn outlive_inherited(&mut self, exchange: ExchangeKey) {
        for entry in self.entries.values_mut() {
            if entry.has_possible(exchange) {
                entry.outlive(exchange);
            }
        }
    }

    /// Records that a process of a worker's id answers long after its exchanges, this or the next one. They
    /// stay possible ends, whatever becomes of that process.
    pub fn note_undecided(&mut self, worker: WorkerKey) {
        for known in &mut self.breaks {
            known.is_undecided |= known.exchange.worker == worker;
        }
        for entry in self.entries.values_mut() {
            entry.note_undecided(WorkerPart::of(worker));
        }
    }

    /// Records that a worker has ended; returns the requests that it was running.
    pub fn note_ended(
        &mut self,
        now: Timestamp,
        worker: WorkerKey,
        may_return: bool,
    ) -> Vec<NewEnd> {
        let part = WorkerPart::of(worker);
        let ended = EndedWorker {
            noted: now,
            may_return,
        };
        self.ended_workers.insert(part, ended);
        let of_worker: Vec<Break> = self
            .breaks
            .extract_if(.., |known| {
                known.exchange.worker == worker && !known.is_undecided
            })
            .collect();
        for entry in self.entries.values_mut() {
            if entry.end_worker(now, part) {
                entry.report_from(now);
            }
        }
        let ends = of_worker.iter().map(|known| {
            let request = known.request;
            self.add_end(now, &request, known.key());
            let ended = self.count(&request).ended;
            NewEnd { request, ended }
        });
        ends.collect()
    }

    /// Records that a process of a worker's id runs: requests may be sent to it. What ended before is as it
    /// was.
    pub fn note_running(&mut self, worker: WorkerKey) {
        if !self.ended_workers.is_empty() {
            self.ended_workers.remove(&WorkerPart::of(worker));
        }
    }

    /// Records that the record of a worker which was taken for ended is back: it may have ended.
    pub fn note_back(&mut self, worker: WorkerKey) {
        let part = WorkerPart::of(worker);
        let known = self.ended_workers.get(&part);
        if !known.is_some_and(|known| known.may_return) {
            return;
        }
        self.ended_workers.remove(&part);
        for entry in self.entries.values_mut() {
            entry.reopen_worker(part);
        }
    }

    /// Records that a caller has received the answer to its request. Content that requests of several
    /// callers may have isn't the cause of an end then; other content isn't sent again. Returns what was
    /// known of the content.
    pub fn note_served(&mut self, request: &RequestIdentity) -> EndCount {
        if !request.is_shared {
            return EndCount::NONE;
        }
        let known = self.entries.remove(&request.content);
        known.map_or(EndCount::NONE, |known| EndCount {
            ended: known.ended.len(),
            unsettled: known.possible.len(),
            in_progress: 0,
        })
    }

    /// Returns how many workers have ended or may have ended under a request.
    pub fn count(&self, request: &RequestIdentity) -> EndCount {
        let ended = self.ended(request);
        let possible = self.possible_ends(request);
        let unsettled: BTreeSet<ExchangeKey> = possible.map(|end| end.exchange).collect();
        // Others may send the same content.
        let in_progress = match request.is_shared {
            true => 0,
            false => self.in_progress.get(&request.content).copied().unwrap_or(0),
        };
        EndCount {
            ended: ended.len(),
            unsettled: unsettled.difference(&ended).count(),
            in_progress,
        }
    }

    /// Returns the exchanges of a request whose worker may have ended.
    pub fn possible_ends(&self, request: &RequestIdentity) -> impl Iterator<Item = PossibleEnd> {
        let entries = self.entries_of(request);
        entries.flat_map(|entry| &entry.possible).copied()
    }

    /// Returns the exchanges of a request whose worker ended.
    pub fn ended(&self, request: &RequestIdentity) -> BTreeSet<ExchangeKey> {
        let entries = self.entries_of(request);
        entries.flat_map(|entry| &entry.ended).copied().collect()
    }

    /// Returns which workers ended under a request.
    pub fn ended_under(&self, request: &RequestIdentity) -> BTreeSet<WorkerPart> {
        let ended = self.ended(request);
        ended.into_iter().map(ExchangeKey::worker_part).collect()
    }

    fn entries_of(&self, request: &RequestIdentity) -> impl Iterator<Item = &Entry> {
        let content = (!request.is_shared).then_some(request.content);
        let keys = [content, Some(request.attempt), request.resumed];
        let keys = keys.into_iter().flatten();
        keys.filter_map(|key| self.entries.get(&key))
    }

    /// Returns the position of a request among those that met ends of the same workers, in an order that
    /// all nodes share.
    pub fn turn_among_alike(&self, request: &RequestIdentity) -> usize {
        let own = self.ended(request);
        let workers = self.ended_under(request);
        let alike = self.entries.iter().filter(|(key, entry)| {
            let mut ended = entry.ended.iter();
            entry.kind == KeyKind::Attempt
                && **key < request.attempt
                && Some(**key) != request.resumed
                && entry.ended.len() == own.len()
                && ended.all(|exchange| workers.contains(&exchange.worker_part()))
        });
        alike.count()
    }

    /// Returns whether a worker has ended and no process of its id is known to run.
    pub fn has_ended(&self, worker: WorkerKey) -> bool {
        self.ended_workers.contains_key(&WorkerPart::of(worker))
    }

    /// Returns whether a worker's process is proved to have ended. One that is silent while its record is
    /// gone counts as ended, but may be cut off.
    pub fn has_proved_end(&self, worker: WorkerKey) -> bool {
        let ended = self.ended_workers.get(&WorkerPart::of(worker));
        ended.is_some_and(|ended| !ended.may_return)
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

    fn add_end(&mut self, now: Timestamp, request: &RequestIdentity, exchange: ExchangeKey) {
        let mut ended: Vec<ExchangeKey> = self.ended(request).into_iter().collect();
        if !ended.contains(&exchange) {
            ended.push(exchange);
        }
        self.add(now, request.content, KeyKind::of_content(request), &ended);
        self.add(now, request.attempt, KeyKind::Attempt, &ended);
        if let Some(resumed) = request.resumed {
            self.add(now, resumed, KeyKind::Attempt, &ended);
        }
    }

    /// Adds ends to a request of this node, which has to be reported then.
    fn add(&mut self, now: Timestamp, request: RequestKey, kind: KeyKind, ended: &[ExchangeKey]) {
        let entry = self.entry(now, request, kind);
        if entry.add_ended(now, ended) {
            entry.report_from(now);
        }
    }

    /// Returns the entry of a key, which is created if there is none.
    fn entry(&mut self, noted: Timestamp, request: RequestKey, kind: KeyKind) -> &mut Entry {
        if !self.entries.contains_key(&request) {
            self.make_room();
            self.order.push_back((noted, request));
        }
        let new = || Entry::new(kind, noted);
        self.entries.entry(request).or_insert_with(new)
    }

    fn make_room(&mut self) {
        while self.order.len() >= MAX_REQUESTS {
            let mut oldest = self.order.iter();
            let without_end = oldest.position(|(_, request)| {
                let entry = self.entries.get(request);
                entry.is_none_or(|entry| entry.ended.is_empty())
            });
            if let Some((_, request)) = self.order.remove(without_end.unwrap_or(0)) {
                self.entries.remove(&request);
            }
        }
    }
}
