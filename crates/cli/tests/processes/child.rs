//! Child processes of the system.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::Instant;

use crate::fleet::{POLL_INTERVAL, WAIT_TIMEOUT};

/// Running child process; killed when dropped.
pub struct Process {
    child: Child,
    addresses: Vec<(String, SocketAddr)>,
}

impl Process {
    /// Starts a program and reads the line in which it prints its listening addresses.
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

    /// Returns the address that the process printed under a name.
    pub fn address(&self, name: &str) -> SocketAddr {
        let found = self.addresses.iter().find(|(known, _)| known == name);
        found.unwrap_or_else(|| panic!("no {name} address")).1
    }

    /// Returns the main listening address.
    pub fn listening(&self) -> SocketAddr {
        self.address("listening")
    }

    /// Stops the process by SIGTERM and checks that it exits successfully.
    pub async fn stop(mut self) {
        self.signal("-TERM");
        self.wait_for_exit().await;
    }

    /// Waits until the process exits and checks that it exits successfully.
    pub async fn wait_for_exit(&mut self) {
        let started = Instant::now();
        while started.elapsed() < WAIT_TIMEOUT {
            if let Some(status) = self.status() {
                assert!(status.success(), "{status}");
                return;
            }
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
        panic!("the process did not stop");
    }

    /// Returns whether the process has not exited.
    pub fn is_running(&mut self) -> bool {
        self.status().is_none()
    }

    fn status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().expect("the process is our child")
    }

    /// Sends a signal, given as an option of `kill`.
    pub fn signal(&self, signal: &str) {
        let pid = self.child.id().to_string();
        let sent = Command::new("kill").args([signal, &pid]).status();
        assert!(sent.expect("kill runs").success());
    }

    /// Kills the process by SIGKILL.
    pub fn kill(&mut self) {
        self.child.kill().expect("the process was running");
        self.child.wait().expect("the process is our child");
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Fails if the process has exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns the path of the `elderworks` binary.
pub fn elderworks() -> PathBuf {
    PathBuf::from(env!("CARGO_BIN_EXE_elderworks"))
}

/// Returns the path of the `elderworks-standin` binary.
pub fn standin() -> PathBuf {
    PathBuf::from(env!("CARGO_BIN_EXE_elderworks-standin"))
}

/// Returns the path of a file under `examples/`.
pub fn example(path: &str) -> PathBuf {
    let examples = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    examples.join(path)
}
