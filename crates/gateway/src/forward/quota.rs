//! Accounting of a request against its tenant's quota.

use std::rc::Rc;
use std::time::Duration;

use elderworks_gateway_core::attempt::NotRun;
use elderworks_gateway_core::quota::{Basis, Order, OverQuota, Ticket};
use elderworks_gateway_core::tenants::{Quota, TenantKey};
use elderworks_protocol::gateway::GrantDecision;

use super::attempts::Call;
use crate::gateway::Gateway;
use crate::peers::Lessor;
use crate::reply::Refusal;

/// A request counted against its tenant's quota. The count is returned on drop if nothing was sent
/// to a worker.
pub(super) struct CountedRequest {
    gateway: Rc<Gateway>,
    ticket: Ticket,
    is_sent: bool,
}

impl CountedRequest {
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

impl Drop for CountedRequest {
    fn drop(&mut self) {
        if !self.is_sent {
            self.gateway.quotas.borrow_mut().give_back(self.ticket);
        }
    }
}

impl Call<'_> {
    /// Counts the request against its tenant's quota, or refuses it.
    pub(super) async fn take_quota(&mut self) -> Result<(), Refusal> {
        let Some((tenant, quota)) = self.sender.quota else {
            return Ok(());
        };
        let gateway = self.gateway;
        let now = gateway.now();
        gateway.quotas.borrow_mut().note_asked(now, tenant, quota);
        let order = self.order();
        let admitted = self.obtain_ticket(tenant, quota, order).await;
        let ticket = admitted.map_err(|over| self.over_quota_refusal(over, order))?;
        self.counted = Some(CountedRequest {
            gateway: gateway.clone(),
            ticket,
            is_sent: false,
        });
        if let Some(program) = &self.attributes.program {
            let program = self.scoped_id(program);
            gateway.started_programs.borrow_mut().note(now, &program);
        }
        Ok(())
    }

    /// Returns whether this is the first request of a program or a later one: while a tenant's
    /// quota is short, its later requests take precedence.
    fn order(&self) -> Order {
        let Some(program) = &self.attributes.program else {
            return Order::Continuation;
        };
        let has_started = !self.is_turn()
            || self.attributes.previous_turn.is_some()
            || (self.gateway.started_programs.borrow()).contains(&self.scoped_id(program));
        if has_started {
            Order::Continuation
        } else {
            Order::NewProgram
        }
    }

    async fn obtain_ticket(
        &self,
        tenant: TenantKey,
        quota: Quota,
        order: Order,
    ) -> Result<Ticket, OverQuota> {
        let gateway = self.gateway;
        let lessor = gateway.lessors.lessor_for(gateway, tenant);
        if lessor == Lessor::Unavailable {
            return self.admit_from_reports(tenant, quota);
        }
        if let Some(ticket) = self.admit_below_threshold(tenant, quota) {
            return Ok(ticket);
        }
        let granted = match lessor {
            Lessor::Local => {
                let mut quotas = gateway.quotas.borrow_mut();
                quotas.grant(gateway.now(), tenant, quota, gateway.fleet(), None, order)
            }
            Lessor::Remote(node) => {
                let verdict = gateway.lessors.ask(gateway, &node, tenant, order).await;
                grant_result(verdict)
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
                self.admit_from_reports(tenant, quota)
            }
        }
    }

    fn admit_below_threshold(&self, tenant: TenantKey, quota: Quota) -> Option<Ticket> {
        let gateway = self.gateway;
        let mut quotas = gateway.quotas.borrow_mut();
        quotas.admit_low_usage(gateway.now(), tenant, quota, gateway.fleet())
    }

    fn admit_from_reports(&self, tenant: TenantKey, quota: Quota) -> Result<Ticket, OverQuota> {
        let gateway = self.gateway;
        let mut quotas = gateway.quotas.borrow_mut();
        quotas.admit_by_reports(gateway.now(), tenant, quota, gateway.fleet())
    }

    fn over_quota_refusal(&self, over: OverQuota, order: Order) -> Refusal {
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
        // The quota is checked before the first attempt.
        Refusal::over_quota(NotRun::before_any_attempt(), over.retry_after)
    }
}

/// Converts a lessor's verdict; `None` if the lessor can't decide yet.
fn grant_result(verdict: GrantDecision) -> Option<Result<(), OverQuota>> {
    match verdict {
        GrantDecision::Granted => Some(Ok(())),
        GrantDecision::Refused {
            pause_ms,
            is_held_back,
        } => Some(Err(OverQuota {
            retry_after: Duration::from_millis(pause_ms.into()),
            basis: Basis::Lessor,
            is_held_back,
        })),
        GrantDecision::Unready => None,
    }
}
