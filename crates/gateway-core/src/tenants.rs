//! Tenants: their API keys, priorities and request quotas.

use std::collections::HashMap;
use std::fmt;

use xxhash_rust::xxh3::xxh3_64;

/// SHA-256 digest of an API key. The keys themselves are known only to the adapter that reads them.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyDigest(pub [u8; 32]);

impl fmt::Debug for KeyDigest {
    /// Hides the digest, from which short keys could be guessed.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}

/// API key of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Credential {
    /// The request contains no key.
    #[default]
    Absent,
    /// The request's credentials are not a valid key: several keys, an empty one or another scheme.
    Malformed,
    /// The request contains a key with this digest.
    Key(KeyDigest),
}

/// Limit on the requests of a tenant, over all nodes together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Sustained rate in requests per second.
    pub per_second: f64,
    /// Additional requests allowed in a burst.
    pub burst: f64,
}

/// A tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Name, which is also sent to workers.
    pub name: String,
    /// Priority of its requests, which overrides that of the route. 0 is the most urgent.
    pub priority: Option<u8>,
    /// Quota, or `None` for no limit.
    pub quota: Option<Quota>,
}

impl Tenant {
    /// Returns the key that identifies the tenant in messages between nodes.
    pub fn key(&self) -> TenantKey {
        TenantKey::of(&self.name)
    }
}

/// Hash of a tenant's name. Identifies the tenant in reports between nodes and in quota accounting.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TenantKey(pub u64);

impl TenantKey {
    /// Returns the key of a tenant's name.
    pub fn of(name: &str) -> Self {
        Self(xxh3_64(name.as_bytes()))
    }
}

/// Position of a tenant in the [`TenantTable`] of one configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TenantId(u32);

/// Result of checking a request's credential on a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyCheck {
    /// The request has no tenant and needs none.
    Anonymous,
    /// The key belongs to this tenant.
    Tenant(TenantId),
    /// The request needs a key and has no known one.
    Denied,
}

/// The tenants of one configuration and their keys.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TenantTable {
    tenants: Vec<Tenant>,
    /// Uses a random hash seed per process, so that the time of a lookup reveals nothing about the
    /// keys.
    by_key: HashMap<KeyDigest, TenantId>,
    by_name: HashMap<TenantKey, TenantId>,
}

impl TenantTable {
    /// Adds a tenant with its keys. Keys that belong to an earlier tenant remain with that one.
    pub fn add(&mut self, tenant: Tenant, keys: impl IntoIterator<Item = KeyDigest>) {
        let Ok(position) = u32::try_from(self.tenants.len()) else {
            return;
        };
        for key in keys {
            self.by_key.entry(key).or_insert(TenantId(position));
        }
        let name = self.by_name.entry(tenant.key());
        name.or_insert(TenantId(position));
        self.tenants.push(tenant);
    }

    /// Returns the tenant with a key from a report.
    pub fn find(&self, key: TenantKey) -> Option<&Tenant> {
        self.get(*self.by_name.get(&key)?)
    }

    /// Returns whether there are no tenants, in which case requests need no key.
    pub fn is_empty(&self) -> bool {
        self.tenants.is_empty()
    }

    /// Returns the number of tenants.
    pub fn len(&self) -> usize {
        self.tenants.len()
    }

    /// Returns the tenant with an ID issued by this table.
    pub fn get(&self, id: TenantId) -> Option<&Tenant> {
        self.tenants.get(usize::try_from(id.0).ok()?)
    }

    /// Returns all tenants.
    pub fn iter(&self) -> impl Iterator<Item = &Tenant> {
        self.tenants.iter()
    }

    /// Checks a request's credential. A `public` route accepts requests without a known key.
    pub fn check(&self, credential: Credential, public: bool) -> KeyCheck {
        if self.is_empty() {
            return KeyCheck::Anonymous;
        }
        let known = match credential {
            Credential::Key(digest) => self.by_key.get(&digest).copied(),
            Credential::Absent | Credential::Malformed => None,
        };
        match known {
            Some(tenant) => KeyCheck::Tenant(tenant),
            None if public => KeyCheck::Anonymous,
            None => KeyCheck::Denied,
        }
    }
}

/// Separator between a tenant's name and a caller's identifier. Cannot occur in a header.
const SCOPE_SEPARATOR: char = '\n';

/// Returns a caller's identifier (of a program or a turn) scoped to its tenant, so that equal
/// identifiers of different tenants do not collide. Returns it unchanged if there is no tenant.
pub fn scoped(tenant: Option<&str>, id: &str) -> String {
    match tenant {
        Some(tenant) => format!("{tenant}{SCOPE_SEPARATOR}{id}"),
        None => id.to_owned(),
    }
}
