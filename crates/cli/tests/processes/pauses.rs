//! Nodes that are paused until another node takes over, and then resumed.

use futures_util::future::{join, join_all};

use crate::caller::Caller;
use crate::fleet::Fleet;
use crate::programs::{
    DEPLOYMENTS, LUBLIN_TOKEN, Program, RUN_BUDGET, check_histories, check_submissions,
    start_programs,
};

/// Tool setting with a latency longer than a takeover.
const SLOW_TOOL: &str = "latency='8s'";

/// Tool that must run at most once.
const SUBMISSION: &str = "claim-submission";

#[actix_rt::test]
async fn programs_complete_while_a_node_is_paused_and_after_it_resumes() {
    let mut fleet = Fleet::start().await;
    let mut programs = start_programs(&fleet).await;
    let run = programs[0].run.clone();
    let paused = fleet.owner(&run).await;
    let running = join_all(programs.iter_mut().map(Program::all_turns));
    let pausing = async {
        fleet.wait_for_execution().await;
        let node = fleet.pause_node(&paused);
        let new_owner = fleet.owner(&run).await;
        assert_ne!(new_owner, paused);
        let before = history(&fleet, 0, &run).await;
        fleet.resume_node(node);
        let resumed = fleet.start_sidecar_of(&paused).await;
        let after = history(&fleet, resumed, &run).await;
        assert!(after.starts_with(&before), "{after:?} after {before:?}");
        resumed
    };
    let (_, resumed) = join(running, pausing).await;
    check_histories_through(&fleet, resumed, &programs).await;
    check_histories(&fleet, &programs).await;
    check_submissions(&fleet, &programs).await;
}

#[actix_rt::test]
async fn submission_in_progress_at_a_paused_node_runs_once() {
    let mut fleet = Fleet::start_with_tool(&[SLOW_TOOL]).await;
    let caller = Caller::new(fleet.sidecar_url(0), LUBLIN_TOKEN);
    let program = DEPLOYMENTS[0].program;
    let run = caller.start_run(program, RUN_BUDGET.into()).await;
    let paused = fleet.owner(&run).await;
    let submitting = caller.submit(&run, 1, SUBMISSION, &run);
    let pausing = async {
        fleet.wait_for_execution().await;
        let node = fleet.pause_node(&paused);
        let new_owner = fleet.owner(&run).await;
        fleet.resume_node(node);
        assert_ne!(new_owner, paused);
    };
    let (outcome, ()) = join(submitting, pausing).await;
    println!("{outcome:?}");
    let again = caller.submit(&run, 1, SUBMISSION, &run).await;
    assert_eq!(again, outcome);
    let answer = caller.ask(&run, 2, "and then?").await;
    let mut expected = vec![("user".to_owned(), "and then?".to_owned())];
    expected.push(("assistant".to_owned(), answer));
    expected.splice(0..0, outcome.ok().map(|result| ("tool".to_owned(), result)));
    for sidecar in 0..2 {
        assert_eq!(history(&fleet, sidecar, &run).await, expected);
    }
    let executions = fleet.executions().await;
    assert_eq!(executions, [((SUBMISSION.to_owned(), run), 1)].into());
}

/// Returns the history of a run of the first deployment, read through a sidecar.
async fn history(fleet: &Fleet, sidecar: usize, run: &str) -> Vec<(String, String)> {
    let reader = Caller::new(fleet.sidecar_url(sidecar), LUBLIN_TOKEN);
    reader.history(run).await
}

/// Checks the histories as read through one sidecar, which is connected only to the resumed node.
async fn check_histories_through(fleet: &Fleet, sidecar: usize, programs: &[Program]) {
    for program in programs {
        let reader = Caller::new(fleet.sidecar_url(sidecar), program.token());
        let history = reader.history(&program.run).await;
        assert_eq!(history, program.history, "{}", program.marker);
    }
}
