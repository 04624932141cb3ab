//! Nodes that drain after SIGTERM while the platform's log is down.

use futures_util::future::join;
use serde_json::json;

use crate::caller::Caller;
use crate::fleet::Fleet;
use crate::programs::{DEPLOYMENTS, LUBLIN_TOKEN, RUN_BUDGET};
use crate::streams::check_streamed_answer;

/// The idle node receives SIGTERM last but must exit first: a drain without a log takes up to a
/// minute, but only if there is a call to complete.
#[actix_rt::test]
async fn drain_without_a_log_stops_an_idle_node_and_completes_an_open_stream() {
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
        let mut busy = fleet.send_stop_signal(&busy);
        fleet.stop_node(&others[0]).await;
        assert!(busy.is_running(), "the node with an open call has exited");
        fleet.set_log_faults(&json!({})).await;
        busy.wait_for_exit().await;
    };
    join(check_streamed_answer(&caller, &run), draining).await;
}
