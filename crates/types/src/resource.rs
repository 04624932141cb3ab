//! Resources that operators create to configure the system.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    Credits, EngineId, ModelName, Offset, ResourceName, TenantId, Tokens, ToolName, ZoneId,
};

/// Kind of a resource.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Kind {
    /// A program, see [`ProgramSpec`].
    Program,
    /// A service, see [`ServiceSpec`].
    Service,
    /// A tenant's budget, see [`BudgetSpec`].
    Budget,
    /// Settings of all nodes, see [`ConfigurationSpec`].
    Configuration,
}

/// Identity and revision of a resource.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Metadata {
    /// Name of the resource, unique within its kind.
    pub name: ResourceName,
    /// Offset of the change that created this version; 0 in a manifest that was not applied.
    pub revision: Offset,
}

/// A resource created by an operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resource {
    /// Identity and revision.
    pub metadata: Metadata,
    /// The desired state.
    pub spec: Spec,
}

/// The desired state of a resource.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Spec {
    /// Limits and priority of a program.
    Program(ProgramSpec),
    /// Back ends of a model or tool.
    Service(ServiceSpec),
    /// Spending limit of a tenant.
    Budget(BudgetSpec),
    /// Settings that apply to all nodes.
    Configuration(ConfigurationSpec),
}

impl Spec {
    /// Returns the kind of the resource.
    pub fn kind(&self) -> Kind {
        match self {
            Spec::Program(_) => Kind::Program,
            Spec::Service(_) => Kind::Service,
            Spec::Budget(_) => Kind::Budget,
            Spec::Configuration(_) => Kind::Configuration,
        }
    }
}

/// A program, which defines the limits of its runs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct ProgramSpec {
    /// Names of the `Service` resources that its runs may call.
    pub services: Vec<ResourceName>,
    /// Name of the `Budget` resource to which its runs are charged, in addition to the run's own
    /// budget; `None` if only the run's own budget applies.
    #[serde(default)]
    pub budget: Option<ResourceName>,
    /// Maximum spending of one run.
    pub run_budget: Credits,
    /// Maximum number of calls in one run.
    pub max_turns: u32,
    /// Maximum length of a run's history, in tokens.
    pub max_history: Tokens,
    /// Maximum duration of a run.
    #[serde(with = "humantime_serde")]
    pub max_duration: Duration,
    /// Time after its start by which a run should complete. Used to order runs; a run that exceeds it is
    /// not ended.
    #[serde(default, with = "humantime_serde")]
    pub deadline: Option<Duration>,
    /// Priority; larger values are served first, 0 is the default.
    #[serde(default)]
    pub priority: i32,
}

/// Back ends of one model or one tool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub enum ServiceSpec {
    /// Engines that serve a model.
    Model(ModelServiceSpec),
    /// A tool service.
    Tool(ToolServiceSpec),
}

/// Engines that serve a model, and its prices.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct ModelServiceSpec {
    /// The model.
    pub model: ModelName,
    /// The engines.
    pub engines: Vec<EngineEndpoint>,
    /// Price of one prompt token.
    pub credits_per_prompt_token: Credits,
    /// Price of one generated token.
    pub credits_per_output_token: Credits,
}

/// Address of an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct EngineEndpoint {
    /// The engine's id, unique in the system.
    pub id: EngineId,
    /// The engine's base URL, `http://IP:port`.
    pub url: String,
    /// The engine's zone.
    pub zone: ZoneId,
}

/// A tool service and its price.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct ToolServiceSpec {
    /// The tool.
    pub tool: ToolName,
    /// The service's base URL, `http://IP:port`.
    pub url: String,
    /// Price of one invocation.
    pub credits_per_invocation: Credits,
    /// Timeout of one invocation.
    #[serde(with = "humantime_serde")]
    pub timeout: Duration,
}

/// Spending limit of a tenant.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct BudgetSpec {
    /// The tenant.
    pub tenant: TenantId,
    /// Maximum total spending of all the tenant's runs. Raising the limit doesn't reset what was spent.
    pub limit: Credits,
}

/// Settings that apply to every node, merged over the built-in defaults.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct ConfigurationSpec {
    /// Values by key. Unknown keys are rejected when the change is submitted.
    pub values: BTreeMap<String, String>,
}
