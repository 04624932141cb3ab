//! The embedded system.

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

/// Any free port of the loopback interface.
const LOOPBACK: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Engines as in the example resources; the node has their addresses from there.
pub const ENGINES: [&str; 3] = ["engine-a", "engine-b", "engine-c"];

/// The model that the engines serve.
pub const MODEL: &str = "drafting-8b";

/// How much faster than a real engine the stand-ins run.
const ENGINE_SPEED: f64 = 4.0;

const ZONE: &str = "zone-a";

const PARTITIONS: u32 = 4;

/// Longest wait for the node and the sidecar to serve.
const START_TIMEOUT: Duration = Duration::from_secs(30);

const READY_INTERVAL: Duration = Duration::from_millis(20);

/// Every part of the system.
pub struct System {
    log: ServerHandle,
    engines: Vec<ServerHandle>,
    tool: ServerHandle,
    machines: ServerHandle,
    node: NodeHandle,
    sidecar: SidecarHandle,
}

impl System {
    /// Starts every part and waits until callers can be served.
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
            actix_rt::time::sleep(READY_INTERVAL).await;
        }
    }

    /// Names and addresses of the parts.
    pub fn parts(&self) -> Vec<(&'static str, String)> {
        let mut parts = vec![
            ("log", self.log.url()),
            ("tool", self.tool.url()),
            ("machine list", self.machines.url()),
        ];
        parts.extend(
            ENGINES
                .into_iter()
                .zip(self.engines.iter().map(ServerHandle::url)),
        );
        parts.push(("node (sidecars, peers)", self.node.address.to_string()));
        parts.push(("node (operators)", self.operator_url()));
        parts.push(("sidecar", self.sidecar_url()));
        parts
    }

    /// Base URL of the callers' interface.
    pub fn sidecar_url(&self) -> String {
        format!("http://{}", self.sidecar.address())
    }

    /// Base URL of the operators' interface.
    pub fn operator_url(&self) -> String {
        format!("http://{}", self.node.admin_address)
    }

    /// Base URL of the tool.
    pub fn tool_url(&self) -> String {
        self.tool.url()
    }

    /// Base URL of an engine.
    pub fn engine_url(&self, engine: &EngineId) -> Option<String> {
        let index = ENGINES.iter().position(|name| *name == engine.as_str())?;
        self.engines.get(index).map(ServerHandle::url)
    }

    /// Stops every part, callers' side first.
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
