//! Memory for the bodies of requests under way, all together.

use std::cell::Cell;
use std::rc::Rc;

/// Most bytes of all bodies at once, on whatever machine.
const MAX_BYTES: usize = 64 * 1024 * 1024;

/// Part of the process's memory that bodies may take: a body is held once as it came and once on
/// its way to a worker, and answers, conversations and the process itself need the rest.
const SHARE_DIVISOR: usize = 5;

/// Counts the bytes of bodies that are held.
#[derive(Clone, Debug)]
pub(crate) struct BodyMemory {
    used: Rc<Cell<usize>>,
    most: usize,
}

impl BodyMemory {
    /// Holds nothing yet. `process_bytes` is the memory at which the process is killed.
    pub(crate) fn new(process_bytes: usize) -> Self {
        Self {
            used: Rc::default(),
            most: MAX_BYTES.min(process_bytes / SHARE_DIVISOR),
        }
    }

    /// Room for one body, which holds nothing yet.
    pub(crate) fn share(&self) -> BodyShare {
        BodyShare {
            memory: self.clone(),
            bytes: 0,
        }
    }
}

/// What one body takes; given back when dropped.
#[derive(Debug)]
pub(crate) struct BodyShare {
    memory: BodyMemory,
    bytes: usize,
}

impl BodyShare {
    /// Takes room for more bytes; `false` if there is none left.
    pub(crate) fn grow(&mut self, bytes: usize) -> bool {
        let used = self.memory.used.get() + bytes;
        if used > self.memory.most {
            return false;
        }
        self.memory.used.set(used);
        self.bytes += bytes;
        true
    }
}

impl Drop for BodyShare {
    fn drop(&mut self) {
        let used = self.memory.used.get();
        self.memory.used.set(used - self.bytes);
    }
}
