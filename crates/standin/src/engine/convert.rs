//! Conversions between the engine model's types and the wire types.

use elderworks_engine_model::{
    CacheChange as ModelCacheChange, EngineRole as ModelRole, FencedAction, Holding as ModelHolding,
};
use elderworks_platform_api::engine::{CacheChange, Command, EngineRole, Holding};
use elderworks_types::{ModelName, Timestamp};

pub(super) fn wire_change(change: ModelCacheChange) -> CacheChange {
    match change {
        ModelCacheChange::Stored(blocks) => CacheChange::Stored(blocks),
        ModelCacheChange::Evicted(blocks) => CacheChange::Evicted(blocks),
        ModelCacheChange::Cleared => CacheChange::Cleared,
    }
}

pub(super) fn wire_holding(now: Timestamp, held: ModelHolding) -> Holding {
    let lease = held.lease_until.map(|until| until.since(now));
    Holding {
        run: held.run,
        blocks: held.blocks,
        lease_ms: lease.unwrap_or_default().as_millis() as u64,
    }
}

/// Converts a command to an action of the engine model, which has no versions or adapters: each
/// version or adapter becomes a model with its own name.
pub(super) fn fenced_action(command: Command) -> FencedAction {
    match command {
        Command::LoadModel { model, version } => FencedAction::Load {
            model: versioned(model, version),
        },
        Command::UnloadModel { model } => FencedAction::Unload { model },
        Command::LoadAdapter { model, adapter } => FencedAction::Load {
            model: with_adapter(&model, &adapter),
        },
        Command::UnloadAdapter { model, adapter } => FencedAction::Unload {
            model: with_adapter(&model, &adapter),
        },
        Command::ChangeRole { role } => FencedAction::SetRole {
            role: model_role(role),
        },
    }
}

fn versioned(model: ModelName, version: Option<String>) -> ModelName {
    match version {
        Some(version) => ModelName::new(format!("{model}@{version}")),
        None => model,
    }
}

fn with_adapter(model: &ModelName, adapter: &str) -> ModelName {
    ModelName::new(format!("{model}+{adapter}"))
}

fn model_role(role: EngineRole) -> ModelRole {
    match role {
        EngineRole::Serving => ModelRole::Serving,
        EngineRole::Draining => ModelRole::Draining,
    }
}

pub(super) fn wire_role(role: ModelRole) -> EngineRole {
    match role {
        ModelRole::Serving => EngineRole::Serving,
        ModelRole::Draining => EngineRole::Draining,
    }
}
