//! Compatibility with the previous version, which runs side by side with this one during a rolling
//! upgrade. The expected bytes are those that the previous version writes.

use std::time::Duration;

use elderworks_protocol::feed::{FeedHeartbeat, WorkerRecord};
use elderworks_protocol::gateway::{
    ConfigProofAnswer, EndedReport, EngineMemoryReport, GatewayDatagram, GrantDecision,
    LessorMessage, LoadReport, LogReport, MemoryReport, QuotaHistoryMessage, RequestKind,
    RequestMessage, VersionMessage,
};
use elderworks_protocol::ledger::{
    BeginTurn, GatewayFrame, LedgerRecord, LedgerReply, LedgerRequest, TurnStorage,
};
use elderworks_protocol::{decode, encode};
use elderworks_types::{NodeId, Offset, PartitionId};

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Index of the last [`GatewayDatagram`] variant that the previous version knows.
const LAST_DATAGRAM_INDEX: u8 = 6;

/// Index of the last [`GatewayFrame`] variant that the previous version knows.
const LAST_FRAME_INDEX: u8 = 5;

/// Returns the index of the encoded variant, which follows the version byte.
fn variant_index(bytes: &[u8]) -> u8 {
    bytes[1]
}

#[test]
fn datagrams_of_the_previous_version_are_unchanged() {
    let load = GatewayDatagram::Load(LoadReport {
        node: NodeId::new("n1"),
        counts: vec![(7, 2)],
    });
    let proof = GatewayDatagram::ProofTold(ConfigProofAnswer {
        question: 9,
        version: 4,
        age_us: 1_000,
    });
    for (message, recorded) in [
        (load, "0101026e31010702"),
        (GatewayDatagram::ProofAsked(9), "010209"),
        (proof, "01030904e807"),
    ] {
        let bytes = encode(&message);
        assert_eq!(hex(&bytes), recorded);
        assert_eq!(decode(&bytes), Ok(message));
    }
}

#[test]
fn frames_of_the_previous_version_are_unchanged() {
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
fn ledger_records_of_the_previous_version_are_unchanged() {
    let record = LedgerRecord::Reserved {
        program: "p".to_owned(),
        reservation: "n1#1".to_owned(),
        tokens: 300,
    };
    let bytes = encode(&record);
    assert_eq!(hex(&bytes), "01000170046e312331ac02");
    assert_eq!(decode(&bytes), Ok(record));
}

/// Index of the last [`LedgerRecord`] variant that the previous version knows.
const LAST_RECORD_INDEX: u8 = 7;

/// The previous version skips a record that it can't decode, and charges the overdraft to all turns.
#[test]
fn the_restriction_of_an_overdraft_is_a_record_unknown_to_the_previous_version() {
    let superseded = LedgerRecord::OverdraftSuperseded {
        overdraft: "n1#1/1".to_owned(),
    };
    assert_eq!(variant_index(&encode(&superseded)), LAST_RECORD_INDEX);
    let restricted = LedgerRecord::OverdraftForUnstored {
        overdraft: "n1#1/1".to_owned(),
    };
    let bytes = encode(&restricted);
    assert_eq!(variant_index(&bytes), LAST_RECORD_INDEX + 1);
    assert_eq!(decode(&bytes), Ok(restricted));
}

/// The mark is a value that the previous version reads, and ignores for a turn without a previous one.
#[test]
fn starts_of_turns_read_alike_in_the_previous_version() {
    let first = BeginTurn {
        program: "p".to_owned(),
        turn: "t".to_owned(),
        budget: Some(300),
        tokens: 10,
        previous: None,
        imported: None,
    };
    let mut not_stored = first.clone();
    not_stored.mark_not_stored();
    let later = BeginTurn {
        previous: Some("s".to_owned()),
        ..first.clone()
    };
    for (begin, storage, recorded) in [
        (first, TurnStorage::Unknown, "01000170017401ac020a0000"),
        (
            not_stored,
            TurnStorage::NotStored,
            "01000170017401ac020a000100",
        ),
        (later, TurnStorage::Stored, "01000170017401ac020a01017300"),
    ] {
        assert_eq!(begin.storage(), storage);
        let request = LedgerRequest::Begin(begin);
        let bytes = encode(&request);
        assert_eq!(hex(&bytes), recorded);
        assert_eq!(decode(&bytes), Ok(request));
    }
}

/// The software version of a worker isn't part of the encoding, which the previous version can't extend.
#[test]
fn worker_records_of_the_previous_version_are_unchanged() {
    let record = WorkerRecord {
        id: "w".to_owned(),
        service: "s".to_owned(),
        address: ([1, 2, 3, 4], 5).into(),
        zone: "z".to_owned(),
        slots: 1,
        draining: false,
        cold_left: Duration::ZERO,
        born: 0,
        software: Some("v1".to_owned()),
    };
    let bytes = encode(&record);
    assert_eq!(hex(&bytes), "0101770173000102030405017a0100000000");
    let without_software = WorkerRecord {
        software: None,
        ..record
    };
    assert_eq!(decode(&bytes), Ok(without_software));
}

/// The previous version ignores datagrams of unknown kinds, but closes the connection on a frame of an
/// unknown kind. New frames are therefore sent only to nodes that have sent a new datagram.
#[test]
fn new_messages_use_variants_unknown_to_the_previous_version() {
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
        GatewayDatagram::QuotaHistory(QuotaHistoryMessage::Asked {
            node: NodeId::new("n1"),
            uptime_ms: 1,
        }),
        GatewayDatagram::Versions(VersionMessage::Begun {
            streams: vec![(1, 2)],
        }),
    ] {
        assert!(variant_index(&encode(&datagram)) > LAST_DATAGRAM_INDEX);
    }
    let question = elderworks_protocol::feed::FeedRequest::Configuration;
    let asked = GatewayFrame::FeedAsked { id: 1, question };
    assert!(variant_index(&encode(&asked)) > LAST_FRAME_INDEX);
}

/// The kinds of datagrams that the version before reports of ended workers knows.
#[derive(Debug, serde::Deserialize)]
enum EarlierDatagram {
    Gossip,
    Load,
    ProofAsked,
    ProofTold,
    Quota,
    Parts,
    Demand,
    Zones,
    Beat,
    Memory,
    Log,
    Lessor,
    QuotaHistory,
    Versions(VersionMessage),
}

#[test]
fn reports_of_ended_workers_follow_all_earlier_datagrams() {
    let report = EndedReport {
        request: 300,
        kind: RequestKind::Content,
        age_ms: 5,
        workers: vec![7, 200],
    };
    let requests = vec![report];
    let messages = [
        (
            RequestMessage::Ended {
                requests: requests.clone(),
            },
            "010e0001ac0201050207c801".to_owned(),
        ),
        (RequestMessage::Asked, "010e01".to_owned()),
        (
            RequestMessage::Told {
                known_ms: 9,
                requests: requests.clone(),
            },
            "010e020901ac0201050207c801".to_owned(),
        ),
        (
            RequestMessage::Placed {
                attempt: 3,
                worker: 4,
                ended: 2,
            },
            "010e03030402".to_owned(),
        ),
        (
            RequestMessage::Released {
                attempt: 3,
                worker: 4,
            },
            "010e040304".to_owned(),
        ),
        (
            RequestMessage::AskedAbout { requests: vec![3] },
            "010e050103".to_owned(),
        ),
        (
            RequestMessage::Possible {
                requests: requests.clone(),
            },
            "010e0601ac0201050207c801".to_owned(),
        ),
        (
            RequestMessage::Outlived { requests },
            "010e0701ac0201050207c801".to_owned(),
        ),
    ];
    for (message, recorded) in messages {
        let datagram = GatewayDatagram::Requests(message);
        let bytes = encode(&datagram);
        assert_eq!(hex(&bytes), recorded);
        assert_eq!(decode(&bytes), Ok(datagram));
        // The earlier version ignores what it can't decode.
        assert!(decode::<EarlierDatagram>(&bytes).is_err());
    }
    let begun = VersionMessage::Begun { streams: vec![] };
    let versions = encode(&GatewayDatagram::Versions(begun.clone()));
    let known = decode(&versions);
    assert!(matches!(known, Ok(EarlierDatagram::Versions(message)) if message == begun));
}
