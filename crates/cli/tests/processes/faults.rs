//! Faults that tests inject into processes of the system.

use std::time::Instant;

use serde_json::{Value, json};

use crate::child::Process;
use crate::fleet::{Fleet, WAIT_TIMEOUT, start_sidecar};

/// Node that is paused by SIGSTOP.
pub struct PausedNode {
    name: String,
    process: Process,
}

impl Fleet {
    /// Sets the faults of the log, replacing all earlier ones.
    pub async fn set_log_faults(&self, faults: &Value) {
        self.set_faults(&self.log, faults).await;
    }

    /// Sets whether an engine reports that it is leaving.
    pub async fn set_engine_leaving(&self, index: usize, leave: bool) {
        let faults = json!({ "leave": leave });
        self.set_faults(&self.engines[index], &faults).await;
    }

    /// Sets the faults of a stand-in.
    async fn set_faults(&self, service: &Process, faults: &Value) {
        let url = format!("http://{}/v1/faults", service.listening());
        let response = self.client.put(url).send_json(faults).await;
        assert!(response.expect("faults answer").status().is_success());
    }

    /// Kills an engine by SIGKILL.
    pub fn kill_engine(&mut self, index: usize) {
        self.engines[index].kill();
    }

    /// Returns the number of answers that an engine reports to be generating.
    pub async fn engine_running(&self, index: usize) -> usize {
        let engine = self.engines[index].listening();
        let load = self.get(&format!("http://{engine}/v1/load")).await;
        let running = load["running"].as_u64().expect("a number");
        usize::try_from(running).expect("a small number")
    }

    /// Returns how often an engine stored blocks in its cache, which happens for every new prompt.
    pub async fn engine_stores(&self, index: usize) -> usize {
        let engine = self.engines[index].listening();
        let (mut last, mut stores) = (0, 0);
        loop {
            let url = format!("http://{engine}/v1/cache/events?after={last}");
            let reply = self.get(&url).await;
            let events = reply["events"].as_array().expect("a list");
            let Some(event) = events.last() else {
                return stores;
            };
            last = event["sequence"].as_u64().expect("a number");
            let is_store = |event: &&Value| event["change"]["stored"].is_array();
            stores += events.iter().filter(is_store).count();
        }
    }

    /// Waits until the tool has started an invocation, so that programs have calls in progress.
    pub async fn wait_for_execution(&self) {
        let started = Instant::now();
        while self.executions().await.is_empty() {
            assert!(started.elapsed() < WAIT_TIMEOUT, "the tool was never used");
        }
    }

    /// Sends SIGTERM to a node and returns without waiting for its exit.
    pub fn send_stop_signal(&mut self, name: &str) -> Process {
        let process = self.nodes.remove(name).expect("the node was running");
        process.signal("-TERM");
        process
    }

    /// Pauses a node by SIGSTOP.
    pub fn pause_node(&mut self, name: &str) -> PausedNode {
        let process = self.nodes.remove(name).expect("the node was running");
        process.signal("-STOP");
        PausedNode {
            name: name.to_owned(),
            process,
        }
    }

    /// Resumes a paused node by SIGCONT.
    pub fn resume_node(&mut self, node: PausedNode) {
        node.process.signal("-CONT");
        self.nodes.insert(node.name, node.process);
    }

    /// Starts a sidecar that is configured with one node only and waits until it is ready; returns
    /// its index.
    pub async fn start_sidecar_of(&mut self, node: &str) -> usize {
        let process = self.nodes.remove(node).expect("the node was running");
        let only = [(node.to_owned(), process)].into();
        self.sidecars
            .push(start_sidecar("sidecars/lublin.toml", &only));
        self.nodes.extend(only);
        let index = self.sidecars.len() - 1;
        self.wait_for(&(self.sidecar_url(index) + "/readyz")).await;
        index
    }
}
