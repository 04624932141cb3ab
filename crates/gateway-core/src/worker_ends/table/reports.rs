//! What a node tells others and records in the log, and what it is told.

use elderworks_types::Timestamp;

use super::{EndTable, EndedRequest, EndedWorker, KeyKind, PossibleEnd};
use crate::worker_ends::exchanges::{ExchangeKey, MAX_END_DELAY};
use crate::worker_ends::identity::RequestKey;

/// Maximum number of keys of requests that a node records in the log.
const MAX_RECORDED: usize = 96;

impl EndTable {
    /// Records what another node knows of a request.
    pub fn note_told(&mut self, now: Timestamp, told: &EndedRequest) {
        for exchange in &told.ended {
            let ended = EndedWorker {
                noted: now,
                may_return: false,
            };
            let worker = self.ended_workers.entry(exchange.worker_part());
            worker.or_insert(ended);
        }
        let noted = now - told.age;
        if !told.outlived.is_empty() {
            self.note_outlived(noted, told);
        }
        if !told.ended.is_empty() {
            let entry = self.entry(noted, told.request, told.kind);
            entry.add_ended(noted, &told.ended);
        }
        let is_recent = told.age <= MAX_END_DELAY;
        let (ended, possible): (Vec<ExchangeKey>, Vec<ExchangeKey>) =
            told.possible.iter().partition(|exchange| {
                is_recent && self.ended_workers.contains_key(&exchange.worker_part())
            });
        if !ended.is_empty() {
            let entry = self.entry(noted, told.request, told.kind);
            entry.add_ended(noted, &ended);
        }
        if possible.is_empty() {
            return;
        }
        let since = noted;
        let possible = possible.into_iter().map(|exchange| PossibleEnd {
            is_undecided: !is_recent,
            ..PossibleEnd::new(exchange, since)
        });
        let entry = self.entry(noted, told.request, told.kind);
        if told.kind == KeyKind::SharedContent {
            let ended = entry.ended.clone();
            entry.replace_if_more(&ended, possible);
            return;
        }
        for end in possible {
            entry.add_possible(end);
        }
    }

    /// Takes over the proof of the node that had the exchanges.
    fn note_outlived(&mut self, noted: Timestamp, told: &EndedRequest) {
        let entry = self.entry(noted, told.request, told.kind);
        for exchange in &told.outlived {
            entry.outlive(*exchange);
        }
        if told.kind == KeyKind::SharedContent {
            for exchange in &told.outlived {
                self.outlive_inherited(*exchange);
            }
        }
    }

    /// Returns the reports that are due, which count as sent from then on.
    pub fn take_due(&mut self, now: Timestamp) -> Vec<EndedRequest> {
        let due = self.entries.iter_mut().filter_map(|(request, entry)| {
            let is_due = entry.take_due(now);
            is_due.then(|| entry.told(now, *request))
        });
        due.collect()
    }

    /// Returns what is known of some requests.
    pub fn get(&self, now: Timestamp, requests: &[RequestKey]) -> Vec<EndedRequest> {
        let known = requests
            .iter()
            .filter_map(|request| Some((request, self.entries.get(request)?)));
        known
            .map(|(request, entry)| entry.told(now, *request))
            .collect()
    }

    /// Returns what this node has to record in the log: the newest of its requests under which workers
    /// ended.
    pub fn to_record(&self, now: Timestamp) -> Vec<EndedRequest> {
        let own = self.entries.iter();
        let mut own: Vec<_> = own
            .filter(|(_, entry)| entry.is_own && !entry.ended.is_empty())
            .collect();
        own.sort_by_key(|(key, entry)| (std::cmp::Reverse(entry.noted), **key));
        own.truncate(MAX_RECORDED);
        own.into_iter()
            .map(|(request, entry)| entry.told(now, *request))
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
            .map(|(request, entry)| entry.told(now, *request))
            .collect()
    }
}
