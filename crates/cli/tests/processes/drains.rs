//! Nodes that are stopped by SIGTERM while the platform's log is down.

use futures_util::future::join;
use serde_json::json;

use crate::caller::Caller;
use crate::fleet::Fleet;
use crate::programs::{DEPLOYMENTS, LUBLIN_TOKEN, RUN_BUDGET};
use crate::streams::check_streamed_answer;

/// The order of ends is what is judged. A drain without a log lasts a minute if there is something
/// to wait for, so the idle node, which was told last, ends first only if it does not wait.
#[actix_rt::test]
async fn without_a_log_an_idle_node_leaves_and_one_with_a_stream_finishes_it() {
    let mut fleet = Fleet::start().await;
    let caller = Caller::new(fleet.sidecar_url(0), LUBLIN_TOKEN);
    let program = DEPLOYMENTS[0].program;
    let run = caller.start_run(program, RUN_BUDGET.into()).await;
    let busy = fleet.owner(&run).await;
    let mut others = fleet.node_names();
    others.retain(|name| *name != busy);
    let draining = async {
        fleet.wait_for_open_call(&run).await;
        fleet.set_log_faults(&json!({ "down": true })).await;
        let mut busy = fleet.start_to_stop_node(&busy);
        fleet.stop_node(&others[0]).await;
        assert!(busy.is_running(), "it has a call open");
        fleet.set_log_faults(&json!({})).await;
        busy.wait_for_end().await;
    };
    join(check_streamed_answer(&caller, &run), draining).await;
}
