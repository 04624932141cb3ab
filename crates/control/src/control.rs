//! The control state machine.

use elderworks_protocol::record::{Record, Writer};
use elderworks_types::resource::{Kind, Resource};
use elderworks_types::{Offset, ResourceName, Timestamp};
use serde::{Deserialize, Serialize};

use crate::changes::ChangeLog;
use crate::index::Index;
use crate::proposals::{Proposal, Proposals};
use crate::resources::{Applied, Resources};
use crate::snapshot::SnapshotProgress;
use crate::writers::Writers;
use crate::{Change, ControlBody, ControlError, Effect, Event, RequestId, validate_syntax};

/// A position on the control stream: a record within a batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct Position {
    /// Offset of the batch.
    pub(crate) offset: Offset,
    /// Position within it.
    pub(crate) index: u32,
}

/// The control state of one node.
pub struct Control {
    writer: Writer,
    log_reachable: bool,
    /// The last record applied.
    applied: Option<Position>,
    resources: Resources,
    writers: Writers,
    changes: ChangeLog,
    proposals: Proposals,
    snapshots: SnapshotProgress,
}

impl Control {
    /// Empty. `writer` is the one under which this node appends to the control stream: its
    /// incarnation is the nonce of its [`ControlBody::NodeStarted`].
    pub fn new(writer: Writer) -> Self {
        Self {
            writer,
            log_reachable: true,
            applied: None,
            resources: Resources::default(),
            writers: Writers::default(),
            changes: ChangeLog::default(),
            proposals: Proposals::default(),
            snapshots: SnapshotProgress::default(),
        }
    }

    /// With the state that a snapshot holds.
    pub(crate) fn restored(
        writer: Writer,
        applied: Option<Position>,
        resources: Resources,
        writers: Writers,
    ) -> Self {
        let covers = applied.map_or(Offset(0), |position| position.offset);
        Self {
            applied,
            resources,
            writers,
            changes: ChangeLog::starting_after(covers),
            snapshots: SnapshotProgress::loaded(covers),
            ..Self::new(writer)
        }
    }

    /// Takes one event and returns what is to be done, in order.
    pub fn handle(&mut self, _now: Timestamp, event: Event) -> Vec<Effect> {
        match event {
            Event::RecordRead {
                offset,
                index,
                record,
            } => self.read(Position { offset, index }, record),
            Event::Propose { request, body } => self.propose(request, body),
            Event::LogReachable(reachable) => self.set_log_reachable(reachable),
            Event::TakeSnapshot => self.take_snapshot(),
            Event::Tick => Vec::new(),
        }
    }

    /// The next offset to be applied.
    pub fn next(&self) -> Offset {
        self.applied
            .map_or(Offset(0), |position| position.offset.next())
    }

    /// The revision up to which the state is complete: offset of the last applied record.
    pub fn revision(&self) -> Offset {
        self.applied.map_or(Offset(0), |position| position.offset)
    }

    /// Whether this node's announcement was read back, so that its changes can count.
    pub fn has_started(&self) -> bool {
        self.writers.knows(&self.writer)
    }

    /// One resource.
    pub fn get(&self, kind: Kind, name: &ResourceName) -> Option<&Resource> {
        self.resources.get(kind, name)
    }

    /// All resources of a kind, in order of name.
    pub fn list(&self, kind: Kind) -> impl Iterator<Item = &Resource> {
        self.resources.list(kind)
    }

    /// Changes after `revision`, or `None` if they are no longer remembered and the watcher has to
    /// list anew.
    pub fn changes_since(&self, revision: Offset) -> Option<Vec<Change>> {
        self.changes.since(revision)
    }

    pub(crate) fn resources(&self) -> &Resources {
        &self.resources
    }

    pub(crate) fn writers(&self) -> &Writers {
        &self.writers
    }

    pub(crate) fn applied(&self) -> Option<Position> {
        self.applied
    }

    pub(crate) fn index(&self) -> &Index {
        self.resources.index()
    }

    fn propose(&mut self, request: RequestId, body: ControlBody) -> Vec<Effect> {
        if let Err(error) = self.check_proposal(&body) {
            return vec![refusal(request, error)];
        }
        let proposal = Proposal { request, body };
        if !self.proposals.push(proposal) {
            return vec![refusal(request, ControlError::Unavailable)];
        }
        self.send_next()
    }

    /// Refuses at once what can be judged before the record has its place in the log.
    fn check_proposal(&self, body: &ControlBody) -> Result<(), ControlError> {
        match body {
            ControlBody::Put { resource, .. } => validate_syntax(resource)?,
            ControlBody::Delete { .. } => {}
            ControlBody::NodeStarted { .. } | ControlBody::Snapshot { .. } => {
                return Err(ControlError::invalid("", "not a change of a resource"));
            }
        }
        if !self.has_started() || !self.log_reachable {
            return Err(ControlError::Unavailable);
        }
        Ok(())
    }

    fn send_next(&mut self) -> Vec<Effect> {
        let body = self.proposals.send_next();
        body.map(Effect::Append).into_iter().collect()
    }

    fn set_log_reachable(&mut self, reachable: bool) -> Vec<Effect> {
        self.log_reachable = reachable;
        if reachable {
            return Vec::new();
        }
        self.proposals
            .take_waiting()
            .map(|proposal| refusal(proposal.request, ControlError::Unavailable))
            .collect()
    }

    fn take_snapshot(&mut self) -> Vec<Effect> {
        let interval = self.settings().snapshot_interval;
        if !self.has_started() || !self.snapshots.is_due(self.next(), interval) {
            return Vec::new();
        }
        self.snapshots.begin(self.revision());
        self.snapshot_records()
    }

    fn read(&mut self, position: Position, record: Record<ControlBody>) -> Vec<Effect> {
        if self.applied.is_some_and(|applied| position <= applied) {
            return Vec::new();
        }
        let revision_is_free = self.revision() < position.offset;
        self.applied = Some(position);
        match &record.body {
            ControlBody::NodeStarted { .. } => self.read_node_started(&record, position.offset),
            ControlBody::Snapshot {
                covers,
                part,
                parts,
                ..
            } => {
                if part.saturating_add(1) == *parts {
                    self.snapshots.completed(*covers);
                }
                Vec::new()
            }
            ControlBody::Put { .. } | ControlBody::Delete { .. } => {
                self.read_change(position.offset, revision_is_free, record)
            }
        }
    }

    fn read_node_started(&mut self, record: &Record<ControlBody>, offset: Offset) -> Vec<Effect> {
        let had_started = self.has_started();
        self.writers
            .announce(&record.writer, record.sequence, offset);
        if had_started && !self.has_started() {
            return self.announce_again();
        }
        Vec::new()
    }

    /// A node that has written nothing for very long may be forgotten as a writer, by all readers
    /// at the same record. What it has in flight is void then.
    fn announce_again(&mut self) -> Vec<Effect> {
        let mut effects: Vec<Effect> = self
            .proposals
            .take_all()
            .map(|proposal| refusal(proposal.request, ControlError::Unavailable))
            .collect();
        effects.push(Effect::Append(ControlBody::NodeStarted {
            node: self.writer.node.clone(),
            nonce: self.writer.incarnation.0,
        }));
        effects
    }

    fn read_change(
        &mut self,
        offset: Offset,
        revision_is_free: bool,
        record: Record<ControlBody>,
    ) -> Vec<Effect> {
        if !self.writers.admit(&record.writer, record.sequence, offset) {
            return Vec::new();
        }
        let request = self.own_request(&record);
        if !revision_is_free {
            return self.finish(request, Err(ControlError::Unavailable));
        }
        let result = match record.body {
            ControlBody::Put { resource, expected } => {
                self.resources.put(resource, expected, offset)
            }
            ControlBody::Delete {
                kind,
                name,
                expected,
            } => self.resources.delete(kind, name, expected, offset),
            ControlBody::NodeStarted { .. } | ControlBody::Snapshot { .. } => return Vec::new(),
        };
        let mut effects = Vec::new();
        if let Ok(Applied::Changed(change)) = &result {
            self.changes.push(change.clone());
            effects.push(Effect::Changed(change.clone()));
        }
        let answer = result.map(|applied| match applied {
            Applied::Changed(change) | Applied::Unchanged(change) => change,
        });
        effects.extend(self.finish(request, answer));
        effects
    }

    /// The request that this record answers, if this node wrote it.
    fn own_request(&mut self, record: &Record<ControlBody>) -> Option<RequestId> {
        if record.writer != self.writer {
            return None;
        }
        self.proposals.take_read_back(&record.body)
    }

    /// Answers a request, if there is one, and sends the next.
    fn finish(
        &mut self,
        request: Option<RequestId>,
        result: Result<Change, ControlError>,
    ) -> Vec<Effect> {
        let Some(request) = request else {
            return Vec::new();
        };
        let mut effects = vec![Effect::Reply { request, result }];
        effects.extend(self.send_next());
        effects
    }
}

fn refusal(request: RequestId, error: ControlError) -> Effect {
    Effect::Reply {
        request,
        result: Err(error),
    }
}
