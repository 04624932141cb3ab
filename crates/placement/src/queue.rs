//! Calls that wait for room, most urgent first.

use std::collections::BTreeMap;

use elderworks_types::{TenantId, Timestamp};

use crate::Ticket;
use crate::event::ReadyCall;

/// Position in the queue: urgency, then arrival. Smaller goes first.
pub(crate) type QueueKey = (i64, u64);

/// A call that waits.
#[derive(Debug)]
pub(crate) struct WaitingCall {
    pub(crate) call: Box<ReadyCall>,
    pub(crate) since: Timestamp,
}

/// The queue.
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

    /// Calls of a tenant that wait.
    pub(crate) fn of_tenant(&self, tenant: &TenantId) -> usize {
        self.by_tenant.get(tenant).copied().unwrap_or(0)
    }

    pub(crate) fn push(&mut self, now: Timestamp, urgency: i64, call: Box<ReadyCall>) {
        let key = (urgency, self.next_arrival);
        self.next_arrival += 1;
        self.keys.insert(call.ticket, key);
        *self.by_tenant.entry(call.tenant.clone()).or_insert(0) += 1;
        self.calls.insert(key, WaitingCall { call, since: now });
    }

    /// Keys of the most urgent calls.
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

    pub(crate) fn cancel(&mut self, ticket: Ticket) -> bool {
        let key = self.keys.get(&ticket).copied();
        key.is_some_and(|key| self.remove(key).is_some())
    }
}
