//! Tests of the log model: consecutive offsets, limited reads and faults.

use elderworks_platform_model::{AppendOutcome, LogFaults, LogModel, ReadOutcome};
use elderworks_types::Offset;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const SEED: u64 = 7;

fn runner() -> TestRunner {
    let config = Config {
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha))
}

#[test]
fn paged_reads_return_every_record_once_in_order() {
    let records = prop::collection::vec(prop::collection::vec(any::<u8>(), 0..64), 0..40);
    runner()
        .run(&(records, 0usize..200), |(records, max_bytes)| {
            let mut log = LogModel::default();
            for (index, data) in records.iter().enumerate() {
                let offset = log.append("stream", data.clone());
                prop_assert_eq!(offset, Offset(index as u64));
            }
            let mut from = Offset(0);
            let mut seen = Vec::new();
            loop {
                let page = log.read("stream", from, max_bytes);
                prop_assert_eq!(page.end, Offset(records.len() as u64));
                if page.records.is_empty() {
                    break;
                }
                for record in page.records {
                    prop_assert_eq!(record.offset, from);
                    from = from.next();
                    seen.push(record.data);
                }
            }
            prop_assert_eq!(seen, records);
            Ok(())
        })
        .unwrap();
}

#[test]
fn streams_do_not_mix_and_reads_past_the_end_are_empty() {
    let mut log = LogModel::default();
    log.append("a", b"1".to_vec());
    log.append("b", b"2".to_vec());
    assert_eq!(log.read("a", Offset(0), 100).records[0].data, b"1");
    assert_eq!(log.end("b"), Offset(1));
    let past = log.read("a", Offset(9), 100);
    assert!(past.records.is_empty());
    assert_eq!(past.end, Offset(1));
    assert!(log.read("never", Offset(u64::MAX), 100).records.is_empty());
}

struct FaultCase {
    name: &'static str,
    faults: LogFaults,
    expected: AppendOutcome,
    end_after: u64,
    readable: bool,
}

#[test]
fn appends_and_reads_follow_the_active_fault() {
    let table = [
        FaultCase {
            name: "none",
            faults: LogFaults::default(),
            expected: AppendOutcome::Appended(Offset(0)),
            end_after: 1,
            readable: true,
        },
        FaultCase {
            name: "down",
            faults: LogFaults {
                down: true,
                ..LogFaults::default()
            },
            expected: AppendOutcome::Down,
            end_after: 0,
            readable: false,
        },
        FaultCase {
            name: "next answer lost",
            faults: LogFaults {
                lose_next_answers: 1,
                ..LogFaults::default()
            },
            expected: AppendOutcome::AnswerLost(Offset(0)),
            end_after: 1,
            readable: true,
        },
        FaultCase {
            name: "every answer lost",
            faults: LogFaults {
                lose_answers_per_mille: 1_000,
                ..LogFaults::default()
            },
            expected: AppendOutcome::AnswerLost(Offset(0)),
            end_after: 1,
            readable: true,
        },
    ];
    for row in table {
        let mut rng = ChaCha8Rng::seed_from_u64(SEED);
        let mut log = LogModel::default();
        log.faults = row.faults;
        let outcome = log.request_append("stream", b"x".to_vec(), &mut rng);
        assert_eq!(outcome, row.expected, "{}", row.name);
        assert_eq!(log.end("stream"), Offset(row.end_after), "{}", row.name);
        let read = log.request_read("stream", Offset(0), 10);
        let readable = matches!(read, ReadOutcome::Records(_));
        assert_eq!(readable, row.readable, "{}", row.name);
    }
}

#[test]
fn only_the_next_answers_are_lost() {
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    let mut log = LogModel::default();
    log.faults.lose_next_answers = 2;
    let outcomes: Vec<AppendOutcome> = (0..3)
        .map(|_| log.request_append("stream", Vec::new(), &mut rng))
        .collect();
    let expected = [
        AppendOutcome::AnswerLost(Offset(0)),
        AppendOutcome::AnswerLost(Offset(1)),
        AppendOutcome::Appended(Offset(2)),
    ];
    assert_eq!(outcomes, expected);
}

#[test]
fn appends_beyond_the_capacity_are_refused() {
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    let mut log = LogModel::with_capacity(4);
    let first = log.request_append("stream", vec![0; 3], &mut rng);
    assert_eq!(first, AppendOutcome::Appended(Offset(0)));
    let second = log.request_append("stream", vec![0; 2], &mut rng);
    assert_eq!(second, AppendOutcome::Full);
    assert_eq!(log.used_bytes(), 3);
}
