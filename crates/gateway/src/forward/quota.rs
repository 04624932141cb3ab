//! The count of a request in its tenant's quota.

use std::rc::Rc;

use elderworks_gateway_core::quota::{OverQuota, Ticket};
use elderworks_gateway_core::tenants::{Quota, TenantKey};

use super::attempts::Call;
use crate::gateway::Gateway;
use crate::reply::Refusal;

/// A request that counts in its tenant's quota. It is given back if nothing was sent for it.
pub(super) struct Counted {
    gateway: Rc<Gateway>,
    tenant: TenantKey,
    quota: Quota,
    ticket: Ticket,
    is_sent: bool,
}

impl Counted {
    /// Counts a send to a worker.
    pub(super) fn note_send(&mut self) {
        if self.is_sent {
            let now = self.gateway.now();
            self.gateway
                .quotas
                .borrow_mut()
                .note_further_send(now, self.ticket);
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
        let ticket =
            admitted.map_err(|over| self.refuse_over(over, "the tenant's quota is used up"))?;
        self.counted = Some(Counted {
            gateway: gateway.clone(),
            tenant,
            quota,
            ticket,
            is_sent: false,
        });
        Ok(())
    }

    /// Lets a program begin, unless its tenant's quota does not hold all its requests.
    pub(super) fn begin_program(&mut self) -> Result<(), Refusal> {
        let gateway = self.gateway;
        if !gateway.settings.policy.whole_programs {
            return Ok(());
        }
        let Some(Counted { tenant, quota, .. }) = &self.counted else {
            return Ok(());
        };
        let now = gateway.now();
        let mut quotas = gateway.quotas.borrow_mut();
        let begun = quotas.begin_program(now, *tenant, *quota, gateway.fleet());
        drop(quotas);
        begun.map_err(|over| {
            self.refuse_over(over, "the tenant's quota does not hold another program now")
        })
    }

    fn refuse_over(&self, over: OverQuota, reason: &'static str) -> Refusal {
        self.gateway.metrics.over_quota.inc();
        Refusal::over_quota(reason, over.retry_after)
    }
}
