//! Whether a request may be sent on for the tenant whose key it bears, and what may be refused for
//! good.

use std::time::Duration;

use elderworks_types::Timestamp;

use crate::config::ServingConfig;
use crate::config_proof::ConfigProof;
use crate::tenants::{Credential, KeyCheck, Tenant};

/// How old the proof of the configuration may be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyLeases {
    /// For acting on a known key; `None` if keys need not be refused in time by nodes that cannot
    /// read the log.
    pub acting: Option<Duration>,
    /// For refusing an unknown key or route for good.
    pub denying: Duration,
}

impl KeyLeases {
    /// Whether what the configuration in force does not know may be refused for good: it may have
    /// been added since that was last known to be the newest.
    pub fn may_deny(&self, proof: &ConfigProof, now: Timestamp) -> bool {
        proof.holds(now, self.denying)
    }
}

/// The decision on one request. It holds for one send: each further one is decided anew.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Access<'a> {
    /// It may go on, for this tenant or for none.
    Allowed(Option<&'a Tenant>),
    /// It bears no key that any configuration in force knows.
    Denied,
    /// Its key is unknown here, but may have been added lately.
    KeyUnverified,
    /// Its key is known here, but may have been taken away lately.
    LeaseExpired,
}

/// Decides on a request with `credential` on a route.
pub fn decide<'a>(
    config: &'a ServingConfig,
    proof: &ConfigProof,
    now: Timestamp,
    leases: &KeyLeases,
    credential: Credential,
    public: bool,
) -> Access<'a> {
    match config.tenants.check(credential, public) {
        KeyCheck::Anonymous => Access::Allowed(None),
        KeyCheck::Tenant(id) => {
            let is_over = |lease| !proof.holds(now, lease);
            if leases.acting.is_some_and(is_over) {
                return Access::LeaseExpired;
            }
            Access::Allowed(config.tenants.get(id))
        }
        // No later configuration can make a key of it.
        KeyCheck::Denied if !matches!(credential, Credential::Key(_)) => Access::Denied,
        KeyCheck::Denied if leases.may_deny(proof, now) => Access::Denied,
        KeyCheck::Denied => Access::KeyUnverified,
    }
}
