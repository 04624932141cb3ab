//! Tests of the engine model: answers, cache, memory, queue, published state and commands.

use std::sync::Arc;
use std::time::Duration;

use elderworks_engine_model::{
    CacheChange, CommandError, Completion, Engine, EngineParameters, EngineRole, FeedParameters,
    FencedAction, FencedCommand, Output, Rejected, Request, RequestId, WeightStore, Work,
};
use elderworks_types::text::BlockHash;
use elderworks_types::{Message, ModelName, Role, RunId, Timestamp, Tokens};

const MODEL: &str = "planner";
const SEED: u64 = 7;

fn engine(parameters: EngineParameters) -> Engine {
    Engine::new(parameters, [ModelName::new(MODEL)], SEED)
}

fn text_request(id: &str, prompt: &str, continue_text: &str, first_chunk: u32) -> Request {
    let messages = [Message::new(Role::User, prompt)];
    Request {
        id: RequestId::new(id),
        run: RunId::root(1),
        model: ModelName::new(MODEL),
        work: Work::from_messages(&messages, continue_text),
        max_output: Tokens(1_000),
        priority: 0,
        first_chunk,
    }
}

fn synthetic_request(id: &str, run: u64, prompt: u64, output: u64, priority: i64) -> Request {
    let blocks = (prompt + output) / 16;
    let chain: Arc<[BlockHash]> = (0..blocks).map(|index| run << 32 | index).collect();
    Request {
        id: RequestId::new(id),
        run: RunId::root(run),
        model: ModelName::new(MODEL),
        work: Work::Synthetic {
            prompt: Tokens(prompt),
            output: Tokens(output),
            chain,
        },
        max_output: Tokens(output),
        priority,
        first_chunk: 0,
    }
}

fn run_until_idle(engine: &mut Engine) -> (Timestamp, Vec<Output>) {
    let mut now = Timestamp(0);
    let mut outputs = Vec::new();
    while let Some(next) = engine.next_event_at() {
        now = now.max(next);
        outputs.extend(engine.advance(now));
    }
    (now, outputs)
}

fn answer(outputs: &[Output]) -> String {
    let chunks = outputs.iter().filter_map(|output| match output {
        Output::Chunk { chunk, .. } => Some(chunk.text.as_str()),
        _ => None,
    });
    chunks.collect()
}

fn completions(outputs: &[Output]) -> Vec<&Completion> {
    let completed = outputs.iter().filter_map(|output| match output {
        Output::Completed(completion) => Some(completion),
        _ => None,
    });
    completed.collect()
}

#[test]
fn equal_inputs_give_equal_outputs() {
    let trace = || {
        let mut engine = engine(EngineParameters::default());
        for index in 0..40 {
            let request = text_request(&format!("r{index}"), &format!("prompt {index}"), "", 0);
            engine.submit(Timestamp(0), request).unwrap();
        }
        run_until_idle(&mut engine)
    };
    assert_eq!(trace(), trace());
}

#[test]
fn continuations_complete_the_same_answer() {
    let full_answer = {
        let mut engine = engine(EngineParameters::default());
        engine
            .submit(Timestamp(0), text_request("a", "draft the boundary", "", 0))
            .unwrap();
        answer(&run_until_idle(&mut engine).1)
    };
    for kept in [0, 32, 64, full_answer.len()] {
        let mut engine = engine(EngineParameters::default());
        let request = text_request("b", "draft the boundary", &full_answer[..kept], 3);
        engine.submit(Timestamp(0), request).unwrap();
        let rest = answer(&run_until_idle(&mut engine).1);
        assert_eq!(format!("{}{rest}", &full_answer[..kept]), full_answer);
    }
}

#[test]
fn history_is_cached_until_its_run_is_released() {
    let mut engine = engine(EngineParameters::default());
    let first = synthetic_request("a", 1, 1_600, 160, 0);
    let next = synthetic_request("b", 1, 1_760, 16, 0);
    let last = synthetic_request("c", 1, 1_760, 16, 0);
    engine.submit(Timestamp(0), first).unwrap();
    run_until_idle(&mut engine);
    engine.submit(Timestamp(0), next).unwrap();
    let (now, outputs) = run_until_idle(&mut engine);
    // The key and value of the last generated token are not computed.
    assert_eq!(completions(&outputs)[0].usage.cached, Tokens(1_744));
    assert!(engine.release(now, RunId::root(1)) > 0);
    assert!(engine.holdings().is_empty());
    engine.submit(now, last).unwrap();
    let (_, outputs) = run_until_idle(&mut engine);
    assert_eq!(completions(&outputs)[0].usage.cached, Tokens(0));
}

#[test]
fn completed_requests_resume_from_any_chunk() {
    let mut engine = engine(EngineParameters::default());
    engine
        .submit(Timestamp(0), text_request("a", "weekly menu", "", 0))
        .unwrap();
    let (_, outputs) = run_until_idle(&mut engine);
    let chunks = completions(&outputs)[0].chunks;
    let resumed = engine.resume(&RequestId::new("a"), 2).unwrap();
    assert_eq!(resumed.chunks.len() as u32, chunks - 2);
    assert!(resumed.completion.is_some());
    assert!(engine.resume(&RequestId::new("unknown"), 0).is_none());
}

#[test]
fn rejections_have_the_right_reason() {
    let parameters = EngineParameters {
        max_batch: 1,
        max_waiting: 1,
        ..EngineParameters::default()
    };
    let mut engine = engine(parameters);
    let submit = |engine: &mut Engine, request| engine.submit(Timestamp(0), request);
    assert_eq!(
        submit(&mut engine, synthetic_request("a", 1, 64, 64, 0)),
        Ok(())
    );
    assert_eq!(
        submit(&mut engine, synthetic_request("b", 2, 64, 64, 0)),
        Ok(())
    );
    let full = submit(&mut engine, synthetic_request("c", 3, 64, 64, 0));
    assert_eq!(full, Err(Rejected::QueueFull));
    let duplicate = submit(&mut engine, synthetic_request("a", 1, 64, 64, 0));
    assert_eq!(duplicate, Err(Rejected::Duplicate));
    let mut other = synthetic_request("d", 4, 64, 64, 0);
    other.model = ModelName::new("absent");
    assert_eq!(submit(&mut engine, other), Err(Rejected::ModelNotLoaded));
}

#[test]
fn preempted_requests_still_complete() {
    let parameters = EngineParameters {
        max_batch: 1,
        ..EngineParameters::default()
    };
    let mut engine = engine(parameters);
    engine
        .submit(Timestamp(0), synthetic_request("slow", 1, 640, 400, 5))
        .unwrap();
    engine.advance(Timestamp(200_000));
    engine
        .submit(Timestamp(200_000), synthetic_request("fast", 2, 64, 8, 0))
        .unwrap();
    let (_, outputs) = run_until_idle(&mut engine);
    let order: Vec<String> = completions(&outputs)
        .iter()
        .map(|completion| completion.id.to_string())
        .collect();
    assert_eq!(order, ["fast", "slow"]);
    assert_eq!(engine.preemptions(), 1);
}

#[test]
fn memory_shortage_never_loses_a_request() {
    let parameters = EngineParameters {
        cache_blocks: 120,
        ..EngineParameters::default()
    };
    let mut engine = engine(parameters);
    for index in 0..20 {
        let request = synthetic_request(&format!("r{index}"), index + 1, 480, 320, 0);
        engine.submit(Timestamp(0), request).unwrap();
    }
    let (_, outputs) = run_until_idle(&mut engine);
    assert_eq!(completions(&outputs).len(), 20);
}

#[test]
fn cancelled_requests_do_not_complete() {
    let mut engine = engine(EngineParameters::default());
    engine
        .submit(Timestamp(0), synthetic_request("a", 1, 640, 64, 0))
        .unwrap();
    assert!(engine.cancel(Timestamp(1), &RequestId::new("a")));
    assert!(!engine.cancel(Timestamp(1), &RequestId::new("a")));
    let (_, outputs) = run_until_idle(&mut engine);
    assert!(completions(&outputs).is_empty());
}

#[test]
fn events_and_reports_appear_after_their_lag() {
    let lag = Duration::from_secs(2);
    let parameters = EngineParameters {
        feed: FeedParameters {
            load_lag: lag,
            cache_lag: lag,
            cache_loss_ratio: 0.0,
            ..FeedParameters::default()
        },
        ..EngineParameters::default()
    };
    let mut engine = engine(parameters);
    engine
        .submit(Timestamp(0), synthetic_request("a", 1, 640, 64, 0))
        .unwrap();
    let (end, _) = run_until_idle(&mut engine);
    assert!(
        engine
            .cache_events(Timestamp(lag.as_micros() as u64), 0, 100)
            .is_empty()
    );
    let events = engine.cache_events(end + lag, 0, 1_000);
    let stored = events
        .iter()
        .map(|event| match &event.change {
            CacheChange::Stored(blocks) => blocks.len(),
            _ => 0,
        })
        .sum::<usize>();
    assert_eq!(stored, 703 / 16);
    assert_eq!(engine.load_report(end + lag).unwrap().running, 0);
}

#[test]
fn lost_events_leave_gaps_in_sequence_numbers() {
    let parameters = EngineParameters {
        feed: FeedParameters {
            cache_lag: Duration::ZERO,
            cache_loss_ratio: 0.5,
            ..FeedParameters::default()
        },
        ..EngineParameters::default()
    };
    let mut engine = engine(parameters);
    engine
        .submit(Timestamp(0), synthetic_request("a", 1, 640, 1_000, 0))
        .unwrap();
    let (end, _) = run_until_idle(&mut engine);
    let events = engine.cache_events(end, 0, 1_000);
    let last = events.last().unwrap().sequence;
    assert!((events.len() as u64) < last);
    assert!(events.is_sorted_by_key(|event| event.sequence));
}

#[test]
fn imported_blocks_are_not_prefilled() {
    let mut first = engine(EngineParameters::default());
    let mut second = engine(EngineParameters::default());
    let request = synthetic_request("a", 1, 640, 64, 0);
    let Work::Synthetic { chain, .. } = request.work.clone() else {
        panic!("not a synthetic request");
    };
    first.submit(Timestamp(0), request).unwrap();
    let (now, _) = run_until_idle(&mut first);
    let done = second.import(now, first.export(RunId::root(1), &chain));
    assert!(done > now);
    let imported = second.advance(done);
    assert!(imported.contains(&Output::Imported {
        run: RunId::root(1)
    }));
    second
        .submit(done, synthetic_request("b", 1, 688, 16, 0))
        .unwrap();
    let (_, outputs) = run_until_idle(&mut second);
    assert_eq!(completions(&outputs)[0].usage.cached, Tokens(687));
}

#[test]
fn older_fencing_tokens_are_refused() {
    let mut engine = engine(EngineParameters::default());
    let mut weights = WeightStore::new(1_000_000_000);
    let load = |token| FencedCommand {
        token,
        action: FencedAction::Load {
            model: ModelName::new("other"),
        },
    };
    assert_eq!(engine.command(Timestamp(0), load(5), &mut weights), Ok(()));
    let refused = engine.command(Timestamp(0), load(4), &mut weights);
    assert_eq!(refused, Err(CommandError::Fenced { highest: 5 }));
    assert_eq!(engine.models().len(), 1);
    let loaded_at = engine.next_event_at().unwrap();
    assert_eq!(loaded_at, Timestamp(16_000_000));
    assert_eq!(
        engine.advance(loaded_at),
        [Output::CommandDone { token: 5 }]
    );
    assert_eq!(engine.models().len(), 2);
    let drain = FencedCommand {
        token: 6,
        action: FencedAction::SetRole {
            role: EngineRole::Draining,
        },
    };
    engine.command(loaded_at, drain, &mut weights).unwrap();
    engine.advance(loaded_at);
    let refused = engine.submit(loaded_at, synthetic_request("a", 1, 64, 64, 0));
    assert_eq!(refused, Err(Rejected::NotServing));
}

#[test]
fn leased_blocks_outlast_unleased_ones() {
    let parameters = EngineParameters {
        cache_blocks: 120,
        ..EngineParameters::default()
    };
    for (leased, kept) in [(true, true), (false, false)] {
        let mut engine = engine(parameters.clone());
        engine
            .submit(Timestamp(0), synthetic_request("kept", 1, 800, 16, 0))
            .unwrap();
        let (now, _) = run_until_idle(&mut engine);
        if leased {
            engine.retain(now, RunId::root(1), Duration::from_secs(600));
        }
        for run in 2..6 {
            let request = synthetic_request(&format!("r{run}"), run, 800, 16, 0);
            engine.submit(now, request).unwrap();
            run_until_idle(&mut engine);
        }
        engine
            .submit(now, synthetic_request("again", 1, 816, 16, 0))
            .unwrap();
        let (_, outputs) = run_until_idle(&mut engine);
        let cached = completions(&outputs)[0].usage.cached;
        assert_eq!(
            cached == Tokens(800),
            kept,
            "leased: {leased}, cached: {cached}"
        );
    }
}
