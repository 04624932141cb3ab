//! Tenants' budgets: requesting allotments from the holder, and granting them as the holder.

use elderworks_protocol::journal::JournalBody;
use elderworks_types::{Credits, PartitionId, Sequence, TenantId, Timestamp};

use super::Partition;
use crate::Effect;
use crate::soft_state::AllotmentRequest;

impl Partition {
    /// Returns the credits of a tenant's allotment that can still be reserved.
    pub(super) fn allotment_available(&self, tenant: &TenantId) -> Credits {
        let allotment = self.journal.allotments.get(tenant);
        allotment.map_or(Credits::ZERO, |allotment| allotment.available())
    }

    /// Requests at least `missing` credits from the holder, at most once per interval. Returns
    /// whether the holder has answered since the last call that nothing is left.
    pub(super) fn request_allotment(
        &mut self,
        now: Timestamp,
        tenant: &TenantId,
        missing: Credits,
    ) -> bool {
        let allotment = self.journal.allotments.get(tenant);
        let last = allotment.map_or(Sequence(0), |allotment| allotment.last_request);
        let interval = self.settings.allotment_interval;
        let amount = missing.max(self.settings.allotment_size);
        let request = self
            .soft
            .requests
            .entry(tenant.clone())
            .or_insert(AllotmentRequest {
                request: last.next(),
                amount,
                repeat_at: now,
                receiving: false,
                denied: false,
            });
        if std::mem::take(&mut request.denied) {
            return true;
        }
        if request.receiving || now < request.repeat_at {
            return false;
        }
        request.amount = request.amount.max(amount);
        request.repeat_at = now + interval;
        let effect = Effect::RequestAllotment {
            tenant: tenant.clone(),
            request: request.request,
            amount: request.amount,
        };
        self.emit(effect);
        false
    }

    pub(super) fn on_allotment_granted(
        &mut self,
        now: Timestamp,
        tenant: &TenantId,
        request: Sequence,
        amount: Credits,
    ) {
        let Some(pending) = self.soft.requests.get_mut(tenant) else {
            return;
        };
        if pending.request != request || pending.receiving {
            return;
        }
        if amount == Credits::ZERO {
            pending.denied = true;
            return self.advance_tenant(now, tenant);
        }
        pending.receiving = true;
        self.append(JournalBody::AllotmentReceived {
            tenant: tenant.clone(),
            request,
            amount,
        });
    }

    pub(super) fn on_allotment_journalled(&mut self, now: Timestamp, tenant: &TenantId) {
        self.soft.requests.remove(tenant);
        self.advance_tenant(now, tenant);
    }

    /// Retries the waiting calls of a tenant's runs that need its allotment.
    fn advance_tenant(&mut self, now: Timestamp, tenant: &TenantId) {
        for run in self.soft.queue.runs_awaiting_allotment() {
            if self.journal.run_of(tenant, run).is_some() {
                self.advance(now, run);
            }
        }
    }

    pub(super) fn on_allotment_requested(
        &mut self,
        tenant: TenantId,
        partition: PartitionId,
        request: Sequence,
        amount: Credits,
    ) {
        if !self.is_serving() {
            return;
        }
        let key = (tenant.clone(), partition);
        if self.soft.granting.contains_key(&key) {
            return;
        }
        let grants = self.journal.grants.get(&tenant);
        let granted = grants.map_or(Credits::ZERO, |grants| grants.total);
        let last = grants.and_then(|grants| grants.partitions.get(&partition));
        let (last, last_amount) = last.copied().unwrap_or_default();
        if request == last {
            return self.emit_grant(tenant, partition, request, last_amount);
        }
        if request != last.next() {
            return;
        }
        let Some(limit) = self.tenant_limits.get(&tenant) else {
            return self.emit_grant(tenant, partition, request, Credits::ZERO);
        };
        let pending = self.pending_grants(&tenant);
        let left = limit.saturating_sub(granted + pending);
        let grant = left.min(amount);
        if grant == Credits::ZERO {
            return self.emit_grant(tenant, partition, request, Credits::ZERO);
        }
        self.soft.granting.insert(key, request);
        self.append(JournalBody::AllotmentGranted {
            tenant,
            partition,
            request,
            amount: grant,
        });
    }

    /// Returns the sum of the grants of a tenant's budget that were appended and not yet read back.
    fn pending_grants(&self, tenant: &TenantId) -> Credits {
        self.soft
            .in_flight
            .iter()
            .map(|body| match body {
                JournalBody::AllotmentGranted {
                    tenant: other,
                    amount,
                    ..
                } if other == tenant => *amount,
                _ => Credits::ZERO,
            })
            .sum()
    }

    fn emit_grant(
        &mut self,
        tenant: TenantId,
        partition: PartitionId,
        request: Sequence,
        amount: Credits,
    ) {
        self.emit(Effect::GrantAllotment {
            tenant,
            partition,
            request,
            amount,
        });
    }

    pub(super) fn on_grant_journalled(
        &mut self,
        tenant: TenantId,
        partition: PartitionId,
        request: Sequence,
        amount: Credits,
    ) {
        self.soft.granting.remove(&(tenant.clone(), partition));
        self.emit_grant(tenant, partition, request, amount);
    }

    pub(super) fn on_tenant_limit(&mut self, tenant: TenantId, limit: Option<Credits>) {
        match limit {
            Some(limit) => self.tenant_limits.insert(tenant, limit),
            None => self.tenant_limits.remove(&tenant),
        };
    }
}
