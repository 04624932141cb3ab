//! The open requests, and when each of them needs attention.

use std::collections::BTreeMap;
use std::time::Duration;

use elderworks_types::Timestamp;

use crate::core::{DEADLINE_GRACE, PROBE_AFTER, RESEND_AFTER, RESUBMIT_CALL_AFTER};
use crate::due_queue::DueQueue;
use crate::request::{Body, OpenRequest, Position, RequestKey};

/// When one request needs attention.
#[derive(Clone, Copy, Debug, Default)]
struct DueTimes {
    /// When it is to be sent, if it waits here.
    send: Option<Timestamp>,
    /// When its node counts as silent, if it is with one.
    silence: Option<Timestamp>,
    /// When it is given up.
    expiry: Option<Timestamp>,
}

impl DueTimes {
    fn of(request: &OpenRequest) -> Self {
        let (send, silence) = match request.position {
            Position::Waiting { retry_at } => (Some(retry_at), None),
            Position::Sent { heard, .. } => (None, Some(heard + shortest_silence(request))),
        };
        Self {
            send,
            silence,
            expiry: Some(expiry(request)),
        }
    }
}

#[derive(Debug)]
struct Entry {
    request: OpenRequest,
    /// The times under which it is in the queues.
    scheduled: DueTimes,
}

/// All open requests. A request that was inserted or borrowed mutably is scheduled anew before the
/// queues are next read, so that no change of a request can miss them.
#[derive(Debug, Default)]
pub(crate) struct OpenRequests {
    entries: BTreeMap<RequestKey, Entry>,
    to_send: DueQueue,
    silent: DueQueue,
    overdue: DueQueue,
    /// Requests that may have changed since the queues were last read.
    changed: Vec<RequestKey>,
}

impl OpenRequests {
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(crate) fn contains_key(&self, key: &RequestKey) -> bool {
        self.entries.contains_key(key)
    }

    pub(crate) fn get(&self, key: &RequestKey) -> Option<&OpenRequest> {
        self.entries.get(key).map(|entry| &entry.request)
    }

    pub(crate) fn get_mut(&mut self, key: &RequestKey) -> Option<&mut OpenRequest> {
        let entry = self.entries.get_mut(key)?;
        self.changed.push(*key);
        Some(&mut entry.request)
    }

    pub(crate) fn insert(&mut self, key: RequestKey, request: OpenRequest) {
        self.remove(&key);
        let scheduled = DueTimes::default();
        self.entries.insert(key, Entry { request, scheduled });
        self.changed.push(key);
    }

    pub(crate) fn remove(&mut self, key: &RequestKey) -> Option<OpenRequest> {
        let entry = self.entries.remove(key)?;
        self.move_in_queues(*key, entry.scheduled, DueTimes::default());
        Some(entry.request)
    }

    /// The keys of the requests that `is_meant` holds for, found by walking all of them.
    pub(crate) fn matching(&self, is_meant: impl Fn(&OpenRequest) -> bool) -> Vec<RequestKey> {
        self.entries
            .iter()
            .filter(|(_, entry)| is_meant(&entry.request))
            .map(|(key, _)| *key)
            .collect()
    }

    /// The same among the requests that are not calls, without walking the calls.
    pub(crate) fn matching_others(
        &self,
        is_meant: impl Fn(&OpenRequest) -> bool,
    ) -> Vec<RequestKey> {
        self.entries
            .range(RequestKey::Other(0)..)
            .filter(|(_, entry)| is_meant(&entry.request))
            .map(|(key, _)| *key)
            .collect()
    }

    /// Requests to be sent at `now`, in order of their keys.
    pub(crate) fn due_to_send(&mut self, now: Timestamp) -> Vec<RequestKey> {
        self.schedule_changed();
        self.to_send.due(now)
    }

    /// Requests whose node has said nothing about them for [`PROBE_AFTER`] or, if that is shorter,
    /// the time after which they are sent again; in order of their keys.
    pub(crate) fn silent(&mut self, now: Timestamp) -> Vec<RequestKey> {
        self.schedule_changed();
        self.silent.due(now)
    }

    /// Requests to be given up at `now`, in order of their keys.
    pub(crate) fn overdue(&mut self, now: Timestamp) -> Vec<RequestKey> {
        self.schedule_changed();
        self.overdue.due(now)
    }

    fn schedule_changed(&mut self) {
        for key in std::mem::take(&mut self.changed) {
            let Some(entry) = self.entries.get_mut(&key) else {
                continue;
            };
            let times = DueTimes::of(&entry.request);
            let before = std::mem::replace(&mut entry.scheduled, times);
            self.move_in_queues(key, before, times);
        }
    }

    fn move_in_queues(&mut self, key: RequestKey, from: DueTimes, to: DueTimes) {
        self.to_send.reschedule(key, from.send, to.send);
        self.silent.reschedule(key, from.silence, to.silence);
        self.overdue.reschedule(key, from.expiry, to.expiry);
    }
}

/// Silence of a node after which the request is sent to it again.
pub(crate) fn resend_after(request: &OpenRequest) -> Duration {
    match request.body {
        Body::Call(_) => RESUBMIT_CALL_AFTER,
        _ => RESEND_AFTER,
    }
}

/// Silence of a node after which another one is asked for the owner. Where sending again begins a
/// new silence before a call's limit, the owner is asked for at each resend.
pub(crate) fn probe_after(request: &OpenRequest) -> Duration {
    match request.body {
        Body::Call(_) => PROBE_AFTER,
        _ => RESEND_AFTER,
    }
}

fn shortest_silence(request: &OpenRequest) -> Duration {
    resend_after(request).min(probe_after(request))
}

fn expiry(request: &OpenRequest) -> Timestamp {
    if request.surely_not_taken() {
        return request.hand_over_by;
    }
    request.give_up_at + DEADLINE_GRACE
}
