//! Run ids round-trip through their encodings and are distributed evenly over partitions; block hashes
//! of prompts match up to their common prefix.

use elderworks_types::text::{
    BYTES_PER_TOKEN, TOKENS_PER_BLOCK, block_hashes, render_prompt, token_count,
};
use elderworks_types::{Message, Role, RunId, Tokens};

#[test]
fn run_ids_round_trip() {
    let ids = [
        RunId::root(0),
        RunId::root(u64::MAX),
        RunId::root(7).child(1),
        RunId {
            root: u64::MAX,
            child: u64::MAX,
        },
    ];
    for id in ids {
        assert_eq!(id.to_string().parse(), Ok(id));
        let json = serde_json::to_string(&id).expect("encodes");
        assert_eq!(json, format!("\"{id}\""));
        assert_eq!(serde_json::from_str::<RunId>(&json).expect("decodes"), id);
        let binary = postcard::to_allocvec(&id).expect("encodes");
        assert_eq!(postcard::from_bytes::<RunId>(&binary).expect("decodes"), id);
    }
}

#[test]
fn invalid_run_ids_are_rejected() {
    let texts = [
        "",
        "run-",
        "run-123",
        "run-00000000000000zz",
        "run-+000000000000001",
        "run-0000000000000001-2",
        "run-0000000000000001-0000000000000002-0000000000000003",
        "RUN-0000000000000001",
    ];
    for text in texts {
        assert!(text.parse::<RunId>().is_err(), "{text:?} was accepted");
    }
}

#[test]
fn a_tree_of_runs_shares_one_partition() {
    for root in 0..200 {
        let parent = RunId::root(root);
        assert_eq!(parent.partition(64), parent.child(root + 1).partition(64));
    }
}

#[test]
fn runs_are_distributed_evenly_over_partitions() {
    let mut runs_by_partition = [0_u32; 16];
    for root in 0..16_000 {
        runs_by_partition[RunId::root(root).partition(16).0 as usize] += 1;
    }
    assert!(
        runs_by_partition
            .iter()
            .all(|runs| (800..1_200).contains(runs))
    );
}

#[test]
fn prompts_share_as_many_hashes_as_common_blocks() {
    let common = Message::new(Role::System, "x".repeat(4_000));
    let first = render_prompt(&[common.clone(), Message::new(Role::User, "first")]);
    let second = render_prompt(&[common, Message::new(Role::User, "other")]);
    let same_bytes = first
        .bytes()
        .zip(second.bytes())
        .take_while(|(a, b)| a == b)
        .count();
    let (first, second) = (block_hashes(&first), block_hashes(&second));
    let same_blocks = first
        .iter()
        .zip(&second)
        .take_while(|(a, b)| a == b)
        .count();
    assert_eq!(
        same_blocks,
        same_bytes / (TOKENS_PER_BLOCK * BYTES_PER_TOKEN)
    );
    assert_eq!(token_count("12345"), Tokens(2));
}
