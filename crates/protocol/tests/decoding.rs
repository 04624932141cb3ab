//! Decoders return an error on malformed input, never panic, and round-trip encoded values.

use bytes::BytesMut;
use elderworks_protocol::gossip::Datagram;
use elderworks_protocol::journal::JournalBody;
use elderworks_protocol::peer::{FromNode, Hello, ToNode};
use elderworks_protocol::sidecar::{Delivered, NodeMessage, SidecarMessage};
use elderworks_protocol::{DecodeError, MAX_FRAME_BYTES, RecordBatch};
use elderworks_protocol::{decode, encode, frame, split_frame};
use elderworks_types::{PartitionId, RunId, TenantId};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

fn runner() -> TestRunner {
    let config = Config {
        cases: 2_000,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha))
}

fn samples() -> Vec<ToNode> {
    let tenant = TenantId::new("tenant");
    let run = RunId::root(9);
    vec![
        ToNode::Hello(Hello::Sidecar { sidecar: 5 }),
        ToNode::Sidecar(SidecarMessage::Locate {
            partition: PartitionId(3),
        }),
        ToNode::Sidecar(SidecarMessage::EndRun {
            tenant: tenant.clone(),
            run,
        }),
        ToNode::Sidecar(SidecarMessage::ReadRun {
            query: 1,
            tenant,
            run,
        }),
    ]
}

#[test]
fn decoders_do_not_panic_on_arbitrary_bytes() {
    runner()
        .run(&prop::collection::vec(any::<u8>(), 0..400), |mut bytes| {
            for version in [None, Some(1)] {
                if let (Some(version), Some(first)) = (version, bytes.first_mut()) {
                    *first = version;
                }
                let _ = decode::<ToNode>(&bytes);
                let _ = decode::<FromNode>(&bytes);
                let _ = decode::<NodeMessage>(&bytes);
                let _ = decode::<Datagram>(&bytes);
                let _ = decode::<Delivered>(&bytes);
                let _ = decode::<RecordBatch<JournalBody>>(&bytes);
                let _ = split_frame::<ToNode>(&mut BytesMut::from(bytes.as_slice()));
            }
            Ok(())
        })
        .expect("no decoder panics");
}

#[test]
fn frames_are_reassembled_from_any_split() {
    let messages = samples();
    let stream: Vec<u8> = messages
        .iter()
        .flat_map(|message| frame(message).to_vec())
        .collect();
    for cut in 0..=stream.len() {
        let mut buffer = BytesMut::new();
        let mut received = Vec::new();
        for part in [&stream[..cut], &stream[cut..]] {
            buffer.extend_from_slice(part);
            while let Some(message) = split_frame::<ToNode>(&mut buffer).expect("well formed") {
                received.push(message);
            }
        }
        assert_eq!(received, messages, "cut at {cut}");
    }
}

#[test]
fn malformed_messages_return_a_specific_error() {
    let encoded = encode(&samples()[3]);
    let mut longer = encoded.clone();
    longer.push(0);
    let mut newer = encoded.clone();
    newer[0] = 2;
    let cases: [(&[u8], DecodeError); 4] = [
        (&[], DecodeError::Empty),
        (&newer, DecodeError::UnknownVersion(2)),
        (&encoded[..encoded.len() - 1], DecodeError::Malformed),
        (&longer, DecodeError::Malformed),
    ];
    for (bytes, expected) in cases {
        assert_eq!(decode::<ToNode>(bytes), Err(expected));
    }
}

#[test]
fn an_oversized_frame_is_rejected_by_its_length_prefix() {
    let announced = u32::try_from(MAX_FRAME_BYTES + 1)
        .expect("fits")
        .to_le_bytes();
    let mut buffer = BytesMut::from(announced.as_slice());
    let result = split_frame::<ToNode>(&mut buffer);
    assert_eq!(result, Err(DecodeError::TooLarge(MAX_FRAME_BYTES + 1)));
}
