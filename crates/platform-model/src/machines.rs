//! The list of machines, seen with a lag.

use std::collections::VecDeque;
use std::time::Duration;

use elderworks_platform_api::machines::MachineList;
use elderworks_types::Timestamp;

/// Most changes that wait to become visible; older ones are skipped over by newer ones.
const MAX_PENDING: usize = 64;

struct Pending {
    visible_from: Timestamp,
    list: MachineList,
}

/// The truth and what readers see of it.
pub struct MachinesModel {
    lag: Duration,
    visible: MachineList,
    pending: VecDeque<Pending>,
    version: u64,
}

impl MachinesModel {
    /// A list that is visible at once; later changes become visible after `lag`.
    pub fn new(lag: Duration, list: MachineList) -> Self {
        let version = 1;
        Self {
            lag,
            visible: MachineList { version, ..list },
            pending: VecDeque::new(),
            version,
        }
    }

    /// Replaces the list. The model numbers versions itself.
    pub fn replace(&mut self, now: Timestamp, list: MachineList) {
        self.version += 1;
        if self.pending.len() == MAX_PENDING {
            self.pending.pop_front();
        }
        self.pending.push_back(Pending {
            visible_from: now + self.lag,
            list: MachineList {
                version: self.version,
                ..list
            },
        });
    }

    /// The truth, whether visible yet or not.
    pub fn current(&self) -> &MachineList {
        self.pending
            .back()
            .map_or(&self.visible, |pending| &pending.list)
    }

    /// The list as a reader sees it.
    pub fn read(&mut self, now: Timestamp) -> &MachineList {
        while let Some(pending) = self
            .pending
            .pop_front_if(|pending| pending.visible_from <= now)
        {
            self.visible = pending.list;
        }
        &self.visible
    }
}
