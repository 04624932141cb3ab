//! Validation of a resource on its own.

use std::collections::BTreeSet;
use std::time::Duration;

use elderworks_types::resource::{
    BudgetSpec, ConfigurationSpec, ModelServiceSpec, ProgramSpec, Resource, ServiceSpec, Spec,
    ToolServiceSpec,
};
use elderworks_types::{Credits, Tokens};

use super::names::{check_external_name, check_name, check_url};
use super::suggestion::did_you_mean;
use crate::configuration::{KNOWN_KEYS, known_key};
use crate::{ControlError, Settings};

/// Maximum number of services per program.
const MAX_SERVICES: usize = 256;

/// Maximum number of engines per service.
const MAX_ENGINES: usize = 1_024;

/// Maximum number of turns per run.
const MAX_TURNS: u32 = 100_000;

/// Maximum duration of a run.
const MAX_RUN_DURATION: Duration = Duration::from_secs(30 * 24 * 3_600);

/// Maximum timeout of a tool invocation.
const MAX_TOOL_TIMEOUT: Duration = Duration::from_secs(24 * 3_600);

/// Maximum priority. The minimum is its negation.
const MAX_PRIORITY: i32 = 100;

/// Checks everything that does not depend on other resources: names, ranges, units and duplicates
/// within the resource.
///
/// # Errors
///
/// Returns [`ControlError::Invalid`] for the first invalid field.
pub fn validate_syntax(resource: &Resource) -> Result<(), ControlError> {
    check_name("metadata.name", resource.metadata.name.as_str())?;
    match &resource.spec {
        Spec::Program(program) => validate_program(program),
        Spec::Service(ServiceSpec::Model(service)) => validate_model_service(service),
        Spec::Service(ServiceSpec::Tool(service)) => validate_tool_service(service),
        Spec::Budget(budget) => validate_budget(budget),
        Spec::Configuration(configuration) => validate_configuration(configuration),
    }
}

fn validate_program(program: &ProgramSpec) -> Result<(), ControlError> {
    let services = program.services.iter().map(|service| service.as_str());
    check_list("spec.services", services, MAX_SERVICES, "service")?;
    if let Some(budget) = &program.budget {
        check_name("spec.budget", budget.as_str())?;
    }
    check_range("spec.maxTurns", program.max_turns, 1, MAX_TURNS)?;
    if program.max_history == Tokens::ZERO {
        return Err(ControlError::invalid(
            "spec.maxHistory",
            "must be at least 1 token",
        ));
    }
    check_duration("spec.maxDuration", program.max_duration, MAX_RUN_DURATION)?;
    if let Some(deadline) = program.deadline {
        check_duration("spec.deadline", deadline, program.max_duration)?;
    }
    check_range(
        "spec.priority",
        program.priority,
        -MAX_PRIORITY,
        MAX_PRIORITY,
    )
}

fn validate_model_service(service: &ModelServiceSpec) -> Result<(), ControlError> {
    check_external_name("spec.model.model", service.model.as_str())?;
    let ids = service.engines.iter().map(|engine| engine.id.as_str());
    check_list("spec.model.engines", ids, MAX_ENGINES, "engine")?;
    for (position, engine) in service.engines.iter().enumerate() {
        let path = format!("spec.model.engines[{position}]");
        check_url(&format!("{path}.url"), &engine.url)?;
        check_name(&format!("{path}.zone"), engine.zone.as_str())?;
    }
    Ok(())
}

fn validate_tool_service(service: &ToolServiceSpec) -> Result<(), ControlError> {
    check_external_name("spec.tool.tool", service.tool.as_str())?;
    check_url("spec.tool.url", &service.url)?;
    check_duration("spec.tool.timeout", service.timeout, MAX_TOOL_TIMEOUT)
}

fn validate_budget(budget: &BudgetSpec) -> Result<(), ControlError> {
    check_name("spec.tenant", budget.tenant.as_str())?;
    if budget.limit == Credits::ZERO {
        return Err(ControlError::invalid(
            "spec.limit",
            "must be at least 1 credit",
        ));
    }
    Ok(())
}

fn validate_configuration(configuration: &ConfigurationSpec) -> Result<(), ControlError> {
    let mut scratch = Settings::default();
    for (key, value) in &configuration.values {
        let path = format!("spec.values.{key}");
        if known_key(key).is_none() {
            let hint = did_you_mean(key, KNOWN_KEYS.iter().map(|known| known.key));
            return Err(ControlError::invalid(path, format!("unknown key{hint}")));
        }
        scratch
            .set(key, value)
            .map_err(|problem| ControlError::invalid(path, problem))?;
    }
    Ok(())
}

/// Checks that a list contains at most `max` names, all valid and distinct.
fn check_list<'a>(
    path: &str,
    names: impl Iterator<Item = &'a str>,
    max: usize,
    item: &str,
) -> Result<(), ControlError> {
    let mut seen = BTreeSet::new();
    for (position, name) in names.enumerate() {
        let item_path = format!("{path}[{position}]");
        if position >= max {
            return Err(ControlError::invalid(
                path,
                format!("more than {max} entries"),
            ));
        }
        check_name(&item_path, name)?;
        if !seen.insert(name) {
            let problem = format!("{item} {name:?} is listed twice");
            return Err(ControlError::invalid(item_path, problem));
        }
    }
    Ok(())
}

fn check_range<T: PartialOrd + std::fmt::Display>(
    path: &str,
    value: T,
    min: T,
    max: T,
) -> Result<(), ControlError> {
    if value < min || value > max {
        let problem = format!("expected {min} to {max}, found {value}");
        return Err(ControlError::invalid(path, problem));
    }
    Ok(())
}

/// Checks that a duration is positive and at most `max`.
fn check_duration(path: &str, value: Duration, max: Duration) -> Result<(), ControlError> {
    if value.is_zero() || value > max {
        let max = humantime::format_duration(max);
        let found = humantime::format_duration(value);
        let problem = format!("expected more than 0s and at most {max}, found {found}");
        return Err(ControlError::invalid(path, problem));
    }
    Ok(())
}
