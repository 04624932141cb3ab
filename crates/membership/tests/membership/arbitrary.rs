//! Property tests: arbitrary datagrams neither crash a detector nor exceed its limits, and a cell
//! converges after arbitrary faults.

use std::net::SocketAddr;
use std::time::Duration;

use crate::support::{Fleet, address_of, name_of, settings};
use elderworks_membership::settings::MAX_MEMBERS;
use elderworks_membership::{Effect, Event, Membership};
use elderworks_protocol::gossip::{
    CellDigest, CellState, Datagram, DatagramKind, MAX_DATAGRAM_BYTES, MemberState, MemberUpdate,
    Representative,
};
use elderworks_protocol::{decode, encode};
use elderworks_types::{CellId, Incarnation, NodeId, Offset, Timestamp, ZoneId};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

fn config(cases: u32) -> Config {
    Config {
        cases,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(0x5eed),
        ..Config::default()
    }
}

fn any_address() -> impl Strategy<Value = SocketAddr> {
    (any::<[u8; 4]>(), any::<u16>()).prop_map(SocketAddr::from)
}

fn any_node() -> impl Strategy<Value = NodeId> {
    prop_oneof![
        (0usize..6).prop_map(name_of),
        "[a-z]{0,400}".prop_map(NodeId::new)
    ]
}

fn any_cell() -> impl Strategy<Value = CellId> {
    prop_oneof![Just(CellId::new("")), "[a-z]{0,8}".prop_map(CellId::new)]
}

fn any_state() -> impl Strategy<Value = MemberState> {
    prop::sample::select(vec![
        MemberState::Alive,
        MemberState::Draining,
        MemberState::Suspect,
        MemberState::Dead,
    ])
}

fn any_update() -> impl Strategy<Value = MemberUpdate> {
    let numbers = (0u64..3, any::<u32>());
    (
        any_node(),
        numbers,
        any_state(),
        any_address(),
        any_address(),
    )
        .prop_map(
            |(node, (incarnation, refutation), state, gossip_address, address)| MemberUpdate {
                node,
                incarnation: Incarnation(incarnation),
                refutation,
                state,
                zone: ZoneId::new("z"),
                gossip_address,
                address,
            },
        )
}

fn any_digest() -> impl Strategy<Value = CellDigest> {
    let states = vec![CellState::Alive, CellState::Suspect, CellState::Dead];
    let representative = (any_node(), any_address()).prop_map(|(node, address)| Representative {
        node,
        gossip_address: address,
        address,
    });
    let representatives = prop::collection::vec(representative, 0..5);
    let state = prop::sample::select(states);
    let numbers = (any::<u64>(), any::<u16>(), any::<u8>(), any::<u64>());
    (any_cell(), state, representatives, numbers).prop_map(
        |(cell, state, representatives, (version, nodes, load_percent, next))| CellDigest {
            cell,
            version,
            state,
            representatives,
            nodes,
            load_percent,
            control_next: Offset(next),
        },
    )
}

fn any_kind() -> impl Strategy<Value = DatagramKind> {
    prop_oneof![
        (0u64..8).prop_map(|nonce| DatagramKind::Ping { nonce }),
        (0u64..8, any_node())
            .prop_map(|(nonce, target)| DatagramKind::PingRequest { nonce, target }),
        (0u64..8).prop_map(|nonce| DatagramKind::Acknowledge { nonce }),
        Just(DatagramKind::Join),
        Just(DatagramKind::Members),
    ]
}

fn any_datagram() -> impl Strategy<Value = Datagram> {
    let updates = prop::collection::vec(any_update(), 0..4);
    let digests = prop::collection::vec(any_digest(), 0..4);
    (
        any_node(),
        any_cell(),
        any::<u64>(),
        any_kind(),
        updates,
        digests,
    )
        .prop_map(|(from, cell, next, kind, updates, digests)| Datagram {
            from,
            cell,
            control_next: Offset(next),
            kind,
            updates,
            digests,
        })
}

proptest! {
    #![proptest_config(config(256))]

    #[test]
    fn arbitrary_datagrams_do_not_break_a_node(
        datagrams in prop::collection::vec((any_datagram(), 0u64..2_000), 1..60)
    ) {
        let mut node = Membership::new(settings(0, "", 1));
        let mut now = Timestamp(1);
        for (datagram, gap_millis) in datagrams {
            now = now + Duration::from_millis(gap_millis);
            let from = address_of(1);
            let mut effects = node.handle(now, Event::Received { from, datagram });
            effects.extend(node.handle(now, Event::Tick));
            for effect in effects {
                if let Effect::Send { datagram, .. } = effect {
                    let bytes = encode(&datagram);
                    prop_assert!(bytes.len() <= MAX_DATAGRAM_BYTES, "{} bytes", bytes.len());
                    prop_assert_eq!(decode::<Datagram>(&bytes), Ok(datagram));
                }
            }
            prop_assert!(node.members().any(|member| member.update.node == name_of(0)));
        }
    }

    #[test]
    fn arbitrary_bytes_are_rejected_or_handled(
        bytes in prop::collection::vec(any::<u8>(), 0..200)
    ) {
        let mut bytes = bytes;
        if let Some(first) = bytes.first_mut() {
            *first = elderworks_protocol::envelope::VERSION;
        }
        if let Ok(datagram) = decode::<Datagram>(&bytes) {
            let mut node = Membership::new(settings(0, "", 1));
            node.handle(Timestamp(1), Event::Received { from: address_of(1), datagram });
        }
    }
}

proptest! {
    #![proptest_config(config(24))]

    #[test]
    fn members_agree_after_arbitrary_faults(
        count in 2usize..12,
        seed in any::<u64>(),
        killed in prop::collection::btree_set(2usize..12, 0..4),
        paused in prop::collection::btree_set(0usize..12, 0..4),
        loss_percent in 0u32..11,
        fault_seconds in 1u64..60,
    ) {
        let mut fleet = Fleet::new(count, seed);
        let group: Vec<usize> = (0..count).collect();
        fleet.run_until(Duration::from_secs(60), |fleet| fleet.agree_on_alive(&group));
        fleet.loss_percent = loss_percent;
        fleet.paused = paused;
        for index in killed.into_iter().filter(|index| *index < count) {
            fleet.kill(index);
        }
        fleet.run(Duration::from_secs(fault_seconds));
        fleet.paused.clear();
        fleet.loss_percent = 0;
        fleet.run_until(Duration::from_secs(120), |fleet| fleet.agree_on_alive(&group));
    }
}

#[test]
fn the_member_table_is_bounded() {
    let mut node = Membership::new(settings(0, "", 1));
    for index in 0..MAX_MEMBERS + 10 {
        let update = MemberUpdate {
            node: NodeId::new(format!("stranger-{index}")),
            incarnation: Incarnation(1),
            refutation: 0,
            state: MemberState::Alive,
            zone: ZoneId::new("z"),
            gossip_address: address_of(1),
            address: address_of(1),
        };
        let datagram = Datagram {
            from: name_of(1),
            cell: CellId::new(""),
            control_next: Offset(0),
            kind: DatagramKind::Members,
            updates: vec![update],
            digests: Vec::new(),
        };
        let from = address_of(1);
        node.handle(Timestamp(1), Event::Received { from, datagram });
    }
    assert_eq!(node.members().count(), MAX_MEMBERS);
    assert!(node.rejected() >= 10);
}
