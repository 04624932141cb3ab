//! Queries on the control state needed to execute runs and calls.

use std::time::Duration;

use elderworks_protocol::journal::RunLimits;
use elderworks_types::resource::{
    BudgetSpec, EngineEndpoint, Kind, ModelServiceSpec, ProgramSpec, ServiceSpec, Spec,
    ToolServiceSpec,
};
use elderworks_types::{Credits, ModelName, ResourceName, TenantId, ToolName};

use crate::{Control, Settings};

/// Prices, engines and timeout of calls to a model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ModelTerms<'a> {
    /// Service that offers the model.
    pub service: &'a ResourceName,
    /// Engines that serve the model.
    pub engines: &'a [EngineEndpoint],
    /// Price of one prompt token.
    pub credits_per_prompt_token: Credits,
    /// Price of one generated token.
    pub credits_per_output_token: Credits,
    /// Timeout of one attempt.
    pub timeout: Duration,
}

/// Price, address and timeout of calls to a tool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ToolTerms<'a> {
    /// Service that offers the tool.
    pub service: &'a ResourceName,
    /// Base URL of the tool.
    pub url: &'a str,
    /// Price of one invocation.
    pub credits_per_invocation: Credits,
    /// Timeout of one invocation.
    pub timeout: Duration,
}

impl Control {
    /// Returns a program by name.
    pub fn program(&self, name: &ResourceName) -> Option<&ProgramSpec> {
        match &self.get(Kind::Program, name)?.spec {
            Spec::Program(program) => Some(program),
            _ => None,
        }
    }

    /// Returns the limits of runs of a program.
    pub fn run_limits(&self, program: &ResourceName) -> Option<RunLimits> {
        let program = self.program(program)?;
        Some(RunLimits {
            max_turns: program.max_turns,
            max_history: program.max_history,
            max_duration: program.max_duration,
            priority: program.priority,
            tenant_budget: program.budget.is_some(),
        })
    }

    /// Returns whether runs of `program` may call `service`.
    pub fn program_may_call(&self, program: &ResourceName, service: &ResourceName) -> bool {
        self.program(program)
            .is_some_and(|program| program.services.contains(service))
    }

    /// Returns the terms of the service that offers a model.
    pub fn model_terms(&self, model: &ModelName) -> Option<ModelTerms<'_>> {
        let service = self.index().models.get(model)?;
        let spec = self.model_service(service)?;
        Some(ModelTerms {
            service,
            engines: &spec.engines,
            credits_per_prompt_token: spec.credits_per_prompt_token,
            credits_per_output_token: spec.credits_per_output_token,
            timeout: self.settings().model_call_timeout,
        })
    }

    /// Returns the terms of the service that offers a tool.
    pub fn tool_terms(&self, tool: &ToolName) -> Option<ToolTerms<'_>> {
        let service = self.index().tools.get(tool)?;
        let spec = self.tool_service(service)?;
        Some(ToolTerms {
            service,
            url: &spec.url,
            credits_per_invocation: spec.credits_per_invocation,
            timeout: spec.timeout,
        })
    }

    /// Returns a tenant's total spending limit, or `None` if it has no budget.
    pub fn tenant_limit(&self, tenant: &TenantId) -> Option<Credits> {
        let budget = self.index().tenants.get(tenant)?;
        self.budget(budget).map(|budget| budget.limit)
    }

    /// Iterates over the spending limits of all tenants that have a budget, in order of tenant.
    pub fn tenant_limits(&self) -> impl Iterator<Item = (&TenantId, Credits)> {
        self.index()
            .tenants
            .iter()
            .filter_map(|(tenant, name)| Some((tenant, self.budget(name)?.limit)))
    }

    /// Iterates over all listed engines and the models that they serve, in order of service.
    pub fn engines(&self) -> impl Iterator<Item = (&EngineEndpoint, &ModelName)> {
        self.list(Kind::Service)
            .filter_map(|resource| match &resource.spec {
                Spec::Service(ServiceSpec::Model(service)) => Some(service),
                _ => None,
            })
            .flat_map(|service| {
                let engines = service.engines.iter();
                engines.map(move |engine| (engine, &service.model))
            })
    }

    /// Returns the effective configuration.
    pub fn settings(&self) -> &Settings {
        self.resources().settings()
    }

    /// Returns whether a `Configuration` resource sets the given key.
    pub fn is_configured(&self, key: &str) -> bool {
        self.index().keys.contains_key(key)
    }

    fn model_service(&self, name: &ResourceName) -> Option<&ModelServiceSpec> {
        match &self.get(Kind::Service, name)?.spec {
            Spec::Service(ServiceSpec::Model(service)) => Some(service),
            _ => None,
        }
    }

    fn tool_service(&self, name: &ResourceName) -> Option<&ToolServiceSpec> {
        match &self.get(Kind::Service, name)?.spec {
            Spec::Service(ServiceSpec::Tool(service)) => Some(service),
            _ => None,
        }
    }

    fn budget(&self, name: &ResourceName) -> Option<&BudgetSpec> {
        match &self.get(Kind::Budget, name)?.spec {
            Spec::Budget(budget) => Some(budget),
            _ => None,
        }
    }
}
