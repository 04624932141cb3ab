//! Property tests of chunk assembly: for any order of chunks, the delivered text is a prefix of the
//! answer and can be completed to the full answer.

use elderworks_protocol::sidecar::Chunk;
use elderworks_sidecar_core::delivery::{Delivery, Remainder};
use elderworks_types::Attempt;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

use crate::bench::call_id;

const ANSWER: &str = "abcdefghijklmnopqrstuvwxyz";
/// Number of generated cases per test.
const CASES: u32 = 2_000;

/// Chunks of attempts that produce the same answer with different chunk lengths.
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

/// Returns whether the chunk belongs to the current or an earlier attempt, or starts a new one.
///
/// Attempts that continue the delivered text depend on it and are covered by the table in
/// `calls.rs`.
fn is_restart_or_next(delivery: &Delivery, chunk: &Chunk) -> bool {
    let progress = delivery.progress();
    progress
        .attempt
        .is_none_or(|attempt| attempt >= chunk.attempt)
        || chunk.index == 0
}

#[test]
fn chunks_form_the_full_answer() {
    let outcome = runner().run(&chunks(), |chunks| {
        let mut delivery = Delivery::default();
        let mut delivered = String::new();
        for chunk in chunks {
            if !is_restart_or_next(&delivery, &chunk) {
                continue;
            }
            if let Some(text) = delivery.accept(&chunk) {
                delivered.push_str(&text);
            }
            prop_assert!(ANSWER.starts_with(&delivered));
            prop_assert_eq!(delivery.text(), delivered.as_str());
            prop_assert!(ANSWER.starts_with(&delivery.progress().text));
        }
        let Remainder::Tail(tail) = delivery.remainder(ANSWER) else {
            return Err(TestCaseError::fail(
                "the delivered prefix was not recognised",
            ));
        };
        prop_assert_eq!(delivered + &tail, ANSWER);
        Ok(())
    });
    outcome.expect("the chunks form the answer");
}

#[test]
fn different_answers_are_never_mixed() {
    let outcome = runner().run(&chunks(), |chunks| {
        let mut delivery = Delivery::default();
        for mut chunk in chunks {
            // The second attempt produces a different answer.
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
    outcome.expect("answers are not mixed");
}
