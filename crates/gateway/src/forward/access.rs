//! Who a request is from: decided before anything is done for it, and anew before each send.

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
use crate::reply::{Fault, Refusal};

/// When to come back if this node alone cannot tell whether a key counts: another one can.
const OTHER_NODE_RETRY: Duration = Duration::from_millis(200);

/// When to come back if no node can tell: an outage of the log lasts seconds, and tries that fail
/// within it are lost. The caller shortens this if it has less time.
const OUTAGE_RETRY: Duration = Duration::from_millis(950);

/// Other nodes that answered so lately know no better than this one.
const ANSWER_LIFETIME: Duration = Duration::from_secs(1);

/// Pause between two looks whether a key's lease counts again.
const LEASE_PAUSE: Duration = Duration::from_millis(25);

/// When to come back after the lease for acting on keys is over.
fn lease_retry(gateway: &Gateway) -> Duration {
    let now = gateway.now();
    let is_late = |answered| now.since(answered) < ANSWER_LIFETIME;
    if gateway.last_proof_reply.get().is_some_and(is_late) {
        OUTAGE_RETRY
    } else {
        OTHER_NODE_RETRY
    }
}

/// The tenant that a request is for.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct Sender {
    /// Its name; `None` for requests that need no tenant.
    pub(super) tenant: Option<String>,
    /// Rank of its requests in place of their route's.
    pub(super) priority: Option<u8>,
    /// Its quota, if it has one.
    pub(super) quota: Option<(TenantKey, Quota)>,
}

/// Why a request may not go on for its sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Denial {
    /// No configuration in force knows the key.
    InvalidKey,
    /// The key is not known here, but may be new.
    KeyUnsure,
    /// The key may have been taken away; when to come back.
    LeaseOver(Duration),
    /// The key has become another tenant's.
    OtherTenant,
}

impl Denial {
    /// The answer to a request of which nothing was run.
    pub(super) fn refusal(self, shown: NotRun) -> Refusal {
        match self {
            Self::InvalidKey => {
                Refusal::fault(Fault::Unauthorized, "the request bears no valid key")
            }
            Self::KeyUnsure => {
                let reason = "the key is not known here, and may be new";
                Refusal::not_run_until(shown, reason, OTHER_NODE_RETRY)
            }
            Self::LeaseOver(pause) => {
                let reason =
                    "the key may have been taken away: the configuration here is too old to tell";
                Refusal::not_run_until(shown, reason, pause)
            }
            Self::OtherTenant => {
                Refusal::fault(Fault::Unauthorized, "the key has become another tenant's")
            }
        }
    }
}

/// Finds out who sends a request, or why it may not go on.
pub(super) fn identify(
    gateway: &Gateway,
    config: &ServingConfig,
    route: &Route,
    attributes: &CallAttributes,
) -> Result<Sender, Denial> {
    let decided = access::decide(
        config,
        &gateway.config_proof.borrow(),
        gateway.now(),
        &gateway.key_leases,
        attributes.credential,
        route.public,
    );
    match decided {
        Access::Allowed(tenant) => Ok(Sender {
            tenant: tenant.map(|tenant| tenant.name.clone()),
            priority: tenant.and_then(|tenant| tenant.priority),
            quota: tenant.and_then(|tenant| Some((tenant.key(), tenant.quota?))),
        }),
        Access::Denied => Err(Denial::InvalidKey),
        Access::KeyUnverified => Err(Denial::KeyUnsure),
        Access::LeaseExpired => Err(Denial::LeaseOver(lease_retry(gateway))),
    }
}

/// Whether a request waits though its key cannot be proved now: its turn would wait for the log anyway,
/// and is refused if that shows that the key was taken away.
fn waits_for_lease(gateway: &Gateway, route: &Route, denial: Denial) -> bool {
    let is_over = matches!(denial, Denial::LeaseOver(_));
    is_over && route.keeps_turns && gateway.log_outage.state().is_silent()
}

/// The same, after a wait for the log if that is silent. What is sent on is decided anew by the
/// configuration of then.
pub(super) async fn identify_in_time(
    gateway: &Gateway,
    config: &ServingConfig,
    route: &Route,
    attributes: &CallAttributes,
    left: Duration,
) -> Result<Sender, Denial> {
    let decided = identify(gateway, config, route, attributes);
    let denial = match decided {
        Err(denial) if waits_for_lease(gateway, route, denial) => denial,
        _ => return decided,
    };
    let share = gateway.settings.policy.outage_wait_share;
    let until = Instant::now() + outage_wait(left, share);
    while Instant::now() < until {
        actix_rt::time::sleep(LEASE_PAUSE).await;
        let decided = identify(gateway, config, route, attributes);
        if !matches!(decided, Err(Denial::LeaseOver(_))) {
            gateway.metrics.note_outage_wait(decided.is_ok());
            return decided;
        }
    }
    gateway.metrics.note_outage_wait(false);
    Err(denial)
}

/// The answer to a request for which the configuration in force has no route.
pub(super) fn refuse_unknown_route(gateway: &Gateway) -> Refusal {
    let shown = NotRun::before_any_attempt();
    let proof = *gateway.config_proof.borrow();
    if gateway.key_leases.may_deny(&proof, gateway.now()) {
        return Refusal::fault(Fault::NotFound, "no such route");
    }
    let reason =
        "no such route is known here, and it may be new: the configuration is too old to tell";
    Refusal::not_run_until(shown, reason, lease_retry(gateway))
}

/// Refuses a request whose body has not been read, if its sender may not send it.
pub(crate) fn refuse_unread(gateway: &Rc<Gateway>, head: &RequestHead) -> Result<(), Refusal> {
    // What else is wrong with the request is told once it was read.
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
    Trace::note_unread(gateway, &attributes, &config, route, &refusal);
    Err(refusal)
}

impl Call<'_> {
    /// Decides anew, before a send, whether the sender's key still counts.
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
            Some(shown) => denial.refusal(shown),
            None => Refusal::unknown("the key no longer counts, and the request may have run"),
        })
    }
}
