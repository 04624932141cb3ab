//! What survives: the state that every reader of the stream rebuilds alike.

mod apply;
mod budget;
mod history;
mod ownership;
mod run;
mod snapshot;

use std::collections::{BTreeMap, BTreeSet};

use elderworks_types::{CallId, RunId, TenantId, Timestamp};
use serde::{Deserialize, Serialize};

pub(crate) use apply::{ApplyOutcome, Inconsistency};
pub(crate) use budget::{TenantAllotment, TenantGrants, attempt_cost, reservation};
pub(crate) use ownership::Ownership;
pub(crate) use run::{CallState, RunState};
pub(crate) use snapshot::{LoadStep, Loader, snapshot_records};

/// State of a partition as of one offset of its stream.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct JournalState {
    /// Whose records count.
    pub ownership: Ownership,
    /// Runs, active and ended.
    pub runs: BTreeMap<RunId, RunState>,
    /// Runs that have an open call.
    pub open: BTreeSet<RunId>,
    /// Ended runs by the time of their end.
    pub ended: BTreeSet<(Timestamp, RunId)>,
    /// Ended runs for which engines may still hold memory.
    pub unreleased: BTreeSet<RunId>,
    /// What this partition may spend of each tenant's budget.
    pub allotments: BTreeMap<TenantId, TenantAllotment>,
    /// What this partition, as holder, has granted of each tenant's budget.
    pub grants: BTreeMap<TenantId, TenantGrants>,
}

impl JournalState {
    /// The run, if it belongs to `tenant`.
    pub fn run_of(&self, tenant: &TenantId, run: RunId) -> Option<&RunState> {
        self.runs
            .get(&run)
            .filter(|state| state.spec.tenant == *tenant)
    }

    /// The call, open or ended.
    pub fn call(&self, call: CallId) -> Option<&CallState> {
        self.runs.get(&call.run)?.call(call.number)
    }

    /// The call, while it is open.
    pub fn open_call(&self, call: CallId) -> Option<&CallState> {
        self.call(call).filter(|state| state.end.is_none())
    }

    /// Hash of the whole state; equal on all readers that have read as far.
    pub fn digest(&self) -> u64 {
        xxhash_rust::xxh3::xxh3_64(&self.encode())
    }
}
