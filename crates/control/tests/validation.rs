//! Validation against other resources, which takes place in log order.

mod support;

use elderworks_control::{Control, ControlBody, ControlError, Effect, Event, nearest};
use elderworks_types::resource::Kind;
use support::{
    NOW, TestLog, budget, configuration, delete, model_service, program, put, reader, tool_service,
};

/// Returns a store with resources of every kind, and its log.
fn populated() -> (TestLog, Control) {
    let mut log = TestLog::with_nodes(&["a"]);
    let bodies = [
        tool_service("cadastre", "cadastre.lookup"),
        model_service("drafts", "model-a", &["engine-1"]),
        budget("lublin", "tenant-1", 500),
        program("boundary", &["cadastre", "drafts"], Some("lublin")),
        configuration("global", &[("call.maxAttempts", "3")]),
    ];
    for (sequence, resource) in (2..).zip(bodies) {
        log.append("a", 0, sequence, put(resource, Some(0)));
    }
    let mut control = reader("a", 0);
    let effects = log.replay(&mut control);
    assert_eq!(effects.len(), 5, "{effects:?}");
    (log, control)
}

/// Returns the reply to a change proposed on a [`populated`] store.
fn propose(body: ControlBody) -> Result<(), ControlError> {
    let (mut log, mut control) = populated();
    let effects = control.handle(NOW, Event::Propose { request: 1, body });
    if let [Effect::Append(body)] = effects.as_slice() {
        log.append("a", 0, 99, body.clone());
    }
    let effects = [effects, log.replay(&mut control)].concat();
    let reply = effects.into_iter().find_map(|effect| match effect {
        Effect::Reply { result, .. } => Some(result),
        _ => None,
    });
    reply.expect("every proposal gets a reply").map(|_| ())
}

#[test]
fn broken_references_and_duplicate_keys_are_rejected() {
    let two_engines = model_service("more", "model-b", &["engine-2", "engine-1"]);
    let twice = model_service("more", "model-b", &["engine-2", "engine-2"]);
    let cases: Vec<(ControlBody, &str, &str)> = vec![
        (
            put(program("p", &["cadastre", "draft"], None), None),
            "spec.services[1]",
            "did you mean \"drafts\"?",
        ),
        (
            put(program("p", &["cadastre", "cadastre"], None), None),
            "spec.services[1]",
            "listed twice",
        ),
        (
            put(program("p", &[], Some("ulaanbaatar")), None),
            "spec.budget",
            "there is no Budget",
        ),
        (
            put(two_engines, None),
            "spec.model.engines[1].id",
            "already listed by Service \"drafts\"",
        ),
        (put(twice, None), "spec.model.engines[1]", "listed twice"),
        (
            put(model_service("more", "model-a", &[]), None),
            "spec.model.model",
            "already offered by Service \"drafts\"",
        ),
        (
            put(tool_service("more", "cadastre.lookup"), None),
            "spec.tool.tool",
            "already offered by Service \"cadastre\"",
        ),
        (
            put(budget("more", "tenant-1", 1), None),
            "spec.tenant",
            "already given a budget by Budget \"lublin\"",
        ),
        (
            put(configuration("more", &[("call.maxAttempts", "2")]), None),
            "spec.values.call.maxAttempts",
            "already set by Configuration \"global\"",
        ),
        (
            put(configuration("more", &[("call.maxAttempt", "2")]), None),
            "spec.values.call.maxAttempt",
            "did you mean \"call.maxAttempts\"?",
        ),
        (
            put(configuration("more", &[("call.modelTimeout", "90")]), None),
            "spec.values.call.modelTimeout",
            "expected a duration such as 30s",
        ),
        (
            put(
                configuration("more", &[("retry.budgetPercent", "101")]),
                None,
            ),
            "spec.values.retry.budgetPercent",
            "expected 0 to 100",
        ),
        (
            delete(Kind::Service, "drafts", None),
            "metadata.name",
            "still used by Program \"boundary\"",
        ),
        (
            delete(Kind::Budget, "lublin", None),
            "metadata.name",
            "still used by Program \"boundary\"",
        ),
    ];
    for (body, path, problem) in cases {
        let description = format!("{body:?}");
        match propose(body) {
            Err(ControlError::Invalid {
                path: found,
                problem: text,
            }) => assert!(
                found == path && text.contains(problem),
                "{description} gives {found}: {text}"
            ),
            other => panic!("{description} gives {other:?}"),
        }
    }
}

#[test]
fn valid_changes_are_accepted() {
    let cases = [
        put(program("other", &["cadastre"], None), Some(0)),
        put(
            model_service("drafts", "model-a", &["engine-1", "engine-9"]),
            None,
        ),
        put(model_service("drafts", "model-z", &["engine-1"]), None),
        put(budget("lublin", "tenant-1", 900), Some(3)),
        delete(Kind::Program, "boundary", Some(4)),
        delete(Kind::Configuration, "global", None),
    ];
    for body in cases {
        let description = format!("{body:?}");
        assert_eq!(propose(body), Ok(()), "{description}");
    }
}

#[test]
fn deletion_of_a_missing_resource_is_not_found() {
    let missing = delete(Kind::Program, "absent", None);
    assert_eq!(propose(missing), Err(ControlError::NotFound));
}

#[test]
fn service_can_be_replaced_once_its_program_is_deleted() {
    let (mut log, mut control) = populated();
    log.append("a", 0, 10, delete(Kind::Program, "boundary", None));
    log.append("a", 0, 11, delete(Kind::Service, "drafts", None));
    log.append(
        "a",
        0,
        12,
        put(model_service("new", "model-a", &["engine-1"]), None),
    );
    log.replay(&mut control);
    let terms = control
        .model_terms(&"model-a".into())
        .expect("it is offered");
    assert_eq!(terms.service.as_str(), "new");
}

#[test]
fn lookups_follow_the_resources() {
    let (_, control) = populated();
    let limits = control
        .run_limits(&"boundary".into())
        .expect("the program exists");
    assert!(limits.tenant_budget);
    assert_eq!(limits.max_turns, 50);
    assert!(control.program_may_call(&"boundary".into(), &"cadastre".into()));
    assert!(!control.program_may_call(&"boundary".into(), &"other".into()));
    let tool = control
        .tool_terms(&"cadastre.lookup".into())
        .expect("it is offered");
    assert_eq!(tool.url, "http://127.0.0.1:9100");
    let engines: Vec<_> = control
        .engines()
        .map(|(engine, model)| (&engine.id, model))
        .collect();
    assert_eq!(engines, [(&"engine-1".into(), &"model-a".into())]);
    assert_eq!(control.settings().max_attempts, 3);
    assert_eq!(control.tenant_limits().count(), 1);
}

#[test]
fn dissimilar_words_are_not_suggested() {
    assert_eq!(nearest("xyz", ["drafts", "cadastre"]), None);
    assert_eq!(nearest("DRAFT", ["drafts", "cadastre"]), Some("drafts"));
}
