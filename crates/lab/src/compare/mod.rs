//! Comparison of placement policies on a simulated fleet.

mod baseline;
mod bound;
mod experiment;
mod fleet;
mod metrics;
mod plot;
mod policy;
mod report;
mod runs;
mod statistics;
mod sweep;

use std::fs;
use std::process::ExitCode;

use eyre::{WrapErr, eyre};

use crate::command_line::Compare;
use crate::workload::Preset;
use policy::{POLICIES, PolicyKind};
use report::JsonRow;

/// Runs all experiments and prints the report.
///
/// # Errors
///
/// Returns an error if an option is invalid or an output file cannot be written.
pub fn run(options: Compare) -> eyre::Result<ExitCode> {
    let preset = Preset::named(&options.preset).ok_or_else(|| {
        eyre!(
            "unknown preset {:?}: expected lublin, ulaanbaatar or target",
            options.preset
        )
    })?;
    let loads = parse_loads(&options.load)?;
    let policies = parse_policies(options.policies.as_deref())?;
    let rows = sweep::run(&preset, &loads, &policies, options.seeds.0.clone());
    println!(
        "preset {}, seeds {}..{}",
        preset.name, options.seeds.0.start, options.seeds.0.end
    );
    println!("{}", report::table(&rows));
    if let Some(file) = &options.json {
        let rows: Vec<JsonRow> = rows.iter().map(report::Row::to_json).collect();
        let text = serde_json::to_string_pretty(&rows)?;
        fs::write(file, text).wrap_err("cannot write the JSON file")?;
    }
    if let Some(directory) = &options.plot {
        fs::create_dir_all(directory).wrap_err("cannot create the plot directory")?;
        plot::draw(directory, &rows)?;
    }
    Ok(ExitCode::SUCCESS)
}

fn parse_policies(names: Option<&str>) -> eyre::Result<Vec<PolicyKind>> {
    let Some(names) = names else {
        return Ok(POLICIES.to_vec());
    };
    names.split(',').map(parse_policy).collect()
}

fn parse_policy(name: &str) -> eyre::Result<PolicyKind> {
    let known = POLICIES.into_iter().find(|policy| policy.name() == name);
    known.ok_or_else(|| eyre!("unknown policy {name:?}"))
}

fn parse_loads(text: &str) -> eyre::Result<Vec<f64>> {
    text.split(',').map(parse_load).collect()
}

fn parse_load(text: &str) -> eyre::Result<f64> {
    let load: f64 = text
        .trim()
        .parse()
        .wrap_err_with(|| format!("invalid load {text:?}"))?;
    if load.is_finite() && load > 0.0 {
        Ok(load)
    } else {
        Err(eyre!("invalid load {text:?}: must be finite and above 0"))
    }
}

#[cfg(test)]
mod tests;
