//! Catch-up: a listener asks a reader for the changes it has missed, and the reader answers.

use std::net::SocketAddr;
use std::rc::Rc;

use elderworks_protocol::encode;
use elderworks_protocol::feed::{FeedHeartbeat, FeedRequest, FeedResponse, RecordCopy};
use elderworks_types::Offset;

use super::{Source, workers};
use crate::gateway::Gateway;
use crate::peers::NoReply;
use crate::ports::StreamRecord;
use crate::watch;
use elderworks_gateway_core::start::Milestone;

/// Starts to catch up if a reader's heartbeat shows that this node has missed changes, unless a
/// catch-up is already in progress.
pub(super) fn ask_if_behind(gateway: &Rc<Gateway>, address: SocketAddr, heartbeat: &FeedHeartbeat) {
    let feed = &gateway.feed;
    if feed.is_catching_up.get() || !is_behind(gateway, heartbeat) {
        return;
    }
    feed.is_catching_up.set(true);
    let (gateway, heartbeat) = (gateway.clone(), heartbeat.clone());
    actix_rt::spawn(async move {
        if let Err(reason) = catch_up(&gateway, address, &heartbeat).await {
            log::warn!(node = heartbeat.node.as_str(), reason:? = reason; "cannot catch up: a reader of the log did not answer");
        }
        gateway.feed.is_catching_up.set(false);
    });
}

fn is_behind(gateway: &Gateway, heartbeat: &FeedHeartbeat) -> bool {
    let feed = &gateway.feed;
    has_newer_configuration(gateway, heartbeat)
        || feed
            .nodes_end
            .get()
            .is_none_or(|end| end < heartbeat.nodes_end)
        || *feed.source.borrow() != Some(source_of(heartbeat, heartbeat.workers_revision))
}

fn has_newer_configuration(gateway: &Gateway, heartbeat: &FeedHeartbeat) -> bool {
    gateway.config_proof.borrow().version() < heartbeat.config_version
}

/// Returns the reader and the revision of its workers that a heartbeat names.
fn source_of(heartbeat: &FeedHeartbeat, revision: u64) -> Source {
    Source {
        node: heartbeat.node.clone(),
        boot: heartbeat.boot,
        revision,
    }
}

async fn catch_up(
    gateway: &Rc<Gateway>,
    address: SocketAddr,
    heartbeat: &FeedHeartbeat,
) -> Result<(), NoReply> {
    let ask = |question| {
        gateway
            .peers
            .ask_feed(gateway, &heartbeat.node, address, question)
    };
    if has_newer_configuration(gateway, heartbeat)
        && let FeedResponse::Configuration(copy) = ask(FeedRequest::Configuration).await?
    {
        watch::apply_publication(gateway, &record_of(copy));
    }
    let since = gateway.feed.nodes_end.get().unwrap_or_default();
    if gateway.feed.nodes_end.get().is_none() || since < heartbeat.nodes_end {
        apply_nodes(gateway, ask(FeedRequest::Nodes { since }).await?);
    }
    let known = gateway.feed.source.borrow().clone();
    let known =
        known.filter(|known| (&known.node, known.boot) == (&heartbeat.node, heartbeat.boot));
    let since = known.map(|known| known.revision);
    if since != Some(heartbeat.workers_revision) {
        let answer = ask(FeedRequest::Workers { since }).await?;
        apply_workers(gateway, heartbeat, answer);
    }
    Ok(())
}

fn record_of(copy: RecordCopy) -> StreamRecord {
    StreamRecord {
        offset: copy.offset,
        key: copy.key,
        value: copy.value,
    }
}

fn apply_nodes(gateway: &Rc<Gateway>, answer: FeedResponse) {
    let FeedResponse::Nodes { end, entries } = answer else {
        return;
    };
    let records: Vec<StreamRecord> = entries.into_iter().map(record_of).collect();
    watch::apply_nodes(gateway, &records);
    gateway.feed.note_nodes_end(end);
    gateway.feed.nodes_received.send_replace(true);
}

fn apply_workers(gateway: &Rc<Gateway>, heartbeat: &FeedHeartbeat, answer: FeedResponse) {
    let FeedResponse::Workers(update) = answer else {
        return;
    };
    if !gateway.feed.depends_on_others() {
        // This node has become a reader since it asked.
        return;
    }
    let source = source_of(heartbeat, update.revision);
    workers::apply_update(gateway, update);
    *gateway.feed.source.borrow_mut() = Some(source);
    gateway.reach_milestone(Milestone::Workers);
}

/// Answers a listener's question.
pub(crate) fn answer(gateway: &Gateway, question: &FeedRequest) -> FeedResponse {
    match question {
        FeedRequest::Configuration => {
            let record = gateway.config_record.borrow().clone();
            record.map_or(FeedResponse::Nothing, |record| {
                FeedResponse::Configuration(RecordCopy {
                    offset: record.offset,
                    key: record.key,
                    value: record.value,
                })
            })
        }
        FeedRequest::Nodes { since } => nodes_since(gateway, *since),
        FeedRequest::Workers { since } if gateway.feed.is_loaded.get() => {
            let offset = gateway.feed.workers_offset.get();
            FeedResponse::Workers(gateway.feed.published.borrow().since(*since, offset))
        }
        FeedRequest::Workers { .. } => FeedResponse::Nothing,
    }
}

/// Returns the node entries written or dropped since an offset.
fn nodes_since(gateway: &Gateway, since: Offset) -> FeedResponse {
    let Some(end) = gateway.feed.nodes_end.get() else {
        return FeedResponse::Nothing;
    };
    let nodes = gateway.nodes.borrow();
    let listed = nodes
        .iter()
        .filter(|(_, known)| known.incarnation.0 >= since.0);
    let listed = listed.map(|(node, known)| RecordCopy {
        offset: Offset(known.incarnation.0),
        key: Some(node.as_str().to_owned()),
        value: encode(&known.record).into(),
    });
    let dropped = nodes.dropped_since(since).map(|(node, offset)| RecordCopy {
        offset,
        key: Some(node.as_str().to_owned()),
        value: bytes::Bytes::new(),
    });
    FeedResponse::Nodes {
        end,
        entries: listed.chain(dropped).collect(),
    }
}
