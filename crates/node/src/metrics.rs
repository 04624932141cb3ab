//! Metrics of the node in the `OpenMetrics` text format.

use elderworks_execution as execution;
use elderworks_node_core::Counters;
use elderworks_placement as placement;
use prometheus_client::collector::Collector;
use prometheus_client::encoding::{DescriptorEncoder, EncodeMetric};
use prometheus_client::metrics::counter::ConstCounter;
use prometheus_client::metrics::gauge::ConstGauge;
use prometheus_client::registry::Registry;

/// Counters of the driver.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DriverCounters {
    /// Connections accepted from sidecars and peers.
    pub connections_accepted: u64,
    /// Connections refused because too many were open.
    pub connections_refused: u64,
    /// Connections closed because the other side read too slowly.
    pub connections_cut: u64,
    /// Connections closed because of malformed bytes.
    pub malformed_streams: u64,
    /// Malformed datagrams.
    pub malformed_datagrams: u64,
    /// Messages to peers that were dropped.
    pub peer_messages_dropped: u64,
    /// Watches closed because the watcher read too slowly.
    pub watches_cut: u64,
    /// Appends and reads that the log did not answer.
    pub log_failures: u64,
}

/// Values of all metrics at one time, as exposed at `/metrics`.
#[derive(Clone, Copy, Debug, Default)]
pub struct MetricsSnapshot {
    /// Counters of the state machine.
    pub core: Counters,
    /// Sums of the counters of the partitions.
    pub execution: execution::Counters,
    /// Counters of the placement of calls on engines.
    pub placement: placement::Counters,
    /// Counters of the driver.
    pub driver: DriverCounters,
    /// Number of owned partitions.
    pub owned_partitions: u64,
    /// Number of open connections.
    pub open_connections: u64,
    /// Number of attempts whose answers are being read from back ends.
    pub open_attempts: u64,
    /// Whether the node is ready to serve.
    pub ready: bool,
}

/// A counter or gauge with its metric name and help text.
struct NamedValue {
    name: &'static str,
    help: &'static str,
    value: u64,
}

macro_rules! counter_table {
    ($counters:expr, { $($field:ident => $help:literal),+ $(,)? }) => {
        vec![$(NamedValue {
            name: concat!("elderworks_node_", stringify!($field)),
            help: $help,
            value: $counters.$field,
        }),+]
    };
}

impl MetricsSnapshot {
    /// Returns the metrics as text for `/metrics`.
    pub fn encode(self) -> String {
        let mut registry = Registry::default();
        registry.register_collector(Box::new(SnapshotCollector(self)));
        let mut text = String::new();
        // Writing to a string cannot fail.
        let _ = prometheus_client::encoding::text::encode(&mut text, &registry);
        text
    }

    fn core_counters(&self) -> Vec<NamedValue> {
        counter_table!(self.core, {
            sidecar_requests => "Requests received from sidecars",
            not_owner => "Requests answered with a pointer to another node",
            requests_held => "Requests held back during a takeover",
            held_overflow => "Requests turned away because too many were held back",
            refused_during_outage => "Requests refused at once because only the log could have served them",
            held_expired => "Held requests pointed elsewhere after the longest hold",
            pauses => "Pauses of the process that others may have taken for its loss",
            attempts_overflow => "Attempts refused because too many were in progress",
            attempts_started => "Attempts handed to placement or to a tool",
            attempts_completed => "Attempts that ran to their end",
            attempts_failed => "Attempts that ended without an answer",
            stale_attempt_events => "Backend events that nobody waited for any more",
            partitions_gained => "Partitions that this node began to own",
            partitions_lost => "Partitions that this node ceased to own",
            forced_claims => "Claims made without waiting for a release",
            relayed_records => "Control records received from peers",
            relay_misses => "Control records asked for by peers and not kept here",
            leftover_releases => "Releases asked of engines for leftovers of ended runs",
            watch_overflow => "Watches refused because too many were open",
            allotments_undeliverable => "Allotment messages without a known receiver",
            unintroduced_messages => "Messages from connections of the wrong kind",
        })
    }

    fn execution_counters(&self) -> Vec<NamedValue> {
        counter_table!(self.execution, {
            records_accepted => "Journal records that counted",
            records_fenced => "Journal records of writers that did not own the partition",
            records_repeated => "Journal records appended again after a lost answer",
            records_inconsistent => "Journal records that contradicted the state they met",
            fenced => "Partitions found claimed by another node",
            calls_accepted => "Calls accepted",
            calls_completed => "Calls that ended with an answer",
            calls_refused => "Calls refused",
            calls_failed => "Calls that failed",
            calls_unknown => "Calls whose fate cannot be known",
            first_attempts => "First attempts dispatched",
            retries => "Further attempts dispatched",
            retries_delayed => "Retries that waited for the retry budget",
            resumed => "Attempts of an earlier owner taken up again",
            tool_queries => "Tools asked what became of an invocation",
            chunk_gaps => "Chunks that did not follow the one before",
            memory_releases_sent => "Releases of engine memory sent, repeats included",
            limits_reached => "Runs ended by a limit",
            runs_forgotten => "Ended runs forgotten",
        })
    }

    fn placement_counters(&self) -> Vec<NamedValue> {
        counter_table!(self.placement, {
            dispatched => "Calls sent to an engine",
            moved => "Calls sent to another engine than their run's last one",
            held => "First calls of runs that had to wait for room",
            refused_overloaded => "Calls refused because too many wait",
            refused_deadline => "Calls refused because their deadline cannot be met",
            refused_no_backend => "Calls refused because no engine serves their model",
            ejections => "Times that an engine was ejected",
            missed_cache_events => "Cache events reported as lost",
        })
    }

    fn driver_counters(&self) -> Vec<NamedValue> {
        counter_table!(self.driver, {
            connections_accepted => "Connections accepted from sidecars and peers",
            connections_refused => "Connections refused because too many were open",
            connections_cut => "Connections cut because the other side read too slowly",
            malformed_streams => "Connections closed because of malformed bytes",
            malformed_datagrams => "Malformed datagrams",
            peer_messages_dropped => "Messages to peers that were dropped",
            watches_cut => "Watches cut because the watcher read too slowly",
            log_failures => "Appends and reads without an answer from the log",
        })
    }

    fn gauges(&self) -> Vec<NamedValue> {
        let gauge = |name, help, value| NamedValue { name, help, value };
        vec![
            gauge(
                "elderworks_node_owned_partitions",
                "Partitions owned now",
                self.owned_partitions,
            ),
            gauge(
                "elderworks_node_open_connections",
                "Connections open now",
                self.open_connections,
            ),
            gauge(
                "elderworks_node_open_attempts",
                "Attempts being read from back ends now",
                self.open_attempts,
            ),
            gauge(
                "elderworks_node_ready",
                "Whether the node is ready",
                u64::from(self.ready),
            ),
            gauge("elderworks_node_runs", "Runs held now", self.execution.runs),
            gauge(
                "elderworks_node_open_calls",
                "Calls waiting or open now",
                self.execution.open_calls,
            ),
            gauge(
                "elderworks_node_unreleased_runs",
                "Ended runs whose engine memory is not known to be free",
                self.execution.unreleased_runs,
            ),
            gauge(
                "elderworks_node_records_in_flight",
                "Journal records appended and not yet read back",
                self.execution.records_in_flight,
            ),
            gauge(
                "elderworks_node_calls_waiting_for_engines",
                "Calls that wait for an engine now",
                self.placement.waiting as u64,
            ),
        ]
    }
}

#[derive(Debug)]
struct SnapshotCollector(MetricsSnapshot);

impl Collector for SnapshotCollector {
    fn encode(&self, mut encoder: DescriptorEncoder<'_>) -> Result<(), std::fmt::Error> {
        let counters = [
            self.0.core_counters(),
            self.0.execution_counters(),
            self.0.placement_counters(),
            self.0.driver_counters(),
        ];
        for named in counters.into_iter().flatten() {
            let metric = ConstCounter::new(named.value);
            let metric_encoder =
                encoder.encode_descriptor(named.name, named.help, None, metric.metric_type())?;
            metric.encode(metric_encoder)?;
        }
        for named in self.0.gauges() {
            let metric = ConstGauge::new(i64::try_from(named.value).unwrap_or(i64::MAX));
            let metric_encoder =
                encoder.encode_descriptor(named.name, named.help, None, metric.metric_type())?;
            metric.encode(metric_encoder)?;
        }
        Ok(())
    }
}
