//! The outputs of placement.

use elderworks_types::{EngineId, Refusal, RunId};

use crate::Ticket;

/// An output of [`crate::Placement::handle`].
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send an attempt to an engine.
    Dispatch {
        /// The attempt.
        ticket: Ticket,
        /// The engine to send it to.
        engine: EngineId,
        /// Priority in the engine's own queue; smaller values are served first.
        engine_priority: i64,
        /// Reason for the choice and time in the queue, shown by `explain`.
        note: String,
    },
    /// Refuse an attempt that has not been sent to any engine.
    Refuse {
        /// The attempt.
        ticket: Ticket,
        /// The reason, and when the caller may retry.
        refusal: Refusal,
    },
    /// Keep the blocks of a paused run on the engine until the lease expires, evicting other blocks first.
    Retain {
        /// The run.
        run: RunId,
        /// The engine.
        engine: EngineId,
        /// Maximum time to keep the blocks.
        lease: std::time::Duration,
    },
    /// Release the run's blocks on the engine.
    Drop {
        /// The run.
        run: RunId,
        /// The engine.
        engine: EngineId,
    },
    /// Copy the run's blocks from one engine to another.
    Transfer {
        /// The run.
        run: RunId,
        /// The engine that exports the blocks.
        from: EngineId,
        /// The engine that imports the blocks.
        to: EngineId,
    },
}
