//! Lifecycle of a gateway process.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use elderworks_gateway_core::departures::Departures;
use elderworks_gateway_core::drain::{DrainPlan, DrainStep};
use elderworks_gateway_core::feed::roles::seems_small;
use elderworks_gateway_core::log_streams::Stream;
use elderworks_gateway_core::nodes::NodeRecord;
use elderworks_gateway_core::start::Milestone;
use elderworks_protocol::encode;
use elderworks_types::{Incarnation, Offset, PartitionId};
use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::{SignalKind, signal};

use crate::endpoints::{self, Endpoints};
use crate::gateway::{Gateway, Stage};
use crate::ports::{Platform, StoreError};
use crate::settings::GatewaySettings;
use crate::{engines, ledger, peers, quota_records, server, socket, version_records, watch};

/// Pause between attempts to write the node's entry.
const ENTRY_RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Interval of checks for nodes that have departed permanently.
const DEPARTURE_CHECK_INTERVAL: Duration = Duration::from_secs(30);

/// Interval at which the numbers of log calls are logged.
const LOG_CALLS_INTERVAL: Duration = Duration::from_secs(10);

/// Interval at which a draining node checks its progress.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(25);

/// Reads the settings again. The implementation logs what has changed.
pub type Reload = Box<dyn Fn() -> eyre::Result<GatewaySettings>>;

/// Runs a gateway until it receives a termination signal, then drains it.
///
/// # Errors
///
/// Fails if the signal handlers can't be installed or the gateway can't be started.
pub async fn run(
    settings: GatewaySettings,
    platform: Rc<dyn Platform>,
    reload: Reload,
) -> eyre::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hang_up = signal(SignalKind::hangup())?;
    let current = settings.clone();
    let node = start(settings, platform)?;
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hang_up.recv() => report_reload(&current, &reload),
        }
    }
    node.stop().await;
    Ok(())
}

/// A running gateway. Its tasks continue when this is dropped.
pub struct RunningGateway {
    gateway: Rc<Gateway>,
    gossip_socket: Rc<UdpSocket>,
}

/// Listens on every address of the settings and starts the gateway's tasks. Must be called within
/// an actix runtime. A port of 0 in the settings is replaced by the port that the system assigns.
///
/// # Errors
///
/// Fails if a required address can't be listened on.
pub fn start(
    mut settings: GatewaySettings,
    platform: Rc<dyn Platform>,
) -> eyre::Result<RunningGateway> {
    let listeners = Listeners::bind(&mut settings)?;
    log::info!(
        node = settings.node.as_str(), zone = settings.zone.as_str(),
        partitions = settings.partitions, policy:serde = settings.policy;
        "starting"
    );
    let gateway = Gateway::new(settings, platform);
    let gossip_socket = Rc::new(UdpSocket::from_std(listeners.gossip)?);
    actix_rt::spawn(peers::accept_peers(gateway.clone(), listeners.peers));
    for listener in [listeners.readiness, listeners.registry]
        .into_iter()
        .flatten()
    {
        actix_rt::spawn(endpoints::accept(
            gateway.clone(),
            listener,
            Endpoints::Platform,
        ));
    }
    if let Some(listener) = listeners.metrics {
        actix_rt::spawn(endpoints::accept(
            gateway.clone(),
            listener,
            Endpoints::Metrics,
        ));
    }
    if let Some(listener) = listeners.callers {
        actix_rt::spawn(server::accept_callers(gateway.clone(), listener));
    }
    actix_rt::spawn(watch::follow_configuration(gateway.clone()));
    actix_rt::spawn(watch::prove_configuration(gateway.clone()));
    actix_rt::spawn(watch::follow_workers(gateway.clone()));
    actix_rt::spawn(ledger::prepare_partitions(gateway.clone()));
    actix_rt::spawn(peers::run_gossip(gateway.clone(), gossip_socket.clone()));
    actix_rt::spawn(join(gateway.clone(), gossip_socket.clone()));
    actix_rt::spawn(engines::read_engines(gateway.clone()));
    actix_rt::spawn(quota_records::keep_quota_records(gateway.clone()));
    actix_rt::spawn(version_records::keep_version_records(gateway.clone()));
    actix_rt::spawn(peers::prove_versions(gateway.clone()));
    actix_rt::spawn(log_call_counts(gateway.clone()));
    Ok(RunningGateway {
        gateway,
        gossip_socket,
    })
}

impl RunningGateway {
    /// Returns the settings with the assigned ports.
    pub fn settings(&self) -> &GatewaySettings {
        &self.gateway.settings
    }

    /// Returns whether callers should be sent to this node.
    pub fn is_ready(&self) -> bool {
        self.gateway.is_ready()
    }

    /// Drains the node: completes requests in progress and lets callers move to other nodes.
    pub async fn stop(&self) {
        drain(&self.gateway, &self.gossip_socket).await;
        log::info!(
            in_flight = self.gateway.in_flight.count(),
            of_partitions = self.gateway.ledger.work(); "stopped"
        );
    }
}

/// The listening sockets of a gateway.
struct Listeners {
    callers: Option<TcpListener>,
    readiness: Option<TcpListener>,
    registry: Option<TcpListener>,
    metrics: Option<TcpListener>,
    peers: TcpListener,
    gossip: std::net::UdpSocket,
}

impl Listeners {
    fn bind(settings: &mut GatewaySettings) -> eyre::Result<Self> {
        let peers = listen_at(&mut settings.peers)?;
        let gossip = std::net::UdpSocket::bind(settings.peers)?;
        gossip.set_nonblocking(true)?;
        Ok(Self {
            callers: listen_if_set(&mut settings.callers)?,
            readiness: listen_if_set(&mut settings.readiness)?,
            registry: listen_if_set(&mut settings.registry)?,
            metrics: listen_for_metrics(settings),
            peers,
            gossip,
        })
    }
}

/// Listens for metrics requests. A process that can't serve its metrics still serves requests.
fn listen_for_metrics(settings: &mut GatewaySettings) -> Option<TcpListener> {
    match listen_if_set(&mut settings.metrics) {
        Ok(listener) => listener,
        Err(error) => {
            log::error!(error = error.to_string().as_str(); "metrics are not served");
            None
        }
    }
}

fn listen_if_set(address: &mut Option<SocketAddr>) -> eyre::Result<Option<TcpListener>> {
    address.as_mut().map(listen_at).transpose()
}

fn listen_at(address: &mut SocketAddr) -> eyre::Result<TcpListener> {
    let listener = socket::listen(*address)
        .map_err(|error| eyre::eyre!("cannot listen on {address}: {error}"))?;
    *address = listener.local_addr()?;
    Ok(listener)
}

/// Writes the node's entry, whose offset is the node's incarnation, and then follows the other
/// nodes' entries.
async fn join(gateway: Rc<Gateway>, gossip_socket: Rc<UdpSocket>) {
    let before = read_earlier_entries(&gateway).await;
    let incarnation = write_entry(&gateway).await;
    let listed = u64::from(gateway.nodes.borrow().count());
    let written = incarnation.0.saturating_sub(before.map_or(0, |end| end.0));
    gateway.feed.start(seems_small(listed, written));
    // Read after the entry is written: of two nodes that start together, at least one sees the
    // other.
    let end = wait_for_entries(&gateway, before).await;
    actix_rt::spawn(watch::follow_nodes(gateway.clone(), end));
    let seeds = gateway
        .nodes
        .borrow()
        .iter()
        .map(|(_, known)| known.record.peer_address)
        .filter(|address| *address != gateway.settings.peers)
        .collect();
    let peers = &gateway.peers;
    peers.join(&gateway, &gossip_socket, incarnation, seeds);
    actix_rt::spawn(peers::catch_up(gateway.clone()));
    log::info!(incarnation = incarnation.0; "joined");
    gateway.reach_milestone(Milestone::Joined);
    remove_departed_nodes(gateway).await;
}

/// Waits until the entries of the other nodes are known, either from the log or from a node that
/// reads it. Returns the offset up to which they are known.
async fn wait_for_entries(gateway: &Rc<Gateway>, before: Option<Offset>) -> Offset {
    let feed = &gateway.feed;
    tokio::select! {
        () = feed.until_nodes_received() => feed.nodes_end().unwrap_or_default(),
        _ = feed.until_reading() => read_entries_since(gateway, before).await,
    }
}

/// Reads the entries written before this start, and records whether there is one of this machine.
/// Returns the offset up to which they were read, or `None` if they can't be read.
async fn read_earlier_entries(gateway: &Rc<Gateway>) -> Option<Offset> {
    match watch::read_nodes(gateway, None).await {
        Ok(end) => {
            let own = &gateway.settings.node;
            if gateway.nodes.borrow().count() == 0 {
                gateway
                    .workers
                    .borrow_mut()
                    .versions_mut()
                    .note_first_start();
            }
            if gateway.nodes.borrow().get(own).is_none() {
                gateway.quotas.borrow_mut().note_new_machine();
            }
            Some(end)
        }
        Err(error) => {
            log::warn!(error = error.to_string().as_str(); "cannot determine whether this machine is new");
            None
        }
    }
}

async fn write_entry(gateway: &Gateway) -> Incarnation {
    loop {
        match put_entry(gateway, false).await {
            Ok(incarnation) => return incarnation,
            Err(error) => {
                log::warn!(error = error.as_str(); "failed to write the node's entry; retrying");
                actix_rt::time::sleep(ENTRY_RETRY_INTERVAL).await;
            }
        }
    }
}

/// Reads the entries since an offset, or else the newest entry of every node.
async fn read_entries_since(gateway: &Rc<Gateway>, mut since: Option<Offset>) -> Offset {
    loop {
        match watch::read_nodes(gateway, since).await {
            Ok(end) => return end,
            Err(StoreError::Gone { .. }) => since = None,
            Err(error) => {
                log::warn!(error = error.to_string().as_str(); "failed to read the nodes' entries; retrying");
                actix_rt::time::sleep(ENTRY_RETRY_INTERVAL).await;
            }
        }
    }
}

/// Periodically logs the number of log calls by cause, and the bytes sent between zones.
async fn log_call_counts(gateway: Rc<Gateway>) {
    loop {
        actix_rt::time::sleep(LOG_CALLS_INTERVAL).await;
        let calls = gateway.metrics.log_calls_by_cause();
        let total: u64 = calls.values().sum();
        log::info!(total = total, calls:serde = calls; "log calls since start");
        let bytes = gateway.metrics.far_bytes.totals();
        let total: u64 = bytes.values().sum();
        if total > 0 {
            log::info!(total = total, bytes:serde = bytes; "bytes sent between zones since start");
        }
    }
}

/// Removes the entries of permanently departed nodes; one node does so for all.
async fn remove_departed_nodes(gateway: Rc<Gateway>) {
    let mut departures = Departures::default();
    loop {
        actix_rt::time::sleep(DEPARTURE_CHECK_INTERVAL).await;
        let departed = departures.update(gateway.now(), gateway.absent_nodes());
        // The node responsible for the first partition also does this.
        let candidates = gateway.peers.candidates(&gateway, PartitionId(0));
        if candidates.first() != Some(&gateway.settings.node) {
            continue;
        }
        for node in departed {
            let put = gateway
                .platform
                .put(Stream::Nodes, node.as_str(), Bytes::new());
            match put.await {
                Ok(_) => log::info!(node = node.as_str(); "removed the entry of a departed node"),
                Err(error) => {
                    log::warn!(node = node.as_str(), error = error.to_string().as_str(); "failed to remove the entry of a departed node");
                }
            }
        }
    }
}

/// Restores this node's entry after another node has removed it by mistake.
pub(crate) async fn restore_entry(gateway: Rc<Gateway>) {
    while gateway.stage() == Stage::Serving {
        match put_entry(&gateway, false).await {
            Ok(_) => return,
            Err(error) => {
                log::warn!(error = error.as_str(); "failed to restore the node's entry; retrying");
                actix_rt::time::sleep(ENTRY_RETRY_INTERVAL).await;
            }
        }
    }
}

async fn put_entry(gateway: &Gateway, draining: bool) -> Result<Incarnation, String> {
    let settings = &gateway.settings;
    let record = NodeRecord {
        callers_address: settings.callers.unwrap_or(settings.peers),
        peer_address: settings.peers,
        zone: settings.zone.as_str().to_owned(),
        region: settings.region.clone(),
        millicores: settings.millicores,
        draining,
        boot: gateway.ledger.boot(),
    };
    let value = encode(&record).into();
    let offset = gateway
        .platform
        .put(Stream::Nodes, settings.node.as_str(), value)
        .await
        .map_err(|error| error.to_string())?;
    Ok(Incarnation(offset.0))
}

/// Completes requests in progress and lets callers move to other nodes.
async fn drain(gateway: &Rc<Gateway>, gossip_socket: &UdpSocket) {
    let started = Instant::now();
    let plan = DrainPlan::new(gateway.settings.grace);
    log::info!(in_flight = gateway.in_flight.count(); "draining");
    gateway.aborts_at.set(Some(started + plan.abort_after()));
    gateway.stage.send_replace(Stage::Draining);
    gateway.peers.drain(gateway, gossip_socket);
    let announcing = gateway.clone();
    actix_rt::spawn(async move {
        if let Err(error) = put_entry(&announcing, true).await {
            log::warn!(error = error.as_str(); "failed to announce the drain to the other nodes");
        }
    });
    loop {
        let has_work = gateway.in_flight.count() > 0 || gateway.ledger.work() > 0;
        match plan.step(started.elapsed(), has_work) {
            DrainStep::TakeRequests => {}
            DrainStep::Finish => advance_stage(gateway, Stage::Closing),
            DrainStep::Abort => advance_stage(gateway, Stage::Aborting),
            DrainStep::End => break,
        }
        actix_rt::time::sleep(DRAIN_CHECK_INTERVAL).await;
    }
    advance_stage(gateway, Stage::Closing);
}

/// Moves on to a later stage, or stays in the present one if it is later still.
fn advance_stage(gateway: &Gateway, next: Stage) {
    gateway.stage.send_if_modified(|stage| {
        let is_new = *stage < next;
        *stage = next.max(*stage);
        is_new
    });
}

fn report_reload(current: &GatewaySettings, reload: &Reload) {
    match reload() {
        Ok(settings) if settings == *current => {
            log::info!("settings reloaded: no changes");
        }
        Ok(_) => log::warn!("settings have changed and take effect after a restart"),
        Err(error) => {
            log::error!(error = error.to_string().as_str(); "failed to reload settings; keeping the current ones");
        }
    }
}
