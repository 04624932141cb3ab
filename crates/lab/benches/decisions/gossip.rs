//! Benchmark of a failure detector tick by number of members.

use std::net::SocketAddr;
use std::time::Duration;

use criterion::{BenchmarkId, Criterion};
use elderworks_membership::settings::{PROBE_INTERVAL, PROBE_TIMEOUT, SUSPICION_TIMEOUT};
use elderworks_membership::{Event, Membership, MembershipSettings};
use elderworks_protocol::gossip::{Datagram, DatagramKind, MemberState, MemberUpdate};
use elderworks_types::{CellId, Incarnation, NodeId, Offset, Timestamp, ZoneId};

fn address(number: usize) -> SocketAddr {
    let [_, _, high, low] = (number as u32).to_be_bytes();
    SocketAddr::from(([10, 0, high, low], 7_000))
}

fn update(number: usize) -> MemberUpdate {
    MemberUpdate {
        node: NodeId::new(format!("node-{number:04}")),
        incarnation: Incarnation(1),
        refutation: 0,
        state: MemberState::Alive,
        zone: ZoneId::new("zone-00"),
        gossip_address: address(number),
        address: address(number),
    }
}

/// Creates a detector that knows `members` members.
fn detector(members: usize) -> Membership {
    let mut detector = Membership::new(MembershipSettings {
        node: NodeId::new("node-0000"),
        incarnation: Incarnation(1),
        zone: ZoneId::new("zone-00"),
        cell: CellId::new(""),
        gossip_address: address(0),
        address: address(0),
        seeds: vec![address(1)],
        probe_interval: PROBE_INTERVAL,
        probe_timeout: PROBE_TIMEOUT,
        suspicion_timeout: SUSPICION_TIMEOUT,
        seed: 1,
    });
    let datagram = Datagram {
        from: NodeId::new("node-0001"),
        cell: CellId::new(""),
        control_next: Offset(0),
        kind: DatagramKind::Members,
        updates: (1..members).map(update).collect(),
        digests: Vec::new(),
    };
    let from = address(1);
    detector.handle(Timestamp(1), Event::Received { from, datagram });
    detector
}

/// Measures one tick for several cluster sizes.
pub fn gossip_tick(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("gossip tick by members");
    for members in [5, 10, 20, 40] {
        let mut detector = detector(members);
        let mut now = Timestamp(1_000_000);
        group.bench_with_input(
            BenchmarkId::from_parameter(members),
            &members,
            |bench, _| {
                bench.iter(|| {
                    now = now + Duration::from_millis(50);
                    detector.handle(now, Event::Tick)
                });
            },
        );
    }
    group.finish();
}
