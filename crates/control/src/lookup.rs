//! Answers to the questions that a node asks for every run and call.

use std::time::Duration;

use elderworks_protocol::journal::RunLimits;
use elderworks_types::resource::{
    BudgetSpec, EngineEndpoint, Kind, ModelServiceSpec, ProgramSpec, ServiceSpec, Spec,
    ToolServiceSpec,
};
use elderworks_types::{Credits, ModelName, ResourceName, TenantId, ToolName};

use crate::{Control, Settings};

/// What a call to a model costs and where it can run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ModelTerms<'a> {
    /// The service that offers it.
    pub service: &'a ResourceName,
    /// Engines that can serve it.
    pub engines: &'a [EngineEndpoint],
    /// Price of one prompt token.
    pub credits_per_prompt_token: Credits,
    /// Price of one generated token.
    pub credits_per_output_token: Credits,
    /// Longest time for one attempt.
    pub timeout: Duration,
}

/// What a call to a tool costs and where it goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ToolTerms<'a> {
    /// The service that offers it.
    pub service: &'a ResourceName,
    /// Base URL.
    pub url: &'a str,
    /// Price of one invocation.
    pub credits_per_invocation: Credits,
    /// Longest time for one invocation.
    pub timeout: Duration,
}

impl Control {
    /// A program.
    pub fn program(&self, name: &ResourceName) -> Option<&ProgramSpec> {
        match &self.get(Kind::Program, name)?.spec {
            Spec::Program(program) => Some(program),
            _ => None,
        }
    }

    /// The limits of a run of this program.
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

    /// Whether runs of this program may call this service.
    pub fn program_may_call(&self, program: &ResourceName, service: &ResourceName) -> bool {
        self.program(program)
            .is_some_and(|program| program.services.contains(service))
    }

    /// Where a model can be had, and for how much.
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

    /// Where a tool can be had, and for how much.
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

    /// Most that a tenant may spend in all; `None` if it has no budget.
    pub fn tenant_limit(&self, tenant: &TenantId) -> Option<Credits> {
        let budget = self.index().tenants.get(tenant)?;
        self.budget(budget).map(|budget| budget.limit)
    }

    /// Every tenant's limit, in order of tenant.
    pub fn tenant_limits(&self) -> impl Iterator<Item = (&TenantId, Credits)> {
        self.index()
            .tenants
            .iter()
            .filter_map(|(tenant, name)| Some((tenant, self.budget(name)?.limit)))
    }

    /// Every listed engine with the model it serves, in order of service.
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

    /// The configuration in force.
    pub fn settings(&self) -> &Settings {
        self.resources().settings()
    }

    /// Whether some `Configuration` sets this key, so that its value is not the default.
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
