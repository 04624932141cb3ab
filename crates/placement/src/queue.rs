//! Priority queue of calls for which no engine has capacity.

use std::collections::BTreeMap;

use elderworks_types::{TenantId, Timestamp};

use crate::Ticket;
use crate::event::ReadyCall;

/// Position in the queue: urgency, then order of arrival. Smaller keys are served first.
pub(crate) type QueueKey = (i64, u64);

/// A queued call and the time at which it was queued.
#[derive(Debug)]
pub(crate) struct WaitingCall {
    pub(crate) call: Box<ReadyCall>,
    pub(crate) since: Timestamp,
}

/// Queued calls in the order of their keys.
#[derive(Debug, Default)]
pub(crate) struct WaitQueue {
    calls: BTreeMap<QueueKey, WaitingCall>,
    keys: BTreeMap<Ticket, QueueKey>,
    by_tenant: BTreeMap<TenantId, usize>,
    next_arrival: u64,
}

impl WaitQueue {
    pub(crate) fn len(&self) -> usize {
        self.calls.len()
    }

    /// Returns the number of queued calls of a tenant.
    pub(crate) fn waiting_for_tenant(&self, tenant: &TenantId) -> usize {
        self.by_tenant.get(tenant).copied().unwrap_or(0)
    }

    /// Queues a call; a smaller `urgency` is served first.
    pub(crate) fn push(&mut self, now: Timestamp, urgency: i64, call: Box<ReadyCall>) {
        let key = (urgency, self.next_arrival);
        self.next_arrival += 1;
        self.keys.insert(call.ticket, key);
        *self.by_tenant.entry(call.tenant.clone()).or_insert(0) += 1;
        self.calls.insert(key, WaitingCall { call, since: now });
    }

    /// Returns the keys of the `count` most urgent calls.
    pub(crate) fn first_keys(&self, count: usize) -> Vec<QueueKey> {
        self.calls.keys().take(count).copied().collect()
    }

    pub(crate) fn get(&self, key: QueueKey) -> Option<&WaitingCall> {
        self.calls.get(&key)
    }

    pub(crate) fn remove(&mut self, key: QueueKey) -> Option<WaitingCall> {
        let waiting = self.calls.remove(&key)?;
        self.keys.remove(&waiting.call.ticket);
        let tenant = &waiting.call.tenant;
        if let Some(count) = self.by_tenant.get_mut(tenant) {
            *count -= 1;
            if *count == 0 {
                self.by_tenant.remove(tenant);
            }
        }
        Some(waiting)
    }

    /// Removes the call of an attempt and returns whether it was queued.
    pub(crate) fn cancel(&mut self, ticket: Ticket) -> bool {
        let key = self.keys.get(&ticket).copied();
        key.is_some_and(|key| self.remove(key).is_some())
    }
}
