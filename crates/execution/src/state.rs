//! Durable state: computed from the records of the partition's stream, identical on every reader.

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
    /// The current owner, whose records are applied.
    pub ownership: Ownership,
    /// Active and ended runs.
    pub runs: BTreeMap<RunId, RunState>,
    /// Runs with an open call.
    pub open: BTreeSet<RunId>,
    /// Ended runs, ordered by the time of their end.
    pub ended: BTreeSet<(Timestamp, RunId)>,
    /// Ended runs whose memory an engine may still hold.
    pub unreleased: BTreeSet<RunId>,
    /// This partition's share of each tenant's budget.
    pub allotments: BTreeMap<TenantId, TenantAllotment>,
    /// Grants to other partitions, for each tenant whose budget this partition holds.
    pub grants: BTreeMap<TenantId, TenantGrants>,
}

impl JournalState {
    /// Returns the run if it belongs to `tenant`.
    pub fn run_of(&self, tenant: &TenantId, run: RunId) -> Option<&RunState> {
        self.runs
            .get(&run)
            .filter(|state| state.spec.tenant == *tenant)
    }

    /// Returns the call, open or ended.
    pub fn call(&self, call: CallId) -> Option<&CallState> {
        self.runs.get(&call.run)?.call(call.number)
    }

    /// Returns the call if it is open.
    pub fn open_call(&self, call: CallId) -> Option<&CallState> {
        self.call(call).filter(|state| state.end.is_none())
    }

    /// Returns a hash of the state; readers at the same offset have equal hashes.
    pub fn digest(&self) -> u64 {
        xxhash_rust::xxh3::xxh3_64(&self.encode())
    }
}
