//! Tests of route matching, activation of configurations and weighted services.

use std::collections::BTreeMap;
use std::time::Duration;

use elderworks_gateway_core::config::{
    ActiveConfig, RequestLimits, Route, RouteKind, ServingConfig, WeightedService,
};
use elderworks_gateway_core::split::WeightedRoundRobin;
use elderworks_gateway_core::tenants::TenantTable;

fn route(name: &str, host: &str, prefix: &str, services: &[(&str, u32)]) -> Route {
    Route {
        name: name.to_owned(),
        host: host.to_owned(),
        path_prefix: prefix.to_owned(),
        kind: RouteKind::Idempotent,
        resumable: false,
        keeps_turns: false,
        keep_for: Duration::ZERO,
        timeout: Duration::from_secs(1),
        target: Duration::from_millis(100),
        attempts: 1,
        priority: 0,
        sticky: false,
        public: false,
        services: services
            .iter()
            .map(|(service, weight)| WeightedService {
                service: (*service).to_owned(),
                weight: *weight,
            })
            .collect(),
    }
}

fn config(version: u64, routes: Vec<Route>) -> ServingConfig {
    ServingConfig {
        version,
        routes,
        services: BTreeMap::new(),
        limits: RequestLimits::default(),
        tenants: TenantTable::default(),
    }
}

#[test]
fn the_longest_matching_prefix_of_the_host_wins() {
    let config = config(
        1,
        vec![
            route("short", "a.example", "/x/", &[("s", 1)]),
            route("long", "a.example", "/x/y/", &[("s", 1)]),
            route("other", "b.example", "/x/y/z/", &[("s", 1)]),
        ],
    );
    let cases = [
        ("a.example", "/x/1", Some("short")),
        ("a.example", "/x/y/1", Some("long")),
        ("a.example", "/x/y/z/1", Some("long")),
        ("b.example", "/x/y/z/1", Some("other")),
        ("a.example", "/x", None),
        ("a.example", "/z/", None),
        ("c.example", "/x/", None),
    ];
    for (host, path, expected) in cases {
        let found = config
            .route_for(host, path)
            .map(|route| route.name.as_str());
        assert_eq!(found, expected, "{host}{path}");
    }
}

#[test]
fn an_older_version_never_replaces_a_newer_one() {
    let mut active = ActiveConfig::default();
    let offers = [(3, true), (2, false), (3, false), (9, true), (8, false)];
    for (version, is_activated) in offers {
        assert_eq!(
            active.offer(config(version, Vec::new())),
            is_activated,
            "{version}"
        );
    }
    assert_eq!(active.current().map(|config| config.version), Some(9));
}

#[test]
fn requests_are_split_by_weight() {
    for seed in [0, 1, 7, 99_991] {
        let split = route("r", "h", "/", &[("big", 90), ("small", 10), ("none", 0)]);
        let mut state = WeightedRoundRobin::new(seed);
        let mut counts: BTreeMap<String, u32> = BTreeMap::new();
        for _ in 0..300 {
            let service = state.next_service(&split).expect("the route has services");
            *counts.entry(service).or_default() += 1;
        }
        assert!(counts["big"].abs_diff(270) <= 2, "{counts:?}");
        assert!(counts["small"].abs_diff(30) <= 2, "{counts:?}");
        assert_eq!(counts.get("none"), None);
    }
}

#[test]
fn changed_weights_take_effect_immediately() {
    let mut state = WeightedRoundRobin::new(5);
    let before = route("r", "h", "/", &[("old", 100), ("new", 0)]);
    let after = route("r", "h", "/", &[("old", 0), ("new", 100)]);
    assert_eq!(state.next_service(&before).as_deref(), Some("old"));
    for _ in 0..10 {
        assert_eq!(state.next_service(&after).as_deref(), Some("new"));
    }
}

#[test]
fn a_route_without_services_has_no_next_service() {
    let empty = route("r", "h", "/", &[]);
    assert_eq!(WeightedRoundRobin::new(0).next_service(&empty), None);
}
