//! Construction of the world: processes, platform, resources and requests.

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use elderworks_execution::ExecutionSettings;
use elderworks_node_core::NodeSettings;
use elderworks_sidecar_core::SidecarCore;
use elderworks_types::resource::{
    BudgetSpec, ConfigurationSpec, EngineEndpoint, Metadata, ModelServiceSpec, ProgramSpec,
    Resource, ServiceSpec, Spec, ToolServiceSpec,
};
use elderworks_types::{
    CallNumber, CallRequest, CallSpec, CellId, Credits, EngineId, Message, ModelName, ModelRequest,
    NodeId, Offset, ResourceName, Role, RunId, RunSpec, TenantId, Tokens, ToolName, ToolRequest,
    ZoneId,
};

use super::callers::Caller;
use super::event::{CallerEvent, Event, OperatorEvent};
use super::operators::Operator;
use super::{NodeSlot, SidecarSlot, World};
use crate::fault::{Fault, When};
use crate::kernel::{Clock, EventQueue, Instant, Network, ProcessId, Purpose, Random, Slot};
use crate::observation::{Observations, Prices};
use crate::platform::{Engine, Log, Tool};
use crate::scenario::{Scenario, draw_steps};
use crate::trace::Trace;

/// Name of the model and of its service.
const MODEL: &str = "drafter";
/// Number of tenants, each with a budget and a program.
const TENANTS: usize = 2;
const NODE_PORT: u16 = 7_001;
const GOSSIP_PORT: u16 = 7_000;
/// Maximum number of output tokens of a model call.
const MAX_OUTPUT: Tokens = Tokens(120);
const TOOL_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of concurrent requests of an engine.
const MAX_RUNNING_REQUESTS: usize = 8;
/// Maximum delay of a caller's start after the resources are in place.
const MAX_CALLER_START_DELAY: Duration = Duration::from_secs(8);
/// Maximum drift of a clock in parts per million.
const MAX_DRIFT_PPM: u64 = 200;
/// Maximum initial offset of a clock.
const MAX_CLOCK_OFFSET: Duration = Duration::from_secs(3);
/// Budget of runs that are not meant to exhaust it.
const LARGE_BUDGET: Credits = Credits(1_000_000);
/// Maximum budget of a sub-agent.
const CHILD_BUDGET: Credits = Credits(20_000);
const PRICES: Prices = Prices {
    prompt_token: Credits(1),
    output_token: Credits(3),
    invocation: Credits(50),
};

impl World {
    /// Creates a world in its initial state.
    pub fn new(
        scenario: Scenario,
        seed: u64,
        schedule: Vec<Fault>,
        execution: &ExecutionSettings,
        keep_trace: bool,
    ) -> Self {
        let mut process_random = Random::new(seed, Purpose::Processes);
        let nodes = (0..scenario.nodes)
            .map(|index| node_slot(&scenario, index, execution, &mut process_random))
            .collect();
        let engines =
            (0..scenario.engines).map(|index| Engine::new(engine_id(index), MAX_RUNNING_REQUESTS));
        let observations = Observations {
            prices: PRICES,
            tenant_limits: (0..TENANTS)
                .map(|index| (tenant(index), tenant_limit(index)))
                .collect(),
            ..Observations::default()
        };
        let mut world = Self {
            now: Instant(0),
            queue: EventQueue::default(),
            scenario,
            network: Network::new(scenario.network, Random::new(seed, Purpose::Network)),
            nodes,
            sidecars: Vec::new(),
            connections: BTreeMap::new(),
            connections_opened: 0,
            log: Log::default(),
            log_waiters: BTreeMap::new(),
            log_reads: 0,
            engines: engines.collect(),
            tools: tools(),
            callers: Vec::new(),
            caller_requests: BTreeMap::new(),
            operators: Operator::all(),
            operator_requests: BTreeMap::new(),
            requests_made: 0,
            schedule,
            points_reached: BTreeMap::new(),
            machine_list_stale_until: Instant(0),
            process_random,
            platform_random: Random::new(seed, Purpose::Platform),
            workload_random: crate::scenario::workload_random(seed),
            configured_at: None,
            faults_stop_at: Instant(0),
            observations,
            trace: Trace::new(keep_trace),
        };
        world.add_sidecars();
        world.add_callers();
        world
    }

    fn add_sidecars(&mut self) {
        for _ in 0..self.scenario.sidecars {
            let seed = self.process_random.next_u64();
            let clock = draw_clock(&mut self.process_random);
            let core = SidecarCore::new(self.sidecar_settings(seed));
            self.sidecars.push(SidecarSlot {
                slot: Slot::new(core, clock),
                seed,
                connections: BTreeMap::new(),
            });
        }
    }

    fn add_callers(&mut self) {
        for index in 0..self.scenario.runs {
            let steps = draw_steps(false, &mut self.workload_random);
            let spec = self.draw_run(index);
            let sidecar = index % self.scenario.sidecars;
            self.callers.push(Caller::new(spec, steps, sidecar, None));
        }
    }

    fn draw_run(&mut self, index: usize) -> RunSpec {
        let has_small_budget = self.workload_random.chance(20);
        let budget = if has_small_budget {
            Credits(self.workload_random.in_range(300, 3_000))
        } else {
            LARGE_BUDGET
        };
        RunSpec {
            id: RunId::root(self.workload_random.next_u64()),
            tenant: tenant(index % TENANTS),
            program: program_name(index % TENANTS),
            parent: None,
            budget,
            deadline: None,
        }
    }

    /// Creates the caller of a sub-agent, with part of its parent's budget.
    pub(super) fn draw_child(&mut self, parent: usize) -> Caller {
        let steps = draw_steps(true, &mut self.workload_random);
        let number = self.workload_random.next_u64().max(1);
        let spec = &self.callers[parent].spec;
        let child = RunSpec {
            id: spec.id.child(number),
            parent: Some(spec.id),
            budget: CHILD_BUDGET.min(Credits(spec.budget.0 / 4)),
            ..spec.clone()
        };
        let sidecar = number as usize % self.scenario.sidecars;
        Caller::new(child, steps, sidecar, Some(parent))
    }

    /// Schedules the first events of processes, the machine list and operators.
    pub(super) fn start(&mut self) {
        for node in 0..self.nodes.len() {
            let start = self.node_start(node);
            let stagger = Duration::from_millis(7 * node as u64);
            self.schedule(stagger, Event::NodeTick(start));
        }
        for sidecar in 0..self.sidecars.len() {
            let start = self.sidecar_start(sidecar);
            self.schedule(Duration::from_millis(3), Event::SidecarTick(start));
        }
        self.schedule(Duration::ZERO, Event::MachineList);
        for operator in 0..self.operators.len() {
            let event = OperatorEvent::Continue;
            self.schedule(Duration::from_secs(1), Event::Operator { operator, event });
        }
    }

    /// Starts callers and schedules timed faults once all initial resources are in place.
    pub(super) fn on_configured(&mut self) {
        self.configured_at = Some(self.now);
        self.faults_stop_at = self.now;
        self.trace
            .line(self.now, format_args!("resources are in place"));
        for caller in 0..self.callers.len() {
            let after = self
                .workload_random
                .duration(Duration::ZERO, MAX_CALLER_START_DELAY);
            let event = CallerEvent::Continue;
            self.schedule(after, Event::Caller { caller, event });
        }
        for index in 0..self.schedule.len() {
            if let When::At(after) = self.schedule[index].when {
                self.schedule(after, Event::Fault(index));
                self.faults_stop_at = self.faults_stop_at.max(self.now.after(after));
            }
        }
    }

    /// Returns the resources that are created before callers start, in order of creation.
    pub(super) fn initial_resources(&self) -> Vec<Resource> {
        let mut resources = vec![model_service(&self.scenario)];
        resources.extend(self.tools.iter().map(|tool| tool_service(&tool.name)));
        for index in 0..TENANTS {
            resources.push(budget(index));
            resources.push(program(index));
        }
        resources
    }
}

fn node_slot(
    scenario: &Scenario,
    index: usize,
    execution: &ExecutionSettings,
    random: &mut Random,
) -> NodeSlot {
    let zone = index % scenario.zones;
    let seeds = (0..scenario.nodes).map(|node| node_socket(node, GOSSIP_PORT));
    let settings = NodeSettings {
        node: NodeId::new(format!("node-{index}")),
        zone: zone_name(zone),
        cell: CellId::new(""),
        gossip_address: node_socket(index, GOSSIP_PORT),
        address: node_socket(index, NODE_PORT),
        seeds: seeds.collect(),
        partition_count: scenario.partitions,
        seed: random.next_u64(),
        execution: execution.clone(),
    };
    NodeSlot::new(settings, draw_clock(random), zone)
}

fn draw_clock(random: &mut Random) -> Clock {
    let drift = random.in_range(0, 2 * MAX_DRIFT_PPM) as i64;
    Clock {
        offset: random.duration(Duration::ZERO, MAX_CLOCK_OFFSET),
        drift_ppm: drift - MAX_DRIFT_PPM as i64,
    }
}

fn node_socket(node: usize, port: u16) -> SocketAddr {
    let host = Ipv4Addr::new(10, 0, 0, node as u8 + 1);
    SocketAddr::new(IpAddr::V4(host), port)
}

fn zone_name(zone: usize) -> ZoneId {
    ZoneId::new(format!("zone-{zone}"))
}

fn engine_id(engine: usize) -> EngineId {
    EngineId::new(format!("engine-{engine}"))
}

/// Returns the base URL of an engine.
pub(super) fn engine_url(engine: usize) -> String {
    format!("http://10.0.1.{}:8000", engine + 1)
}

fn tools() -> Vec<Tool> {
    vec![
        Tool::new(ToolName::new("cadastre"), false),
        Tool::new(ToolName::new("registry"), true),
        Tool::new(ToolName::new("mailbox"), false),
    ]
}

fn tenant(index: usize) -> TenantId {
    TenantId::new(format!("tenant-{index}"))
}

fn program_name(index: usize) -> ResourceName {
    ResourceName::new(format!("program-{index}"))
}

fn resource(name: &str, spec: Spec) -> Resource {
    Resource {
        metadata: Metadata {
            name: ResourceName::new(name),
            revision: Offset(0),
        },
        spec,
    }
}

fn model_service(scenario: &Scenario) -> Resource {
    let engines = (0..scenario.engines).map(|index| EngineEndpoint {
        id: engine_id(index),
        url: engine_url(index),
        zone: zone_name(index % scenario.zones),
    });
    let service = ModelServiceSpec {
        model: ModelName::new(MODEL),
        engines: engines.collect(),
        credits_per_prompt_token: PRICES.prompt_token,
        credits_per_output_token: PRICES.output_token,
    };
    resource(MODEL, Spec::Service(ServiceSpec::Model(service)))
}

fn tool_service(name: &ToolName) -> Resource {
    let service = ToolServiceSpec {
        tool: name.clone(),
        url: "http://10.0.2.1:8000".to_owned(),
        credits_per_invocation: PRICES.invocation,
        timeout: TOOL_TIMEOUT,
    };
    resource(name.as_str(), Spec::Service(ServiceSpec::Tool(service)))
}

/// Returns the budget limit of a tenant. The second tenant may exhaust its budget.
fn tenant_limit(index: usize) -> Credits {
    if index == 0 {
        Credits(100_000_000)
    } else {
        Credits(60_000)
    }
}

fn budget(index: usize) -> Resource {
    let limit = tenant_limit(index);
    let spec = BudgetSpec {
        tenant: tenant(index),
        limit,
    };
    resource(&format!("budget-{index}"), Spec::Budget(spec))
}

fn program(index: usize) -> Resource {
    let services = [MODEL, "cadastre", "registry", "mailbox"];
    let spec = ProgramSpec {
        services: services.iter().map(ResourceName::new).collect(),
        budget: Some(ResourceName::new(format!("budget-{index}"))),
        run_budget: LARGE_BUDGET,
        max_turns: 16,
        max_history: Tokens(20_000),
        max_duration: Duration::from_secs(600),
        deadline: None,
        priority: 0,
    };
    resource(program_name(index).as_str(), Spec::Program(spec))
}

/// Returns the configuration that operators change concurrently, with a value that differs for each
/// `serial`.
pub(super) fn raced_configuration(serial: u64) -> Resource {
    let values = BTreeMap::from([(
        "admission.maxOpenCalls".to_owned(),
        (10_000 + serial).to_string(),
    )]);
    let spec = Spec::Configuration(ConfigurationSpec { values });
    resource(RACED_CONFIGURATION, spec)
}

/// Name of the configuration that operators change concurrently.
pub(super) const RACED_CONFIGURATION: &str = "fleet";

/// Returns a model request that appends a question to the full history.
pub(super) fn model_request(history: &[Message], question: String) -> ModelRequest {
    ModelRequest {
        model: ModelName::new(MODEL),
        history_prefix: history.len() as u32,
        messages: vec![Message::new(Role::User, question)],
        max_output: MAX_OUTPUT,
    }
}

/// Returns a tool request whose arguments name the call.
pub(super) fn tool_request(run: RunId, number: CallNumber, tool: &str) -> ToolRequest {
    ToolRequest {
        tool: ToolName::new(tool),
        arguments: format!("{{\"run\":\"{run}\",\"number\":{number}}}"),
    }
}

/// Returns a call without deadline and idempotency key.
pub(super) fn call_spec(number: CallNumber, request: CallRequest, repeatable: bool) -> CallSpec {
    CallSpec {
        number,
        request,
        repeatable,
        idempotency_key: None,
        deadline: None,
        expected_reuse: None,
    }
}

/// Returns the message by which an answer is added to the history.
pub(super) fn answer_message(request: &CallRequest, content: &str) -> Message {
    let role = match request {
        CallRequest::Model(_) => Role::Assistant,
        CallRequest::Tool(_) => Role::Tool,
    };
    Message::new(role, content)
}

/// Returns the process selected by `victim` among `count` processes.
pub(super) fn pick_process(
    process: fn(usize) -> ProcessId,
    victim: u32,
    count: usize,
) -> ProcessId {
    process(victim as usize % count.max(1))
}
