//! Loading of settings files and flags, and the error messages for invalid ones.

use std::path::PathBuf;

use elderworks_settings::{
    NodeProcessSettings, Override, SettingsError, SidecarProcessSettings, check_file, load,
    load_with,
};

const NODE: &str = r#"
[node]
name = "node-a"
zone = "zone-a"
listen = "127.0.0.1:0"
gossip = "127.0.0.1:0"
admin = "127.0.0.1:0"
log_url = "http://127.0.0.1:7400"

[node.limits]
max_attempts = 3
"#;

const SIDECAR: &str = r#"
[sidecar]
listen = "127.0.0.1:0"
nodes = ["127.0.0.1:7101"]
zone = "zone-a"

[sidecar.tenants]
office = "office-token"

[sidecar.limits]
call_timeout = "5m"
"#;

/// Writes a file to the temporary directory that the tests share; `name` must be unique per test.
fn write(name: &str, text: &str) -> PathBuf {
    let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let path = directory.join(format!("{name}.toml"));
    std::fs::write(&path, text).expect("the directory is writable");
    path
}

#[test]
fn files_load_with_defaults() {
    let node: NodeProcessSettings = load(&write("node", NODE)).expect("valid settings");
    assert_eq!(node.name.as_str(), "node-a");
    assert_eq!(node.limits.max_attempts, 3);
    assert_eq!(node.partition_count, 64);
    let sidecar: SidecarProcessSettings = load(&write("sidecar", SIDECAR)).expect("valid settings");
    assert_eq!(sidecar.limits.call_timeout.as_secs(), 300);
    assert_eq!(
        check_file(&write("any", SIDECAR)).expect("valid settings"),
        "sidecar"
    );
}

#[test]
fn secrets_are_not_printed() {
    let sidecar: SidecarProcessSettings = load(&write("secret", SIDECAR)).expect("valid settings");
    assert!(!format!("{sidecar:?}").contains("office-token"));
}

#[test]
fn errors_name_the_line_and_suggest_a_key() {
    let cases = [
        (
            "zone = ",
            "zoen = ",
            ":4: unknown key `zoen`; did you mean `zone`?",
        ),
        (
            "max_attempts",
            "max_atempts",
            ":11: unknown key `max_atempts`; did you mean `max_attempts`?",
        ),
        (
            "max_attempts",
            "quite_other",
            ":11: unknown key `quite_other`; known keys: max_attempts",
        ),
        (
            "[node]",
            "[nod]",
            ":2: unknown key `nod`; did you mean `node`?",
        ),
        (
            "\"127.0.0.1:0\"\ngossip",
            "\"localhost\"\ngossip",
            ":5: invalid socket address",
        ),
        (
            "http://127.0.0.1:7400",
            "https://log",
            ": log_url: expected http://IP:port",
        ),
        (
            "max_attempts = 3",
            "max_attempts = 0",
            ": limits.max_attempts: must be at least 1",
        ),
        (
            "max_attempts = 3",
            "max_attempts = \"3\"",
            ":11: invalid type",
        ),
        ("[node]", "[node", ":2: "),
        (
            "[node.limits]",
            "[sidecar]",
            ":10: a file holds the table of one process only",
        ),
    ];
    for (index, (from, to, expected)) in cases.into_iter().enumerate() {
        let path = write(&format!("mistake-{index}"), &NODE.replace(from, to));
        let error = load::<NodeProcessSettings>(&path).expect_err("invalid settings");
        assert!(
            error.to_string().contains(expected),
            "`{error}` does not contain `{expected}`"
        );
    }
}

#[test]
fn invalid_sidecar_values_are_rejected() {
    let cases = [
        ("\"5m\"", "\"5 parsecs\"", ":11: "),
        (
            "\"5m\"",
            "\"0s\"",
            "limits.call_timeout: must be longer than zero",
        ),
        (
            "[\"127.0.0.1:7101\"]",
            "[]",
            "nodes: at least one node is needed",
        ),
        (
            "office = \"office-token\"",
            "office = \"same\"\nother = \"same\"",
            "tenants.other: another tenant has the same token",
        ),
    ];
    for (index, (from, to, expected)) in cases.into_iter().enumerate() {
        let path = write(
            &format!("sidecar-mistake-{index}"),
            &SIDECAR.replace(from, to),
        );
        let error = load::<SidecarProcessSettings>(&path).expect_err("invalid settings");
        assert!(
            error.to_string().contains(expected),
            "`{error}` does not contain `{expected}`"
        );
    }
}

#[test]
fn a_file_of_another_process_is_rejected() {
    let error =
        load::<NodeProcessSettings>(&write("other", SIDECAR)).expect_err("not a node's settings");
    assert!(matches!(
        error,
        SettingsError::WrongProcess {
            found: "sidecar",
            ..
        }
    ));
}

#[test]
fn flags_override_the_file() {
    let path = write("flags", NODE);
    let flags: Vec<Override> = ["zone=zone-b", "limits.max_attempts=7", "admin=127.0.0.1:9"]
        .iter()
        .map(|flag| flag.parse().expect("a valid flag"))
        .collect();
    let node: NodeProcessSettings = load_with(&path, &flags).expect("valid flags");
    assert_eq!(node.zone.as_str(), "zone-b");
    assert_eq!(node.limits.max_attempts, 7);
    assert_eq!(node.admin.port(), 9);
}

#[test]
fn errors_in_flags_name_the_flag() {
    let path = write("wrong-flag", NODE);
    let cases = [
        (
            "zoen=zone-b",
            "--set zoen=zone-b: unknown key `zoen`; did you mean `zone`?",
        ),
        ("name.first=a", "--set name.first=a: `name` is not a table"),
    ];
    for (flag, expected) in cases {
        let flags = [flag.parse().expect("key=value")];
        let error = load_with::<NodeProcessSettings>(&path, &flags).expect_err("an invalid flag");
        assert_eq!(error.to_string(), expected);
    }
    assert!("zone".parse::<Override>().is_err());
}
