//! What a set of simulations came to, and how it is printed.

use std::collections::{BTreeMap, BTreeSet};

use comfy_table::Table;
use comfy_table::presets::ASCII_MARKDOWN;
use elderworks_simulation::Report;
use elderworks_simulation::check::Invariant;
use elderworks_simulation::run::Totals;
use serde::Serialize;

/// Counts over all runs.
#[derive(Debug, Default, Serialize)]
pub(super) struct Summary {
    /// Runs made.
    pub runs: usize,
    /// Violations seen in all of them.
    pub violations: usize,
    /// How much was done.
    pub totals: Totals,
    /// By the faults in force, alone and in pairs.
    pub rows: BTreeMap<String, Row>,
    /// Failing runs with the shortest schedule found for each.
    pub failures: Vec<Report>,
}

/// Counts over the runs in which a fault, or a pair, was in force.
#[derive(Debug, Default, Serialize)]
pub(super) struct Row {
    /// Runs made.
    pub runs: usize,
    /// Runs in which an invariant was violated.
    pub violated: BTreeMap<Invariant, usize>,
}

impl Summary {
    /// Counts one run.
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

/// Each fault of a run by itself, and each pair.
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

/// Prints how often each invariant was violated under each fault and pair.
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

/// Prints a failing run: its seed, its violations, the shortest schedule and that run's trace.
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
