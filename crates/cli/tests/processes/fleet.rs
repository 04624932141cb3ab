//! A complete system: log, machine list, tool, three engines, three nodes in three zones and two
//! sidecars.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Command;
use std::time::{Duration, Instant};

use elderworks_platform_api::machines::{MachineList, MachineState, NodeMachine};
use elderworks_types::{NodeId, ZoneId};
use serde_json::Value;

use crate::child::{Process, elderworks, example, standin};

/// Suffixes of the names of zones, nodes and engines.
const ZONES: [&str; 3] = ["a", "b", "c"];

/// Timeout for every condition that a test waits for.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(120);

/// Interval at which conditions are polled.
pub const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Loopback address with a port chosen by the system.
const ANY_PORT: &str = "127.0.0.1:0";

/// Sidecar setting with both tenants and their tokens, as in the example settings.
const TENANTS: &str =
    r#"tenants={ lublin = "lublin-example-token", ulaanbaatar = "ulaanbaatar-example-token" }"#;

/// All processes of the system.
pub struct Fleet {
    pub(super) nodes: BTreeMap<String, Process>,
    pub(super) sidecars: Vec<Process>,
    tool: Process,
    pub(super) engines: Vec<Process>,
    machines: Process,
    pub(super) log: Process,
    pub(super) client: awc::Client,
}

impl Fleet {
    /// Starts all processes, applies the example resources and waits until the system is ready.
    pub async fn start() -> Self {
        Self::start_with_tool(&[]).await
    }

    /// Does the same as [`Fleet::start`], with overridden settings of the tool.
    pub async fn start_with_tool(overrides: &[&str]) -> Self {
        let log = start_standin("log", "platform/log.toml", &[]);
        let machines = start_standin("machines", "platform/machines.toml", &["nodes=[]"]);
        let tool = start_standin("tool", "platform/tool.toml", overrides);
        let engines = ZONES
            .map(|zone| start_standin("engine", &format!("platform/engine-{zone}.toml"), &[]))
            .into();
        let nodes = start_nodes(&log, &machines);
        let sidecars = vec![
            start_sidecar("sidecars/lublin.toml", &nodes),
            start_sidecar("sidecars/ulaanbaatar.toml", &nodes),
        ];
        let fleet = Self {
            nodes,
            sidecars,
            tool,
            engines,
            machines,
            log,
            client: awc::Client::default(),
        };
        fleet.list_machines().await;
        fleet.wait_until_ready().await;
        fleet.apply_resources();
        fleet.wait_for_programs().await;
        fleet
    }

    /// Returns the base URL of a sidecar.
    pub fn sidecar_url(&self, index: usize) -> String {
        format!("http://{}", self.sidecars[index].listening())
    }

    /// Returns the names of the running nodes.
    pub fn node_names(&self) -> Vec<String> {
        self.nodes.keys().cloned().collect()
    }

    /// Kills a node by SIGKILL.
    pub fn kill_node(&mut self, name: &str) {
        let mut node = self.nodes.remove(name).expect("the node was running");
        node.kill();
    }

    /// Returns the name of the node that owns a run, according to the nodes.
    pub async fn owner(&self, run: &str) -> String {
        let started = Instant::now();
        while started.elapsed() < WAIT_TIMEOUT {
            for (name, node) in &self.nodes {
                let url = format!("http://{}/apis/v1/runs/{run}", node.address("admin"));
                if self.is_ok(&url).await {
                    return name.clone();
                }
            }
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
        panic!("no node owns {run}");
    }

    /// Stops a node by SIGTERM and waits until it exits.
    pub async fn stop_node(&mut self, name: &str) {
        let node = self.nodes.remove(name).expect("the node was running");
        node.stop().await;
    }

    /// Stops a sidecar by SIGTERM and waits until it exits.
    pub async fn stop_sidecar(&mut self, index: usize) {
        self.sidecars.remove(index).stop().await;
    }

    /// Waits until the first call of a run is open.
    pub async fn wait_for_open_call(&self, run: &str) {
        let admin = self.nodes[&self.owner(run).await].address("admin");
        let url = format!("http://{admin}/apis/v1/runs/{run}");
        let started = Instant::now();
        while started.elapsed() < WAIT_TIMEOUT {
            let report = self.get(&url).await;
            if report["status"]["calls"][0]["outcome"] == "open" {
                return;
            }
        }
        panic!("{run} has no open call");
    }

    /// Fetches a JSON document.
    pub(super) async fn get(&self, url: &str) -> Value {
        let mut response = self.client.get(url).send().await.expect("an answer");
        let body = response.body().await.expect("the body is complete");
        serde_json::from_slice(&body).expect("JSON")
    }

    /// Returns the number of invocations by tool and marker.
    pub async fn executions(&self) -> BTreeMap<(String, String), usize> {
        let url = format!("http://{}/v1/invocations", self.tool.listening());
        let listed = self.get(&url).await;
        let mut counts = BTreeMap::new();
        for execution in listed["executions"].as_array().expect("a list") {
            let text = |value: &Value| value.as_str().expect("text").to_owned();
            let tool = text(&execution["tool"]);
            let marker = text(&execution["arguments"]["marker"]);
            *counts.entry((tool, marker)).or_default() += 1;
        }
        counts
    }

    /// Writes the nodes and their addresses to the machine list.
    async fn list_machines(&self) {
        let machine = |(name, node): (&String, &Process)| NodeMachine {
            id: NodeId::new(name),
            zone: ZoneId::new(name.replace("node", "zone")),
            address: node.listening().to_string(),
            state: MachineState::Live,
        };
        let list = MachineList {
            nodes: self.nodes.iter().map(machine).collect(),
            ..MachineList::default()
        };
        let url = format!("http://{}/v1/machines", self.machines.listening());
        let response = self.client.put(url).send_json(&list).await;
        assert!(
            response
                .expect("the machine list responds")
                .status()
                .is_success()
        );
    }

    async fn wait_until_ready(&self) {
        let mut urls: Vec<String> = self
            .nodes
            .values()
            .map(|node| format!("http://{}/readyz", node.address("admin")))
            .collect();
        urls.extend((0..self.sidecars.len()).map(|index| self.sidecar_url(index) + "/readyz"));
        for url in urls {
            self.wait_for(&url).await;
        }
    }

    /// Waits until every node knows the applied programs.
    async fn wait_for_programs(&self) {
        for node in self.nodes.values() {
            for program in ["boundary-correction", "weekly-menu"] {
                let admin = node.address("admin");
                let url = format!("http://{admin}/apis/v1/programs/{program}");
                self.wait_for(&url).await;
            }
        }
    }

    /// Waits until a URL responds with success.
    pub(super) async fn wait_for(&self, url: &str) {
        let started = Instant::now();
        while started.elapsed() < WAIT_TIMEOUT {
            if self.is_ok(url).await {
                return;
            }
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
        panic!("{url} did not become ready");
    }

    async fn is_ok(&self, url: &str) -> bool {
        let response = self.client.get(url).send().await;
        response.is_ok_and(|response| response.status().is_success())
    }

    /// Applies the example resources with `elderworks apply`.
    fn apply_resources(&self) {
        let admin = self.nodes["node-a"].address("admin");
        for name in ["services", "boundary-correction", "weekly-menu"] {
            let file = self.with_real_addresses(name);
            let status = Command::new(elderworks())
                .args(["--server", &format!("http://{admin}"), "apply", "-f"])
                .arg(&file)
                .status()
                .expect("elderworks runs");
            assert!(status.success(), "{name} was not applied");
        }
    }

    /// Copies an example resource file with the fixed addresses replaced by those of the running
    /// back ends; returns the path of the copy.
    fn with_real_addresses(&self, name: &str) -> PathBuf {
        let path = example(&format!("resources/{name}.yaml"));
        let mut text = std::fs::read_to_string(path).expect("the example is there");
        for (engine, port) in self.engines.iter().zip(7501..) {
            let example: SocketAddr = ([127, 0, 0, 1], port).into();
            text = text.replace(&example.to_string(), &engine.listening().to_string());
        }
        text = text.replace("127.0.0.1:7600", &self.tool.listening().to_string());
        let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
        // Tests run concurrently; the log's port makes the file name unique.
        let fleet = self.log.listening().port();
        let copy = directory.join(format!("{name}-{fleet}.yaml"));
        std::fs::write(&copy, text).expect("the directory is writable");
        copy
    }
}

/// Adds setting overrides to command line arguments.
fn add_overrides(arguments: &mut Vec<String>, overrides: &[&str]) {
    for change in overrides {
        arguments.extend(["--set".to_owned(), (*change).to_owned()]);
    }
}

fn start_standin(service: &str, file: &str, overrides: &[&str]) -> Process {
    let file = example(file).display().to_string();
    let mut arguments: Vec<String> = [service, "--settings", &file, "--listen", ANY_PORT]
        .map(str::to_owned)
        .into();
    add_overrides(&mut arguments, overrides);
    Process::start(&standin(), &arguments)
}

fn start_nodes(log: &Process, machines: &Process) -> BTreeMap<String, Process> {
    let mut nodes: BTreeMap<String, Process> = BTreeMap::new();
    for zone in ZONES {
        let seeds: Vec<String> = nodes
            .values()
            .map(|node| format!("{:?}", node.address("gossip").to_string()))
            .collect();
        let mut arguments = vec!["node".to_owned()];
        let overrides = [
            format!("listen={ANY_PORT}"),
            format!("gossip={ANY_PORT}"),
            format!("admin={ANY_PORT}"),
            format!("seeds=[{}]", seeds.join(",")),
            format!("log_url=http://{}", log.listening()),
            format!("machines_url=http://{}", machines.listening()),
        ];
        add_overrides(&mut arguments, &overrides.each_ref().map(String::as_str));
        let file = example(&format!("nodes/node-{zone}.toml"));
        arguments.push(file.display().to_string());
        let node = Process::start(&elderworks(), &arguments);
        nodes.insert(format!("node-{zone}"), node);
    }
    nodes
}

pub(super) fn start_sidecar(file: &str, nodes: &BTreeMap<String, Process>) -> Process {
    let known: Vec<String> = nodes
        .values()
        .map(|node| format!("{:?}", node.listening().to_string()))
        .collect();
    let mut arguments = vec!["sidecar".to_owned()];
    let listen = format!("listen={ANY_PORT}");
    let known = format!("nodes=[{}]", known.join(","));
    add_overrides(&mut arguments, &[&listen, &known, TENANTS]);
    arguments.push(example(file).display().to_string());
    Process::start(&elderworks(), &arguments)
}
