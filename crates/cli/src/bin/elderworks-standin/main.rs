//! `elderworks-standin`: runs one stand-in for a platform service or back end as a process.

mod flags;

use std::collections::BTreeSet;
use std::io::Write;

use elderworks_engine_model::EngineParameters;
use elderworks_platform_api::machines::{EngineMachine, MachineList, MachineState, NodeMachine};
use elderworks_platform_api::weights::WeightsResponse;
use elderworks_platform_model::{ToolSettings, WeightsSettings};
use elderworks_settings::{
    EngineStandinSettings, ListedEngine, ListedNode, LogStandinSettings, LoggingSettings,
    MachinesStandinSettings, Override, ProcessSettings, StoredWeights, ToolStandinSettings,
    WeightsStandinSettings, from_flags, init_logging, load_with,
};
use elderworks_standin::engine::{EngineSettings, with_speed};
use elderworks_standin::log::LogSettings;
use elderworks_standin::machines::MachinesSettings;
use elderworks_standin::tool::ToolServiceSettings;
use elderworks_standin::{ServerHandle, engine, listen, log, machines, tool, weights};
use flags::{ElderworksStandin, Service};

/// Settings key of the listening address, the same for every service.
const LISTEN_KEY: &str = "listen";

fn main() -> eyre::Result<()> {
    let flags = ElderworksStandin::from_env_or_exit();
    actix_rt::System::new().block_on(run(flags))
}

async fn run(flags: ElderworksStandin) -> eyre::Result<()> {
    let server = start(flags)?;
    // Tests read the address from this line and wait for it.
    println!("listening {}", server.address());
    std::io::stdout().flush()?;
    actix_rt::signal::ctrl_c().await?;
    server.stop().await;
    Ok(())
}

fn start(flags: ElderworksStandin) -> eyre::Result<ServerHandle> {
    match flags.service {
        Service::Log => start_log(load_settings(flags)?),
        Service::Engine => start_engine(load_settings(flags)?),
        Service::Tool => start_tool(load_settings(flags)?),
        Service::Machines => start_machines(load_settings(flags)?),
        Service::Weights => start_weights(load_settings(flags)?),
    }
}

fn load_settings<T: ProcessSettings>(flags: ElderworksStandin) -> eyre::Result<T> {
    let mut overrides = flags.set;
    let address = flags.listen.map(|address| address.to_string());
    overrides.extend(address.map(|address| Override::new(LISTEN_KEY, address)));
    let settings = match flags.settings {
        Some(file) => load_with(&file, &overrides)?,
        None => from_flags(&overrides)?,
    };
    Ok(settings)
}

fn start_log(settings: LogStandinSettings) -> eyre::Result<ServerHandle> {
    init_log(&settings.logging);
    let listener = listen(settings.listen)?;
    Ok(log::serve(listener, LogSettings::default())?)
}

fn start_engine(settings: EngineStandinSettings) -> eyre::Result<ServerHandle> {
    init_log(&settings.logging);
    let listener = listen(settings.listen)?;
    let parameters = EngineParameters {
        cache_blocks: usize::try_from(settings.memory_blocks)?,
        max_batch: settings.max_batch as usize,
        ..EngineParameters::default()
    };
    let mut engine_settings = EngineSettings::new(settings.id);
    engine_settings.models = settings.models;
    engine_settings.parameters = with_speed(parameters, settings.speed);
    Ok(engine::serve(listener, engine_settings)?)
}

fn start_tool(settings: ToolStandinSettings) -> eyre::Result<ServerHandle> {
    init_log(&settings.logging);
    let listener = listen(settings.listen)?;
    let service = ToolServiceSettings {
        tools: BTreeSet::from_iter(settings.tools),
        behaviour: ToolSettings {
            keeps_keys: settings.keeps_keys,
            latency: settings.latency,
            ..ToolSettings::default()
        },
        ..ToolServiceSettings::default()
    };
    Ok(tool::serve(listener, service)?)
}

fn start_machines(settings: MachinesStandinSettings) -> eyre::Result<ServerHandle> {
    init_log(&settings.logging);
    let listener = listen(settings.listen)?;
    let machines = MachineList {
        nodes: settings.nodes.into_iter().map(live_node).collect(),
        engines: settings.engines.into_iter().map(live_engine).collect(),
        ..MachineList::default()
    };
    let lag = settings.lag;
    Ok(machines::serve(
        listener,
        MachinesSettings { lag, machines },
    )?)
}

fn start_weights(settings: WeightsStandinSettings) -> eyre::Result<ServerHandle> {
    init_log(&settings.logging);
    let listener = listen(settings.listen)?;
    let limits = WeightsSettings {
        burst: settings.burst,
        interval: settings.interval,
    };
    let stored = settings.models.into_iter().map(stored_weights).collect();
    Ok(weights::serve(listener, limits, stored)?)
}

fn init_log(logging: &LoggingSettings) {
    init_logging(logging.format);
}

fn live_node(listed: ListedNode) -> NodeMachine {
    NodeMachine {
        id: listed.id,
        zone: listed.zone,
        address: listed.address.to_string(),
        state: MachineState::Live,
    }
}

fn live_engine(listed: ListedEngine) -> EngineMachine {
    EngineMachine {
        id: listed.id,
        zone: listed.zone,
        url: listed.url,
        models: listed.models,
        state: MachineState::Live,
    }
}

fn stored_weights(stored: StoredWeights) -> WeightsResponse {
    WeightsResponse {
        model: stored.model,
        version: stored.version,
        bytes: stored.bytes,
    }
}
