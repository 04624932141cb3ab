//! Behaviour while the platform's log is down or its responses are lost.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_rt::task::JoinHandle;
use awc::http::{Method, StatusCode};
use futures_util::future::{join, join_all};
use serde_json::{Value, json};

use crate::caller::Caller;
use crate::fleet::{Fleet, POLL_INTERVAL, WAIT_TIMEOUT};
use crate::programs::{
    DEPLOYMENTS, LUBLIN_TOKEN, PROGRAMS, Program, RUN_BUDGET, check_histories, check_submissions,
    start_programs,
};

/// Number of runs that each make one call to find out whether the nodes have detected the outage.
const DETECTION_RUNS: usize = 48;

/// Duration for which a node is paused during an outage.
const PAUSE: Duration = Duration::from_millis(1_500);

/// Number of runs whose calls must be refused.
const REFUSED_RUNS: usize = 12;

/// Tool that no program uses for its submission.
const TOOL: &str = "cadastre-lookup";

/// Appends per thousand that take effect without a response.
const LOST_RESPONSES_PER_MILLE: u16 = 200;

#[actix_rt::test]
async fn an_outage_of_the_log_refuses_calls_at_once_and_loses_nothing() {
    let fleet = Fleet::start().await;
    let mut programs = start_programs(&fleet).await;
    let caller = Caller::new(fleet.sidecar_url(0), LUBLIN_TOKEN);
    let detecting = start_runs(&caller, DETECTION_RUNS).await;
    let refused = start_runs(&caller, REFUSED_RUNS).await;
    let running = join_all(programs.iter_mut().map(Program::all_turns));
    let outage = async {
        fleet.wait_for_execution().await;
        fleet.set_log_faults(&json!({ "down": true })).await;
        let early = call_until_detected(&fleet, &caller, &detecting).await;
        check_refusals(&caller, &refused).await;
        let submitted = submissions(&fleet).await;
        assert!(
            submitted < 2 * PROGRAMS,
            "all submissions were made before the outage"
        );
        fleet.set_log_faults(&json!({})).await;
        early
    };
    let (_, early) = join(running, outage).await;
    check_early_calls(&fleet, early).await;
    check_programs(&fleet, &programs).await;
    check_refused_runs(&fleet, &caller, &refused).await;
}

/// Guards against calls that wait for the end of an outage because their node was paused during it.
#[actix_rt::test]
async fn nodes_paused_during_an_outage_of_the_log_refuse_calls_at_once() {
    let mut fleet = Fleet::start().await;
    let caller = Caller::new(fleet.sidecar_url(0), LUBLIN_TOKEN);
    let detecting = start_runs(&caller, DETECTION_RUNS).await;
    let refused = start_runs(&caller, REFUSED_RUNS).await;
    fleet.set_log_faults(&json!({ "down": true })).await;
    for name in fleet.node_names() {
        pause_briefly(&mut fleet, &name).await;
    }
    let early = call_until_detected(&fleet, &caller, &detecting).await;
    for name in fleet.node_names() {
        pause_briefly(&mut fleet, &name).await;
        check_refusals(&caller, &refused).await;
    }
    fleet.set_log_faults(&json!({})).await;
    check_early_calls(&fleet, early).await;
    check_refused_runs(&fleet, &caller, &refused).await;
}

async fn pause_briefly(fleet: &mut Fleet, name: &str) {
    let node = fleet.pause_node(name);
    actix_rt::time::sleep(PAUSE).await;
    fleet.resume_node(node);
}

#[actix_rt::test]
async fn programs_complete_while_the_log_loses_responses() {
    let fleet = Fleet::start().await;
    let faults = json!({ "lose_answers_per_mille": LOST_RESPONSES_PER_MILLE });
    fleet.set_log_faults(&faults).await;
    let mut programs = start_programs(&fleet).await;
    join_all(programs.iter_mut().map(Program::all_turns)).await;
    check_programs(&fleet, &programs).await;
}

/// Checks that every program completed with its submission made exactly once.
async fn check_programs(fleet: &Fleet, programs: &[Program]) {
    check_histories(fleet, programs).await;
    assert!(programs.iter().all(|program| program.is_submitted));
    check_submissions(fleet, programs).await;
}

async fn start_runs(caller: &Caller, count: usize) -> Vec<String> {
    let starting = (0..count).map(|_| caller.start_run(DEPLOYMENTS[0].program, RUN_BUDGET.into()));
    join_all(starting).await
}

/// Calls a tool that must run at most once, as the first call of a run, without repeating the
/// request.
async fn submit_once(caller: &Caller, run: &str) -> (StatusCode, Value) {
    let tool = json!({ "name": TOOL, "arguments": { "marker": run } });
    let body = json!({ "number": 1, "tool": tool });
    let path = format!("/v1/runs/{run}/calls");
    caller.send_once(Method::POST, &path, Some(&body)).await
}

/// Call made before every node had detected the outage.
struct EarlyCall {
    run: String,
    answering: JoinHandle<(StatusCode, Value)>,
}

/// Makes calls until each node has refused one. Does not wait for the calls, since one made before
/// its node detected the outage is not answered until the outage ends.
async fn call_until_detected(fleet: &Fleet, caller: &Caller, runs: &[String]) -> Vec<EarlyCall> {
    let detected = Rc::new(RefCell::new(BTreeSet::new()));
    let mut calls = Vec::new();
    for run in runs {
        let owner = fleet.owner(run).await;
        let (caller, call_run, detected_by) = (caller.clone(), run.clone(), detected.clone());
        let answering = actix_rt::spawn(async move {
            let (status, reply) = submit_once(&caller, &call_run).await;
            if reply["error"]["code"] == "log_unavailable" {
                detected_by.borrow_mut().insert(owner);
            }
            (status, reply)
        });
        let run = run.clone();
        calls.push(EarlyCall { run, answering });
        actix_rt::time::sleep(POLL_INTERVAL).await;
        if detected_by_all(fleet, &detected) {
            return calls;
        }
    }
    let started = Instant::now();
    while !detected_by_all(fleet, &detected) {
        let detected = detected.borrow();
        assert!(
            started.elapsed() < WAIT_TIMEOUT,
            "detected only by {detected:?}"
        );
        drop(detected);
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
    calls
}

/// Returns whether every running node has detected the outage.
fn detected_by_all(fleet: &Fleet, detected: &RefCell<BTreeSet<String>>) -> bool {
    detected.borrow().len() == fleet.node_names().len()
}

/// Checks that each early call is answered after the outage, and ran if and only if it succeeded.
async fn check_early_calls(fleet: &Fleet, calls: Vec<EarlyCall>) {
    for call in calls {
        let (status, reply) = call.answering.await.expect("the call is answered");
        let expected = usize::from(status.is_success());
        if expected == 0 {
            assert_eq!(reply["error"]["run"], "no", "{reply}");
        }
        assert_eq!(invocations_of(fleet, &call.run).await, expected, "{status}");
    }
}

/// Returns the number of program submissions that the tool ran.
async fn submissions(fleet: &Fleet) -> usize {
    let executions = fleet.executions().await;
    let is_submission = |tool: &str| DEPLOYMENTS.iter().any(|used| used.submission == tool);
    let counts = executions
        .iter()
        .filter(|((tool, _), _)| is_submission(tool));
    counts.map(|(_, count)| count).sum()
}

/// Returns how often [`TOOL`] ran for a run.
async fn invocations_of(fleet: &Fleet, run: &str) -> usize {
    let key = (TOOL.to_owned(), run.to_owned());
    fleet.executions().await.remove(&key).unwrap_or_default()
}

/// Checks that calls and new runs are refused while the log is down, with the time to retry after.
async fn check_refusals(caller: &Caller, runs: &[String]) {
    let calls = join_all(runs.iter().map(|run| submit_once(caller, run))).await;
    let body = json!({ "program": DEPLOYMENTS[0].program, "budget": RUN_BUDGET });
    let start = caller
        .send_once(Method::POST, "/v1/runs", Some(&body))
        .await;
    for (status, reply) in calls.into_iter().chain([start]) {
        assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE, "{reply}");
        let error = &reply["error"];
        assert_eq!(error["code"], "log_unavailable", "{reply}");
        assert_eq!(error["run"], "no", "{reply}");
        let retry_after = error["retry_after_ms"].as_u64();
        assert!(retry_after.is_some_and(|wait| wait > 0), "{reply}");
    }
}

/// Checks that refused calls did not run, and run exactly once when they are sent again.
async fn check_refused_runs(fleet: &Fleet, caller: &Caller, runs: &[String]) {
    for run in runs {
        assert_eq!(invocations_of(fleet, run).await, 0, "{run} was refused");
        let again = caller.submit(run, 1, TOOL, run).await;
        again.expect("the call is made");
        assert_eq!(invocations_of(fleet, run).await, 1, "{run} was made again");
    }
}
