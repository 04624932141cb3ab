//! Runs and drains of nodes, and the admin endpoints.

use std::time::Instant;

use awc::http::StatusCode;
use elderworks_protocol::sidecar::{NodeMessage, SidecarMessage};
use elderworks_types::{Outcome, RunId, RunPhase};
use futures_util::future::{join, join_all};

use crate::support::{
    Sidecar, StandIns, TEST_TIMEOUT, apply_resources, call_anywhere, model_call, node, tenant,
    tool_call,
};

#[actix_rt::test]
async fn a_run_calls_a_model_and_a_tool_and_ends() {
    let stand_ins = StandIns::start();
    let node = node("node-1", &stand_ins, Vec::new()).await;
    apply_resources(&node, &stand_ins).await;
    let mut sidecar = Sidecar::connect(&node).await;
    let run = RunId::root(11);
    sidecar.start_run(run).await;

    let (text, outcome) = sidecar.call(run, model_call(1, 0)).await;
    let Outcome::Completed(answer) = outcome else {
        panic!("the model call did not complete: {outcome:?}");
    };
    assert_eq!(text, answer.content);
    assert!(!text.is_empty());
    assert!(answer.cost.0 > 0);

    let (_, outcome) = sidecar.call(run, tool_call(2)).await;
    let Outcome::Completed(result) = outcome else {
        panic!("the tool call did not complete: {outcome:?}");
    };
    assert_eq!(result.cost.0, 5);

    sidecar
        .send(SidecarMessage::ReadRun {
            query: 1,
            tenant: tenant(),
            run,
        })
        .await;
    let NodeMessage::RunView {
        view: Some(view), ..
    } = sidecar.receive().await
    else {
        panic!("the run cannot be read");
    };
    assert_eq!(view.calls.len(), 2);
    assert_eq!(view.spent.0, answer.cost.0 + result.cost.0);

    sidecar
        .send(SidecarMessage::EndRun {
            tenant: tenant(),
            run,
        })
        .await;
    let ended = sidecar.receive().await;
    let phase = RunPhase::Ended;
    assert_eq!(ended, NodeMessage::RunEnded { run, phase });
    node.drain().await;
}

#[actix_rt::test]
async fn a_drained_node_hands_its_runs_to_another() {
    let stand_ins = StandIns::start();
    let first = node("node-1", &stand_ins, Vec::new()).await;
    apply_resources(&first, &stand_ins).await;
    let run = RunId::root(12);
    let mut sidecar = Sidecar::connect(&first).await;
    sidecar.start_run(run).await;
    let (_, before) = sidecar.call(run, model_call(1, 0)).await;
    assert!(matches!(before, Outcome::Completed(_)), "{before:?}");

    let second = node("node-2", &stand_ins, vec![first.gossip_address]).await;
    first.drain().await;
    let mut sidecar = Sidecar::connect(&second).await;
    let since = Instant::now();
    loop {
        sidecar
            .send(SidecarMessage::ReadRun {
                query: 1,
                tenant: tenant(),
                run,
            })
            .await;
        match sidecar.receive().await {
            NodeMessage::RunView { view, .. } => {
                let view = view.expect("the new owner knows the run");
                assert_eq!(view.calls.len(), 1);
                break;
            }
            other => assert!(
                since.elapsed() < TEST_TIMEOUT,
                "no takeover in time: {other:?}"
            ),
        }
    }
    let (_, after) = sidecar.call(run, model_call(2, 2)).await;
    assert!(matches!(after, Outcome::Completed(_)), "{after:?}");
}

#[actix_rt::test]
async fn a_drain_under_load_interrupts_no_call() {
    const RUNS: u64 = 24;
    let stand_ins = StandIns::start();
    let first = node("node-1", &stand_ins, Vec::new()).await;
    apply_resources(&first, &stand_ins).await;
    let runs: Vec<RunId> = (100..100 + RUNS).map(RunId::root).collect();
    let mut sidecar = Sidecar::connect(&first).await;
    for run in &runs {
        sidecar.start_run(*run).await;
    }
    let second = node("node-2", &stand_ins, vec![first.gossip_address]).await;
    let nodes = [first.address, second.address];
    let calls = runs
        .iter()
        .map(|run| call_anywhere(nodes, *run, model_call(1, 0)));
    let (answers, ()) = join(join_all(calls), first.drain()).await;
    for (text, outcome) in answers {
        let Outcome::Completed(answer) = outcome else {
            panic!("the call did not complete: {outcome:?}");
        };
        assert_eq!(text, answer.content);
        assert!(!text.is_empty());
    }
}

#[actix_rt::test]
async fn health_readiness_and_metrics_are_served() {
    let stand_ins = StandIns::start();
    let node = node("node-1", &stand_ins, Vec::new()).await;
    let client = awc::Client::builder().timeout(TEST_TIMEOUT).finish();
    let cases = [
        ("/healthz", StatusCode::OK, "ok"),
        ("/readyz", StatusCode::OK, "ready"),
        ("/metrics", StatusCode::OK, "elderworks_node_ready 1"),
        ("/nothing", StatusCode::NOT_FOUND, "not found"),
    ];
    for (path, status, text) in cases {
        let url = format!("http://{}{path}", node.admin_address);
        let mut answer = client.get(url).send().await.expect("an answer");
        assert_eq!(answer.status(), status, "{path}");
        let body = answer.body().await.expect("a body");
        let body = String::from_utf8_lossy(&body);
        assert!(body.contains(text), "{path}: {body}");
    }
}
