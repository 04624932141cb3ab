//! The report of a scale run.

use comfy_table::Table;
use serde::Serialize;

use super::fit::LinearFit;
use super::fleet::churn::Churn;
use super::fleet::detection::Detection;
use super::fleet::loss::FalseAccusations;
use super::fleet::mass_failure::MassFailure;
use super::fleet::steady::{RoleTraffic, Steady, cause_names};
use super::roles::{Filled, slopes};
use super::timing::EventTime;

/// Everything that a run measured.
#[derive(Debug, Default, Serialize)]
pub struct Report {
    /// Roles that carry runs.
    pub filled: Vec<Filled>,
    /// Fleets at rest.
    pub steady: Vec<Steady>,
    /// Deaths detected.
    pub detection: Vec<Detection>,
    /// Living nodes accused under loss.
    pub accusations: Vec<FalseAccusations>,
    /// Replacements of single nodes.
    pub churn: Vec<Churn>,
    /// Failures of many nodes at once.
    pub failures: Vec<MassFailure>,
}

impl Report {
    /// State, flows and processor time of the roles that carry runs.
    pub fn print_roles(&self) {
        let header = [
            "role",
            "count",
            "resident B",
            "encoded B",
            "calls",
            "records",
            "record B",
            "messages",
            "message B",
        ];
        let rows = self.filled.iter().map(|one| {
            vec![
                one.role.to_string(),
                one.count.to_string(),
                one.resident_bytes.to_string(),
                one.encoded_bytes
                    .map_or(String::new(), |bytes| bytes.to_string()),
                one.flows.calls.to_string(),
                one.flows.records.to_string(),
                one.flows.record_bytes.to_string(),
                one.flows.messages.to_string(),
                one.flows.message_bytes.to_string(),
            ]
        });
        print_table("State by role", &header, rows);
        for slope in slopes(&self.filled) {
            println!("{}: resident bytes = {}", slope.role, slope.resident);
            if let Some(encoded) = slope.encoded {
                println!("{}: encoded bytes = {encoded}", slope.role);
            }
        }
        let times = self.filled.iter();
        print_times(times.map(|one| (one.role, one.count, one.times.as_slice())));
    }

    /// Cost of replacements.
    pub fn print_churn(&self) {
        let header = ["nodes", "x target", "replaced", "B/s", "max B/s"];
        let rows = self.churn.iter().map(|one| {
            vec![
                one.nodes.to_string(),
                one.multiple.to_string(),
                one.replaced.to_string(),
                rounded(one.bytes_per_second),
                rounded(one.max_bytes_per_second),
            ]
        });
        print_table("Replacements of single nodes", &header, rows);
    }

    /// Fleets at rest, and the slopes of their cost.
    pub fn print_steady(&self) {
        let header = [
            "nodes",
            "cells",
            "settled s",
            "B/node",
            "core %",
            "change median s",
            "worst s",
            "changes",
            "in force",
            "log reads/s",
        ];
        let rows = self.steady.iter().map(|one| {
            let (median, worst) = one.change_seconds.unzip();
            vec![
                one.nodes.to_string(),
                one.cells.to_string(),
                optional(one.settle_seconds),
                rounded(one.bytes_per_node),
                format!("{:.4}", one.core_percent),
                optional(median),
                optional(worst),
                one.changes.0.to_string(),
                one.changes.1.to_string(),
                rounded(one.log_reads_per_second),
            ]
        });
        print_table("Fleet at rest, 20,000 changes a day", &header, rows);
        let times = self
            .steady
            .iter()
            .map(|one| ("detector: nodes", one.nodes, one.times.as_slice()));
        print_times(times);
        self.print_traffic();
        self.print_fit("bytes of detector per node over nodes", |one| {
            one.bytes_per_node
        });
        self.print_fit("percent of a core per node over nodes", |one| {
            one.core_percent
        });
    }

    fn print_fit(&self, what: &str, value: impl Fn(&Steady) -> f64) {
        let points: Vec<(f64, f64)> = self
            .steady
            .iter()
            .map(|one| (one.nodes as f64, value(one)))
            .collect();
        if let Some(fit) = LinearFit::through(&points) {
            println!("{what} = {fit}");
        }
    }

    fn print_traffic(&self) {
        let mut header = vec!["nodes", "role", "of role", "mean B/s", "max B/s"];
        let names = cause_names();
        header.extend(names.iter().map(String::as_str));
        let rows = self
            .steady
            .iter()
            .flat_map(|one| one.roles.iter().map(|role| traffic_row(one.nodes, role)));
        print_table(
            "Bytes a second per node, both directions, by cause",
            &header,
            rows,
        );
    }

    /// How soon deaths were known.
    pub fn print_detection(&self) {
        let header = [
            "nodes",
            "killed",
            "first s",
            "all mean s",
            "all worst s",
            "missed",
        ];
        let rows = self.detection.iter().map(|one| {
            vec![
                one.nodes.to_string(),
                one.killed.to_string(),
                rounded(one.first_mean_seconds),
                rounded(one.all_mean_seconds),
                rounded(one.all_worst_seconds),
                one.missed.to_string(),
            ]
        });
        print_table("Death of single nodes known in their cell", &header, rows);
    }

    /// Living nodes accused under loss.
    pub fn print_accusations(&self) {
        let header = [
            "nodes",
            "loss %",
            "s",
            "suspicions",
            "deaths",
            "cell deaths",
            "B/s",
        ];
        let rows = self.accusations.iter().map(|one| {
            vec![
                one.nodes.to_string(),
                one.loss_percent.to_string(),
                rounded(one.seconds),
                one.suspicions.to_string(),
                one.deaths.to_string(),
                one.cell_deaths.to_string(),
                rounded(one.bytes_per_second),
            ]
        });
        print_table("Living nodes accused under loss", &header, rows);
    }

    /// Failures of many nodes at once.
    pub fn print_failures(&self) {
        let header = [
            "what", "nodes", "failed", "known s", "B/s", "max B/s", "healed s", "heal B/s",
        ];
        let rows = self.failures.iter().map(|one| {
            vec![
                one.what.clone(),
                one.nodes.to_string(),
                one.failed.to_string(),
                optional(one.known_seconds),
                rounded(one.bytes_per_second),
                rounded(one.max_bytes_per_second),
                optional(one.healed_seconds),
                rounded(one.heal_bytes_per_second),
            ]
        });
        print_table("Failures of many nodes at once", &header, rows);
    }
}

fn print_times<'a>(times: impl Iterator<Item = (&'a str, usize, &'a [EventTime])>) {
    let header = [
        "role",
        "count",
        "event",
        "samples",
        "mean us",
        "interrupted",
    ];
    let rows = times.flat_map(|(role, count, times)| {
        times.iter().map(move |time| {
            vec![
                role.to_string(),
                count.to_string(),
                time.event.to_string(),
                time.count.to_string(),
                rounded(time.mean_micros),
                time.interrupted.to_string(),
            ]
        })
    });
    print_table("Processor time by event", &header, rows);
}

fn traffic_row(nodes: usize, role: &RoleTraffic) -> Vec<String> {
    let mut row = vec![
        nodes.to_string(),
        format!("{:?}", role.role),
        role.nodes.to_string(),
        rounded(role.mean_bytes_per_second),
        rounded(role.max_bytes_per_second),
    ];
    row.extend(role.by_cause.iter().map(|bytes| rounded(*bytes)));
    row
}

fn rounded(value: f64) -> String {
    if value.abs() >= 100.0 {
        format!("{value:.0}")
    } else {
        format!("{value:.2}")
    }
}

fn optional(value: Option<f64>) -> String {
    value.map_or("not reached".to_string(), rounded)
}

fn print_table(title: &str, header: &[&str], rows: impl Iterator<Item = Vec<String>>) {
    let mut table = Table::new();
    table.set_header(header);
    for row in rows {
        table.add_row(row);
    }
    println!("\n{title}\n{table}");
}
