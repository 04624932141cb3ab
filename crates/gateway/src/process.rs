//! A gateway process from its start to its end.

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

use crate::entry::{self, Entry};
use crate::gateway::{Gateway, Stage};
use crate::ports::{Platform, StoreError};
use crate::settings::GatewaySettings;
use crate::{engines, ledger, peers, server, socket, watch};

/// Pause between attempts to write the node's entry.
const JOIN_PAUSE: Duration = Duration::from_millis(200);

/// Interval at which nodes that are gone for good are looked for.
const DEPARTURE_CHECK: Duration = Duration::from_secs(30);

/// Interval at which calls to the log are told.
const LOG_CALLS_INTERVAL: Duration = Duration::from_secs(10);

/// Interval at which a draining node looks whether it is done.
const DRAIN_CHECK: Duration = Duration::from_millis(100);

/// Reads settings anew; what has changed is logged by its reader.
pub type Reload = Box<dyn Fn() -> eyre::Result<GatewaySettings>>;

/// Runs a gateway until it is told to stop and has finished.
pub async fn run(
    settings: GatewaySettings,
    platform: Rc<dyn Platform>,
    reload: Reload,
) -> eyre::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hang_up = signal(SignalKind::hangup())?;
    let known = settings.clone();
    let node = start(settings, platform)?;
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hang_up.recv() => note_reload(&known, &reload),
        }
    }
    node.stop().await;
    Ok(())
}

/// A gateway that takes requests. Its tasks run on when this is dropped.
pub struct RunningGateway {
    gateway: Rc<Gateway>,
    gossip_socket: Rc<UdpSocket>,
}

/// Listens on every address of the settings and starts the gateway's tasks. Must be called within
/// an actix runtime. A port of 0 is replaced by the one that the system gives.
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
        actix_rt::spawn(entry::accept(gateway.clone(), listener, Entry::Platform));
    }
    if let Some(listener) = listeners.metrics {
        actix_rt::spawn(entry::accept(gateway.clone(), listener, Entry::Metrics));
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
    actix_rt::spawn(tell_log_calls(gateway.clone()));
    Ok(RunningGateway {
        gateway,
        gossip_socket,
    })
}

impl RunningGateway {
    /// The settings with the ports that the system gave.
    pub fn settings(&self) -> &GatewaySettings {
        &self.gateway.settings
    }

    /// Whether callers should be sent here.
    pub fn is_ready(&self) -> bool {
        self.gateway.is_ready()
    }

    /// Finishes what is under way, lets callers move on to other nodes, and returns.
    pub async fn stop(&self) {
        drain(&self.gateway, &self.gossip_socket).await;
        log::info!(in_flight = self.gateway.in_flight.get(); "stopped");
    }
}

/// The sockets of a gateway.
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
            callers: listen_if_given(&mut settings.callers)?,
            readiness: listen_if_given(&mut settings.readiness)?,
            registry: listen_if_given(&mut settings.registry)?,
            metrics: listen_for_metrics(settings),
            peers,
            gossip,
        })
    }
}

/// A process that cannot show its counters serves nevertheless.
fn listen_for_metrics(settings: &mut GatewaySettings) -> Option<TcpListener> {
    match listen_if_given(&mut settings.metrics) {
        Ok(listener) => listener,
        Err(error) => {
            log::error!(error = error.to_string().as_str(); "counters are not shown");
            None
        }
    }
}

fn listen_if_given(address: &mut Option<SocketAddr>) -> eyre::Result<Option<TcpListener>> {
    address.as_mut().map(listen_at).transpose()
}

fn listen_at(address: &mut SocketAddr) -> eyre::Result<TcpListener> {
    let listener = socket::listen(*address)
        .map_err(|error| eyre::eyre!("cannot listen at {address}: {error}"))?;
    *address = listener.local_addr()?;
    Ok(listener)
}

/// Writes the node's entry, whose position is its incarnation, and then follows the others.
async fn join(gateway: Rc<Gateway>, gossip_socket: Rc<UdpSocket>) {
    let before = read_entries_before(&gateway).await;
    let incarnation = write_entry(&gateway).await;
    let listed = u64::from(gateway.nodes.borrow().count());
    let written = incarnation.0.saturating_sub(before.map_or(0, |end| end.0));
    gateway.feed.begin(seems_small(listed, written));
    // Known after the entry is written: of two nodes that start together, one sees the other.
    let end = await_entries(&gateway, before).await;
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
    log::info!(incarnation = incarnation.0; "joined");
    gateway.reach_milestone(Milestone::Joined);
    drop_departed_nodes(gateway).await;
}

/// Waits until the entries of the other nodes are known: this node reads them, or hears of them from
/// one that does. Tells where they end.
async fn await_entries(gateway: &Rc<Gateway>, before: Option<Offset>) -> Offset {
    let feed = &gateway.feed;
    tokio::select! {
        () = feed.until_nodes_received() => feed.nodes_end().unwrap_or_default(),
        _ = feed.until_reading() => read_entries_since(gateway, before).await,
    }
}

/// Takes the entries that stand before this start writes its own, and notes whether there is one of
/// this machine. Tells where they end, `None` if they cannot be read.
async fn read_entries_before(gateway: &Rc<Gateway>) -> Option<Offset> {
    match watch::read_nodes(gateway, None).await {
        Ok(end) => {
            let own = &gateway.settings.node;
            if gateway.nodes.borrow().get(own).is_none() {
                gateway.quotas.borrow_mut().note_new_machine();
            }
            Some(end)
        }
        Err(error) => {
            log::warn!(error = error.to_string().as_str(); "whether this machine is new is not known");
            None
        }
    }
}

async fn write_entry(gateway: &Gateway) -> Incarnation {
    loop {
        match put_entry(gateway, false).await {
            Ok(incarnation) => return incarnation,
            Err(error) => {
                log::warn!(error = error.as_str(); "the node's entry cannot be written yet");
                actix_rt::time::sleep(JOIN_PAUSE).await;
            }
        }
    }
}

/// Takes the entries since an offset, or else the newest of all nodes.
async fn read_entries_since(gateway: &Rc<Gateway>, mut since: Option<Offset>) -> Offset {
    loop {
        match watch::read_nodes(gateway, since).await {
            Ok(end) => return end,
            Err(StoreError::Gone { .. }) => since = None,
            Err(error) => {
                log::warn!(error = error.to_string().as_str(); "the nodes' entries cannot be read yet");
                actix_rt::time::sleep(JOIN_PAUSE).await;
            }
        }
    }
}

/// Tells now and then how many calls to the log were made so far, by what for.
async fn tell_log_calls(gateway: Rc<Gateway>) {
    loop {
        actix_rt::time::sleep(LOG_CALLS_INTERVAL).await;
        let calls = gateway.metrics.log_calls_by_cause();
        let total: u64 = calls.values().sum();
        log::info!(total = total, calls:serde = calls; "calls to the log so far");
        let bytes = gateway.metrics.far_bytes.totals();
        let total: u64 = bytes.values().sum();
        if total > 0 {
            log::info!(total = total, bytes:serde = bytes; "bytes between zones so far");
        }
    }
}

/// Drops the entries of nodes that are gone for good, one node for all.
async fn drop_departed_nodes(gateway: Rc<Gateway>) {
    let mut departures = Departures::default();
    loop {
        actix_rt::time::sleep(DEPARTURE_CHECK).await;
        let departed = departures.update(gateway.now(), gateway.absent_nodes());
        // The node that should act for the first partition does this too.
        let candidates = gateway.peers.candidates(&gateway, PartitionId(0));
        if candidates.first() != Some(&gateway.settings.node) {
            continue;
        }
        for node in departed {
            let put = gateway
                .platform
                .put(Stream::Nodes, node.as_str(), Bytes::new());
            match put.await {
                Ok(_) => log::info!(node = node.as_str(); "entry of a departed node dropped"),
                Err(error) => {
                    log::warn!(node = node.as_str(), error = error.to_string().as_str(); "a departed node's entry cannot be dropped");
                }
            }
        }
    }
}

/// Writes this node's entry again after another node has dropped it by mistake.
pub(crate) async fn restore_entry(gateway: Rc<Gateway>) {
    while gateway.stage() == Stage::Serving {
        match put_entry(&gateway, false).await {
            Ok(_) => return,
            Err(error) => {
                log::warn!(error = error.as_str(); "the node's entry cannot be restored yet");
                actix_rt::time::sleep(JOIN_PAUSE).await;
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

/// Finishes what is under way and lets callers move on to other nodes.
async fn drain(gateway: &Rc<Gateway>, gossip_socket: &UdpSocket) {
    let started = Instant::now();
    log::info!(in_flight = gateway.in_flight.get(); "draining");
    gateway.stage.send_replace(Stage::Draining);
    gateway.peers.drain(gateway, gossip_socket);
    let telling = gateway.clone();
    actix_rt::spawn(async move {
        if let Err(error) = put_entry(&telling, true).await {
            log::warn!(error = error.as_str(); "the others were not told of the drain");
        }
    });
    let plan = DrainPlan::new(gateway.settings.grace);
    loop {
        match plan.step(started.elapsed(), gateway.in_flight.get()) {
            DrainStep::TakeRequests => {}
            DrainStep::Finish => close(gateway),
            DrainStep::End => break,
        }
        actix_rt::time::sleep(DRAIN_CHECK).await;
    }
    close(gateway);
}

/// Takes no new connection from now on, and closes those at rest.
fn close(gateway: &Gateway) {
    gateway.stage.send_if_modified(|stage| {
        let is_new = *stage != Stage::Closing;
        *stage = Stage::Closing;
        is_new
    });
}

fn note_reload(known: &GatewaySettings, reload: &Reload) {
    match reload() {
        Ok(settings) if settings == *known => {
            log::info!("settings read anew: nothing has changed");
        }
        Ok(_) => log::warn!("settings have changed; they take effect at the next start"),
        Err(error) => {
            log::error!(error = error.to_string().as_str(); "settings cannot be read anew; the old ones stay");
        }
    }
}
