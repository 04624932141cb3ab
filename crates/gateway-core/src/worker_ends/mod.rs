//! Workers that ended while they ran a request.
//!
//! A request may be the cause of an end, so that it must not be sent from worker to worker for ever, in
//! whichever of its caller's tries and at whichever node.

pub mod identity;
