//! Report of the comparison, as a table and as JSON.

use comfy_table::Table;
use serde::Serialize;

use super::metrics::Metrics;
use super::statistics::Estimate;

/// Policy name of the rows with the lower bound.
pub const BOUND: &str = "bound";

/// Results of one policy at one load.
#[derive(Clone, Debug)]
pub struct Row {
    /// Preset name.
    pub preset: &'static str,
    /// Load as a fraction of capacity.
    pub load: f64,
    /// Policy name.
    pub policy: &'static str,
    /// Metrics of each seed.
    pub metrics: Vec<Metrics>,
}

/// JSON form of a row, with means over the seeds.
#[derive(Clone, Debug, Serialize)]
pub struct JsonRow {
    preset: &'static str,
    load: f64,
    policy: &'static str,
    seed_count: usize,
    mean_s: f64,
    p50_s: f64,
    p95_s: f64,
    p99_s: f64,
    deadline_share: f64,
    ttft_p95_s: f64,
    wasted_block_s: f64,
    recomputed_tokens: f64,
    fairness: f64,
    refusals: f64,
    unfinished: f64,
}

impl Row {
    /// Estimates the mean of a metric over the seeds.
    pub fn estimate(&self, figure: impl Fn(&Metrics) -> f64) -> Estimate {
        let values: Vec<f64> = self.metrics.iter().map(figure).collect();
        Estimate::of(&values)
    }

    /// Returns the row with the lower bound for the same programs.
    pub fn bound(&self) -> Row {
        let metrics = self.metrics.iter().map(|metrics| Metrics {
            mean: metrics.bound.mean,
            p50: metrics.bound.p50,
            p95: metrics.bound.p95,
            p99: metrics.bound.p99,
            deadline_met_ratio: metrics.bound.deadline_met_ratio,
            fairness: 1.0,
            ..Metrics::default()
        });
        Row {
            policy: BOUND,
            metrics: metrics.collect(),
            ..self.clone()
        }
    }

    /// Converts the row to its JSON form.
    pub fn to_json(&self) -> JsonRow {
        let mean = |figure: fn(&Metrics) -> f64| self.estimate(figure).mean;
        JsonRow {
            preset: self.preset,
            load: self.load,
            policy: self.policy,
            seed_count: self.metrics.len(),
            mean_s: mean(|metrics| metrics.mean),
            p50_s: mean(|metrics| metrics.p50),
            p95_s: mean(|metrics| metrics.p95),
            p99_s: mean(|metrics| metrics.p99),
            deadline_share: mean(|metrics| metrics.deadline_met_ratio),
            ttft_p95_s: mean(|metrics| metrics.first_token_p95),
            wasted_block_s: mean(|metrics| metrics.wasted_block_seconds),
            recomputed_tokens: mean(|metrics| metrics.recomputed_tokens),
            fairness: mean(|metrics| metrics.fairness),
            refusals: mean(|metrics| metrics.refusals),
            unfinished: mean(|metrics| metrics.unfinished),
        }
    }
}

/// Formats the rows as a table; each cell is a mean over seeds with its 95 % confidence interval.
pub fn table(rows: &[Row]) -> Table {
    let mut table = Table::new();
    table.load_preset(comfy_table::presets::ASCII_MARKDOWN);
    table.set_header([
        "load",
        "policy",
        "mean s",
        "p50 s",
        "p95 s",
        "p99 s",
        "in time",
        "first token p95 s",
        "wasted kblock-s",
        "recomputed ktok",
        "fairness",
        "refused",
        "unfinished",
    ]);
    for row in rows {
        table.add_row(cells(row));
    }
    table
}

fn cells(row: &Row) -> Vec<String> {
    let cell = |scale: f64, digits: usize, figure: fn(&Metrics) -> f64| {
        let estimate = row.estimate(figure);
        let (mean, half_width) = (estimate.mean / scale, estimate.half_width / scale);
        format!("{mean:.digits$} ±{half_width:.digits$}")
    };
    vec![
        format!("{}", row.load),
        row.policy.to_owned(),
        cell(1.0, 1, |metrics| metrics.mean),
        cell(1.0, 1, |metrics| metrics.p50),
        cell(1.0, 1, |metrics| metrics.p95),
        cell(1.0, 1, |metrics| metrics.p99),
        cell(1.0, 3, |metrics| metrics.deadline_met_ratio),
        cell(1.0, 2, |metrics| metrics.first_token_p95),
        cell(1e3, 0, |metrics| metrics.wasted_block_seconds),
        cell(1e3, 0, |metrics| metrics.recomputed_tokens),
        cell(1.0, 2, |metrics| metrics.fairness),
        cell(1.0, 0, |metrics| metrics.refusals),
        cell(1.0, 0, |metrics| metrics.unfinished),
    ]
}
