//! Tenants: which keys are theirs, how urgent their requests are, and how many they may send.

use std::collections::HashMap;
use std::fmt;

use xxhash_rust::xxh3::xxh3_64;

/// SHA-256 of an API key. Keys themselves stay in the adapter that reads them.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyDigest(pub [u8; 32]);

impl fmt::Debug for KeyDigest {
    /// Shows nothing of the digest: short keys could be guessed from it.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}

/// The key that a request bears.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Credential {
    /// The request names no key.
    #[default]
    Absent,
    /// What the request names cannot be a key: several, an empty one, another scheme.
    Malformed,
    /// The digest of the key.
    Key(KeyDigest),
}

/// Most requests of a tenant, over all nodes together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Requests per second.
    pub per_second: f64,
    /// Requests beyond that at once.
    pub burst: f64,
}

/// One tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Its name, as workers are told it.
    pub name: String,
    /// Rank of its requests in place of their route's; 0 is the most urgent.
    pub priority: Option<u8>,
    /// `None` if it may send any number of requests.
    pub quota: Option<Quota>,
}

impl Tenant {
    /// What stands for the tenant where nodes tell each other of it.
    pub fn key(&self) -> TenantKey {
        TenantKey::of(&self.name)
    }
}

/// Stands for a tenant's name in reports between nodes and in the accounts of its quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TenantKey(pub u64);

impl TenantKey {
    /// The key of a name.
    pub fn of(name: &str) -> Self {
        Self(xxh3_64(name.as_bytes()))
    }
}

/// Position of a tenant in the [`TenantTable`] of one configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TenantId(u32);

/// What a request's credential comes to on a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyCheck {
    /// The request needs no tenant and has none.
    Anonymous,
    /// The key is this tenant's.
    Tenant(TenantId),
    /// The request needs a key and bears none that is known.
    Denied,
}

/// The tenants of one configuration and their keys.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TenantTable {
    tenants: Vec<Tenant>,
    /// Hashed with a seed of the process, so how long a look-up takes tells nothing of the keys.
    by_key: HashMap<KeyDigest, TenantId>,
    by_name: HashMap<TenantKey, TenantId>,
}

impl TenantTable {
    /// Adds a tenant with its keys. A key that an earlier tenant has stays with that one.
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

    /// The tenant that a key in a report stands for.
    pub fn find(&self, key: TenantKey) -> Option<&Tenant> {
        self.get(*self.by_name.get(&key)?)
    }

    /// Whether there is no tenant at all: requests then need no key.
    pub fn is_empty(&self) -> bool {
        self.tenants.is_empty()
    }

    /// How many tenants there are.
    pub fn len(&self) -> usize {
        self.tenants.len()
    }

    /// The tenant of an id that this table gave.
    pub fn get(&self, id: TenantId) -> Option<&Tenant> {
        self.tenants.get(usize::try_from(id.0).ok()?)
    }

    /// Every tenant.
    pub fn iter(&self) -> impl Iterator<Item = &Tenant> {
        self.tenants.iter()
    }

    /// Decides on a request's credential. A `public` route takes requests without a known key.
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

/// Separates a tenant's name from an identifier of its caller's. No header can hold it.
const SCOPE_SEPARATOR: char = '\n';

/// The name under which a caller's identifier (a program, a turn) is kept, so that equal ones of
/// two tenants are never mixed up. Unchanged where the configuration has no tenants.
pub fn scoped(tenant: Option<&str>, id: &str) -> String {
    match tenant {
        Some(tenant) => format!("{tenant}{SCOPE_SEPARATOR}{id}"),
        None => id.to_owned(),
    }
}
