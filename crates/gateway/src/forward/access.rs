//! Who a request is from: decided before anything is done for it, and anew before each send.

use std::rc::Rc;
use std::time::Duration;

use actix_http::{RequestHead, StatusCode};
use elderworks_gateway_core::access::{self, Access};
use elderworks_gateway_core::call::CallAttributes;
use elderworks_gateway_core::config::{Route, ServingConfig};

use super::attempts::Call;
use super::{Trace, find_route};
use crate::gateway::Gateway;
use crate::reply::Refusal;

/// When to come back to a node that cannot tell whether a key still counts. Other nodes may be able
/// to; an outage of the log for all lasts seconds, and the caller shortens this if it has less time.
const KEY_RETRY: Duration = Duration::from_millis(400);

/// The tenant that a request is for.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Sender {
    /// Its name; `None` for requests that need no tenant.
    pub(super) tenant: Option<String>,
    /// Rank of its requests in place of their route's.
    pub(super) priority: Option<u8>,
}

/// Finds out who sends a request, or why it may not go on.
pub(super) fn identify(
    gateway: &Gateway,
    config: &ServingConfig,
    route: &Route,
    attributes: &CallAttributes,
) -> Result<Sender, Refusal> {
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
        }),
        Access::Denied => {
            let status = StatusCode::UNAUTHORIZED;
            Err(Refusal::plain(status, "the request bears no valid key"))
        }
        Access::KeyUnsure => {
            let reason = "the key is not known here, and may be new";
            Err(Refusal::not_run_until(reason, KEY_RETRY))
        }
        Access::LeaseOver => {
            let reason =
                "the key may have been taken away: the configuration here is too old to tell";
            Err(Refusal::not_run_until(reason, KEY_RETRY))
        }
    }
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
    let Ok(route) = find_route(&config, head) else {
        return Ok(());
    };
    let attributes = gateway.platform.call_attributes(&head.headers);
    let identified = identify(gateway, &config, route, &attributes);
    identified.map(|_| ()).inspect_err(|refusal| {
        Trace::note_unread(gateway, &attributes, &config, route, refusal);
    })
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
        let refusal = match identified {
            Ok(sender) if sender.tenant == self.sender.tenant => return Ok(()),
            Ok(_) => {
                let reason = "the key has become another tenant's";
                Refusal::plain(StatusCode::UNAUTHORIZED, reason)
            }
            Err(refusal) => refusal,
        };
        if self.may_have_run() {
            let reason = "the key no longer counts, and the request may have run";
            return Err(Refusal::unknown(reason));
        }
        Err(refusal)
    }
}
