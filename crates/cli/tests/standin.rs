//! The `elderworks-standin` binary, configured by a settings file or by flags alone.

use std::io::{BufRead, BufReader};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use awc::http::StatusCode;

/// Timeout of a request, far longer than any takes.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Child process that is killed when dropped.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        // Fails only if the process has exited already.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn command(arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_elderworks-standin"));
    command.args(arguments).stdout(Stdio::piped());
    command
}

/// Starts a stand-in and returns its base URL.
fn start(arguments: &[&str]) -> (Process, String) {
    let mut child = command(arguments).spawn().expect("the binary starts");
    let output = child.stdout.take().expect("piped");
    let process = Process(child);
    let mut line = String::new();
    BufReader::new(output).read_line(&mut line).expect("a line");
    let address = line.trim().strip_prefix("listening ").expect("the address");
    (process, format!("http://{address}"))
}

async fn status(url: &str) -> StatusCode {
    let client = awc::Client::builder().timeout(REQUEST_TIMEOUT).finish();
    client.get(url).send().await.expect("an answer").status()
}

#[actix_rt::test]
async fn every_service_starts_from_flags_alone() {
    let listen = ["--listen", "127.0.0.1:0"];
    let cases: [(&[&str], &str); 5] = [
        (&["log"], "/v1/streams/s/records"),
        (
            &[
                "engine",
                "--set",
                "id=e",
                "--set",
                "zone=z",
                "--set",
                "models=[\"m\"]",
            ],
            "/v1/state",
        ),
        (&["tool", "--set", "tools=[\"t\"]"], "/v1/invocations"),
        (&["machines"], "/v1/machines"),
        (&["weights"], "/v1/faults"),
    ];
    for (arguments, path) in cases {
        let (_process, url) = start(&[arguments, &listen].concat());
        assert_eq!(status(&format!("{url}/healthz")).await, StatusCode::OK);
        assert_eq!(
            status(&format!("{url}{path}")).await,
            StatusCode::OK,
            "{path}"
        );
    }
}

#[actix_rt::test]
async fn settings_file_configures_a_service() {
    let directory = env!("CARGO_TARGET_TMPDIR");
    let file = format!("{directory}/weights.toml");
    let text = "[weights]\nlisten = \"127.0.0.1:0\"\ninterval = \"5s\"\n\
        [[weights.models]]\nmodel = \"menu\"\nversion = \"1\"\nbytes = 7\n";
    std::fs::write(&file, text).expect("a file");
    let (_process, url) = start(&["weights", "--settings", &file]);
    assert_eq!(
        status(&format!("{url}/v1/weights/menu")).await,
        StatusCode::OK
    );
}

#[test]
fn invalid_flags_are_reported() {
    let cases: [&[&str]; 4] = [
        &["nothing"],
        &["log"],
        &["log", "--listen", "here"],
        &["log", "--listen", "127.0.0.1:0", "--set", "lisen=1"],
    ];
    for arguments in cases {
        let output = command(arguments)
            .stderr(Stdio::piped())
            .output()
            .expect("it runs");
        assert!(!output.status.success(), "{arguments:?}");
        assert!(!output.stderr.is_empty(), "{arguments:?}");
    }
}
