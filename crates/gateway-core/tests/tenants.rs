//! Tests of API keys, tenants and authorization.

use std::time::Duration;

use elderworks_gateway_core::access::{Access, KeyLeases, decide};
use elderworks_gateway_core::config::{RequestLimits, ServingConfig};
use elderworks_gateway_core::config_proof::ConfigProof;
use elderworks_gateway_core::tenants::{
    Credential, KeyCheck, KeyDigest, Tenant, TenantTable, scoped,
};
use elderworks_types::Timestamp;

fn digest(byte: u8) -> KeyDigest {
    KeyDigest([byte; 32])
}

fn key(byte: u8) -> Credential {
    Credential::Key(digest(byte))
}

fn tenant(name: &str) -> Tenant {
    Tenant {
        name: name.to_owned(),
        priority: None,
        quota: None,
    }
}

fn table() -> TenantTable {
    let mut table = TenantTable::default();
    table.add(tenant("a"), [digest(1), digest(2)]);
    table.add(tenant("b"), [digest(3)]);
    table.add(tenant("without keys"), []);
    table
}

fn name_of(table: &TenantTable, check: KeyCheck) -> Option<&str> {
    match check {
        KeyCheck::Tenant(id) => table.get(id).map(|tenant| tenant.name.as_str()),
        KeyCheck::Anonymous | KeyCheck::Denied => None,
    }
}

#[test]
fn keys_identify_their_tenants() {
    let table = table();
    for (byte, name) in [(1, "a"), (2, "a"), (3, "b")] {
        for public in [false, true] {
            assert_eq!(name_of(&table, table.check(key(byte), public)), Some(name));
        }
    }
}

#[test]
fn requests_without_a_known_key_are_allowed_on_public_routes_only() {
    let table = table();
    for credential in [Credential::Absent, Credential::Malformed, key(4)] {
        assert_eq!(table.check(credential, false), KeyCheck::Denied);
        assert_eq!(table.check(credential, true), KeyCheck::Anonymous);
    }
}

#[test]
fn without_tenants_no_key_is_needed() {
    let table = TenantTable::default();
    for credential in [Credential::Absent, Credential::Malformed, key(1)] {
        assert_eq!(table.check(credential, false), KeyCheck::Anonymous);
    }
}

#[test]
fn a_duplicate_key_belongs_to_the_first_tenant() {
    let mut table = table();
    table.add(tenant("c"), [digest(1)]);
    assert_eq!(name_of(&table, table.check(key(1), false)), Some("a"));
}

#[test]
fn scoped_identifiers_do_not_collide() {
    let names = [
        scoped(Some("a"), "p"),
        scoped(Some("b"), "p"),
        scoped(Some("a"), "bp"),
        scoped(Some("ab"), "p"),
        scoped(None, "p"),
        scoped(None, "ap"),
    ];
    for (position, name) in names.iter().enumerate() {
        assert!(!names[position + 1..].contains(name), "{name:?}");
    }
}

const ACTING: Duration = Duration::from_millis(4_500);
const DENYING: Duration = Duration::from_millis(1_500);

fn config() -> ServingConfig {
    ServingConfig {
        version: 7,
        routes: Vec::new(),
        services: Default::default(),
        limits: RequestLimits::default(),
        tenants: table(),
    }
}

/// Returns the name of the decision for a proof of the given age.
fn decision(
    credential: Credential,
    age: Option<Duration>,
    acting: Option<Duration>,
) -> &'static str {
    let now = Timestamp(60_000_000);
    let mut proof = ConfigProof::default();
    proof.replace(7);
    if let Some(age) = age {
        proof.note_read(now - age);
    }
    let leases = KeyLeases {
        acting,
        denying: DENYING,
    };
    match decide(&config(), &proof, now, &leases, credential, false) {
        Access::Allowed(Some(_)) => "allowed",
        Access::Allowed(None) => "anonymous",
        Access::Denied => "denied",
        Access::KeyUnverified => "unsure",
        Access::LeaseExpired => "over",
    }
}

#[test]
fn decisions_depend_on_the_age_of_the_proof() {
    let ms = |ms| Some(Duration::from_millis(ms));
    let acting = Some(ACTING);
    let cases = [
        // credential, age of the proof, maximum age for accepting a key, decision
        (key(1), ms(0), acting, "allowed"),
        (key(1), ms(4_499), acting, "allowed"),
        (key(1), ms(4_500), acting, "over"),
        (key(1), None, acting, "over"),
        (key(1), ms(60_000), None, "allowed"),
        (key(1), None, None, "allowed"),
        (key(9), ms(1_499), acting, "denied"),
        (key(9), ms(1_500), acting, "unsure"),
        (key(9), None, None, "unsure"),
        (Credential::Absent, None, acting, "denied"),
        (Credential::Malformed, None, acting, "denied"),
    ];
    for (credential, age, acting, expected) in cases {
        let actual = decision(credential, age, acting);
        assert_eq!(actual, expected, "{credential:?} {age:?} {acting:?}");
    }
}
