//! Follows the stream of worker entries.

use std::rc::Rc;
use std::time::Duration;

use elderworks_gateway_core::log_streams::Stream;
use elderworks_gateway_core::start::Milestone;
use elderworks_gateway_core::workers::WorkerRecord;
use elderworks_types::{Offset, Timestamp};

use super::{Follower, follow};
use crate::feed;
use crate::gateway::Gateway;
use crate::ports::StreamRecord;

/// Maximum time that a starting node waits to join before it decides whether to continue reading.
const MAX_JOIN_WAIT: Duration = Duration::from_secs(1);

/// Interval at which a starting node checks whether it has joined.
const JOIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Follows the worker entries until the process ends.
pub(crate) async fn follow_workers(gateway: Rc<Gateway>) {
    follow::<WorkerFollower>(gateway, None).await;
}

struct WorkerFollower;

impl Follower for WorkerFollower {
    const STREAM: Stream = Stream::Workers;

    fn replace_all(gateway: &Rc<Gateway>, records: &[StreamRecord], end: Offset) {
        let listed = records.iter().filter(|record| !record.value.is_empty());
        let workers = listed.filter_map(|record| decode_worker(gateway, record));
        gateway
            .feed
            .replace_workers(gateway, workers.collect(), end);
        gateway.reach_milestone(Milestone::Workers);
    }

    fn apply(gateway: &Rc<Gateway>, records: &[StreamRecord]) {
        let Some(last) = records.last() else {
            return;
        };
        for record in records {
            apply_worker(gateway, record);
        }
        feed::apply(gateway, last.offset);
    }

    fn on_current(gateway: &Gateway, sent: Timestamp, _end: Offset) {
        gateway.feed.note_workers_read(gateway, sent);
    }

    fn after_read(gateway: &Gateway) {
        feed::upkeep(gateway);
        gateway.update_serving_nodes();
    }

    async fn continues_reading(gateway: &Gateway) -> bool {
        let started = gateway.now();
        while !gateway.start.has_reached(Milestone::Joined)
            && gateway.now().since(started) < MAX_JOIN_WAIT
        {
            actix_rt::time::sleep(JOIN_POLL_INTERVAL).await;
        }
        gateway.feed.continues_reading(gateway)
    }
}

/// Applies the entry of a worker.
fn apply_worker(gateway: &Gateway, record: &StreamRecord) {
    let Some(id) = record.key.as_deref() else {
        return;
    };
    if record.value.is_empty() {
        gateway.feed.remove_worker(id);
    } else if let Some(worker) = decode_worker(gateway, record) {
        gateway.feed.upsert_worker(worker);
    }
}

/// Decodes the entry of a worker. If that fails, the worker is removed and `None` returned.
fn decode_worker(gateway: &Gateway, record: &StreamRecord) -> Option<WorkerRecord> {
    let id = record.key.as_deref()?;
    match gateway.platform.parse_worker(record) {
        Ok(worker) => Some(worker),
        Err(error) => {
            gateway.metrics.unreadable_entries.inc();
            if gateway.unreadable_entries.borrow_mut().note(id) {
                log::error!(worker = id, offset = record.offset.0, error = error.to_string().as_str(); "cannot decode a worker's entry");
            }
            gateway.feed.remove_worker(id);
            let now = gateway.now();
            if gateway.workers.borrow_mut().mark_unreadable(id, now) {
                log::warn!(worker = id, offset = record.offset.0; "worker is no longer used: its new entry cannot be decoded");
            }
            None
        }
    }
}
