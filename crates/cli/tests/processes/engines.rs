//! Engines that die or leave in the midst of their streams.

use std::time::{Duration, Instant};

use futures_util::future::{join, join_all};

use crate::caller::Caller;
use crate::fleet::{Fleet, LOOK_INTERVAL, PATIENCE};
use crate::programs::{DEPLOYMENTS, LUBLIN_TOKEN, RUN_BUDGET};
use crate::streams::{Attempt, attempts, check_streamed_answer};

/// Runs that stream at the same time.
const RUNS: usize = 48;

/// Index and name of the engine that dies or leaves.
const ENGINE: usize = 1;
const ENGINE_NAME: &str = "engine-b";

/// Time after which no node gives new work to an engine that said that it leaves.
const LEAVE_NOTICED: Duration = Duration::from_secs(4);

async fn start_runs(caller: &Caller) -> Vec<String> {
    let starting = (0..RUNS).map(|_| caller.start_run(DEPLOYMENTS[0].program, RUN_BUDGET.into()));
    join_all(starting).await
}

/// Waits until the engine is generating; returns how many answers.
async fn wait_until_running(fleet: &Fleet) -> usize {
    let started = Instant::now();
    while started.elapsed() < PATIENCE {
        let running = fleet.engine_running(ENGINE).await;
        if running > 0 {
            return running;
        }
    }
    panic!("{ENGINE_NAME} got no work");
}

async fn wait_until_idle(fleet: &Fleet) {
    let started = Instant::now();
    while fleet.engine_running(ENGINE).await > 0 {
        assert!(started.elapsed() < PATIENCE, "{ENGINE_NAME} does not end");
        actix_rt::time::sleep(LOOK_INTERVAL).await;
    }
}

/// Attempts of a call of every run.
async fn all_attempts(caller: &Caller, runs: &[String], number: usize) -> Vec<Vec<Attempt>> {
    join_all(runs.iter().map(|run| attempts(caller, run, number))).await
}

/// Whether a call's answer began on the engine.
fn began_on_engine(attempts: &[Attempt]) -> bool {
    let began = |attempt: &Attempt| attempt.engine == ENGINE_NAME && attempt.has_streamed;
    attempts.iter().any(began)
}

/// Whether a call's answer ended on the engine.
fn ended_on_engine(attempts: &[Attempt]) -> bool {
    let last = attempts.last();
    last.is_some_and(|attempt| attempt.engine == ENGINE_NAME)
}

#[actix_rt::test]
async fn answers_are_whole_although_their_engine_dies() {
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
    let is_continued = |call: &&Vec<Attempt>| began_on_engine(call) && !ended_on_engine(call);
    assert!(calls.iter().filter(is_continued).count() > 0, "{calls:?}");
}

#[actix_rt::test]
async fn an_engine_that_leaves_finishes_its_streams_and_gets_no_new_ones() {
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
    let finished = calls.iter().filter(|call| ended_on_engine(call)).count();
    assert!(finished >= running, "{finished} of {running} finished");
    for call in calls.iter().filter(|call| began_on_engine(call)) {
        assert!(ended_on_engine(call), "moved away: {call:?}");
    }

    wait_until_idle(&fleet).await;
    actix_rt::time::sleep(LEAVE_NOTICED).await;
    let stores = fleet.engine_stores(ENGINE).await;
    assert!(stores > 0);
    join_all(runs.iter().map(|run| caller.ask(run, 2, "and then?"))).await;
    for call in all_attempts(&caller, &runs, 2).await {
        let is_there = |attempt: &Attempt| attempt.engine == ENGINE_NAME;
        assert!(!call.iter().any(is_there), "{call:?}");
    }
    wait_until_idle(&fleet).await;
    assert_eq!(fleet.engine_stores(ENGINE).await, stores);
}
