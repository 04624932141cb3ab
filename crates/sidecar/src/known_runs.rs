//! Runs that this sidecar has seen, so that ordinary calls need no extra question to a node.

use std::collections::BTreeMap;
use std::sync::Mutex;

use elderworks_types::{CallNumber, RunId, TenantId};

/// Most runs remembered; the others are read from their owner again when needed.
const REMEMBERED_RUNS: usize = 16_384;

#[derive(Clone, Debug)]
struct KnownRun {
    tenant: TenantId,
    next_number: CallNumber,
}

/// Owner and next call number of recently used runs.
#[derive(Debug, Default)]
pub struct KnownRuns {
    runs: Mutex<BTreeMap<RunId, KnownRun>>,
}

impl KnownRuns {
    /// Notes a run, or that more calls of it were made than known here.
    pub fn learn(&self, run: RunId, tenant: &TenantId, next_number: CallNumber) {
        let mut runs = self.lock();
        if runs.len() >= REMEMBERED_RUNS && !runs.contains_key(&run) {
            runs.pop_first();
        }
        let known = runs.entry(run).or_insert_with(|| KnownRun {
            tenant: tenant.clone(),
            next_number,
        });
        known.next_number = known.next_number.max(next_number);
    }

    /// Whether the run is known to be the tenant's.
    pub fn is_known(&self, run: RunId, tenant: &TenantId) -> bool {
        let runs = self.lock();
        runs.get(&run).is_some_and(|known| known.tenant == *tenant)
    }

    /// Takes the next call number of a known run.
    pub fn take_number(&self, run: RunId) -> Option<CallNumber> {
        let mut runs = self.lock();
        let known = runs.get_mut(&run)?;
        let number = known.next_number;
        known.next_number = number.next();
        Some(number)
    }

    /// Notes that the caller itself chose a number.
    pub fn number_used(&self, run: RunId, number: CallNumber) {
        if let Some(known) = self.lock().get_mut(&run) {
            known.next_number = known.next_number.max(number.next());
        }
    }

    /// Gives back the number of a call that was refused, unless later ones were taken.
    pub fn give_back(&self, run: RunId, number: CallNumber) {
        if let Some(known) = self.lock().get_mut(&run)
            && known.next_number == number.next()
        {
            known.next_number = number;
        }
    }

    /// Forgets an ended run.
    pub fn forget(&self, run: RunId) {
        self.lock().remove(&run);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, BTreeMap<RunId, KnownRun>> {
        self.runs.lock().expect("no holder of this lock panics")
    }
}
