//! State machine of the control plane.

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

/// Position of a record on the control stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct Position {
    /// Offset of the batch.
    pub(crate) offset: Offset,
    /// Index within the batch.
    pub(crate) index: u32,
}

/// Control state of one node.
pub struct Control {
    writer: Writer,
    log_reachable: bool,
    /// Position of the last applied record.
    applied: Option<Position>,
    resources: Resources,
    writers: Writers,
    changes: ChangeLog,
    proposals: Proposals,
    snapshots: SnapshotProgress,
}

impl Control {
    /// Creates an empty state. `writer` identifies this node on the control stream: its incarnation is
    /// the nonce of the node's [`ControlBody::NodeStarted`].
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

    /// Creates the state contained in a snapshot.
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

    /// Processes one event and returns the resulting effects in order.
    pub fn handle(&mut self, _now: Timestamp, event: Event) -> Vec<Effect> {
        match event {
            Event::RecordRead {
                offset,
                index,
                record,
            } => self.apply_record(Position { offset, index }, record),
            Event::Propose { request, body } => self.propose(request, body),
            Event::LogReachable(reachable) => self.set_log_reachable(reachable),
            Event::TakeSnapshot => self.take_snapshot(),
            Event::Tick => Vec::new(),
        }
    }

    /// Returns the next offset to apply.
    pub fn next(&self) -> Offset {
        self.applied
            .map_or(Offset(0), |position| position.offset.next())
    }

    /// Returns the revision of the state, which is the offset of the last applied record.
    pub fn revision(&self) -> Offset {
        self.applied.map_or(Offset(0), |position| position.offset)
    }

    /// Returns whether this node's announcement has been applied, so that its changes can take effect.
    pub fn has_started(&self) -> bool {
        self.writers.is_registered(&self.writer)
    }

    /// Returns a resource by kind and name.
    pub fn get(&self, kind: Kind, name: &ResourceName) -> Option<&Resource> {
        self.resources.get(kind, name)
    }

    /// Iterates over all resources of a kind in order of name.
    pub fn list(&self, kind: Kind) -> impl Iterator<Item = &Resource> {
        self.resources.list(kind)
    }

    /// Returns the changes after `revision`, or `None` if some are no longer retained, in which case
    /// the watcher must list the resources again.
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
            return vec![rejection(request, error)];
        }
        let proposal = Proposal { request, body };
        if !self.proposals.push(proposal) {
            return vec![rejection(request, ControlError::Unavailable)];
        }
        self.send_next()
    }

    /// Rejects proposals that are invalid on their own or cannot currently be appended, before they
    /// are sent to the log.
    fn check_proposal(&self, body: &ControlBody) -> Result<(), ControlError> {
        match body {
            ControlBody::Put { resource, .. } => validate_syntax(resource)?,
            ControlBody::Delete { .. } => {}
            ControlBody::NodeStarted { .. } | ControlBody::Snapshot { .. } => {
                return Err(ControlError::invalid(
                    "",
                    "only a Put or Delete of a resource can be proposed",
                ));
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
            .map(|proposal| rejection(proposal.request, ControlError::Unavailable))
            .collect()
    }

    /// Starts a snapshot if one is due.
    fn take_snapshot(&mut self) -> Vec<Effect> {
        let interval = self.settings().snapshot_interval;
        if !self.has_started() || !self.snapshots.is_due(self.next(), interval) {
            return Vec::new();
        }
        self.snapshots.start(self.revision());
        self.snapshot_records()
    }

    /// Applies the record at `position` unless it has already been applied.
    fn apply_record(&mut self, position: Position, record: Record<ControlBody>) -> Vec<Effect> {
        if self.applied.is_some_and(|applied| position <= applied) {
            return Vec::new();
        }
        // Only the first record of a batch can change a resource, since revisions are unique.
        let revision_is_unused = self.revision() < position.offset;
        self.applied = Some(position);
        match &record.body {
            ControlBody::NodeStarted { .. } => self.apply_node_started(&record, position.offset),
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
                self.apply_change(position.offset, revision_is_unused, record)
            }
        }
    }

    fn apply_node_started(&mut self, record: &Record<ControlBody>, offset: Offset) -> Vec<Effect> {
        let had_started = self.has_started();
        self.writers
            .register(&record.writer, record.sequence, offset);
        if had_started && !self.has_started() {
            return self.announce_node();
        }
        Vec::new()
    }

    /// Announces this node again after all readers have evicted it as an idle writer. Rejects its
    /// pending proposals, which can no longer take effect.
    fn announce_node(&mut self) -> Vec<Effect> {
        let mut effects: Vec<Effect> = self
            .proposals
            .take_all()
            .map(|proposal| rejection(proposal.request, ControlError::Unavailable))
            .collect();
        effects.push(Effect::Append(ControlBody::NodeStarted {
            node: self.writer.node.clone(),
            nonce: self.writer.incarnation.0,
        }));
        effects
    }

    fn apply_change(
        &mut self,
        offset: Offset,
        revision_is_unused: bool,
        record: Record<ControlBody>,
    ) -> Vec<Effect> {
        if !self.writers.accept(&record.writer, record.sequence, offset) {
            return Vec::new();
        }
        let request = self.own_request(&record);
        if !revision_is_unused {
            return self.reply_and_send_next(request, Err(ControlError::Unavailable));
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
        effects.extend(self.reply_and_send_next(request, answer));
        effects
    }

    /// Returns the request that proposed the change in `record`, if this node wrote the record.
    fn own_request(&mut self, record: &Record<ControlBody>) -> Option<RequestId> {
        if record.writer != self.writer {
            return None;
        }
        self.proposals.take_matching(&record.body)
    }

    /// Replies to `request`, if any, and sends the next proposal.
    fn reply_and_send_next(
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

fn rejection(request: RequestId, error: ControlError) -> Effect {
    Effect::Reply {
        request,
        result: Err(error),
    }
}
