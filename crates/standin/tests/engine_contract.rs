//! Tests of the engine interface through `HttpEngineClient`.

mod common;

use std::time::Duration;

use awc::http::Method;
use common::{TEST_TIMEOUT, endpoint, eventually, free_port, put_faults};
use elderworks_backend::{
    AnswerItem, BackendError, EngineClient, Finish, GenerateRequest, HttpEngineClient, transfer,
};
use elderworks_engine_model::EngineParameters;
use elderworks_engine_model::answer::answer_text;
use elderworks_platform_api::ErrorCode;
use elderworks_platform_api::engine::{
    CacheChange, Command, EngineRole, FencedCommand, FinishReason, ServingState,
};
use elderworks_standin::ServerHandle;
use elderworks_standin::engine::{EngineFaults, EngineSettings, serve, with_speed};
use elderworks_types::text::render_prompt;
use elderworks_types::{EngineId, Message, ModelName, Role, RunId, Tokens};
use futures_util::{StreamExt, TryStreamExt};

const RUN: RunId = RunId::root(7);
const MAX_OUTPUT: Tokens = Tokens(64);
/// Speed factor: fast enough for tests, slow enough that an answer takes many steps.
const SPEED: f64 = 10.0;

fn settings() -> EngineSettings {
    let mut settings = EngineSettings::new(EngineId::new("engine-a"));
    settings.models = vec![ModelName::new("menu")];
    settings.parameters = with_speed(EngineParameters::default(), SPEED);
    settings.parameters.feed.cache_loss_ratio = 0.0;
    settings.parameters.feed.cache_lag = Duration::ZERO;
    settings.parameters.feed.load_lag = Duration::ZERO;
    settings
}

fn start_with(settings: EngineSettings) -> (ServerHandle, HttpEngineClient) {
    let server = serve(free_port(), settings).expect("the server starts");
    let client = HttpEngineClient::new(endpoint(&server));
    (server, client)
}

fn start() -> (ServerHandle, HttpEngineClient) {
    start_with(settings())
}

/// A prompt of several cache blocks.
fn messages() -> Vec<Message> {
    let sheet = "no salt, no sugar, soft food only. ".repeat(20);
    vec![
        Message::new(Role::System, sheet),
        Message::new(Role::User, "Plan Monday."),
    ]
}

fn request(id: &str) -> GenerateRequest {
    GenerateRequest {
        request_id: id.to_owned(),
        run: RUN,
        model: ModelName::new("menu"),
        messages: messages(),
        max_output: MAX_OUTPUT,
        priority: 0,
        continue_text: String::new(),
        first_chunk: 0,
        timeout: TEST_TIMEOUT,
    }
}

fn expected_text() -> String {
    answer_text(&render_prompt(&messages()), MAX_OUTPUT)
}

/// Returns the text of an answer, the index after its last chunk, and its final item.
fn join_chunks(items: Vec<AnswerItem>) -> (String, u32, Finish) {
    let mut text = String::new();
    let mut next = 0;
    for item in items {
        match item {
            AnswerItem::Chunk { index, text: piece } => {
                text.push_str(&piece);
                next = index + 1;
            }
            AnswerItem::Finished(finish) => return (text, next, finish),
        }
    }
    panic!("an answer without an end: {text}");
}

async fn generate(client: &HttpEngineClient, request: GenerateRequest) -> (String, u32, Finish) {
    join_chunks(
        client
            .generate(request)
            .try_collect()
            .await
            .expect("a complete answer"),
    )
}

async fn fails(client: &HttpEngineClient, request: GenerateRequest) -> BackendError {
    let answer: Result<Vec<AnswerItem>, BackendError> =
        client.generate(request).try_collect().await;
    answer.expect_err("a failure")
}

async fn is_idle(client: &HttpEngineClient) -> bool {
    let load = client.load().await.expect("a report");
    load.running == 0 && load.waiting == 0
}

#[actix_rt::test]
async fn an_answer_is_streamed_completely_with_its_usage() {
    let (_server, client) = start();
    let (text, chunks, finish) = generate(&client, request("first")).await;
    assert_eq!(text, expected_text());
    assert!(chunks > 1, "{chunks} chunks");
    assert_eq!(
        finish.usage.output,
        elderworks_types::text::token_count(&text)
    );
    assert_eq!(finish.usage.cached, Tokens(0));
    let (again, _, finish) = generate(&client, request("second")).await;
    assert_eq!(again, text);
    assert!(finish.usage.cached > Tokens(0), "{finish:?}");
}

#[actix_rt::test]
async fn a_broken_answer_resumes_at_any_chunk() {
    let (_server, client) = start();
    let mut stream = client.generate(request("broken"));
    let first = stream.next().await.expect("an item").expect("a chunk");
    let AnswerItem::Chunk { index, text: head } = first else {
        panic!("the answer ended with its first chunk");
    };
    drop(stream);
    let rest = client.resume("broken", index + 1, TEST_TIMEOUT);
    let (rest, end, finish) = join_chunks(rest.try_collect().await.expect("the rest"));
    assert_eq!(head + &rest, expected_text());
    let again = client.resume("broken", 0, TEST_TIMEOUT);
    let again = join_chunks(again.try_collect().await.expect("a complete answer"));
    assert_eq!(again, (expected_text(), end, finish));
}

#[actix_rt::test]
async fn an_answer_continues_on_another_engine() {
    let (_server, client) = start();
    let full_answer = expected_text();
    let (head, tail) = full_answer.split_at(32);
    let continued = GenerateRequest {
        continue_text: head.to_owned(),
        first_chunk: 5,
        ..request("continued")
    };
    let items: Vec<AnswerItem> = client
        .generate(continued)
        .try_collect()
        .await
        .expect("a complete answer");
    assert!(
        matches!(items[0], AnswerItem::Chunk { index: 5, .. }),
        "{items:?}"
    );
    assert_eq!(join_chunks(items).0, tail);
}

#[actix_rt::test]
async fn unknown_requests_are_not_found() {
    let (_server, client) = start();
    let resumed: Result<Vec<AnswerItem>, BackendError> =
        client.resume("never", 0, TEST_TIMEOUT).try_collect().await;
    assert!(resumed.expect_err("unknown").is_not_found());
    assert_eq!(client.cancel("never").await, Ok(false));
}

#[actix_rt::test]
async fn cancelling_frees_the_engine_and_breaks_the_stream() {
    let (_server, client) = start();
    let mut stream = client.generate(request("cancelled"));
    stream.next().await.expect("an item").expect("a chunk");
    assert_eq!(client.cancel("cancelled").await, Ok(true));
    let rest: Result<Vec<AnswerItem>, BackendError> = stream.try_collect().await;
    assert!(matches!(rest, Err(BackendError::Lost { .. })), "{rest:?}");
    assert_eq!(client.cancel("cancelled").await, Ok(false));
    eventually("idle", || is_idle(&client)).await;
}

#[actix_rt::test]
async fn an_unread_request_is_cancelled_after_the_grace_time() {
    let mut settings = settings();
    settings.resume_grace = Duration::from_millis(1);
    // Slow enough that the answer would not complete during the test.
    settings.parameters = with_speed(EngineParameters::default(), 0.01);
    settings.parameters.feed.load_lag = Duration::ZERO;
    let (server, client) = start_with(settings);
    let stream = client.generate(request("abandoned"));
    let reading = actix_rt::spawn(stream.collect::<Vec<_>>());
    let load_client = HttpEngineClient::new(endpoint(&server));
    eventually("running", || async {
        load_client.load().await.expect("a report").running == 1
    })
    .await;
    reading.abort();
    eventually("idle", || is_idle(&load_client)).await;
    let resumed: Result<Vec<AnswerItem>, BackendError> = load_client
        .resume("abandoned", 0, TEST_TIMEOUT)
        .try_collect()
        .await;
    assert!(
        resumed
            .expect_err("the cancelled request is unknown")
            .is_not_found()
    );
}

struct RefusalRow {
    name: &'static str,
    faults: EngineFaults,
    request: GenerateRequest,
    code: ErrorCode,
    has_retry_after: bool,
}

#[actix_rt::test]
async fn refusals_report_that_the_request_was_not_run() {
    let (server, client) = start();
    let table = [
        RefusalRow {
            name: "queue full",
            faults: EngineFaults {
                full: true,
                ..EngineFaults::default()
            },
            request: request("full"),
            code: ErrorCode::QueueFull,
            has_retry_after: true,
        },
        RefusalRow {
            name: "leaving",
            faults: EngineFaults {
                leave: true,
                ..EngineFaults::default()
            },
            request: request("leaving"),
            code: ErrorCode::Leaving,
            has_retry_after: true,
        },
        RefusalRow {
            name: "model not loaded",
            faults: EngineFaults::default(),
            request: GenerateRequest {
                model: ModelName::new("other"),
                ..request("model")
            },
            code: ErrorCode::ModelNotLoaded,
            has_retry_after: false,
        },
        RefusalRow {
            name: "no messages",
            faults: EngineFaults::default(),
            request: GenerateRequest {
                messages: Vec::new(),
                ..request("empty")
            },
            code: ErrorCode::InvalidRequest,
            has_retry_after: false,
        },
        RefusalRow {
            name: "too long",
            faults: EngineFaults::default(),
            request: GenerateRequest {
                messages: vec![Message::new(Role::User, "x".repeat(600_000))],
                ..request("long")
            },
            code: ErrorCode::TooLong,
            has_retry_after: false,
        },
    ];
    for row in table {
        put_faults(&server, &row.faults).await;
        let id = row.request.request_id.clone();
        let error = fails(&client, row.request).await;
        let BackendError::Rejected {
            code, retry_after, ..
        } = error
        else {
            panic!("{}: {error:?}", row.name);
        };
        assert_eq!(code, row.code, "{}", row.name);
        assert_eq!(retry_after.is_some(), row.has_retry_after, "{}", row.name);
        let resumed: Result<Vec<AnswerItem>, BackendError> =
            client.resume(&id, 0, TEST_TIMEOUT).try_collect().await;
        assert!(resumed.expect_err("not run").is_not_found(), "{}", row.name);
    }
    assert!(client.holdings().await.expect("holdings").runs.is_empty());
}

#[actix_rt::test]
async fn a_leaving_engine_completes_its_requests() {
    let (server, client) = start();
    let mut stream = client.generate(request("open"));
    let first = stream.next().await.expect("an item").expect("a chunk");
    let leave = EngineFaults {
        leave: true,
        ..EngineFaults::default()
    };
    put_faults(&server, &leave).await;
    assert_eq!(
        client.state().await.expect("state").state,
        ServingState::Leaving
    );
    let mut items: Vec<AnswerItem> = stream.try_collect().await.expect("the rest");
    items.insert(0, first);
    assert_eq!(join_chunks(items).0, expected_text());
}

#[actix_rt::test]
async fn a_hung_engine_times_out_as_may_have_run() {
    let (server, client) = start();
    let hang = EngineFaults {
        hang: true,
        ..EngineFaults::default()
    };
    put_faults(&server, &hang).await;
    let hurried = GenerateRequest {
        timeout: Duration::from_millis(50),
        ..request("hung")
    };
    let error = fails(&client, hurried).await;
    assert!(matches!(error, BackendError::Lost { .. }), "{error:?}");
    put_faults(&server, &EngineFaults::default()).await;
    let resumed = client.resume("hung", 0, TEST_TIMEOUT);
    let resumed = join_chunks(resumed.try_collect().await.expect("a resumed answer"));
    assert_eq!(resumed.0, expected_text());
}

#[actix_rt::test]
async fn a_repeated_request_id_is_refused_without_a_not_run_claim() {
    let (_server, client) = start();
    generate(&client, request("same")).await;
    let error = fails(&client, request("same")).await;
    let BackendError::Errored { code, .. } = error else {
        panic!("{error:?}");
    };
    assert_eq!(code, ErrorCode::RequestIdInUse);
}

#[actix_rt::test]
async fn release_is_idempotent_and_frees_all_blocks() {
    let (_server, client) = start();
    generate(&client, request("held")).await;
    let lease = Duration::from_secs(60);
    let held = client.retain(RUN, lease).await.expect("a lease");
    assert!(held.blocks > 0 && held.lease_ms > 0, "{held:?}");
    let holdings = client.holdings().await.expect("holdings");
    assert_eq!(holdings.runs.len(), 1);
    let released = client.release(RUN).await.expect("released");
    assert_eq!(released.blocks, held.blocks);
    assert_eq!(client.release(RUN).await.expect("again").blocks, 0);
    assert!(client.holdings().await.expect("holdings").runs.is_empty());
    assert_eq!(client.load().await.expect("load").blocks_used, 0);
}

#[actix_rt::test]
async fn release_ends_the_requests_of_its_run_only() {
    let (_server, client) = start();
    let mut own = client.generate(request("own"));
    own.next().await.expect("an item").expect("a chunk");
    let other = GenerateRequest {
        run: RunId::root(8),
        ..request("other")
    };
    let other = actix_rt::spawn(client.generate(other).try_collect::<Vec<_>>());
    client.release(RUN).await.expect("released");
    let own: Result<Vec<AnswerItem>, BackendError> = own.try_collect().await;
    assert!(own.is_err());
    let other = other
        .await
        .expect("the task completes")
        .expect("a complete answer");
    assert_eq!(join_chunks(other).0, expected_text());
}

#[actix_rt::test]
async fn blocks_move_between_engines() {
    let (_first_server, first) = start();
    let (_second_server, second) = start();
    generate(&first, request("there")).await;
    let moved = transfer(&first, &second, RUN).await.expect("a transfer");
    assert!(moved.blocks > 0);
    eventually("imported", || async {
        let holdings = second.holdings().await.expect("holdings");
        holdings
            .runs
            .first()
            .is_some_and(|held| held.blocks == moved.blocks)
    })
    .await;
    let (text, _, finish) = generate(&second, request("here")).await;
    assert_eq!(text, expected_text());
    assert!(finish.usage.cached > Tokens(0), "{finish:?}");
}

#[actix_rt::test]
async fn lower_fences_are_refused() {
    let (server, client) = start();
    let order = |fence, command| client.command(FencedCommand { fence, command });
    let unload = Command::UnloadModel {
        model: ModelName::new("menu"),
    };
    let drain = Command::ChangeRole {
        role: EngineRole::Draining,
    };
    assert_eq!(order(5, drain.clone()).await.expect("accepted").fence, 5);
    let stale = order(4, unload.clone()).await.expect_err("stale");
    assert!(is_stale(&stale), "{stale:?}");
    order(5, drain).await.expect("the same fence again");
    eventually("draining", || async {
        client.state().await.expect("state").role == EngineRole::Draining
    })
    .await;
    let state = client.state().await.expect("state");
    assert_eq!(state.state, ServingState::Leaving);
    assert_eq!(state.models, [ModelName::new("menu")]);
    assert_eq!(state.fence, 5);
    restart(&server).await;
    let stale = order(4, unload)
        .await
        .expect_err("stale after a restart as well");
    assert!(is_stale(&stale), "{stale:?}");
}

fn is_stale(error: &BackendError) -> bool {
    matches!(
        error,
        BackendError::Rejected {
            code: ErrorCode::StaleFence,
            ..
        }
    )
}

async fn restart(server: &ServerHandle) {
    let answer = common::raw(server, Method::POST, "/v1/restart", &[], "").await;
    assert!(answer.status.is_success(), "{answer:?}");
}

#[actix_rt::test]
async fn cache_events_are_numbered_and_a_restart_changes_the_instance() {
    let (server, client) = start();
    generate(&client, request("cached")).await;
    let events = client.cache_events(0).await.expect("events");
    let first = events.events.first().expect("an event");
    assert_eq!(first.sequence, 1);
    assert!(matches!(&first.change, CacheChange::Stored(blocks) if !blocks.is_empty()));
    let last = events.events.last().expect("an event").sequence;
    let after = client.cache_events(last).await.expect("events");
    assert!(after.events.is_empty());
    restart(&server).await;
    let restarted = client.cache_events(0).await.expect("events");
    assert_ne!(restarted.instance, events.instance);
    assert!(restarted.events.is_empty());
}

#[actix_rt::test]
async fn a_truncated_answer_has_finish_reason_length() {
    let (_server, client) = start();
    let short = GenerateRequest {
        max_output: Tokens(3),
        ..request("short")
    };
    let (_, _, finish) = generate(&client, short).await;
    assert_eq!(finish.reason, FinishReason::Length);
    assert_eq!(finish.usage.output, Tokens(3));
}
