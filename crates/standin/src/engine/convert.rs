//! Between the engine model's types and those of the wire.

use elderworks_engine_model::{
    CacheChange as ModelCacheChange, EngineRole as ModelRole, FencedAction, Holding as ModelHolding,
};
use elderworks_platform_api::engine::{CacheChange, Command, EngineRole, Holding};
use elderworks_types::{ModelName, Timestamp};

pub(super) fn published_change(change: ModelCacheChange) -> CacheChange {
    match change {
        ModelCacheChange::Stored(blocks) => CacheChange::Stored(blocks),
        ModelCacheChange::Evicted(blocks) => CacheChange::Evicted(blocks),
        ModelCacheChange::Cleared => CacheChange::Cleared,
    }
}

pub(super) fn published_holding(now: Timestamp, held: ModelHolding) -> Holding {
    let lease = held.lease_until.map(|until| until.since(now));
    Holding {
        run: held.run,
        blocks: held.blocks,
        lease_ms: lease.unwrap_or_default().as_millis() as u64,
    }
}

/// The engine model keeps versions and adapters each under a name of its own.
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
            role: ordered_role(role),
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

fn ordered_role(role: EngineRole) -> ModelRole {
    match role {
        EngineRole::Serving => ModelRole::Serving,
        EngineRole::Draining => ModelRole::Draining,
    }
}

/// The role, as published.
pub(super) fn published_role(role: ModelRole) -> EngineRole {
    match role {
        ModelRole::Serving => EngineRole::Serving,
        ModelRole::Draining => EngineRole::Draining,
    }
}
