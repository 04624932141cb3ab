//! The processes of one round, with proxies between them and what they use.

use std::fs::File;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use crate::proxy::Proxy;
use crate::standin::caller::Request;
use crate::standin::platform::{
    Deployment, NodeEndpoints, SETTINGS_VARIABLE, reports_ready, settings_text_at,
};
use crate::standin::worker::{Behaviour, Worker};

/// Most gateway processes of a usual round; each seed has its own number.
const USUAL_NODES: usize = 7;

/// Fewest.
const FEWEST_NODES: usize = 2;

/// Gateway processes of a large round.
const MOST_NODES: usize = 24;

/// One seed in so many plays a large round.
const LARGE_ROUNDS: u64 = 10;

/// Fleets of one test process that have addresses of their own.
const PLACES: usize = 10;

/// Fleets started so far by this test process.
static FLEETS: AtomicUsize = AtomicUsize::new(0);

/// Workers of each service.
const WORKERS: usize = 3;

/// Events of each stream.
pub const EVENTS: u32 = 5;

/// Pause between two events, in ms.
const EVENT_PAUSE: u64 = 15;

/// Ports of each process; it has an address of its own, so they meet no other's.
const FIRST_PORT: u16 = 7_301;

/// Longest wait for a process's counters.
const METRICS_PATIENCE: Duration = Duration::from_secs(5);

/// The counter of the most memory held.
const PEAK_HELD: &str = "elderworks_gateway_held_peak_bytes";

/// Interval at which a wait looks again.
const LOOK: Duration = Duration::from_millis(50);

/// Looks before a wait is given up: half a minute.
const LOOKS: u32 = 600;

/// One gateway process.
pub struct Node {
    name: String,
    own: NodeEndpoints,
    folder: PathBuf,
    child: Option<Child>,
    /// Between the process and the store.
    pub store_link: Proxy,
}

impl Node {
    pub fn callers(&self) -> SocketAddr {
        SocketAddr::from((self.own.ip, self.own.callers))
    }

    /// Where its counters are shown: the last of the ports for what nodes say to each other.
    fn metrics(&self) -> SocketAddr {
        SocketAddr::from((self.own.ip, self.own.peers + 2))
    }

    fn readiness(&self) -> SocketAddr {
        SocketAddr::from((self.own.ip, self.own.readiness))
    }

    /// Starts the process unless it runs.
    pub fn start(&mut self) {
        if self.is_running() {
            return;
        }
        let settings = self.folder.join(format!("{}.json", self.name));
        let text = settings_text_at(&self.name, self.store_link.address, self.own);
        std::fs::write(&settings, text).expect("a folder for the round");
        let log = self.folder.join(format!("{}.log", self.name));
        let output = File::options()
            .create(true)
            .append(true)
            .open(log)
            .expect("a log");
        let child = Command::new(env!("CARGO_BIN_EXE_elderworks"))
            .arg("gateway")
            .env(SETTINGS_VARIABLE, settings)
            .stdin(Stdio::null())
            .stdout(output.try_clone().expect("a log"))
            .stderr(output)
            .spawn()
            .expect("the program runs");
        self.child = Some(child);
    }

    fn is_running(&mut self) -> bool {
        let ended = self
            .child
            .as_mut()
            .is_none_or(|child| child.try_wait().expect("our child").is_some());
        !ended
    }

    /// Ends the process as a loss of power does.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // It may have ended already.
            let _ = child.kill();
            child.wait().expect("our child");
        }
    }

    /// Sends a signal, named as `kill` takes it.
    pub fn signal(&mut self, signal: &str) {
        if !self.is_running() {
            return;
        }
        let Some(child) = &self.child else { return };
        let id = child.id().to_string();
        let sent = Command::new("kill").args([signal, &id]).status();
        assert!(sent.expect("kill runs").success());
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

/// How many processes a seed plays with.
fn node_count(seed: u64) -> usize {
    if seed.is_multiple_of(LARGE_ROUNDS) {
        return MOST_NODES;
    }
    let sizes = USUAL_NODES - FEWEST_NODES + 1;
    FEWEST_NODES + usize::try_from(seed % 97).expect("a small number") % sizes
}

/// A worker with the proxy in front of it.
pub struct ReachedWorker {
    pub worker: Worker,
    pub service: &'static str,
    pub link: Proxy,
}

impl ReachedWorker {
    /// What it does when nothing is wrong.
    pub fn well_behaved(&self) -> Behaviour {
        if self.service == ENGINES {
            Behaviour::Events {
                count: EVENTS,
                pause: EVENT_PAUSE,
            }
        } else {
            Behaviour::Echo
        }
    }
}

const ENGINES: &str = "engines";
const TOOLS: &str = "tools";

/// Everything that takes part in a round.
pub struct Fleet {
    pub deployment: Deployment,
    pub nodes: Vec<Node>,
    pub workers: Vec<ReachedWorker>,
    folder: PathBuf,
    /// Differs between fleets of one test process that run at the same time.
    place: usize,
}

impl Fleet {
    /// Starts everything and waits until every node is ready.
    pub async fn start(seed: u64) -> Self {
        let folder =
            std::env::temp_dir().join(format!("elderworks-soak-{}-{seed}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder for the round");
        let deployment = Deployment::start();
        let mut fleet = Self {
            workers: Vec::new(),
            nodes: Vec::new(),
            folder,
            deployment,
            place: FLEETS.fetch_add(1, Ordering::Relaxed) % PLACES,
        };
        for service in [ENGINES, TOOLS] {
            for number in 0..WORKERS {
                fleet.add_worker(service, &format!("{service}-{number}"));
            }
        }
        for number in 0..node_count(seed) {
            let node = fleet.new_node(number);
            fleet.nodes.push(node);
        }
        for node in &mut fleet.nodes {
            node.start();
        }
        fleet.wait_until_ready().await;
        fleet
    }

    /// Where the processes' logs lie.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    fn add_worker(&mut self, service: &'static str, id: &str) {
        let worker = Worker::start(id, &[]);
        let link = Proxy::start(worker.address);
        let reached = ReachedWorker {
            worker,
            service,
            link,
        };
        reached.worker.set_behaviour(reached.well_behaved());
        self.list(&reached, "ready");
        self.workers.push(reached);
    }

    /// Writes a worker's record.
    pub fn list(&self, worker: &ReachedWorker, phase: &str) {
        let record = worker
            .worker
            .record_at(worker.link.address, worker.service, phase);
        let store = &self.deployment.store;
        store.put_worker(&worker.worker.id, &record);
    }

    fn new_node(&self, number: usize) -> Node {
        let process = std::process::id().to_be_bytes();
        let host = 2 + self.place * MOST_NODES + number;
        let host = u8::try_from(host).expect("few nodes in few places");
        let ip = Ipv4Addr::new(127, process[2] | 1, process[3], host);
        let own = NodeEndpoints {
            ip,
            callers: FIRST_PORT,
            readiness: FIRST_PORT + 1,
            registry: FIRST_PORT + 2,
            peers: FIRST_PORT + 3,
        };
        Node {
            name: format!("node-{number}"),
            own,
            folder: self.folder.clone(),
            child: None,
            store_link: Proxy::start(self.deployment.store.address),
        }
    }

    /// The most that a process has held for callers, workers and peers since its last start.
    pub async fn peak_held(&self) -> usize {
        let mut peak = 0;
        for node in &self.nodes {
            let request = Request::new("GET", "/metrics", "m");
            let answer = request.try_send(node.metrics(), METRICS_PATIENCE).await;
            let text = answer.expect("counters are shown").body;
            let line = text.lines().find_map(|line| line.strip_prefix(PEAK_HELD));
            let held = line.and_then(|value| value.trim().parse().ok());
            peak = peak.max(held.expect("the peak is among them"));
        }
        peak
    }

    /// Waits until every node says that it is ready.
    pub async fn wait_until_ready(&self) {
        for node in &self.nodes {
            let mut looks = 0;
            while !reports_ready(node.readiness()).await {
                looks += 1;
                assert!(looks < LOOKS, "{} is never ready", node.name);
                actix_rt::time::sleep(LOOK).await;
            }
        }
    }
}
