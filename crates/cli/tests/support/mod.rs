//! Nodes and sidecars on loopback that share one stand-in log.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use elderworks_cli::verbs::ApiClient;
use elderworks_node::NodeHandle;
use elderworks_settings::{
    BearerToken, LoggingSettings, NodeLimits, NodeProcessSettings, SidecarLimits,
    SidecarProcessSettings,
};
use elderworks_sidecar::SidecarHandle;
use elderworks_standin::log::LogSettings;
use elderworks_standin::{ServerHandle, listen, log};

/// Loopback address with a port chosen by the system.
const LOOPBACK: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Timeout for every condition that a test waits for.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Stand-in log that nodes share.
pub struct Platform {
    log: ServerHandle,
}

impl Platform {
    pub fn start() -> Self {
        let listener = listen(LOOPBACK).expect("loopback has a free port");
        let log = log::serve(listener, LogSettings::default()).expect("the log starts");
        Self { log }
    }

    /// Starts a node and waits until it is ready; `seeds` are the gossip addresses of other nodes.
    pub async fn node(&self, name: &str, seeds: Vec<SocketAddr>) -> NodeHandle {
        let settings = NodeProcessSettings {
            name: name.into(),
            zone: "zone-a".into(),
            cell: None,
            listen: LOOPBACK,
            gossip: LOOPBACK,
            admin: LOOPBACK,
            seeds,
            log_url: self.log.url(),
            machines_url: None,
            partition_count: 2,
            operator_token: None,
            limits: NodeLimits::default(),
            logging: LoggingSettings::default(),
        };
        let node = elderworks_node::start(&settings)
            .await
            .expect("the node starts");
        let ready = tokio::time::timeout(WAIT_TIMEOUT, node.ready()).await;
        assert_eq!(ready, Ok(true), "{name} is not ready");
        node
    }

    pub async fn stop(self) {
        self.log.stop().await;
    }
}

/// Token of the only tenant, `lublin`.
const TENANT_TOKEN: &str = "lublin-token";

/// Starts a sidecar that is configured with one node.
pub fn sidecar(node: &NodeHandle) -> SidecarHandle {
    let settings = SidecarProcessSettings {
        listen: LOOPBACK,
        nodes: vec![node.address],
        zone: "zone-a".into(),
        default_program: None,
        tenants: [("lublin".into(), BearerToken::new(TENANT_TOKEN))].into(),
        limits: SidecarLimits::default(),
        logging: LoggingSettings::default(),
    };
    elderworks_sidecar::start(settings).expect("the sidecar starts")
}

/// Starts a run of a program, retrying until the sidecar and the owner are ready; returns its id.
pub async fn start_run(sidecar: &SidecarHandle, program: &str) -> String {
    let url = format!("http://{}/v1/runs", sidecar.address());
    let body = serde_json::json!({ "program": program });
    let started = async {
        loop {
            let request = awc::Client::default().post(&url).bearer_auth(TENANT_TOKEN);
            let response = request.send_json(&body).await;
            if let Ok(mut response) = response
                && response.status().is_success()
            {
                let reply: serde_json::Value = response.json().await.expect("JSON");
                return reply["id"].as_str().expect("an id").to_owned();
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    let started = tokio::time::timeout(WAIT_TIMEOUT, started).await;
    started.expect("the run is started")
}

/// Returns the base URL of a node's operator interface.
pub fn url(node: &NodeHandle) -> String {
    format!("http://{}", node.admin_address)
}

/// Creates a client of the given servers, separated by commas.
pub fn client(servers: &str) -> ApiClient {
    ApiClient::new(servers, None)
}
