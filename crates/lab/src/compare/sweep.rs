//! Runs experiments over all loads, policies and seeds in parallel.

use std::ops::Range;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};

use super::experiment::{self, ExperimentSettings};
use super::fleet::FleetSettings;
use super::metrics::Metrics;
use super::policy::PolicyKind;
use super::report::Row;
use crate::workload::Preset;

/// Maximum number of experiments that run in parallel.
const MAX_THREADS: usize = 4;

/// Returns the rows of every policy and of the lower bound at every load.
pub fn run(preset: &Preset, loads: &[f64], policies: &[PolicyKind], seeds: Range<u64>) -> Vec<Row> {
    let settings = settings(preset, loads, policies, seeds.clone());
    let results = run_all(&settings);
    let per_row = (seeds.end - seeds.start) as usize;
    let mut rows = Vec::new();
    for (settings, metrics) in settings.chunks(per_row).zip(results.chunks(per_row)) {
        rows.push(Row {
            preset: preset.name,
            load: settings[0].load,
            policy: settings[0].policy.name(),
            metrics: metrics.to_vec(),
        });
        if Some(&settings[0].policy) == policies.last() {
            rows.extend(rows.last().map(Row::bound));
        }
    }
    rows
}

fn settings(
    preset: &Preset,
    loads: &[f64],
    policies: &[PolicyKind],
    seeds: Range<u64>,
) -> Vec<ExperimentSettings> {
    let mut settings = Vec::new();
    for load in loads {
        for policy in policies {
            settings.extend(seeds.clone().map(|seed| ExperimentSettings {
                preset: preset.clone(),
                load: *load,
                policy: *policy,
                seed,
                fleet: FleetSettings::default(),
            }));
        }
    }
    settings
}

/// Runs all experiments; results are in the order of `settings`.
pub fn run_all(settings: &[ExperimentSettings]) -> Vec<Metrics> {
    let next = AtomicUsize::new(0);
    let results = Mutex::new(vec![Metrics::default(); settings.len()]);
    std::thread::scope(|scope| {
        for _ in 0..MAX_THREADS.min(settings.len()) {
            scope.spawn(|| run_pending(settings, &next, &results));
        }
    });
    results.into_inner().unwrap_or_else(PoisonError::into_inner)
}

fn run_pending(settings: &[ExperimentSettings], next: &AtomicUsize, results: &Mutex<Vec<Metrics>>) {
    loop {
        let index = next.fetch_add(1, Ordering::Relaxed);
        let Some(setting) = settings.get(index) else {
            return;
        };
        let metrics = experiment::run(setting);
        results.lock().unwrap_or_else(PoisonError::into_inner)[index] = metrics;
    }
}
