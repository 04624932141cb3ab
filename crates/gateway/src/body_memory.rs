//! Memory for the bodies of requests under way, all together.

use std::cell::Cell;
use std::rc::Rc;

/// Bytes of all bodies at once. Well under a machine's memory, of which answers take a part too.
const MAX_BYTES: usize = 64 * 1024 * 1024;

/// Counts the bytes of bodies that are held.
#[derive(Clone, Debug, Default)]
pub(crate) struct BodyMemory {
    used: Rc<Cell<usize>>,
}

impl BodyMemory {
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
        if used > MAX_BYTES {
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
