//! Whatever order chunks come in, the passed-on text is a beginning of the answer, and the pieces
//! join to the whole.

use elderworks_protocol::sidecar::Chunk;
use elderworks_sidecar_core::delivery::{Delivery, Remainder};
use elderworks_types::Attempt;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

use crate::bench::call_id;

const ANSWER: &str = "abcdefghijklmnopqrstuvwxyz";
const CASES: u32 = 2_000;

/// One chunk of an attempt that says the same answer in pieces of its own length.
fn chunks() -> impl Strategy<Value = Vec<Chunk>> {
    let chunk = (1u32..4, 0u32..9).prop_map(|(attempt, index)| {
        let length = attempt as usize + 2;
        let start = (index as usize * length).min(ANSWER.len());
        let end = (start + length).min(ANSWER.len());
        Chunk {
            call: call_id(),
            attempt: Attempt(attempt),
            index,
            text: ANSWER[start..end].to_owned(),
        }
    });
    prop::collection::vec(chunk, 0..40)
}

fn runner() -> TestRunner {
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    TestRunner::new_with_rng(config, rng)
}

/// Only attempts that restart are drawn, since an attempt that continues depends on what was
/// delivered before it; those are in the table of `calls.rs`.
fn is_restart_or_next(delivery: &Delivery, chunk: &Chunk) -> bool {
    let progress = delivery.progress();
    progress
        .attempt
        .is_none_or(|attempt| attempt >= chunk.attempt)
        || chunk.index == 0
}

#[test]
fn pieces_join_to_the_whole() {
    let outcome = runner().run(&chunks(), |chunks| {
        let mut delivery = Delivery::default();
        let mut passed_on = String::new();
        for chunk in chunks {
            if !is_restart_or_next(&delivery, &chunk) {
                continue;
            }
            if let Some(text) = delivery.accept(&chunk) {
                passed_on.push_str(&text);
            }
            prop_assert!(ANSWER.starts_with(&passed_on));
            prop_assert_eq!(delivery.text(), passed_on.as_str());
            prop_assert!(ANSWER.starts_with(&delivery.progress().text));
        }
        let Remainder::Tail(tail) = delivery.remainder(ANSWER) else {
            return Err(TestCaseError::fail("the beginning was not recognised"));
        };
        prop_assert_eq!(passed_on + &tail, ANSWER);
        Ok(())
    });
    outcome.expect("pieces join");
}

#[test]
fn another_answer_is_never_joined() {
    let outcome = runner().run(&chunks(), |chunks| {
        let mut delivery = Delivery::default();
        for mut chunk in chunks {
            // The second attempt says something else.
            if chunk.attempt == Attempt(2) {
                chunk.text = chunk.text.to_uppercase();
            }
            if !is_restart_or_next(&delivery, &chunk) {
                continue;
            }
            delivery.accept(&chunk);
            let text = delivery.text();
            let is_one = ANSWER.starts_with(text) || ANSWER.to_uppercase().starts_with(text);
            prop_assert!(is_one, "{} mixes two answers", text);
        }
        Ok(())
    });
    outcome.expect("answers stay apart");
}
