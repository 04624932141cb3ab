//! What placement decides.

use elderworks_types::{EngineId, Refusal, RunId};

use crate::Ticket;

/// An output of [`crate::Placement::handle`].
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send the attempt to this engine now.
    Dispatch {
        /// Which attempt.
        ticket: Ticket,
        /// Where to.
        engine: EngineId,
        /// Priority for the engine's own queue; smaller goes first.
        engine_priority: i64,
        /// Why there, and how long it waited, for `explain`.
        note: String,
    },
    /// Give the attempt up; no engine has seen it.
    Refuse {
        /// Which attempt.
        ticket: Ticket,
        /// Why, and when to come back.
        refusal: Refusal,
    },
    /// Keep the run's blocks on the engine for at most this long, above ordinary eviction order.
    Retain {
        /// The run.
        run: RunId,
        /// The engine.
        engine: EngineId,
        /// Lease.
        lease: std::time::Duration,
    },
    /// Let the run's blocks on the engine go.
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
        /// Exporting engine.
        from: EngineId,
        /// Importing engine.
        to: EngineId,
    },
}
