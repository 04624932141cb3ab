//! Summary of a set of simulations.

use std::collections::{BTreeMap, BTreeSet};

use comfy_table::Table;
use comfy_table::presets::ASCII_MARKDOWN;
use elderworks_simulation::Report;
use elderworks_simulation::check::Invariant;
use elderworks_simulation::run::Totals;
use serde::Serialize;

/// Totals over all runs.
#[derive(Debug, Default, Serialize)]
pub(super) struct Summary {
    /// Number of runs.
    pub runs: usize,
    /// Number of violations in all runs.
    pub violations: usize,
    /// Amount of simulated work.
    pub totals: Totals,
    /// Counts by active fault and by pair of active faults.
    pub rows: BTreeMap<String, Row>,
    /// Failing runs, each with the shortest fault schedule found.
    pub failures: Vec<Report>,
}

/// Counts over the runs in which a fault, or a pair of faults, was active.
#[derive(Debug, Default, Serialize)]
pub(super) struct Row {
    /// Number of runs.
    pub runs: usize,
    /// Number of runs that violated each invariant.
    pub violated: BTreeMap<Invariant, usize>,
}

impl Summary {
    /// Adds one run.
    pub(super) fn add(&mut self, report: &Report) {
        self.runs += 1;
        self.violations += report.violations.len();
        self.totals.add(&report.totals);
        let violated: BTreeSet<Invariant> = report
            .violations
            .iter()
            .map(|violation| violation.invariant)
            .collect();
        for name in row_names(report) {
            let row = self.rows.entry(name).or_default();
            row.runs += 1;
            for invariant in &violated {
                *row.violated.entry(*invariant).or_default() += 1;
            }
        }
    }
}

/// Returns the row names of a run: each of its faults and each pair of them.
fn row_names(report: &Report) -> BTreeSet<String> {
    let kinds: BTreeSet<String> = report
        .schedule
        .iter()
        .map(|fault| fault.kind.to_string())
        .collect();
    if kinds.is_empty() {
        return BTreeSet::from(["none".to_owned()]);
    }
    let mut names = kinds.clone();
    for first in &kinds {
        let later = kinds.iter().filter(|second| *second > first);
        names.extend(later.map(|second| format!("{first} + {second}")));
    }
    names
}

/// Prints the number of violating runs by invariant for each fault and pair of faults.
pub(super) fn print_table(summary: &Summary) {
    let mut table = Table::new();
    table.load_preset(ASCII_MARKDOWN);
    let mut header = vec!["faults".to_owned(), "runs".to_owned()];
    header.extend(
        Invariant::ALL
            .iter()
            .map(|invariant| format!("{invariant:?}")),
    );
    table.set_header(header);
    for (name, row) in &summary.rows {
        let mut cells = vec![name.clone(), row.runs.to_string()];
        cells.extend(Invariant::ALL.iter().map(|invariant| {
            let count = row.violated.get(invariant).copied().unwrap_or_default();
            count.to_string()
        }));
        table.add_row(cells);
    }
    println!("{table}");
    println!("{:?}", summary.totals);
}

/// Prints a failing run's seed and violations, the shortest schedule found and its trace.
pub(super) fn print_failure(report: &Report, shortest: &Report) {
    println!("seed {} violates:", report.seed);
    for violation in &report.violations {
        println!("  {violation}");
    }
    println!("shortest schedule found:");
    for fault in &shortest.schedule {
        println!("  {fault}");
    }
    for violation in &shortest.violations {
        println!("  {violation}");
    }
    println!("its trace:");
    for line in &shortest.trace {
        println!("  {line}");
    }
}
