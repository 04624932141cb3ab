//! A gateway whose log output is not read keeps serving, and logs the number of dropped lines once
//! it is read again.

#[path = "../../../platform/tests/standin/mod.rs"]
mod standin;

use std::io::{BufRead, BufReader, Read};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use standin::caller::{Connection, Request};
use standin::platform::{
    Deployment, NodeEndpoints, SETTINGS_VARIABLE, reports_ready, settings_text_at,
};
use standin::worker::Behaviour;

/// Number of requests whose log lines exceed the capacity of the pipe and of the process's queue.
const REQUESTS: u32 = 6_000;

/// Interval at which conditions are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Returns ports at a loopback address derived from the process id, so that concurrent test
/// processes do not collide.
fn local_endpoints() -> NodeEndpoints {
    let process = std::process::id().to_be_bytes();
    NodeEndpoints {
        ip: Ipv4Addr::new(127, process[2] | 1, process[3], 77),
        callers: 7_301,
        readiness: 7_302,
        registry: 7_303,
        peers: 7_304,
    }
}

/// Gateway process and its settings file; dropping it kills the process and removes the file.
struct Gateway(Child, PathBuf);

impl Drop for Gateway {
    fn drop(&mut self) {
        // Fails if the process has exited already.
        let _ = self.0.kill();
        let _ = self.0.wait();
        let _ = std::fs::remove_file(&self.1);
    }
}

fn start(deployment: &Deployment, endpoints: NodeEndpoints) -> Gateway {
    let text = settings_text_at("n1", deployment.store.address, endpoints);
    let name = format!("elderworks-logs-{}.json", std::process::id());
    let settings = std::env::temp_dir().join(name);
    std::fs::write(&settings, text).expect("the settings file can be written");
    let child = Command::new(env!("CARGO_BIN_EXE_elderworks"))
        .arg("gateway")
        .env(SETTINGS_VARIABLE, &settings)
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .spawn()
        .expect("the gateway starts");
    Gateway(child, settings)
}

/// Reads the log up to the first report of dropped lines and returns their number.
fn dropped_lines(output: impl Read) -> u64 {
    for line in BufReader::new(output).lines() {
        let line = line.expect("the log is text");
        let entry: serde_json::Value = serde_json::from_str(&line).expect("each line is JSON");
        let message = entry["message"].as_str().unwrap_or_default();
        if message.starts_with("log lines dropped") {
            return entry["lines"].as_u64().expect("a number");
        }
    }
    panic!("the log ends without a report of dropped lines");
}

#[actix_rt::test]
async fn unread_log_output_does_not_block_requests() {
    let deployment = Deployment::start();
    let worker = deployment.worker("tools", "w1", &[Behaviour::Echo]);
    let endpoints = local_endpoints();
    let mut gateway = start(&deployment, endpoints);
    while !reports_ready(SocketAddr::from((endpoints.ip, endpoints.readiness))).await {
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
    let callers = SocketAddr::from((endpoints.ip, endpoints.callers));
    let mut connection = Connection::open(callers).await;
    for number in 0..REQUESTS {
        let request = Request::new("POST", "/once/x", &format!("r{number}"));
        assert_eq!(connection.exchange(&request).await.status, 200, "{number}");
    }
    assert_eq!(worker.runs().len(), REQUESTS as usize);
    let output = gateway.0.stdout.take().expect("stdout is piped");
    let reader = std::thread::spawn(move || dropped_lines(output));
    while !reader.is_finished() {
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
    let dropped = reader.join().expect("the log can be read");
    assert!(
        dropped > 0 && dropped < u64::from(REQUESTS),
        "{dropped} lines dropped"
    );
}
