//! Tests of the exit code and the last output line of `elderworks-lab simulate`.

use std::process::{Command, Output};

fn simulate(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_elderworks-lab"))
        .arg("simulate")
        .args(arguments)
        .output()
        .expect("the command starts")
}

fn last_line(output: &Output) -> String {
    let text = String::from_utf8_lossy(&output.stdout);
    text.lines().last().unwrap_or_default().to_owned()
}

#[test]
fn runs_without_a_violation_exit_0() {
    let output = simulate(&["--seeds", "0..3", "--faults", "none"]);
    assert_eq!(output.status.code(), Some(0));
    assert_eq!(last_line(&output), "3 runs, 0 violations");
}

#[test]
fn unknown_names_are_errors() {
    for arguments in [
        ["--seeds", "0..1", "--faults", "earthquake"],
        ["--seeds", "0..1", "--preset", "atlantis"],
        ["--seeds", "0..1", "--broken", "everything"],
    ] {
        let output = simulate(&arguments);
        assert_ne!(output.status.code(), Some(0), "{arguments:?}");
        assert!(output.stdout.is_empty(), "{arguments:?}");
    }
}

#[cfg(feature = "broken")]
#[test]
fn every_broken_variant_exits_1() {
    for variant in elderworks_simulation::broken::BrokenVariant::all() {
        let output = simulate(&["--seeds", "0..60", "--broken", variant.name]);
        assert_eq!(output.status.code(), Some(1), "{}", variant.name);
    }
}
