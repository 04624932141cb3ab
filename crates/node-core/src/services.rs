//! What the `Service` and `Program` resources say about models, tools and limits.

use std::collections::BTreeMap;
use std::time::Duration;

use elderworks_control::Control;
use elderworks_execution::event::CallTerms;
use elderworks_protocol::journal::RunLimits;
use elderworks_types::resource::{
    EngineEndpoint, Kind, ModelServiceSpec, ProgramSpec, ServiceSpec, Spec, ToolServiceSpec,
};
use elderworks_types::{
    CallRequest, Credits, EngineId, ModelName, Refusal, RefusalReason, ResourceName, TenantId,
    ToolName,
};

/// Longest time for one attempt of a model call; model services set no limit of their own.
pub const MODEL_ATTEMPT_TIMEOUT: Duration = Duration::from_secs(300);

/// One engine with the models it may serve, gathered over all services that list it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KnownEngine {
    /// Its endpoint.
    pub endpoint: EngineEndpoint,
    /// Models it may serve, in order of name.
    pub models: Vec<ModelName>,
}

/// An index over the resources that calls refer to; rebuilt when one of them changes.
#[derive(Debug, Default)]
pub struct Services {
    models: BTreeMap<ModelName, BTreeMap<ResourceName, ModelServiceSpec>>,
    tools: BTreeMap<ToolName, BTreeMap<ResourceName, ToolServiceSpec>>,
    programs: BTreeMap<ResourceName, ProgramSpec>,
    tenant_limits: BTreeMap<TenantId, Credits>,
}

impl Services {
    /// Indexes the resources in force.
    pub fn index(control: &Control) -> Self {
        let mut services = Self::default();
        for resource in control.list(Kind::Service) {
            if let Spec::Service(spec) = &resource.spec {
                services.add_service(&resource.metadata.name, spec);
            }
        }
        for resource in control.list(Kind::Program) {
            if let Spec::Program(spec) = &resource.spec {
                let name = resource.metadata.name.clone();
                services.programs.insert(name, spec.clone());
            }
        }
        for resource in control.list(Kind::Budget) {
            if let Spec::Budget(spec) = &resource.spec {
                services.add_tenant_limit(&spec.tenant, spec.limit);
            }
        }
        services
    }

    fn add_service(&mut self, name: &ResourceName, spec: &ServiceSpec) {
        match spec {
            ServiceSpec::Model(spec) => {
                let offers = self.models.entry(spec.model.clone()).or_default();
                offers.insert(name.clone(), spec.clone());
            }
            ServiceSpec::Tool(spec) => {
                let offers = self.tools.entry(spec.tool.clone()).or_default();
                offers.insert(name.clone(), spec.clone());
            }
        }
    }

    /// Where two budgets name one tenant, the smaller binds.
    fn add_tenant_limit(&mut self, tenant: &TenantId, limit: Credits) {
        self.tenant_limits
            .entry(tenant.clone())
            .and_modify(|present| *present = limit.min(*present))
            .or_insert(limit);
    }

    /// Every engine that some service lists.
    pub fn engines(&self) -> BTreeMap<EngineId, KnownEngine> {
        let mut engines = BTreeMap::new();
        for (model, offers) in &self.models {
            for endpoint in offers.values().flat_map(|offer| &offer.engines) {
                let engine = engines
                    .entry(endpoint.id.clone())
                    .or_insert_with(|| KnownEngine {
                        endpoint: endpoint.clone(),
                        models: Vec::new(),
                    });
                if !engine.models.contains(model) {
                    engine.models.push(model.clone());
                }
            }
        }
        engines
    }

    /// Tenants with a budget, and its limit.
    pub fn tenant_limits(&self) -> &BTreeMap<TenantId, Credits> {
        &self.tenant_limits
    }

    /// A tool's service; the first by name where several offer it.
    pub fn tool(&self, tool: &ToolName) -> Option<&ToolServiceSpec> {
        self.tools.get(tool)?.values().next()
    }

    /// Limits of a program's runs as of now; `None` where there is no such program.
    pub fn run_limits(&self, program: &ResourceName) -> Option<RunLimits> {
        let spec = self.programs.get(program)?;
        Some(RunLimits {
            max_turns: spec.max_turns,
            max_history: spec.max_history,
            max_duration: spec.max_duration,
            priority: spec.priority,
            tenant_budget: spec.budget.is_some(),
        })
    }

    /// Prices and limits of a call of a run of `program`; the refusal where the program may use no
    /// service that offers what it asks for. With no program known, every service counts.
    pub fn call_terms(
        &self,
        program: Option<&ResourceName>,
        request: &CallRequest,
    ) -> Result<CallTerms, Refusal> {
        let program = program.and_then(|name| self.programs.get(name));
        let allowed =
            |name: &ResourceName| program.is_none_or(|program| program.services.contains(name));
        let terms = match request {
            CallRequest::Model(request) => self.models.get(&request.model).and_then(|offers| {
                let mut offers = offers.iter().filter(|(name, _)| allowed(name));
                offers.next().map(|(_, spec)| model_terms(spec))
            }),
            CallRequest::Tool(request) => self.tools.get(&request.tool).and_then(|offers| {
                let mut offers = offers.iter().filter(|(name, _)| allowed(name));
                offers.next().map(|(_, spec)| tool_terms(spec))
            }),
        };
        terms.ok_or(Refusal {
            reason: RefusalReason::UnknownService,
            retry_after: None,
        })
    }
}

fn model_terms(spec: &ModelServiceSpec) -> CallTerms {
    CallTerms {
        per_prompt_token: spec.credits_per_prompt_token,
        per_output_token: spec.credits_per_output_token,
        per_invocation: Credits::ZERO,
        timeout: MODEL_ATTEMPT_TIMEOUT,
    }
}

fn tool_terms(spec: &ToolServiceSpec) -> CallTerms {
    CallTerms {
        per_prompt_token: Credits::ZERO,
        per_output_token: Credits::ZERO,
        per_invocation: spec.credits_per_invocation,
        timeout: spec.timeout,
    }
}
