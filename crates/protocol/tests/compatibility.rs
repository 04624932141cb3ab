//! During an upgrade, nodes of this version and of the one before run side by side: what one writes the
//! other must read. The bytes here are those of the version before.

use elderworks_protocol::feed::FeedHeartbeat;
use elderworks_protocol::gateway::{
    ConfigProofAnswer, EngineMemoryReport, GatewayDatagram, GrantDecision, LessorMessage,
    LoadReport, LogReport, MemoryReport,
};
use elderworks_protocol::ledger::{GatewayFrame, LedgerRecord, LedgerReply, LedgerRequest};
use elderworks_protocol::{decode, encode};
use elderworks_types::{NodeId, Offset, PartitionId};

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Number of the last kind of datagram that the version before knows.
const LAST_KNOWN_DATAGRAM: u8 = 6;

/// The same for frames.
const LAST_KNOWN_FRAME: u8 = 5;

/// Each kind is numbered by its place, behind the byte of the encoding's version.
fn kind(bytes: &[u8]) -> u8 {
    bytes[1]
}

#[test]
fn datagrams_of_the_version_before() {
    let load = GatewayDatagram::Load(LoadReport {
        node: NodeId::new("n1"),
        counts: vec![(7, 2)],
    });
    let told = GatewayDatagram::ProofTold(ConfigProofAnswer {
        question: 9,
        version: 4,
        age_us: 1_000,
    });
    for (message, recorded) in [
        (load, "0101026e31010702"),
        (GatewayDatagram::ProofAsked(9), "010209"),
        (told, "01030904e807"),
    ] {
        let bytes = encode(&message);
        assert_eq!(hex(&bytes), recorded);
        assert_eq!(decode(&bytes), Ok(message));
    }
}

#[test]
fn frames_of_the_version_before() {
    let request = GatewayFrame::Request {
        id: 3,
        partition: PartitionId(2),
        request: LedgerRequest::Conversation {
            turn: "t".to_owned(),
        },
    };
    let reply = GatewayFrame::Reply {
        id: 3,
        reply: LedgerReply::BudgetSpent,
    };
    let asked = GatewayFrame::ConfigurationAsked {
        node: NodeId::new("n1"),
    };
    for (message, recorded) in [
        (request, "01000302020174"),
        (reply, "01020301"),
        (asked, "0104026e31"),
    ] {
        let bytes = encode(&message);
        assert_eq!(hex(&bytes), recorded);
        assert_eq!(decode(&bytes), Ok(message));
    }
}

#[test]
fn records_of_the_ledger_of_the_version_before() {
    let record = LedgerRecord::Reserved {
        program: "p".to_owned(),
        reservation: "n1#1".to_owned(),
        tokens: 300,
    };
    let bytes = encode(&record);
    assert_eq!(hex(&bytes), "01000170046e312331ac02");
    assert_eq!(decode(&bytes), Ok(record));
}

/// Datagrams of kinds that it does not know are passed over by the version before; a frame of such a kind
/// would end the connection, so it goes only to nodes that have sent such a datagram.
#[test]
fn new_messages_have_kinds_that_the_version_before_does_not_know() {
    let beat = FeedHeartbeat {
        node: NodeId::new("n1"),
        boot: 1,
        reads: true,
        age_us: 0,
        config_version: 1,
        nodes_end: Offset(0),
        worker_count: 0,
        workers_revision: 0,
        zones: Vec::new(),
    };
    let memory = MemoryReport {
        node: NodeId::new("n1"),
        engines: vec![EngineMemoryReport {
            engine: 1,
            born: 2,
            age_ms: 3,
            parts: vec![(4, 5)],
        }],
    };
    let log = LogReport {
        node: NodeId::new("n1"),
        waits_us: Some(40_000),
        answered_us: None,
        is_silent: false,
    };
    for datagram in [
        GatewayDatagram::Zones(Vec::new()),
        GatewayDatagram::Beat(beat),
        GatewayDatagram::Memory(memory),
        GatewayDatagram::Log(log),
        GatewayDatagram::Lessor(LessorMessage::Told {
            question: 1,
            verdict: GrantDecision::Granted,
        }),
    ] {
        assert!(kind(&encode(&datagram)) > LAST_KNOWN_DATAGRAM);
    }
    let question = elderworks_protocol::feed::FeedRequest::Configuration;
    let asked = GatewayFrame::FeedAsked { id: 1, question };
    assert!(kind(&encode(&asked)) > LAST_KNOWN_FRAME);
}
