//! The stream of the workers' entries.

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

/// Longest wait of a node that has just started for its place among the readers.
const LONGEST_PLACING: Duration = Duration::from_secs(1);

/// Pause between two looks whether it is known.
const PLACING_LOOK: Duration = Duration::from_millis(20);

/// Follows the workers' entries until the process ends.
pub(crate) async fn follow_workers(gateway: Rc<Gateway>) {
    follow::<WorkerFollower>(gateway, None).await;
}

struct WorkerFollower;

impl Follower for WorkerFollower {
    const STREAM: Stream = Stream::Workers;

    fn take_all(gateway: &Rc<Gateway>, records: &[StreamRecord], end: Offset) {
        let listed = records.iter().filter(|record| !record.value.is_empty());
        let workers = listed.filter_map(|record| read_worker(gateway, record));
        gateway.feed.take_workers(gateway, workers.collect(), end);
        gateway.reach_milestone(Milestone::Workers);
    }

    fn take_more(gateway: &Rc<Gateway>, records: &[StreamRecord]) {
        let Some(last) = records.last() else {
            return;
        };
        for record in records {
            take_worker(gateway, record);
        }
        feed::apply(gateway, last.offset);
    }

    fn note_current(gateway: &Gateway, sent: Timestamp, _end: Offset) {
        gateway.feed.note_workers_read(sent);
    }

    fn after_read(gateway: &Gateway) {
        feed::upkeep(gateway);
        gateway.update_serving_nodes();
    }

    async fn reads_on(gateway: &Gateway) -> bool {
        let started = gateway.now();
        while !gateway.start.has_reached(Milestone::Joined)
            && gateway.now().since(started) < LONGEST_PLACING
        {
            actix_rt::time::sleep(PLACING_LOOK).await;
        }
        gateway.feed.reads_on(gateway)
    }
}

/// Takes the entry of a worker.
fn take_worker(gateway: &Gateway, record: &StreamRecord) {
    let Some(id) = record.key.as_deref() else {
        return;
    };
    if record.value.is_empty() {
        gateway.feed.remove_worker(id);
    } else if let Some(worker) = read_worker(gateway, record) {
        gateway.feed.upsert_worker(worker);
    }
}

/// The worker that an entry names; `None` if it cannot be read, and nobody uses the worker any more.
fn read_worker(gateway: &Gateway, record: &StreamRecord) -> Option<WorkerRecord> {
    let id = record.key.as_deref()?;
    match gateway.platform.parse_worker(record) {
        Ok(worker) => Some(worker),
        Err(error) => {
            gateway.metrics.unreadable_entries.inc();
            if gateway.unreadable_entries.borrow_mut().note(id) {
                log::error!(worker = id, offset = record.offset.0, error = error.to_string().as_str(); "worker's entry cannot be read");
            }
            gateway.feed.remove_worker(id);
            let now = gateway.now();
            if gateway.workers.borrow_mut().mark_unreadable(id, now) {
                log::warn!(worker = id, offset = record.offset.0; "worker is not used: its entry was overwritten");
            }
            None
        }
    }
}
