//! Exit codes and messages of the `elderworks` command when no node is running.

use std::io::Write;
use std::process::{Command, Output, Stdio};

/// Runs `elderworks` with the given arguments and standard input.
fn elderworks(arguments: &[&str], input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_elderworks"))
        .args(arguments)
        .env("ELDERWORKS_SERVER", "http://127.0.0.1:1")
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the command starts");
    if let Some(mut stdin) = child.stdin.take() {
        // A command that reads no input may have exited already.
        let _ = stdin.write_all(input.as_bytes());
    }
    child.wait_with_output().expect("the command ends")
}

#[test]
fn exit_codes_and_messages() {
    struct Case {
        arguments: &'static [&'static str],
        input: &'static str,
        code: i32,
        message: &'static str,
    }
    let case = |arguments, input, code, message| Case {
        arguments,
        input,
        code,
        message,
    };
    let budget = "apiVersion: elderworks/v1\nkind: Budget\nmetadata: {name: b}\n\
                  spec: {tenant: t, limit: 1}\n";
    let misspelled = "apiVersion: elderworks/v1\nkind: Budget\nmetadata: {name: b}\n\
                        spec: {tenant: t, limt: 1}\n";
    let cases = [
        case(
            &["gateway", "--set", "overdraft=false"],
            "",
            1,
            "unknown key `overdraft`; did you mean `overdrafts`?",
        ),
        case(
            &["gateway", "--set", "load_bound=0.5"],
            "",
            1,
            "`load_bound` must be 1 or more",
        ),
        case(&["apply", "-f", "-"], budget, 6, "no node could be reached"),
        case(
            &["apply", "-f", "-"],
            misspelled,
            5,
            "did you mean \"limit\"?",
        ),
        case(&["apply", "-f", "-"], "", 2, "nothing to apply"),
        case(&["apply"], "", 2, "nothing to apply"),
        case(&["apply", "-f", "absent.yaml"], "", 1, "absent.yaml"),
        case(&["get", "budgetz"], "", 2, "did you mean \"budgets\"?"),
        case(
            &["get", "budgets", "-o", "xml"],
            "",
            2,
            "expected table, json or yaml",
        ),
        case(&["get", "budgets"], "", 6, "no node could be reached"),
        case(
            &["get", "budgets", "--server", ""],
            "",
            2,
            "no server is named",
        ),
        case(&["watch", "nodes"], "", 2, "nodes cannot be watched"),
        case(&["explain", "run"], "", 2, "explain run ID"),
        case(&["explain", "configuration"], "", 0, "call.modelTimeout"),
        case(
            &["delete", "budget", "b"],
            "",
            6,
            "no node could be reached",
        ),
        case(&["nonsense"], "", 2, "nonsense"),
    ];
    for case in cases {
        let output = elderworks(case.arguments, case.input);
        let text = [output.stdout.as_slice(), output.stderr.as_slice()].concat();
        let text = String::from_utf8_lossy(&text);
        let arguments = case.arguments;
        assert_eq!(
            output.status.code(),
            Some(case.code),
            "{arguments:?}: {text}"
        );
        assert!(text.contains(case.message), "{arguments:?}: {text}");
    }
}
