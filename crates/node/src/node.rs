//! Starting and stopping a node.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::net::{TcpListener, UdpSocket};
use actix_rt::task::JoinHandle;
use actix_server::ServerHandle;
use elderworks_backend::HttpClient;
use elderworks_execution::ExecutionSettings;
use elderworks_node_core::{Event, NodeCore, NodeSettings};
use elderworks_settings::NodeProcessSettings;
use elderworks_types::CellId;
use rand::TryRngCore;
use rand::rngs::OsRng;
use tokio::sync::{mpsc, watch};

use crate::admin::{self, Admin};
use crate::clock::Clock;
use crate::counters::SharedCounters;
use crate::driver::{Driver, DriverIo, NodeStatus};
use crate::gossip::receive_datagrams;
use crate::input::{INPUT_QUEUE_CAPACITY, Input, InputSender};
use crate::listener::accept_connections;
use crate::machine_polls::poll_machines;
use crate::operator::{OperatorContext, OperatorHandle, operator_channel};

/// Time for queued messages to be written after the drain, before the process exits.
const FLUSH_TIME: Duration = Duration::from_millis(200);

/// Longest time that an operator's request waits for the state machine, including its log append.
const OPERATOR_REPLY_TIMEOUT: Duration = Duration::from_secs(10);

/// The reason why a node did not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// An address could not be bound.
    #[error("cannot listen on {address}: {error}")]
    Bind {
        /// The address from the settings.
        address: SocketAddr,
        /// The error of the operating system.
        error: std::io::Error,
    },
    /// The operating system returned no random bytes for the node's seed.
    #[error("no random bytes for the node's seed: {0}")]
    Random(String),
}

/// A running node. Dropping it stops the node immediately, without draining.
pub struct NodeHandle {
    /// Address that accepts connections from sidecars and peers.
    pub address: SocketAddr,
    /// Address that receives gossip datagrams.
    pub gossip_address: SocketAddr,
    /// Address that serves the operators' interface, metrics and health checks.
    pub admin_address: SocketAddr,
    inputs: InputSender,
    operator: OperatorHandle,
    status: watch::Receiver<NodeStatus>,
    admin: ServerHandle,
    tasks: Vec<JoinHandle<()>>,
}

impl NodeHandle {
    /// Returns a handle for operators' requests to the node.
    pub fn operator(&self) -> OperatorHandle {
        self.operator.clone()
    }

    /// Waits until the node is ready to serve. Returns `false` if it stopped first.
    pub async fn ready(&self) -> bool {
        let mut status = self.status.clone();
        status.wait_for(|status| status.ready).await.is_ok()
    }

    /// Drains the node: waits until it has handed over its work, then stops the listeners.
    pub async fn drain(self) {
        let _ = self.inputs.send(Input::Event(Box::new(Event::Drain))).await;
        let mut status = self.status.clone();
        let _ = status.wait_for(|status| status.drained).await;
        actix_rt::time::sleep(FLUSH_TIME).await;
        self.admin.stop(true).await;
    }
}

impl Drop for NodeHandle {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
        // The call sends the stop request; the returned future only waits for completion.
        drop(self.admin.stop(false));
    }
}

/// Binds the node's addresses and starts its tasks on the current actix system. With port 0 the
/// operating system chooses the port; the handle has the actual addresses.
///
/// # Errors
///
/// Returns an error if an address cannot be bound or no random bytes are available.
pub async fn start(settings: &NodeProcessSettings) -> Result<NodeHandle, StartError> {
    let clock = Clock::start();
    let counters = SharedCounters::default();
    let http = HttpClient::new();
    let sockets = Sockets::bind(settings).await?;
    let (inputs, queue) = mpsc::channel(INPUT_QUEUE_CAPACITY);
    let (status, status_receiver) = watch::channel(NodeStatus::default());
    let (operator, commands) = operator_channel();
    let admin_address = sockets.admin_address;
    let admin = Admin {
        operator: operator_context(settings, operator.clone()),
        inputs: inputs.clone(),
        status: status_receiver.clone(),
    };
    let admin = admin::serve(sockets.admin, admin).map_err(bind_error(admin_address))?;
    let core = NodeCore::new(core_settings(settings, &sockets.addresses)?);
    let io = DriverIo {
        http: http.clone(),
        log_url: settings.log_url.clone(),
        gossip: sockets.gossip.clone(),
        clock,
        counters: counters.clone(),
    };
    let driver = Driver::new(core, settings.name.clone(), io, inputs.clone(), status);
    let accepting = accept_connections(sockets.listener, inputs.clone(), counters.clone());
    let mut tasks = vec![
        actix_rt::spawn(driver.run(queue, commands)),
        actix_rt::spawn(accepting),
        actix_rt::spawn(receive_datagrams(sockets.gossip, inputs.clone(), counters)),
    ];
    if let Some(url) = settings.machines_url.clone() {
        tasks.push(actix_rt::spawn(poll_machines(http, url, inputs.clone())));
    }
    log::info!(node = settings.name.as_str(), address:% = sockets.addresses.listen; "node started");
    Ok(NodeHandle {
        address: sockets.addresses.listen,
        gossip_address: sockets.addresses.gossip,
        admin_address,
        inputs,
        operator,
        status: status_receiver,
        admin,
        tasks,
    })
}

/// Runs a node until SIGTERM or SIGINT, then drains it.
///
/// # Errors
///
/// Returns an error if the node does not start.
pub async fn run(settings: &NodeProcessSettings) -> Result<(), StartError> {
    let node = start(settings).await?;
    wait_for_stop_signal().await;
    log::info!("draining");
    node.drain().await;
    log::info!("drained");
    Ok(())
}

async fn wait_for_stop_signal() {
    use tokio::signal::unix::{SignalKind, signal};
    let terminate = signal(SignalKind::terminate());
    let interrupt = signal(SignalKind::interrupt());
    let (Ok(mut terminate), Ok(mut interrupt)) = (terminate, interrupt) else {
        // Without signal handlers the process can only be killed.
        return std::future::pending().await;
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}

fn operator_context(settings: &NodeProcessSettings, handle: OperatorHandle) -> OperatorContext {
    OperatorContext {
        handle,
        token: settings.operator_token.clone(),
        max_body_bytes: settings.limits.max_body_bytes,
        reply_timeout: OPERATOR_REPLY_TIMEOUT,
    }
}

/// Addresses after binding, with the actual ports.
struct BoundAddresses {
    listen: SocketAddr,
    gossip: SocketAddr,
}

struct Sockets {
    listener: TcpListener,
    gossip: Rc<UdpSocket>,
    admin: std::net::TcpListener,
    admin_address: SocketAddr,
    addresses: BoundAddresses,
}

impl Sockets {
    async fn bind(settings: &NodeProcessSettings) -> Result<Self, StartError> {
        let listener = TcpListener::bind(settings.listen)
            .await
            .map_err(bind_error(settings.listen))?;
        let listen = listener.local_addr().map_err(bind_error(settings.listen))?;
        let gossip = UdpSocket::bind(settings.gossip)
            .await
            .map_err(bind_error(settings.gossip))?;
        let gossip_address = gossip.local_addr().map_err(bind_error(settings.gossip))?;
        let admin =
            std::net::TcpListener::bind(settings.admin).map_err(bind_error(settings.admin))?;
        let admin_address = admin::bound_address(&admin).map_err(bind_error(settings.admin))?;
        Ok(Self {
            listener,
            gossip: Rc::new(gossip),
            admin,
            admin_address,
            addresses: BoundAddresses {
                listen,
                gossip: gossip_address,
            },
        })
    }
}

fn bind_error(address: SocketAddr) -> impl Fn(std::io::Error) -> StartError {
    move |error| StartError::Bind { address, error }
}

fn core_settings(
    settings: &NodeProcessSettings,
    addresses: &BoundAddresses,
) -> Result<NodeSettings, StartError> {
    let seed = OsRng
        .try_next_u64()
        .map_err(|error| StartError::Random(error.to_string()))?;
    Ok(NodeSettings {
        node: settings.name.clone(),
        zone: settings.zone.clone(),
        cell: CellId::new(settings.cell.as_deref().unwrap_or_default()),
        gossip_address: addresses.gossip,
        address: addresses.listen,
        seeds: settings.seeds.clone(),
        partition_count: settings.partition_count,
        seed,
        execution: ExecutionSettings {
            max_attempts: settings.limits.max_attempts,
            ..ExecutionSettings::default()
        },
    })
}
