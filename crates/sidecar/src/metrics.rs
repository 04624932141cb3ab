//! Metrics of the sidecar in the `OpenMetrics` text format.

use std::sync::atomic::AtomicI64;
use std::time::Duration;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

/// Upper bound of the first latency bucket, in seconds.
const FIRST_BUCKET_SECONDS: f64 = 0.001;
/// Ratio of the upper bounds of consecutive buckets.
const BUCKET_FACTOR: f64 = 2.0;
/// Number of latency buckets.
const BUCKET_COUNT: u16 = 20;

/// Labels of an answered HTTP request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ResponseLabels {
    /// Name of the route, without ids.
    pub route: &'static str,
    /// The HTTP status code.
    pub status: u16,
}

/// Labels of an ended call.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct CallLabels {
    /// `completed` or the error code.
    pub outcome: &'static str,
}

/// The metrics of a sidecar.
pub struct Metrics {
    registry: Registry,
    responses: Family<ResponseLabels, Counter>,
    calls: Family<CallLabels, Counter>,
    call_seconds: Histogram,
    open_requests: Gauge<i64, AtomicI64>,
    ready_nodes: Gauge<i64, AtomicI64>,
    /// Number of connections to nodes that were lost or could not be established.
    pub connections_lost: Counter,
    /// Number of answers that were restarted after a part was delivered.
    pub answers_restarted: Counter,
}

impl Metrics {
    /// Creates and registers the metrics.
    pub fn new() -> Self {
        let buckets = exponential_buckets(FIRST_BUCKET_SECONDS, BUCKET_FACTOR, BUCKET_COUNT);
        let mut metrics = Self {
            registry: Registry::with_prefix("elderworks_sidecar"),
            responses: Family::default(),
            calls: Family::default(),
            call_seconds: Histogram::new(buckets),
            open_requests: Gauge::default(),
            ready_nodes: Gauge::default(),
            connections_lost: Counter::default(),
            answers_restarted: Counter::default(),
        };
        metrics.register();
        metrics
    }

    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register("responses", "HTTP responses", self.responses.clone());
        registry.register("calls", "Calls ended, by outcome", self.calls.clone());
        registry.register(
            "call_seconds",
            "Time from a call's arrival to its end",
            self.call_seconds.clone(),
        );
        registry.register(
            "open_requests",
            "Requests open at nodes",
            self.open_requests.clone(),
        );
        registry.register("ready_nodes", "Nodes connected", self.ready_nodes.clone());
        registry.register(
            "connections_lost",
            "Connections to nodes that broke or could not be made",
            self.connections_lost.clone(),
        );
        registry.register(
            "answers_restarted",
            "Answers made anew after part of another was passed on",
            self.answers_restarted.clone(),
        );
    }

    /// Records the state machine's numbers of open requests and connected nodes.
    pub fn observe_core(&self, open_requests: usize, ready_nodes: usize) {
        self.open_requests.set(open_requests as i64);
        self.ready_nodes.set(ready_nodes as i64);
    }

    /// Returns whether any node is connected.
    pub fn is_ready(&self) -> bool {
        self.ready_nodes.get() > 0
    }

    /// Counts an HTTP response.
    pub fn count_response(&self, route: &'static str, status: u16) {
        let labels = ResponseLabels { route, status };
        self.responses.get_or_create(&labels).inc();
    }

    /// Counts an ended call and records its duration.
    pub fn count_call(&self, outcome: &'static str, duration: Duration) {
        self.calls.get_or_create(&CallLabels { outcome }).inc();
        self.call_seconds.observe(duration.as_secs_f64());
    }

    /// Renders the metrics in the `OpenMetrics` text format.
    pub fn render(&self) -> String {
        let mut text = String::new();
        encode(&mut text, &self.registry).expect("writing to a string does not fail");
        text
    }
}
