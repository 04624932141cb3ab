//! Measures the time to place one turn among 122 engines.

use std::time::{Duration, Instant};

use elderworks_gateway_core::balancer::{PlacementQuery, choose};
use elderworks_gateway_core::placement::demand::{EngineTurn, PrefixKey};
use elderworks_gateway_core::policy::Policy;
use elderworks_gateway_core::stream_versions::VersionRule;
use elderworks_gateway_core::workers::{WorkerDirectory, WorkerRecord};
use elderworks_types::Timestamp;

const ENGINES: usize = 122;
const DECISIONS: u32 = 20_000;

fn main() {
    let mut workers = WorkerDirectory::new(Policy::default());
    for engine in 0..ENGINES {
        workers.upsert(
            WorkerRecord {
                id: format!("engine-{engine}"),
                service: "engines".to_owned(),
                address: "127.0.0.1:9".parse().expect("an address"),
                zone: ["a", "b", "c"][engine % 3].to_owned(),
                slots: 12,
                draining: false,
                cold_left: Duration::ZERO,
                born: 0,
                software: None,
            },
            Timestamp(1),
        );
    }
    let start = Instant::now();
    for number in 0..DECISIONS {
        let now = Timestamp(1) + Duration::from_millis(number.into());
        let turn = EngineTurn {
            prefix: PrefixKey(number % 16),
            prefix_tokens: 12_600,
            suffix_tokens: 2_000,
            max_output_tokens: 200,
            memory_tokens: 280_000,
            slots: 12,
        };
        let program = number.to_string();
        let query = PlacementQuery {
            service: "engines",
            key: Some(&program),
            zone: "a",
            repeatable: false,
            tried: &[],
            versions: VersionRule::Any,
            turn: Some(turn),
            seed: 1,
            is_connected: &|_| false,
        };
        workers.note_turn("engines", &turn, now);
        std::hint::black_box(choose(&workers, &query, now));
    }
    let each = start.elapsed() / DECISIONS;
    println!("{each:?} per decision");
}
