//! Explanations that `explain-request` derives from the log lines of nodes.

use elderworks_cli::request_log::explain_text;

/// Log of two nodes around a turn that was refused during a log failure.
const REFUSED: &str = r#"
  1.0347 edge-a-2 {"at":5,"error":"the log refused the call: append: 503","level":"WARN","message":"append to the ledger failed","partition":1,"time":"2026-05-11T23:31:44.034Z"}
  1.1000 edge-a-9 {"at":5,"error":"another node's","level":"WARN","message":"append to the ledger failed","partition":7,"time":"2026-05-11T23:31:44.100Z"}
  1.2000 edge-a-2 {"level":"INFO","message":"use of the overdraft changed","before":"Active","now":"None","partition":1,"time":"2026-05-11T23:31:44.200Z"}
  2.4000 edge-a-2 {"config":4,"finish_ms":1900,"first_ms":-1,"leave_ms":-1,"level":"WARN","message":"the program's ledger cannot be asked now","ms":1200,"program":"p1","request":"r1","route":"r","session":"s","status":503,"time":"2026-05-11T23:31:45.400Z","whole":true,"workers":""}
  3.0000 edge-a-1 {"config":4,"finish_ms":700,"first_ms":30,"leave_ms":2,"level":"INFO","message":"answered","ms":300,"program":"p1","request":"r2","route":"r","session":"s","status":200,"time":"2026-05-11T23:31:46.000Z","whole":true,"workers":"w1"}
"#;

/// Log of a node with a refused request and one that has no completion line.
const INCOMPLETE: &str = r#"
{"level":"INFO","message":"attempt failed","ms":4,"reason":"refused with 503","request":"r5","time":"2026-05-11T23:31:48.000Z","worker":"w1"}
{"level":"INFO","message":"worker changed","draining":true,"offset":3,"service":"s","time":"2026-05-11T23:31:48.010Z","worker":"w1"}
{"level":"INFO","message":"worker changed","draining":true,"offset":4,"service":"s","time":"2026-05-11T23:31:48.010Z","worker":"w7"}
{"config":4,"finish_ms":-1,"first_ms":-1,"leave_ms":0,"level":"WARN","message":"no worker takes the request now","ms":20,"program":"","request":"r5","route":"r","session":"","status":503,"time":"2026-05-11T23:31:48.020Z","whole":true,"workers":"w1"}
{"level":"INFO","message":"attempt failed","ms":4,"reason":"reset","request":"r6","time":"2026-05-11T23:31:49.000Z","worker":"w1"}
"#;

#[test]
fn refused_turn_is_attributed_to_its_dependency() {
    let report = explain_text("r1", REFUSED).expect("an explanation");
    for expected in [
        "request r1 at edge-a-2: status 503, the program's ledger cannot be asked now after 1200 ms",
        "append to the ledger failed: at=5 error=the log refused the call",
        "use of the overdraft changed: before=Active now=None partition=1",
        "r2 at edge-a-1: status 200, answered after 300 ms",
        "cause: the log did not answer this node, and no overdraft covered the turn",
    ] {
        assert!(report.contains(expected), "{expected} in\n{report}");
    }
    assert!(
        !report.contains("another node's"),
        "lines of other nodes:\n{report}"
    );
}

#[test]
fn attempts_and_tried_workers_are_listed() {
    let report = explain_text("r5", INCOMPLETE).expect("an explanation");
    for expected in [
        "attempt failed: ms=4 reason=refused with 503",
        "worker changed: draining=true offset=3 service=s worker=w1",
        "cause: every worker tried refused it",
    ] {
        assert!(report.contains(expected), "{expected} in\n{report}");
    }
    assert!(
        !report.contains("worker=w7"),
        "a worker that was not tried:\n{report}"
    );
}

#[test]
fn incomplete_and_unknown_requests_are_reported() {
    let incomplete = explain_text("r6", INCOMPLETE).expect("the log mentions the request");
    assert!(incomplete.contains("no end line"), "{incomplete}");
    let unknown = explain_text("r9", INCOMPLETE).expect_err("the log does not mention the request");
    assert!(
        unknown
            .to_string()
            .contains("no log line mentions request r9")
    );
}

/// Log of a node with requests refused for an unproven key and an exhausted quota.
const KEYS: &str = r#"
{"level":"WARN","message":"stream cannot be read","stream":"Configuration","error":"no answer","time":"2026-05-11T23:31:47.000Z"}
{"config":4,"finish_ms":900,"first_ms":-1,"leave_ms":-1,"level":"WARN","message":"the key may have been taken away: the configuration here is too old to tell","ms":0,"program":"p","proof_ms":-1,"request":"r7","route":"r","session":"","status":503,"tenant":"","time":"2026-05-11T23:31:48.020Z","whole":true,"workers":""}
{"level":"INFO","message":"over quota","limit":60,"nodes_heard":3,"pause_ms":200,"request":"r8","tenant":"acme","time":"2026-05-11T23:31:49.000Z","used":61}
{"config":4,"finish_ms":900,"first_ms":-1,"leave_ms":-1,"level":"INFO","message":"the tenant's quota is used up","ms":0,"program":"p","proof_ms":310,"request":"r8","route":"r","session":"","status":429,"tenant":"acme","time":"2026-05-11T23:31:49.000Z","whole":true,"workers":""}
"#;

/// Log of a node with requests for unknown routes and one with an unknown outcome.
const ROUTES: &str = r#"
{"config":4,"config_read_ms":5221,"finish_ms":-1,"first_ms":-1,"leave_ms":-1,"level":"WARN","message":"no such route is known here, and it may be new: the configuration is too old to tell","ms":0,"program":"","request":"r10","route":"","session":"","status":503,"time":"2026-05-11T23:31:48.020Z","whole":true,"workers":""}
{"config":4,"config_read_ms":90,"finish_ms":-1,"first_ms":-1,"leave_ms":-1,"level":"INFO","message":"no such route","ms":0,"program":"","request":"r11","route":"","session":"","status":404,"time":"2026-05-11T23:31:49.020Z","whole":true,"workers":""}
{"config":4,"finish_ms":-1,"first_ms":-1,"leave_ms":0,"level":"WARN","may_have_run":true,"message":"no worker gave a valid answer; the request may have run","ms":20,"program":"","request":"r12","route":"r","session":"","status":502,"time":"2026-05-11T23:31:50.020Z","whole":true,"workers":"w1"}
"#;

#[test]
fn refusals_on_stale_configuration_and_unknown_outcomes_are_explained() {
    for (request, expected) in [
        (
            "r10",
            "cause: the node had not read the configuration for too long",
        ),
        (
            "r11",
            "cause: the configuration of that version has no such route",
        ),
        ("r12", "cause: an attempt broke off after it was sent"),
    ] {
        let report = explain_text(request, ROUTES).expect("an explanation");
        assert!(report.contains(expected), "{expected} in\n{report}");
    }
}

#[test]
fn refusals_for_keys_and_quotas_are_explained() {
    let report = explain_text("r7", KEYS).expect("an explanation");
    assert!(
        report.contains("the log did not answer this node"),
        "{report}"
    );
    let report = explain_text("r8", KEYS).expect("an explanation");
    for expected in [
        "tenant acme, configuration proved 310 ms before",
        "over quota: limit=60 nodes_heard=3 pause_ms=200 request=r8 tenant=acme used=61",
        "cause: the tenant has sent as much as its quota holds",
    ] {
        assert!(report.contains(expected), "{expected} in\n{report}");
    }
}
