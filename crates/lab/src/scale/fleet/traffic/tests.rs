//! Bytes by cause.

use elderworks_protocol::encode;
use elderworks_protocol::gossip::{
    CellDigest, CellState, Datagram, DatagramKind, MemberState, MemberUpdate,
};
use elderworks_types::{CellId, Incarnation, NodeId, Offset, ZoneId};

use super::{Cause, DatagramParts, Traffic, UDP_HEADER_BYTES};

fn datagram(kind: DatagramKind) -> Datagram {
    let address = ([10, 0, 0, 1], 7_000).into();
    Datagram {
        from: NodeId::new("node-0001"),
        cell: CellId::new("zone-00/0"),
        control_next: Offset(7),
        kind,
        updates: vec![MemberUpdate {
            node: NodeId::new("node-0002"),
            incarnation: Incarnation(1),
            refutation: 0,
            state: MemberState::Alive,
            zone: ZoneId::new("zone-00"),
            gossip_address: address,
            address,
        }],
        digests: vec![CellDigest {
            cell: CellId::new("zone-01/0"),
            version: 3,
            state: CellState::Alive,
            representatives: Vec::new(),
            nodes: 20,
            load_percent: 50,
            control_next: Offset(6),
        }],
    }
}

#[test]
fn every_byte_of_a_datagram_has_one_cause() {
    let cases = [
        (DatagramKind::Ping { nonce: 1 }, true, Cause::Probe),
        (DatagramKind::Ping { nonce: 1 }, false, Cause::CellProbe),
        (DatagramKind::Members, true, Cause::Exchange),
    ];
    for (kind, within_cell, cause) in cases {
        let datagram = datagram(kind);
        let encoded = encode(&datagram).len();
        let mut traffic = Traffic::default();
        traffic.count_parts(&DatagramParts::of(&datagram, encoded, within_cell));
        assert_eq!(traffic.total_bytes(), (encoded + UDP_HEADER_BYTES) as u64);
        assert_eq!(traffic.messages[cause as usize], 1);
        assert!(traffic.bytes[Cause::Digest as usize] > 0);
        let news = traffic.bytes[Cause::MemberNews as usize];
        assert_eq!(news == 0, cause == Cause::Exchange);
    }
}
