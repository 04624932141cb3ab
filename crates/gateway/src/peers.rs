//! The other nodes: who seems alive, and connections to ask them for what they own.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use elderworks_membership::{Effect, Event, Membership, MembershipSettings};
use elderworks_protocol::gossip::{Datagram, MemberState};
use elderworks_protocol::ledger::{LedgerFrame, LedgerReply, LedgerRequest};
use elderworks_protocol::{decode, encode, frame, split_frame};
use elderworks_types::{CellId, Incarnation, NodeId, PartitionId};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::mpsc;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::buffered::{self, Receiver, Sender};
use crate::gateway::Gateway;
use crate::ledger;
use crate::settings::GatewaySettings;
use crate::socket;

/// Interval of the failure detector's probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// A probe unanswered for this long is sent round by others.
const PROBE_TIMEOUT: Duration = Duration::from_millis(150);

/// A suspect that has not refuted for this long is dead.
const SUSPICION_TIMEOUT: Duration = Duration::from_millis(1_500);

/// A node that left a request without a reply is not asked for this long.
const AVOIDANCE: Duration = Duration::from_secs(1);

/// Largest datagram that UDP carries.
const DATAGRAM_BYTES: usize = 64 * 1024;

/// Pause after a failed receive.
const RECEIVE_BACKOFF: Duration = Duration::from_millis(50);

/// Longest wait for a sign that a request has arrived. A node that shows none is taken for gone.
const ARRIVAL_TIMEOUT: Duration = Duration::from_millis(400);

/// Longest wait for the reply to a request that has arrived: the log may be slow.
const REPLY_TIMEOUT: Duration = Duration::from_millis(1_500);

/// A request that is not replied to within this time is said to have arrived.
const SAY_ARRIVED_AFTER: Duration = Duration::from_millis(40);

/// Why a node has not replied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NoReply {
    /// It cannot be reached, or shows no sign of life.
    Gone,
    /// The request has arrived, and its reply takes too long.
    TooSlow,
}

/// What is heard of a request.
enum News {
    Arrived,
    Replied(LedgerReply),
}

type Pending = Rc<RefCell<HashMap<u64, mpsc::UnboundedSender<News>>>>;

/// A connection to another node with the requests that wait for its replies.
#[derive(Clone, Debug)]
struct Link {
    frames: mpsc::UnboundedSender<Bytes>,
    pending: Pending,
}

/// The other nodes.
#[derive(Debug)]
pub(crate) struct Peers {
    own: NodeId,
    membership: RefCell<Option<Membership>>,
    links: RefCell<HashMap<NodeId, Link>>,
    avoided: RefCell<HashMap<NodeId, Instant>>,
}

impl Peers {
    /// Knows no other node yet.
    pub(crate) fn new(settings: &GatewaySettings) -> Self {
        Self {
            own: settings.node.clone(),
            membership: RefCell::default(),
            links: RefCell::default(),
            avoided: RefCell::default(),
        }
    }

    /// Whether another node answers probes and is not leaving.
    pub(crate) fn is_alive(&self, node: &NodeId) -> bool {
        let membership = self.membership.borrow();
        let Some(membership) = membership.as_ref() else {
            return false;
        };
        membership
            .members()
            .any(|member| member.update.node == *node && member.update.state == MemberState::Alive)
    }

    /// Nodes that should own a partition, the foremost first.
    pub(crate) fn candidates(&self, partition: PartitionId) -> Vec<NodeId> {
        let avoided = self.avoided.borrow();
        let now = Instant::now();
        let is_avoided = |node: &NodeId| avoided.get(node).is_some_and(|until| *until > now);
        let membership = self.membership.borrow();
        let mut nodes: Vec<NodeId> = match membership.as_ref() {
            Some(membership) => membership
                .members()
                .filter(|member| member.update.state == MemberState::Alive)
                .map(|member| member.update.node.clone())
                .filter(|node| !is_avoided(node))
                .collect(),
            None => Vec::new(),
        };
        let weight =
            |node: &NodeId| xxh3_64_with_seed(node.as_str().as_bytes(), u64::from(partition.0));
        nodes.sort_by_key(|node| std::cmp::Reverse(weight(node)));
        nodes
    }

    /// Asks no ledger requests of a node for a while.
    pub(crate) fn avoid(&self, node: &NodeId) {
        self.links.borrow_mut().remove(node);
        let until = Instant::now() + AVOIDANCE;
        self.avoided.borrow_mut().insert(node.clone(), until);
    }

    /// Asks another node.
    pub(crate) async fn ask(
        &self,
        gateway: &Rc<Gateway>,
        node: &NodeId,
        partition: PartitionId,
        request: LedgerRequest,
    ) -> Result<LedgerReply, NoReply> {
        let link = self.link_to(gateway, node).ok_or(NoReply::Gone)?;
        let id = gateway.next_sequence();
        let (sender, mut news) = mpsc::unbounded_channel();
        link.pending.borrow_mut().insert(id, sender);
        let message = LedgerFrame::Request {
            id,
            partition,
            request,
        };
        let sent = link.frames.send(frame(&message));
        let replied = match sent {
            Ok(()) => await_reply(&mut news).await,
            Err(_) => Err(NoReply::Gone),
        };
        link.pending.borrow_mut().remove(&id);
        replied
    }

    fn link_to(&self, gateway: &Rc<Gateway>, node: &NodeId) -> Option<Link> {
        if let Some(link) = self.links.borrow().get(node)
            && !link.frames.is_closed()
        {
            return Some(link.clone());
        }
        let address = gateway.nodes.borrow().get(node)?.record.peer_address;
        let (frames, outgoing) = mpsc::unbounded_channel();
        let link = Link {
            frames,
            pending: Pending::default(),
        };
        self.links.borrow_mut().insert(node.clone(), link.clone());
        actix_rt::spawn(run_link(address, outgoing, link.pending.clone()));
        Some(link)
    }

    /// Begins to probe the others, of which `seeds` are asked first.
    pub(crate) fn join(
        &self,
        settings: &GatewaySettings,
        incarnation: Incarnation,
        seeds: Vec<SocketAddr>,
    ) {
        let membership = Membership::new(MembershipSettings {
            node: settings.node.clone(),
            incarnation,
            zone: settings.zone.clone(),
            cell: CellId::new(""),
            gossip_address: settings.peers,
            address: settings.peers,
            seeds,
            probe_interval: PROBE_INTERVAL,
            probe_timeout: PROBE_TIMEOUT,
            suspicion_timeout: SUSPICION_TIMEOUT,
            seed: rand::random(),
        });
        *self.membership.borrow_mut() = Some(membership);
    }

    fn handle(&self, gateway: &Gateway, event: Event) -> Vec<Effect> {
        match self.membership.borrow_mut().as_mut() {
            Some(membership) => membership.handle(gateway.now(), event),
            None => Vec::new(),
        }
    }

    /// Tells the others that this node is leaving.
    pub(crate) fn drain(&self, gateway: &Gateway, socket: &UdpSocket) {
        let effects = self.handle(gateway, Event::Drain);
        self.carry_out(socket, effects);
    }

    fn carry_out(&self, socket: &UdpSocket, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                // Gossip makes up for datagrams that are lost.
                Effect::Send { to, datagram } => {
                    let _ = socket.try_send_to(&encode(&datagram), to);
                }
                Effect::MemberChanged { node, state } => {
                    if node != self.own {
                        log::info!(node = node.as_str(), state:? = state; "peer changed");
                    }
                    if state == MemberState::Dead {
                        self.links.borrow_mut().remove(&node);
                    }
                }
                Effect::CellChanged { .. } | Effect::ControlBehind { .. } => {}
            }
        }
    }
}

async fn await_reply(news: &mut mpsc::UnboundedReceiver<News>) -> Result<LedgerReply, NoReply> {
    let first = actix_rt::time::timeout(ARRIVAL_TIMEOUT, news.recv()).await;
    match first {
        Ok(Some(News::Replied(reply))) => return Ok(reply),
        Ok(Some(News::Arrived)) => {}
        Ok(None) | Err(_) => return Err(NoReply::Gone),
    }
    match actix_rt::time::timeout(REPLY_TIMEOUT, news.recv()).await {
        Ok(Some(News::Replied(reply))) => Ok(reply),
        Ok(None) => Err(NoReply::Gone),
        Ok(Some(News::Arrived)) | Err(_) => Err(NoReply::TooSlow),
    }
}

/// Probes the others until the process ends.
pub(crate) async fn gossip(gateway: Rc<Gateway>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; DATAGRAM_BYTES];
    let mut ticks = actix_rt::time::interval(PROBE_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        let event = tokio::select! {
            _ = ticks.tick() => Event::Tick,
            received = socket.recv_from(&mut buffer) => match received {
                Ok((length, from)) => match decode::<Datagram>(&buffer[..length]) {
                    Ok(datagram) => Event::Received { from, datagram },
                    Err(_) => continue,
                },
                Err(_) => {
                    // An earlier datagram was answered by "port unreachable", for example.
                    actix_rt::time::sleep(RECEIVE_BACKOFF).await;
                    continue;
                }
            },
        };
        let effects = gateway.peers.handle(&gateway, event);
        gateway.peers.carry_out(&socket, effects);
    }
}

/// Sends requests over one connection and hands replies to those who wait.
async fn run_link(
    address: SocketAddr,
    mut outgoing: mpsc::UnboundedReceiver<Bytes>,
    pending: Pending,
) {
    let Ok(stream) = socket::connect(address).await else {
        outgoing.close();
        pending.borrow_mut().clear();
        return;
    };
    let (mut receiver, mut sender) = buffered::split(stream);
    let sending = send_frames(&mut outgoing, &mut sender);
    let receiving = async {
        while let Some(message) = next_frame(&mut receiver).await {
            let (id, news) = match message {
                LedgerFrame::Arrived { id } => (id, News::Arrived),
                LedgerFrame::Reply { id, reply } => (id, News::Replied(reply)),
                LedgerFrame::Request { .. } => break,
            };
            if let Some(waiting) = pending.borrow().get(&id) {
                // Whoever asked may have given up.
                let _ = waiting.send(news);
            }
        }
    };
    tokio::select! {
        () = sending => {}
        () = receiving => {}
    }
    outgoing.close();
    pending.borrow_mut().clear();
}

async fn send_frames(outgoing: &mut mpsc::UnboundedReceiver<Bytes>, sender: &mut Sender) {
    while let Some(message) = outgoing.recv().await {
        sender.buffer.extend_from_slice(&message);
        while let Ok(message) = outgoing.try_recv() {
            sender.buffer.extend_from_slice(&message);
        }
        if sender.flush().await.is_err() {
            return;
        }
    }
}

/// The next frame; `None` at the end of the connection or of its sense.
async fn next_frame(receiver: &mut Receiver) -> Option<LedgerFrame> {
    loop {
        match split_frame::<LedgerFrame>(&mut receiver.buffer) {
            Ok(Some(message)) => return Some(message),
            Ok(None) => {}
            Err(_) => return None,
        }
        if receiver.buffer.is_empty() {
            receiver.buffer = BytesMut::new();
        }
        match receiver.fill().await {
            Ok(count) if count > 0 => {}
            _ => return None,
        }
    }
}

/// Accepts other nodes until the process ends.
pub(crate) async fn accept_peers(gateway: Rc<Gateway>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                actix_rt::spawn(serve_peer(gateway.clone(), stream));
            }
            Err(_) => actix_rt::time::sleep(RECEIVE_BACKOFF).await,
        }
    }
}

async fn serve_peer(gateway: Rc<Gateway>, stream: TcpStream) {
    socket::prepare(&stream);
    let (mut receiver, mut sender) = buffered::split(stream);
    let (replies, mut outgoing) = mpsc::unbounded_channel();
    let receiving = async {
        while let Some(message) = next_frame(&mut receiver).await {
            let LedgerFrame::Request {
                id,
                partition,
                request,
            } = message
            else {
                return;
            };
            let gateway = gateway.clone();
            let replies = replies.clone();
            actix_rt::spawn(async move {
                let mut carrying_out =
                    std::pin::pin!(ledger::carry_out(&gateway, partition, request));
                let soon = actix_rt::time::timeout(SAY_ARRIVED_AFTER, &mut carrying_out).await;
                let reply = match soon {
                    Ok(reply) => reply,
                    Err(_) => {
                        // The peer may have left, here and below.
                        let _ = replies.send(frame(&LedgerFrame::Arrived { id }));
                        carrying_out.await
                    }
                };
                let _ = replies.send(frame(&LedgerFrame::Reply { id, reply }));
            });
        }
    };
    tokio::select! {
        () = receiving => {}
        () = send_frames(&mut outgoing, &mut sender) => {}
    }
}
