//! Feeds events to the state machine and executes its effects.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use elderworks_protocol::sidecar::SidecarMessage;
use elderworks_sidecar_core::{
    CallerReply, Effect, Event, RequestId, SidecarCore, SidecarSettings, TICK_INTERVAL,
};
use elderworks_types::Timestamp;
use tokio::sync::mpsc;
use tokio::time::MissedTickBehavior;

use crate::connection::{Connection, ConnectionEvent, ConnectionId, ConnectionReport};
use crate::core_client::Command;
use crate::metrics::Metrics;

/// Returns the wall-clock time.
pub fn now() -> Timestamp {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Timestamp::default() + since_epoch
}

/// Owns the state machine and the connections to nodes.
pub struct Driver {
    core: SidecarCore,
    sidecar_id: u64,
    commands: mpsc::UnboundedReceiver<Command>,
    reports: mpsc::UnboundedReceiver<ConnectionReport>,
    report_sender: mpsc::UnboundedSender<ConnectionReport>,
    connections: BTreeMap<SocketAddr, Connection>,
    next_connection: ConnectionId,
    callers: BTreeMap<RequestId, mpsc::UnboundedSender<CallerReply>>,
    metrics: Arc<Metrics>,
}

impl Driver {
    /// Creates a driver; [`Driver::run`] starts it.
    pub fn new(
        settings: SidecarSettings,
        commands: mpsc::UnboundedReceiver<Command>,
        metrics: Arc<Metrics>,
    ) -> Self {
        let (report_sender, reports) = mpsc::unbounded_channel();
        Self {
            sidecar_id: settings.seed,
            core: SidecarCore::new(settings),
            commands,
            reports,
            report_sender,
            connections: BTreeMap::new(),
            next_connection: 0,
            callers: BTreeMap::new(),
            metrics,
        }
    }

    /// Runs until every [`CoreClient`](crate::core_client::CoreClient) is dropped.
    pub async fn run(mut self) {
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                command = self.commands.recv() => match command {
                    Some(command) => self.handle_command(command),
                    None => return,
                },
                Some(report) = self.reports.recv() => self.handle_report(report),
                _ = ticks.tick() => self.handle_event(Event::Tick),
            }
        }
    }

    fn handle_command(&mut self, command: Command) {
        match command {
            Command::Request {
                request,
                event,
                replies,
            } => {
                self.callers.insert(request, replies);
                self.handle_event(*event);
            }
            Command::CallerDisconnected { request } => {
                if self.callers.remove(&request).is_some() {
                    self.handle_event(Event::CallerDisconnected { request });
                }
            }
        }
    }

    fn handle_report(&mut self, report: ConnectionReport) {
        let address = report.address;
        let connection = self.connections.get_mut(&address);
        let Some(connection) = connection.filter(|known| known.id == report.connection) else {
            return;
        };
        match report.event {
            ConnectionEvent::Ready => {
                connection.was_ready = true;
                log::info!(node:% = address; "connected to node");
                self.handle_event(Event::Connected { address });
            }
            ConnectionEvent::Received(message) => {
                self.handle_event(Event::Received { address, message })
            }
            ConnectionEvent::Closed => self.handle_closed(address),
        }
    }

    fn handle_closed(&mut self, address: SocketAddr) {
        let Some(connection) = self.connections.remove(&address) else {
            return;
        };
        if connection.was_ready {
            log::warn!(node:% = address; "connection to node lost");
        }
        self.metrics.connections_lost.inc();
        self.handle_event(Event::Disconnected { address });
    }

    /// Passes an event to the core and executes the effects. A connection that fails while sending
    /// is reported to the core as a further event, after all effects of this one.
    fn handle_event(&mut self, event: Event) {
        let effects = self.core.handle(now(), event);
        let mut broken = Vec::new();
        for effect in effects {
            match effect {
                Effect::Connect { address } => self.connect(address),
                Effect::Send { address, message } => {
                    if !self.send(address, message) {
                        broken.push(address);
                    }
                }
                Effect::Reply { request, reply } => self.reply(request, reply),
            }
        }
        self.metrics
            .observe_core(self.core.open_requests(), self.core.ready_nodes());
        for address in broken {
            self.handle_closed(address);
        }
    }

    fn connect(&mut self, address: SocketAddr) {
        self.next_connection += 1;
        let reports = self.report_sender.clone();
        let connection = Connection::open(self.next_connection, address, self.sidecar_id, reports);
        self.connections.insert(address, connection);
    }

    fn send(&mut self, address: SocketAddr, message: SidecarMessage) -> bool {
        match self.connections.get(&address) {
            Some(connection) => connection.send(message),
            None => false,
        }
    }

    fn reply(&mut self, request: RequestId, reply: CallerReply) {
        if matches!(reply, CallerReply::Restarted) {
            self.metrics.answers_restarted.inc();
        }
        let is_last = !matches!(reply, CallerReply::Chunk { .. } | CallerReply::Restarted);
        if let Some(caller) = self.callers.get(&request) {
            // A caller that disconnected is removed by `Command::CallerDisconnected`.
            let _ = caller.send(reply);
        }
        if is_last {
            self.callers.remove(&request);
        }
    }
}
