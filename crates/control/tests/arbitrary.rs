//! Property tests: arbitrary manifests, snapshots and records neither crash a node nor lead to invalid
//! state.

mod support;

use elderworks_control::manifest::{from_json, from_yaml};
use elderworks_control::{Bootstrap, BootstrapStep, Control, ControlBody, validate_syntax};
use elderworks_types::Offset;
use elderworks_types::resource::{Kind, Resource};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use support::{
    TestLog, budget, configuration, delete, model_service, program, put, reader, tool_service,
    writer,
};

fn config() -> Config {
    Config {
        cases: 400,
        rng_seed: RngSeed::Fixed(41),
        failure_persistence: None,
        ..Config::default()
    }
}

/// Valid and invalid names, from a small set so that resources refer to each other.
fn name() -> impl Strategy<Value = String> {
    prop_oneof![
        8 => "[a-d]",
        1 => "[a-zA-Z0-9./: -]{0,5}",
        1 => "\\PC{0,70}",
    ]
}

fn resource() -> impl Strategy<Value = Resource> {
    let key = prop_oneof![
        Just("call.maxAttempts".to_owned()),
        Just("call.modelTimeout".to_owned()),
        name(),
    ];
    let value = prop_oneof!["[0-9]{1,3}(s|ms)?", name()];
    prop_oneof![
        (name(), name(), name()).prop_map(|(own, service, budget)| {
            program(&own, &[&service], Some(budget.as_str()))
        }),
        (name(), name(), name())
            .prop_map(|(own, model, engine)| { model_service(&own, &model, &[&engine]) }),
        (name(), name()).prop_map(|(own, tool)| tool_service(&own, &tool)),
        (name(), name(), 0..3u64).prop_map(|(own, tenant, limit)| budget(&own, &tenant, limit)),
        (name(), key, value)
            .prop_map(|(own, key, value)| { configuration(&own, &[(&key, &value)]) }),
    ]
}

fn change() -> impl Strategy<Value = ControlBody> {
    let kind = prop_oneof![
        Just(Kind::Program),
        Just(Kind::Service),
        Just(Kind::Budget),
        Just(Kind::Configuration),
    ];
    prop_oneof![
        4 => (resource(), proptest::option::of(0..20u64))
            .prop_map(|(resource, expected)| put(resource, expected)),
        1 => (kind, name()).prop_map(|(kind, name)| delete(kind, &name, None)),
    ]
}

/// Checks that all resources are valid, refer to existing ones and are restored from a snapshot.
fn check(control: &Control) -> Result<(), TestCaseError> {
    let kinds = [
        Kind::Program,
        Kind::Service,
        Kind::Budget,
        Kind::Configuration,
    ];
    for kind in kinds {
        for resource in control.list(kind) {
            prop_assert_eq!(validate_syntax(resource), Ok(()));
        }
    }
    for resource in control.list(Kind::Program) {
        let spec = control
            .program(&resource.metadata.name)
            .expect("a listed program exists");
        for service in &spec.services {
            prop_assert!(control.get(Kind::Service, service).is_some());
        }
        if let Some(budget) = &spec.budget {
            prop_assert!(control.get(Kind::Budget, budget).is_some());
        }
    }
    let restored = Control::from_state(writer("b", 9), &control.encode_state());
    let restored = restored.expect("own state decodes");
    prop_assert_eq!(restored.encode_state(), control.encode_state());
    prop_assert_eq!(restored.settings(), control.settings());
    prop_assert_eq!(restored.engines().count(), control.engines().count());
    Ok(())
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn accepted_resources_are_valid(changes in proptest::collection::vec(change(), 1..60)) {
        let mut log = TestLog::with_nodes(&["a"]);
        for (sequence, body) in (2..).zip(changes) {
            log.append("a", 0, sequence, body);
        }
        let mut control = reader("a", 0);
        log.replay(&mut control);
        check(&control)?;
    }

    #[test]
    fn arbitrary_text_is_parsed_or_rejected(text in "\\PC{0,200}", bytes in any::<Vec<u8>>()) {
        let _ = from_yaml(&text);
        let _ = from_yaml(&format!("apiVersion: elderworks/v1\nkind: Program\n{text}"));
        let _ = from_json(&bytes);
    }

    #[test]
    fn arbitrary_bytes_are_skipped(
        pages in proptest::collection::vec(any::<Vec<u8>>(), 1..20),
        state in any::<Vec<u8>>(),
    ) {
        let _ = Control::from_state(writer("b", 9), &state);
        let records: Vec<_> = (0..).map(Offset).zip(pages).collect();
        let end = Offset(records.len() as u64);
        let mut bootstrap = Bootstrap::new(writer("b", 9));
        let mut step = bootstrap.handle_read(&records, end);
        while let BootstrapStep::Read { from } = step {
            let rest = &records[from.0 as usize..];
            step = bootstrap.handle_read(rest, end);
        }
        let BootstrapStep::Done { start, .. } = step else {
            return Err(TestCaseError::fail("the bootstrap did not finish"));
        };
        prop_assert_eq!(start, Offset(0));
    }
}
