//! The count of a request in its tenant's quota.

use std::rc::Rc;
use std::time::Duration;

use elderworks_gateway_core::attempt::NotRun;
use elderworks_gateway_core::quota::{Basis, Order, OverQuota, Ticket};
use elderworks_gateway_core::tenants::{Quota, TenantKey};
use elderworks_protocol::gateway::GrantVerdict;

use super::attempts::Call;
use crate::gateway::Gateway;
use crate::peers::Lessor;
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
            quotas.note_resend(now, self.ticket);
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
    pub(super) async fn take_quota(&mut self) -> Result<(), Refusal> {
        let Some((tenant, quota)) = self.sender.quota else {
            return Ok(());
        };
        let gateway = self.gateway;
        let now = gateway.now();
        gateway.quotas.borrow_mut().note_asked(now, tenant, quota);
        let order = self.order();
        let admitted = self.obtain(tenant, quota, order).await;
        let ticket = admitted.map_err(|over| self.refuse_over(over, order))?;
        self.counted = Some(Counted {
            gateway: gateway.clone(),
            ticket,
            is_sent: false,
        });
        if let Some(program) = &self.attributes.program {
            let program = self.in_scope(program);
            gateway.begun_programs.borrow_mut().note(now, &program);
        }
        Ok(())
    }

    /// What a program has begun goes before new programs while its tenant's quota is short.
    fn order(&self) -> Order {
        let Some(program) = &self.attributes.program else {
            return Order::Continuation;
        };
        let has_begun = !self.is_turn()
            || self.attributes.previous_turn.is_some()
            || (self.gateway.begun_programs.borrow()).contains(&self.in_scope(program));
        if has_begun {
            Order::Continuation
        } else {
            Order::NewProgram
        }
    }

    async fn obtain(
        &self,
        tenant: TenantKey,
        quota: Quota,
        order: Order,
    ) -> Result<Ticket, OverQuota> {
        let gateway = self.gateway;
        let lessor = gateway.lessors.lessor_for(gateway, tenant);
        if lessor == Lessor::Unavailable {
            return self.admit_told(tenant, quota);
        }
        if let Some(ticket) = self.admit_calm(tenant, quota) {
            return Ok(ticket);
        }
        let granted = match lessor {
            Lessor::Local => {
                let mut quotas = gateway.quotas.borrow_mut();
                quotas.grant(gateway.now(), tenant, quota, gateway.fleet(), None, order)
            }
            Lessor::Remote(node) => {
                let verdict = gateway.lessors.ask(gateway, &node, tenant, order).await;
                result_of(verdict)
            }
            Lessor::Unavailable => None,
        };
        match granted {
            Some(Ok(())) => {
                gateway.metrics.note_quota_grant("granted");
                let mut quotas = gateway.quotas.borrow_mut();
                Ok(quotas.record_granted(gateway.now(), tenant, quota))
            }
            Some(Err(over)) => {
                gateway.metrics.note_quota_grant("refused");
                Err(over)
            }
            None => {
                gateway.metrics.note_quota_grant("unready");
                self.admit_told(tenant, quota)
            }
        }
    }

    fn admit_calm(&self, tenant: TenantKey, quota: Quota) -> Option<Ticket> {
        let gateway = self.gateway;
        let mut quotas = gateway.quotas.borrow_mut();
        quotas.admit_low_usage(gateway.now(), tenant, quota, gateway.fleet())
    }

    fn admit_told(&self, tenant: TenantKey, quota: Quota) -> Result<Ticket, OverQuota> {
        let gateway = self.gateway;
        let mut quotas = gateway.quotas.borrow_mut();
        quotas.admit_by_reports(gateway.now(), tenant, quota, gateway.fleet())
    }

    fn refuse_over(&self, over: OverQuota, order: Order) -> Refusal {
        let metrics = &self.gateway.metrics;
        metrics.over_quota.inc();
        metrics.note_quota_refusal(over.basis.as_str(), over.is_held_back);
        if let Some((tenant, quota)) = self.sender.quota {
            let quotas = self.gateway.quotas.borrow();
            log::info!(
                request = self.attributes.request_id.as_deref().unwrap_or_default(),
                tenant = self.sender.tenant.as_deref().unwrap_or_default(),
                used = quotas.used_by(tenant), limit = quotas.limit_of(quota).round(),
                basis = over.basis.as_str(), begins = order == Order::NewProgram,
                held_back = over.is_held_back, nodes_heard = quotas.reporting_nodes().count(),
                pause_ms = over.retry_after.as_millis();
                "over quota"
            );
        }
        // The quota is taken before the first attempt.
        Refusal::over_quota(NotRun::before_any_attempt(), over.retry_after)
    }
}

/// `None` if the lessor cannot tell.
fn result_of(verdict: GrantVerdict) -> Option<Result<(), OverQuota>> {
    match verdict {
        GrantVerdict::Granted => Some(Ok(())),
        GrantVerdict::Refused {
            pause_ms,
            is_held_back,
        } => Some(Err(OverQuota {
            retry_after: Duration::from_millis(pause_ms.into()),
            basis: Basis::Lessor,
            is_held_back,
        })),
        GrantVerdict::Unready => None,
    }
}
