//! The open requests, indexed by the times at which they need action.

use std::collections::BTreeMap;
use std::time::Duration;

use elderworks_types::Timestamp;

use crate::core::{DEADLINE_GRACE, PROBE_TIMEOUT, RESEND_TIMEOUT, RESUBMIT_CALL_TIMEOUT};
use crate::due_queue::DueQueue;
use crate::request::{OpenRequest, Operation, RequestKey, RequestState};

/// Times at which one request needs action.
#[derive(Clone, Copy, Debug, Default)]
struct DueTimes {
    /// Time to send it, if it is waiting.
    send: Option<Timestamp>,
    /// Time at which its node counts as silent, if it was sent.
    silence: Option<Timestamp>,
    /// Time at which it is abandoned.
    expiry: Option<Timestamp>,
}

impl DueTimes {
    fn of(request: &OpenRequest) -> Self {
        let (send, silence) = match request.state {
            RequestState::Waiting { retry_at } => (Some(retry_at), None),
            RequestState::Sent { last_activity, .. } => {
                (None, Some(last_activity + silence_limit(request)))
            }
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
    /// The times under which the queues hold it.
    scheduled: DueTimes,
}

/// All open requests, with queues of those that need action.
///
/// Inserting or mutably borrowing a request marks it as changed. Changed requests are rescheduled
/// before the queues are next read, so the queues always reflect the requests' current state.
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
        self.update_queues(*key, entry.scheduled, DueTimes::default());
        Some(entry.request)
    }

    /// Returns the keys of all requests that match `predicate`, by a scan of every request.
    pub(crate) fn matching(&self, predicate: impl Fn(&OpenRequest) -> bool) -> Vec<RequestKey> {
        self.entries
            .iter()
            .filter(|(_, entry)| predicate(&entry.request))
            .map(|(key, _)| *key)
            .collect()
    }

    /// Returns the keys of the requests other than calls that match `predicate`, without scanning
    /// calls.
    pub(crate) fn matching_other_requests(
        &self,
        predicate: impl Fn(&OpenRequest) -> bool,
    ) -> Vec<RequestKey> {
        self.entries
            .range(RequestKey::Other(0)..)
            .filter(|(_, entry)| predicate(&entry.request))
            .map(|(key, _)| *key)
            .collect()
    }

    /// Returns the requests to be sent at `now`, in key order.
    pub(crate) fn due_to_send(&mut self, now: Timestamp) -> Vec<RequestKey> {
        self.schedule_changed();
        self.to_send.due(now)
    }

    /// Returns the requests whose node has been silent for their probe or resend timeout, whichever
    /// is shorter, in key order.
    pub(crate) fn silent(&mut self, now: Timestamp) -> Vec<RequestKey> {
        self.schedule_changed();
        self.silent.due(now)
    }

    /// Returns the requests to be abandoned at `now`, in key order.
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
            self.update_queues(key, before, times);
        }
    }

    fn update_queues(&mut self, key: RequestKey, from: DueTimes, to: DueTimes) {
        self.to_send.reschedule(key, from.send, to.send);
        self.silent.reschedule(key, from.silence, to.silence);
        self.overdue.reschedule(key, from.expiry, to.expiry);
    }
}

/// Returns how long a node may be silent before the request is sent to it again.
pub(crate) fn resend_timeout(request: &OpenRequest) -> Duration {
    match request.operation {
        Operation::Call(_) => RESUBMIT_CALL_TIMEOUT,
        _ => RESEND_TIMEOUT,
    }
}

/// Returns how long a node may be silent before another node is asked for the partition's owner.
///
/// For requests other than calls this equals the resend timeout: each resend restarts the silence,
/// which would otherwise never reach [`PROBE_TIMEOUT`].
pub(crate) fn probe_timeout(request: &OpenRequest) -> Duration {
    match request.operation {
        Operation::Call(_) => PROBE_TIMEOUT,
        _ => RESEND_TIMEOUT,
    }
}

fn silence_limit(request: &OpenRequest) -> Duration {
    resend_timeout(request).min(probe_timeout(request))
}

fn expiry(request: &OpenRequest) -> Timestamp {
    if request.is_known_not_accepted() {
        return request.hand_over_deadline;
    }
    request.answer_deadline + DEADLINE_GRACE
}
