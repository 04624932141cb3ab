//! Parsing of documents, and the path and text of the errors that they cause.

mod support;

use elderworks_control::manifest::{Document, from_json, from_yaml};
use elderworks_types::Offset;
use elderworks_types::resource::{Resource, Spec};
use support::{budget, configuration, model_service, program, tool_service};

const TOOL: &str = "
apiVersion: elderworks/v1
kind: Service
metadata:
  name: cadastre
spec:
  tool:
    tool: cadastre.lookup
    url: http://127.0.0.1:9100
    creditsPerInvocation: 5
    timeout: 20s
";

const PROGRAM: &str = "
apiVersion: elderworks/v1
kind: Program
metadata:
  name: boundary
  revision: 7
spec:
  services: [cadastre]
  runBudget: 1000
  maxTurns: 50
  maxHistory: 100000
  maxDuration: 1h
";

#[test]
fn several_documents_are_parsed_in_order() {
    let text = format!("---\n{TOOL}\n---\n---\n{PROGRAM}");
    let manifests = from_yaml(&text).expect("both documents are valid");
    let [tool, program] = manifests.as_slice() else {
        panic!("found {manifests:?}");
    };
    assert_eq!(tool.expected, None);
    assert_eq!(program.expected, Some(Offset(7)));
    let Spec::Program(spec) = &program.resource.spec else {
        panic!("not a program: {program:?}");
    };
    assert_eq!(spec.max_duration.as_secs(), 3_600);
}

#[test]
fn every_kind_round_trips() {
    let resources: [Resource; 5] = [
        program("boundary", &["cadastre"], Some("lublin")),
        model_service("drafts", "model-a", &["engine-1", "engine-2"]),
        tool_service("cadastre", "cadastre.lookup"),
        budget("lublin", "tenant-1", 500),
        configuration("global", &[("call.maxAttempts", "3")]),
    ];
    for resource in resources {
        let document = Document::from(&resource);
        let json = serde_json::to_vec(&document).expect("documents encode");
        let yaml = serde_norway::to_string(&document).expect("documents encode");
        let from_json = from_json(&json).expect("generated JSON is valid");
        let from_yaml = from_yaml(&yaml).expect("generated YAML is valid");
        assert_eq!(from_json.resource, resource);
        assert_eq!(from_yaml, [from_json]);
    }
}

#[test]
fn numbers_in_a_configuration_are_converted_to_strings() {
    let text = "{apiVersion: elderworks/v1, kind: Configuration, metadata: {name: global}, \
                spec: {values: {call.maxAttempts: 2, call.modelTimeout: 45s}}}";
    let manifests = from_yaml(text).expect("the document is valid");
    let expected = [("call.maxAttempts", "2"), ("call.modelTimeout", "45s")];
    assert_eq!(manifests[0].resource, configuration("global", &expected));
}

#[test]
fn errors_contain_the_path() {
    struct Case {
        change: (&'static str, &'static str),
        path: &'static str,
        problem: &'static str,
    }
    let case = |from, to, path, problem| Case {
        change: (from, to),
        path,
        problem,
    };
    let cases = [
        case(
            "elderworks/v1",
            "elderworks/v2",
            "apiVersion",
            "expected \"elderworks/v1\"",
        ),
        case(
            "kind: Service",
            "kind: Servise",
            "kind",
            "did you mean \"Service\"?",
        ),
        case(
            "metadata:\n  name",
            "metadata:\n  nam",
            "metadata",
            "unknown field `nam`",
        ),
        case(
            "name: cadastre",
            "name: Cadastre",
            "metadata.name",
            "is not a name",
        ),
        case(
            "name: cadastre",
            "name: ''",
            "metadata.name",
            "must not be empty",
        ),
        case(
            "timeout",
            "timeuot",
            "spec.tool",
            "did you mean \"timeout\"?",
        ),
        case(
            "20s",
            "20 parsecs",
            "spec.tool.timeout",
            "expected a duration",
        ),
        case("20s", "20", "spec.tool.timeout", "integer `20`"),
        case("20s", "0s", "spec.tool.timeout", "expected more than 0s"),
        case("20s", "2days", "spec.tool.timeout", "at most 1day"),
        case(
            ": 5",
            ": 5 credits",
            "spec.tool.creditsPerInvocation",
            "expected u64",
        ),
        case(
            ": 5",
            ": -5",
            "spec.tool.creditsPerInvocation",
            "expected u64",
        ),
        case(
            "http:",
            "https:",
            "spec.tool.url",
            "expected http://IP:port",
        ),
        case(
            "127.0.0.1",
            "localhost",
            "spec.tool.url",
            "expected http://IP:port",
        ),
        case("  tool:\n", "  tols:\n", "spec", "did you mean \"tool\"?"),
        case("spec:", "status:", "spec", "missing"),
        case("kind: Service", "kind: [", ".", "not YAML"),
    ];
    for case in cases {
        let (from, to) = case.change;
        let text = TOOL.replacen(from, to, 1);
        assert_ne!(text, TOOL, "{from:?} does not occur");
        let error = from_yaml(&text).expect_err(&format!("{to:?} is accepted"));
        assert!(
            error.path.starts_with(case.path) && error.problem.contains(case.problem),
            "{to:?} gives {error}"
        );
    }
}

#[test]
fn errors_contain_the_document_number() {
    let wrong = PROGRAM.replace("maxTurns: 50", "maxTurns: 0");
    let error = from_yaml(&format!("{TOOL}---{wrong}")).expect_err("zero turns are invalid");
    assert_eq!(error.document, 2);
    assert_eq!(error.path, "spec.maxTurns");
}

#[test]
fn malformed_json_is_an_error() {
    for body in ["", "{", "[]", "null", "\u{0}", "{\"apiVersion\": 1}"] {
        assert!(from_json(body.as_bytes()).is_err(), "{body:?} is accepted");
    }
}
