//! A gateway process whose log nobody reads goes on serving, and says afterwards what was lost.

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

/// Lines of these requests are more than a pipe and the process's own queue hold together.
const REQUESTS: u32 = 6_000;

/// Interval at which a wait looks again.
const LOOK: Duration = Duration::from_millis(20);

/// Ports at an address that no other test process of this machine has.
fn own_address() -> NodeEndpoints {
    let process = std::process::id().to_be_bytes();
    NodeEndpoints {
        ip: Ipv4Addr::new(127, process[2] | 1, process[3], 77),
        callers: 7_301,
        readiness: 7_302,
        registry: 7_303,
        peers: 7_304,
    }
}

/// A process that ends with the test, and its settings file.
struct Gateway(Child, PathBuf);

impl Drop for Gateway {
    fn drop(&mut self) {
        // It may have ended already.
        let _ = self.0.kill();
        let _ = self.0.wait();
        let _ = std::fs::remove_file(&self.1);
    }
}

fn start(deployment: &Deployment, own: NodeEndpoints) -> Gateway {
    let text = settings_text_at("n1", deployment.store.address, own);
    let name = format!("elderworks-logs-{}.json", std::process::id());
    let settings = std::env::temp_dir().join(name);
    std::fs::write(&settings, text).expect("a folder for temporary files");
    let child = Command::new(env!("CARGO_BIN_EXE_elderworks"))
        .arg("gateway")
        .env(SETTINGS_VARIABLE, &settings)
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .spawn()
        .expect("the program runs");
    Gateway(child, settings)
}

/// Number of lost lines that the log tells of, in all lines up to the first that does.
fn lost_lines(output: impl Read) -> u64 {
    for line in BufReader::new(output).lines() {
        let line = line.expect("a log of text");
        let entry: serde_json::Value = serde_json::from_str(&line).expect("a line of JSON");
        let message = entry["message"].as_str().unwrap_or_default();
        if message.starts_with("log lines dropped") {
            return entry["lines"].as_u64().expect("a number");
        }
    }
    panic!("the log ends without telling what was lost");
}

#[actix_rt::test]
async fn a_log_that_nobody_reads_holds_no_request_up() {
    let deployment = Deployment::start();
    let worker = deployment.worker("tools", "w1", &[Behaviour::Echo]);
    let own = own_address();
    let mut gateway = start(&deployment, own);
    while !reports_ready(SocketAddr::from((own.ip, own.readiness))).await {
        actix_rt::time::sleep(LOOK).await;
    }
    let callers = SocketAddr::from((own.ip, own.callers));
    let mut connection = Connection::open(callers).await;
    for number in 0..REQUESTS {
        let request = Request::new("POST", "/once/x", &format!("r{number}"));
        assert_eq!(connection.exchange(&request).await.status, 200, "{number}");
    }
    assert_eq!(worker.runs().len(), REQUESTS as usize);
    let output = gateway.0.stdout.take().expect("stdout is piped");
    let reading = std::thread::spawn(move || lost_lines(output));
    while !reading.is_finished() {
        actix_rt::time::sleep(LOOK).await;
    }
    let lost = reading.join().expect("the log can be read");
    assert!(lost > 0 && lost < u64::from(REQUESTS), "{lost} lines lost");
}
