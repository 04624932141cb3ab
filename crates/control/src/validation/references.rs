//! Validation of references between resources and of unique keys.

use elderworks_types::ResourceName;
use elderworks_types::resource::{
    BudgetSpec, ConfigurationSpec, Kind, ModelServiceSpec, ProgramSpec, Resource, ServiceSpec,
    Spec, ToolServiceSpec,
};

use super::suggestion::did_you_mean;
use crate::ControlError;
use crate::resources::Resources;

/// Checks that the resources referred to exist and that unique keys are not used by other resources.
pub(super) fn validate(resource: &Resource, resources: &Resources) -> Result<(), ControlError> {
    let name = &resource.metadata.name;
    match &resource.spec {
        Spec::Program(program) => validate_program(program, resources),
        Spec::Service(ServiceSpec::Model(service)) => {
            validate_model_service(name, service, resources)
        }
        Spec::Service(ServiceSpec::Tool(service)) => {
            validate_tool_service(name, service, resources)
        }
        Spec::Budget(budget) => validate_budget(name, budget, resources),
        Spec::Configuration(configuration) => {
            validate_configuration(name, configuration, resources)
        }
    }
}

/// Checks that no program uses a resource that is to be deleted.
pub(super) fn validate_deletion(
    kind: Kind,
    name: &ResourceName,
    resources: &Resources,
) -> Result<(), ControlError> {
    let user = match kind {
        Kind::Service => resources.index().user_of_service(name),
        Kind::Budget => resources.index().user_of_budget(name),
        Kind::Program | Kind::Configuration => None,
    };
    match user {
        Some(program) => Err(ControlError::invalid(
            "metadata.name",
            format!("still used by Program {:?}", program.as_str()),
        )),
        None => Ok(()),
    }
}

fn validate_program(program: &ProgramSpec, resources: &Resources) -> Result<(), ControlError> {
    for (position, service) in program.services.iter().enumerate() {
        let path = format!("spec.services[{position}]");
        check_exists(&path, Kind::Service, service, resources)?;
    }
    match &program.budget {
        Some(budget) => check_exists("spec.budget", Kind::Budget, budget, resources),
        None => Ok(()),
    }
}

fn validate_model_service(
    name: &ResourceName,
    service: &ModelServiceSpec,
    resources: &Resources,
) -> Result<(), ControlError> {
    let index = resources.index();
    let holder = index.models.get(&service.model);
    check_unclaimed("spec.model.model", "offered", Kind::Service, holder, name)?;
    for (position, engine) in service.engines.iter().enumerate() {
        let path = format!("spec.model.engines[{position}].id");
        let holder = index.engines.get(&engine.id);
        check_unclaimed(&path, "listed", Kind::Service, holder, name)?;
    }
    Ok(())
}

fn validate_tool_service(
    name: &ResourceName,
    service: &ToolServiceSpec,
    resources: &Resources,
) -> Result<(), ControlError> {
    let holder = resources.index().tools.get(&service.tool);
    check_unclaimed("spec.tool.tool", "offered", Kind::Service, holder, name)
}

fn validate_budget(
    name: &ResourceName,
    budget: &BudgetSpec,
    resources: &Resources,
) -> Result<(), ControlError> {
    let holder = resources.index().tenants.get(&budget.tenant);
    check_unclaimed("spec.tenant", "given a budget", Kind::Budget, holder, name)
}

fn validate_configuration(
    name: &ResourceName,
    configuration: &ConfigurationSpec,
    resources: &Resources,
) -> Result<(), ControlError> {
    for key in configuration.values.keys() {
        let path = format!("spec.values.{key}");
        let holder = resources.index().keys.get(key);
        check_unclaimed(&path, "set", Kind::Configuration, holder, name)?;
    }
    Ok(())
}

fn check_exists(
    path: &str,
    kind: Kind,
    name: &ResourceName,
    resources: &Resources,
) -> Result<(), ControlError> {
    if resources.get(kind, name).is_some() {
        return Ok(());
    }
    let known = resources.list(kind);
    let hint = did_you_mean(
        name.as_str(),
        known.map(|resource| resource.metadata.name.as_str()),
    );
    let problem = format!("there is no {kind:?} {:?}{hint}", name.as_str());
    Err(ControlError::invalid(path, problem))
}

/// Checks that a unique key is not held by another resource. `claim` is the participle that describes
/// the relation in the error message, for example `offered`.
fn check_unclaimed(
    path: &str,
    claim: &str,
    kind: Kind,
    holder: Option<&ResourceName>,
    name: &ResourceName,
) -> Result<(), ControlError> {
    match holder {
        Some(holder) if holder != name => Err(ControlError::invalid(
            path,
            format!("already {claim} by {kind:?} {:?}", holder.as_str()),
        )),
        _ => Ok(()),
    }
}
