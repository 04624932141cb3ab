//! Specification and state of a run.

use serde::{Deserialize, Serialize};

use crate::{Credits, ResourceName, RunId, TenantId, Timestamp};

/// Properties of a run that its caller specifies at the start.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunSpec {
    /// The run's id, chosen at random by the sidecar so that a repeated start is detected.
    pub id: RunId,
    /// The tenant to which the run belongs.
    pub tenant: TenantId,
    /// The `Program` resource whose limits apply.
    pub program: ResourceName,
    /// The parent run, which has the same root; `None` for a root run.
    pub parent: Option<RunId>,
    /// Maximum spending of the run, including its sub-agents. A sub-agent's budget is reserved from its
    /// parent's. The owner limits it to the program's maximum.
    pub budget: Credits,
    /// Time by which the run should complete, if given by the caller.
    pub deadline: Option<Timestamp>,
}

/// State of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunPhase {
    /// The run accepts calls.
    Active,
    /// The run was ended by its caller.
    Ended,
    /// The run was ended because it reached a limit of its program.
    LimitReached,
    /// The run was ended by an operator or because its parent ended.
    Cancelled,
}
