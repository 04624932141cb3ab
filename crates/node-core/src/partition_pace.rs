//! Setting how often the streams of followed partitions are read.

use crate::core::NodeCore;
use crate::ownership::Phase;
use crate::pace::PartitionUse;

impl NodeCore {
    /// Reads the streams of partitions in use often, those at rest seldom.
    pub(crate) fn pace_partitions(&mut self) {
        let with_attempts = self.attempts.partitions();
        for (partition, held) in &mut self.ownership.held {
            let Some(stream) = self.streams.partitions.get_mut(partition) else {
                continue;
            };
            let working = stream.outstanding() > 0 || with_attempts.contains(partition);
            if working || stream.next_offset() != held.seen {
                held.seen = stream.next_offset();
                held.last_activity = self.now;
            }
            let partition_use = PartitionUse {
                settled: held.phase == Phase::Owned,
                working,
                last_activity: held.last_activity,
            };
            stream.set_poll_interval(self.now, partition_use.poll_interval(self.now));
        }
    }
}
