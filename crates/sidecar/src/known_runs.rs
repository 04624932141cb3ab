//! Cache of runs, which saves most calls a read of their run from its node.

use std::collections::BTreeMap;
use std::sync::Mutex;

use elderworks_types::{CallNumber, RunId, TenantId};

/// Maximum number of cached runs. Beyond it the run with the lowest id is evicted, and read from its node
/// again when needed.
const MAX_KNOWN_RUNS: usize = 16_384;

#[derive(Clone, Debug)]
struct KnownRun {
    tenant: TenantId,
    next_number: CallNumber,
}

/// Tenant and next call number of the cached runs.
#[derive(Debug, Default)]
pub struct KnownRuns {
    runs: Mutex<BTreeMap<RunId, KnownRun>>,
}

impl KnownRuns {
    /// Records a run, or raises the next call number of a known one.
    pub fn record(&self, run: RunId, tenant: &TenantId, next_number: CallNumber) {
        let mut runs = self.lock();
        if runs.len() >= MAX_KNOWN_RUNS && !runs.contains_key(&run) {
            runs.pop_first();
        }
        let known = runs.entry(run).or_insert_with(|| KnownRun {
            tenant: tenant.clone(),
            next_number,
        });
        known.next_number = known.next_number.max(next_number);
    }

    /// Returns whether the run is known to belong to the tenant.
    pub fn is_known(&self, run: RunId, tenant: &TenantId) -> bool {
        let runs = self.lock();
        runs.get(&run).is_some_and(|known| known.tenant == *tenant)
    }

    /// Reserves the next call number of a known run.
    pub fn take_number(&self, run: RunId) -> Option<CallNumber> {
        let mut runs = self.lock();
        let known = runs.get_mut(&run)?;
        let number = known.next_number;
        known.next_number = number.next();
        Some(number)
    }

    /// Records that a call number is in use, so that it is not assigned again.
    pub fn record_number(&self, run: RunId, number: CallNumber) {
        if let Some(known) = self.lock().get_mut(&run) {
            known.next_number = known.next_number.max(number.next());
        }
    }

    /// Releases the number of a refused call, unless a later one has been reserved since.
    pub fn return_number(&self, run: RunId, number: CallNumber) {
        if let Some(known) = self.lock().get_mut(&run)
            && known.next_number == number.next()
        {
            known.next_number = number;
        }
    }

    /// Removes a run, usually because it has ended.
    pub fn remove(&self, run: RunId) {
        self.lock().remove(&run);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, BTreeMap<RunId, KnownRun>> {
        self.runs.lock().expect("no holder of this lock panics")
    }
}
