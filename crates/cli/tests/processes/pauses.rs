//! A node is paused for longer than it takes the others to replace it, and then goes on.

use futures_util::future::{join, join_all};

use crate::caller::Caller;
use crate::fleet::Fleet;
use crate::programs::{
    LUBLIN_TOKEN, MIDST, Program, check_histories, check_submissions, start_programs,
};

#[actix_rt::test]
async fn programs_go_on_while_a_node_is_paused_and_after_it_wakes() {
    let mut fleet = Fleet::start().await;
    let mut programs = start_programs(&fleet).await;
    let run = programs[0].run.clone();
    let paused = fleet.owner(&run).await;
    let playing = join_all(programs.iter_mut().map(Program::all_turns));
    let pausing = async {
        actix_rt::time::sleep(MIDST).await;
        let node = fleet.pause_node(&paused);
        let new_owner = fleet.owner(&run).await;
        assert_ne!(new_owner, paused);
        let before = history(&fleet, 0, &run).await;
        fleet.wake_node(node);
        let woken = fleet.start_sidecar_of(&paused).await;
        let after = history(&fleet, woken, &run).await;
        assert!(after.starts_with(&before), "{after:?} after {before:?}");
        woken
    };
    let (_, woken) = join(playing, pausing).await;
    check_histories_through(&fleet, woken, &programs).await;
    check_histories(&fleet, &programs).await;
    check_submissions(&fleet, &programs).await;
}

/// What a sidecar says of a run of the first deployment.
async fn history(fleet: &Fleet, sidecar: usize, run: &str) -> Vec<(String, String)> {
    let reader = Caller::new(fleet.sidecar_url(sidecar), LUBLIN_TOKEN);
    reader.history(run).await
}

/// Histories are the same to a sidecar that knows only the woken node.
async fn check_histories_through(fleet: &Fleet, sidecar: usize, programs: &[Program]) {
    for program in programs {
        let reader = Caller::new(fleet.sidecar_url(sidecar), program.token());
        let history = reader.history(&program.run).await;
        assert_eq!(history, program.history, "{}", program.marker);
    }
}
