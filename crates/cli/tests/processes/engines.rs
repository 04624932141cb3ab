//! Engines that are killed or taken out of service while they stream answers.

use std::time::{Duration, Instant};

use futures_util::future::{join, join_all};

use crate::caller::Caller;
use crate::fleet::{Fleet, POLL_INTERVAL, WAIT_TIMEOUT};
use crate::programs::{DEPLOYMENTS, LUBLIN_TOKEN, RUN_BUDGET};
use crate::streams::{Attempt, attempts, check_streamed_answer};

/// Number of runs that stream at the same time.
const RUNS: usize = 48;

/// Index of the engine that is killed or taken out of service.
const ENGINE: usize = 1;

/// Name of that engine.
const ENGINE_NAME: &str = "engine-b";

/// Time after which no node sends new calls to an engine that reported that it is leaving.
const LEAVE_PROPAGATION_TIME: Duration = Duration::from_secs(4);

async fn start_runs(caller: &Caller) -> Vec<String> {
    let starting = (0..RUNS).map(|_| caller.start_run(DEPLOYMENTS[0].program, RUN_BUDGET.into()));
    join_all(starting).await
}

/// Waits until the engine generates answers; returns their number.
async fn wait_until_running(fleet: &Fleet) -> usize {
    let started = Instant::now();
    while started.elapsed() < WAIT_TIMEOUT {
        let running = fleet.engine_running(ENGINE).await;
        if running > 0 {
            return running;
        }
    }
    panic!("{ENGINE_NAME} received no calls");
}

/// Waits until the engine generates no answers.
async fn wait_until_idle(fleet: &Fleet) {
    let started = Instant::now();
    while fleet.engine_running(ENGINE).await > 0 {
        assert!(
            started.elapsed() < WAIT_TIMEOUT,
            "{ENGINE_NAME} does not become idle"
        );
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
}

/// Returns the attempts of the call with this number in every run.
async fn all_attempts(caller: &Caller, runs: &[String], number: usize) -> Vec<Vec<Attempt>> {
    join_all(runs.iter().map(|run| attempts(caller, run, number))).await
}

/// Returns whether the engine streamed a part of a call's answer.
fn streamed_on_engine(attempts: &[Attempt]) -> bool {
    let has_streamed = |attempt: &Attempt| attempt.engine == ENGINE_NAME && attempt.has_streamed;
    attempts.iter().any(has_streamed)
}

/// Returns whether the last attempt of a call ran on the engine.
fn completed_on_engine(attempts: &[Attempt]) -> bool {
    let last = attempts.last();
    last.is_some_and(|attempt| attempt.engine == ENGINE_NAME)
}

#[actix_rt::test]
async fn answers_are_complete_after_their_engine_is_killed() {
    let mut fleet = Fleet::start().await;
    let caller = Caller::new(fleet.sidecar_url(0), LUBLIN_TOKEN);
    let runs = start_runs(&caller).await;
    let streaming = join_all(runs.iter().map(|run| check_streamed_answer(&caller, run)));
    let killing = async {
        wait_until_running(&fleet).await;
        fleet.kill_engine(ENGINE);
    };
    join(streaming, killing).await;
    let calls = all_attempts(&caller, &runs, 1).await;
    let is_migrated = |call: &&Vec<Attempt>| streamed_on_engine(call) && !completed_on_engine(call);
    assert!(calls.iter().filter(is_migrated).count() > 0, "{calls:?}");
}

#[actix_rt::test]
async fn leaving_engine_completes_its_streams_and_receives_no_new_calls() {
    let fleet = Fleet::start().await;
    let caller = Caller::new(fleet.sidecar_url(0), LUBLIN_TOKEN);
    let runs = start_runs(&caller).await;
    let streaming = join_all(runs.iter().map(|run| check_streamed_answer(&caller, run)));
    let leaving = async {
        let running = wait_until_running(&fleet).await;
        fleet.set_engine_leaving(ENGINE, true).await;
        running
    };
    let (_, running) = join(streaming, leaving).await;
    let calls = all_attempts(&caller, &runs, 1).await;
    let completed = calls
        .iter()
        .filter(|call| completed_on_engine(call))
        .count();
    assert!(completed >= running, "{completed} of {running} completed");
    for call in calls.iter().filter(|call| streamed_on_engine(call)) {
        assert!(
            completed_on_engine(call),
            "moved to another engine: {call:?}"
        );
    }

    wait_until_idle(&fleet).await;
    actix_rt::time::sleep(LEAVE_PROPAGATION_TIME).await;
    let stores = fleet.engine_stores(ENGINE).await;
    assert!(stores > 0);
    join_all(runs.iter().map(|run| caller.ask(run, 2, "and then?"))).await;
    for call in all_attempts(&caller, &runs, 2).await {
        let is_on_engine = |attempt: &Attempt| attempt.engine == ENGINE_NAME;
        assert!(!call.iter().any(is_on_engine), "{call:?}");
    }
    wait_until_idle(&fleet).await;
    assert_eq!(fleet.engine_stores(ENGINE).await, stores);
}
