//! One process of the system.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::Instant;

use crate::fleet::{LOOK_INTERVAL, PATIENCE};

/// A running process; killed when dropped.
pub struct Process {
    child: Child,
    addresses: Vec<(String, SocketAddr)>,
}

impl Process {
    /// Starts a program and waits for the line in which it says where it listens.
    pub fn start(program: &Path, arguments: &[String]) -> Self {
        let mut child = Command::new(program)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()
            .unwrap_or_else(|error| panic!("{}: {error}", program.display()));
        let stdout = child.stdout.take().expect("stdout is piped");
        let mut line = String::new();
        BufReader::new(stdout)
            .read_line(&mut line)
            .expect("stdout is text");
        let words: Vec<&str> = line.split_whitespace().collect();
        let addresses = words
            .chunks_exact(2)
            .map(|pair| (pair[0].to_owned(), pair[1].parse().expect("an address")))
            .collect();
        Self { child, addresses }
    }

    /// The address that the process announced under a name.
    pub fn address(&self, name: &str) -> SocketAddr {
        let found = self.addresses.iter().find(|(known, _)| known == name);
        found.unwrap_or_else(|| panic!("no {name} address")).1
    }

    /// Where it listens.
    pub fn listening(&self) -> SocketAddr {
        self.address("listening")
    }

    /// Ends it by SIGTERM, and checks that it ends well.
    pub async fn stop(mut self) {
        self.signal("-TERM");
        self.wait_for_end().await;
    }

    /// Waits until it ends, and checks that it ends well.
    pub async fn wait_for_end(&mut self) {
        let started = Instant::now();
        while started.elapsed() < PATIENCE {
            if let Some(status) = self.status() {
                assert!(status.success(), "{status}");
                return;
            }
            actix_rt::time::sleep(LOOK_INTERVAL).await;
        }
        panic!("the process did not stop");
    }

    /// Whether it has not ended.
    pub fn is_running(&mut self) -> bool {
        self.status().is_none()
    }

    fn status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().expect("the process is our child")
    }

    /// Sends it a signal, named as `kill` takes it.
    pub fn signal(&self, signal: &str) {
        let pid = self.child.id().to_string();
        let sent = Command::new("kill").args([signal, &pid]).status();
        assert!(sent.expect("kill runs").success());
    }

    /// Ends it by SIGKILL.
    pub fn kill(&mut self) {
        self.child.kill().expect("the process was running");
        self.child.wait().expect("the process is our child");
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // It may have been killed already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The `elderworks` binary.
pub fn elderworks() -> PathBuf {
    PathBuf::from(env!("CARGO_BIN_EXE_elderworks"))
}

/// The `elderworks-standin` binary.
pub fn standin() -> PathBuf {
    PathBuf::from(env!("CARGO_BIN_EXE_elderworks-standin"))
}

/// A file under `examples/`.
pub fn example(path: &str) -> PathBuf {
    let examples = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    examples.join(path)
}
