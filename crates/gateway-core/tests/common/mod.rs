//! Fixtures shared by the tests.

use std::time::Duration;

use elderworks_gateway_core::workers::WorkerRecord;

/// Returns a ready engine with four slots.
pub fn engine(id: &str, zone: &str) -> WorkerRecord {
    WorkerRecord {
        id: id.to_owned(),
        service: "engines".to_owned(),
        address: "127.0.0.1:9".parse().expect("an address"),
        zone: zone.to_owned(),
        slots: 4,
        draining: false,
        cold_left: Duration::ZERO,
        born: 0,
        software: Some("v1".to_owned()),
    }
}
