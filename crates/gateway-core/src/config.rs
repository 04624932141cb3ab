//! The serving configuration published by the operator: routes, services, tenants and limits.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::tenants::TenantTable;

/// Factor between the time for which a request is held and that for which its caller may try.
const STREAM_TRIES: u32 = 2;

/// Longest time for which a caller repeats a request, in multiples of the longest route timeout: three
/// starts with their pauses.
const REQUEST_TRIES: u32 = 4;

/// Minimum time for which the origins of streams are remembered.
pub const MIN_STREAM_LIFETIME: Duration = Duration::from_secs(10);

/// Repeatability of a route's requests and form of their responses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// Requests may run any number of times.
    Idempotent,
    /// Requests run at most once per attempt of the client.
    Mutating,
    /// Responses are event streams. Requests run at most once unless the route is resumable.
    Streaming,
}

/// A service that handles a weighted share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedService {
    /// Name of the service.
    pub service: String,
    /// Weight relative to the other services of the route.
    pub weight: u32,
}

/// A route: which requests match it and how they are run.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name given by the operator.
    pub name: String,
    /// Value of the `Host` header, without a port, in lower case.
    pub host: String,
    /// Prefix of the path, which starts and ends with a slash.
    pub path_prefix: String,
    /// Repeatability of requests and form of responses.
    pub kind: RouteKind,
    /// Whether another worker may resume a stream that broke off.
    pub resumable: bool,
    /// Whether the turns of a conversation are stored.
    pub keeps_turns: bool,
    /// Time for which a stored turn can be referenced as the previous one.
    pub keep_for: Duration,
    /// Maximum duration of a request.
    pub timeout: Duration,
    /// Time within which a response has its full value to the caller.
    pub target: Duration,
    /// Maximum number of workers that one request may run on.
    pub attempts: u32,
    /// Priority among routes, where 0 is the most urgent.
    pub priority: u8,
    /// Whether workers respond faster for an object or prompt that they have processed before.
    pub sticky: bool,
    /// Whether requests need no API key even if the configuration has tenants.
    pub public: bool,
    /// The services that run its requests.
    pub services: Vec<WeightedService>,
}

impl Route {
    /// Returns whether one request may run more than once.
    pub fn is_repeatable(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent => true,
            RouteKind::Mutating => false,
            RouteKind::Streaming => self.resumable,
        }
    }

    /// Returns whether responses are streams whose content is not stored.
    pub fn is_unrecorded_stream(&self) -> bool {
        self.kind == RouteKind::Streaming && !self.keeps_turns
    }
}

/// Properties of the model engines of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineService {
    /// Number of requests that an engine runs concurrently.
    pub slots: u32,
    /// Capacity of an engine's memory, in tokens of prompts and outputs.
    pub memory_tokens: u64,
    /// Number of tokens per event of a response.
    pub tokens_per_event: u32,
    /// Maximum time for which an engine pins the memory of a finished request.
    pub max_pin_time: Duration,
    /// Supported transfers of memory between engines.
    pub memory_moves: MemoryMoves,
}

/// Transfer of memory between the engines of one service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MemoryMoves {
    /// Bytes per token in memory, or 0 if engines do not support transfers.
    pub token_bytes: u64,
    /// Bandwidth of an engine's link in megabits per second.
    pub link_mbps: f64,
    /// Whether a run can be migrated to another engine.
    pub moves_runs: bool,
    /// Whether a run's memory can be backed up to another engine while it runs.
    pub backs_up_runs: bool,
    /// Time for which an engine keeps an unused copy.
    pub copy_lifetime: Duration,
    /// Maximum number of concurrent calls for memory events per engine.
    pub max_event_calls: u32,
}

impl MemoryMoves {
    /// Engines that support neither transfers nor memory events.
    pub const NONE: Self = Self {
        token_bytes: 0,
        link_mbps: 0.0,
        moves_runs: false,
        backs_up_runs: false,
        copy_lifetime: Duration::ZERO,
        max_event_calls: 0,
    };
}

/// A service: a group of workers that run the same requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name given by the operator.
    pub name: String,
    /// Path at which a worker says who it is.
    pub health_path: String,
    /// Maximum number of connections that one worker accepts in total.
    pub max_connections: u32,
    /// Maximum requests per second, from all nodes together, that one worker handles while it is
    /// cold. `None` if a cold worker handles as many as a warm one.
    pub cold_rate: Option<f64>,
    /// Engine properties, set for services of model engines.
    pub engine: Option<EngineService>,
}

/// Limits on callers' requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestLimits {
    /// Maximum size of a request's head in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request's body in bytes.
    pub body_bytes: usize,
    /// Maximum time from the first byte of a request to the end of its head.
    pub head_timeout: Duration,
    /// Maximum idle time of a keep-alive connection.
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

/// A complete published configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct ServingConfig {
    /// Version, which increases with each publication.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services by name.
    pub services: BTreeMap<String, Service>,
    /// Limits on callers' requests.
    pub limits: RequestLimits,
    /// Tenants that may send requests, or an empty table if requests need no key.
    pub tenants: TenantTable,
}

impl ServingConfig {
    /// Returns whether any tenant has a quota.
    pub fn has_quotas(&self) -> bool {
        self.tenants.iter().any(|tenant| tenant.quota.is_some())
    }

    /// Returns the route of a request: the one with the longest matching path prefix among the
    /// host's routes.
    pub fn route_for(&self, host: &str, path: &str) -> Option<&Route> {
        self.routes
            .iter()
            .filter(|route| route.host == host && path.starts_with(&route.path_prefix))
            .max_by_key(|route| route.path_prefix.len())
    }

    /// Returns how long a stream can last from its first event to its last, with the tries of its
    /// caller.
    pub fn stream_lifetime(&self) -> Duration {
        let resumable = self.routes.iter().filter(|route| route.resumable);
        let longest = resumable.map(|route| route.timeout).max();
        let tries = longest.unwrap_or_default() * STREAM_TRIES;
        tries.max(MIN_STREAM_LIFETIME)
    }

    /// Returns how long a caller may repeat a request, with all its tries from the start.
    pub fn request_lifetime(&self) -> Duration {
        let longest = self.routes.iter().map(|route| route.timeout).max();
        let tries = longest.unwrap_or_default() * REQUEST_TRIES;
        tries.max(MIN_STREAM_LIFETIME)
    }

    /// Returns the services whose streams may be resumed at another node.
    pub fn resumable_services(&self) -> BTreeSet<&str> {
        let resumable = self.routes.iter().filter(|route| route.resumable);
        let services = resumable.flat_map(|route| &route.services);
        services.map(|weighted| weighted.service.as_str()).collect()
    }

    /// Returns the service with this name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }
}

/// The active configuration of one node. Its version never decreases.
#[derive(Debug, Default)]
pub struct ActiveConfig {
    current: Option<std::rc::Rc<ServingConfig>>,
}

impl ActiveConfig {
    /// Activates a configuration unless one of the same or a later version is active. Returns
    /// whether it was activated.
    pub fn offer(&mut self, config: ServingConfig) -> bool {
        let current = self.current.as_ref().map(|current| current.version);
        if current.is_some_and(|version| version >= config.version) {
            return false;
        }
        self.current = Some(std::rc::Rc::new(config));
        true
    }

    /// Returns the active configuration, or `None` before the first one was read.
    pub fn current(&self) -> Option<&std::rc::Rc<ServingConfig>> {
        self.current.as_ref()
    }
}
