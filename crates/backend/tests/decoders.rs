//! Tests of the decoders with valid, truncated, altered and arbitrary responses.

use std::fmt::Debug;
use std::time::Duration;

use actix_rt::time::Instant;
use bytes::Bytes;
use elderworks_backend::engine::decode_answer;
use elderworks_backend::{AnswerItem, BackendError, Finish, LostReason, decode};
use elderworks_platform_api::engine::{
    CacheEventsResponse, ChatChunk, ChatCompletion, ChatUsage, ChunkChoice, CommandResponse, Delta,
    EngineLoad, EngineState, FinishReason, HoldingsResponse, ImportResponse, KvExport,
    ReleaseResponse,
};
use elderworks_platform_api::log::{AppendResponse, ReadResponse};
use elderworks_platform_api::machines::MachineList;
use elderworks_platform_api::tool::{InvocationResponse, InvocationStatus};
use elderworks_platform_api::weights::WeightsResponse;
use elderworks_platform_api::{ErrorBody, ErrorCode, paths};
use elderworks_types::{ModelName, Tokens, Usage};
use futures_util::{StreamExt, stream};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use serde::de::DeserializeOwned;

const TEST_TIMEOUT: Duration = Duration::from_secs(20);
const FIRST_CHUNK: u32 = 3;
const TEXTS: [&str; 3] = ["Monday: ", "porridge, ", "крупа"];
const USAGE: Usage = Usage {
    prompt: Tokens(10),
    cached: Tokens(4),
    output: Tokens(6),
};

fn runner() -> TestRunner {
    let config = Config {
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha))
}

fn event(index: u32, delta: Delta, finish_reason: Option<FinishReason>) -> String {
    let usage = finish_reason.map(|_| ChatUsage::from(USAGE));
    let chunk = ChatChunk {
        id: "request".to_owned(),
        object: ChatChunk::OBJECT.to_owned(),
        created: 0,
        model: ModelName::new("menu"),
        choices: vec![ChunkChoice {
            index: 0,
            delta,
            finish_reason,
        }],
        usage,
    };
    let data = serde_json::to_string(&chunk).expect("a chunk encodes");
    format!("id: {index}\ndata: {data}\n\n")
}

fn text_event(index: u32, text: &str) -> String {
    let delta = Delta {
        role: None,
        content: Some(text.to_owned()),
    };
    event(index, delta, None)
}

fn text_events() -> String {
    (FIRST_CHUNK..)
        .zip(TEXTS)
        .map(|(index, text)| text_event(index, text))
        .collect()
}

fn end_event() -> String {
    let index = FIRST_CHUNK + TEXTS.len() as u32;
    event(index, Delta::default(), Some(FinishReason::Stop))
}

fn complete_stream() -> String {
    text_events() + &end_event() + "data: [DONE]\n\n"
}

/// Decodes a stream that arrives in pieces of at most `piece` bytes.
fn decode(bytes: &[u8], piece: usize) -> Vec<Result<AnswerItem, BackendError>> {
    let pieces: Vec<_> = bytes
        .chunks(piece.max(1))
        .map(|piece| Ok(Bytes::copy_from_slice(piece)))
        .collect();
    let deadline = Instant::now() + TEST_TIMEOUT;
    let items = decode_answer(stream::iter(pieces), FIRST_CHUNK, deadline);
    actix_rt::System::new().block_on(items.collect())
}

/// Checks that chunk numbers are consecutive and that only the last item ends the stream. Returns
/// the text, and whether the answer is complete.
fn check(items: &[Result<AnswerItem, BackendError>]) -> (String, bool) {
    let mut text = String::new();
    let (last, chunks) = items.split_last().expect("a stream has a last item");
    for (item, expected) in chunks.iter().zip(FIRST_CHUNK..) {
        let Ok(AnswerItem::Chunk { index, text: piece }) = item else {
            panic!("{item:?} before the end");
        };
        assert_eq!(*index, expected);
        text.push_str(piece);
    }
    (text, matches!(last, Ok(AnswerItem::Finished(_))))
}

#[test]
fn a_complete_stream_decodes_in_pieces_of_any_size() {
    for piece in [1, 2, 7, 64, 10_000] {
        let items = decode(complete_stream().as_bytes(), piece);
        assert_eq!(check(&items), (TEXTS.concat(), true));
        let finish = Finish {
            reason: FinishReason::Stop,
            usage: USAGE,
        };
        assert_eq!(items.last(), Some(&Ok(AnswerItem::Finished(finish))));
    }
}

#[test]
fn a_truncated_stream_is_never_accepted_as_complete() {
    let stream = complete_stream();
    let end = text_events().len() + end_event().len();
    for cut in 0..stream.len() {
        let items = decode(&stream.as_bytes()[..cut], 64);
        let (text, is_complete) = check(&items);
        assert!(TEXTS.concat().starts_with(&text));
        assert_eq!(is_complete, cut >= end, "cut at {cut}");
    }
}

#[test]
fn malformed_streams_are_lost_as_malformed() {
    let table = [
        ("a missing chunk", text_event(FIRST_CHUNK + 1, "x")),
        ("a repeated chunk", text_event(FIRST_CHUNK - 1, "x")),
        ("no number", "data: {}\n\n".to_owned()),
        ("no JSON", format!("id: {FIRST_CHUNK}\ndata: {{\n\n")),
        ("done without an end", "data: [DONE]\n\n".to_owned()),
        ("an endless event", format!("data: {}", "x".repeat(2 << 20))),
    ];
    for (name, stream) in table {
        let items = decode(stream.as_bytes(), 10_000);
        let [Err(BackendError::Lost { reason, .. })] = items.as_slice() else {
            panic!("{name}: {items:?}");
        };
        assert_eq!(*reason, LostReason::Malformed, "{name}");
    }
}

#[test]
fn arbitrary_bytes_never_panic_the_stream_decoder() {
    let bytes = prop::collection::vec(any::<u8>(), 0..512);
    runner()
        .run(&(bytes, 1usize..64), |(bytes, piece)| {
            let (_, is_complete) = check(&decode(&bytes, piece));
            prop_assert!(!is_complete);
            Ok(())
        })
        .unwrap();
}

#[test]
fn altered_streams_never_panic_the_stream_decoder() {
    let alterations = prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 1..8);
    runner()
        .run(&alterations, |alterations| {
            let mut bytes = complete_stream().into_bytes();
            for (index, byte) in alterations {
                let index = index.index(bytes.len());
                bytes[index] = byte;
            }
            check(&decode(&bytes, 64));
            Ok(())
        })
        .unwrap();
}

fn decode_ignoring_errors<T: DeserializeOwned + Debug>(bytes: &[u8]) {
    let _ = decode::json_body::<T>(bytes);
}

/// Decodes `bytes` as each type of response body.
fn decode_every_body(bytes: &[u8]) {
    decode_ignoring_errors::<AppendResponse>(bytes);
    decode_ignoring_errors::<ReadResponse>(bytes);
    decode_ignoring_errors::<ChatChunk>(bytes);
    decode_ignoring_errors::<ChatCompletion>(bytes);
    decode_ignoring_errors::<EngineLoad>(bytes);
    decode_ignoring_errors::<EngineState>(bytes);
    decode_ignoring_errors::<CacheEventsResponse>(bytes);
    decode_ignoring_errors::<HoldingsResponse>(bytes);
    decode_ignoring_errors::<ReleaseResponse>(bytes);
    decode_ignoring_errors::<KvExport>(bytes);
    decode_ignoring_errors::<ImportResponse>(bytes);
    decode_ignoring_errors::<CommandResponse>(bytes);
    decode_ignoring_errors::<InvocationResponse>(bytes);
    decode_ignoring_errors::<InvocationStatus>(bytes);
    decode_ignoring_errors::<MachineList>(bytes);
    decode_ignoring_errors::<WeightsResponse>(bytes);
    decode_ignoring_errors::<ErrorBody>(bytes);
    decode::error_body(500, None, bytes);
    decode::retry_after(bytes);
}

#[test]
fn arbitrary_bytes_never_panic_a_body_decoder() {
    let bytes = prop::collection::vec(any::<u8>(), 0..256);
    runner()
        .run(&bytes, |bytes| {
            decode_every_body(&bytes);
            Ok(())
        })
        .unwrap();
}

#[test]
fn json_of_any_shape_never_panics_a_body_decoder() {
    let names = "offset|records|data|end|status|result|runs|run|blocks|nodes|events|error|code";
    let leaf = prop_oneof![
        Just("null".to_owned()),
        any::<i64>().prop_map(|number| number.to_string()),
        any::<f64>().prop_map(|number| format!("{number:e}")),
        "[a-z=]{0,8}".prop_map(|text| format!("{text:?}")),
    ];
    let json = leaf.prop_recursive(3, 24, 4, move |inner| {
        let member = (names, inner.clone()).prop_map(|(name, value)| format!("{name:?}:{value}"));
        prop_oneof![
            prop::collection::vec(inner, 0..4).prop_map(|items| format!("[{}]", items.join(","))),
            prop::collection::vec(member, 0..4)
                .prop_map(|items| format!("{{{}}}", items.join(","))),
        ]
    });
    runner()
        .run(&json, |json| {
            decode_every_body(json.as_bytes());
            Ok(())
        })
        .unwrap();
}

#[test]
fn only_an_explicit_statement_counts_as_not_run() {
    let table = [
        (
            r#"{"error":{"code":"queue_full","message":"m"},"run":false}"#,
            true,
        ),
        (
            r#"{"error":{"code":"from_the_future","message":"m"},"run":false}"#,
            true,
        ),
        (
            r#"{"error":{"code":"queue_full","message":"m"},"run":true}"#,
            false,
        ),
        (
            r#"{"error":{"code":"queue_full","message":"m"},"run":null}"#,
            false,
        ),
        (r#"{"error":{"code":"queue_full","message":"m"}}"#, false),
        (r#"{"run":false}"#, false),
        ("<html>Bad gateway</html>", false),
        ("", false),
    ];
    for (body, not_run) in table {
        let error = decode::error_body(503, None, body.as_bytes());
        assert_eq!(error.is_known_not_run(), not_run, "{body}");
    }
    let unknown = decode::error_body(503, None, table[1].0.as_bytes());
    assert!(matches!(
        unknown,
        BackendError::Rejected {
            code: ErrorCode::Other,
            ..
        }
    ));
}

#[test]
fn retry_after_is_read_in_seconds_and_bounded() {
    let table: [(&[u8], Option<u64>); 6] = [
        (b"7", Some(7)),
        (b" 7 ", Some(7)),
        (b"99999999", Some(3_600)),
        (b"-1", None),
        (b"Wed, 21 Oct 2015 07:28:00 GMT", None),
        (b"\xff", None),
    ];
    for (value, seconds) in table {
        assert_eq!(decode::retry_after(value), seconds.map(Duration::from_secs));
    }
}

#[test]
fn stream_names_round_trip_through_paths() {
    runner()
        .run(&any::<String>(), |name| {
            let path = paths::records(&name);
            let segments = paths::segments(&path).expect("UTF-8");
            prop_assert_eq!(segments, ["v1", "streams", name.as_str(), "records"]);
            Ok(())
        })
        .unwrap();
}
