//! Report of a load experiment, as text and as JSON.

use std::collections::BTreeMap;

use comfy_table::Table;
use eyre::WrapErr;
use serde::Serialize;

use super::figures::{Figures, Latencies};

#[derive(Serialize)]
struct JsonReport<'a> {
    rate_per_second: f64,
    seed: u64,
    elapsed_seconds: f64,
    programs: JsonLatencies,
    calls: JsonLatencies,
    first_pieces: JsonLatencies,
    errors: &'a BTreeMap<String, u64>,
    broken_answers: u64,
    prompt_tokens: u64,
    cached_tokens: u64,
}

#[derive(Serialize)]
struct JsonLatencies {
    count: u64,
    p50_ms: f64,
    p90_ms: f64,
    p99_ms: f64,
    max_ms: f64,
}

impl From<&Latencies> for JsonLatencies {
    fn from(latencies: &Latencies) -> Self {
        Self {
            count: latencies.count(),
            p50_ms: latencies.quantile_ms(0.5),
            p90_ms: latencies.quantile_ms(0.9),
            p99_ms: latencies.quantile_ms(0.99),
            max_ms: latencies.max_ms(),
        }
    }
}

/// Encodes the figures as JSON.
///
/// # Errors
///
/// Returns an error if encoding fails.
pub fn to_json(figures: &Figures, rate: f64, seed: u64) -> eyre::Result<String> {
    let report = JsonReport {
        rate_per_second: rate,
        seed,
        elapsed_seconds: figures.elapsed.as_secs_f64(),
        programs: (&figures.programs).into(),
        calls: (&figures.calls).into(),
        first_pieces: (&figures.first_pieces).into(),
        errors: &figures.errors,
        broken_answers: figures.broken_answers,
        prompt_tokens: figures.prompt_tokens,
        cached_tokens: figures.cached_tokens,
    };
    serde_json::to_string_pretty(&report).wrap_err("cannot encode the figures")
}

/// Prints the figures as a table.
pub fn print(figures: &Figures, rate: f64, seed: u64) {
    let mut table = Table::new();
    table.set_header(["latency in ms", "count", "p50", "p90", "p99", "max"]);
    table.add_row(row("program, from its intended start", &figures.programs));
    table.add_row(row("call", &figures.calls));
    table.add_row(row("first piece of a call", &figures.first_pieces));
    println!("{rate} programs per second, seed {seed}");
    println!("{table}");
    println!(
        "{} of {} prompt tokens from cache, {} answers with mismatched pieces, {:.1} s in total",
        figures.cached_tokens,
        figures.prompt_tokens,
        figures.broken_answers,
        figures.elapsed.as_secs_f64(),
    );
    for (code, count) in &figures.errors {
        println!("{count} programs failed: {code}");
    }
}

fn row(name: &str, latencies: &Latencies) -> Vec<String> {
    let milliseconds = |value: f64| format!("{value:.1}");
    vec![
        name.to_owned(),
        latencies.count().to_string(),
        milliseconds(latencies.quantile_ms(0.5)),
        milliseconds(latencies.quantile_ms(0.9)),
        milliseconds(latencies.quantile_ms(0.99)),
        milliseconds(latencies.max_ms()),
    ]
}
