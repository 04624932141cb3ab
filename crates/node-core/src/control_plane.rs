//! The node's copy of the control state.
//!
//! Covers joining the fleet with a start record, following the control stream, relaying its records to
//! peers that cannot read the log, and readiness.

use std::collections::VecDeque;
use std::time::Duration;

use elderworks_control::{self as control, Change, ControlBody};
use elderworks_logstream as logstream;
use elderworks_membership as membership;
use elderworks_protocol::peer::PeerMessage;
use elderworks_protocol::record::Record;
use elderworks_protocol::sidecar::NodeAddress;
use elderworks_types::resource::Kind;
use elderworks_types::{Incarnation, Offset, Timestamp};

use crate::core::NodeCore;
use crate::effect::{Effect, OperatorReply};
use crate::services::known_engines;
use crate::streams::Delivery;

/// Maximum size of the control records kept for relaying, in bytes.
pub const MAX_RELAY_BYTES: usize = 1024 * 1024;

/// Maximum size of the control records in one message to a peer, in bytes.
pub const MAX_RELAY_MESSAGE_BYTES: usize = 256 * 1024;

/// Time for which a node stays behind a peer before it asks the peer for the missing control records.
pub const RELAY_DELAY: Duration = Duration::from_secs(1);

/// Minimum time between two requests for control records.
pub const RELAY_INTERVAL: Duration = Duration::from_millis(200);

/// The most recent batches of control records, as encoded on the log.
#[derive(Debug, Default)]
pub(crate) struct RelayBuffer {
    records: VecDeque<(Offset, Vec<u8>)>,
    bytes: usize,
}

impl RelayBuffer {
    /// Appends a batch unless it is known, and removes the oldest ones over [`MAX_RELAY_BYTES`].
    fn push(&mut self, offset: Offset, bytes: Vec<u8>) {
        let known = self.records.back().is_some_and(|(last, _)| *last >= offset);
        if known {
            return;
        }
        self.bytes += bytes.len();
        self.records.push_back((offset, bytes));
        while self.bytes > MAX_RELAY_BYTES && self.records.len() > 1 {
            if let Some((_, dropped)) = self.records.pop_front() {
                self.bytes -= dropped.len();
            }
        }
    }

    /// Returns the batches from `first` on, up to [`MAX_RELAY_MESSAGE_BYTES`] or a single larger batch, or
    /// `None` if `first` has been removed.
    fn records_from(&self, first: Offset) -> Option<Vec<(Offset, Vec<u8>)>> {
        let oldest = self.records.front()?.0;
        if first < oldest {
            return None;
        }
        let mut size = 0;
        let records = self.records.iter().filter(|(offset, _)| *offset >= first);
        let taken = records.take_while(|(_, bytes)| {
            let fits = size == 0 || size + bytes.len() <= MAX_RELAY_MESSAGE_BYTES;
            size += bytes.len();
            fits
        });
        Some(taken.cloned().collect())
    }
}

/// Progress of joining the fleet.
#[derive(Debug, Default)]
pub(crate) struct JoinState {
    /// Whether the first event has been handled.
    pub(crate) started: bool,
    /// Readiness as last reported to the driver.
    pub(crate) ready: bool,
    /// Time since which some peer has applied more control records than this node.
    pub(crate) behind_since: Option<Timestamp>,
    /// Time of the last request for control records to a peer.
    pub(crate) last_relay_request: Timestamp,
}

impl NodeCore {
    /// On the first event, reports that the node is not ready and starts to load the control state.
    pub(crate) fn start(&mut self) {
        if !self.join.started {
            self.join.started = true;
            self.agenda.effect(Effect::Ready(false));
            self.continue_control_loading();
        }
    }

    /// Passes an input to the client of the control stream and forwards its deliveries.
    pub(crate) fn handle_control_stream_input(&mut self, input: logstream::Event<ControlBody>) {
        let deliveries = self
            .streams
            .handle_control(self.now, input, &mut self.agenda);
        for delivery in deliveries {
            match delivery {
                Delivery::Record {
                    offset,
                    index,
                    record,
                } => {
                    self.record_own_start(offset, &record);
                    self.agenda.control(control::Event::RecordRead {
                        offset,
                        index,
                        record,
                    });
                }
                Delivery::Batch { offset, bytes } => self.relay.push(offset, bytes),
                Delivery::Reachable(reachable) => {
                    if !reachable {
                        self.streams.suspect_outage(self.now);
                    }
                    self.agenda.control(control::Event::LogReachable(reachable));
                }
            }
        }
    }

    /// Starts the membership if `record` is the start record of this process; its offset is the
    /// incarnation of the node.
    fn record_own_start(&mut self, offset: Offset, record: &Record<ControlBody>) {
        let ControlBody::NodeStarted { node, nonce } = &record.body else {
            return;
        };
        let own = *node == self.settings.node && *nonce == self.nonce;
        if !own || self.incarnation.is_some() {
            return;
        }
        let incarnation = Incarnation(offset.0);
        self.incarnation = Some(incarnation);
        self.start_membership(incarnation);
    }

    /// Passes an event to the control state and executes its effects.
    pub(crate) fn handle_control_event(&mut self, event: control::Event) {
        let next_before = self.control.next();
        for effect in self.control.handle(self.now, event) {
            match effect {
                control::Effect::Append(body) => {
                    let epoch = elderworks_types::Epoch(0);
                    self.handle_control_stream_input(logstream::Event::Propose { epoch, body });
                }
                control::Effect::Reply { request, result } => {
                    self.agenda.effect(Effect::OperatorReply {
                        request,
                        reply: OperatorReply::Changed(result),
                    });
                }
                control::Effect::Changed(change) => self.control_changed(&change),
            }
        }
        let next = self.control.next();
        if next >= self.peers_next() {
            self.join.behind_since = None;
        }
        if next != next_before {
            self.agenda
                .membership(membership::Event::ControlApplied { next });
        }
    }

    /// Applies a change of a resource.
    fn control_changed(&mut self, change: &Change) {
        self.notify_watchers(change);
        match change.kind {
            Kind::Service => self.apply_services(),
            Kind::Budget => self.tenant_limits_changed(),
            Kind::Configuration => self.configure_partitions(),
            Kind::Program => {}
        }
    }

    /// Applies the engines listed by the current services.
    pub(crate) fn apply_services(&mut self) {
        let changes = self.engines.configure(known_engines(&self.control));
        self.apply_engine_changes(changes);
    }

    /// Writes a snapshot of the control state if one is due and this is the first eligible node by name.
    pub(crate) fn offer_control_snapshot(&mut self) {
        let Some(membership) = &self.membership else {
            return;
        };
        let writes = membership.eligible_owners().min() == Some(&self.settings.node);
        if writes && self.join.ready {
            self.agenda.control(control::Event::TakeSnapshot);
        }
    }

    /// Returns the control records from `first` on, for a peer.
    pub(crate) fn control_records(&mut self, first: Offset) -> PeerMessage {
        let records = self.relay.records_from(first);
        if records.is_none() {
            self.counters.relay_misses += 1;
        }
        PeerMessage::ControlRecords {
            records: records.unwrap_or_default(),
            next: self.control.next(),
        }
    }

    /// Handles control records sent by a peer.
    pub(crate) fn relayed_records(&mut self, records: Vec<(Offset, Vec<u8>)>) {
        self.counters.relayed_records += records.len() as u64;
        self.handle_control_stream_input(logstream::Event::Relayed { records });
    }

    /// Handles the notice that a peer has applied more control records than this node. They usually
    /// arrive from the log; if they don't within [`RELAY_DELAY`], the peer is asked for them.
    pub(crate) fn control_behind(&mut self, peer: NodeAddress) {
        let behind_since = *self.join.behind_since.get_or_insert(self.now);
        let waiting = self.now.since(behind_since) < RELAY_DELAY;
        let asked_recently = self.now.since(self.join.last_relay_request) < RELAY_INTERVAL;
        if waiting || asked_recently {
            return;
        }
        self.join.last_relay_request = self.now;
        let from = self.control.next();
        self.agenda.effect(Effect::SendPeer {
            peer,
            message: PeerMessage::ControlFetch { from },
        });
    }

    /// Returns whether this node knows its peers or has stopped waiting for them.
    fn is_settled(&self) -> bool {
        let membership = self.membership.as_ref();
        membership.is_some_and(|membership| membership.is_join_complete(self.now))
    }

    /// Returns the highest next offset of the control stream reported by any peer.
    fn peers_next(&self) -> Offset {
        let membership = self.membership.as_ref();
        membership.map_or(Offset(0), |membership| membership.highest_control_next())
    }

    /// Returns whether the control state is at least as recent as that of every known peer.
    fn is_current(&self) -> bool {
        let caught_up = self.control_loading.is_none() && self.streams.control.caught_up();
        caught_up && self.control.next() >= self.peers_next()
    }

    /// Reports changes of readiness to the driver. A ready node stays ready until it drains.
    pub(crate) fn update_readiness(&mut self) {
        let reached = self.join.ready || (self.is_settled() && self.is_current());
        let ready = reached && !self.draining();
        if ready != self.join.ready {
            self.join.ready = ready;
            self.agenda.effect(Effect::Ready(ready));
        }
    }
}
