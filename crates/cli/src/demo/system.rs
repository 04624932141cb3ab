//! Components of the system that the demo runs in one process.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use elderworks_engine_model::EngineParameters;
use elderworks_node::NodeHandle;
use elderworks_platform_api::machines::{EngineMachine, MachineList, MachineState};
use elderworks_settings::{
    BearerToken, LoggingSettings, NodeLimits, NodeProcessSettings, SidecarLimits,
    SidecarProcessSettings,
};
use elderworks_sidecar::SidecarHandle;
use elderworks_standin::engine::{EngineSettings, with_speed};
use elderworks_standin::log::LogSettings;
use elderworks_standin::machines::MachinesSettings;
use elderworks_standin::tool::ToolServiceSettings;
use elderworks_standin::{ServerHandle, engine, listen, log, machines, tool};
use elderworks_types::{EngineId, ModelName, NodeId, TenantId, ZoneId};

use super::{LUBLIN_TOKEN, ULAANBAATAR_TOKEN};

/// Loopback address with a port chosen by the system.
const LOOPBACK: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Engine ids, as in the example resources.
pub const ENGINES: [&str; 3] = ["engine-a", "engine-b", "engine-c"];

/// Name of the model that the engines serve.
pub const MODEL: &str = "drafting-8b";

/// Speed of the stand-in engines relative to a real engine.
const ENGINE_SPEED: f64 = 4.0;

/// Zone of every component.
const ZONE: &str = "zone-a";

/// Number of partitions of the node's state.
const PARTITIONS: u32 = 4;

/// Timeout for the node and the sidecar to become ready.
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// Interval at which the sidecar's readiness is polled.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Handles of all components.
pub struct System {
    log: ServerHandle,
    engines: Vec<ServerHandle>,
    tool: ServerHandle,
    machines: ServerHandle,
    node: NodeHandle,
    sidecar: SidecarHandle,
}

impl System {
    /// Starts every component and waits until the sidecar is ready to serve callers.
    pub async fn start() -> eyre::Result<Self> {
        let log = log::serve(listen(LOOPBACK)?, LogSettings::default())?;
        let tool = tool::serve(listen(LOOPBACK)?, ToolServiceSettings::default())?;
        let engines = start_engines()?;
        let machines = machines::serve(listen(LOOPBACK)?, machine_list(&engines))?;
        let node = elderworks_node::start(&node_settings(&log, &machines)).await?;
        let sidecar = elderworks_sidecar::start(sidecar_settings(node.address))?;
        let system = Self {
            log,
            engines,
            tool,
            machines,
            node,
            sidecar,
        };
        tokio::time::timeout(START_TIMEOUT, system.wait_until_ready()).await??;
        Ok(system)
    }

    async fn wait_until_ready(&self) -> eyre::Result<()> {
        if !self.node.ready().await {
            eyre::bail!("the node stopped while starting");
        }
        let client = awc::Client::default();
        let url = format!("{}/readyz", self.sidecar_url());
        loop {
            let response = client.get(url.as_str()).send().await;
            if response.is_ok_and(|response| response.status().is_success()) {
                return Ok(());
            }
            actix_rt::time::sleep(READY_POLL_INTERVAL).await;
        }
    }

    /// Returns the names and addresses of the components.
    pub fn components(&self) -> Vec<(&'static str, String)> {
        let mut components = vec![
            ("log", self.log.url()),
            ("tool", self.tool.url()),
            ("machine list", self.machines.url()),
        ];
        components.extend(
            ENGINES
                .into_iter()
                .zip(self.engines.iter().map(ServerHandle::url)),
        );
        components.push(("node (sidecars, peers)", self.node.address.to_string()));
        components.push(("node (operators)", self.operator_url()));
        components.push(("sidecar", self.sidecar_url()));
        components
    }

    /// Returns the base URL of the sidecar's interface for callers.
    pub fn sidecar_url(&self) -> String {
        format!("http://{}", self.sidecar.address())
    }

    /// Returns the base URL of the node's interface for operators.
    pub fn operator_url(&self) -> String {
        format!("http://{}", self.node.admin_address)
    }

    /// Returns the base URL of the tool stand-in.
    pub fn tool_url(&self) -> String {
        self.tool.url()
    }

    /// Returns the base URL of an engine, or `None` if the demo does not run it.
    pub fn engine_url(&self, engine: &EngineId) -> Option<String> {
        let index = ENGINES.iter().position(|name| *name == engine.as_str())?;
        self.engines.get(index).map(ServerHandle::url)
    }

    /// Stops every component, starting with the sidecar, so that none loses a dependency.
    pub async fn stop(self) {
        self.sidecar.stop().await;
        self.node.drain().await;
        for server in self
            .engines
            .iter()
            .chain([&self.tool, &self.machines, &self.log])
        {
            server.stop().await;
        }
    }
}

fn start_engines() -> eyre::Result<Vec<ServerHandle>> {
    ENGINES
        .into_iter()
        .map(|name| {
            let mut settings = EngineSettings::new(EngineId::new(name));
            settings.models = vec![ModelName::new(MODEL)];
            settings.parameters = with_speed(EngineParameters::default(), ENGINE_SPEED);
            Ok(engine::serve(listen(LOOPBACK)?, settings)?)
        })
        .collect()
}

fn machine_list(engines: &[ServerHandle]) -> MachinesSettings {
    let machine = |(name, server): (&str, &ServerHandle)| EngineMachine {
        id: EngineId::new(name),
        zone: ZoneId::new(ZONE),
        url: server.url(),
        models: vec![ModelName::new(MODEL)],
        state: MachineState::Live,
    };
    MachinesSettings {
        lag: Duration::ZERO,
        machines: MachineList {
            engines: ENGINES.into_iter().zip(engines).map(machine).collect(),
            ..MachineList::default()
        },
    }
}

fn node_settings(log: &ServerHandle, machines: &ServerHandle) -> NodeProcessSettings {
    NodeProcessSettings {
        name: NodeId::new("node-a"),
        zone: ZoneId::new(ZONE),
        cell: None,
        listen: LOOPBACK,
        gossip: LOOPBACK,
        admin: LOOPBACK,
        seeds: Vec::new(),
        log_url: log.url(),
        machines_url: Some(machines.url()),
        partition_count: PARTITIONS,
        operator_token: None,
        limits: NodeLimits::default(),
        logging: LoggingSettings::default(),
    }
}

fn sidecar_settings(node: SocketAddr) -> SidecarProcessSettings {
    let tenants = [("lublin", LUBLIN_TOKEN), ("ulaanbaatar", ULAANBAATAR_TOKEN)];
    SidecarProcessSettings {
        listen: LOOPBACK,
        nodes: vec![node],
        zone: ZoneId::new(ZONE),
        default_program: None,
        tenants: tenants
            .map(|(tenant, token)| (TenantId::new(tenant), BearerToken::new(token)))
            .into(),
        limits: SidecarLimits::default(),
        logging: LoggingSettings::default(),
    }
}
