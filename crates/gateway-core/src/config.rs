//! The serving configuration: routes, services and limits, as published by the operator.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::tenants::TenantTable;

/// How often the requests of a route may run, and what their answers look like.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// May run any number of times.
    Idempotent,
    /// Runs at most once for each attempt of the client.
    Mutating,
    /// Answers with a stream of events; runs at most once unless the route is resumable.
    Streaming,
}

/// One service that takes a share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedService {
    /// Name of the service.
    pub service: String,
    /// Its share, relative to the other weights of the route.
    pub weight: u32,
}

/// One route: which requests it takes, and how they are to be run.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name given by the operator.
    pub name: String,
    /// Value of the `Host` header, without a port, in lower case.
    pub host: String,
    /// Beginning of the path; starts and ends with a slash.
    pub path_prefix: String,
    /// Repeatability and form of the answers.
    pub kind: RouteKind,
    /// Whether another worker may go on with a broken stream.
    pub resumable: bool,
    /// Whether the system keeps the turns of a conversation.
    pub keeps_turns: bool,
    /// How long a kept turn can be named as the previous one.
    pub keep_for: Duration,
    /// Longest time that a request may be held.
    pub timeout: Duration,
    /// Time within which an answer has its full value.
    pub target: Duration,
    /// Most workers that one request may run on.
    pub attempts: u32,
    /// Rank among routes; 0 is the most urgent.
    pub priority: u8,
    /// Whether workers answer faster for an object or prompt that they have seen.
    pub sticky: bool,
    /// Whether requests need no key where the configuration has tenants.
    pub public: bool,
    /// The services that run its requests.
    pub services: Vec<WeightedService>,
}

impl Route {
    /// Whether one request may run more than once.
    pub fn is_repeatable(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent => true,
            RouteKind::Mutating => false,
            RouteKind::Streaming => self.resumable,
        }
    }

    /// Whether its answers are streams that end without a record of what was said.
    pub fn is_unrecorded_stream(&self) -> bool {
        self.kind == RouteKind::Streaming && !self.keeps_turns
    }
}

/// Model engines behind a service.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineService {
    /// Requests that an engine runs at once.
    pub slots: u32,
    /// Tokens of prompts and answers that an engine's memory holds.
    pub memory_tokens: u64,
    /// Tokens that each event of an answer stands for.
    pub tokens_per_event: u32,
    /// Longest time that an engine pins a finished request's memory.
    pub max_pin_time: Duration,
    /// What engines can do with the memory of each other.
    pub memory_moves: MemoryMoves,
}

/// How engines of one service pass memory to each other.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MemoryMoves {
    /// Bytes of one token in memory; 0 if engines pass nothing on.
    pub token_bytes: u64,
    /// Speed of an engine's link in megabits a second.
    pub link_mbps: f64,
    /// Whether a run can be moved to another engine.
    pub moves_runs: bool,
    /// Whether a run's memory can be copied to another engine while it runs.
    pub backs_up_runs: bool,
    /// How long an engine keeps a copy that nobody uses.
    pub copy_lifetime: Duration,
    /// Calls for memory events that one engine holds at a time.
    pub max_event_calls: u32,
}

impl MemoryMoves {
    /// Engines that pass nothing on and tell nothing.
    pub const NONE: Self = Self {
        token_bytes: 0,
        link_mbps: 0.0,
        moves_runs: false,
        backs_up_runs: false,
        copy_lifetime: Duration::ZERO,
        max_event_calls: 0,
    };
}

/// One service: workers that run the same requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name given by the operator.
    pub name: String,
    /// Most connections that one worker takes from all callers together.
    pub max_connections: u32,
    /// Requests a second, of all nodes together, that one worker bears while it is cold; `None` if
    /// it bears as many as a warm one.
    pub cold_rate: Option<f64>,
    /// Set for services of model engines.
    pub engine: Option<EngineService>,
}

/// Limits on what callers send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestLimits {
    /// Largest head of a request in bytes.
    pub head_bytes: usize,
    /// Largest body of a request in bytes.
    pub body_bytes: usize,
    /// Longest time from a request's first byte to the end of its head.
    pub head_timeout: Duration,
    /// Longest rest of a kept connection.
    pub idle_timeout: Duration,
}

impl Default for RequestLimits {
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// One published configuration, whole.
#[derive(Clone, Debug, PartialEq)]
pub struct ServingConfig {
    /// Rises with each publication.
    pub version: u64,
    /// Every route.
    pub routes: Vec<Route>,
    /// Every service by name.
    pub services: BTreeMap<String, Service>,
    /// Limits on what callers send.
    pub limits: RequestLimits,
    /// Who may send requests; empty if anybody may.
    pub tenants: TenantTable,
}

impl ServingConfig {
    /// The route of a request: of the host's routes the one with the longest prefix of the path.
    pub fn route_for(&self, host: &str, path: &str) -> Option<&Route> {
        self.routes
            .iter()
            .filter(|route| route.host == host && path.starts_with(&route.path_prefix))
            .max_by_key(|route| route.path_prefix.len())
    }

    /// The service of that name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }
}

/// The configuration in force on one node. It never goes back to an older version.
#[derive(Debug, Default)]
pub struct ActiveConfig {
    current: Option<std::rc::Rc<ServingConfig>>,
}

impl ActiveConfig {
    /// Takes a configuration into force unless one of the same or a later version is; tells
    /// whether it did.
    pub fn offer(&mut self, config: ServingConfig) -> bool {
        let current = self.current.as_ref().map(|current| current.version);
        if current.is_some_and(|version| version >= config.version) {
            return false;
        }
        self.current = Some(std::rc::Rc::new(config));
        true
    }

    /// The configuration in force; `None` until the first one was read.
    pub fn current(&self) -> Option<&std::rc::Rc<ServingConfig>> {
        self.current.as_ref()
    }
}
