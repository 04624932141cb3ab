//! Authorization of requests by API key, subject to the freshness of the configuration.

use std::time::Duration;

use elderworks_types::Timestamp;

use crate::config::ServingConfig;
use crate::config_proof::ConfigProof;
use crate::tenants::{Credential, KeyCheck, Tenant};

/// Maximum ages of the configuration's proof.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyLeases {
    /// Maximum age for accepting a known key. `None` if nodes that cannot read the log may keep
    /// accepting revoked keys.
    pub acting: Option<Duration>,
    /// Maximum age for permanently refusing an unknown key or route.
    pub denying: Duration,
}

impl KeyLeases {
    /// Returns whether a key or route that is missing in the active configuration may be
    /// permanently refused. With an old proof, it may have been added since.
    pub fn may_deny(&self, proof: &ConfigProof, now: Timestamp) -> bool {
        proof.holds(now, self.denying)
    }
}

/// Decision on one send of a request. Every further send needs a new decision.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Access<'a> {
    /// The request is allowed, for this tenant or for none.
    Allowed(Option<&'a Tenant>),
    /// The request has no valid key.
    Denied,
    /// The key is unknown here but may have been added recently.
    KeyUnverified,
    /// The key is known here but may have been revoked recently.
    LeaseExpired,
}

/// Decides on a request with `credential` on a route, which is `public` if it needs no key.
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
            let has_expired = |lease| !proof.holds(now, lease);
            if leases.acting.is_some_and(has_expired) {
                return Access::LeaseExpired;
            }
            Access::Allowed(config.tenants.get(id))
        }
        // No later configuration can make this a valid key.
        KeyCheck::Denied if !matches!(credential, Credential::Key(_)) => Access::Denied,
        KeyCheck::Denied if leases.may_deny(proof, now) => Access::Denied,
        KeyCheck::Denied => Access::KeyUnverified,
    }
}
