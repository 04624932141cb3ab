//! The count of a request in its tenant's quota.

use std::rc::Rc;

use elderworks_gateway_core::attempt::NotRun;
use elderworks_gateway_core::quota::{OverQuota, Ticket};

use super::attempts::Call;
use crate::gateway::Gateway;
use crate::reply::Refusal;

/// A request that counts in its tenant's quota. It is given back if nothing was sent for it.
pub(super) struct Counted {
    gateway: Rc<Gateway>,
    ticket: Ticket,
    is_sent: bool,
}

impl Counted {
    /// Counts a send to a worker.
    pub(super) fn note_send(&mut self) {
        let now = self.gateway.now();
        let mut quotas = self.gateway.quotas.borrow_mut();
        if self.is_sent {
            quotas.note_further_send(now, self.ticket);
        } else {
            quotas.note_send(now, self.ticket);
        }
        self.is_sent = true;
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        if !self.is_sent {
            self.gateway.quotas.borrow_mut().give_back(self.ticket);
        }
    }
}

impl Call<'_> {
    /// Counts the request in its tenant's quota, or refuses it.
    pub(super) fn take_quota(&mut self) -> Result<(), Refusal> {
        let Some((tenant, quota)) = self.sender.quota else {
            return Ok(());
        };
        let gateway = self.gateway;
        let now = gateway.now();
        let admitted = gateway
            .quotas
            .borrow_mut()
            .admit(now, tenant, quota, gateway.fleet());
        let ticket = admitted.map_err(|over| self.refuse_over(over))?;
        self.counted = Some(Counted {
            gateway: gateway.clone(),
            ticket,
            is_sent: false,
        });
        Ok(())
    }

    fn refuse_over(&self, over: OverQuota) -> Refusal {
        self.gateway.metrics.over_quota.inc();
        if let Some((tenant, quota)) = self.sender.quota {
            let quotas = self.gateway.quotas.borrow();
            log::info!(
                request = self.attributes.request_id.as_deref().unwrap_or_default(),
                tenant = self.sender.tenant.as_deref().unwrap_or_default(),
                used = quotas.used_by(tenant), limit = quotas.limit_of(quota).round(),
                nodes_heard = quotas.tellers().count(), pause_ms = over.retry_after.as_millis();
                "over quota"
            );
        }
        // The quota is taken before the first attempt.
        Refusal::over_quota(NotRun::before_any_attempt(), over.retry_after)
    }
}
