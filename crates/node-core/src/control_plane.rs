//! The control state: joining through it, following it, relaying it and saying when it is current.

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

/// Bytes of control records kept to be relayed to peers.
pub const MAX_RELAY_BYTES: usize = 1024 * 1024;

/// Bytes of control records in one message to a peer.
pub const MAX_RELAY_MESSAGE_BYTES: usize = 256 * 1024;

/// A node that stays behind a peer for this long asks it for what the log has not brought.
pub const RELAY_PATIENCE: Duration = Duration::from_secs(1);

/// Time between requests to peers for control records.
pub const RELAY_INTERVAL: Duration = Duration::from_millis(200);

/// The most recent control records, as they stand on the log.
#[derive(Debug, Default)]
pub(crate) struct RelayBuffer {
    records: VecDeque<(Offset, Vec<u8>)>,
    bytes: usize,
}

impl RelayBuffer {
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

    /// Records from an offset on, as many as one message takes; `None` if the first is not kept.
    fn from(&self, first: Offset) -> Option<Vec<(Offset, Vec<u8>)>> {
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

/// How far this node has joined.
#[derive(Debug, Default)]
pub(crate) struct JoinState {
    /// The first event was taken.
    pub(crate) begun: bool,
    /// The last state told to the driver.
    pub(crate) ready: bool,
    /// Since when a peer has been ahead of this node.
    pub(crate) behind_since: Option<Timestamp>,
    /// When control records were last asked of a peer.
    pub(crate) relay_asked: Timestamp,
}

impl NodeCore {
    /// Tells the driver, with the first event, that this node does not serve yet.
    pub(crate) fn begin(&mut self) {
        if !self.join.begun {
            self.join.begun = true;
            self.agenda.effect(Effect::Ready(false));
            self.continue_control_loading();
        }
    }

    /// Gives one input to the control stream's client and passes on what it delivers.
    pub(crate) fn drive_control_stream(&mut self, input: logstream::Event<ControlBody>) {
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
                    self.note_own_start(offset, &record);
                    self.agenda.control(control::Event::RecordRead {
                        offset,
                        index,
                        record,
                    });
                }
                Delivery::Batch { offset, bytes } => self.relay.push(offset, bytes),
                Delivery::Reachable(reachable) => {
                    self.agenda.control(control::Event::LogReachable(reachable));
                }
            }
        }
    }

    /// This node's start record, read back, gives it its incarnation.
    fn note_own_start(&mut self, offset: Offset, record: &Record<ControlBody>) {
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

    /// Gives one event to the control state and carries out its effects.
    pub(crate) fn drive_control(&mut self, event: control::Event) {
        let next_before = self.control.next();
        for effect in self.control.handle(self.now, event) {
            match effect {
                control::Effect::Append(body) => {
                    let epoch = elderworks_types::Epoch(0);
                    self.drive_control_stream(logstream::Event::Propose { epoch, body });
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

    fn control_changed(&mut self, change: &Change) {
        self.tell_watchers(change);
        match change.kind {
            Kind::Service => self.apply_services(),
            Kind::Budget => self.tenant_limits_changed(),
            Kind::Configuration => self.configure_partitions(),
            Kind::Program => {}
        }
    }

    /// Takes over the engines that services name now.
    pub(crate) fn apply_services(&mut self) {
        let changes = self.engines.configure(known_engines(&self.control));
        self.apply_engine_changes(changes);
    }

    /// Lets one node of the fleet write a snapshot where one is due: the first by name.
    pub(crate) fn offer_control_snapshot(&mut self) {
        let Some(membership) = &self.membership else {
            return;
        };
        let writes = membership.eligible_owners().min() == Some(&self.settings.node);
        if writes && self.join.ready {
            self.agenda.control(control::Event::TakeSnapshot);
        }
    }

    /// Control records for a peer, from `first` on.
    pub(crate) fn control_records(&mut self, first: Offset) -> PeerMessage {
        let records = self.relay.from(first);
        if records.is_none() {
            self.counters.relay_misses += 1;
        }
        PeerMessage::ControlRecords {
            records: records.unwrap_or_default(),
            next: self.control.next(),
        }
    }

    /// A peer sent control records.
    pub(crate) fn relayed_records(&mut self, records: Vec<(Offset, Vec<u8>)>) {
        self.counters.relayed_records += records.len() as u64;
        self.drive_control_stream(logstream::Event::Relayed { records });
    }

    /// A peer has applied control records that this node has not. The log brings them as a rule; a
    /// node that stays behind asks the peer.
    pub(crate) fn control_behind(&mut self, peer: NodeAddress) {
        let behind_since = *self.join.behind_since.get_or_insert(self.now);
        let patient = self.now.since(behind_since) < RELAY_PATIENCE;
        let asked_lately = self.now.since(self.join.relay_asked) < RELAY_INTERVAL;
        if patient || asked_lately {
            return;
        }
        self.join.relay_asked = self.now;
        let from = self.control.next();
        self.agenda.effect(Effect::SendPeer {
            peer,
            message: PeerMessage::ControlFetch { from },
        });
    }

    /// Whether this node knows its peers, or has waited for them long enough.
    fn is_settled(&self) -> bool {
        let membership = self.membership.as_ref();
        membership.is_some_and(|membership| membership.is_join_complete(self.now))
    }

    /// The highest next offset of the control stream that any peer has told of.
    fn peers_next(&self) -> Offset {
        let membership = self.membership.as_ref();
        membership.map_or(Offset(0), |membership| membership.highest_control_next())
    }

    /// Whether the control state is as new as that of any peer known.
    fn is_current(&self) -> bool {
        let caught_up = self.control_loading.is_none() && self.streams.control.caught_up();
        caught_up && self.control.next() >= self.peers_next()
    }

    /// Tells the driver when readiness changes. Once reached, it is lost only by leaving.
    pub(crate) fn judge_readiness(&mut self) {
        let reached = self.join.ready || (self.is_settled() && self.is_current());
        let ready = reached && !self.draining();
        if ready != self.join.ready {
            self.join.ready = ready;
            self.agenda.effect(Effect::Ready(ready));
        }
    }
}
