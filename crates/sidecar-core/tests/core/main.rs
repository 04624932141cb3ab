//! Tests of the sidecar's state machine against scripted nodes.

mod bench;
mod calls;
mod delivery;
mod due_queue;
mod runs;
