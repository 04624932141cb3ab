//! Follows the stream of node entries.

use std::rc::Rc;

use elderworks_gateway_core::log_streams::Stream;
use elderworks_gateway_core::nodes::NodeRecord;
use elderworks_gateway_core::stream_reads::ReadTimeouts;
use elderworks_protocol::decode;
use elderworks_types::{Incarnation, NodeId, Offset, Timestamp};

use super::{Follower, PROOF_TIMEOUT, follow, limits, read_more, read_newest};
use crate::gateway::Gateway;
use crate::ports::{StoreError, StreamRecord};
use crate::{peers, process};

/// Reads the node entries once, from an offset or, if there is none, the newest entry of each node.
/// Returns the end of the stream.
pub(crate) async fn read_nodes(
    gateway: &Rc<Gateway>,
    from: Option<Offset>,
) -> Result<Offset, StoreError> {
    let Some(mut next) = from else {
        let (records, end) = read_newest::<NodeFollower>(gateway)
            .await?
            .unwrap_or_default();
        NodeFollower::replace_all(gateway, &records, end);
        gateway.feed.note_nodes_end(end);
        return Ok(end);
    };
    loop {
        let limits = limits(ReadTimeouts::immediate(PROOF_TIMEOUT));
        let progress = read_more::<NodeFollower>(gateway, next, limits).await?;
        next = progress.next;
        if progress.is_complete {
            gateway.feed.note_nodes_end(next);
            return Ok(next);
        }
    }
}

/// Follows the node entries from an offset until the process ends.
pub(crate) async fn follow_nodes(gateway: Rc<Gateway>, from: Offset) {
    follow::<NodeFollower>(gateway, Some(from)).await;
}

struct NodeFollower;

impl Follower for NodeFollower {
    const STREAM: Stream = Stream::Nodes;

    fn replace_all(gateway: &Rc<Gateway>, records: &[StreamRecord], _end: Offset) {
        apply_nodes(gateway, records);
    }

    fn apply(gateway: &Rc<Gateway>, records: &[StreamRecord]) {
        apply_nodes(gateway, records);
    }

    fn on_current(gateway: &Gateway, _sent: Timestamp, end: Offset) {
        gateway.feed.note_nodes_end(end);
    }

    fn resume_at(gateway: &Gateway) -> Option<Offset> {
        gateway.feed.nodes_end()
    }
}

/// Applies node entries. Derived state is recomputed once, however many entries have changed.
pub(crate) fn apply_nodes(gateway: &Rc<Gateway>, records: &[StreamRecord]) {
    let changed = records.iter().filter(|record| apply_node(gateway, record));
    let changed: Vec<&StreamRecord> = changed.collect();
    let Some(last) = changed.last() else {
        return;
    };
    let names = changed.iter().filter_map(|record| record.key.as_deref());
    log::info!(
        count = changed.len(), nodes = peers::join_names(names), offset = last.offset.0;
        "node entries changed"
    );
    gateway.peers.mark_stale();
    gateway.note_node_changes();
}

/// Applies the entry of a node. Returns whether anything has changed.
fn apply_node(gateway: &Rc<Gateway>, record: &StreamRecord) -> bool {
    let Some(name) = record.key.as_deref() else {
        return false;
    };
    let node = NodeId::new(name);
    if record.value.is_empty() {
        return drop_node(gateway, &node, record.offset);
    }
    match decode::<NodeRecord>(&record.value) {
        Ok(content) => {
            let incarnation = Incarnation(record.offset.0);
            let mut nodes = gateway.nodes.borrow_mut();
            nodes.upsert(node, incarnation, content)
        }
        Err(error) => {
            log::error!(node = name, error = error.to_string().as_str(); "cannot decode a node's entry");
            false
        }
    }
}

/// Handles the deletion of a node's entry. Returns whether anything has changed.
fn drop_node(gateway: &Rc<Gateway>, node: &NodeId, offset: Offset) -> bool {
    if *node == gateway.settings.node {
        log::warn!(offset = offset.0; "this node's entry was dropped; writing it again");
        actix_rt::spawn(process::restore_entry(gateway.clone()));
        return false;
    }
    gateway.nodes.borrow_mut().remove(node, offset)
}
