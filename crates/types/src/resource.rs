//! Resources that operators create, and the read-only ones that report on the system.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    Credits, EngineId, ModelName, Offset, ResourceName, TenantId, Tokens, ToolName, ZoneId,
};

/// The kinds that operators write.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Kind {
    /// [`ProgramSpec`].
    Program,
    /// [`ServiceSpec`].
    Service,
    /// [`BudgetSpec`].
    Budget,
    /// [`ConfigurationSpec`].
    Configuration,
}

/// A resource's identity and its place in the order of changes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Metadata {
    /// Unique within the kind.
    pub name: ResourceName,
    /// Offset of the change that made this version; 0 in a file that was never applied.
    pub revision: Offset,
}

/// One operator-written resource.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resource {
    /// Identity and revision.
    pub metadata: Metadata,
    /// The wanted state.
    pub spec: Spec,
}

/// The wanted state of a resource, by kind.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Spec {
    /// Limits and priority of a program.
    Program(ProgramSpec),
    /// Back ends offering a model or tool.
    Service(ServiceSpec),
    /// What a tenant may spend.
    Budget(BudgetSpec),
    /// Settings that apply to all nodes.
    Configuration(ConfigurationSpec),
}

impl Spec {
    /// Which kind it is.
    pub fn kind(&self) -> Kind {
        match self {
            Spec::Program(_) => Kind::Program,
            Spec::Service(_) => Kind::Service,
            Spec::Budget(_) => Kind::Budget,
            Spec::Configuration(_) => Kind::Configuration,
        }
    }
}

/// A program: a kind of run, with its limits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct ProgramSpec {
    /// Names of the `Service` resources that its runs may call.
    pub services: Vec<ResourceName>,
    /// The `Budget` that its runs draw on; `None` leaves only the run's own budget.
    #[serde(default)]
    pub budget: Option<ResourceName>,
    /// Most that one run may spend.
    pub run_budget: Credits,
    /// Most calls in one run.
    pub max_turns: u32,
    /// Most tokens of history in one run.
    pub max_history: Tokens,
    /// Longest life of one run.
    #[serde(with = "humantime_serde")]
    pub max_duration: Duration,
    /// Time by which a run should be done after its start; orders runs, ends none.
    #[serde(default, with = "humantime_serde")]
    pub deadline: Option<Duration>,
    /// Larger is more urgent; 0 is ordinary.
    #[serde(default)]
    pub priority: i32,
}

/// Back ends that offer one model or one tool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub enum ServiceSpec {
    /// Engines that can serve a model.
    Model(ModelServiceSpec),
    /// A tool.
    Tool(ToolServiceSpec),
}

/// Engines offering a model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct ModelServiceSpec {
    /// The model.
    pub model: ModelName,
    /// Where it can be had.
    pub engines: Vec<EngineEndpoint>,
    /// Price of one prompt token.
    pub credits_per_prompt_token: Credits,
    /// Price of one generated token.
    pub credits_per_output_token: Credits,
}

/// One engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct EngineEndpoint {
    /// Its name, unique in the system.
    pub id: EngineId,
    /// Its base URL, `http://IP:port`.
    pub url: String,
    /// Where it stands.
    pub zone: ZoneId,
}

/// A tool service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct ToolServiceSpec {
    /// The tool.
    pub tool: ToolName,
    /// Its base URL, `http://IP:port`.
    pub url: String,
    /// Price of one invocation.
    pub credits_per_invocation: Credits,
    /// Longest time to wait for one invocation.
    #[serde(with = "humantime_serde")]
    pub timeout: Duration,
}

/// What a tenant may spend in all.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct BudgetSpec {
    /// Whose budget it is.
    pub tenant: TenantId,
    /// Most that all the tenant's runs may spend. Raising it adds; it never gives back what was
    /// spent.
    pub limit: Credits,
}

/// Settings that apply to every node, merged over the built-in defaults.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct ConfigurationSpec {
    /// Values by key; the keys are checked against the known ones when the change is proposed.
    pub values: BTreeMap<String, String>,
}
