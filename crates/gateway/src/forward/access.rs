//! Identification of a request's sender: before any work is done for the request, and again before
//! each send to a worker.

use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_http::RequestHead;
use elderworks_gateway_core::access::{self, Access};
use elderworks_gateway_core::attempt::NotRun;
use elderworks_gateway_core::call::CallAttributes;
use elderworks_gateway_core::config::{Route, ServingConfig};
use elderworks_gateway_core::outage_wait::outage_wait;
use elderworks_gateway_core::tenants::{Quota, TenantKey};

use super::attempts::Call;
use super::{Trace, find_route};
use crate::gateway::Gateway;
use crate::reply::{ErrorStatus, Refusal};

/// `Retry-After` if this node alone can't decide whether a key is valid: another node can.
const OTHER_NODE_RETRY: Duration = Duration::from_millis(200);

/// `Retry-After` if no node can decide: log outages last seconds, and retries during one are
/// wasted. Callers with less time left shorten it.
const OUTAGE_RETRY: Duration = Duration::from_millis(950);

/// Maximum age of another node's reply from which this node concludes that no node has a newer
/// configuration.
const PEER_REPLY_MAX_AGE: Duration = Duration::from_secs(1);

/// Interval between checks whether a key's lease is valid again.
const LEASE_POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Returns the `Retry-After` for a request refused because the lease on its key has expired.
fn lease_retry(gateway: &Gateway) -> Duration {
    let now = gateway.now();
    let is_recent = |answered| now.since(answered) < PEER_REPLY_MAX_AGE;
    if gateway.last_proof_reply.get().is_some_and(is_recent) {
        OUTAGE_RETRY
    } else {
        OTHER_NODE_RETRY
    }
}

/// The tenant on whose behalf a request is sent.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct SenderIdentity {
    /// Name of the tenant; `None` for requests that need no tenant.
    pub(super) tenant: Option<String>,
    /// Priority of the tenant's requests, which overrides their route's.
    pub(super) priority: Option<u8>,
    /// The tenant's quota, if it has one.
    pub(super) quota: Option<(TenantKey, Quota)>,
}

/// The reason why a request is refused for its sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Denial {
    /// The key isn't in the current configuration.
    InvalidKey,
    /// The key isn't in this node's configuration, but may have been added since.
    UnconfirmedKey,
    /// The key may have been revoked. Holds the `Retry-After`.
    LeaseExpired(Duration),
    /// The key was reassigned to another tenant.
    OtherTenant,
}

impl Denial {
    /// Returns the response to a request that was not run.
    pub(super) fn refusal(self, not_run: NotRun) -> Refusal {
        match self {
            Self::InvalidKey => {
                Refusal::error(ErrorStatus::Unauthorized, "the request bears no valid key")
            }
            Self::UnconfirmedKey => {
                let reason = "the key is not known here, and may be new";
                Refusal::not_run_retry_after(not_run, reason, OTHER_NODE_RETRY)
            }
            Self::LeaseExpired(pause) => {
                let reason =
                    "the key may have been taken away: the configuration here is too old to tell";
                Refusal::not_run_retry_after(not_run, reason, pause)
            }
            Self::OtherTenant => Refusal::error(
                ErrorStatus::Unauthorized,
                "the key has become another tenant's",
            ),
        }
    }
}

/// Returns the sender of a request, or why it is refused.
pub(super) fn identify(
    gateway: &Gateway,
    config: &ServingConfig,
    route: &Route,
    attributes: &CallAttributes,
) -> Result<SenderIdentity, Denial> {
    let decided = access::decide(
        config,
        &gateway.config_proof.borrow(),
        gateway.now(),
        &gateway.key_leases,
        attributes.credential,
        route.public,
    );
    match decided {
        Access::Allowed(tenant) => Ok(SenderIdentity {
            tenant: tenant.map(|tenant| tenant.name.clone()),
            priority: tenant.and_then(|tenant| tenant.priority),
            quota: tenant.and_then(|tenant| Some((tenant.key(), tenant.quota?))),
        }),
        Access::Denied => Err(Denial::InvalidKey),
        Access::KeyUnverified => Err(Denial::UnconfirmedKey),
        Access::LeaseExpired => Err(Denial::LeaseExpired(lease_retry(gateway))),
    }
}

/// Returns whether a request waits although its key can't be verified now. Its turn has to wait for
/// the log anyway, and is refused if the log then shows that the key was revoked.
fn waits_for_lease(gateway: &Gateway, route: &Route, denial: Denial) -> bool {
    let is_expired = matches!(denial, Denial::LeaseExpired(_));
    is_expired && route.keeps_turns && gateway.log_outage.state().is_silent()
}

/// Like [`identify`], but waits for the log first if the log doesn't respond. Before the request is
/// sent to a worker, [`Call::check_sender`] checks its key against the configuration of that time.
pub(super) async fn identify_with_wait(
    gateway: &Gateway,
    config: &ServingConfig,
    route: &Route,
    attributes: &CallAttributes,
    left: Duration,
) -> Result<SenderIdentity, Denial> {
    let decided = identify(gateway, config, route, attributes);
    let denial = match decided {
        Err(denial) if waits_for_lease(gateway, route, denial) => denial,
        _ => return decided,
    };
    let fraction = gateway.settings.policy.outage_wait_share;
    let until = Instant::now() + outage_wait(left, fraction);
    while Instant::now() < until {
        actix_rt::time::sleep(LEASE_POLL_INTERVAL).await;
        let decided = identify(gateway, config, route, attributes);
        if !matches!(decided, Err(Denial::LeaseExpired(_))) {
            gateway.metrics.note_outage_wait(decided.is_ok());
            return decided;
        }
    }
    gateway.metrics.note_outage_wait(false);
    Err(denial)
}

/// Returns the response to a request for which the current configuration has no route.
pub(super) fn unknown_route_refusal(gateway: &Gateway) -> Refusal {
    let not_run = NotRun::before_any_attempt();
    let proof = *gateway.config_proof.borrow();
    if gateway.key_leases.may_deny(&proof, gateway.now()) {
        return Refusal::error(ErrorStatus::NotFound, "no such route");
    }
    let reason =
        "no such route is known here, and it may be new: the configuration is too old to tell";
    Refusal::not_run_retry_after(not_run, reason, lease_retry(gateway))
}

/// Refuses a request before its body is read if its sender isn't allowed to send it.
pub(crate) fn refuse_before_body(gateway: &Rc<Gateway>, head: &RequestHead) -> Result<(), Refusal> {
    // All other faults of the request are reported after its body is read.
    let Some(config) = gateway.current_config() else {
        return Ok(());
    };
    if config.tenants.is_empty() {
        return Ok(());
    }
    let Ok(Some(route)) = find_route(&config, head) else {
        return Ok(());
    };
    let attributes = gateway.platform.call_attributes(&head.headers);
    let Err(denial) = identify(gateway, &config, route, &attributes) else {
        return Ok(());
    };
    if waits_for_lease(gateway, route, denial) {
        return Ok(());
    }
    let refusal = denial.refusal(NotRun::before_any_attempt());
    Trace::log_before_body(gateway, &attributes, &config, route, &refusal);
    Err(refusal)
}

impl Call<'_> {
    /// Checks again, before a send, that the sender's key is still valid.
    pub(super) fn check_sender(&self) -> Result<(), Refusal> {
        if self.sender.tenant.is_none() {
            return Ok(());
        }
        let Some(config) = self.gateway.current_config() else {
            return Ok(());
        };
        let identified = identify(self.gateway, &config, self.route, self.attributes);
        let denial = match identified {
            Ok(sender) if sender.tenant == self.sender.tenant => return Ok(()),
            Ok(_) => Denial::OtherTenant,
            Err(denial) => denial,
        };
        Err(match self.history.not_run() {
            Some(not_run) => denial.refusal(not_run),
            None => {
                Refusal::outcome_unknown("the key no longer counts, and the request may have run")
            }
        })
    }
}
