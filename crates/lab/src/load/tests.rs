//! Plans are reproducible, and broken or cut-off answers are noticed.

use super::client::{AnswerStream, CallError};
use super::plan::LoadPlan;

#[test]
fn the_same_seed_gives_the_same_plan() {
    let text = |seed| format!("{:?}", LoadPlan::new(3.0, 50, seed));
    assert_eq!(text(7), text(7));
    assert_ne!(text(7), text(8));
}

#[test]
fn programs_arrive_in_order_at_about_the_rate() {
    let plan = LoadPlan::new(10.0, 2_000, 1);
    let starts: Vec<_> = plan.programs.iter().map(|program| program.start).collect();
    assert!(starts.is_sorted());
    let seconds = starts.last().expect("programs").as_secs_f64();
    assert!((180.0..220.0).contains(&seconds), "{seconds}");
}

const COMPLETED: &str = "event: completed\ndata: {\"content\":\"abcd\",\"usage\":\
    {\"prompt_tokens\":9,\"cached_tokens\":4}}\n\n";

fn chunk(text: &str) -> String {
    format!("event: chunk\ndata: {{\"text\":\"{text}\"}}\n\n")
}

#[test]
fn streams_are_read_and_compared_with_the_whole() {
    let restarted = "event: restarted\ndata: {}\n\n".to_owned();
    let cases = [
        (
            "whole",
            vec![chunk("ab"), chunk("cd"), COMPLETED.to_owned()],
            true,
        ),
        (
            "a piece missing",
            vec![chunk("ab"), COMPLETED.to_owned()],
            false,
        ),
        (
            "a piece twice",
            vec![chunk("ab"), chunk("ab"), chunk("cd"), COMPLETED.to_owned()],
            false,
        ),
        (
            "restarted",
            vec![chunk("x"), restarted, chunk("abcd"), COMPLETED.to_owned()],
            true,
        ),
    ];
    for (name, events, is_whole) in cases {
        let bytes = events.concat().into_bytes();
        for size in [1, 7, bytes.len()] {
            let mut stream = AnswerStream::default();
            for part in bytes.chunks(size) {
                stream.take(part).expect("no error event");
            }
            let answer = stream.finish().expect("completed");
            assert_eq!(answer.is_whole, is_whole, "{name} by {size} bytes");
            assert_eq!((answer.prompt_tokens, answer.cached_tokens), (9, 4));
        }
    }
}

#[test]
fn errors_and_cut_off_streams_are_told_by_code() {
    let mut stream = AnswerStream::default();
    let error = b"event: error\ndata: {\"error\":{\"code\":\"overloaded\"}}\n\n";
    assert_eq!(stream.take(error), Err(CallError("overloaded".to_owned())));
    let mut stream = AnswerStream::default();
    stream.take(chunk("ab").as_bytes()).expect("no error event");
    let error = stream.finish().expect_err("no end came");
    assert_eq!(error, CallError("cut_off".to_owned()));
}
