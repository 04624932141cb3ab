//! Tests that parameters out of range are rejected.

use elderworks_gateway_core::policy::Policy;

#[test]
fn the_defaults_are_valid() {
    assert_eq!(Policy::default().check(), Ok(()));
}

#[test]
fn parameters_out_of_range_are_rejected_by_name() {
    struct Case {
        policy: Policy,
        key: &'static str,
    }
    let default = Policy::default();
    let cases = [
        Case {
            policy: Policy {
                overdraft_share: 0,
                ..default
            },
            key: "overdraft_share",
        },
        Case {
            policy: Policy {
                load_bound: 0.9,
                ..default
            },
            key: "load_bound",
        },
        Case {
            policy: Policy {
                load_bound: f64::NAN,
                ..default
            },
            key: "load_bound",
        },
        Case {
            policy: Policy {
                addresses_ttl_ms: 0,
                ..default
            },
            key: "addresses_ttl_ms",
        },
        Case {
            policy: Policy {
                calm_share: 1.1,
                ..default
            },
            key: "calm_share",
        },
        Case {
            policy: Policy {
                outage_wait_share: 1.1,
                ..default
            },
            key: "outage_wait_share",
        },
        Case {
            policy: Policy {
                full_share: 0.0,
                ..default
            },
            key: "full_share",
        },
        Case {
            policy: Policy {
                full_share: f64::NAN,
                ..default
            },
            key: "full_share",
        },
        Case {
            policy: Policy {
                longest_wait_ms: 0,
                ..default
            },
            key: "longest_wait_ms",
        },
        Case {
            policy: Policy {
                floor_interval: 1,
                ..default
            },
            key: "floor_interval",
        },
    ];
    for case in cases {
        let error = case.policy.check().expect_err(case.key);
        assert_eq!(error.key, case.key);
    }
}
