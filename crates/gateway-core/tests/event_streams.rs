//! Tests that event streams are split correctly regardless of how their bytes are chunked.

use elderworks_gateway_core::events::{EventSplitter, StreamEvent};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn split_all(chunks: &[&[u8]]) -> (Vec<StreamEvent>, usize) {
    let mut splitter = EventSplitter::default();
    let mut events = Vec::new();
    for chunk in chunks {
        splitter.push(chunk);
        while let Some(event) = splitter.next_event() {
            events.push(event);
        }
    }
    (events, splitter.pending_bytes())
}

#[test]
fn event_fields_are_parsed() {
    let text = b"id: 7\nevent: x\ndata: one\ndata:two\n: comment\n\n";
    let (events, pending) = split_all(&[text]);
    assert_eq!(events.len(), 1);
    assert_eq!(events[0].raw.as_ref(), text);
    assert_eq!(events[0].id.as_deref(), Some("7"));
    assert_eq!(events[0].data.as_ref(), b"one\ntwo");
    assert_eq!(pending, 0);
}

#[test]
fn carriage_returns_are_accepted() {
    let (events, pending) = split_all(&[b"id: 1\r\ndata: a\r\n\r\nid: 2\r\n"]);
    assert_eq!(events.len(), 1);
    assert_eq!(events[0].id.as_deref(), Some("1"));
    assert_eq!(events[0].data.as_ref(), b"a");
    assert_eq!(pending, 7);
}

#[test]
fn incomplete_events_are_never_returned() {
    let (events, pending) = split_all(&[b"id: 1\ndata: a\n\n", b"id: 2\ndata: b\n"]);
    assert_eq!(events.len(), 1);
    assert!(pending > 0);
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(0xe7e7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn chunk_boundaries_do_not_matter(
        expected in prop::collection::vec("[a-z]{0,12}", 1..8),
        cuts in prop::collection::vec(1usize..9, 1..40),
    ) {
        let mut text = Vec::new();
        for (number, data) in expected.iter().enumerate() {
            text.extend_from_slice(format!("id: {number}\ndata: {data}\n\n").as_bytes());
        }
        let mut chunks: Vec<&[u8]> = Vec::new();
        let mut rest = text.as_slice();
        for cut in cuts {
            let (chunk, after) = rest.split_at(cut.min(rest.len()));
            chunks.push(chunk);
            rest = after;
        }
        chunks.push(rest);
        let (events, pending) = split_all(&chunks);
        prop_assert_eq!(pending, 0);
        let joined: Vec<u8> = events.iter().flat_map(|event| event.raw.to_vec()).collect();
        prop_assert_eq!(joined, text);
        let actual: Vec<String> = events
            .iter()
            .map(|event| String::from_utf8(event.data.to_vec()).unwrap())
            .collect();
        prop_assert_eq!(actual, expected);
    }
}
