//! Secondary indexes over the resources, updated with every change.

use std::collections::{BTreeMap, BTreeSet};

use elderworks_types::resource::{Resource, ServiceSpec, Spec};
use elderworks_types::{EngineId, ModelName, ResourceName, TenantId, ToolName};

/// Secondary indexes over the resources. Validation ensures that the keys of the maps are unique.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Index {
    /// Service that offers each model.
    pub(crate) models: BTreeMap<ModelName, ResourceName>,
    /// Service that offers each tool.
    pub(crate) tools: BTreeMap<ToolName, ResourceName>,
    /// Service that lists each engine.
    pub(crate) engines: BTreeMap<EngineId, ResourceName>,
    /// Budget of each tenant.
    pub(crate) tenants: BTreeMap<TenantId, ResourceName>,
    /// Configuration that sets each key.
    pub(crate) keys: BTreeMap<String, ResourceName>,
    /// Pairs `(service, program)` for each service that a program uses.
    pub(crate) service_users: BTreeSet<(ResourceName, ResourceName)>,
    /// Pairs `(budget, program)` for each budget that a program uses.
    pub(crate) budget_users: BTreeSet<(ResourceName, ResourceName)>,
}

impl Index {
    /// Adds the entries of a resource.
    pub(crate) fn add(&mut self, resource: &Resource) {
        let name = &resource.metadata.name;
        match &resource.spec {
            Spec::Program(program) => {
                for service in &program.services {
                    self.service_users.insert((service.clone(), name.clone()));
                }
                if let Some(budget) = &program.budget {
                    self.budget_users.insert((budget.clone(), name.clone()));
                }
            }
            Spec::Service(ServiceSpec::Model(service)) => {
                self.models.insert(service.model.clone(), name.clone());
                for engine in &service.engines {
                    self.engines.insert(engine.id.clone(), name.clone());
                }
            }
            Spec::Service(ServiceSpec::Tool(service)) => {
                self.tools.insert(service.tool.clone(), name.clone());
            }
            Spec::Budget(budget) => {
                self.tenants.insert(budget.tenant.clone(), name.clone());
            }
            Spec::Configuration(configuration) => {
                for key in configuration.values.keys() {
                    self.keys.insert(key.clone(), name.clone());
                }
            }
        }
    }

    /// Removes the entries of a resource.
    pub(crate) fn remove(&mut self, resource: &Resource) {
        let name = &resource.metadata.name;
        match &resource.spec {
            Spec::Program(_) => {
                self.service_users.retain(|(_, program)| program != name);
                self.budget_users.retain(|(_, program)| program != name);
            }
            Spec::Service(ServiceSpec::Model(service)) => {
                self.models.remove(&service.model);
                for engine in &service.engines {
                    self.engines.remove(&engine.id);
                }
            }
            Spec::Service(ServiceSpec::Tool(service)) => {
                self.tools.remove(&service.tool);
            }
            Spec::Budget(budget) => {
                self.tenants.remove(&budget.tenant);
            }
            Spec::Configuration(configuration) => {
                for key in configuration.values.keys() {
                    self.keys.remove(key);
                }
            }
        }
    }

    /// Returns the first program in order of name that uses a service.
    pub(crate) fn user_of_service(&self, service: &ResourceName) -> Option<&ResourceName> {
        first_user(&self.service_users, service)
    }

    /// Returns the first program in order of name that uses a budget.
    pub(crate) fn user_of_budget(&self, budget: &ResourceName) -> Option<&ResourceName> {
        first_user(&self.budget_users, budget)
    }
}

fn first_user<'a>(
    users: &'a BTreeSet<(ResourceName, ResourceName)>,
    used: &ResourceName,
) -> Option<&'a ResourceName> {
    let from = (used.clone(), ResourceName::new(""));
    let (name, user) = users.range(from..).next()?;
    (name == used).then_some(user)
}
