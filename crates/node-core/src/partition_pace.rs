//! Sets the polling intervals of the followed partition streams.

use crate::core::NodeCore;
use crate::ownership::Phase;
use crate::pace::PartitionUse;

impl NodeCore {
    /// Updates the activity and the polling interval of all followed partitions.
    pub(crate) fn pace_partitions(&mut self) {
        let with_attempts = self.attempts.partitions();
        for (partition, followed) in &mut self.ownership.followed {
            let Some(stream) = self.streams.partitions.get_mut(partition) else {
                continue;
            };
            let working = stream.outstanding() > 0 || with_attempts.contains(partition);
            if working || stream.next_offset() != followed.next_offset_at_last_check {
                followed.next_offset_at_last_check = stream.next_offset();
                followed.last_activity = self.now;
            }
            let partition_use = PartitionUse {
                settled: followed.phase == Phase::Owned,
                working,
                last_activity: followed.last_activity,
            };
            stream.set_poll_interval(self.now, partition_use.poll_interval(self.now));
        }
    }
}
