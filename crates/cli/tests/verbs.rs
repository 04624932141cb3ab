//! Operator verbs against real nodes that share a stand-in log.

mod support;

use std::ops::ControlFlow;
use std::time::Duration;

use elderworks_cli::verbs::watch::{WatchTarget, format_line, watch};
use elderworks_cli::verbs::{ApiClient, OutputFormat, VerbError, apply, delete, explain, get};
use elderworks_control::api::Collection;
use elderworks_control::manifest::from_yaml;
use elderworks_types::resource::Kind;
use support::{Platform, WAIT_TIMEOUT, client, sidecar, start_run, url};

const BUDGETS: Collection = Collection::Writable(Kind::Budget);

fn budget(name: &str, limit: u64) -> String {
    format!(
        "apiVersion: elderworks/v1\nkind: Budget\nmetadata: {{name: {name}}}\n\
         spec: {{tenant: {name}, limit: {limit}}}\n"
    )
}

/// Applies one budget; returns the printed line.
async fn apply_budget(client: &ApiClient, name: &str, limit: u64) -> Result<String, VerbError> {
    let manifests = from_yaml(&budget(name, limit)).expect("a valid budget");
    apply::apply(client, &manifests[0], Duration::ZERO).await
}

fn example(file: &str) -> String {
    format!(
        "{}/../../examples/resources/{file}",
        env!("CARGO_MANIFEST_DIR")
    )
}

#[actix_rt::test]
async fn examples_are_applied_and_shown_and_used_services_are_not_deleted() {
    let platform = Platform::start();
    let node = platform.node("a", Vec::new()).await;
    let client = client(&url(&node));
    let files = [
        "weekly-menu.yaml",
        "boundary-correction.yaml",
        "services.yaml",
    ];
    let manifests = apply::read_files(&files.map(example)).expect("the examples are valid");
    for (round, status) in ["created", "unchanged"].into_iter().enumerate() {
        for manifest in &manifests {
            let line = apply::apply(&client, manifest, WAIT_TIMEOUT).await;
            let line = line.expect("the example is accepted");
            assert!(line.contains(status), "round {round}: {line}");
        }
    }

    let programs = Collection::Writable(Kind::Program);
    let table = get::get(&client, programs, None, OutputFormat::Table).await;
    let table = table.expect("programs are listed");
    assert!(
        table.starts_with("NAME") && table.contains("weekly-menu"),
        "{table}"
    );
    let yaml = get::get(&client, programs, Some("weekly-menu"), OutputFormat::Yaml).await;
    let reparsed = from_yaml(&yaml.expect("it exists")).expect("the output of get can be applied");
    assert_eq!(reparsed[0].resource.metadata.name.as_str(), "weekly-menu");

    let services = Collection::Writable(Kind::Service);
    let text = get::describe(&client, services, "drafting").await;
    let text = text.expect("it exists");
    assert!(
        text.contains("usedByPrograms: boundary-correction, weekly-menu"),
        "{text}"
    );
    assert!(
        text.contains("engine-a: serving") || text.contains("engine-a: silent"),
        "{text}"
    );
    let refused = delete::delete(&client, services, "drafting", None).await;
    assert_eq!(refused.expect_err("it is in use").exit_code(), 5);
    node.drain().await;
    platform.stop().await;
}

#[actix_rt::test]
async fn failures_have_exit_codes() {
    let platform = Platform::start();
    let node = platform.node("a", Vec::new()).await;
    let client = client(&url(&node));
    apply_budget(&client, "lublin", 5)
        .await
        .expect("it is accepted");

    let missing = delete::delete(&client, BUDGETS, "absent", None).await;
    assert_eq!(missing.expect_err("it does not exist").exit_code(), 3);
    let stale = delete::delete(&client, BUDGETS, "lublin", Some(99_999)).await;
    assert_eq!(stale.expect_err("the revision is wrong").exit_code(), 4);
    let runs = get::get(&client, Collection::Runs, None, OutputFormat::Table).await;
    assert_eq!(runs.expect("runs are listed"), "no runs");
    let run = explain::run(&client, "run-00000000000000aa", OutputFormat::Table).await;
    let code = run.expect_err("there is no such run").exit_code();
    assert!(code == 3 || code == 6, "not found, or no owner yet: {code}");
    node.drain().await;
    platform.stop().await;
}

#[actix_rt::test]
async fn unreachable_server_is_skipped() {
    let platform = Platform::start();
    let node = platform.node("a", Vec::new()).await;
    let unreachable = "http://127.0.0.1:1";
    let error = apply_budget(&client(unreachable), "lublin", 1).await;
    assert_eq!(error.expect_err("no server listens there").exit_code(), 6);
    let both = client(&format!("{unreachable}, {}", url(&node)));
    apply_budget(&both, "lublin", 1)
        .await
        .expect("the second server is used");
    node.drain().await;
    platform.stop().await;
}

/// Returns whether every run is listed and can be explained.
async fn lists_and_explains(client: &ApiClient, runs: &[String]) -> bool {
    let table = get::get(client, Collection::Runs, None, OutputFormat::Table).await;
    let table = table.expect("some server lists runs");
    let mut all = runs.iter().all(|run| table.contains(run.as_str()));
    for run in runs {
        let text = explain::run(client, run, OutputFormat::Table).await;
        all &= text.is_ok_and(|text| text.contains("active of tenant lublin"));
    }
    all
}

#[actix_rt::test]
async fn runs_of_every_node_are_listed_and_explained() {
    let platform = Platform::start();
    let first = platform.node("a", Vec::new()).await;
    let second = platform.node("b", vec![first.gossip_address]).await;
    let both = client(&format!("{},{}", url(&first), url(&second)));
    let program = "apiVersion: elderworks/v1\nkind: Program\nmetadata: {name: empty}\n\
                   spec: {services: [], runBudget: 10, maxTurns: 1, maxHistory: 1, maxDuration: 1h}";
    let manifests = from_yaml(program).expect("a valid program");
    let applied = apply::apply(&both, &manifests[0], WAIT_TIMEOUT).await;
    applied.expect("it is accepted");
    let sidecar = sidecar(&first);
    let mut runs = Vec::new();
    for _ in 0..6 {
        runs.push(start_run(&sidecar, "empty").await);
    }

    // A partition may still be moving from one node to the other.
    let all_are_explained = async {
        while !lists_and_explains(&both, &runs).await {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    let result = tokio::time::timeout(WAIT_TIMEOUT, all_are_explained).await;
    result.expect("every run has an owner that lists and explains it");
    sidecar.stop().await;
    second.drain().await;
    first.drain().await;
    platform.stop().await;
}

/// Watches budgets until `count` changes were received; returns their revisions.
async fn watch_budgets(client: &ApiClient, count: usize) -> Vec<u64> {
    let target = WatchTarget::new(Some(BUDGETS), None, Some(0)).expect("budgets are watched");
    let mut revisions = Vec::new();
    let watching = watch(client, &target, |line| {
        format_line(line, OutputFormat::Json).expect("a line is printed");
        revisions.push(line.revision);
        match revisions.len() < count {
            true => ControlFlow::Continue(()),
            false => ControlFlow::Break(()),
        }
    });
    let result = tokio::time::timeout(WAIT_TIMEOUT, watching).await;
    result
        .expect("the changes arrive in time")
        .expect("the watch does not fail");
    revisions
}

#[actix_rt::test]
async fn watch_resumes_at_another_node_without_a_gap() {
    const CHANGES: usize = 8;
    let platform = Platform::start();
    let first = platform.node("a", Vec::new()).await;
    let second = platform.node("b", vec![first.gossip_address]).await;
    let servers = format!("{},{}", url(&first), url(&second));
    let watcher = client(&servers);
    let operator = client(&url(&second));
    let changes = async {
        for limit in 1..=4 {
            apply_budget(&operator, "lublin", limit)
                .await
                .expect("accepted");
        }
        first.drain().await;
        for limit in 5..=8 {
            apply_budget(&operator, "lublin", limit)
                .await
                .expect("accepted");
        }
    };
    let (seen, ()) = futures_util::join!(watch_budgets(&watcher, CHANGES), changes);
    assert!(seen.is_sorted_by(|left, right| left < right), "{seen:?}");

    let all = watch_budgets(&operator, CHANGES).await;
    assert_eq!(seen, all);
    second.drain().await;
    platform.stop().await;
}

#[actix_rt::test]
async fn watch_without_a_revision_starts_with_existing_resources() {
    let platform = Platform::start();
    let node = platform.node("a", Vec::new()).await;
    let client = client(&url(&node));
    apply_budget(&client, "lublin", 1).await.expect("accepted");
    apply_budget(&client, "other", 1).await.expect("accepted");
    let target = WatchTarget::new(None, None, None).expect("everything is watched");
    let mut names = Vec::new();
    let watching = watch(&client, &target, |line| {
        names.push(line.name.clone());
        match names.len() < 2 {
            true => ControlFlow::Continue(()),
            false => ControlFlow::Break(()),
        }
    });
    let result = tokio::time::timeout(WAIT_TIMEOUT, watching).await;
    result
        .expect("the changes arrive in time")
        .expect("the watch does not fail");
    assert_eq!(names, ["lublin", "other"]);
    node.drain().await;
    platform.stop().await;
}
