//! Model of the list of machines, whose changes become visible with a delay.

use std::collections::VecDeque;
use std::time::Duration;

use elderworks_platform_api::machines::MachineList;
use elderworks_types::Timestamp;

/// Maximum number of changes that are not visible yet; beyond it, the oldest is dropped.
const MAX_PENDING: usize = 64;

struct Pending {
    visible_from: Timestamp,
    list: MachineList,
}

/// The current list of machines and the list that readers see.
pub struct MachinesModel {
    lag: Duration,
    visible: MachineList,
    pending: VecDeque<Pending>,
    version: u64,
}

impl MachinesModel {
    /// Creates a model whose initial list is visible immediately. Later changes become visible after
    /// `lag`.
    pub fn new(lag: Duration, list: MachineList) -> Self {
        let version = 1;
        Self {
            lag,
            visible: MachineList { version, ..list },
            pending: VecDeque::new(),
            version,
        }
    }

    /// Replaces the list. The version of `list` is ignored; the model assigns the next one.
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

    /// Returns the current list, which may not be visible yet.
    pub fn current(&self) -> &MachineList {
        self.pending
            .back()
            .map_or(&self.visible, |pending| &pending.list)
    }

    /// Returns the list that is visible at `now`.
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
