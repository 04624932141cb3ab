//! What identifies a program under way.

use serde::{Deserialize, Serialize};

use crate::{Credits, ResourceName, RunId, TenantId, Timestamp};

/// What a caller fixes when it starts a run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunSpec {
    /// Chosen at random by the sidecar, so that a repeated start is recognised.
    pub id: RunId,
    /// On whose behalf.
    pub tenant: TenantId,
    /// The `Program` resource whose limits apply.
    pub program: ResourceName,
    /// The run that spawned this one, of the same tree; `None` for a root run.
    pub parent: Option<RunId>,
    /// Most that the run may spend, its sub-agents included. For a sub-agent this is carved from
    /// the parent's budget. The owner lowers it to what the program allows.
    pub budget: Credits,
    /// When the whole run should be done, if the caller said so.
    pub deadline: Option<Timestamp>,
}

/// Where a run stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunPhase {
    /// Accepting calls.
    Active,
    /// Ended by its caller.
    Ended,
    /// Ended by a limit of its program.
    LimitReached,
    /// Ended by an operator or by its parent's end.
    Cancelled,
}
