//! Nodes over one stand-in log, on loopback.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use elderworks_cli::verbs::ApiClient;
use elderworks_node::NodeHandle;
use elderworks_settings::{LoggingSettings, NodeLimits, NodeProcessSettings};
use elderworks_standin::log::LogSettings;
use elderworks_standin::{ServerHandle, listen, log};

const LOOPBACK: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Bound on everything that a test waits for.
pub const PATIENCE: Duration = Duration::from_secs(60);

/// A log that nodes can join.
pub struct Platform {
    log: ServerHandle,
}

impl Platform {
    pub fn start() -> Self {
        let listener = listen(LOOPBACK).expect("loopback has a free port");
        let log = log::serve(listener, LogSettings::default()).expect("the log starts");
        Self { log }
    }

    /// Starts a node and waits until it is ready; `seeds` are gossip addresses of others.
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
        let ready = tokio::time::timeout(PATIENCE, node.ready()).await;
        assert_eq!(ready, Ok(true), "{name} is not ready");
        node
    }

    pub async fn stop(self) {
        self.log.stop().await;
    }
}

/// Base URL of a node's operators' interface.
pub fn url(node: &NodeHandle) -> String {
    format!("http://{}", node.admin_address)
}

/// A client that asks these servers.
pub fn client(servers: &str) -> ApiClient {
    ApiClient::new(servers, None)
}
